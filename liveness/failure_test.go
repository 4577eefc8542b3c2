package liveness

import (
	"context"
	"errors"
	"net"
	"testing"
)

// A leader that answers no probes must be suspected. A refused connection must not count as a
// missing answer, because a packet filter between the nodes may refuse it while workers still reach
// the leader.
func TestLeaderIsSuspectedForSilenceNotForARefusal(t *testing.T) {
	var d FailureDetector
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for range 5 {
		d.Record("n-1", refused)
	}
	if d.Suspected("n-1") {
		t.Error("suspected although connections were only refused")
	}
	for range SuspectAfterMisses {
		d.Record("n-1", context.DeadlineExceeded)
	}
	if !d.Suspected("n-1") || d.Suspected("n-2") {
		t.Error("the silent leader is not suspected, or another node is")
	}
	d.Record("n-1", nil)
	if d.Suspected("n-1") {
		t.Error("still suspected after an answer")
	}
}
