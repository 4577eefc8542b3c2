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

// heldStop is a stop that was decided but not yet ordered. Its placement is marked as
// StopHeld for as long as it is to be ordered.
type heldStop struct {
	ref       TaskRef
	job       *Job
	placement *Placement
	why       StopReason
	at        time.Time
}

// stillHeld reports whether a stop is still to be ordered. It lapses when its placement is
// removed or is no longer marked.
func (h *heldStop) stillHeld() bool {
	return h.job.Tasks[h.ref.Task].Placement == h.placement && h.placement.StopHeld
}

// heldStops are the stops that wait for the plan to be confirmed, in the order in which they
// were decided.
type heldStops struct {
	stops []heldStop
}

func (s *heldStops) hold(h heldStop) {
	h.placement.holdStop()
	s.stops = append(s.stops, h)
}

// pending returns the stops that are still held, and forgets the others. The result is valid
// until the next call of a method.
func (s *heldStops) pending() []heldStop {
	s.stops = slices.DeleteFunc(s.stops, func(h heldStop) bool { return !h.stillHeld() })
	return s.stops
}

// drop discards all stops.
func (s *heldStops) drop() {
	for _, h := range s.stops {
		h.placement.releaseStop()
	}
	s.stops = s.stops[:0]
}

// ExpectPlan records that there may be a plan from now on, so that stops are held back for
// the check. A leader always learns of this before the first plan can be applied, because
// that requires a schema version to which only the leader migrates.
func (m *Model) ExpectPlan() { m.planExpected = true }

// stopUnderPlan stops a task for a reason that depends on the plan, once the plan is
// confirmed to be in force. The task's resources count as about to be freed from now on.
// A placement that was never launched is removed at once, since no running task is
// affected. Nothing is held back either for a task that is ordered to stop already, or where
// there can't be a plan.
func (m *Model) stopUnderPlan(ref TaskRef, why StopReason, now time.Time) {
	j := m.Jobs[ref.Job]
	p := j.Tasks[ref.Task].Placement
	switch {
	case p == nil || p.StopHeld:
	case !m.planExpected && m.plan.HeadVersion == 0, !p.mayBeOnMachine(), p.Stop != nil:
		m.StopTask(ref, why, now)
	default:
		m.heldStops.hold(heldStop{ref: ref, job: j, placement: p, why: why, at: now})
	}
}

// HasHeldStops reports whether stops wait for a transaction to confirm the plan.
func (m *Model) HasHeldStops() bool { return len(m.heldStops.pending()) > 0 }

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
	held := slices.Clone(m.heldStops.pending()) // the hook below outlives later changes
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

// releaseHeldStops orders the stops, apart from those that have lapsed.
func (m *Model) releaseHeldStops(held []heldStop, now time.Time) {
	for _, h := range held {
		if h.stillHeld() {
			h.placement.releaseStop()
			m.Observer.PreemptionHeld(now.Sub(h.at).Seconds())
			m.StopTask(h.ref, h.why, now)
		}
	}
}

// DropHeldStops discards the held stops because the plan by which they were decided is no
// longer in force. The next scheduling pass decides anew which tasks to stop.
func (m *Model) DropHeldStops() { m.heldStops.drop() }

// RebalanceGuards returns the conditions of a rebalance cycle record besides the leader
// key. They include the plan, because its priority order decides for which requests moves
// make room.
func (m *Model) RebalanceGuards() []wire.Guard {
	if !m.planExpected && m.plan.HeadVersion == 0 {
		return nil
	}
	return []wire.Guard{m.PlanGuard()}
}
