package config

import "fmt"

// This file has the times that a cancelled job's tasks are gone by. docs/design.md,
// "The gap", argues them.

// Drift is how far two steady clocks drift apart, as a share.
const ClockDrift = 0.0005

// outlast is how long an outage of the state service workers should survive, in
// seconds; findNext is how long a worker that loses its leader looks for the
// next one: a node that answers nothing costs it 4 s of its lease.
const (
	storeOutageS = 32
	findLeaderS  = 3.5
)

const (
	// leaderLeaseLeast is the shortest lease that a leader can keep, in seconds: it
	// is renewed every fifth of it, with a barrier, and the state service takes a
	// few hundred milliseconds now and then.
	minLeaderLeaseS = 1.0
	// endS is what a worker may take to notice that its lease is over and to kill
	// what it has, in seconds.
	killS = 0.3
)

// LeaderLeaseS is the time of the leader's lease, in seconds. At most, it leaves the
// tasks of a cancelled job to end in time. Below that it is as long as lets
// workers outlast an outage (their last answer comes when it ends, their last
// answered report up to an interval before), but not so long that a worker whose
// leader is gone without a word loses its own lease meanwhile; and else as short
// as can be, since it is what a change of leader costs.
func (w Workers) LeaderLeaseS() float64 {
	most := min((w.CancelS-w.LeaseS)/2, w.LeaseS-w.ReportS-findLeaderS)
	return min((w.CancelS-w.LeaseS)/2, max(5, min(most, storeOutageS+w.ReportS-w.LeaseS)))
}

// CancelledGoneWithinS is how long after a user was told that a job is cancelled its tasks
// are gone at the latest, in seconds, whoever reaches whom: a leader that has not
// learnt of it is sure of leading for no longer than its lease from then, the last
// report that it answers was sent before that, and the worker's lease counts from
// that report. Each lease is counted by a clock that may be slow.
func (w Workers) CancelledGoneWithinS() float64 {
	return (w.LeaderLeaseS()+w.LeaseS)*(1+ClockDrift) + killS
}

// checkCancelTime says why these times can't keep the rule.
func (w Workers) checkCancelTime() error {
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
