package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/routing"
)

// This file is the operators' door. It has an address of its own, and without
// one nothing is measured.

// Paths of the operators' door.
const (
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// maxOperatorConns bounds the operators' connections.
const maxOperatorConns = 8

// setUpMetrics sets up what the operators watch, if they do.
func (n *Node) setUpMetrics() {
	if n.tuning.Metrics.Listen == "" {
		return
	}
	n.recentErrors = metrics.NewTroubles(n.log.Handler())
	n.log = slog.New(n.recentErrors)
	n.metrics = metrics.New(n.cfg.Node)
	m := n.metrics
	for name, k := range map[string]admission.Kind{"connections_users": admission.KindUser,
		"connections_workers": admission.KindWorker, "connections_other": admission.KindUnknown} {
		m.Gauge(name, "Open connections.", func() float64 { return float64(n.connLimiter.Count(k)) })
	}
	m.Counter("connections_closed_total", "Connections closed for want of room.", func() float64 { return float64(n.connLimiter.Rejected()) })
	m.Counter("reports_shed_total", "Reports turned away for want of room.", func() float64 { return float64(n.heartbeatLimiter.Rejected()) })
	m.Gauge("reports_waiting", "Reports that wait for their turn.", func() float64 { return float64(n.heartbeatLimiter.Waiting()) })
	for name, read := range map[string]func(forwardingCounts) uint64{
		"reports_passed_total":      func(c forwardingCounts) uint64 { return c.forwarded },
		"reports_pass_failed_total": func(c forwardingCounts) uint64 { return c.failed },
		"workers_moved_total":       func(c forwardingCounts) uint64 { return c.redirected },
	} {
		m.Counter(name, "Of workers that report here while another node leads.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read(n.forwarding))
		})
	}
	m.Gauge("leading", "1 while this node leads and is sure of it.", func() float64 {
		if n.isLeader() {
			return 1
		}
		return 0
	})
	n.registerWarmPoolMetrics(m)
	m.Gauge("least_lease_left_seconds", "Of the worker whose lease is nearest its end; the leader's.", func() float64 {
		if f := n.fleetView(time.Now()); f != nil {
			return f.LeaseLeftS
		}
		return 0
	})
	n.registerBatchWindowMetrics()
}

// batchWindows is what the leader knows of the calendar's nights; nothing unless this node
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

// registerBatchWindowMetrics adds what is known of the calendar's nights while this node leads.
func (n *Node) registerBatchWindowMetrics() {
	for name, read := range map[string]func(v *calendar.View) float64{
		"night_jobs_open": func(v *calendar.View) (k float64) {
			for i := range v.Nights {
				k += float64(v.Nights[i].All() - v.Nights[i].Done)
			}
			return k
		},
		"night_jobs_done": func(v *calendar.View) (k float64) {
			for i := range v.Nights {
				k += float64(v.Nights[i].Done)
			}
			return k
		},
		"nights_at_risk": func(v *calendar.View) (k float64) {
			for i := range v.Nights {
				if v.Nights[i].Forecast.AtRisk {
					k++
				}
			}
			return k
		},
		"nights_not_met": func(v *calendar.View) (k float64) {
			for i := range v.Past {
				if how := v.Past[i].How; how == calendar.Late || how == calendar.Incomplete {
					k++
				}
			}
			return k
		},
	} {
		n.metrics.Gauge(name, "Of the calendar's regions together; the leader's. Of past nights, the last of each region are counted.", func() (sum float64) {
			views := n.batchWindows(time.Now())
			for i := range views {
				sum += read(&views[i])
			}
			return sum
		})
	}
}

// serveOperators serves metrics and overviews until ctx ends.
func (n *Node) serveOperators(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathMetrics, n.metrics.Handler())
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.overview(r.Context())) // whoever asked may be gone
	})
	srv := &http.Server{Handler: mux, WriteTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	return n.serveHTTP(ctx, srv, "metrics.listen", n.tuning.Metrics.Listen, maxOperatorConns)
}

