// Benchmarks the leader: scheduling passes and heartbeats in large clusters.

package cluster

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// BenchmarkSchedule measures a scheduling pass with full machines and waiting jobs, most of
// which can't meet their objectives. This is the most expensive work that a leader does several
// times a second. The sizes range from small clusters to the largest.
func BenchmarkSchedule(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{36, 150}, {300, 150}, {1000, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			m := overloadedModel(size.machines, size.jobs)
			m.Schedule(at(1), 1000)
			for b.Loop() {
				m.Schedule(at(2), 1000)
			}
		})
	}
}

// BenchmarkBurst measures the first scheduling pass, which fills empty machines.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		m := overloadedModel(1000, 400)
		b.StartTimer()
		m.Schedule(at(1), 1000)
	}
}

// overloadedModel returns a model with more work than its machines can hold. The work consists of
// gangs in one zone, and arrays of lower priority with a deadline.
func overloadedModel(machines, jobs int) *Model {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "gangs", WithinS: 50}, {Kind: "finished", Class: "gangs", WithinS: 300},
		{Kind: "deadline", Class: "arrays", Times: 1}, {Kind: "deadline", Class: "arrays", Times: 1.5}}
	for i := range machines {
		r := newHeartbeat(1, 5)
		r.Machine, r.Zone = fmt.Sprintf("host-%06d", i), []string{"a", "b"}[i%2]
		m.ApplyHeartbeat(r, at(0))
	}
	for i := range 2 * jobs {
		id := fmt.Sprintf("wk-%06d", i)
		rec := arrayJob(id, []int{3, 6, 24}[i%3])
		rec.Job.Class, rec.Job.Image, rec.Job.EstimateS = "gangs", fmt.Sprint("i", i%8), float64(60+i%200)
		rec.Job.Kind, rec.Job.OneZone, rec.Job.CPUs = wire.KindGang, true, 4
		if i%2 == 0 {
			deadline := float64(100 + i%200)
			rec = arrayJob(id, 5+i%60)
			rec.Job.Class, rec.Job.Image, rec.Job.EstimateS = "arrays", fmt.Sprint("g", i%18), float64(60+i%200)
			rec.Job.Priority, rec.Job.DeadlineS, rec.Job.GPUs = wire.PriorityLow, &deadline, 0.5
		}
		m.ApplyJobRecord(id, rec, 1, at(0))
	}
	return m
}

// benchmarkPlans returns plans by the names of their parts, for an overloaded cluster of the given
// size. The parts are batch windows, a tier of gangs above a tier of arrays, and warm pools that
// hold a fifth of the machines.
func benchmarkPlans(m *Model, machines int) map[string]*plan.Plan {
	windows, tiers, pools := &plan.Plan{}, &plan.Plan{}, &plan.Plan{}
	for _, r := range []struct{ name, class string }{{"north", "arrays"}, {"south", "gangs"}} {
		windows.Calendar.Regions = append(windows.Calendar.Regions, calendar.RegionSettings{Name: r.name, Zone: "UTC", Evening: "18:00", MarginS: 1800,
			Open: map[string]string{"wed": "07:00", "thu": "07:00", "fri": "07:00"}, Work: []calendar.Work{{Class: r.class}}})
	}
	tiers.Order.Tiers = []priority.Tier{{Name: "first", Classes: []string{"gangs"}}, {Name: "second", Classes: []string{"arrays"}, Share: 0.2, LongestWaitS: 60}}
	for i := range 3 {
		pools.Pools = append(pools.Pools, warmpool.Pool{Name: fmt.Sprint("p", i), Model: fmt.Sprint("llm", i), WeightsGB: 20, Types: []string{m.MachineTypes[0].Name}, Zones: m.Zones,
			MinMachines: machines / 15, MaxMachines: machines / 15, Burst: warmpool.Burst{Replicas: 8, WithinS: 10}, MaxHourlyCost: 1e9, Payer: m.settings.Cluster.Teams[0].Name})
	}
	return map[string]*plan.Plan{"none": nil, "calendar": windows, "order": tiers, "pools": pools,
		"all": {Calendar: windows.Calendar, Order: tiers.Order, Pools: pools.Pools}}
}

