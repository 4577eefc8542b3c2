package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
)

// This file books tasks on machines, and takes them off.

func (m *Model) markDirty(j *Job) {
	if !j.dirty {
		j.dirty = true
		m.dirty = append(m.dirty, j.Idx)
	}
}

func (m *Model) touch(j *Job, task int32) *Chunk {
	n := int(task) / jobstore.ChunkSize
	c := &j.Chunks[n]
	c.Gen++
	if c.page == nil {
		m.findPage(j, n)
	}
	c.page.gen++
	m.markDirty(j)
	return c
}

// place books a task on a machine; it is launched once that is committed.
func (m *Model) place(j *Job, task int32, mc *Machine, attempt uint64, now time.Time) {
	t := &j.Tasks[task]
	t.Phase = Placed
	t.Place = &Place{Machine: mc.Idx, Attempt: attempt, At: now, name: mc.Name}
	mc.Tasks[Ref{Job: j.Idx, Task: task}] = true
	m.fresh = append(m.fresh, Ref{Job: j.Idx, Task: task})
	mc.Used = mc.Used.Add(j.Need, 1)
	mc.worked = true
	j.Placed++
	j.Chunks[int(task)/jobstore.ChunkSize].Placed++
	if mc.Zone >= 0 {
		j.ZoneUsed[mc.Zone]++
	}
	if j.Team >= 0 {
		m.teams[j.Team].Used = m.teams[j.Team].Used.Add(j.Need, 1)
	}
}

// unplace takes in that a task is certainly on no machine.
func (m *Model) unplace(j *Job, task int32, now time.Time) *Place {
	t := &j.Tasks[task]
	p := t.Place
	mc := m.Machines[p.Machine]
	ref := Ref{Job: j.Idx, Task: task}
	t.Place, t.Phase = nil, Idle
	m.Freed++
	delete(mc.Tasks, ref)
	mc.Used = mc.Used.Add(j.Need, -1)
	if len(mc.Tasks) == 0 {
		mc.Used = placement.Res{}
		mc.IdleSince = now
	}
	j.Placed--
	if j.Placed == 0 {
		j.Started, j.Ending = false, false
	}
	j.Chunks[int(task)/jobstore.ChunkSize].Placed--
	if mc.Zone >= 0 {
		j.ZoneUsed[mc.Zone]--
	}
	if j.Team >= 0 {
		m.teams[j.Team].Used = m.teams[j.Team].Used.Add(j.Need, -1)
	}
	if j.cursor > int(task) {
		j.cursor = int(task)
	}
	m.touch(j, task)
	return p
}

func (m *Model) markDone(j *Job, task int32, now time.Time) {
	t := &j.Tasks[task]
	if t.Phase == Done {
		return
	}
	if t.Place != nil {
		m.unplace(j, task, now)
	}
	t.Phase = Done
	j.Done++
	m.touch(j, task)
	if j.Done == len(j.Tasks) {
		m.learn(j)
		m.served(j)
		m.log.Info("job's tasks done", "id", j.ID, "sinceAccept", now.Sub(j.At).Round(time.Millisecond).Seconds())
	}
}

// stop orders a task to stop, or takes it back if its launch never left.
func (m *Model) stop(j *Job, task int32, grace float64, why string, now time.Time) {
	t := &j.Tasks[task]
	p := t.Place
	if p == nil {
		return
	}
	if !p.Sent && !p.Inherited {
		m.unplace(j, task, now)
		m.spend(j, task, endOf(why), now)
		return
	}
	if p.Stop != nil && p.Stop.Grace <= grace {
		return
	}
	p.Stop = &Stop{Grace: grace, Why: why, At: now}
	if j.res != nil {
		m.touch(j, task) // its door tells that it is leaving
	}
	m.stops = append(m.stops, Ref{Job: j.Idx, Task: task})
}

// stopAll orders all placed tasks of a job to stop.
func (m *Model) stopAll(j *Job, grace float64, why string, now time.Time) {
	j.Ending = j.Gang()
	for i := range j.Tasks {
		if j.Tasks[i].Place != nil {
			m.stop(j, int32(i), grace, why, now)
		}
	}
}

// StopTask stops a task so that it can save; a gang is stopped as a whole,
// since its tasks save together or not at all.
func (m *Model) StopTask(ref Ref, why string, now time.Time) {
	j := m.Jobs[ref.Job]
	if j == nil || j.Tasks[ref.Task].Place == nil {
		return
	}
	grace := 0.0
	if j.Spec.CheckpointS > 0 {
		grace = j.Spec.SaveS + 1
	}
	m.log.Info("stopping", "job", j.ID, "task", ref.Task, "why", why, "machine", m.Machines[j.Tasks[ref.Task].Place.Machine].Name)
	if j.Gang() {
		m.stopAll(j, grace, why, now)
		return
	}
	m.stop(j, ref.Task, grace, why, now)
}
