package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/warmpool"
)

// newPoolModel returns an overloadedModel with three warm pools, which together want half of its
// machines.
func newPoolModel(machines, jobs int) *Model {
	m := overloadedModel(machines, jobs)
	p := &plan.Plan{}
	for i := range 3 {
		p.Pools = append(p.Pools, warmpool.Pool{Name: fmt.Sprint("p", i), Model: fmt.Sprint("llm", i), WeightsGB: 20, Types: []string{m.MachineTypes[0].Name}, Zones: m.Zones,
			MinMachines: machines / 6, MaxMachines: machines / 6, Burst: warmpool.Burst{Replicas: 8, WithinS: 10}, MaxHourlyCost: 1e9, Payer: m.settings.Cluster.Teams[0].Name})
	}
	m.SetPlan(Plan{Plan: p, Number: 1, HeadVersion: 1}, at(0))
	return m
}

// markAllHeartbeats makes all machines look as if they had just sent a heartbeat and been answered.
func markAllHeartbeats(m *Model, now time.Time) {
	for _, mc := range m.Machines {
		mc.lastSeen, mc.lastAnswered, mc.tokenShown = now, now, true
	}
}

// BenchmarkTickPools measures the time of one tick of the warm pools, which the leader runs once per
// poolInterval.
func BenchmarkTickPools(b *testing.B) {
	m := newPoolModel(1300, 400)
	now := at(40)
	for b.Loop() {
		now = now.Add(poolInterval)
		markAllHeartbeats(m, now)
		m.tickPools(now)
	}
	held := 0
	for _, p := range m.pools.all {
		held += p.record.Held
	}
	b.ReportMetric(float64(held), "machines")
}

// Idle machines of warm pools must not be scaled in. All other idle machines must be.
func TestScaleInKeepsPoolMembers(t *testing.T) {
	m := newPoolModel(12, 0)
	for s := 30.0; s < 40; s += 2 {
		markAllHeartbeats(m, at(s))
		m.Tick(at(s))
	}
	markAllHeartbeats(m, at(1000))
	members := 0
	for _, mc := range m.Machines {
		if mc.pool > 0 {
			members++
		}
	}
	if scaledIn := m.SelectScaleIn(at(1000), time.Minute); members != 6 || len(scaledIn) != 6 {
		t.Errorf("got %d pool members and scale-in of %v, want 6 members and the 6 others", members, scaledIn)
	}
}

// Each scheduling pass marks idle machines as headroom again. A warm pool that lacks machines must
// accept such machines and not wait until they are unmarked. It must pay for them only from the time
// they join, because they were not rented for the pool.
func TestPoolAcceptsHeadroomMachines(t *testing.T) {
	m := newPoolModel(12, 0) // three pools of two machines
	m.Headroom = 0.35
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 16), 1, at(0)) // needs four machines, and headroom of six
	for _, mc := range m.Machines {
		mc.creationKnown = true
	}
	held := 0
	for s := 90.0; s < 100; s++ {
		markAllHeartbeats(m, at(s))
		m.Schedule(at(s), 0)
		m.Tick(at(s))
	}
	headroom := 0
	for _, mc := range m.Machines {
		if mc.pool > 0 {
			held++
			if member := m.poolOf(mc).member(mc); member.SinceMs < at(90).UnixMilli() {
				t.Errorf("%s was headroom, and the pool pays from %d on, before it joined", mc.Name, member.SinceMs)
			}
		} else if !mc.headroomAt.IsZero() {
			headroom++
		}
	}
	if held != 6 || headroom == 0 {
		t.Errorf("the pools hold %d machines and %d others are headroom, want 6 and at least 1", held, headroom)
	}
	markAllHeartbeats(m, at(300))
	m.Schedule(at(300), 0)
	for _, name := range m.SelectScaleIn(at(301), time.Minute) {
		if mc := m.machineNamed(name); !mc.headroomAt.IsZero() {
			t.Errorf("%s is headroom and is scaled in", name)
		}
	}
}
