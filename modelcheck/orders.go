package modelcheck

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is the operators' order of service, which is changed while the leader
// decides, commits, and is replaced. The rules: no placement is committed that was
// decided by an order older than the one in force at that commit, and nobody is
// stopped to make room by an order older than the one in force when it was compared.

// OldOrder takes the condition away that ties a commit to the plan in force.
const OldOrder Breach = 100

// OldStops lets stops go out without the plan being compared.
const OldStops Breach = 101

// What may happen to an order, where a scenario has any.
const (
	Decide Kind = 100 + iota // the leader plans, and has committed nothing yet
	Apply                    // another order is applied
	Hear                     // the leader hears of it
	Arrive                   // a job that comes later is accepted
)

var orderNames = map[Kind]string{Decide: "leader decides", Apply: "an order is applied", Hear: "leader hears of the order", Arrive: "a job arrives"}

// orders is what a world knows of them.
type orders struct {
	applied int
	arrived bool               // what comes later
	known   int                // to the leader
	decided map[taskKey]uint64 // by which version of the plan's key a task was placed
	victims map[taskKey]uint64 // by which one it is to be stopped, while nobody is told
	stopped map[taskKey]bool   // to make room
}

// Ordered is two jobs of two classes, one machine for one of them at a time, and
// an order between them that is turned round.
func Ordered() *Scenario {
	return &Scenario{Name: "orders", Zones: []string{"a"}, Capacity: 2, Takeovers: 1, Plans: 2,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Class = "craft" }), job("wk-000002", func(j *wire.Job) { j.Class = "clinic" })}}
}

// Preempted is work that is running, and urgent work that comes for its place while
// the order is changed.
func Preempted() *Scenario {
	return &Scenario{Name: "stops by orders", Zones: []string{"a"}, Capacity: 2, Takeovers: 1, Plans: 2, Later: 1,
		Jobs: []wire.Job{job("wk-000001", func(j *wire.Job) { j.Class = "craft" }),
			job("wk-000002", func(j *wire.Job) { j.Class, j.Priority = "clinic", wire.PriorityHigh })}}
}

// apply puts the next version in force.
func (w *World) apply() {
	w.applied++
	w.rev++
	w.store[jobstore.PlanHeadKey] = value{jobstore.PlanHead{Versions: []jobstore.PlanVersion{{Number: w.applied}}}, w.rev}
}

// hear lets a leader read the plan in force.
func (w *World) hear(m *cluster.Model) {
	v, ok := w.store[jobstore.PlanHeadKey]
	if !ok {
		return
	}
	w.known = w.applied
	classes := []string{"clinic", "craft"}
	if w.applied%2 == 0 {
		classes = []string{"craft", "clinic"}
	}
	p := &plan.Plan{Order: priority.Settings{Tiers: []priority.Tier{{Name: classes[0], Classes: classes[:1]}, {Name: classes[1], Classes: classes[1:], LongestWaitS: priority.StarvationBoundSeconds}}}}
	m.SetPlan(cluster.Plan{Plan: p, Number: w.applied, HeadVersion: v.version}, w.now())
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
	w.seeStops()
}

// seeStops notes by which order somebody is to be stopped, and holds those of whom
// the leader now tells against the one in force. It is asked after each of the
// leader's steps.
func (w *World) seeStops() {
	if w.sc.Plans == 0 {
		return
	}
	if w.victims == nil {
		w.victims, w.stopped = map[taskKey]uint64{}, map[taskKey]bool{}
	}
	was := w.victims
	w.victims = map[taskKey]uint64{}
	for _, j := range w.model.Jobs {
		if j == nil {
			continue
		}
		for i := range j.Tasks {
			p := j.Tasks[i].Placement
			if p == nil {
				continue
			}
			k := taskKey{wire.TaskName(j.ID, i), p.Attempt}
			by, held := was[k]
			if !held {
				by = w.model.PlanGuard().Version
			}
			if p.StopHeld {
				w.victims[k] = by
			}
			if p.Stop != nil && p.Stop.Reason == "preempted" && !w.stopped[k] {
				w.stopped[k] = true
				if by != w.store[jobstore.PlanHeadKey].version {
					w.broke("old order", fmt.Sprintf("%s is stopped by an order that is no longer in force", k.name))
				}
			}
		}
	}
}

