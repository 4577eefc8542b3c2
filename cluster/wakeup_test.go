package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// taskOnEachOfTwoMachines returns a model with a job of two tasks, placed on two machines with room
// for one task each. Only the placement on the first machine is committed.
func taskOnEachOfTwoMachines(t *testing.T) *Model {
	t.Helper()
	m := newModel(5)
	rec := arrayJob("wk-000001", 2)
	rec.Job.CPUs = 8
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	other := newHeartbeat(1, 5)
	other.Machine, other.Addr = "host-2", "h2:1"
	answer(t, m, other, at(1))
	m.Schedule(at(1.2), 0)
	if j := m.Job("wk-000001"); j.PlacedTasks != 2 {
		t.Fatalf("got %d placed tasks, want 2", j.PlacedTasks)
	}
	return m
}

// A task must be launched once its own placement is committed, also if its chunk has later changes.
// Launches once waited until the whole chunk was committed, up to 5 s.
func TestTaskLaunchesOnceItsOwnPlacementIsCommitted(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	mc := m.ApplyHeartbeat(newHeartbeat(2, 5), at(1.5))
	if cmds := m.AnswerHeartbeat(mc, newHeartbeat(2, 5), at(1.5)); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Errorf("got commands %v, want the launch of the committed placement", cmds)
	}
	other := newHeartbeat(2, 5)
	other.Machine, other.Addr = "host-2", "h2:1"
	if cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(other, at(1.5)), other, at(1.5)); len(cmds) != 0 {
		t.Errorf("got commands %v for a placement that is not committed, want none", cmds)
	}
}

// A wake-up must name a task number that no job has. If it named a real task, a wake-up that is
// executed late could start a task a second time.
func TestWakeUpLaunchesATaskThatNoJobHas(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	got := m.WakeUps(10, at(1.3))
	if len(got) != 1 || got[0].Machine != "host-1" || got[0].Commands.Token != 5 || got[0].Commands.AgentEpoch != 1 {
		t.Fatalf("got wake-ups %+v, want one to the machine with a committed placement", got)
	}
	c := got[0].Commands.Commands
	if len(c) != 1 || c[0].Op != wire.OpStart || c[0].Task != "wk-000001/100000" {
		t.Fatalf("got commands %+v, want one launch of wk-000001/100000", c)
	}
	if again := m.WakeUps(10, at(2)); len(again) != 0 {
		t.Errorf("got repeated wake-ups %+v after 0.7 s, want none", again)
	}
	if again := m.WakeUps(10, at(3)); len(again) != 1 {
		t.Errorf("got %d wake-ups after one without effect, want 1", len(again))
	}
	// The answer forgets the exit of the wake-up and carries the launch.
	r := newHeartbeat(2, 5, wire.TaskStatus{Task: "wk-000001/100000", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitUnknown})
	cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(r, at(3.1)), r, at(3.1))
	if len(cmds) != 2 || cmds[0].Op != wire.OpForget || cmds[1].Op != wire.OpStart || cmds[1].Task != "wk-000001/0" {
		t.Errorf("got commands %+v, want a forget and the launch", cmds)
	}
	if again := m.WakeUps(10, at(10)); len(again) != 0 {
		t.Errorf("got wake-ups %+v for a launched task, want none", again)
	}
}

// WakeUps must return no more wake-ups than its limit, and none for a machine whose delayed answer
// can carry the launch. Skipped wake-ups must stay in the queue.
func TestWakeUpsSkipDelayedAnswersAndStayWithinLimit(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	if got := m.WakeUps(0, at(1.3)); len(got) != 0 {
		t.Errorf("got %d wake-ups, want none with limit 0", len(got))
	}
	if len(m.directCommands.launches) != 2 {
		t.Errorf("got %d placements in the wake-up queue, want both", len(m.directCommands.launches))
	}
	m.Machines[0].DelayAnswer()
	if got := m.WakeUps(10, at(1.3)); len(got) != 0 {
		t.Error("got a wake-up although a delayed answer will carry the launch")
	}
	m.Machines[0].EndAnswerDelay()
	if got := m.WakeUps(10, at(1.3)); len(got) != 1 {
		t.Errorf("got %d wake-ups, want the one that was skipped before", len(got))
	}
}

// With wake-ups switched off, launched tasks must still leave the wake-up queue, which once grew
// without bound.
func TestLaunchedTasksLeaveWakeUpQueueWhenWakeUpsAreOff(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	m.AnswerHeartbeat(m.ApplyHeartbeat(newHeartbeat(2, 5), at(1.5)), newHeartbeat(2, 5), at(1.5))
	if m.WakeUps(0, at(2)); len(m.directCommands.launches) != 1 {
		t.Errorf("got %d placements in the wake-up queue, want the one that is not launched", len(m.directCommands.launches))
	}
}
