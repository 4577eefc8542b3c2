package modelcheck

import (
	"fmt"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

func (w *World) broke(rule, what string) {
	if w.Broken == "" {
		w.Broken = rule + ": " + what
	}
}

// checkStart holds a start against the rules, by what is on machines now.
func (w *World) checkStart(k *worker, t *task) {
	j := &w.sc.Jobs[t.job]
	used := j.CPUs
	for _, o := range w.workers {
		for _, p := range o.tasks {
			if !p.here() {
				continue
			}
			used += w.sc.Jobs[p.job].CPUs
			if p.name == t.name {
				w.broke("ran_twice", t.name+" starts on "+k.name+" while it is on "+o.name)
			}
			if p.job == t.job && j.OneZone && o.zone != k.zone {
				w.broke("wrong_place", t.name+" starts on "+k.name+" while "+p.name+" is on "+o.name)
			}
		}
	}
	if w.sc.Max > 0 && used > w.sc.Max {
		w.broke("quota", t.name+" starts on "+k.name+" beyond its team's limit")
	}
	if since, ok := w.cancelled[j.ID]; ok && w.step-since >= cancelSteps {
		w.broke("ran_cancelled", t.name+" starts on "+k.name)
	}
}

// finals holds every job's records against the rules, once a transaction has changed
// them: whoever asks in between is told what they say. It is asked with what was
// there before.
func (w *World) finals(was map[string]value) {
	for i := range w.sc.Jobs {
		id := w.sc.Jobs[i].ID
		_, active := w.active(id)
		is, final := w.store[jobstore.FinalKey(id)].v.(jobstore.JobRecord)
		before, had := was[id].v.(jobstore.JobRecord)
		switch {
		case i >= len(w.sc.Jobs)-w.sc.Later && !w.arrived:
		case active == final:
			w.broke("forgotten", fmt.Sprintf("%s is active: %t, and final: %t", id, active, final))
		case had && is.State != before.State:
			w.broke("went_back", fmt.Sprintf("%s was called %s and is called %s", id, before.State, is.State))
		case final && is.State == wire.JobCancelled && w.sc.Asks > 0 && !w.asked[id]:
			w.broke("went_back", id+" is called cancelled, and nobody asked for that")
		}
	}
	for name := range w.forgotten {
		if !w.recorded(&task{taskKey: taskKey{name, 0}}) {
			w.broke("outcome lost", name+" was forgotten and is recorded nowhere any more")
		}
	}
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
			if p.Stop != nil && p.Stop.Reason == cluster.StopPreempted && !w.stopped[k] {
				w.stopped[k] = true
				if by != w.store[jobstore.PlanHeadKey].version {
					w.broke("old order", fmt.Sprintf("%s is stopped by an order that is no longer in force", k.name))
				}
			}
		}
	}
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
