package cluster

import (
	"testing"
	"time"
)

// The cloud may carry out a deletion a minute after the requesting leader last checked its lease. A
// later leader must not place tasks on the machines in the scale-in record, because these tasks
// would be lost with the machine.
func TestMachinesInScaleInOfEarlierLeaderGetNoTasks(t *testing.T) {
	m := newModel(6)
	name := newHeartbeat(1, 6).Machine
	m.ResumeScaleIn([]string{name}, at(0))
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.ApplyHeartbeat(newHeartbeat(1, 6), at(1))
	m.Schedule(at(2), 0)
	if n := m.Job("wk-000001").PlacedTasks; n != 0 {
		t.Error("a task was placed on a machine that is being scaled in")
	}
	if got := m.SelectScaleIn(at(3), time.Hour); len(got) != 1 || got[0] != name {
		t.Errorf("SelectScaleIn = %v, want only %s", got, name)
	}
}
