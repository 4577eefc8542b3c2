package cluster

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// The boot estimate of a machine type must follow observed boots of machines that this leader
// requested, within bounds. Without the observations, slow machines would be replaced while they
// boot. Without the bounds, one very slow boot would delay the deletion of machines that never come
// up.
func TestBootTimeEstimateFollowsObservedBootsWithinBounds(t *testing.T) {
	m := newModel(5)
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	requestMachine := func(name string, seconds float64) {
		m.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{name}, at(seconds))
	}
	sendFirstHeartbeat := func(name string, seconds float64) {
		m.ApplyHeartbeat(&wire.Heartbeat{Machine: name, Addr: "x", Type: "m", Zone: "a", AgentEpoch: 1, Seq: 1}, at(seconds))
	}
	requestMachine("a", 10)
	before := m.lateBootLimit(m.findOrAddMachine("a", at(10)))
	if _, ok := m.estimateBootTimeLeft(m.findOrAddMachine("a", at(10)), at(10).Add(before+time.Second)); ok {
		t.Error("a late machine is still expected to come up")
	}
	sendFirstHeartbeat("a", 100) // three times the boot time in the catalog
	requestMachine("b", 100)
	if after := m.lateBootLimit(m.findOrAddMachine("b", at(100))); after < 90*time.Second || after > 200*time.Second {
		t.Errorf("lateBootLimit = %v after a boot of 90 s, want 90 s to 200 s", after)
	}
	sendFirstHeartbeat("b", 2000)
	requestMachine("c", 2000)
	if limit := m.lostBootLimit(m.findOrAddMachine("c", at(2000))); limit > 4*time.Minute {
		t.Errorf("lostBootLimit = %v after a boot of 1900 s, want at most 4 min", limit)
	}
}
