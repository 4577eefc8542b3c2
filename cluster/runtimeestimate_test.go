package cluster

import "testing"

func TestRunTimeEstimatesAreCorrectedByCompletedJobs(t *testing.T) {
	var e runTimeEstimator
	if got := e.expect(60); got != 60 {
		t.Errorf("nothing known: %v for 60", got)
	}
	for _, est := range []float64{30, 60, 100, 200, 400} {
		e.addEstimate(est)
	}
	if short, long := e.expect(30), e.expect(400); short <= 30 || long >= 400 {
		t.Errorf("extreme estimates should be drawn towards the others: %v, %v", short, long)
	}
	// All tasks take twice as long as estimated.
	for range 4 {
		for _, est := range []float64{30, 60, 100, 200, 400} {
			e.addEstimate(est)
			e.addRunTime(est, 2*est)
		}
	}
	for _, est := range []float64{30, 400} {
		if got := e.expect(est); got < 1.7*est || got > 2.3*est {
			t.Errorf("%v for %v, where all take twice as long", got, est)
		}
	}
}

func TestSavedProgressReducesTheRemainingRunTime(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	j := m.Job("wk-000001")
	p := j.Tasks[0].Placement
	p.reportedState, p.runningSince, p.Stop = reportedRunning, at(5), &StopOrder{orderedAt: at(45)}
	j.recordSavedProgress(0, p, at(48))
	if left := m.remainingRunTime(j, 0); left < 10 || left > 30 {
		t.Errorf("%v s left of 60 after 40 s were saved", left)
	}
	j.recordLostProgress(0, &Placement{runningSince: at(50)}, at(58))
	if j.Tasks[0].progress != 40 {
		t.Errorf("progress %v after 8 s of work without a checkpoint", j.Tasks[0].progress)
	}
}
