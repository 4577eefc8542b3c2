package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// submitWithDeadline submits a job of class "c". The deadline is in seconds after its acceptance.
func submitWithDeadline(m *Model, id string, tasks int, deadline float64, acceptedAt float64) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(acceptedAt).UnixMilli()
	rec.Job.CPUs, rec.Job.DeadlineS = 4, &deadline
	m.ApplyJobRecord(id, rec, 1, at(acceptedAt))
}

// queueOrder returns the ids of the queue's jobs in order, and how many can meet no objective.
func queueOrder(m *Model, now float64) (ids []string, missed int) {
	for _, entry := range m.buildQueue(m.openJobs(), nil, at(now)) {
		ids = append(ids, entry.job.ID)
		if entry.missed {
			missed++
		}
	}
	return ids, missed
}

// If not all jobs can meet their deadline, triage must give up the one with the most work, so that the
// others are in time.
func TestTriageDefersTheLargestJobWhenNotAllMeetTheirDeadline(t *testing.T) {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
	answer(t, m, newHeartbeat(1, 5), at(0)) // one machine with two places
	submitWithDeadline(m, "wk-000001", 4, 150, 0)
	for i := range 3 {
		submitWithDeadline(m, fmt.Sprintf("wk-00001%d", i), 1, 160, 0)
	}
	// At 60 s a task, two places complete four tasks by 160 s, but not seven.
	ids, missed := queueOrder(m, 1)
	if missed != 1 || ids[3] != "wk-000001" {
		t.Fatalf("got %d missed jobs in order %v, want 1 with wk-000001 last", missed, ids)
	}
}

// Triage must not count occupied places as free, or it would promise deadlines that can't be met.
func TestTriageCountsOccupiedPlacesFromWhenTheyBecomeFree(t *testing.T) {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 3}}
	answer(t, m, newHeartbeat(1, 5), at(0))
	submitWithDeadline(m, "wk-000001", 2, 600, 0)
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	answer(t, m, newHeartbeat(2, 5), at(2))
	// Both places are occupied for about a minute, so this job can't meet its deadline. It is
	// served for the objective of three times its deadline.
	submitWithDeadline(m, "wk-000002", 1, 80, 2)
	queue := m.buildQueue(m.openJobs(), nil, at(3))
	if len(queue) != 1 || queue[0].missed || queue[0].due.Before(at(150)) {
		t.Fatalf("got %d queued jobs, missed %v, due after %v, want 1 that is not missed and due after 150 s", len(queue), queue[0].missed, queue[0].due.Sub(t0))
	}
}