// compare has the leader compare the plan, if somebody is to be stopped by it.
func (w *World) compare(answerLost bool) {
	b := w.model.PlanCheckBatch()
	if b == nil {
		return
	}
	if w.breach == OldStops {
		b.Guards = nil
	}
	failed := w.commit(b.Guards, nil)
	switch {
	case failed != nil:
		w.refusedFor(failed)
	case !answerLost:
		b.OnCommit(w.rev, w.now())
		w.seeStops()
	}
}

// refusedFor has the leader take in that a transaction failed for these keys.
func (w *World) refusedFor(keys []string) {
	if slices.Contains(keys, jobstore.PlanHeadKey) {
		w.model.DropHeldStops()
		w.hear(w.model)
		w.seeStops()
	}
}

// placements goes through what the leader has placed, in its order.
func (w *World) placements(see func(k taskKey, committed bool)) {
	for _, j := range w.model.Jobs {
		if j == nil {
			continue
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && !p.Inherited {
				see(taskKey{wire.TaskName(j.ID, i), p.Attempt}, j.Chunks[i/jobstore.ChunkSize].CommittedGen >= j.Chunks[i/jobstore.ChunkSize].PlacedGen)
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
		if g.Key != jobstore.PlanHeadKey {
			out = append(out, g)
		}
	}
	return out
}

// checkOrder holds what a transaction places against the order in force. It is
// asked as the transaction is applied.
func (w *World) checkOrder(op wire.Op) {
	is, ok := op.Value.(jobstore.PlacementPage)
	if !ok {
		return
	}
	there := map[taskKey]bool{}
	if was, ok := w.store[op.Put].v.(jobstore.PlacementPage); ok {
		for _, c := range was.Chunks {
			for _, p := range c.Placements {
				there[taskKey{wire.TaskName(c.Job, p.Task), p.Attempt}] = true
			}
		}
	}
	for _, c := range is.Chunks {
		for _, p := range c.Placements {
			k := taskKey{wire.TaskName(c.Job, p.Task), p.Attempt}
			if by, ok := w.decided[k]; ok && !there[k] && by != w.store[jobstore.PlanHeadKey].version {
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
	if w.sc.Later > 0 && !w.arrived {
		out = append(out, Action{Kind: Arrive})
	}
	if w.model.PlanGuard().Version != w.store[jobstore.PlanHeadKey].version {
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
		w.seeStops()
	case Arrive:
		w.arrived = true
		w.rev++
		rec := jobstore.JobRecord{Job: w.last(), AcceptedAtMs: w.now().UnixMilli()}
		w.store[jobstore.JobKey(rec.Job.ID)] = value{rec, w.rev}
		w.model.PutJob(rec.Job.ID, rec, w.rev, w.now())
		w.seen = max(w.seen, w.rev)
	}
}

func (w *World) last() wire.Job { return w.sc.Jobs[len(w.sc.Jobs)-1] }

// orderDigest writes what of the order bears on what may follow.
func (w *World) orderDigest(out io.Writer) {
	if w.sc.Plans == 0 {
		return
	}
	head := w.store[jobstore.PlanHeadKey].version
	fmt.Fprintf(out, "|O%d,%d,%t", w.applied, w.known, w.model.PlanGuard().Version == head)
	w.placements(func(k taskKey, committed bool) {
		fmt.Fprintf(out, ";%s%t%t", k.name, committed, w.decided[k] == head)
	})
	for _, k := range slices.SortedFunc(maps.Keys(w.victims), func(a, b taskKey) int { return strings.Compare(a.name, b.name) }) {
		fmt.Fprintf(out, ";v%s%t", k.name, w.victims[k] == head)
	}
}
