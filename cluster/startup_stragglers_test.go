package cluster

import "testing"

// An array is complete when its slowest task is. When arrays were started so late that an average
// task would just be in time, most of those with a dozen tasks were half a minute late.
func TestSlowestTaskAndStartDelayAreLearned(t *testing.T) {
	var s startupAndStragglerStats
	if got := s.slowestTaskSeconds(100, 1); got != 100 {
		t.Errorf("a single task: %v", got)
	}
	for range 20 {
		s.addJob(0.3, 16)
		s.addStartDelay(9)
	}
	if got := s.slowestTaskSeconds(100, 16); got < 125 || got > 130 {
		t.Errorf("the last of 16 tasks after %v", got)
	}
	if got := s.slowestTaskSeconds(100, 2); got > 110 {
		t.Errorf("the last of 2 tasks after %v", got)
	}
	if got := s.startDelaySeconds(); got < 7 || got > 9 {
		t.Errorf("a task runs %v after its placement", got)
	}
}
