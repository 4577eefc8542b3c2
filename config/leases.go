// Length of the leader's lease, and the time within which the tasks of a cancelled job end.

package config

import (
	"errors"
	"fmt"
)

// ClockDrift is the largest drift between two monotonic clocks, as a fraction of the elapsed time.
const ClockDrift = 0.0005

// Times in seconds from which the length of the leader's lease is computed. The section "The gap" of
// docs/design.md explains the computation.
const (
	// storeOutageS is the length of an outage of the key-value store that tasks should survive.
	storeOutageS = 32
	// findLeaderS is the part of a worker's lease that is reserved for finding the next leader
	// after a crashed leader's lease has expired.
	findLeaderS = 3.5
	// preferredLeaderLeaseS is the minimum length of a leader's lease, unless cancel_s requires a
	// shorter one.
	preferredLeaderLeaseS = 5
	// minLeaderLeaseS is the shortest leader's lease that valid settings may result in. The leader
	// renews its lease each time a fifth of it has passed, with a read barrier, and the key-value
	// store occasionally takes a few hundred milliseconds to answer.
	minLeaderLeaseS = 1.0
	// killS is the time within which a worker notices that its lease has expired and kills its
	// tasks.
	killS = 0.3
)

// LeaderLeaseS returns the length of the leader's lease, in seconds.
//
// A short lease shortens a failover. Three conditions bound the length:
//   - Tasks should survive an outage of the key-value store of storeOutageS. Workers get their last
//     answer when the leader's lease expires. They sent the answered heartbeat up to one heartbeat
//     interval earlier.
//   - The tasks of a cancelled job must end within CancelS.
//   - Above preferredLeaderLeaseS, a worker must be able to find the next leader before its own lease
//     expires if the leader has crashed.
func (w Workers) LeaderLeaseS() float64 {
	maxLeaseForCancel := (w.CancelS - w.LeaseS) / 2
	maxLease := min(maxLeaseForCancel, w.LeaseS-w.HeartbeatS-findLeaderS)
	return min(maxLeaseForCancel, max(preferredLeaderLeaseS, min(maxLease, storeOutageS+w.HeartbeatS-w.LeaseS)))
}

// CancelledGoneWithinS returns the time in seconds, from the confirmation of a cancellation to the
// user, within which the job's tasks have ended. It holds for every network partition. A leader that
// is unaware of the cancellation holds a valid lease for at most the length of the lease after the
// confirmation. The last heartbeat that it answers was sent before the lease expires, and the worker's
// lease starts when the heartbeat is sent. Each lease is measured by a clock that may be slow.
func (w Workers) CancelledGoneWithinS() float64 {
	return (w.LeaderLeaseS()+w.LeaseS)*(1+ClockDrift) + killS
}

// checkCancelTime returns an error if the tasks of a cancelled job may run for longer than CancelS.
func (w Workers) checkCancelTime() error {
	if !(w.CancelS > w.LeaseS) {
		return errors.New("must be above lease_s")
	}
	if w.CancelS > maxDuration {
		return fmt.Errorf("must be at most %g", maxDuration)
	}
	if w.LeaderLeaseS() < minLeaderLeaseS {
		return fmt.Errorf("must be %g s above lease_s or more: the leader's lease is half of the difference, and %g s is too short to renew it in time",
			2*minLeaderLeaseS, w.LeaderLeaseS())
	}
	if gone := w.CancelledGoneWithinS(); gone > w.CancelS {
		return fmt.Errorf("is too near to lease_s: a leader that is unaware of a cancellation may answer heartbeats for %g s, so that tasks may run for %.2f s",
			w.LeaderLeaseS(), gone)
	}
	return nil
}