// serveHTTP serves one of the node's other HTTP doors, on an address of its own,
// until ctx ends; name is its setting's.
func (n *Node) serveHTTP(ctx context.Context, srv *http.Server, name, addr string, most int) error {
	l, err := n.network.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	srv.ReadHeaderTimeout, srv.ReadTimeout, srv.MaxHeaderBytes = 5*time.Second, 10*time.Second, 16<<10
	srv.ErrorLog = slog.NewLogLogger(n.log.Handler(), slog.LevelDebug)
	stop := context.AfterFunc(ctx, func() { srv.Close() })
	defer stop()
	if err := srv.Serve(netutil.LimitListener(l, most)); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// overview is this node's, with the leader's view of the fleet where a leader
// answers.
func (n *Node) overview(ctx context.Context) metrics.Overview {
	now := time.Now()
	o := n.localOverview(now)
	if o.Fleet != nil {
		return o
	}
	p := n.peerNamed(n.elector.Leader())
	if p == nil {
		return o
	}
	said, err := p.Overview(ctx)
	var theirs metrics.Overview
	if err == nil && json.Unmarshal(said, &theirs) == nil {
		o.Fleet, o.Plan = theirs.Fleet, theirs.Plan
	}
	return o
}

func (n *Node) localOverview(now time.Time) metrics.Overview {
	o := metrics.Overview{At: now, Node: n.cfg.Node, Zone: n.cfg.Zone, Ready: n.ready(), StateServed: n.kvReachable(),
		Leader: n.elector.Leader(), Troubles: n.recentErrors.Last(), Fleet: n.fleetView(now)}
	if d := n.connLimiter; d != nil {
		o.Connections = metrics.Connections{Users: d.Count(admission.KindUser), Workers: d.Count(admission.KindWorker),
			Other: d.Count(admission.KindUnknown), Most: n.cfg.Cluster.Limits.Sockets, Closed: d.Rejected()}
	}
	n.mu.Lock()
	c := n.forwarding
	n.mu.Unlock()
	o.Reports = metrics.Reports{Passed: c.forwarded, Failed: c.failed, Moved: c.redirected, Waiting: n.heartbeatLimiter.Waiting(),
		Refused: n.heartbeatLimiter.Rejected(), Served: n.lastAnswered.CountWithin(now, config.Seconds(n.cfg.Cluster.Workers.LeaseS))}
	if p := n.operatorPlan(); p.HeadVersion > 0 {
		o.Orders = &metrics.Orders{Version: p.Number, Lost: p.Unreadable}
	}
	if o.Fleet != nil {
		o.Fleet.Nights = n.batchWindows(now)
	}
	if p := n.currentRoutingPlan(o.Leader); p != nil {
		o.Plan = routingPlanView(&p.Plan)
	}
	return o
}

func routingPlanView(p *routing.Plan) *metrics.Plan {
	out := &metrics.Plan{Workers: p.Workers, Direct: p.Direct}
	for _, r := range p.Relays {
		out.Relays = append(out.Relays, r.Name)
	}
	return out
}

// fleetView is the leader's view, nil unless this node leads.
func (n *Node) fleetView(now time.Time) *metrics.Fleet {
	l := n.activeLeadership()
	if l == nil {
		return nil
	}
	l.mu.Lock()
	s := l.model.Snapshot(now)
	l.mu.Unlock()
	var unbegun []metrics.StarvedJob
	for _, u := range s.Starved {
		unbegun = append(unbegun, metrics.StarvedJob(u))
	}
	return &metrics.Fleet{Unbegun: unbegun, UnbegunAll: s.StarvedTotal, Node: n.cfg.Node, Token: l.lease.FencingToken, Since: l.lease.ElectedAt, Sure: l.lease.Valid(),
		Machines: s.Machines, Tasks: s.Tasks, Jobs: s.Jobs, Late: s.PastDeadline, LongestS: s.LongestWait, LeaseLeftS: s.LeaseLeft, Departures: s.PriorityInversions, Pools: warmPoolViews(s.Pools)}
}

// Overview implements peerrpc.Handler.
func (n *Node) Overview() []byte {
	b, err := json.Marshal(n.localOverview(time.Now()))
	if err != nil {
		return nil // whoever asked shows no fleet
	}
	return b
}

// latencyMetrics hands the model's times to the instruments.
type latencyMetrics struct{ *metrics.Set }

func (t latencyMetrics) Placed(s float64)   { t.Took(metrics.Placed, s) }
func (t latencyMetrics) Launched(s float64) { t.Took(metrics.Launched, s) }
func (t latencyMetrics) Running(s float64)  { t.Took(metrics.Running, s) }

// onLeaderChange takes in that another leader is seen, or none, or that this node has
// become sure of leading.
func (n *Node) onLeaderChange() {
	leader := n.elector.Leader()
	n.mu.Lock()
	changed := leader != n.lastSeenLeader
	n.lastSeenLeader = leader
	n.mu.Unlock()
	if changed {
		n.metrics.LeaderChanged()
	}
	n.broadcastLeaderChange()
}
