package controller

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/peerrpc"
)

const (
	askLeaderEvery = 700 * time.Millisecond
	askLeaderFor   = 900 * time.Millisecond
	suspectAfter   = 2 // questions without an answer
)

// failureDetector is what a follower holds of the leader: one that stands still or has
// no power takes a worker's connection, or seems to, and never answers. Each
// follower that sends the worker there costs it 4 s of its lease.
type failureDetector struct {
	mu     sync.Mutex
	leader string
	missed int
}

func (d *failureDetector) note(leader string, err error) (began, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.missed >= suspectAfter
	if d.leader != leader {
		d.leader, d.missed = leader, 0
		before = false
	}
	var refused *net.OpError
	switch {
	case err == nil:
		d.missed = 0
	case errors.As(err, &refused) && !refused.Timeout():
		// A refused connection shows nothing: a packet filter may stand
		// between the nodes, and workers may well reach the leader.
	default:
		d.missed++
	}
	after := d.missed >= suspectAfter
	return after && !before, before && !after
}

// suspects says whether the leader is suspected to be down.
func (d *failureDetector) suspects(leader string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader == leader && d.missed >= suspectAfter
}

// watchLeader asks the leader again and again whether it is there.
func (n *Node) watchLeader(ctx context.Context) {
	for call.Pause(ctx, askLeaderEvery) {
		name := n.elector.Leader()
		p := n.peer(name)
		if p == nil {
			continue
		}
		actx, cancel := context.WithTimeout(ctx, askLeaderFor)
		said, err := p.Status(actx, n.ask())
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && said.Plan != nil && said.Plan.Leader == name {
			n.learn(*said.Plan, time.Now())
		}
		switch began, ended := n.detector.note(name, err); {
		case began:
			n.log.Info("the leader does not answer this node", "leader", name, "err", err)
		case ended:
			n.log.Info("the leader answers this node again", "leader", name)
			n.tell()
		}
		if n.detector.suspects(name) {
			n.askPeers(ctx) // to know where workers may be sent meanwhile
		}
	}
}

// tell wakes the reports that wait for a leader.
func (n *Node) tell() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.news)
	n.news = make(chan struct{})
}

// awaitFor is how long a worker's report waits for a leader to be known. The
// worker gives up after 4 s; sent away, it would go on to whichever node is
// next, and wait for one that stands still as long as for an answer.
const awaitFor = 2500 * time.Millisecond

// awaitLeader waits until a leader is known that is not suspected; "" where there
// is none in time.
func (n *Node) awaitLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, awaitFor)
	defer cancel()
	for {
		n.mu.Lock()
		news := n.news
		n.mu.Unlock()
		// This node, once elected, still has to read the records and to be sure
		// of its lease; sent on from here, a worker may well come upon a node
		// that stands still.
		if name := n.elector.Leader(); name != "" && !n.detector.suspects(name) && (name != n.cfg.Node || n.leads()) {
			return name
		}
		if n.crowded() || n.alone() {
			return ""
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ""
		}
	}
}

// alone says whether this node reaches neither the state service nor any other
// node: of a leader it will learn nothing, and who waits here loses that much of
// its lease. Workers that still reach it had better ask another.
func (n *Node) alone() bool {
	if len(n.peers) == 0 || n.stateOK() {
		return false
	}
	for _, p := range n.peers {
		if p.Missed().IsZero() {
			return false
		}
	}
	return true
}

// leads says whether this node leads and is sure of it.
func (n *Node) leads() bool {
	l := n.leadership()
	return l != nil && l.term.Valid()
}

// elsewhere names a node that is there, for a worker to wait at.
func (n *Node) elsewhere(machine string) string {
	var there []string
	leader := n.elector.Leader()
	for _, p := range n.peers {
		if p.Name != leader && p.Missed().IsZero() {
			there = append(there, p.Name)
		}
	}
	if len(there) == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(machine)) // never fails
	return there[int(h.Sum32())%len(there)]
}

func (n *Node) peer(name string) *peerrpc.Peer {
	for _, p := range n.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}
