// The state on which the stateless package routing bases its decisions: the leader's routing
// plan, the nodes that can forward heartbeats, and the latest redirects of workers.

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

const (
	routingPlanInterval = 500 * time.Millisecond
	// routingPlanTTL is how long a routing plan, or a relay's last status request, stays
	// valid.
	routingPlanTTL = 2500 * time.Millisecond
	// balancingPauseAfterElection is how long after a change of leader no worker is
	// redirected to balance connections. During this time, answering all workers takes
	// precedence.
	balancingPauseAfterElection = 10 * time.Second
	// maxTrackedWorkers bounds the number of workers whose last redirect or answer is
	// remembered.
	maxTrackedWorkers = 20000
)

// Shares of a node's sockets.
const (
	// userConnShare is the share beyond which users' connections are closed after the
	// response.
	userConnShare = 0.25
	// connShare bounds the accepted connections. The rest is reserved for the node's own
	// requests.
	connShare = 0.8
	// waitingConnShare is the share up to which heartbeats may wait for the election of a
	// leader. Beyond this share, waiting heartbeats would leave no socket for new
	// connections.
	waitingConnShare = 0.6
)

// redirectRecord is the last redirect of a worker.
type redirectRecord struct {
	node string // the node that the worker was redirected to
	at   time.Time
}

// relayCandidate is a node that offers to forward workers' heartbeats to the leader.
type relayCandidate struct {
	capacity int       // how many workers' connections it can hold
	at       time.Time // of its last status request
}

// forwardingCounts counts the heartbeats forwarded to the leader, the heartbeats that could not
// be forwarded and the workers redirected to balance connections, since the start of the node.
type forwardingCounts struct {
	forwarded, failed, redirected uint64
}

func (n *Node) countForwarding(update func(*forwardingCounts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	update(&n.forwarding)
}

// adoptedPlan is a routing plan with the time at which this node received it.
type adoptedPlan struct {
	routing.Plan
	receivedAt  time.Time
	leaderSince time.Time // when this node first saw the leader's fencing token
}

// newMoveLimiter returns the limiter of redirects per second that balance connections.
// adoptRoutingPlan adjusts its rate to the number of workers.
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
		for name, candidate := range n.relayCandidates {
			if now.Sub(candidate.at) < routingPlanTTL && candidate.capacity > 0 {
				relays = append(relays, routing.Node{Name: name, Room: candidate.capacity})
			}
		}
		n.mu.Unlock()
		n.adoptRoutingPlan(routing.NewPlan(n.cfg.Node, l.lease.FencingToken, workers, n.cfg.Cluster.Limits.Sockets, relays), now)
	}
}

// adoptRoutingPlan makes a plan the current one. It sets the rate of redirects in proportion
// to the number of workers. Redirecting all workers of a large cluster takes at least about
// half a minute, so that no node is flooded with new connections.
func (n *Node) adoptRoutingPlan(plan routing.Plan, now time.Time) {
	since := now
	if old := n.routingPlan.Load(); old != nil && old.Token == plan.Token && old.Leader == plan.Leader {
		since = old.leaderSince
	}
	n.moveLimiter.SetLimitAt(now, rate.Limit(max(20, float64(plan.Workers)/30)))
	n.routingPlan.Store(&adoptedPlan{Plan: plan, receivedAt: now, leaderSince: since})
}

// currentRoutingPlan returns the routing plan of the given leader. It returns nil if there is
// none or it has expired.
func (n *Node) currentRoutingPlan(leader string) *adoptedPlan {
	plan := n.routingPlan.Load()
	if plan == nil || plan.Leader != leader || time.Since(plan.receivedAt) > routingPlanTTL {
		return nil
	}
	return plan
}

// workerHistory returns what this node knows of its latest contacts with a worker.
func (n *Node) workerHistory(machine string) routing.WorkerHistory {
	var history routing.WorkerHistory
	now := time.Now()
	n.mu.Lock()
	if redirect, ok := n.redirects[machine]; ok {
		history.RedirectedTo, history.SinceRedirect = redirect.node, now.Sub(redirect.at)
	}
	n.mu.Unlock()
	ago, ok := n.lastAnswered.Since(machine, now)
	history.ServedHere = ok && ago < config.Seconds(n.cfg.Cluster.Workers.LeaseS)
	return history
}

// recordRedirect records that a worker is now redirected to the node named to. If
// maxTrackedWorkers are recorded, it forgets all of them first.
func (n *Node) recordRedirect(machine, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.redirects) >= maxTrackedWorkers {
		clear(n.redirects)
	}
	n.redirects[machine] = redirectRecord{node: to, at: time.Now()}
}

// routeAsFollower decides whether a follower forwards a worker's heartbeat to the leader. If
// forward is false, the worker is redirected to the node redirectTo.
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
	// A worker that is already served here is only redirected to balance connections. This
	// redirect is postponed after an election, if the worker's lease is not fresh, and if
	// the rate limit is reached.
	if time.Since(routingPlan.leaderSince) < balancingPauseAfterElection || !n.answeredRecently(machine) || !n.moveLimiter.Allow() {
		return "", true
	}
	n.countForwarding(func(c *forwardingCounts) { c.redirected++ })
	return route.RedirectTo, false
}

// routeAsLeader returns the node to which the leader redirects a worker that has sent a
// heartbeat to it directly. It returns "" if the leader is to answer the heartbeat itself.
func (n *Node) routeAsLeader(machine string) string {
	plan := n.currentRoutingPlan(n.cfg.Node)
	if plan == nil || n.connLimiter == nil || time.Since(plan.leaderSince) < balancingPauseAfterElection {
		return ""
	}
	to := routing.RedirectFromLeader(routing.LeaderInput{Worker: machine, Plan: &plan.Plan, History: n.workerHistory(machine),
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
	for _, stream := range n.peerStreams {
		if stream.Name == name {
			return stream
		}
	}
	return nil
}

// statusRequest returns the request with which this node asks a peer for its status. The
// request also offers this node as a relay with its capacity. If this node can't read a
// record, the request reports this record to the peer.
func (n *Node) statusRequest() peerrpc.Request {
	key, version := n.jobs.UnreadableKey()
	return peerrpc.Request{From: n.cfg.Node, ConnCapacity: routing.MaxWorkerConns(n.cfg.Cluster.Limits.Sockets), UnreadableKey: key, UnreadableVersion: version}
}

// Status implements peerrpc.Handler. It returns this node's status, with the routing plan if
// this node leads. It also records the relay capacity of the sender and the record that the
// sender can't read.
func (n *Node) Status(request peerrpc.Request) peerrpc.Status {
	if request.From != "" && n.peerStream(request.From) != nil {
		n.mu.Lock()
		n.relayCandidates[request.From] = relayCandidate{capacity: request.ConnCapacity, at: time.Now()}
		n.mu.Unlock()
	}
	if request.UnreadableKey != "" {
		n.recordUnreadable(request.UnreadableKey, request.UnreadableVersion)
	}
	status := peerrpc.Status{Node: n.cfg.Node, Leader: n.elector.Leader(), StoreReachable: n.kvReachable(), SchemaVersion: n.schemaVersion()}
	if plan := n.currentRoutingPlan(n.cfg.Node); plan != nil && n.isLeader() {
		status.Plan = &plan.Plan
	}
	return status
}
