package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Tasks without GPUs leave the GPU machines to tasks that wait for GPUs. Those of a class
// without an objective once filled all other machines, so that everybody else's took the GPU
// machines while thousands of tasks waited for GPUs.
func TestTasksWithoutGPUsAvoidGPUMachinesThatOthersWaitFor(t *testing.T) {
	m := newModel(5)
	m.SetMachineTypes([]wire.MachineType{
		{Name: "plain", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}},
		{Name: "gpu", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	for _, name := range []string{"plain", "gpu"} {
		m.ApplyHeartbeat(&wire.Report{Machine: "h-" + name, Addr: "x", Type: name, Zone: "a", Session: 1, Seq: 1, Token: 5}, at(1))
	}
	put := func(id string, gpus float64, tasks int) {
		m.ApplyJobRecord(id, jobstore.JobRecord{Job: wire.Job{ID: id, Class: id, Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: tasks,
			CPUs: 4, GPUs: gpus, Image: "i", EstimateS: 100}}, 1, at(1))
	}
	put("wk-000001", 0, 8)
	put("wk-000002", 1, 4) // two of them wait
	m.Schedule(at(2), 0)
	for ref := range m.machineNamed("h-gpu").Tasks {
		if m.Jobs[ref.Job].Need.GPU == 0 {
			t.Error("a task without GPUs took the place of one that waits for them")
		}
	}
	if n := len(m.machineNamed("h-plain").Tasks); n != 2 {
		t.Errorf("%d tasks on the machine without GPUs", n)
	}
}
