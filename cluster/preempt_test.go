package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// Two teams that both have tasks within and beyond their guarantees on one machine must not preempt
// each other's tasks in turn. This happens every few seconds if the latest placed task counts as
// beyond the guarantee although its job is within it.
func TestTeamsDoNotStopEachOthersWorkInTurn(t *testing.T) {
	m := newModel(5)
	m.names.teams = map[string]int{"one": 0, "two": 1}
	m.teams = []placement.Team{{}, {}}
	m.guarantees = []placement.Resources{{CPU: 4}, {CPU: 4}}
	put := func(id, team string, atS float64) {
		rec := jobstore.JobRecord{AcceptedAtMs: at(atS).UnixMilli(), Job: wire.Job{ID: id, Class: "c", Team: team, Kind: wire.KindArray,
			Priority: wire.PriorityNormal, Tasks: 1, CPUs: 4, Image: "i", EstimateS: 500, CheckpointS: 10, SaveS: 2}}
		m.ApplyJobRecord(id, rec, 1, at(atS))
	}
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 12, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	put("wk-000002", "one", 1) // beyond the guarantee once wk-000001 is there
	put("wk-000004", "two", 3) // beyond the guarantee once wk-000003 is there
	stops := 0
	now := 4.0
	running := map[string]wire.TaskStatus{}
	for seq := uint64(1); seq <= 60; seq++ {
		if seq == 5 { // these jobs are placed again after a loss, and start last
			put("wk-000001", "one", 0)
			put("wk-000003", "two", 2)
		}
		var tasks []wire.TaskStatus
		for _, r := range running {
			tasks = append(tasks, r)
		}
		for _, c := range answer(t, m, newHeartbeat(seq, 5, tasks...), at(now)) {
			switch c.Op {
			case wire.OpStart:
				running[c.Task] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskRunning}
			case wire.OpStop:
				stops++
				running[c.Task] = wire.TaskStatus{Task: c.Task, Attempt: c.Attempt, State: wire.TaskExited, Why: wire.ExitStopped}
			case wire.OpForget:
				delete(running, c.Task)
			}
		}
		m.Schedule(at(now), 0)
		commitAll(t, m, at(now))
		now += config.Seconds(1.5).Seconds()
	}
	if stops > 2 {
		t.Errorf("got %d stops, want at most 2: one stop frees enough resources", stops)
	}
	for _, id := range []string{"wk-000001/0", "wk-000003/0"} {
		if _, ok := running[id]; !ok {
			t.Errorf("%s does not run, although it is within its team's guarantee", id)
		}
	}
}
