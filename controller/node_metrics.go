// The metrics of a node. Gauges of the whole cluster have a value on the leader only.

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

// setUpMetrics registers the metrics and wraps n.log to keep recent errors. It does nothing if
// there is no address to serve metrics on.
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

// registerConnectionMetrics registers the connections and heartbeats that this node's limits
// admit, delay and refuse.
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

// registerForwardingMetrics registers the counts of heartbeats that this node forwards or
// redirects while another node leads.
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

// registerLeaderMetrics registers whether this node leads, and the remaining time of the
// worker lease that ends first.
func (n *Node) registerLeaderMetrics(m *metrics.Set) {
	m.RegisterGauge("leading", "1 while this node leads and is sure of it.", func() float64 {
		if n.isLeader() {
			return 1
		}
		return 0
	})
	m.RegisterGauge("least_lease_left_seconds", "Of the worker whose lease is nearest its end; the leader's.", func() float64 {
		if view := n.clusterView(time.Now()); view != nil {
			return view.LeastLeaseLeftSeconds
		}
		return 0
	})
}

// registerWarmPoolMetrics registers sums over all warm pools. The overview has the values of
// each pool.
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
			if view := n.clusterView(time.Now()); view != nil {
				for _, p := range view.WarmPools {
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
				if result := v.Past[i].Result; result == calendar.ResultLate || result == calendar.ResultIncomplete {
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

// latencyMetrics records the model's latencies, in seconds, in the metrics.
type latencyMetrics struct{ *metrics.Set }

func (m latencyMetrics) Placed(seconds float64)   { m.ObserveStep(metrics.StepPlaced, seconds) }
func (m latencyMetrics) Launched(seconds float64) { m.ObserveStep(metrics.StepLaunched, seconds) }
func (m latencyMetrics) Running(seconds float64)  { m.ObserveStep(metrics.StepRunning, seconds) }

// onLeaderChange implements election.Config.OnChange. It counts a change of the known leader
// and wakes the heartbeats that wait for a leader.
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

// transactionObserver returns a function that records the transactions of one of this node's
// clients of the key-value store in metrics and log. They show where a slow write spent its
// time.
func (n *Node) transactionObserver(client string) func(kvstore.Transaction) {
	return func(transaction kvstore.Transaction) {
		n.metrics.ObserveTransaction(metrics.Transaction{Client: client, Result: transaction.Result.String(), Changes: transaction.Changes,
			LimiterSeconds: transaction.LimiterWait.Seconds(), ResponseSeconds: transaction.ResponseTime.Seconds()})
		n.log.Debug("transaction ended", "client", client, "key", transaction.Key, "changes", transaction.Changes, "result", transaction.Result,
			"limiter_wait", transaction.LimiterWait, "response_time", transaction.ResponseTime, "write_rate", transaction.WriteRate)
	}
}

// observeQueuedWrite records a submission or a cancellation that has left the queue of its
// bucket.
func (n *Node) observeQueuedWrite(write jobstore.QueuedWrite) {
	n.metrics.ObserveQueuedWrite(string(write.Kind), string(write.Result), write.Queued.Seconds())
	n.log.Debug("queued write ended", "kind", write.Kind, "id", write.ID, "result", write.Result, "queued", write.Queued,
		"transactions", write.Transactions, "shared", write.Shared)
}
