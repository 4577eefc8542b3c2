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

// This file is the HTTP interface of operators: metrics, and an overview of the node and
// the cluster. It has an address of its own, so that a crowd of users can't keep
// operators out.

// Paths of the operators' interface.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// maxOperatorConns bounds the connections of the interface.
const maxOperatorConns = 8

// microsPerUnit is how many of the model's units of cost are one of the price list's.
const microsPerUnit = 1e6

// serveOperators serves metrics and overviews until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, n.metrics.Handler())
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.clusterOverview(r.Context())) // whoever asked may be gone
	})
	srv := &http.Server{Handler: mux, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	return n.serveHTTP(ctx, srv, "metrics.listen", n.tuning.Metrics.Listen, maxOperatorConns)
}

// clusterOverview returns this node's overview, with the leader's view of the cluster where a
// leader answers. Without one there is none, rather than an earlier one.
func (n *Node) clusterOverview(ctx context.Context) metrics.Overview {
	now := time.Now()
	o := n.localOverview(now)
	if o.Cluster != nil {
		return o
	}
	leader := n.peerNamed(n.elector.Leader())
	if leader == nil {
		return o
	}
	encoded, err := leader.Overview(ctx)
	var theirs metrics.Overview
	if err == nil && json.Unmarshal(encoded, &theirs) == nil {
		o.Cluster, o.Routing = theirs.Cluster, theirs.Routing
	}
	return o
}

// localOverview returns what this node knows by itself.
func (n *Node) localOverview(now time.Time) metrics.Overview {
	o := metrics.Overview{At: now, Node: n.cfg.Node, Zone: n.cfg.Zone, Ready: n.ready(), StoreReachable: n.kvReachable(),
		Leader: n.elector.Leader(), RecentErrors: n.recentErrors.List(), Cluster: n.clusterView(now)}
	if l := n.connLimiter; l != nil {
		o.Connections = metrics.Connections{Users: l.Count(admission.KindUser), Workers: l.Count(admission.KindWorker),
			Other: l.Count(admission.KindUnknown), Limit: n.cfg.Cluster.Limits.Sockets, ClosedOverLimit: l.Rejected()}
	}
	n.mu.Lock()
	c := n.forwarding
	n.mu.Unlock()
	o.Heartbeats = metrics.Heartbeats{Forwarded: c.forwarded, Failed: c.failed, Redirected: c.redirected, Waiting: n.heartbeatLimiter.Waiting(),
		Refused: n.heartbeatLimiter.Rejected(), WorkersServed: n.lastAnswered.CountWithin(now, config.Seconds(n.cfg.Cluster.Workers.LeaseS))}
	if p := n.operatorPlan(); p.HeadVersion > 0 {
		o.Plan = &metrics.PlanVersion{Version: p.Number, Unreadable: p.Unreadable}
	}
	if o.Cluster != nil {
		o.Cluster.BatchWindows = n.batchWindows(now)
	}
	if p := n.currentRoutingPlan(o.Leader); p != nil {
		o.Routing = routingPlanView(&p.Plan)
	}
	return o
}

// routingPlanView returns the routing plan as operators are shown it.
func routingPlanView(p *routing.Plan) *metrics.Routing {
	out := &metrics.Routing{Workers: p.Workers, Direct: p.Direct}
	for _, r := range p.Relays {
		out.Relays = append(out.Relays, r.Name)
	}
	return out
}

// clusterView returns the cluster as the leader sees it, nil unless this node leads.
func (n *Node) clusterView(now time.Time) *metrics.Cluster {
	l := n.activeLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	s := l.model.Snapshot(now)
	l.mu.Unlock()
	var starved []metrics.StarvedJob
	for _, job := range s.Starved {
		starved = append(starved, metrics.StarvedJob(job))
	}
	return &metrics.Cluster{
		StarvedJobs: starved, StarvedJobCount: s.StarvedTotal,
		Node: n.cfg.Node, FencingToken: l.lease.FencingToken, LeaderSince: l.lease.ElectedAt, LeaseValid: l.lease.Valid(),
		Machines: s.Machines, Tasks: s.Tasks, Jobs: s.Jobs, LateJobs: s.PastDeadline, LongestWaitSeconds: s.LongestWait,
		LeastLeaseLeftSeconds: s.LeaseLeft, PriorityInversions: s.PriorityInversions, WarmPools: warmPoolViews(s.Pools),
	}
}

// Overview implements peerrpc.Handler.
func (n *Node) Overview() []byte {
	b, err := json.Marshal(n.localOverview(time.Now()))
	if err != nil {
		return nil // whoever asked shows no fleet
	}
	return b
}

// warmPoolViews returns the warm pools as operators are shown them.
func warmPoolViews(from []cluster.PoolSnapshot) []metrics.WarmPool {
	var out []metrics.WarmPool
	for _, p := range from {
		cost := map[string]float64{}
		for t, c := range p.Teams {
			cost[t] = float64(c.Micros) / microsPerUnit
		}
		out = append(out, metrics.WarmPool{Name: p.Name, Target: p.Target, Held: p.Held, Warm: p.Warm, Fetching: p.Fetching, Hits: p.Hits,
			Misses: p.Misses, Preemptions: p.Preemptions, CostLimited: p.CostLimited, FetchRefused: p.FetchRefused, Cost: cost})
	}
	return out
}

// batchWindows returns the batch windows as the leader sees them, none unless this node
// leads.
func (n *Node) batchWindows(now time.Time) []calendar.View {
	l := n.activeLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.BatchWindows(now)
}
