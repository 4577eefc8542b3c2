// Observation of the leader by the other nodes, and waiting for a leader.

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

// monitorLeader probes the leader until ctx ends. It passes the results to the failure detector
// and adopts the routing plan from the leader's answers.
func (n *Node) monitorLeader(ctx context.Context) {
	for call.Pause(ctx, leaderProbeInterval) {
		name := n.elector.Leader()
		peer := n.peerNamed(name)
		if peer == nil {
			continue
		}
		probeCtx, cancel := context.WithTimeout(ctx, leaderProbeTimeout)
		status, err := peer.Status(probeCtx, n.statusRequest())
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && status.Plan != nil && status.Plan.Leader == name {
			n.adoptRoutingPlan(*status.Plan, time.Now())
		}
		switch n.leaderDetector.Record(name, err) {
		case liveness.BecameSuspected:
			n.log.Info("leader unresponsive", "leader", name, "err", err)
		case liveness.Recovered:
			n.log.Info("leader responsive again", "leader", name)
			n.broadcastLeaderChange()
		}
		if n.leaderDetector.Suspected(name) {
			n.probePeers(ctx) // to find nodes for fallbackNode
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

// leaderWaitTimeout is how long a worker's heartbeat waits for a leader to be known. The worker
// times out after 4 s. If it was refused earlier, it would try the next node, and lose the
// whole timeout if that node is paused.
const leaderWaitTimeout = 2500 * time.Millisecond

// awaitLeader waits until a leader is known that is not suspected to have failed, and returns
// its name. It returns "" if there is none within leaderWaitTimeout, if connections are near
// the limit, or if this node is isolated.
func (n *Node) awaitLeader(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	for {
		n.mu.Lock()
		leaderChanged := n.leaderChanged
		n.mu.Unlock()
		// If this node was elected, wait until its records are loaded and its lease is
		// valid. A worker that is redirected earlier may reach a paused node.
		if name := n.elector.Leader(); name != "" && !n.leaderDetector.Suspected(name) && (name != n.cfg.Node || n.isLeader()) {
			return name
		}
		if n.connsNearLimit() || n.isIsolated() {
			return ""
		}
		select {
		case <-leaderChanged:
		case <-ctx.Done():
			return ""
		}
	}
}

// isIsolated reports whether this node reaches neither the key-value store nor any other node.
// It can't learn of a new leader then. Workers should try another node, because waiting here
// would use up their leases.
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

// isLeader reports whether this node leads with a valid lease.
func (n *Node) isLeader() bool {
	l := n.activeLeadership()
	return l != nil && l.lease.Valid()
}

// fallbackNode returns the name of a responsive node other than the leader, to which a worker
// is redirected while no leader answers. It spreads workers over these nodes. It returns "" if
// there is none.
func (n *Node) fallbackNode(machine string) string {
	var responsive []string
	leader := n.elector.Leader()
	for _, p := range n.peers {
		if p.Name != leader && p.FailedAt().IsZero() {
			responsive = append(responsive, p.Name)
		}
	}
	if len(responsive) == 0 {
		return ""
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(machine)) // never fails
	return responsive[int(hash.Sum32())%len(responsive)]
}

func (n *Node) peerNamed(name string) *peerrpc.Peer {
	for _, p := range n.peers {
		if p.Name == name {
			return p
		}
	}
	return nil
}
