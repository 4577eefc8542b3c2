// Confirmation that the operators' plan is still in force, before tasks are preempted
// according to it.

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

const (
	// planCheckDelay is how long stops wait for a regular transaction that is due. This
	// transaction also confirms the plan, so that no extra request is needed.
	planCheckDelay = 60 * time.Millisecond
	// planCheckRateShare is the share of the key-value store's request rate that the extra
	// requests may take.
	planCheckRateShare = 0.03
)

// runPlanCheck releases the stops that depend on the operators' plan, until ctx ends. It first
// lets the key-value store confirm that the plan on which the stops are based is still in
// force. A leader that has missed a newer plan must not preempt tasks according to the old
// one. One request confirms all held stops.
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

// heldStops reports whether stops wait for the plan's confirmation, and whether a regular
// commit is due that confirms the plan as well.
func (l *leadership) heldStops() (held, commitDue bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.HasHeldStops(), l.committing || l.model.PendingWrites() > 0
}

// confirmPlan compares the plan's version with the stored one, and sends the held stops if both
// are equal. It returns false if the transaction failed.
func (l *leadership) confirmPlan(ctx context.Context) bool {
	l.mu.Lock()
	batch := l.model.PlanCheckBatch()
	l.mu.Unlock()
	if batch == nil {
		return true // a regular commit has released the stops in the meantime
	}
	if l.commitBatch(ctx, batch) != nil {
		return false
	}
	l.sendDirectStops(ctx)
	return true
}

// dropSupersededPlan is called when the plan in the model is found to be no longer in force. It
// drops the stops that were held for this plan and reads the current plan.
func (l *leadership) dropSupersededPlan(ctx context.Context) {
	l.mu.Lock()
	l.model.DropHeldStops()
	l.mu.Unlock()
	l.reloadPlan(ctx)
}

// conflictsOn reports whether a transaction failed because of its condition on a key.
func conflictsOn(err error, key string) bool {
	var conflict *kvstore.ConflictError
	return errors.As(err, &conflict) && slices.Contains(conflict.FailedKeys, key)
}

// handleRebalanceCommitFailure logs that the record of a rebalancing cycle was not committed.
// If the plan's version was the reason, it reads the current plan.
func (l *leadership) handleRebalanceCommitFailure(ctx context.Context, group string, err error) {
	l.log.Debug("rebalancing record not committed", "group", group, "err", err)
	if conflictsOn(err, jobstore.PlanHeadKey) {
		l.dropSupersededPlan(ctx)
	}
}
