package modelcheck

import (
	"slices"

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

// orders is what a world knows of them.
type orders struct {
	applied int
	arrived bool               // what comes later
	known   int                // to the leader
	decided map[taskKey]uint64 // by which version of the plan's key a task was placed
	victims map[taskKey]uint64 // by which one it is to be stopped, while nobody is told
	stopped map[taskKey]bool   // to make room
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
