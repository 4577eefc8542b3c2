package config

import (
	"errors"
	"fmt"
)

// This file has the leader's lease, and when the tasks of a cancelled job are gone.
// docs/design.md, "The gap", has the reasoning.

// ClockDrift is how far two steady clocks drift apart, as a share.
const ClockDrift = 0.0005

// Times in seconds that the lengths of leases rest on.
const (
	// storeOutageS is how long an outage of the key-value store workers should survive.
	storeOutageS = 32
	// findLeaderS is how long a worker that has lost its leader looks for the next one:
	// a node that does not answer costs it 4 s of its lease.
	findLeaderS = 3.5
	// preferredLeaderLeaseS is what a leader's lease is at least, if the other times
	// leave room for it.
	preferredLeaderLeaseS = 5
	// minLeaderLeaseS is the shortest lease that a leader can keep: it is renewed every
	// fifth of it, with a read barrier, and the key-value store takes a few hundred
	// milliseconds now and then.
	minLeaderLeaseS = 1.0
	// killS is what a worker may take to notice that its lease has expired, and to kill
	// its tasks.
	killS = 0.3
)

// LeaderLeaseS is the time of the leader's lease, in seconds. It is short, since it is
// what a failover costs; but it is as long as lets workers outlast an outage of the
// key-value store: their last answer comes when the leader's lease expires, and their
// last answered heartbeat up to an interval before. It is never so long that the tasks
// of a cancelled job could not end in time, nor that a worker whose leader is gone
// without a word would lose its own lease before it finds the next one.
func (w Workers) LeaderLeaseS() float64 {
	cancelInTime := (w.CancelS - w.LeaseS) / 2
	most := min(cancelInTime, w.LeaseS-w.ReportS-findLeaderS)
	return min(cancelInTime, max(preferredLeaderLeaseS, min(most, storeOutageS+w.ReportS-w.LeaseS)))
}

// CancelledGoneWithinS is how long after a user was told that a job is cancelled its
// tasks are gone at the latest, in seconds, whoever reaches whom. A leader that has not
// learnt of the cancellation is sure of leading for no longer than its lease from then;
// the last heartbeat that it answers was sent before that, and the worker's lease counts
// from that heartbeat. Each lease is counted by a clock that may be slow.
func (w Workers) CancelledGoneWithinS() float64 {
	return (w.LeaderLeaseS()+w.LeaseS)*(1+ClockDrift) + killS
}

// checkCancelTime says why tasks of cancelled jobs could not be gone within cancel_s.
func (w Workers) checkCancelTime() error {
	if !(w.CancelS > w.LeaseS) {
		return errors.New("must be above lease_s")
	}
	if w.LeaderLeaseS() < minLeaderLeaseS {
		return fmt.Errorf("must be %g s above lease_s at least: half of what lies between is the leader's lease, and it can't keep one of %g s",
			2*minLeaderLeaseS, w.LeaderLeaseS())
	}
	if gone := w.CancelledGoneWithinS(); gone > w.CancelS {
		return fmt.Errorf("is too near to lease_s: a leader that has not heard of a cancellation may answer for %g s, so that tasks may be there for %.2f s",
			w.LeaderLeaseS(), gone)
	}
	return nil
}
