package cluster

import (
	"slices"
	"time"
)

// placeTask places a task on a machine, and adds its resources to the use of the machine and of
// the job's team. The task is launched after the placement is committed. The caller queues a
// new placement for writing (writeBehind.recordPlacement).
func (m *Model) placeTask(j *Job, task int32, mc *Machine, attempt uint64, now time.Time) {
	j.placeTask(task, mc.Zone, &Placement{Machine: mc.index, Attempt: attempt, placedAt: now, machineName: mc.Name})
	mc.bookTask(TaskRef{Job: j.Index, Task: task}, j.Need)
	m.directCommands.addLaunch(TaskRef{Job: j.Index, Task: task})
	if j.team >= 0 {
		m.teams[j.team].Used = m.teams[j.team].Used.Add(j.Need, 1)
	}
}

// placementAt returns the placement of a task. It returns nil if the task is not placed or its
// job is no longer in the model.
func (m *Model) placementAt(ref TaskRef) *Placement {
	if j := m.Jobs[ref.Job]; j != nil {
		return j.Tasks[ref.Task].Placement
	}
	return nil
}

// removePlacement removes the placement of a task, and subtracts its resources from the use of
// the machine and of the job's team. The task must never have been launched, or there must be
// proof that it is on no machine.
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

// markDone records that a task is done. With the job's last task, it records the run times for
// the job's class and counts the job as completed.
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

// stopPlacedTask orders a task to stop within a grace period in seconds. If the task was never
// launched, it removes the placement.
func (m *Model) stopPlacedTask(j *Job, task int32, grace float64, reason StopReason, now time.Time) {
	t := &j.Tasks[task]
	p := t.Placement
	if p == nil {
		return
	}
	if !p.mayBeOnMachine() {
		m.removePlacement(j, task, now)
		m.finishOnlyAttempt(j, task, reason.outcome(), now)
		return
	}
	if !p.orderStop(grace, reason, now) {
		return
	}
	if j.reservation != nil {
		m.writes.changeChunk(j, task) // the record of a reserved task shows that it is stopping
	}
	m.directCommands.addStop(TaskRef{Job: j.Index, Task: task})
}

// stopGang orders all placed tasks of a gang to stop within a grace period in seconds.
func (m *Model) stopGang(j *Job, grace float64, reason StopReason, now time.Time) {
	j.markGangEnding()
	for i := range j.Tasks {
		if j.Tasks[i].Placement != nil {
			m.stopPlacedTask(j, int32(i), grace, reason, now)
		}
	}
}

// StopTask orders a task to stop. A task that supports checkpoints gets a grace period to save
// one. A gang is stopped as a whole, because its tasks save checkpoints together or not at all.
// StopTask does nothing if the task is not placed.
func (m *Model) StopTask(ref TaskRef, reason StopReason, now time.Time) {
	j := m.Jobs[ref.Job]
	if j == nil || j.Tasks[ref.Task].Placement == nil {
		return
	}
	grace := 0.0
	if j.Spec.CheckpointS > 0 {
		grace = j.Spec.SaveS + 1
	}
	m.log.Info("stopping task", "job", j.ID, "task", ref.Task, "why", reason, "machine", m.Machines[j.Tasks[ref.Task].Placement.Machine].Name)
	if j.Gang() {
		m.stopGang(j, grace, reason, now)
		return
	}
	m.stopPlacedTask(j, ref.Task, grace, reason, now)
}

// sortedRefs returns the members of a set, sorted by job and task.
func sortedRefs(set map[TaskRef]bool) []TaskRef {
	return appendSortedRefs(set, make([]TaskRef, 0, len(set)))
}

// appendSortedRefs appends the members of a set to out, and sorts out by job and task.
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
