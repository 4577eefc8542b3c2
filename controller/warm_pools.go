package controller

import (
	"context"
	"errors"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// weightFetchInterval is how often the jobs that fill warm pools are recorded.
const weightFetchInterval = time.Second

// recordWeightFetches records the jobs that fetch model weights onto the machines of warm
// pools, as the model asks for them. Each is a reserved job of one task that does nothing,
// on a machine of its own. Once recorded it is a job like any other, so that whoever leads
// next finds it under way.
func (l *leadership) recordWeightFetches(ctx context.Context) {
	maxJobs := max(1, l.node.cfg.Cluster.State.TxnOps/2)
	for call.Pause(ctx, weightFetchInterval) {
		if !l.lease.Valid() {
			continue
		}
		l.mu.Lock()
		jobs, planGuard := l.model.NextPrefetches(maxJobs, time.Now()), l.model.PlanGuard()
		l.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		guards := []wire.Guard{l.leaderGuard(), planGuard}
		var ops []wire.Op
		for _, j := range jobs {
			guards = append(guards, wire.Guard{Key: jobstore.JobKey(j.ID)}, wire.Guard{Key: jobstore.FinalKey(j.ID)})
			ops = append(ops, wire.Op{Put: jobstore.JobKey(j.ID), Value: j.Record})
		}
		_, err := l.node.kv.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			continue
		}
		// The model asks for those that were not recorded again under other ids.
		l.log.Debug("weight fetches not recorded", "count", len(jobs), "err", err)
		var conflict *kvstore.ConflictError
		if errors.As(err, &conflict) {
			l.dropSupersededPlan(ctx)
		}
	}
}
