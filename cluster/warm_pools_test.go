package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/warmpool"
)

// newPoolModel makes a crowded model with warm pools that hold half of its machines.
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

// markAllHeartbeats sets the last heartbeat of all machines to now.
func markAllHeartbeats(m *Model, now time.Time) {
	for _, mc := range m.Machines {
		mc.lastSeen, mc.lastAnswered, mc.tokenShown = now, now, true
	}
}

// BenchmarkTickPools measures what warm pools cost the leader every two seconds.
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

// Machines of warm pools are not scaled in when they are idle; all others are.
func TestScaleInKeepsPoolMembers(t *testing.T) {
	m := newPoolModel(12, 0)
	for s := 30.0; s < 40; s += 2 {
		markAllHeartbeats(m, at(s))
		m.Tick(at(s))
	}
	markAllHeartbeats(m, at(1000))
	kept := 0
	for _, mc := range m.Machines {
		if mc.pool > 0 {
			kept++
		}
	}
	if back := m.SelectScaleIn(at(1000), time.Minute); kept != 6 || len(back) != 6 {
		t.Errorf("%d machines are the pools', %v are returned", kept, back)
	}
}

// Headroom machines are idle, and marked anew with each scheduling pass: a warm pool that
// lacks machines must not wait until they are unmarked, and pays for them only from when
// they join.
func TestPoolAcceptsHeadroomMachines(t *testing.T) {
	m := newPoolModel(12, 0) // three pools of two machines
	m.Headroom = 0.35
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 16), 1, at(0)) // four machines, and headroom of six
	for _, mc := range m.Machines {
		mc.creationKnown = true
	}
	held := 0
	for s := 90.0; s < 100; s++ {
		markAllHeartbeats(m, at(s))
		m.Schedule(at(s), 0)
		m.Tick(at(s))
	}
	kept := 0
	for _, mc := range m.Machines {
		if mc.pool > 0 {
			held++
			if e := m.poolOf(mc).member(mc); e.SinceMs < at(90).UnixMilli() {
				t.Errorf("%s was up for jobs to come, and the pool pays from %d on", mc.Name, e.SinceMs)
			}
		} else if !mc.headroomAt.IsZero() {
			kept++
		}
	}
	if held != 6 || kept == 0 {
		t.Errorf("the pools hold %d machines of 6, %d others are headroom", held, kept)
	}
	markAllHeartbeats(m, at(300))
	m.Schedule(at(300), 0)
	for _, name := range m.SelectScaleIn(at(301), time.Minute) {
		if mc := m.machineNamed(name); !mc.headroomAt.IsZero() {
			t.Errorf("%s is headroom, and returned", name)
		}
	}
}
