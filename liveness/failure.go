package liveness

import (
	"errors"
	"net"
	"sync"
)

// SuspectAfterMisses is how many probes in a row must go unanswered before a
// leader is suspected. One is not enough: a single packet may be lost, and moving
// workers away costs them time.
const SuspectAfterMisses = 2

// Transition is how one probe has changed the suspicion of a leader.
type Transition int

const (
	// Unchanged means that the leader is suspected, or not, as before the probe.
	Unchanged Transition = iota
	// BecameSuspected means that this probe was the one too many.
	BecameSuspected
	// Recovered means that a suspected leader has answered.
	Recovered
)

// FailureDetector counts the probes that the current leader left unanswered. A
// leader that is paused or has lost power seems to accept a worker's connection
// and never answers, so that a node that suspects it sends no worker there. Safe
// for concurrent use.
type FailureDetector struct {
	mu     sync.Mutex // guards all that follows
	leader string
	misses int
}

// Record takes in the result of a probe of a leader. The count starts anew when
// the leader is another one than last time.
func (d *FailureDetector) Record(leader string, err error) Transition {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.misses >= SuspectAfterMisses
	if d.leader != leader {
		d.leader, d.misses = leader, 0
		before = false
	}
	var refused *net.OpError
	switch {
	case err == nil:
		d.misses = 0
	case errors.As(err, &refused) && !refused.Timeout():
		// A refused connection shows nothing: a packet filter may stand
		// between the nodes, and workers may well reach the leader.
	default:
		d.misses++
	}
	after := d.misses >= SuspectAfterMisses
	switch {
	case after && !before:
		return BecameSuspected
	case before && !after:
		return Recovered
	}
	return Unchanged
}

// Suspected reports whether that leader is suspected to be down. A leader that
// was never probed is not.
func (d *FailureDetector) Suspected(leader string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader == leader && d.misses >= SuspectAfterMisses
}
