package config

import (
	"errors"
	"fmt"
)

// This file has the length of the leader's lease, and when the tasks of a cancelled job are
// gone. docs/design.md, "The gap", has the reasoning.

// ClockDrift bounds by how much two monotonic clocks drift apart, as a share of the time.
const ClockDrift = 0.0005

// Times in seconds from which the leader's lease is computed.
const (
	// storeOutageS is for how long an outage of the key-value store should cost no tasks.
	storeOutageS = 32
	// findLeaderS is how much of a worker's lease is set aside for finding the next leader
	// once a dead leader's lease has expired.
	findLeaderS = 3.5
	// preferredLeaderLeaseS is the least length of a leader's lease, unless tasks of
	// cancelled jobs could not be gone in time then.
	preferredLeaderLeaseS = 5
	// minLeaderLeaseS is the shortest lease that settings may lead to. A lease is renewed
	// each time a fifth of it has passed, with a read barrier, and the key-value store
	// occasionally takes a few hundred milliseconds to answer.
	minLeaderLeaseS = 1.0
	// killS is what a worker may take to notice that its lease has expired, and to kill
	// its tasks.
	killS = 0.3
)

// LeaderLeaseS is the length of the leader's lease, in seconds. It is short, since a failover
// takes as long; but it is long enough for tasks to survive an outage of the key-value store
// of storeOutageS: workers get their last answer when the leader's lease expires, and sent the
// last heartbeat that was answered up to a heartbeat interval before. It is never so long that
// the tasks of a cancelled job could not end in time. Beyond preferredLeaderLeaseS, it is
// also never so long that a worker's lease would expire before it finds the next leader, if
// the leader has crashed.
func (w Workers) LeaderLeaseS() float64 {
	cancelInTime := (w.CancelS - w.LeaseS) / 2
	most := min(cancelInTime, w.LeaseS-w.HeartbeatS-findLeaderS)
	return min(cancelInTime, max(preferredLeaderLeaseS, min(most, storeOutageS+w.HeartbeatS-w.LeaseS)))
}

// CancelledGoneWithinS is by when, in seconds after a cancellation was confirmed to a user, the
// job's tasks are gone, whichever nodes and workers can reach each other. A leader that has
// not learnt of the cancellation holds a valid lease for no longer than its length from then.
// The last heartbeat that it answers was sent before that, and the worker's lease counts from
// when it was sent. Each lease is measured by a clock that may be slow.
func (w Workers) CancelledGoneWithinS() float64 {
	return (w.LeaderLeaseS()+w.LeaseS)*(1+ClockDrift) + killS
}

// checkCancelTime returns an error if tasks of cancelled jobs could not be gone within CancelS.
func (w Workers) checkCancelTime() error {
	if !(w.CancelS > w.LeaseS) {
		return errors.New("must be above lease_s")
	}
	if w.CancelS > maxDuration {
		return fmt.Errorf("must be at most %g", maxDuration)
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
