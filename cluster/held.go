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
	ref   Ref
	place *Place
	why   string
	at    time.Time
}

// PlanWanted takes in that there may be a plan from now on. A leader learns of it
// before the first version can be applied, since that waits for the form of the
// records, which only a leader raises.
func (m *Model) PlanWanted() { m.planned = true }

// stopByPlan stops a task for a reason that rests on the plan, once the plan is
// known to be in force. Its room counts as coming free from now on. What was never
// launched is taken back at once, which stops nothing; and where there can be no
// plan, nothing is held back.
func (m *Model) stopByPlan(ref Ref, why string, now time.Time) {
	j := m.Jobs[ref.Job]
	p := j.Tasks[ref.Task].Place
	switch {
	case p == nil || p.Held:
	case !m.planned && m.plan.Head == 0, !p.Sent && !p.Inherited, p.Stop != nil:
		m.StopTask(ref, why, now)
	default:
		p.Held = true
		m.held = append(m.held, heldStop{ref: ref, place: p, why: why, at: now})
	}
}

// Holding says whether stops wait for the plan to be compared.
func (m *Model) Holding() bool {
	m.held = slices.DeleteFunc(m.held, func(h heldStop) bool { return !m.isHeld(h) })
	return len(m.held) > 0
}

func (m *Model) isHeld(h heldStop) bool {
	j := m.Jobs[h.ref.Job]
	return j != nil && j.Tasks[h.ref.Task].Place == h.place && h.place.Held
}

// CompareBatch is a transaction that changes nothing and has the plan's version as
// its condition, for all stops held; nil where there are none.
func (m *Model) CompareBatch() *Batch {
	if !m.Holding() {
		return nil
	}
	b := &Batch{}
	m.compare(b)
	return b
}

// compare has the stops that are held go out once a batch is committed. They may
// be in several batches: the first to be committed counts.
func (m *Model) compare(b *Batch) {
	if !m.Holding() {
		return
	}
	if !b.places {
		b.Guards = append(b.Guards, m.PlanGuard())
	}
	held := slices.Clone(m.held)
	b.Stops = len(held)
	b.after = append(b.after, func(_ uint64, now time.Time) {
		for _, h := range held {
			if m.isHeld(h) {
				h.place.Held = false
				m.Timings.StopHeld(now.Sub(h.at).Seconds())
				m.StopTask(h.ref, h.why, now)
			}
		}
	})
	b.Committed = b.committed
}

// DropStops takes back the stops that are held: another plan is in force than the
// one they were decided by. Who is to be stopped is judged anew.
func (m *Model) DropStops() {
	for _, h := range m.held {
		h.place.Held = false
	}
	m.held = m.held[:0]
}

// MoveGuards are the conditions of a record of moves besides the leader's: whom
// moves make room for follows from the order.
func (m *Model) MoveGuards() []wire.Guard {
	if !m.planned && m.plan.Head == 0 {
		return nil
	}
	return []wire.Guard{m.PlanGuard()}
}
