package cluster

import (
	"math"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// priorities maps the priorities of the wire protocol to ranks, of which 0 is the highest.
var priorities = map[string]int{
	wire.PriorityProduction: 0, wire.PriorityHigh: 1, wire.PriorityNormal: 2, wire.PriorityLow: 3,
}

// ApplyJobRecord applies a version of a job's active record. It adds the job if the model does
// not have it. Otherwise a newer version updates the reservation, because no other part of a
// record changes.
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
	spec, deadline := &j.Spec, 0.0
	if spec.DeadlineS != nil {
		deadline = *spec.DeadlineS
	}
	m.log.Info("job accepted", "id", id, "class", spec.Class, "team", spec.Team, "kind", spec.Kind, "tasks", spec.Tasks, "cpus", spec.CPUs, "gpus", spec.GPUs,
		"spot", spec.Spot, "at", j.AcceptedAt, "estimate", spec.EstimateS, "deadline", deadline)
}

// addJob adds the job of a record to the model. A team that is not configured counts as none. A
// zone that is not configured matches no machine.
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

// RemoveJob applies the deletion of a job's active record or its removal from its admission
// page. If all tasks of the job are done, this leader has finished the job. Otherwise its user
// has cancelled it.
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

// cancelJob marks a job as cancelled and stops its placed tasks without a grace period.
func (m *Model) cancelJob(j *Job, now time.Time) {
	j.markCancelled()
	for i := range j.Tasks {
		if j.Tasks[i].Placement != nil {
			m.stopPlacedTask(j, int32(i), 0, StopCancelled, now)
		}
	}
	m.writes.markJob(j)
}

// LoadCancelledJob adds a job that is over and still has placement records. The job is added as
// cancelled, so that its remaining tasks are stopped.
func (m *Model) LoadCancelledJob(id string, rec jobstore.JobRecord) {
	if m.Job(id) != nil {
		return
	}
	j := m.addJob(id, rec)
	j.markCancelled()
}
