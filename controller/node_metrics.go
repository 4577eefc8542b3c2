package controller

import (
	"log/slog"
	"time"

	"github.com/umberdeal/umberdeal/admission"
	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/metrics"
)

// This file registers a node's metrics. Gauges of the whole cluster have a value on the
// leader only.

// setUpMetrics registers the metrics, if there is an address to serve them on: without
// one nothing is measured.
func (n *Node) setUpMetrics() {
	if n.tuning.Metrics.Listen == "" {
		return
	}
	n.recentErrors = metrics.NewRecentErrors(n.log.Handler())
	n.log = slog.New(n.recentErrors)
	n.metrics = metrics.New(n.cfg.Node)
	n.registerConnectionMetrics(n.metrics)
	n.registerForwardingMetrics(n.metrics)
	n.registerLeaderMetrics(n.metrics)
	n.registerWarmPoolMetrics(n.metrics)
	n.registerBatchWindowMetrics(n.metrics)
}

// registerConnectionMetrics registers what this node's limits let in and turn away.
func (n *Node) registerConnectionMetrics(m *metrics.Set) {
	for name, kind := range map[string]admission.Kind{
		"connections_users":   admission.KindUser,
		"connections_workers": admission.KindWorker,
		"connections_other":   admission.KindUnknown,
	} {
		m.RegisterGauge(name, "Open connections.", func() float64 { return float64(n.connLimiter.Count(kind)) })
	}
	m.RegisterCounter("connections_closed_total", "Connections closed for want of room.", func() float64 { return float64(n.connLimiter.Rejected()) })
	m.RegisterCounter("reports_shed_total", "Reports turned away for want of room.", func() float64 { return float64(n.heartbeatLimiter.Rejected()) })
	m.RegisterGauge("reports_waiting", "Reports that wait for their turn.", func() float64 { return float64(n.heartbeatLimiter.Waiting()) })
}

// registerForwardingMetrics registers what this node does with heartbeats while another
// node leads.
func (n *Node) registerForwardingMetrics(m *metrics.Set) {
	for name, read := range map[string]func(forwardingCounts) uint64{
		"reports_passed_total":      func(c forwardingCounts) uint64 { return c.forwarded },
		"reports_pass_failed_total": func(c forwardingCounts) uint64 { return c.failed },
		"workers_moved_total":       func(c forwardingCounts) uint64 { return c.redirected },
	} {
		m.RegisterCounter(name, "Of workers that report here while another node leads.", func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read(n.forwarding))
		})
	}
}

// registerLeaderMetrics registers whether this node leads, and the lease that ends first.
func (n *Node) registerLeaderMetrics(m *metrics.Set) {
	m.RegisterGauge("leading", "1 while this node leads and is sure of it.", func() float64 {
		if n.isLeader() {
			return 1
		}
		return 0
	})
	m.RegisterGauge("least_lease_left_seconds", "Of the worker whose lease is nearest its end; the leader's.", func() float64 {
		if f := n.clusterView(time.Now()); f != nil {
			return f.LeastLeaseLeftSeconds
		}
		return 0
	})
}

// registerWarmPoolMetrics registers sums over all warm pools; each pool by itself is in
// the overview.
func (n *Node) registerWarmPoolMetrics(m *metrics.Set) {
	for name, read := range map[string]func(metrics.WarmPool) float64{
		"pool_machines_wanted":  func(p metrics.WarmPool) float64 { return float64(p.Target) },
		"pool_machines_held":    func(p metrics.WarmPool) float64 { return float64(p.Held) },
		"pool_machines_warm":    func(p metrics.WarmPool) float64 { return float64(p.Warm) },
		"pool_machines_filling": func(p metrics.WarmPool) float64 { return float64(p.Fetching) },
		"pool_hits":             func(p metrics.WarmPool) float64 { return float64(p.Hits) },
		"pool_misses":           func(p metrics.WarmPool) float64 { return float64(p.Misses) },
		"pool_ceded":            func(p metrics.WarmPool) float64 { return float64(p.Preemptions) },
	} {
		m.RegisterGauge(name, "Of all warm pools together; the leader's.", func() float64 {
			sum := 0.0
			if f := n.clusterView(time.Now()); f != nil {
				for _, p := range f.WarmPools {
					sum += read(p)
				}
			}
			return sum
		})
	}
}

