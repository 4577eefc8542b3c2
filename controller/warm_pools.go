package controller

import (
	"context"
	"errors"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/metrics"
	"github.com/umberdeal/umberdeal/wire"
)

// recordWeightFetches records the jobs that fetch weights onto the machines of warm pools,
// as the model asks for them. Each is a reserved job of one task that does
// nothing, on a machine of its own: from its record on it is a job like any other,
// and whoever leads next finds it under way.
func (l *leadership) recordWeightFetches(ctx context.Context) {
	most := max(1, l.node.cfg.Cluster.State.TxnOps/2)
	for call.Pause(ctx, time.Second) {
		if !l.lease.Valid() {
			continue
		}
		l.mu.Lock()
		jobs, byPlan := l.model.NextPrefetches(most, time.Now()), l.model.PlanGuard()
		l.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		guards := []wire.Guard{l.leaderGuard(), byPlan}
		var ops []wire.Op
		for _, j := range jobs {
			guards = append(guards, wire.Guard{Key: jobstore.JobKey(j.ID)}, wire.Guard{Key: jobstore.FinalKey(j.ID)})
			ops = append(ops, wire.Op{Put: jobstore.JobKey(j.ID), Value: j.Record})
		}
		_, err := l.node.kv.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			continue
		}
		// Those that were not recorded are asked for again under other names.
		l.log.Debug("fetches of weights", "count", len(jobs), "err", err)
		var c *kvstore.ConflictError
		if errors.As(err, &c) {
			l.dropSupersededPlan(ctx)
		}
	}
}

// registerWarmPoolMetrics adds what operators watch of all warm pools together; each by itself
// is in the overview.
func (n *Node) registerWarmPoolMetrics(m *metrics.Set) {
	for name, read := range map[string]func(metrics.Pool) float64{
		"pool_machines_wanted":  func(p metrics.Pool) float64 { return float64(p.Aim) },
		"pool_machines_held":    func(p metrics.Pool) float64 { return float64(p.Held) },
		"pool_machines_warm":    func(p metrics.Pool) float64 { return float64(p.Warm) },
		"pool_machines_filling": func(p metrics.Pool) float64 { return float64(p.Filling) },
		"pool_hits":             func(p metrics.Pool) float64 { return float64(p.Hits) },
		"pool_misses":           func(p metrics.Pool) float64 { return float64(p.Misses) },
		"pool_ceded":            func(p metrics.Pool) float64 { return float64(p.Ceded) },
	} {
		m.Gauge(name, "Of all warm pools together; the leader's.", func() float64 {
			sum := 0.0
			if f := n.fleetView(time.Now()); f != nil {
				for _, p := range f.Pools {
					sum += read(p)
				}
			}
			return sum
		})
	}
}

func warmPoolViews(from []cluster.PoolSnapshot) []metrics.Pool {
	var out []metrics.Pool
	for _, p := range from {
		cost := map[string]float64{}
		for t, c := range p.Teams {
			cost[t] = float64(c.Micros) / 1e6
		}
		out = append(out, metrics.Pool{Name: p.Name, Aim: p.Target, Held: p.Held, Warm: p.Warm, Filling: p.Fetching, Hits: p.Hits,
			Misses: p.Misses, Ceded: p.Preemptions, Limited: p.CostLimited, Refused: p.FetchRefused, Cost: cost})
	}
	return out
}
