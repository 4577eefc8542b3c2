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
// which can't meet their objectives: the worst that a leader does several times a second. It
// is run at the size of the first clusters and at that of the largest.
func BenchmarkSchedule(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{36, 150}, {300, 150}, {1000, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			m := crowded(size.machines, size.jobs)
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
		m := crowded(1000, 400)
		b.StartTimer()
		m.Schedule(at(1), 1000)
	}
}

// crowded returns a model with more work than its machines can hold: gangs in one zone, and
// arrays of lower priority with a deadline.
func crowded(machines, jobs int) *Model {
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

// planned returns plans by the names of their parts, for a crowded cluster of that size: a
// batch window for arrays, gangs in a tier before arrays, and warm pools that hold a fifth of
// the machines.
func planned(m *Model, machines int) map[string]*plan.Plan {
	night, tiers, held := &plan.Plan{}, &plan.Plan{}, &plan.Plan{}
	for _, r := range []struct{ name, class string }{{"north", "arrays"}, {"south", "gangs"}} {
		night.Calendar.Regions = append(night.Calendar.Regions, calendar.RegionSettings{Name: r.name, Zone: "UTC", Evening: "18:00", MarginS: 1800,
			Open: map[string]string{"wed": "07:00", "thu": "07:00", "fri": "07:00"}, Work: []calendar.Work{{Class: r.class}}})
	}
	tiers.Order.Tiers = []priority.Tier{{Name: "first", Classes: []string{"gangs"}}, {Name: "second", Classes: []string{"arrays"}, Share: 0.2, LongestWaitS: 60}}
	for i := range 3 {
		held.Pools = append(held.Pools, warmpool.Pool{Name: fmt.Sprint("p", i), Model: fmt.Sprint("llm", i), WeightsGB: 20, Types: []string{m.MachineTypes[0].Name}, Zones: m.Zones,
			MinMachines: machines / 15, MaxMachines: machines / 15, Burst: warmpool.Burst{Replicas: 8, WithinS: 10}, MaxHourlyCost: 1e9, Payer: m.settings.Cluster.Teams[0].Name})
	}
	return map[string]*plan.Plan{"none": nil, "calendar": night, "order": tiers, "pools": held,
		"all": {Calendar: night.Calendar, Order: tiers.Order, Pools: held.Pools}}
}

// full returns a crowded model with a plan, whose machines run what is placed on them.
func full(machines, jobs int, name string) *Model {
	m := crowded(machines, jobs)
	m.SetPlan(Plan{Plan: planned(m, machines)[name], Number: 1, HeadVersion: 1}, at(0))
	for s := 1.0; s < 36; s++ { // until pools have joined machines
		run(m, s)
	}
	return m
}

// run runs a scheduling pass and commits its writes; all placed tasks are then running.
func run(m *Model, s float64) {
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

// threadTime returns the processor time that this thread has used so far. Unlike elapsed time
// it does not depend on what else the machine does.
func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(1, &u); err != nil { // RUSAGE_THREAD
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPass measures the passes of a leader in a large full cluster, two a second, with
// and without a plan. The mean over 20 s includes what the plan's parts do less often.
func BenchmarkPass(b *testing.B) {
	for _, name := range []string{"none", "calendar", "order", "pools", "all"} {
		b.Run(name, func(b *testing.B) {
			m := full(1300, 400, name)
			var sum, most time.Duration
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for b.Loop() {
				for s := 40.0; s < 60; s += 0.5 {
					markAllHeartbeats(m, at(s))
					began := threadTime()
					m.Tick(at(s))
					m.Schedule(at(s), 1000)
					took := threadTime() - began
					sum, most = sum+took, max(most, took)
				}
				m.windows.lastScan, m.windows.lastForecast, m.pools.nextTick, m.triage.nextRun, m.starvation.nextCheck = time.Time{}, time.Time{}, time.Time{}, time.Time{}, time.Time{}
			}
			b.ReportMetric(sum.Seconds()*1e3/40/float64(b.N), "cpu-ms/pass")
			b.ReportMetric(most.Seconds()*1e3, "cpu-ms-most")
		})
	}
}

// BenchmarkHeartbeats measures one heartbeat of each machine of a large full cluster: applying
// and answering it.
func BenchmarkHeartbeats(b *testing.B) {
	for _, name := range []string{"none", "all"} {
		b.Run(name, func(b *testing.B) {
			m := full(1300, 400, name)
			var reps []*wire.Heartbeat
			for _, mc := range m.Machines {
				r := newHeartbeat(1, 5)
				r.Machine, r.Zone = mc.Name, m.Zones[mc.Zone]
				for _, ref := range sortedRefs(mc.Tasks) {
					j := m.Jobs[ref.Job]
					r.Tasks = append(r.Tasks, wire.TaskStatus{Task: wire.TaskName(j.ID, int(ref.Task)), Attempt: j.Tasks[ref.Task].Placement.Attempt, State: wire.TaskRunning})
				}
				reps = append(reps, r)
			}
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			began := threadTime()
			for s := 40.0; b.Loop(); s += 1.5 {
				for _, r := range reps {
					r.Seq++
					m.AnswerHeartbeat(m.ApplyHeartbeat(r, at(s)), r, at(s))
				}
			}
			b.ReportMetric((threadTime()-began).Seconds()*1e6/float64(b.N*len(reps)), "cpu-us/report")
		})
	}
}
