package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file holds stops that rest on the plan back until the state service has
// said that the plan by which they were decided is still in force. A stop is no
// transaction of its own: without that, a leader that has not heard of the newest
// order would stop tasks by an older one for as long as it is sure of its lease.

// heldStop is a stop that was decided and that nobody has been told of. It is gone
// once its place is, or once the place is no longer held.
type heldStop struct {
	ref   TaskRef
	place *Placement
	why   string
	at    time.Time
}

// ExpectPlan takes in that there may be a plan from now on. A leader learns of it
// before the first version can be applied, since that waits for the form of the
// records, which only a leader raises.
func (m *Model) ExpectPlan() { m.planExpected = true }

// stopUnderPlan stops a task for a reason that rests on the plan, once the plan is
// known to be in force. Its room counts as coming free from now on. What was never
// launched is taken back at once, which stops nothing; and where there can be no
// plan, nothing is held back.
func (m *Model) stopUnderPlan(ref TaskRef, why string, now time.Time) {
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

// HasHeldStops says whether stops wait for the plan to be compared.
func (m *Model) HasHeldStops() bool {
	m.heldStops = slices.DeleteFunc(m.heldStops, func(h heldStop) bool { return !m.stillHeld(h) })
	return len(m.heldStops) > 0
}

func (m *Model) stillHeld(h heldStop) bool {
	j := m.Jobs[h.ref.Job]
	return j != nil && j.Tasks[h.ref.Task].Placement == h.place && h.place.StopHeld
}

// PlanCheckBatch is a transaction that changes nothing and has the plan's version as
// its condition, for all stops held; nil where there are none.
func (m *Model) PlanCheckBatch() *WriteBatch {
	if !m.HasHeldStops() {
		return nil
	}
	b := &WriteBatch{}
	m.addPlanCheck(b)
	return b
}

// addPlanCheck has the stops that are held go out once a batch is committed. They may
// be in several batches: the first to be committed counts.
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

// DropHeldStops takes back the stops that are held: another plan is in force than the
// one they were decided by. Who is to be stopped is judged anew.
func (m *Model) DropHeldStops() {
	for _, h := range m.heldStops {
		h.place.StopHeld = false
	}
	m.heldStops = m.heldStops[:0]
}

// RebalanceGuards are the conditions of a record of moves besides the leader's: whom
// moves make room for follows from the order.
func (m *Model) RebalanceGuards() []wire.Guard {
	if !m.planExpected && m.plan.HeadVersion == 0 {
		return nil
	}
	return []wire.Guard{m.PlanGuard()}
}
