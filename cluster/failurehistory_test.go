package cluster

import (
	"fmt"
	"testing"
	"time"
)

// failTask records in the model that a task failed on a machine.
func failTask(m *Model, id string, task int32, machine string, now time.Time) {
	m.recordTaskFailure(m.Job(id), task, m.findOrAddMachine(machine, now), now)
}

// Two jobs at fault fail on the same machines, one after the other. Their errors once made all of
// these machines suspected for ten minutes.
func TestJobsAtFaultDoNotMakeMachinesSuspected(t *testing.T) {
	m := newModel(5)
	for i := range 4 {
		m.ApplyJobRecord(fmt.Sprintf("wk-%06d", i), arrayJob(fmt.Sprintf("wk-%06d", i), 20), 1, at(0))
	}
	for i, id := range []string{"wk-000000", "wk-000001"} {
		for k := range 3 {
			failTask(m, id, int32(k), fmt.Sprint("h", k), at(float64(10+i)))
		}
	}
	for k := range 3 {
		if m.findOrAddMachine(fmt.Sprint("h", k), at(20)).suspected(at(20)) {
			t.Errorf("h%d is suspected because of two jobs at fault", k)
		}
	}
	// A machine is still suspected if jobs fail there that succeed elsewhere.
	for _, id := range []string{"wk-000002", "wk-000003"} {
		m.clearFault(m.Job(id))
		failTask(m, id, 0, "h0", at(30))
	}
	if !m.findOrAddMachine("h0", at(31)).suspected(at(31)) || m.findOrAddMachine("h1", at(31)).suspected(at(31)) {
		t.Error("want exactly h0 suspected, on which healthy jobs fail")
	}
}

// A job that fails on every machine gets few tries, with exponential backoff, until one of its tasks
// keeps running. Otherwise it would use up machines and fetch bandwidth of healthy jobs.
func TestJobAtFaultBacksOff(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 50), 1, at(0))
	j := m.Job("wk-000001")
	now := at(1)
	if j.requestableTasks(64, now) != 64 {
		t.Fatal("a job that never failed is limited")
	}
	tries, lastTry := 0, now
	for now.Before(at(1200)) {
		if j.requestableTasks(64, now) > 0 {
			if tries > 2 && j.requestableTasks(64, now) > maxFaultProbes {
				t.Fatalf("got %d tasks of a job at fault requested at a time, want at most maxFaultProbes", j.requestableTasks(64, now))
			}
			failTask(m, j.ID, int32(tries%50), fmt.Sprint("h", tries%7), now)
			tries, lastTry = tries+1, now
		}
		now = now.Add(500 * time.Millisecond)
	}
	if tries > 20 || now.Sub(lastTry) > maxFaultBackoff+time.Second {
		t.Errorf("got %d tries in 20 minutes, the last one %v ago, want at most 20 and the last one within maxFaultBackoff plus 1 s", tries, now.Sub(lastTry))
	}
	m.clearFault(j)
	if j.requestableTasks(64, now) != 64 {
		t.Error("the job is limited although a task kept running")
	}
}
