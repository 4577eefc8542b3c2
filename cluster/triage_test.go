package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// due makes a job of the test's class that is to be done within its deadline.
func due(m *Model, id string, tasks int, deadline float64, came float64) {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs = at(came).UnixMilli()
	rec.Job.CPUs, rec.Job.DeadlineS = 4, &deadline
	m.ApplyJobRecord(id, rec, 1, at(came))
}

func inOrder(m *Model, now float64) (ids []string, late int) {
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
	answer(t, m, rep(1, 5), at(0)) // a machine with room for two tasks
	due(m, "wk-000001", 4, 150, 0)
	for i := range 3 {
		due(m, fmt.Sprintf("wk-00001%d", i), 1, 160, 0)
	}
	// Two places, 60 s a task: by 160 s there is time for four tasks, not for seven.
	ids, late := inOrder(m, 1)
	if late != 1 || ids[3] != "wk-000001" {
		t.Fatalf("%d put off, in order %v", late, ids)
	}
}

func TestTriageCountsOccupiedPlacesFromWhenTheyBecomeFree(t *testing.T) {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 3}}
	answer(t, m, rep(1, 5), at(0))
	due(m, "wk-000001", 2, 600, 0)
	m.Schedule(at(1), 0)
	commit(t, m, at(1))
	answer(t, m, rep(2, 5), at(2))
	// Both places are taken for about a minute, so that this one can't be in time;
	// it is served for three times its deadline.
	due(m, "wk-000002", 1, 80, 2)
	reqs := m.buildQueue(m.openJobs(), nil, at(3))
	if len(reqs) != 1 || reqs[0].missed || reqs[0].due.Before(at(150)) {
		t.Fatalf("%d wait; missed %v, due %v", len(reqs), reqs[0].missed, reqs[0].due.Sub(t0))
	}
}