// registerBatchWindowMetrics registers sums over the batch windows of all regions.
func (n *Node) registerBatchWindowMetrics(m *metrics.Set) {
	for name, read := range map[string]func(v *calendar.View) float64{
		"night_jobs_open": func(v *calendar.View) (count float64) {
			for i := range v.Windows {
				count += float64(v.Windows[i].JobCount() - v.Windows[i].Completed)
			}
			return count
		},
		"night_jobs_done": func(v *calendar.View) (count float64) {
			for i := range v.Windows {
				count += float64(v.Windows[i].Completed)
			}
			return count
		},
		"nights_at_risk": func(v *calendar.View) (count float64) {
			for i := range v.Windows {
				if v.Windows[i].Forecast.AtRisk {
					count++
				}
			}
			return count
		},
		"nights_not_met": func(v *calendar.View) (count float64) {
			for i := range v.Past {
				if how := v.Past[i].Result; how == calendar.ResultLate || how == calendar.ResultIncomplete {
					count++
				}
			}
			return count
		},
	} {
		m.RegisterGauge(name, "Of the calendar's regions together; the leader's. Of past nights, the last of each region are counted.", func() (sum float64) {
			views := n.batchWindows(time.Now())
			for i := range views {
				sum += read(&views[i])
			}
			return sum
		})
	}
}

// latencyMetrics passes the model's latencies on to the metrics.
type latencyMetrics struct{ *metrics.Set }

func (t latencyMetrics) Placed(s float64)   { t.ObserveStep(metrics.StepPlaced, s) }
func (t latencyMetrics) Launched(s float64) { t.ObserveStep(metrics.StepLaunched, s) }
func (t latencyMetrics) Running(s float64)  { t.ObserveStep(metrics.StepRunning, s) }

// onLeaderChange is called when another leader is seen, or none, and when this node has
// become sure that it leads.
func (n *Node) onLeaderChange() {
	leader := n.elector.Leader()
	n.mu.Lock()
	changed := leader != n.lastSeenLeader
	n.lastSeenLeader = leader
	n.mu.Unlock()
	if changed {
		n.metrics.CountLeaderChange()
	}
	n.broadcastLeaderChange()
}

// transactionObserver returns what records the transactions of one of this node's clients of the
// key-value store, by which the path of a write that took long can be read from metrics and log.
func (n *Node) transactionObserver(client string) func(kvstore.Transaction) {
	return func(t kvstore.Transaction) {
		n.metrics.ObserveTransaction(metrics.Transaction{Client: client, Result: t.Result.String(), Changes: t.Changes,
			LimiterSeconds: t.LimiterWait.Seconds(), ResponseSeconds: t.ResponseTime.Seconds()})
		n.log.Debug("transaction ended", "client", client, "key", t.Key, "changes", t.Changes, "result", t.Result,
			"limiter_wait", t.LimiterWait, "response_time", t.ResponseTime, "write_rate", t.WriteRate)
	}
}

// observeQueuedWrite records a submission or a cancellation that has left its bucket's queue.
func (n *Node) observeQueuedWrite(w jobstore.QueuedWrite) {
	n.metrics.ObserveQueuedWrite(string(w.Kind), string(w.Result), w.Queued.Seconds())
	n.log.Debug("queued write ended", "kind", w.Kind, "id", w.ID, "result", w.Result, "queued", w.Queued,
		"transactions", w.Transactions, "shared", w.Shared)
}
