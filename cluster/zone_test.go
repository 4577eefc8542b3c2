package cluster

import (
	"slices"
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// A worker's zone changes to one that the settings don't have, as after a wrong change of the
// worker's settings, and then to another one. Tasks on its machine once kept counting for the first
// zone. If they ended while the zone was unknown, they counted forever: placedByZone was [2 0] with
// no task placed. Limits by zone (`apart`) and the zone of jobs that need a single zone were based
// on this count.
func TestTasksCountForTheZoneThatTheirMachineNames(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	j := m.Job("wk-000001")
	seq := uint64(2)
	running := []wire.TaskStatus{
		{Task: wire.TaskName("wk-000001", 0), Attempt: j.Tasks[0].Placement.Attempt, State: wire.TaskRunning},
		{Task: wire.TaskName("wk-000001", 1), Attempt: j.Tasks[1].Placement.Attempt, State: wire.TaskRunning},
	}
	sendHeartbeat := func(zone string, tasks ...wire.TaskStatus) {
		seq++
		heartbeat := newHeartbeat(seq, 5, tasks...)
		heartbeat.Zone = zone
		answer(t, m, heartbeat, at(float64(seq)))
	}
	check := func(when string, want ...int) {
		t.Helper()
		if !slices.Equal(j.placedByZone, want) {
			t.Errorf("%s: got %v tasks by zone, want %v", when, j.placedByZone, want)
		}
	}
	check("zone a", 2, 0)
	sendHeartbeat("elsewhere", running...)
	check("unknown zone", 0, 0)
	sendHeartbeat("b", running...)
	check("zone b", 0, 2)
	sendHeartbeat("elsewhere", running...)
	for i := range running {
		running[i].State, running[i].Why = wire.TaskExited, wire.ExitDone
	}
	sendHeartbeat("elsewhere", running...)
	check("all tasks done", 0, 0)
}
