package controller

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// After a stop, what has come of age says nothing of others: a leader that took
// its workers' silence for a cut resigned, although their reports were waiting.
func TestAStopIsNoticedOnceAndOnlyIfThereWasOne(t *testing.T) {
	var p stallDetector
	at := time.Unix(1000, 0)
	for range 20 {
		if d := p.Observe(at); d != 0 {
			t.Fatalf("a stop of %v was noticed where there was none", d)
		}
		at = at.Add(stallCheckInterval)
	}
	at = at.Add(6 * time.Second)
	if d := p.Observe(at); d < 6*time.Second {
		t.Errorf("a stop of 6 s was noticed as %v", d)
	}
	if d := p.Observe(at); d != 0 {
		t.Errorf("noticed twice")
	}
	if resumed, stood := p.LastStall(); !resumed.Equal(at) || stood < 6*time.Second {
		t.Errorf("last stop at %v for %v", resumed, stood)
	}
}

// A refused connection is no sign that the leader is gone: a packet filter may
// stand between the nodes while workers reach it.
func TestALeaderIsSuspectedForSilenceNotForARefusal(t *testing.T) {
	var d failureDetector
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for range 5 {
		d.Record("n-1", refused)
	}
	if d.Suspected("n-1") {
		t.Error("suspected although it was refused only")
	}
	for range suspectAfterMisses {
		d.Record("n-1", context.DeadlineExceeded)
	}
	if !d.Suspected("n-1") || d.Suspected("n-2") {
		t.Error("a silent leader is not suspected, or another one is")
	}
	d.Record("n-1", nil)
	if d.Suspected("n-1") {
		t.Error("suspected although it has answered")
	}
}
