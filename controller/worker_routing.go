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

// This file keeps what package routing decides on: the leader's routing plan, which
// nodes can forward heartbeats, and which workers were redirected where.

const (
	routingPlanInterval = 500 * time.Millisecond
	// routingPlanTTL is for how long a plan or a node's question is taken for news.
	routingPlanTTL = 2500 * time.Millisecond
	// quietAfterElection is for how long after a change of leader no worker is moved:
	// what matters then is that each is answered.
	quietAfterElection = 10 * time.Second
	// maxTrackedWorkers bounds what is remembered of workers that were sent away.
	maxTrackedWorkers = 20000
)

// Of a node's sockets: users' requests beyond a quarter are answered and
// closed, and a fifth is kept for the node's own calls.
const (
	userConnShare = 0.25
	connShare     = 0.8
	// waitingConnShare is up to which part of its sockets a node lets reports wait for
	// a leader: beyond it others would find none.
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

// forwardingCounts are what a node has done with reports so far.
type forwardingCounts struct {
	forwarded, failed, redirected uint64
}

func (n *Node) countForwarding(f func(*forwardingCounts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(&n.forwarding)
}

// adoptedPlan is a plan and when it was learnt.
type adoptedPlan struct {
	routing.Plan
	receivedAt  time.Time
	leaderSince time.Time // when this node first saw its leader's token
}

func newMoveLimiter() *rate.Limiter { return rate.NewLimiter(20, 20) }

// publishRoutingPlan makes the plan while this node leads.
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

// adoptRoutingPlan takes a plan in. Moves are paced by the size of the fleet: the whole
// of it moves in no less than half a minute.
func (n *Node) adoptRoutingPlan(p routing.Plan, now time.Time) {
	since := now
	if old := n.routingPlan.Load(); old != nil && old.Token == p.Token && old.Leader == p.Leader {
		since = old.leaderSince
	}
	n.moveLimiter.SetLimitAt(now, rate.Limit(max(20, float64(p.Workers)/30)))
	n.routingPlan.Store(&adoptedPlan{Plan: p, receivedAt: now, leaderSince: since})
}

// currentRoutingPlan is the plan of that leader, nil where it is not known or old.
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

// routeAsFollower says what to do with the report of a worker at a node that does not
// lead.
func (n *Node) routeAsFollower(machine, leader string) (to string, pass bool) {
	lane := n.peerStream(leader)
	p := n.currentRoutingPlan(leader)
	var plan *routing.Plan
	if p != nil {
		plan = &p.Plan
	}
	g := n.workerHistory(machine)
	route := routing.RouteAtFollower(routing.FollowerInput{Self: n.cfg.Node, Leader: leader, Worker: machine, Plan: plan, History: g,
		ConnsFull: n.workerConnsFull(), LeaderReachable: lane != nil && lane.Reachable()})
	if route.Forward || !g.ServedHere || plan == nil || !plan.UsesRelays() {
		return route.RedirectTo, route.Forward
	}
	// One that is served here goes when nothing else is going on.
	if time.Since(p.leaderSince) < quietAfterElection || !n.answeredRecently(machine) || !n.moveLimiter.Allow() {
		return "", true
	}
	n.countForwarding(func(c *forwardingCounts) { c.redirected++ })
	return route.RedirectTo, false
}

// routeAsLeader says where this node, which leads, sends a worker that has reported
// to it; "" to keep it.
func (n *Node) routeAsLeader(machine string) string {
	p := n.currentRoutingPlan(n.cfg.Node)
	if p == nil || n.connLimiter == nil || time.Since(p.leaderSince) < quietAfterElection {
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

// workerConnsFull says whether as many workers' connections are open as are kept.
func (n *Node) workerConnsFull() bool {
	return n.connLimiter != nil && n.connLimiter.Count(admission.KindWorker) > routing.MaxWorkerConns(n.cfg.Cluster.Limits.Sockets)
}

// userConnsFull says the same of users'.
func (n *Node) userConnsFull() bool {
	return n.connLimiter != nil && n.connLimiter.Count(admission.KindUser) > max(8, int(userConnShare*float64(n.cfg.Cluster.Limits.Sockets)))
}

// connsCrowded says whether connections are so many that none should wait.
func (n *Node) connsCrowded() bool {
	return n.connLimiter != nil && n.connLimiter.Total() > int(waitingConnShare*float64(n.cfg.Cluster.Limits.Sockets))
}

// markUserConnection notes that a request is a user's.
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

// statusRequest is what this node says of itself when it asks another.
func (n *Node) statusRequest() peerrpc.Request {
	lost, at := n.jobs.UnreadableKey()
	return peerrpc.Request{From: n.cfg.Node, ConnCapacity: routing.MaxWorkerConns(n.cfg.Cluster.Limits.Sockets), UnreadableKey: lost, UnreadableVersion: at}
}

// Status implements peerrpc.Handler.
func (n *Node) Status(asks peerrpc.Request) peerrpc.Status {
	if asks.From != "" && n.peerStream(asks.From) != nil {
		n.mu.Lock()
		n.relayCandidates[asks.From] = relayCandidate{capacity: asks.ConnCapacity, at: time.Now()}
		n.mu.Unlock()
	}
	if asks.UnreadableKey != "" {
		n.noteUnreadable(asks.UnreadableKey, asks.UnreadableVersion)
	}
	s := peerrpc.Status{Node: n.cfg.Node, Leader: n.elector.Leader(), StoreReachable: n.kvReachable(), SchemaVersion: n.schemaVersion()}
	if p := n.currentRoutingPlan(n.cfg.Node); p != nil && n.isLeader() {
		s.Plan = &p.Plan
	}
	return s
}
