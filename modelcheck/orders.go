package modelcheck

import (
	"fmt"
	"io"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/order"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is the operators' order of service, which is changed while the leader
// decides, commits, and is replaced. The rule: no placement is committed that was
// decided by an order older than the one in force at that commit.

// OldOrder takes the condition away that ties a commit to the plan in force.
const OldOrder Breach = 100

// What may happen to an order, where a scenario has any.
const (
	Decide Kind = 100 + iota // the leader plans, and has committed nothing yet
	Apply                    // another order is applied
	Hear                     // the leader hears of it
)

var orderNames = map[Kind]string{Decide: "leader decides", Apply: "an order is applied", Hear: "leader hears of the order"}

// orders is what a world knows of them.
type orders struct {
	applied int
	known   int                // to the leader
	decided map[taskKey]uint64 // by which version of the plan's key a task was placed
}

// Ordered is two jobs of two classes, one machine for one of them at a time, and
// an order between them that is turned round.
func Ordered() *Scenario {
	return &Scenario{Name: "orders", Zones: []string{"a"}, Capacity: 2, Takeovers: 1, Plans: 2,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Class = "craft" }), job("wk-000002", func(j *wire.Job) { j.Class = "clinic" })}}
}

// apply puts the next version in force.
func (w *World) apply() {
	w.applied++
	w.rev++
	w.store[ledger.PlanHeadKey] = value{ledger.PlanHead{Versions: []ledger.PlanVersion{{Number: w.applied}}}, w.rev}
}

// hear lets a leader read the plan in force.
func (w *World) hear(m *cluster.Model) {
	v, ok := w.store[ledger.PlanHeadKey]
	if !ok {
		return
	}
	w.known = w.applied
	classes := []string{"clinic", "craft"}
	if w.applied%2 == 0 {
		classes = []string{"craft", "clinic"}
	}
	p := &plan.Plan{Order: order.Settings{Tiers: []order.Tier{{Name: classes[0], Classes: classes[:1]}, {Name: classes[1], Classes: classes[1:], LongestWaitS: order.BoundS}}}}
	m.SetPlan(cluster.Plan{Plan: p, Number: w.applied, Head: v.version}, w.now())
}

// plans has the leader plan, and notes by which order what it placed.
func (w *World) plans() {
	w.model.Schedule(w.now(), 0)
	if w.decided == nil {
		w.decided = map[taskKey]uint64{}
	}
	w.placements(func(k taskKey, _ bool) {
		if _, ok := w.decided[k]; !ok {
			w.decided[k] = w.model.PlanGuard().Version
		}
	})
}

// placements goes through what the leader has placed, in its order.
func (w *World) placements(see func(k taskKey, committed bool)) {
	for _, j := range w.model.Jobs {
		if j == nil {
			continue
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Place; p != nil && !p.Inherited {
				see(taskKey{wire.TaskName(j.ID, i), p.Attempt}, j.Chunks[i/ledger.ChunkSize].Committed >= j.Chunks[i/ledger.ChunkSize].PlaceGen)
			}
		}
	}
}

// conditions are a transaction's.
func (w *World) conditions(guards []wire.Guard) []wire.Guard {
	if w.breach != OldOrder {
		return guards
	}
	var out []wire.Guard
	for _, g := range guards {
		if g.Key != ledger.PlanHeadKey {
			out = append(out, g)
		}
	}
	return out
}

// checkOrder holds what a transaction places against the order in force. It is
// asked as the transaction is applied.
func (w *World) checkOrder(op wire.Op) {
	is, ok := op.Value.(ledger.PageRecord)
	if !ok {
		return
	}
	there := map[taskKey]bool{}
	if was, ok := w.store[op.Put].v.(ledger.PageRecord); ok {
		for _, c := range was.Chunks {
			for _, p := range c.Placed {
				there[taskKey{wire.TaskName(c.Job, p.Task), p.Attempt}] = true
			}
		}
	}
	for _, c := range is.Chunks {
		for _, p := range c.Placed {
			k := taskKey{wire.TaskName(c.Job, p.Task), p.Attempt}
			if by, ok := w.decided[k]; ok && !there[k] && by != w.store[ledger.PlanHeadKey].version {
				w.broke("old order", fmt.Sprintf("%s is placed by an order that is no longer in force", k.name))
			}
		}
	}
}

// orderActions lists what may happen to the order next.
func (w *World) orderActions() (out []Action) {
	if w.sc.Plans == 0 {
		return nil
	}
	out = append(out, Action{Kind: Decide})
	if w.applied < w.sc.Plans {
		out = append(out, Action{Kind: Apply})
	}
	if w.model.PlanGuard().Version != w.store[ledger.PlanHeadKey].version {
		out = append(out, Action{Kind: Hear})
	}
	return out
}

func (w *World) doOrder(k Kind) {
	switch k {
	case Decide:
		w.model.Tick(w.now())
		w.plans()
	case Apply:
		w.apply()
	case Hear:
		w.hear(w.model)
	}
}

// orderDigest writes what of the order bears on what may follow.
func (w *World) orderDigest(out io.Writer) {
	if w.sc.Plans == 0 {
		return
	}
	head := w.store[ledger.PlanHeadKey].version
	fmt.Fprintf(out, "|O%d,%d,%t", w.applied, w.known, w.model.PlanGuard().Version == head)
	w.placements(func(k taskKey, committed bool) {
		fmt.Fprintf(out, ";%s%t%t", k.name, committed, w.decided[k] == head)
	})
}
