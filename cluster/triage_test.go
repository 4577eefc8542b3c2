package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// submitWithDeadline submits a job of class "c" with a deadline.
func submitWithDeadline(m *Model, id string, tasks int, deadline float64, came float64) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(came).UnixMilli()
	rec.Job.CPUs, rec.Job.DeadlineS = 4, &deadline
	m.ApplyJobRecord(id, rec, 1, at(came))
}

// queueOrder returns the queue's jobs in order, and how many of them can meet no objective.
func queueOrder(m *Model, now float64) (ids []string, late int) {
	for _, r := range m.buildQueue(m.openJobs(), nil, at(now)) {
		ids = append(ids, r.job.ID)
		if r.missed {
			late++
		}
	}
	return ids, late
}

func TestTriageDefersTheLargestJobWhenNotAllMeetTheirDeadline(t *testing.T) {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
	answer(t, m, newHeartbeat(1, 5), at(0)) // a machine with two places
	submitWithDeadline(m, "wk-000001", 4, 150, 0)
	for i := range 3 {
		submitWithDeadline(m, fmt.Sprintf("wk-00001%d", i), 1, 160, 0)
	}
	// On two places, 60 s a task, four tasks can be completed by 160 s, but not seven.
	ids, late := queueOrder(m, 1)
	if late != 1 || ids[3] != "wk-000001" {
		t.Fatalf("%d missed, in order %v", late, ids)
	}
}

func TestTriageCountsOccupiedPlacesFromWhenTheyBecomeFree(t *testing.T) {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 3}}
	answer(t, m, newHeartbeat(1, 5), at(0))
	submitWithDeadline(m, "wk-000001", 2, 600, 0)
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	answer(t, m, newHeartbeat(2, 5), at(2))
	// Both places are occupied for about a minute, so that this job can't meet its deadline;
	// it is served for the objective of three times its deadline.
	submitWithDeadline(m, "wk-000002", 1, 80, 2)
	reqs := m.buildQueue(m.openJobs(), nil, at(3))
	if len(reqs) != 1 || reqs[0].missed || reqs[0].due.Before(at(150)) {
		t.Fatalf("%d wait; missed %v, due %v", len(reqs), reqs[0].missed, reqs[0].due.Sub(t0))
	}
}
