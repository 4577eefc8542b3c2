package cluster

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// An answer renews the lease of every task on the machine, so it must carry all pending stops.
// Stops were once left out of an answer because 300 forgets or other stops came before them. Tasks
// of a cancelled job then kept running for another lease, and without end if no answer followed.
func TestAnswerStopsAllTasksBeforeForgettingExits(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 2), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	if launches, _, _ := countOps(answer(t, m, newHeartbeat(2, 5), at(2))); launches != 2 {
		t.Fatalf("got %d launches, want 2", launches)
	}
	m.RemoveJob("wk-000001", at(3))
	var tasks []wire.TaskStatus
	for i := range 400 {
		tasks = append(tasks, wire.TaskStatus{Task: fmt.Sprintf("wk-000002/%d", i), Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone})
	}
	for i := range 600 { // tasks of a job that finished under an earlier leader
		tasks = append(tasks, wire.TaskStatus{Task: fmt.Sprintf("wk-999999/%d", 90_000+i), Attempt: 1_000_000, State: wire.TaskRunning})
	}
	// The last one is a task of the cancelled job. The launch of the job's other task was missed.
	tasks = append(tasks, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	cmds := answer(t, m, newHeartbeat(3, 5, tasks...), at(4))
	stopped := map[string]bool{}
	for _, c := range cmds {
		if c.Op == wire.OpStop {
			stopped[c.Task] = true
		}
	}
	if len(stopped) != 601 || !stopped["wk-000001/0"] {
		t.Errorf("got stops for %d tasks, want 601 including wk-000001/0", len(stopped))
	}
	// The next answer has room for forgets.
	cmds = answer(t, m, newHeartbeat(4, 5, tasks[:400]...), at(5))
	if _, _, forgets := countOps(cmds); forgets < 298 {
		t.Errorf("got %d forgets, want at least 298", forgets)
	}
}

// An answer with maxStops stops and the longest names must fit into the limit of 64 KiB. Otherwise
// it could not be sent.
func TestMaxStopsFitIntoOneAnswer(t *testing.T) {
	m := newModel(5)
	var tasks []wire.TaskStatus
	for i := range 2000 {
		tasks = append(tasks, wire.TaskStatus{Task: fmt.Sprintf("wk-999999/%d", 90_000+i), Attempt: 1_000_000, State: wire.TaskRunning})
	}
	var out []map[string]any
	for _, c := range answer(t, m, newHeartbeat(1, 5, tasks...), at(0)) {
		out = append(out, map[string]any{"geste": "halt", "piece": c.Task, "essai": c.Attempt, "repitS": *c.GraceS})
	}
	b, err := json.Marshal(map[string]any{"sceau": 1 << 40, "consignes": out})
	if err != nil || len(out) != maxStops || len(b) > wire.MaxBody {
		t.Errorf("got %d commands of %d bytes (%v), want maxStops within wire.MaxBody", len(out), len(b), err)
	}
}
