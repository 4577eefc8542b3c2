package controller

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/routing"
)

// This file holds the state on which package routing, itself stateless, decides: the
// leader's routing plan, which nodes can forward heartbeats, and which workers were
// redirected where.

const (
	routingPlanInterval = 500 * time.Millisecond
	// routingPlanTTL is how long a routing plan, or a relay's last status request, stays
	// valid.
	routingPlanTTL = 2500 * time.Millisecond
	// balancingPauseAfterElection is how long after a change of leader no worker is redirected to
	// balance connections: until then, answering every worker takes precedence.
	balancingPauseAfterElection = 10 * time.Second
	// maxTrackedWorkers bounds the memory for workers that were redirected.
	maxTrackedWorkers = 20000
)

// Shares of a node's sockets. Users' connections beyond userConnShare are closed after
// their response; what connShare leaves is reserved for the node's own requests.
const (
	userConnShare = 0.25
	connShare     = 0.8
	// waitingConnShare is the share up to which a node lets heartbeats wait for a leader
	// to be elected: beyond it, waiting ones would leave no socket for new connections.
	waitingConnShare = 0.6
)

type redirectRecord struct {
	node string
	at   time.Time
}

type relayCandidate struct {
	capacity int
	at       time.Time
}

// forwardingCounts counts what a node has done with workers' heartbeats since it started.
type forwardingCounts struct {
	forwarded, failed, redirected uint64
}

func (n *Node) countForwarding(f func(*forwardingCounts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.forwarding)
}

// adoptedPlan is a routing plan together with when this node received it.
type adoptedPlan struct {
	routing.Plan
	receivedAt  time.Time
	leaderSince time.Time // when this node first saw its leader's token
}

func newMoveLimiter() *rate.Limiter { return rate.NewLimiter(20, 20) }

// publishRoutingPlan recomputes the routing plan periodically while this node leads, and
// withdraws it otherwise. Followers fetch it with their status requests.
func (n *Node) publishRoutingPlan(ctx context.Context) {
	for call.Pause(ctx, routingPlanInterval) {
		l := n.activeLeadership()
		if l == nil || !l.lease.Valid() {
			if p := n.routingPlan.Load(); p != nil && p.Leader == n.cfg.Node {
				n.routingPlan.Store(nil)
			}
			continue
		}
		now := time.Now()
		l.mu.Lock()
		workers := l.model.ExpectedMachines(now)
		l.mu.Unlock()
		var relays []routing.Node
		n.mu.Lock()
		for name, a := range n.relayCandidates {
			if now.Sub(a.at) < routingPlanTTL && a.capacity > 0 {
				relays = append(relays, routing.Node{Name: name, Room: a.capacity})
			}
		}
		n.mu.Unlock()
		n.adoptRoutingPlan(routing.NewPlan(n.cfg.Node, l.lease.FencingToken, workers, n.cfg.Cluster.Limits.Sockets, relays), now)
	}
}

// adoptRoutingPlan makes a plan the current one. The rate of redirects follows the number
// of workers: redirecting a whole large fleet takes about half a minute at least, so that
// no node is flooded with new connections.
func (n *Node) adoptRoutingPlan(p routing.Plan, now time.Time) {
	since := now
	if old := n.routingPlan.Load(); old != nil && old.Token == p.Token && old.Leader == p.Leader {
		since = old.leaderSince
	}
	n.moveLimiter.SetLimitAt(now, rate.Limit(max(20, float64(p.Workers)/30)))
	n.routingPlan.Store(&adoptedPlan{Plan: p, receivedAt: now, leaderSince: since})
}

// currentRoutingPlan returns the plan of the given leader, or nil if there is none or it
// has expired.
func (n *Node) currentRoutingPlan(leader string) *adoptedPlan {
	p := n.routingPlan.Load()
	if p == nil || p.Leader != leader || time.Since(p.receivedAt) > routingPlanTTL {
		return nil
	}
	return p
}

func (n *Node) workerHistory(machine string) routing.WorkerHistory {
	var g routing.WorkerHistory
	now := time.Now()
	n.mu.Lock()
	if sent, ok := n.redirects[machine]; ok {
		g.RedirectedTo, g.SinceRedirect = sent.node, now.Sub(sent.at)
	}
	n.mu.Unlock()
	ago, ok := n.lastAnswered.Since(machine, now)
	g.ServedHere = ok && ago < config.Seconds(n.cfg.Cluster.Workers.LeaseS)
	return g
}

func (n *Node) recordRedirect(machine, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.redirects) >= maxTrackedWorkers {
		clear(n.redirects)
	}
	n.redirects[machine] = redirectRecord{node: to, at: time.Now()}
}

