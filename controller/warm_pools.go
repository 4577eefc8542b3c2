// Recording of the jobs that fetch model weights for warm pools.

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

// weightFetchInterval is the pause between two writes of jobs that fill warm pools.
const weightFetchInterval = time.Second

// recordWeightFetches writes the records of the jobs that fetch model weights onto machines of
// warm pools, as the model requests them. Each is a reserved job of one task that does nothing,
// on a machine of its own. A recorded job is handled like any other job, so that the next
// leader continues it.
func (l *leadership) recordWeightFetches(ctx context.Context) {
	batchSize := kvstore.NewBatchSize(1, l.node.cfg.Cluster.State.TxnOps/2)
	for call.Pause(ctx, weightFetchInterval) {
		if !l.lease.Valid() {
			continue
		}
		l.mu.Lock()
		jobs, planGuard := l.model.NextPrefetches(batchSize.Limit(), time.Now()), l.model.PlanGuard()
		l.mu.Unlock()
		if len(jobs) == 0 {
			continue
		}
		guards := []wire.Guard{l.leaderGuard(), planGuard}
		var ops []wire.Op
		for _, job := range jobs {
			guards = append(guards, wire.Guard{Key: jobstore.JobKey(job.ID)}, wire.Guard{Key: jobstore.FinalKey(job.ID)})
			ops = append(ops, wire.Op{Put: jobstore.JobKey(job.ID), Value: job.Record})
		}
		_, err := l.node.kv.CompareAndSwap(ctx, guards, ops)
		batchSize.Record(len(ops), err)
		if err == nil {
			continue
		}
		// The model requests the jobs that were not recorded again, under other ids.
		l.log.Debug("weight fetches not recorded", "count", len(jobs), "err", err)
		var conflict *kvstore.ConflictError
		if errors.As(err, &conflict) {
			l.dropSupersededPlan(ctx)
		}
	}
}
