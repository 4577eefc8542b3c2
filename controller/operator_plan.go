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

// This file follows the operators' plan, and writes the records of its parts. Every node
// watches the plan, and a leader reads it before it places anything. Every placement is
// committed on condition of the plan's version, so that safety does not depend on the
// watch.

const (
	// planWatchTimeout is how long one watch of the plan is open.
	planWatchTimeout = 50 * time.Second
	// planRecordWriteShare is the share of the store's write rate that the records of the
	// plan's parts may take.
	planRecordWriteShare = 0.02
	// planRecordInterval is how often these records are written.
	planRecordInterval = 500 * time.Millisecond
)

// operatorPlan returns the operators' plan as this node knows it.
func (n *Node) operatorPlan() cluster.Plan {
	if p := n.loadedPlan.Load(); p != nil {
		return *p
	}
	return cluster.Plan{}
}

// watchOperatorPlan reads new versions of the plan as they are applied.
func (n *Node) watchOperatorPlan(ctx context.Context) {
	revision, known := uint64(0), false
	for ctx.Err() == nil {
		if !known {
			at, err := n.startPlanWatch(ctx)
			if err != nil {
				pauseBeforePlanRead(ctx)
				continue
			}
			revision, known = at, true
			n.requestSchemaMigration() // a plan may have been requested before this watch
		}
		events, err := n.kv.Watch(ctx, jobstore.PlanPrefix, revision, planWatchTimeout)
		if errors.Is(err, kvstore.ErrCompacted) {
			known = false
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

// startPlanWatch reads the plan and returns a revision from which to watch it: one from
// before the read, so that no change between the two is missed.
func (n *Node) startPlanWatch(ctx context.Context) (revision uint64, err error) {
	if _, revision, err = n.kv.List(ctx, jobstore.PlanHeadKey); err != nil {
		return 0, err
	}
	_, err = n.loadOperatorPlan(ctx)
	return revision, err
}

// applyPlanEvents reads the plan again if anything has changed.
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

// pauseBeforePlanRead waits a while, at random, so that the nodes don't retry together.
func pauseBeforePlanRead(ctx context.Context) {
	call.Pause(ctx, time.Second+rand.N(time.Second))
}

// readOperatorPlan reads the plan that is in force. A plan of which no version can be
// read is no error: it is returned as unreadable, and nothing is placed by it.
func readOperatorPlan(ctx context.Context, s jobstore.Client) (cluster.Plan, jobstore.ActivePlan, error) {
	var parsed *plan.Plan
	active, err := jobstore.LoadPlan(ctx, s, func(text string) error {
		p, err := plan.Parse(text)
		parsed = p
		return err
	})
	unreadable := errors.Is(err, jobstore.ErrPlanUnreadable)
	if err != nil && !unreadable {
		return cluster.Plan{}, active, err
	}
	p := cluster.Plan{Number: active.Number, HeadVersion: active.HeadVersion, Unreadable: unreadable}
	if active.Number > 0 {
		p.Plan = parsed
	}
	return p, active, nil
}

// loadOperatorPlan reads the plan and passes it to the model, if this node leads.
func (n *Node) loadOperatorPlan(ctx context.Context) (cluster.Plan, error) {
	p, active, err := readOperatorPlan(ctx, n.kv)
	if err != nil {
		return cluster.Plan{}, err
	}
	unreadable := p.Unreadable
	n.mu.Lock()
	previous := n.operatorPlan()
	if unreadable && previous.Plan != nil {
		// The plan that this node read before is still in force: only its record is
		// damaged.
		p.Plan, p.Number, p.Unreadable = previous.Plan, previous.Number, false
	}
	if p.HeadVersion < previous.HeadVersion {
		p = previous // a concurrent read has seen a newer plan
	}
	n.loadedPlan.Store(&p)
	l := n.active
	n.mu.Unlock()
	if p.HeadVersion != previous.HeadVersion {
		for _, warning := range active.Warnings {
			n.log.Error("unreadable plan record", "version_in_force", p.Number, "err", warning)
		}
		if unreadable {
			n.log.Error("unreadable plan record", "version_in_force", p.Number, "err", jobstore.ErrPlanUnreadable)
		}
		n.log.Info("plan loaded", "version", p.Number, "by", active.By, "note", active.Note)
	}
	if l != nil {
		l.setPlan(p)
	}
	return p, nil
}

// setPlan passes a plan to the model and has it applied at once.
func (l *leadership) setPlan(p cluster.Plan) {
	l.mu.Lock()
	l.model.SetPlan(p, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
}

// reloadPlan is called when a transaction failed for the plan's version: this node's plan
// is older than the one in force.
func (l *leadership) reloadPlan(ctx context.Context) {
	if _, err := l.node.loadOperatorPlan(ctx); err != nil {
		l.log.Debug("plan not reloaded", "err", err)
	}
}

// markPlanRequested tells the model that there may be a plan, so that placements are
// committed on condition of its version.
func (l *leadership) markPlanRequested() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.ExpectPlan()
}

// requestSchemaMigration has the leader try to raise the schema to the one with plans, if
// this node leads.
func (n *Node) requestSchemaMigration() {
	if l := n.activeLeadership(); l != nil {
		wake(l.schemaWake)
	}
}

// writePlanRecords writes the records of the plan's parts, few a second.
func (l *leadership) writePlanRecords(ctx context.Context) {
	sl := l.node.cfg.Cluster.State
	share := rate.NewLimiter(rate.Limit(planRecordWriteShare*sl.WriteRPS), max(1, min(sl.TxnOps, int(2*planRecordWriteShare*sl.WriteRPS))))
	for call.Pause(ctx, planRecordInterval) {
		l.mu.Lock()
		want := min(l.model.PendingPlanRecords(), share.Burst())
		l.mu.Unlock()
		if want == 0 || !l.lease.Valid() {
			continue
		}
		if err := share.WaitN(ctx, want); err != nil {
			return
		}
		l.mu.Lock()
		b := l.model.PlanRecordBatch(want)
		l.mu.Unlock()
		if b == nil {
			continue
		}
		_ = l.commitBatch(ctx, b) // a batch that failed is collected again
	}
}
