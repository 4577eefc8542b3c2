package cluster

import "testing"

// Estimates must be corrected by the error of the estimates of completed jobs. As long as no job is
// completed, extreme estimates must move towards the mean.
func TestRunTimeEstimatesAreCorrectedByCompletedJobs(t *testing.T) {
	var e runTimeEstimator
	if got := e.expect(60); got != 60 {
		t.Errorf("without observations: got %v, want the estimate 60", got)
	}
	for _, est := range []float64{30, 60, 100, 200, 400} {
		e.addEstimate(est)
	}
	if short, long := e.expect(30), e.expect(400); short <= 30 || long >= 400 {
		t.Errorf("extreme estimates: got %v for 30 and %v for 400, want values closer to the others", short, long)
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
			t.Errorf("got %v for estimate %v, want about twice the estimate", got, est)
		}
	}
}

// A checkpoint must reduce the remaining run time. Work after the last checkpoint is lost and must
// not count.
func TestSavedProgressReducesTheRemainingRunTime(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	j := m.Job("wk-000001")
	p := j.Tasks[0].Placement
	p.reportedState, p.runningSince, p.Stop = reportedRunning, at(5), &StopOrder{orderedAt: at(45)}
	j.recordSavedProgress(0, p, at(48))
	if left := m.remainingRunTime(j, 0); left < 10 || left > 30 {
		t.Errorf("got %v s left of 60 s after 40 s were saved, want 10 s to 30 s", left)
	}
	j.recordLostProgress(0, &Placement{runningSince: at(50)}, at(58))
	if j.Tasks[0].progress != 40 {
		t.Errorf("got progress %v after 8 s without a checkpoint, want 40", j.Tasks[0].progress)
	}
}
