package controller

import (
	"context"
	"hash/fnv"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/liveness"
	"github.com/umberdeal/umberdeal/peerrpc"
)

const (
	leaderProbeInterval = 700 * time.Millisecond
	leaderProbeTimeout  = 900 * time.Millisecond
)

// monitorLeader probes the leader until ctx ends, feeds the failure detector, and takes
// the leader's routing plan from its answers.
func (n *Node) monitorLeader(ctx context.Context) {
	for call.Pause(ctx, leaderProbeInterval) {
		name := n.elector.Leader()
		p := n.peerNamed(name)
		if p == nil {
			continue
		}
		actx, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
		said, err := p.Status(actx, n.statusRequest())
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && said.Plan != nil && said.Plan.Leader == name {
			n.adoptRoutingPlan(*said.Plan, time.Now())
		}
		switch n.leaderDetector.Record(name, err) {
		case liveness.BecameSuspected:
			n.log.Info("leader unresponsive", "leader", name, "err", err)
		case liveness.Recovered:
			n.log.Info("leader responsive again", "leader", name)
			n.broadcastLeaderChange()
		}
		if n.leaderDetector.Suspected(name) {
			n.probePeers(ctx) // to know where workers may be sent meanwhile
		}
	}
}

// broadcastLeaderChange wakes the heartbeats that wait for a leader.
func (n *Node) broadcastLeaderChange() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.leaderChanged)
	n.leaderChanged = make(chan struct{})
}

// leaderWaitTimeout is how long a worker's heartbeat waits for a leader to be known. The
// worker times out after 4 s. Refused earlier, it would try the next node, and lose the
// whole timeout if that node is paused.
const leaderWaitTimeout = 2500 * time.Millisecond

// awaitLeader waits until a leader is known that is not suspected to be down. It returns ""
// if there is none within leaderWaitTimeout.
func (n *Node) awaitLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	for {
		n.mu.Lock()
		news := n.leaderChanged
		n.mu.Unlock()
		// If this node was elected, wait until its records are loaded and its lease is
		// valid: a worker redirected meanwhile may end up at a paused node.
		if name := n.elector.Leader(); name != "" && !n.leaderDetector.Suspected(name) && (name != n.cfg.Node || n.isLeader()) {
			return name
		}
		if n.connsNearLimit() || n.isIsolated() {
			return ""
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ""
		}
	}
}

// isIsolated reports whether this node reaches neither the key-value store nor any other
// node. It can't learn of a leader then, so that workers should try another node rather
// than wait here and lose that much of their leases.
func (n *Node) isIsolated() bool {
	if len(n.peers) == 0 || n.kvReachable() {
		return false
	}
	for _, p := range n.peers {
		if p.FailedAt().IsZero() {
			return false
		}
	}
	return true
}

// isLeader says whether this node leads and is sure of it.
func (n *Node) isLeader() bool {
	l := n.activeLeadership()
	return l != nil && l.lease.Valid()
}

// fallbackNode names a node that is there, for a worker to wait at.
func (n *Node) fallbackNode(machine string) string {
	var there []string
	leader := n.elector.Leader()
	for _, p := range n.peers {
		if p.Name != leader && p.FailedAt().IsZero() {
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

func (n *Node) peerNamed(name string) *peerrpc.Peer {
	for _, p := range n.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}
