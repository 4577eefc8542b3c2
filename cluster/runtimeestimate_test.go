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
	// On this day all take twice as long as said.
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

// An array ends with its slowest task. Begun when an average one could just be
// in time, most arrays of a dozen tasks came half a minute late.
func TestSlowestTaskAndStartDelayAreLearned(t *testing.T) {
	var s durationSpread
	if got := s.slowestTask(100, 1); got != 100 {
		t.Errorf("a single task: %v", got)
	}
	for range 20 {
		s.addJob(0.3, 16)
		s.addStartDelay(9)
	}
	if got := s.slowestTask(100, 16); got < 125 || got > 130 {
		t.Errorf("the last of 16 tasks after %v", got)
	}
	if got := s.slowestTask(100, 2); got > 110 {
		t.Errorf("the last of 2 tasks after %v", got)
	}
	if got := s.startDelay(); got < 7 || got > 9 {
		t.Errorf("a task runs %v after its placement", got)
	}
}
