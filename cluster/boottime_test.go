package cluster

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Boot times are learnt within bounds, and only from machines that this leader requested.
func TestBootTimeEstimateFollowsObservedBootsWithinBounds(t *testing.T) {
	m := newModel(5)
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	order := func(name string, s float64) {
		m.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{name}, at(s))
	}
	up := func(name string, s float64) {
		m.ApplyHeartbeat(&wire.Heartbeat{Machine: name, Addr: "x", Type: "m", Zone: "a", AgentEpoch: 1, Seq: 1}, at(s))
	}
	order("a", 10)
	before := m.lateBootLimit(m.findOrAddMachine("a", at(10)))
	if _, ok := m.estimateBootTimeLeft(m.findOrAddMachine("a", at(10)), at(10).Add(before+time.Second)); ok {
		t.Error("a late machine is still counted on")
	}
	up("a", 100) // three times what the catalogue says
	order("b", 100)
	if after := m.lateBootLimit(m.findOrAddMachine("b", at(100))); after < 90*time.Second || after > 200*time.Second {
		t.Errorf("late after %v", after)
	}
	up("b", 2000)
	order("c", 2000)
	if limit := m.lostBootLimit(m.findOrAddMachine("c", at(2000))); limit > 4*time.Minute {
		t.Errorf("given up only after %v, wanted a bound", limit)
	}
}
