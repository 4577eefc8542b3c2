package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has the plan compared before tasks are stopped by it.

const (
	// planCheckDelay is for how long stops wait for a transaction that is committed
	// anyhow: it carries their condition without a request of its own.
	planCheckDelay = 60 * time.Millisecond
	// planCheckRateShare is the share of the state service's requests that comparing may
	// take.
	planCheckRateShare = 0.03
)

// runPlanCheck sends out the stops that rest on the plan once the state service has
// said that the plan by which they were decided is in force. All that wait go with
// one request.
func (l *leadership) runPlanCheck(ctx context.Context) {
	share := rate.NewLimiter(rate.Limit(min(max(2, planCheckRateShare*l.node.cfg.Cluster.State.RPS), 10)), 2)
	for {
		l.mu.Lock()
		wait, anyhow := l.model.HasHeldStops(), l.committing || l.model.PendingWrites() > 0
		l.mu.Unlock()
		if !wait {
			select {
			case <-ctx.Done():
				return
			case <-l.planCheckWake:
			}
			continue
		}
		if anyhow && !call.Pause(ctx, planCheckDelay) || share.Wait(ctx) != nil {
			return
		}
		if !l.lease.Valid() {
			if !call.Pause(ctx, planCheckDelay) {
				return
			}
			continue
		}
		l.mu.Lock()
		b := l.model.PlanCheckBatch()
		l.mu.Unlock()
		if b == nil {
			continue // a transaction took them along
		}
		rev, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard()}, b.Guards...), nil)
		if err == nil {
			l.mu.Lock()
			b.OnCommit(rev, time.Now())
			l.mu.Unlock()
			l.sendDirectStops(ctx)
			continue
		}
		l.handleCommitFailure(ctx, b, err)
		if !call.Pause(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
			return
		}
	}
}

// dropSupersededPlan is for a leader that has learnt that another plan is in force than the
// one it decides by: nobody is stopped by that one, and the newer is read.
func (l *leadership) dropSupersededPlan(ctx context.Context) {
	l.mu.Lock()
	l.model.DropHeldStops()
	l.mu.Unlock()
	l.reloadPlan(ctx)
}

// conflictsOn says whether a transaction failed for a key.
func conflictsOn(err error, key string) bool {
	var c *kvstore.ConflictError
	return errors.As(err, &c) && slices.Contains(c.FailedKeys, key)
}

// rebalancingRejected is for a record of moves that was not committed.
func (l *leadership) rebalancingRejected(ctx context.Context, group string, err error) {
	l.log.Debug("cycle record", "group", group, "err", err)
	if conflictsOn(err, jobstore.PlanHeadKey) {
		l.dropSupersededPlan(ctx)
	}
}
