package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// heldStop is a stop that was decided but not ordered yet. Its placement has StopHeld set while
// the stop is still to be ordered.
type heldStop struct {
	ref       TaskRef
	job       *Job
	placement *Placement
	reason    StopReason
	decidedAt time.Time
}

// stillHeld reports whether the stop is still to be ordered. A stop lapses when its placement
// is removed or StopHeld is reset.
func (h *heldStop) stillHeld() bool {
	return h.job.Tasks[h.ref.Task].Placement == h.placement && h.placement.StopHeld
}

// heldStops are the stops decided by the operators' plan that wait until a transaction confirms
// that this plan is still in force, in the order in which they were decided. A stop is sent to a
// worker and is no transaction itself. Without this check, a leader that missed a newer plan
// could preempt tasks by an outdated plan for as long as its lease is valid.
type heldStops struct {
	stops []heldStop
}

// hold adds a stop and marks its placement.
func (s *heldStops) hold(h heldStop) {
	h.placement.holdStop()
	s.stops = append(s.stops, h)
}

// pending returns the stops that are still held and drops the others. The result is valid until
// the next call of a method of heldStops.
func (s *heldStops) pending() []heldStop {
	s.stops = slices.DeleteFunc(s.stops, func(h heldStop) bool { return !h.stillHeld() })
	return s.stops
}

// drop discards all held stops, so that their tasks keep running.
func (s *heldStops) drop() {
	for _, h := range s.stops {
		h.placement.releaseStop()
	}
	s.stops = s.stops[:0]
}

// ExpectPlan records that a plan may exist from now on, so that stops are held until the plan is
// confirmed. A leader always calls it before the first plan can be applied, because plans need
// a schema version to which only the leader migrates.
func (m *Model) ExpectPlan() { m.planExpected = true }

// stopUnderPlan stops a task for a reason that depends on the plan. The stop is held until the
// plan is confirmed to be in force, and the task counts as stopping from now on. The stop is
// ordered at once if no plan can exist, or if the task is ordered to stop already. A placement
// that was never launched is removed at once, because no running task is affected.
func (m *Model) stopUnderPlan(ref TaskRef, reason StopReason, now time.Time) {
	j := m.Jobs[ref.Job]
	p := j.Tasks[ref.Task].Placement
	switch {
	case p == nil || p.StopHeld:
	case !m.planExpected && m.plan.HeadVersion == 0, !p.mayBeOnMachine(), p.Stop != nil:
		m.StopTask(ref, reason, now)
	default:
		m.heldStops.hold(heldStop{ref: ref, job: j, placement: p, reason: reason, decidedAt: now})
	}
}

// HasHeldStops reports whether stops wait until a transaction confirms the plan.
func (m *Model) HasHeldStops() bool { return len(m.heldStops.pending()) > 0 }

// PlanCheckBatch returns a transaction that changes nothing and has the plan's version as its
// condition. Its commit orders all held stops. The result is nil if no stop is held.
func (m *Model) PlanCheckBatch() *WriteBatch {
	if !m.HasHeldStops() {
		return nil
	}
	b := &WriteBatch{}
	m.addPlanCheck(b)
	return b
}

// addPlanCheck makes the commit of a batch order the held stops. A stop may be in several
// batches. The first commit orders it.
func (m *Model) addPlanCheck(b *WriteBatch) {
	held := slices.Clone(m.heldStops.pending()) // the commit hook runs after later changes of the list
	if len(held) == 0 {
		return
	}
	if !b.placesTasks {
		b.Guards = append(b.Guards, m.PlanGuard())
	}
	b.HeldStops = len(held)
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) { m.releaseHeldStops(held, now) })
	b.OnCommit = b.runCommitHooks
}

// releaseHeldStops orders the given stops, except those that have lapsed.
func (m *Model) releaseHeldStops(held []heldStop, now time.Time) {
	for _, h := range held {
		if h.stillHeld() {
			h.placement.releaseStop()
			m.Observer.PreemptionHeld(now.Sub(h.decidedAt).Seconds())
			m.StopTask(h.ref, h.reason, now)
		}
	}
}

// DropHeldStops discards the held stops. It is called when the plan that decided them is no
// longer in force. The next scheduling pass decides again which tasks to stop.
func (m *Model) DropHeldStops() { m.heldStops.drop() }

// RebalanceGuards returns the conditions for writing a rebalance cycle record, in addition to
// the one on the leader key. They include the plan's version, because the plan's priority order
// decides for which requests moves free resources. The result is nil if no plan can exist.
func (m *Model) RebalanceGuards() []wire.Guard {
	if !m.planExpected && m.plan.HeadVersion == 0 {
		return nil
	}
	return []wire.Guard{m.PlanGuard()}
}