// routeAsFollower decides what a follower does with a worker's heartbeat: forward it to
// the leader, or redirect the worker to another node.
func (n *Node) routeAsFollower(machine, leader string) (redirectTo string, forward bool) {
	stream := n.peerStream(leader)
	routingPlan := n.currentRoutingPlan(leader)
	var plan *routing.Plan
	if routingPlan != nil {
		plan = &routingPlan.Plan
	}
	history := n.workerHistory(machine)
	route := routing.RouteAtFollower(routing.FollowerInput{Self: n.cfg.Node, Leader: leader, Worker: machine, Plan: plan, History: history,
		ConnsFull: n.workerConnsFull(), LeaderReachable: stream != nil && stream.Reachable()})
	if route.Forward || !history.ServedHere || plan == nil || !plan.UsesRelays() {
		return route.RedirectTo, route.Forward
	}
	// A worker that is already served here is moved only to balance connections. That can
	// wait until no election is recent, the worker's lease is fresh and the rate allows it.
	if time.Since(routingPlan.leaderSince) < balancingPauseAfterElection || !n.answeredRecently(machine) || !n.moveLimiter.Allow() {
		return "", true
	}
	n.countForwarding(func(c *forwardingCounts) { c.redirected++ })
	return route.RedirectTo, false
}

// routeAsLeader returns the node to which the leader redirects a worker that has sent it
// a heartbeat directly, or "" to answer it here.
func (n *Node) routeAsLeader(machine string) string {
	p := n.currentRoutingPlan(n.cfg.Node)
	if p == nil || n.connLimiter == nil || time.Since(p.leaderSince) < balancingPauseAfterElection {
		return ""
	}
	to := routing.RedirectFromLeader(routing.LeaderInput{Worker: machine, Plan: &p.Plan, History: n.workerHistory(machine),
		OpenConns: n.connLimiter.Count(admission.KindWorker), LeaseFresh: n.answeredRecently(machine)})
	if to == "" || !n.moveLimiter.Allow() {
		return ""
	}
	n.countForwarding(func(c *forwardingCounts) { c.redirected++ })
	return to
}

// workerConnsFull reports whether more workers' connections are open than this node keeps
// alive between heartbeats.
func (n *Node) workerConnsFull() bool {
	return n.connLimiter != nil && n.connLimiter.Count(admission.KindWorker) > routing.MaxWorkerConns(n.cfg.Cluster.Limits.Sockets)
}

// userConnsFull reports whether more users' connections are open than this node keeps
// alive between requests.
func (n *Node) userConnsFull() bool {
	return n.connLimiter != nil && n.connLimiter.Count(admission.KindUser) > max(8, int(userConnShare*float64(n.cfg.Cluster.Limits.Sockets)))
}

// connsNearLimit reports whether so many connections are open that heartbeats should be
// refused rather than wait for a leader.
func (n *Node) connsNearLimit() bool {
	return n.connLimiter != nil && n.connLimiter.Total() > int(waitingConnShare*float64(n.cfg.Cluster.Limits.Sockets))
}

// markUserConnection classifies a request's connection as a user's, and has it closed
// after the response if there are too many of them.
func (n *Node) markUserConnection(w http.ResponseWriter, r *http.Request) {
	if c := admission.ConnFromContext(r.Context()); c != nil {
		c.SetKind(admission.KindUser)
	}
	if n.userConnsFull() {
		w.Header().Set("Connection", "close")
	}
}

func (n *Node) peerStream(name string) *peerrpc.HeartbeatStream {
	for _, l := range n.peerStreams {
		if l.Name == name {
			return l
		}
	}
	return nil
}

// statusRequest is the request with which this node asks a peer for its status. It
// offers the node as a relay with its capacity, and asks for help with a record that this
// node can't read, if there is one.
func (n *Node) statusRequest() peerrpc.Request {
	lost, at := n.jobs.UnreadableKey()
	return peerrpc.Request{From: n.cfg.Node, ConnCapacity: routing.MaxWorkerConns(n.cfg.Cluster.Limits.Sockets), UnreadableKey: lost, UnreadableVersion: at}
}

// Status implements peerrpc.Handler. Besides answering, it records what the request says
// of the asking node.
func (n *Node) Status(asks peerrpc.Request) peerrpc.Status {
	if asks.From != "" && n.peerStream(asks.From) != nil {
		n.mu.Lock()
		n.relayCandidates[asks.From] = relayCandidate{capacity: asks.ConnCapacity, at: time.Now()}
		n.mu.Unlock()
	}
	if asks.UnreadableKey != "" {
		n.recordUnreadable(asks.UnreadableKey, asks.UnreadableVersion)
	}
	s := peerrpc.Status{Node: n.cfg.Node, Leader: n.elector.Leader(), StoreReachable: n.kvReachable(), SchemaVersion: n.schemaVersion()}
	if p := n.currentRoutingPlan(n.cfg.Node); p != nil && n.isLeader() {
		s.Plan = &p.Plan
	}
	return s
}
