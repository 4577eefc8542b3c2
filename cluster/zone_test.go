package cluster

import (
	"slices"
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// A machine's worker names a zone, then one that the settings don't have, as after a wrong change of its
// settings, and then another. A job's tasks on the machine went on counting for the first zone once it named
// the unknown one, for good if they ended meanwhile: `placedByZone` was [2 0] with no task placed. Limits
// by zone (`apart`) and the zone of a job that wants all its tasks in one were decided on that.
func TestTasksCountForTheZoneThatTheirMachineNames(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	j := m.Job("wk-000001")
	seq := uint64(2)
	running := []wire.TaskStatus{
		{Task: wire.TaskName("wk-000001", 0), Attempt: j.Tasks[0].Placement.Attempt, State: wire.TaskRunning},
		{Task: wire.TaskName("wk-000001", 1), Attempt: j.Tasks[1].Placement.Attempt, State: wire.TaskRunning},
	}
	name := func(zone string, tasks ...wire.TaskStatus) {
		seq++
		heartbeat := newHeartbeat(seq, 5, tasks...)
		heartbeat.Zone = zone
		answer(t, m, heartbeat, at(float64(seq)))
	}
	check := func(when string, want ...int) {
		t.Helper()
		if !slices.Equal(j.placedByZone, want) {
			t.Errorf("%s: tasks by zone %v, not %v", when, j.placedByZone, want)
		}
	}
	check("zone a", 2, 0)
	name("elsewhere", running...)
	check("a zone that the settings don't have", 0, 0)
	name("b", running...)
	check("zone b", 0, 2)
	name("elsewhere", running...)
	for i := range running {
		running[i].State, running[i].Why = wire.TaskExited, wire.ExitDone
	}
	name("elsewhere", running...)
	check("all tasks over", 0, 0)
}
