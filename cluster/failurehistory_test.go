package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// fails plays that a job's task failed on a machine.
func fails(m *Model, id string, task int32, machine string, now time.Time) {
	m.taskFailed(m.Job(id), task, m.findOrAddMachine(machine, now), now)
}

// Two jobs with a mistake that fail on the same machines one after the other
// once made every one of those look faulty for ten minutes.
func TestJobsWithAMistakeDoNotSpeakAgainstMachines(t *testing.T) {
	m := newModel(5)
	for i := range 4 {
		m.ApplyJobRecord(fmt.Sprintf("wk-%06d", i), arrayJob(fmt.Sprintf("wk-%06d", i), 20), 1, at(0))
	}
	for i, id := range []string{"wk-000000", "wk-000001"} {
		for k := range 3 {
			fails(m, id, int32(k), fmt.Sprint("h", k), at(float64(10+i)))
		}
	}
	for k := range 3 {
		if m.findOrAddMachine(fmt.Sprint("h", k), at(20)).suspected(at(20)) {
			t.Errorf("h%d is suspected for two jobs that fail everywhere", k)
		}
	}
	// A faulty machine is still found by jobs that go well elsewhere.
	for _, id := range []string{"wk-000002", "wk-000003"} {
		m.clearFault(m.Job(id))
		fails(m, id, 0, "h0", at(30))
	}
	if !m.findOrAddMachine("h0", at(31)).suspected(at(31)) || m.findOrAddMachine("h1", at(31)).suspected(at(31)) {
		t.Error("the machine on which healthy jobs fail is not the one suspected")
	}
}

func TestAJobAtFaultTriesLessAndLess(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 50), 1, at(0))
	j := m.Job("wk-000001")
	now := at(1)
	if j.requestableTasks(64, now) != 64 {
		t.Fatal("a job that has not failed is held back")
	}
	tries, last := 0, now
	for now.Before(at(1200)) {
		if j.requestableTasks(64, now) > 0 {
			if tries > 2 && j.requestableTasks(64, now) > faultProbes {
				t.Fatalf("%d tasks at a time of a job that fails everywhere", j.requestableTasks(64, now))
			}
			fails(m, j.ID, int32(tries%50), fmt.Sprint("h", tries%7), now)
			tries, last = tries+1, now
		}
		now = now.Add(500 * time.Millisecond)
	}
	if tries > 20 || now.Sub(last) > lastFaultWait+time.Second {
		t.Errorf("%d tries in 20 minutes, the last one %v ago", tries, now.Sub(last))
	}
	m.clearFault(j)
	if j.requestableTasks(64, now) != 64 {
		t.Error("held back although a task has lasted")
	}
}

// A guest's tasks without GPUs filled the machines without GPUs, and everybody
// else's went to those with GPUs, while thousands of tasks waited for GPUs.
func TestWorkThatNoAimSpeaksOfKeepsOffGPUsThatOthersWaitFor(t *testing.T) {
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
			t.Error("a task without need of GPUs took the place of one that waits for them")
		}
	}
	if n := len(m.machineNamed("h-plain").Tasks); n != 2 {
		t.Errorf("%d tasks on the machine without GPUs", n)
	}
}

// Between a leader's look at its lease and the cloud's deletion may lie a
// minute: what the record names is given no task by a later leader.
func TestMachinesThatAnEarlierLeaderReturnsGetNoTasks(t *testing.T) {
	m := newModel(6)
	name := rep(1, 6).Machine
	m.ResumeScaleIn([]string{name}, at(0))
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.ApplyHeartbeat(rep(1, 6), at(1))
	m.Schedule(at(2), 0)
	if n := m.Job("wk-000001").PlacedTasks; n != 0 {
		t.Error("a task was placed on a machine that is being returned")
	}
	if got := m.SelectScaleIn(at(3), time.Hour); len(got) != 1 || got[0] != name {
		t.Errorf("to be returned: %v", got)
	}
}

// The types may become known only after the last job of a class is over: the
// room that is kept for its class then met an index that was not there, and the
// process ended.
func TestTypesThatBecomeKnownLateAreKnownForClassesToo(t *testing.T) {
	m := New(newModel(5).settings, 5, at(0), newModel(5).log)
	m.Headroom = 0.3
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.RemoveJob("wk-000001", at(1))
	m.NextBatch(10)
	if m.Job("wk-000001") != nil {
		t.Fatal("the job is still there")
	}
	other := arrayJob("wk-000002", 1)
	other.Job.Class = "other"
	m.ApplyJobRecord("wk-000002", other, 1, at(2))
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	if d := m.Schedule(at(3), 0); len(d.ScaleOut) == 0 {
		t.Error("nothing is rented for a job that waits")
	}
}

// Boot times are learnt within bounds, from machines ordered in this leader's
// time only.
func TestBootTimesAreLearnt(t *testing.T) {
	m := newModel(5)
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	order := func(name string, s float64) {
		m.ScaledOut(Offer{Type: "m", Zone: "a"}, []string{name}, at(s))
	}
	up := func(name string, s float64) {
		m.ApplyHeartbeat(&wire.Report{Machine: name, Addr: "x", Type: "m", Zone: "a", Session: 1, Seq: 1}, at(s))
	}
	order("a", 10)
	before := m.bootCountsAsLate(m.findOrAddMachine("a", at(10)))
	if _, ok := m.bootTimeLeft(m.findOrAddMachine("a", at(10)), at(10).Add(before+time.Second)); ok {
		t.Error("a late machine is still counted on")
	}
	up("a", 100) // three times what the catalogue says
	order("b", 100)
	if after := m.bootCountsAsLate(m.findOrAddMachine("b", at(100))); after < 90*time.Second || after > 200*time.Second {
		t.Errorf("late after %v", after)
	}
	up("b", 2000)
	order("c", 2000)
	if limit := m.bootLimit(m.findOrAddMachine("c", at(2000))); limit > 4*time.Minute {
		t.Errorf("given up only after %v", limit)
	}
}
