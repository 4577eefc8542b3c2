package liveness

import (
	"errors"
	"net"
	"sync"
)

// SuspectAfterMisses is the number of unanswered probes, with no answered one in between,
// after which a follower suspects the leader. One is not enough, because a single packet
// may be lost and redirecting workers to another node costs them time.
const SuspectAfterMisses = 2

// Transition is the effect of one probe on whether the leader is suspected.
type Transition int

const (
	// Unchanged means that the probe changed nothing.
	Unchanged Transition = iota
	// BecameSuspected means that this probe made the leader suspected.
	BecameSuspected
	// Recovered means that a suspected leader has answered again.
	Recovered
)

// FailureDetector counts the probes that the current leader has not answered since it last
// answered one. A node that suspects the leader redirects no worker to it, because a
// paused process still appears to accept connections but never answers. The zero value is
// ready for use. It is safe for concurrent use.
type FailureDetector struct {
	mu     sync.Mutex // guards the fields below
	leader string
	misses int
}

// Record records the result of a probe of the leader: err is nil if it answered. The
// count restarts if the leader is not the one of the previous call.
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
		// A refused connection counts neither as an answer nor as a miss. A packet filter
		// between the nodes may have caused it, and workers may still reach the leader.
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

// Suspected reports whether the given leader is suspected to be down. It is false for
// any node but the leader of the last Record.
func (d *FailureDetector) Suspected(leader string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader == leader && d.misses >= SuspectAfterMisses
}
