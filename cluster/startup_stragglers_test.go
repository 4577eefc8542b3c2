package cluster

import "testing"

// Guards against arrays that start too late. An array is complete when its slowest task is. If arrays start so late that an average task would
// just be in time, most arrays with a dozen tasks are half a minute late.
func TestSlowestTaskAndStartDelayAreLearned(t *testing.T) {
	var s startupAndStragglerStats
	if got := s.slowestTaskSeconds(100, 1); got != 100 {
		t.Errorf("single task: got %v, want 100", got)
	}
	for range 20 {
		s.addJob(0.3, 16)
		s.addStartDelay(9)
	}
	if got := s.slowestTaskSeconds(100, 16); got < 125 || got > 130 {
		t.Errorf("slowest of 16 tasks: got %v, want 125 to 130", got)
	}
	if got := s.slowestTaskSeconds(100, 2); got > 110 {
		t.Errorf("slowest of 2 tasks: got %v, want at most 110", got)
	}
	if got := s.startDelaySeconds(); got < 7 || got > 9 {
		t.Errorf("start delay: got %v s, want 7 s to 9 s", got)
	}
}
