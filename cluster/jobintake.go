package cluster

import (
	"math"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// This file applies the records of jobs: accepted, changed, cancelled and finished.

var priorities = map[string]int{
	wire.PriorityProduction: 0, wire.PriorityHigh: 1, wire.PriorityNormal: 2, wire.PriorityLow: 3,
}

// ApplyJobRecord adds the job of an active record. For a job that the model has, it applies a
// newer version of the record, in which only the reservation may have changed.
func (m *Model) ApplyJobRecord(id string, rec jobstore.JobRecord, version uint64, now time.Time) {
	if j := m.Job(id); j != nil {
		if version > j.version {
			j.setRecordVersion(version)
			m.updateReservation(j, rec.Reservation, now)
		}
		return
	}
	j := m.addJob(id, rec)
	j.setRecordVersion(version)
	m.recordArrival(j, now)
	if m.loadFinished {
		m.releaseTasks(j, now)
	}
	s, deadline := &j.Spec, 0.0
	if s.DeadlineS != nil {
		deadline = *s.DeadlineS
	}
	m.log.Info("job accepted", "id", id, "class", s.Class, "team", s.Team, "kind", s.Kind, "tasks", s.Tasks, "cpus", s.CPUs, "gpus", s.GPUs,
		"spot", s.Spot, "at", j.AcceptedAt, "estimate", s.EstimateS, "deadline", deadline)
}

func (m *Model) addJob(id string, rec jobstore.JobRecord) *Job {
	s := rec.Job
	j := &Job{
		Index: int32(len(m.Jobs)), ID: id, Spec: s, AcceptedAt: time.UnixMilli(rec.AcceptedAtMs), team: -1,
		priority: priorities[s.Priority], Need: placement.Resources{CPU: s.CPUs, GPU: s.GPUs, Mem: s.MemoryGB},
		allowedTypes: m.allowedTypes(&s), zone: -1, image: m.images.intern(s.Image, s.ImageGB),
		Tasks: make([]Task, s.Tasks), Chunks: make([]Chunk, (s.Tasks+jobstore.ChunkSize-1)/jobstore.ChunkSize),
		placedByZone: make([]int, len(m.Zones)), failures: &failureHistory{},
		reservation: newReservation(rec.Reservation, s.Tasks),
	}
	if t, ok := m.names.teams[s.Team]; ok {
		j.team = t
	}
	if s.Zone != "" {
		j.zone = math.MaxInt32 // no machine is in an unknown zone
		if z, ok := m.names.zones[s.Zone]; ok {
			j.zone = z
		}
	}
	m.tiers.assign(j)
	m.Jobs = append(m.Jobs, j)
	m.openIndexes = append(m.openIndexes, j.Index)
	m.names.jobs[id] = j.Index
	return j
}

// RemoveJob applies the deletion of a job's active record, or its removal from its admission
// page. If all its tasks are done, this leader has finished it; otherwise its user has
// cancelled it.
func (m *Model) RemoveJob(id string, now time.Time) {
	j := m.Job(id)
	if j == nil || j.Finished || j.Cancelled {
		return
	}
	if j.DoneTasks == len(j.Tasks) {
		j.markFinished()
		m.writes.markJob(j)
		return
	}
	m.log.Info("job cancelled", "id", id, "placed", j.PlacedTasks)
	m.cancelJob(j, now)
}

func (m *Model) cancelJob(j *Job, now time.Time) {
	j.markCancelled()
	for i := range j.Tasks {
		if j.Tasks[i].Placement != nil {
			m.stopPlacedTask(j, int32(i), 0, StopCancelled, now)
		}
	}
	m.writes.markJob(j)
}

// LoadCancelledJob loads a job that is over, as cancelled, because placement records of it
// are left: its remaining tasks are to be stopped.
func (m *Model) LoadCancelledJob(id string, rec jobstore.JobRecord) {
	if m.Job(id) != nil {
		return
	}
	j := m.addJob(id, rec)
	j.markCancelled()
}
