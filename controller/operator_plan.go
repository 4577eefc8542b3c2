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

// This file keeps a node's knowledge of the operators' plan, and writes what its
// parts record. Each node watches the plan; a leader reads it before it places
// anything, and every placement is committed on condition of the plan's version,
// so that the watch is a matter of speed only.

const (
	// planWatchTimeout is for how long a watch of the plan is open.
	planWatchTimeout = 50 * time.Second
	// planRecordWriteShare is the share of the state service's changes that all records of
	// the plan's parts may take.
	planRecordWriteShare = 0.02
)

// operatorPlan is the operators' plan as this node knows it.
func (n *Node) operatorPlan() cluster.Plan {
	if p := n.loadedPlan.Load(); p != nil {
		return *p
	}
	return cluster.Plan{}
}

// watchOperatorPlan learns of new versions of the plan as they are applied.
func (n *Node) watchOperatorPlan(ctx context.Context) {
	rev, known := uint64(0), false
	for ctx.Err() == nil {
		if !known {
			_, at, err := n.kv.List(ctx, jobstore.PlanHeadKey)
			if err == nil {
				_, err = n.loadOperatorPlan(ctx)
			}
			if err != nil {
				call.Pause(ctx, time.Second+rand.N(time.Second))
				continue
			}
			rev, known = at, true
			n.requestSchemaMigration() // maybe before this watch
		}
		ev, err := n.kv.Watch(ctx, jobstore.PlanPrefix, rev, planWatchTimeout)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			known = false
		case err != nil:
			call.Pause(ctx, time.Second+rand.N(time.Second))
		default:
			if len(ev.Log) > 0 {
				if _, err := n.loadOperatorPlan(ctx); err != nil {
					call.Pause(ctx, time.Second+rand.N(time.Second))
					continue // the same changes are told again
				}
				for _, e := range ev.Log {
					if e.Put == jobstore.PlanRequestedKey {
						n.requestSchemaMigration()
					}
				}
			}
			rev = max(rev, ev.Revision)
		}
	}
}

// readOperatorPlan reads the plan that holds. Where no version of it can be read, it is lost,
// which is no error.
func readOperatorPlan(ctx context.Context, s jobstore.KeyValueStore) (cluster.Plan, jobstore.ActivePlan, error) {
	var got *plan.Plan
	st, err := jobstore.LoadPlan(ctx, s, func(text string) error {
		p, err := plan.Parse(text)
		got = p
		return err
	})
	lost := errors.Is(err, jobstore.ErrPlanUnreadable)
	if err != nil && !lost {
		return cluster.Plan{}, st, err
	}
	p := cluster.Plan{Number: st.Number, HeadVersion: st.HeadVersion, Unreadable: lost}
	if st.Number > 0 {
		p.Plan = got
	}
	return p, st, nil
}

// loadOperatorPlan reads the plan and hands it to the leader, if this node leads.
func (n *Node) loadOperatorPlan(ctx context.Context) (cluster.Plan, error) {
	p, st, err := readOperatorPlan(ctx, n.kv)
	if err != nil {
		return cluster.Plan{}, err
	}
	lost := p.Unreadable
	n.mu.Lock()
	was := n.operatorPlan()
	if p.Unreadable && was.Plan != nil {
		// What this node read before still holds: the record is damaged, not
		// the decision.
		p.Plan, p.Number, p.Unreadable = was.Plan, was.Number, false
	}
	if p.HeadVersion < was.HeadVersion {
		p = was // another read has been faster
	}
	n.loadedPlan.Store(&p)
	l := n.active
	n.mu.Unlock()
	if p.HeadVersion != was.HeadVersion {
		for _, t := range st.Warnings {
			n.log.Error("a record of the plan can't be read", "holds", p.Number, "err", t)
		}
		if lost {
			n.log.Error("a record of the plan can't be read", "holds", p.Number, "err", jobstore.ErrPlanUnreadable)
		}
		n.log.Info("plan read", "version", p.Number, "by", st.By, "note", st.Note)
	}
	if l != nil {
		l.setPlan(p)
	}
	return p, nil
}

func (l *leadership) setPlan(p cluster.Plan) {
	l.mu.Lock()
	l.model.SetPlan(p, time.Now())
	l.mu.Unlock()
	wake(l.schedulerWake)
	wake(l.committerWake)
}

// reloadPlan is for a leader whose transaction failed for the plan's version.
func (l *leadership) reloadPlan(ctx context.Context) {
	if _, err := l.node.loadOperatorPlan(ctx); err != nil {
		l.log.Debug("plan", "err", err)
	}
}

// markPlanRequested tells the model that there may be a plan.
func (l *leadership) markPlanRequested() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.ExpectPlan()
}

// requestSchemaMigration has a leader look again whether the records may be written in the form
// that says that there may be a plan.
func (n *Node) requestSchemaMigration() {
	if l := n.activeLeadership(); l != nil {
		wake(l.schemaWake)
	}
}

// writePlanRecords writes what the plan's parts record, few changes a second.
func (l *leadership) writePlanRecords(ctx context.Context) {
	sl := l.node.cfg.Cluster.State
	share := rate.NewLimiter(rate.Limit(planRecordWriteShare*sl.WriteRPS), max(1, min(sl.TxnOps, int(2*planRecordWriteShare*sl.WriteRPS))))
	for call.Pause(ctx, 500*time.Millisecond) {
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
		rev, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard()}, b.Guards...), b.Ops)
		if err != nil {
			l.handleCommitFailure(ctx, b, err)
			continue
		}
		l.mu.Lock()
		b.OnCommit(rev, time.Now())
		l.mu.Unlock()
	}
}
