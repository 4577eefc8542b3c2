package cluster

import (
	"slices"
	"time"
)

// This file places tasks on machines, stops them there and removes their placements, and
// keeps what machines and teams use consistent with that.

// placeTask places a task on a machine. It is launched once that is committed.
func (m *Model) placeTask(j *Job, task int32, mc *Machine, attempt uint64, now time.Time) {
	j.placeTask(task, mc.Zone, &Placement{Machine: mc.index, Attempt: attempt, placedAt: now, machineName: mc.Name})
	mc.bookTask(TaskRef{Job: j.Index, Task: task}, j.Need)
	m.directCommands.addLaunch(TaskRef{Job: j.Index, Task: task})
	if j.team >= 0 {
		m.teams[j.team].Used = m.teams[j.team].Used.Add(j.Need, 1)
	}
}

// placementAt returns the placement of a task; nil if it is not placed or its job is out of
// the model.
func (m *Model) placementAt(ref TaskRef) *Placement {
	if j := m.Jobs[ref.Job]; j != nil {
		return j.Tasks[ref.Task].Placement
	}
	return nil
}

// removePlacement removes the placement of a task that is proved to be on no machine, or that
// was never launched.
func (m *Model) removePlacement(j *Job, task int32, now time.Time) {
	mc := m.Machines[j.Tasks[task].Placement.Machine]
	ref := TaskRef{Job: j.Index, Task: task}
	j.unplaceTask(task, mc.Zone)
	m.PlacesFreed++
	mc.releaseTask(ref, j.Need, now)
	if j.team >= 0 {
		m.teams[j.team].Used = m.teams[j.team].Used.Add(j.Need, -1)
	}
	m.writes.changeChunk(j, task)
}

// markDone records that a task is done. With the last one, the job's run times are recorded
// for its class, and the job is counted as completed.
func (m *Model) markDone(j *Job, task int32, now time.Time) {
	t := &j.Tasks[task]
	if t.Phase == TaskDone {
		return
	}
	if t.Placement != nil {
		m.removePlacement(j, task, now)
	}
	j.completeTask(task)
	m.writes.changeChunk(j, task)
	if j.DoneTasks == len(j.Tasks) {
		m.learnFromJob(j)
		m.countCompletion(j)
		m.log.Info("job tasks completed", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
	}
}

// stopPlacedTask orders a task to stop, or removes its placement if it was never launched.
func (m *Model) stopPlacedTask(j *Job, task int32, grace float64, why StopReason, now time.Time) {
	t := &j.Tasks[task]
	p := t.Placement
	if p == nil {
		return
	}
	if !p.mayBeOnMachine() {
		m.removePlacement(j, task, now)
		m.finishOnlyAttempt(j, task, why.outcome(), now)
		return
	}
	if !p.orderStop(grace, why, now) {
		return
	}
	if j.reservation != nil {
		m.writes.changeChunk(j, task) // the record of a reserved task shows that it is stopping
	}
	m.directCommands.addStop(TaskRef{Job: j.Index, Task: task})
}

// stopGang orders all placed tasks of a gang to stop.
func (m *Model) stopGang(j *Job, grace float64, why StopReason, now time.Time) {
	j.markGangEnding()
	for i := range j.Tasks {
		if j.Tasks[i].Placement != nil {
			m.stopPlacedTask(j, int32(i), grace, why, now)
		}
	}
}

// StopTask orders a task to stop, with a grace period in which it can save a checkpoint if
// it supports that. A gang is stopped as a whole, since its tasks save together or not at
// all.
func (m *Model) StopTask(ref TaskRef, why StopReason, now time.Time) {
	j := m.Jobs[ref.Job]
	if j == nil || j.Tasks[ref.Task].Placement == nil {
		return
	}
	grace := 0.0
	if j.Spec.CheckpointS > 0 {
		grace = j.Spec.SaveS + 1
	}
	m.log.Info("stopping task", "job", j.ID, "task", ref.Task, "why", why, "machine", m.Machines[j.Tasks[ref.Task].Placement.Machine].Name)
	if j.Gang() {
		m.stopGang(j, grace, why, now)
		return
	}
	m.stopPlacedTask(j, ref.Task, grace, why, now)
}

// sortedRefs lists refs in an order that does not depend on the map's.
func sortedRefs(set map[TaskRef]bool) []TaskRef {
	return appendSortedRefs(set, make([]TaskRef, 0, len(set)))
}

func appendSortedRefs(set map[TaskRef]bool, out []TaskRef) []TaskRef {
	for r := range set {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b TaskRef) int {
		if a.Job != b.Job {
			return int(a.Job - b.Job)
		}
		return int(a.Task - b.Task)
	})
	return out
}
