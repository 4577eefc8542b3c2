// The HTTP interface for operators. It serves metrics and an overview of the node and the
// cluster. It has an address of its own, so that operators have access even while users
// overload the node.

package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/routing"
)

// Paths of the operators' interface.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// maxOperatorConns bounds the connections to the operators' interface.
const maxOperatorConns = 8

// microsPerUnit is the number of the model's cost units in one unit of the price list.
const microsPerUnit = 1e6

// serveOperators serves the operators' interface until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, n.metrics.Handler())
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.clusterOverview(r.Context())) // the client may have disconnected
	})
	srv := &http.Server{Handler: mux, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	return n.serveHTTP(ctx, srv, "metrics.listen", n.tuning.Metrics.Listen, maxOperatorConns)
}

// clusterOverview returns this node's overview with the leader's view of the cluster. If no
// leader answers, the view of the cluster is nil. It is never an outdated one.
func (n *Node) clusterOverview(ctx context.Context) metrics.Overview {
	now := time.Now()
	overview := n.localOverview(now)
	if overview.Cluster != nil {
		return overview
	}
	leader := n.peerNamed(n.elector.Leader())
	if leader == nil {
		return overview
	}
	encoded, err := leader.Overview(ctx)
	var leaderOverview metrics.Overview
	if err == nil && json.Unmarshal(encoded, &leaderOverview) == nil {
		overview.Cluster, overview.Routing = leaderOverview.Cluster, leaderOverview.Routing
	}
	return overview
}

// localOverview returns the overview that this node creates without asking the leader.
func (n *Node) localOverview(now time.Time) metrics.Overview {
	overview := metrics.Overview{At: now, Node: n.cfg.Node, Zone: n.cfg.Zone, Ready: n.ready(), StoreReachable: n.kvReachable(),
		Leader: n.elector.Leader(), RecentErrors: n.recentErrors.List(), Cluster: n.clusterView(now)}
	if limiter := n.connLimiter; limiter != nil {
		overview.Connections = metrics.Connections{Users: limiter.Count(admission.KindUser), Workers: limiter.Count(admission.KindWorker),
			Other: limiter.Count(admission.KindUnknown), Limit: n.cfg.Cluster.Limits.Sockets, ClosedOverLimit: limiter.Rejected()}
	}
	n.mu.Lock()
	counts := n.forwarding
	n.mu.Unlock()
	overview.Heartbeats = metrics.Heartbeats{Forwarded: counts.forwarded, Failed: counts.failed, Redirected: counts.redirected, Waiting: n.heartbeatLimiter.Waiting(),
		Refused: n.heartbeatLimiter.Rejected(), WorkersServed: n.lastAnswered.CountWithin(now, config.Seconds(n.cfg.Cluster.Workers.LeaseS))}
	if p := n.operatorPlan(); p.HeadVersion > 0 {
		overview.Plan = &metrics.PlanVersion{Version: p.Number, Unreadable: p.Unreadable}
	}
	if overview.Cluster != nil {
		overview.Cluster.BatchWindows = n.batchWindows(now)
	}
	if p := n.currentRoutingPlan(overview.Leader); p != nil {
		overview.Routing = routingPlanView(&p.Plan)
	}
	return overview
}

// routingPlanView returns the routing plan in the form that is shown to operators.
func routingPlanView(plan *routing.Plan) *metrics.Routing {
	view := &metrics.Routing{Workers: plan.Workers, Direct: plan.Direct}
	for _, relay := range plan.Relays {
		view.Relays = append(view.Relays, relay.Name)
	}
	return view
}

// clusterView returns the leader's view of the cluster, or nil if this node does not lead.
func (n *Node) clusterView(now time.Time) *metrics.Cluster {
	l := n.activeLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	snapshot := l.model.Snapshot(now)
	l.mu.Unlock()
	var starved []metrics.StarvedJob
	for _, job := range snapshot.Starved {
		starved = append(starved, metrics.StarvedJob(job))
	}
	return &metrics.Cluster{
		StarvedJobs: starved, StarvedJobCount: snapshot.StarvedTotal,
		Node: n.cfg.Node, FencingToken: l.lease.FencingToken, LeaderSince: l.lease.ElectedAt, LeaseValid: l.lease.Valid(),
		Machines: snapshot.Machines, Tasks: snapshot.Tasks, Jobs: snapshot.Jobs, LateJobs: snapshot.PastDeadline, LongestWaitSeconds: snapshot.LongestWait,
		LeastLeaseLeftSeconds: snapshot.LeaseLeft, PriorityInversions: snapshot.PriorityInversions, WarmPools: warmPoolViews(snapshot.Pools),
	}
}

// Overview implements peerrpc.Handler. It returns this node's local overview as JSON, or nil if
// it can't be encoded.
func (n *Node) Overview() []byte {
	b, err := json.Marshal(n.localOverview(time.Now()))
	if err != nil {
		return nil // the requester then shows no cluster
	}
	return b
}

// warmPoolViews returns the warm pools in the form that is shown to operators.
func warmPoolViews(pools []cluster.PoolSnapshot) []metrics.WarmPool {
	var views []metrics.WarmPool
	for _, pool := range pools {
		cost := map[string]float64{}
		for team, teamCost := range pool.Teams {
			cost[team] = float64(teamCost.Micros) / microsPerUnit
		}
		views = append(views, metrics.WarmPool{Name: pool.Name, Target: pool.Target, Held: pool.Held, Warm: pool.Warm, Fetching: pool.Fetching, Hits: pool.Hits,
			Misses: pool.Misses, Preemptions: pool.Preemptions, CostLimited: pool.CostLimited, FetchRefused: pool.FetchRefused, Cost: cost})
	}
	return views
}

// batchWindows returns the leader's view of the batch windows, or nil if this node does not
// lead.
func (n *Node) batchWindows(now time.Time) []calendar.View {
	l := n.activeLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.BatchWindows(now)
}
