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

// BenchmarkSchedule is a pass over machines that are full and waiting jobs, of
// which most can't be in time: what a leader does several times a second at
// worst, at the size that the service began with and at the size it grew to.
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

// BenchmarkBurst is a pass that places what a day begins with.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		m := crowded(1000, 400)
		b.StartTimer()
		m.Schedule(at(1), 1000)
	}
}

// crowded is a model whose machines are soon full: gangs in one zone, and
// arrays of lower priority with a deadline.
func crowded(machines, jobs int) *Model {
	m := newModel(5)
	m.settings.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "gangs", WithinS: 50}, {Kind: "finished", Class: "gangs", WithinS: 300},
		{Kind: "deadline", Class: "arrays", Times: 1}, {Kind: "deadline", Class: "arrays", Times: 1.5}}
	for i := range machines {
		r := rep(1, 5)
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

// planned are a plan's parts by name, for a crowded fleet of that size: a night for
// arrays, gangs before arrays, and pools that hold a fifth of the machines.
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

// full is a crowded model with a plan, whose machines run what they were given.
func full(machines, jobs int, name string) *Model {
	m := crowded(machines, jobs)
	m.SetPlan(Plan{Plan: planned(m, machines)[name], Number: 1, HeadVersion: 1}, at(0))
	for s := 1.0; s < 36; s++ { // until pools have joined machines
		run(m, s)
	}
	return m
}

// run is a pass and what a leader does around it, with all that is placed running.
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

// threadTime is the processor time that this thread has taken, in all: unlike the
// clock's, it says the same on a machine that others use as well.
func threadTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(1, &u); err != nil { // RUSAGE_THREAD
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPass is a leader's whole pass on a large full fleet, twice a second, with
// and without a plan: what its parts do now and then is in the mean of 20 s.
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

// BenchmarkReports is what the reports of a large full fleet take, each of them
// heard and answered once.
func BenchmarkReports(b *testing.B) {
	for _, name := range []string{"none", "all"} {
		b.Run(name, func(b *testing.B) {
			m := full(1300, 400, name)
			var reps []*wire.Report
			for _, mc := range m.Machines {
				r := rep(1, 5)
				r.Machine, r.Zone = mc.Name, m.Zones[mc.Zone]
				for _, ref := range sortedRefs(mc.Tasks) {
					j := m.Jobs[ref.Job]
					r.Tasks = append(r.Tasks, wire.TaskReport{Task: wire.TaskName(j.ID, int(ref.Task)), Attempt: j.Tasks[ref.Task].Placement.Attempt, State: wire.TaskRunning})
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