// fullModel returns an overloaded model with a plan, whose machines run the placed tasks.
func fullModel(machines, jobs int, name string) *Model {
	m := overloadedModel(machines, jobs)
	m.SetPlan(Plan{Plan: benchmarkPlans(m, machines)[name], Number: 1, HeadVersion: 1}, at(0))
	for s := 1.0; s < 36; s++ { // until machines have joined the pools
		runPass(m, s)
	}
	return m
}

// runPass runs a scheduling pass and commits its writes. Afterwards all placed tasks are running.
func runPass(m *Model, s float64) {
	now := at(s)
	markAllHeartbeats(m, now)
	m.Tick(now)
	m.Schedule(now, 1000)
	for b := m.NextBatch(12); b != nil; b = m.NextBatch(12) {
		b.OnCommit(uint64(s*100), now)
	}
	for b := m.PlanRecordBatch(12); b != nil; b = m.PlanRecordBatch(12) {
		b.OnCommit(uint64(s*100), now)
	}
	for _, ref := range m.directCommands.launches {
		if p := m.Jobs[ref.Job].Tasks[ref.Task].Placement; p != nil {
			p.launchSent, p.reportedState, p.runningSince = true, reportedRunning, now
		}
	}
	m.directCommands.launches = m.directCommands.launches[:0]
}

// threadCPUTime returns the CPU time that this thread has used so far. Unlike elapsed time, it does
// not depend on other load of the machine.
func threadCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(1, &u); err != nil { // RUSAGE_THREAD
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPass measures the passes of a leader in a large full cluster, two a second, with
// and without a plan. The mean over 20 s includes the less frequent work for the plan's parts.
func BenchmarkPass(b *testing.B) {
	for _, name := range []string{"none", "calendar", "order", "pools", "all"} {
		b.Run(name, func(b *testing.B) {
			m := fullModel(1300, 400, name)
			var total, longest time.Duration
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for b.Loop() {
				for s := 40.0; s < 60; s += 0.5 {
					markAllHeartbeats(m, at(s))
					began := threadCPUTime()
					m.Tick(at(s))
					m.Schedule(at(s), 1000)
					took := threadCPUTime() - began
					total, longest = total+took, max(longest, took)
				}
				m.windows.lastScan, m.windows.lastForecast, m.pools.nextTick, m.triage.nextRun, m.starvation.nextCheck = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
			}
			b.ReportMetric(total.Seconds()*1e3/40/float64(b.N), "cpu-ms/pass")
			b.ReportMetric(longest.Seconds()*1e3, "cpu-ms-most")
		})
	}
}

// BenchmarkHeartbeats measures applying and answering one heartbeat of each machine of a large full
// cluster.
func BenchmarkHeartbeats(b *testing.B) {
	for _, name := range []string{"none", "all"} {
		b.Run(name, func(b *testing.B) {
			m := fullModel(1300, 400, name)
			var heartbeats []*wire.Heartbeat
			for _, mc := range m.Machines {
				r := newHeartbeat(1, 5)
				r.Machine, r.Zone = mc.Name, m.Zones[mc.Zone]
				for _, ref := range sortedRefs(mc.Tasks) {
					j := m.Jobs[ref.Job]
					r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(j.ID, int(ref.Task)), Attempt: j.Tasks[ref.Task].Placement.Attempt, State: wire.TaskRunning})
				}
				heartbeats = append(heartbeats, r)
			}
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			began := threadCPUTime()
			for s := 40.0; b.Loop(); s += 1.5 {
				for _, r := range heartbeats {
					r.Seq++
					m.AnswerHeartbeat(m.ApplyHeartbeat(r, at(s)), r, at(s))
				}
			}
			b.ReportMetric((threadCPUTime()-began).Seconds()*1e6/float64(b.N*len(heartbeats)), "cpu-us/report")
		})
	}
}
