package liveness

import (
	"context"
	"errors"
	"net"
	"testing"
)

// A refused connection is no sign that the leader is gone: a packet filter may
// stand between the nodes while workers reach it.
func TestLeaderIsSuspectedForSilenceNotForARefusal(t *testing.T) {
	var d FailureDetector
	refused := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for range 5 {
		d.Record("n-1", refused)
	}
	if d.Suspected("n-1") {
		t.Error("suspected although it was refused only")
	}
	for range SuspectAfterMisses {
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
