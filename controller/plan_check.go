package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
)

// This file has the operators' plan confirmed before tasks are preempted by it.

const (
	// planCheckDelay is for how long stops wait for a transaction that is committed
	// anyhow: it carries their condition without a request of its own.
	planCheckDelay = 60 * time.Millisecond
	// planCheckRateShare is the share of the key-value store's requests that comparing may
	// take.
	planCheckRateShare = 0.03
)

// runPlanCheck releases the stops that depend on the operators' plan once the store has
// confirmed that the plan by which they were decided is still in force: a leader that has
// missed a newer plan must not preempt tasks by the old one. One request confirms all stops
// that are held.
func (l *leadership) runPlanCheck(ctx context.Context) {
	limiter := rate.NewLimiter(rate.Limit(min(max(2, planCheckRateShare*l.node.cfg.Cluster.State.RPS), 10)), 2)
	for {
		held, commitDue := l.heldStops()
		if !held {
			select {
			case <-ctx.Done():
				return
			case <-l.planCheckWake:
			}
			continue
		}
		if commitDue && !call.Pause(ctx, planCheckDelay) || limiter.Wait(ctx) != nil {
			return
		}
		if !l.lease.Valid() {
			if !call.Pause(ctx, planCheckDelay) {
				return
			}
			continue
		}
		if !l.confirmPlan(ctx) && !kvstore.PauseBeforeRetry(ctx) {
			return
		}
	}
}

// heldStops says whether stops wait for the plan's confirmation, and whether a
// commit that would carry it is due anyhow.
func (l *leadership) heldStops() (held, commitDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.HasHeldStops(), l.committing || l.model.PendingWrites() > 0
}

// confirmPlan compares the plan's version, and sends the stops where it holds. It
// returns false where the comparison failed.
func (l *leadership) confirmPlan(ctx context.Context) bool {
	l.mu.Lock()
	b := l.model.PlanCheckBatch()
	l.mu.Unlock()
	if b == nil {
		return true // a commit has released them in the meantime
	}
	if l.commitBatch(ctx, b) != nil {
		return false
	}
	l.sendDirectStops(ctx)
	return true
}

// dropSupersededPlan handles the discovery that another plan is in force than the one in the
// model: the stops that were held for the latter are dropped, and the current plan is read.
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

// handleRebalanceCommitFailure handles the failure to commit a rebalance cycle record.
func (l *leadership) handleRebalanceCommitFailure(ctx context.Context, group string, err error) {
	l.log.Debug("rebalancing record not committed", "group", group, "err", err)
	if conflictsOn(err, jobstore.PlanHeadKey) {
		l.dropSupersededPlan(ctx)
	}
}
