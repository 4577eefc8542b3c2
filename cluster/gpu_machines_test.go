package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Tasks without GPUs must leave the GPU machines to tasks that wait for GPUs. Otherwise tasks of a
// class without an objective fill all other machines, and the remaining tasks without GPUs take the
// GPU machines while thousands of tasks wait for GPUs.
func TestTasksWithoutGPUsAvoidGPUMachinesThatOthersWaitFor(t *testing.T) {
	m := newModel(5)
	m.SetMachineTypes([]wire.MachineType{
		{Name: "plain", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}},
		{Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	for _, name := range []string{"plain", "gpu"} {
		m.ApplyHeartbeat(&wire.Heartbeat{Machine: "h-" + name, Addr: "x", Type: name, Zone: "a", AgentEpoch: 1, Seq: 1, Token: 5}, at(1))
	}
	put := func(id string, gpus float64, tasks int) {
		m.ApplyJobRecord(id, jobstore.JobRecord{Job: wire.Job{ID: id, Class: id, Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: tasks,
			CPUs: 4, GPUs: gpus, Image: "i", EstimateS: 100}}, 1, at(1))
	}
	put("wk-000001", 0, 8)
	put("wk-000002", 1, 4) // two of them have to wait
	m.Schedule(at(2), 0)
	for ref := range m.machineNamed("h-gpu").Tasks {
		if m.Jobs[ref.Job].Need.GPU == 0 {
			t.Error("a task without GPUs is placed on the machine with GPUs while another task waits for GPUs")
		}
	}
	if n := len(m.machineNamed("h-plain").Tasks); n != 2 {
		t.Errorf("got %d tasks on the machine without GPUs, want 2", n)
	}
}

// Tasks that need no GPU and have no objective on the wait must avoid machines with GPUs while other
// jobs wait for GPUs. Otherwise they occupy the CPUs of these machines.
func TestJobWithoutGPUsAvoidsGPUMachinesWhileGPUJobsWait(t *testing.T) {
	for _, c := range []struct {
		name           string
		kind           config.ObjectiveKind // of the objective on the class without GPUs
		gpusNeeded     float64              // by the waiting job
		gpuJobPriority string               // priority of the waiting job
		gpuLimit       float64              // of the team
		wantAvoided    bool
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
			m.teams[0].Max.GPU = c.gpuLimit
			m.settings.Cluster.Objectives = []config.Objective{{Kind: c.kind, Class: "small", WithinS: 40, Share: 0.9}, {Kind: "finished", Class: "c", WithinS: 150, Share: 0.9}}
			m.SetMachineTypes([]wire.MachineType{
				{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a"}},
				{Name: "plain", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a"}}})
			small, deadline := arrayJob("wk-000001", 4), 100.0
			small.Job.Class, small.Job.DeadlineS = "small", &deadline
			m.ApplyJobRecord(small.Job.ID, small, 1, at(0))
			other := arrayJob("wk-000002", 1)
			other.Job.GPUs, other.Job.Priority = c.gpusNeeded, c.gpuJobPriority
			m.ApplyJobRecord(other.Job.ID, other, 1, at(0))
			jobs := m.openJobs()
			for _, entry := range m.buildQueue(jobs, m.jobsWithinGuarantee(jobs), at(1)) {
				if entry.job.Spec.Class == "small" && entry.req.Types[m.names.machineTypes["m"]] == c.wantAvoided {
					t.Errorf("small job may use machines with GPUs: got %t, want %t", c.wantAvoided, !c.wantAvoided)
				}
			}
		})
	}
}
