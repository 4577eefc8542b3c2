package liveness

import (
	"testing"
	"time"
)

// Timeouts that expired during a stall say nothing about other machines. A leader that did not
// detect its own stall mistook its workers' silence for a partition and resigned, although their
// heartbeats were waiting to be read.
func TestStallIsReportedOnceAndOnlyIfThereWasOne(t *testing.T) {
	const observedEvery = 250 * time.Millisecond
	var stalls StallDetector
	at := time.Unix(1000, 0)
	for range 20 {
		if d := stalls.Observe(at); d != 0 {
			t.Fatalf("got a stall of %v, want none", d)
		}
		at = at.Add(observedEvery)
	}
	at = at.Add(6 * time.Second)
	if d := stalls.Observe(at); d < 6*time.Second {
		t.Errorf("got a stall of %v, want at least 6 s", d)
	}
	if d := stalls.Observe(at); d != 0 {
		t.Errorf("the stall was reported twice")
	}
	if resumed, duration := stalls.LastStall(); !resumed.Equal(at) || duration < 6*time.Second {
		t.Errorf("last stall: resumed at %v after %v, want at %v after at least 6 s", resumed, duration, at)
	}
}
