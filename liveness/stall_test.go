package liveness

import (
	"testing"
	"time"
)

// After a stall, timeouts that expired say nothing of others: a leader that took
// its workers' silence for a partition resigned, although their heartbeats were waiting.
func TestStallIsReportedOnceAndOnlyIfThereWasOne(t *testing.T) {
	const observedEvery = 250 * time.Millisecond
	var stalls StallDetector
	at := time.Unix(1000, 0)
	for range 20 {
		if d := stalls.Observe(at); d != 0 {
			t.Fatalf("a stall of %v was reported where there was none", d)
		}
		at = at.Add(observedEvery)
	}
	at = at.Add(6 * time.Second)
	if d := stalls.Observe(at); d < 6*time.Second {
		t.Errorf("a stall of 6 s was reported as %v", d)
	}
	if d := stalls.Observe(at); d != 0 {
		t.Errorf("reported twice")
	}
	if resumed, duration := stalls.LastStall(); !resumed.Equal(at) || duration < 6*time.Second {
		t.Errorf("last stall at %v for %v", resumed, duration)
	}
}
