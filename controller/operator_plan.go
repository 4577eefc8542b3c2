// Loading of the operators' plan, and writing of the records of its parts. Every node watches
// the plan. A leader also reads the plan before it places anything. Every placement is
// committed on condition of the plan's version, so safety does not depend on the watch.

package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// planWatchTimeout is how long one watch request waits for changes of the plan.
	planWatchTimeout = 50 * time.Second
	// planRecordWriteShare is the share of the key-value store's write rate that the records
	// of the plan's parts may take.
	planRecordWriteShare = 0.02
	// planRecordInterval is the pause between two writes of these records.
	planRecordInterval = 500 * time.Millisecond
)

// operatorPlan returns the operators' plan that this node read last. It returns a zero Plan if
// the node has not read one yet.
func (n *Node) operatorPlan() cluster.Plan {
	if p := n.loadedPlan.Load(); p != nil {
		return *p
	}
	return cluster.Plan{}
}

// watchOperatorPlan reads the plan, and reads it again whenever it changes, until ctx ends.
func (n *Node) watchOperatorPlan(ctx context.Context) {
	revision, isRevisionKnown := uint64(0), false
	for ctx.Err() == nil {
		if !isRevisionKnown {
			start, err := n.startPlanWatch(ctx)
			if err != nil {
				pauseBeforePlanRead(ctx)
				continue
			}
			revision, isRevisionKnown = start, true
			n.requestSchemaMigration() // a plan may have been requested before this watch
		}
		events, err := n.kv.Watch(ctx, jobstore.PlanPrefix, revision, planWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			isRevisionKnown = false
			continue
		}
		if err == nil {
			err = n.applyPlanEvents(ctx, events.Log)
		}
		if err != nil {
			pauseBeforePlanRead(ctx)
			continue // the next watch returns the same events again
		}
		revision = max(revision, events.Revision)
	}
}

// startPlanWatch reads the plan and returns the revision from which to watch it. The revision
// is from before the read, so that the watch misses no change.
func (n *Node) startPlanWatch(ctx context.Context) (revision uint64, err error) {
	if _, revision, err = n.kv.List(ctx, jobstore.PlanHeadKey); err != nil {
		return 0, err
	}
	_, err = n.loadOperatorPlan(ctx)
	return revision, err
}

// applyPlanEvents reads the plan again if there are events. If an operator has requested a
// plan, it also requests a schema migration.
func (n *Node) applyPlanEvents(ctx context.Context, events []wire.Event) error {
	if len(events) == 0 {
		return nil
	}
	if _, err := n.loadOperatorPlan(ctx); err != nil {
		return err
	}
	for _, e := range events {
		if e.Put == jobstore.PlanRequestedKey {
			n.requestSchemaMigration()
		}
	}
	return nil
}

// pauseBeforePlanRead waits for a random time, so that the nodes don't retry simultaneously.
func pauseBeforePlanRead(ctx context.Context) {
	call.Pause(ctx, time.Second+rand.N(time.Second))
}

// readOperatorPlan reads the plan that is in force. If no version of the plan can be read, it
// returns a plan that is marked as unreadable, under which nothing is placed, and no error.
func readOperatorPlan(ctx context.Context, client jobstore.Client) (cluster.Plan, jobstore.ActivePlan, error) {
	var parsed *plan.Plan
	active, err := jobstore.LoadPlan(ctx, client, func(text string) error {
		p, err := plan.Parse(text)
		parsed = p
		return err
	})
	unreadable := errors.Is(err, jobstore.ErrPlanUnreadable)
	if err != nil && !unreadable {
		return cluster.Plan{}, active, err
	}
	result := cluster.Plan{Number: active.Number, HeadVersion: active.HeadVersion, Unreadable: unreadable}
	if active.Number > 0 {
		result.Plan = parsed
	}
	return result, active, nil
}

// loadOperatorPlan reads and returns the plan that is in force. It passes the plan to the model
// if this node leads. If the plan's record is unreadable, the plan that the node read before
// stays in use. If a concurrent read has found a newer plan, it returns the newer plan.
func (n *Node) loadOperatorPlan(ctx context.Context) (cluster.Plan, error) {
	current, active, err := readOperatorPlan(ctx, n.kv)
	if err != nil {
		return cluster.Plan{}, err
	}
	unreadable := current.Unreadable
	n.mu.Lock()
	previous := n.operatorPlan()
	if unreadable && previous.Plan != nil {
		// The plan that this node read before is still in force. Only its record is
		// damaged.
		current.Plan, current.Number, current.Unreadable = previous.Plan, previous.Number, false
	}
	if current.HeadVersion < previous.HeadVersion {
		current = previous // a concurrent read has seen a newer plan
	}
	n.loadedPlan.Store(&current)
	l := n.active
	n.mu.Unlock()
	if current.HeadVersion != previous.HeadVersion {
		for _, warning := range active.Warnings {
			n.log.Error("unreadable plan record", "version_in_force", current.Number, "err", warning)
		}
		if unreadable {
			n.log.Error("unreadable plan record", "version_in_force", current.Number, "err", jobstore.ErrPlanUnreadable)
		}
		n.log.Info("plan loaded", "version", current.Number, "by", active.By, "note", active.Note)
	}
	if l != nil {
		l.setPlan(current)
	}
	return current, nil
}

// setPlan passes a plan to the model and wakes the loops that apply it.
func (l *leadership) setPlan(p cluster.Plan) {
	l.mu.Lock()
	l.model.SetPlan(p, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
}

// reloadPlan reads the plan again. It is called after a transaction failed because of the
// plan's version, which shows that this node's plan is not the one in force.
func (l *leadership) reloadPlan(ctx context.Context) {
	if _, err := l.node.loadOperatorPlan(ctx); err != nil {
		l.log.Debug("plan not reloaded", "err", err)
	}
}

// markPlanRequested informs the model that there may be a plan. Placements are then committed
// on condition of the plan's version.
func (l *leadership) markPlanRequested() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.ExpectPlan()
}

// requestSchemaMigration wakes the schema migration if this node leads. The migration tries to
// raise the schema to the one with plans.
func (n *Node) requestSchemaMigration() {
	if l := n.activeLeadership(); l != nil {
		wake(l.schemaWake)
	}
}

// writePlanRecords writes the records of the plan's parts until ctx ends, at a low rate.
func (l *leadership) writePlanRecords(ctx context.Context) {
	limits := l.node.cfg.Cluster.State
	limiter := rate.NewLimiter(rate.Limit(planRecordWriteShare*limits.WriteRPS), max(1, min(limits.TxnOps, int(2*planRecordWriteShare*limits.WriteRPS))))
	for call.Pause(ctx, planRecordInterval) {
		l.mu.Lock()
		l.model.RetryRejectedWrites(time.Now())
		count := min(l.model.PendingPlanRecords(), limiter.Burst())
		l.mu.Unlock()
		if count == 0 || !l.lease.Valid() {
			continue
		}
		if err := limiter.WaitN(ctx, count); err != nil {
			return
		}
		l.mu.Lock()
		batch := l.model.PlanRecordBatch(count)
		l.mu.Unlock()
		if batch == nil {
			continue
		}
		_ = l.commitBatch(ctx, batch) // the writes of a failed batch are collected again
	}
}
