package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file holds back stops that were decided by the operators' plan until a transaction
// has confirmed that this plan is still in force. Stops are sent to workers and are not
// transactions themselves: without the check, a leader that has missed a newer plan could
// preempt tasks by an outdated one for as long as its lease is valid.

// heldStop is a stop that was decided but not yet ordered. It lapses when its placement is
// removed or is no longer marked as held.
type heldStop struct {
	ref   TaskRef
	place *Placement
	why   StopReason
	at    time.Time
}

// ExpectPlan records that there may be a plan from now on, so that stops are held back for
// the check. A leader always learns of this before the first plan can be applied, because
// that requires a schema version to which only the leader migrates.
func (m *Model) ExpectPlan() { m.planExpected = true }

// stopUnderPlan stops a task for a reason that depends on the plan, once the plan is
// confirmed to be in force. The task's resources count as about to be freed from now on.
// A placement that was never launched is removed at once, since no running task is
// affected. Where there can't be a plan, nothing is held back.
func (m *Model) stopUnderPlan(ref TaskRef, why StopReason, now time.Time) {
	j := m.Jobs[ref.Job]
	p := j.Tasks[ref.Task].Placement
	switch {
	case p == nil || p.StopHeld:
	case !m.planExpected && m.plan.HeadVersion == 0, !p.LaunchSent && !p.Inherited, p.Stop != nil:
		m.StopTask(ref, why, now)
	default:
		p.StopHeld = true
		m.heldStops = append(m.heldStops, heldStop{ref: ref, place: p, why: why, at: now})
	}
}

// HasHeldStops reports whether stops wait for a transaction to confirm the plan.
func (m *Model) HasHeldStops() bool {
	m.heldStops = slices.DeleteFunc(m.heldStops, func(h heldStop) bool { return !m.stillHeld(h) })
	return len(m.heldStops) > 0
}

func (m *Model) stillHeld(h heldStop) bool {
	j := m.Jobs[h.ref.Job]
	return j != nil && j.Tasks[h.ref.Task].Placement == h.place && h.place.StopHeld
}

// PlanCheckBatch returns a transaction without changes whose condition is the plan's
// version: committing it releases all held stops. It returns nil if there are none.
func (m *Model) PlanCheckBatch() *WriteBatch {
	if !m.HasHeldStops() {
		return nil
	}
	b := &WriteBatch{}
	m.addPlanCheck(b)
	return b
}

// addPlanCheck makes the commit of a batch release the held stops. A stop may be in several
// batches; the first commit releases it.
func (m *Model) addPlanCheck(b *WriteBatch) {
	if !m.HasHeldStops() {
		return
	}
	if !b.placesTasks {
		b.Guards = append(b.Guards, m.PlanGuard())
	}
	held := slices.Clone(m.heldStops)
	b.HeldStops = len(held)
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) {
		for _, h := range held {
			if m.stillHeld(h) {
				h.place.StopHeld = false
				m.Observer.PreemptionHeld(now.Sub(h.at).Seconds())
				m.StopTask(h.ref, h.why, now)
			}
		}
	})
	b.OnCommit = b.runCommitHooks
}

// DropHeldStops discards the held stops because the plan by which they were decided is no
// longer in force. The next scheduling pass decides anew which tasks to stop.
func (m *Model) DropHeldStops() {
	for _, h := range m.heldStops {
		h.place.StopHeld = false
	}
	m.heldStops = m.heldStops[:0]
}

// RebalanceGuards returns the conditions of a rebalance cycle record besides the leader
// key. They include the plan, because its priority order decides for which requests moves
// make room.
func (m *Model) RebalanceGuards() []wire.Guard {
	if !m.planExpected && m.plan.HeadVersion == 0 {
		return nil
	}
	return []wire.Guard{m.PlanGuard()}
}
