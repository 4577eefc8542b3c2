package cluster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
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

func TestSavedProgressReducesTheRemainingRunTime(t *testing.T) {
	m := placed(t, 1)
	j := m.Job("wk-000001")
	p := j.Tasks[0].Placement
	p.reportedState, p.runningSince, p.Stop = reportedRunning, at(5), &StopOrder{orderedAt: at(45)}
	j.recordSavedProgress(0, p, at(48))
	if left := m.remainingRunTime(j, 0); left < 10 || left > 30 {
		t.Errorf("%v s left of 60 after 40 s were saved", left)
	}
	j.recordLostProgress(0, &Placement{runningSince: at(50)}, at(58))
	if j.Tasks[0].Progress != 40 {
		t.Errorf("progress %v after 8 s of work without a checkpoint", j.Tasks[0].Progress)
	}
}

// Playing on from where the lists begin to differ gives what playing all of it
// gives, whatever is taken out and put in.
func TestSimulationFromACheckpointEqualsAFullSimulation(t *testing.T) {
	m := crowded(4, 60)
	rnd := rand.New(rand.NewPCG(7, 7))
	random := func() *queued {
		j := m.Jobs[rnd.IntN(len(m.Jobs))]
		return &queued{job: j, runSeconds: 1 + 60*rnd.Float64(), due: at(rnd.Float64() * 700), req: placement.Request{Tasks: make([]int32, 1+rnd.IntN(150))}}
	}
	places := make(placeTimes, 400)
	for i := range places {
		places[i] = float64(i / 4)
	}
	var jobs []*queued
	for range 90 {
		jobs = append(jobs, random())
	}
	p := m.newSimulation(places, at(0))
	p.run(jobs, 0)
	ends, differ := 0, 0
	for range 500 {
		k := rnd.IntN(len(jobs))
		if rnd.IntN(3) == 0 || len(jobs) < 40 {
			jobs = slices.Insert(slices.Clone(jobs), k, random())
		} else {
			jobs = slices.Delete(slices.Clone(jobs), k, k+1)
		}
		got, want := p.run(jobs, k), m.newSimulation(places, at(0)).run(jobs, 0)
		if got != want {
			t.Fatalf("changed from %d of %d on: %d, played anew: %d", k, len(jobs), got, want)
		}
		if got < 0 {
			ends++
		} else {
			differ++
		}
	}
	if differ < 50 {
		t.Errorf("%d lists had a late job, %d had none", differ, ends)
	}
}

// Where teams are guaranteed GPUs only, work that needs none is within no guarantee, and
// does not come before all other work. It counts for nothing that GPU work is guaranteed.
func TestJobThatNeedsNoGuaranteedResourceIsNotWithinQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		guarantee placement.Resources
		want      []bool // of three jobs of 2 CPUs, of which the second and the third need a GPU as well
	}{
		{"GPUs", placement.Resources{GPU: 1}, []bool{false, true, false}},
		{"CPUs", placement.Resources{CPU: 4}, []bool{true, true, false}},
		{"both", placement.Resources{CPU: 6, GPU: 1}, []bool{true, true, false}},
		{"nothing", placement.Resources{}, []bool{false, false, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(5)
			m.guarantees = []placement.Resources{c.guarantee}
			for i, gpus := range []float64{0, 1, 1} {
				rec := arrayJob(fmt.Sprintf("wk-00000%d", i+1), 1)
				rec.Job.GPUs, rec.AcceptedAtMs = gpus, at(float64(i)).UnixMilli()
				m.ApplyJobRecord(rec.Job.ID, rec, 1, at(float64(i)))
			}
			jobs := m.openJobs()
			in := m.jobsWithinQuota(jobs)
			for i, j := range jobs {
				if in[j.Index] != c.want[i] {
					t.Errorf("%s is within the guarantee: %t", j.ID, in[j.Index])
				}
			}
		})
	}
}

// Small tasks that need no GPU, and that no aim wants started soon, keep off machines with
// GPUs while other work waits for these: they would refill the CPUs beside the GPUs.
func TestJobWithoutGPUsAvoidsGPUMachinesWhileGPUJobsWait(t *testing.T) {
	for _, c := range []struct {
		name    string
		aim     config.ObjectiveKind // on the class without GPUs
		gpus    float64
		waiting string // priority of the work with GPUs
		limit   float64
		keeps   bool
	}{
		{"others wait", "deadline", 1, wire.PriorityNormal, 0, true},
		{"others of a higher priority wait", "deadline", 1, wire.PriorityHigh, 0, true},
		{"others of a lower priority wait", "deadline", 1, wire.PriorityLow, 0, false},
		{"others wait for their team's limit", "deadline", 1, wire.PriorityNormal, 0.5, false},
		{"nobody waits for GPUs", "deadline", 0, wire.PriorityNormal, 0, false},
		{"it is to start soon itself", "wait", 1, wire.PriorityNormal, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(5)
			m.teams[0].Max.GPU = c.limit
			m.settings.Cluster.Objectives = []config.Objective{{Kind: c.aim, Class: "small", WithinS: 40, Share: 0.9}, {Kind: "finished", Class: "c", WithinS: 150, Share: 0.9}}
			m.SetMachineTypes([]wire.MachineType{
				{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a"}},
				{Name: "plain", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a"}}})
			small, deadline := arrayJob("wk-000001", 4), 100.0
			small.Job.Class, small.Job.DeadlineS = "small", &deadline
			m.ApplyJobRecord(small.Job.ID, small, 1, at(0))
			other := arrayJob("wk-000002", 1)
			other.Job.GPUs, other.Job.Priority = c.gpus, c.waiting
			m.ApplyJobRecord(other.Job.ID, other, 1, at(0))
			jobs := m.openJobs()
			for _, k := range m.buildQueue(jobs, m.jobsWithinQuota(jobs), at(1)) {
				if k.job.Spec.Class == "small" && k.req.Types[m.names.machineTypes["m"]] == c.keeps {
					t.Errorf("may go to a machine with GPUs: %t", !c.keeps)
				}
			}
		})
	}
}
