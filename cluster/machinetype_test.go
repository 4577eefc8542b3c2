package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// The machine type catalog is loaded after the last job of a class has left the model. The headroom
// for that class once indexed a type that its job's allowedTypes did not cover, and the process
// panicked.
func TestMachineTypesLoadedLateApplyToClassesOfFinishedJobs(t *testing.T) {
	m := New(newModel(5).settings, 5, at(0), newModel(5).log)
	m.Headroom = 0.3
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.RemoveJob("wk-000001", at(1))
	m.NextBatch(10)
	if m.Job("wk-000001") != nil {
		t.Fatal("the cancelled job is still in the model")
	}
	other := arrayJob("wk-000002", 1)
	other.Job.Class = "other"
	m.ApplyJobRecord("wk-000002", other, 1, at(2))
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	if d := m.Schedule(at(3), 0); len(d.ScaleOut) == 0 {
		t.Error("no machine is requested for a waiting job")
	}
}
