package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// taskOnEachOfTwoMachines returns a model with a job of two tasks and two machines that have
// room for one each. The placement on the first machine is committed, the other one is not.
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
		t.Fatalf("%d tasks placed", j.PlacedTasks)
	}
	return m
}

// Later changes of its chunk do not delay the launch of a task whose own placement is
// committed. Launches once waited until the whole chunk was committed, up to 5 s.
func TestTaskLaunchesOnceItsOwnPlacementIsCommitted(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	mc := m.ApplyHeartbeat(newHeartbeat(2, 5), at(1.5))
	if cmds := m.AnswerHeartbeat(mc, newHeartbeat(2, 5), at(1.5)); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Errorf("commands %v, wanted the launch of the committed placement", cmds)
	}
	other := newHeartbeat(2, 5)
	other.Machine, other.Addr = "host-2", "h2:1"
	if cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(other, at(1.5)), other, at(1.5)); len(cmds) != 0 {
		t.Errorf("commands %v for a placement that is not committed", cmds)
	}
}

func TestWakeUpLaunchesATaskThatNoJobHas(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	got := m.WakeUps(10, at(1.3))
	if len(got) != 1 || got[0].Machine != "host-1" || got[0].Commands.Token != 5 || got[0].Commands.AgentEpoch != 1 {
		t.Fatalf("wake-ups %+v, wanted one to the machine with a committed placement", got)
	}
	c := got[0].Commands.Commands
	if len(c) != 1 || c[0].Op != wire.OpStart || c[0].Task != "wk-000001/100000" {
		t.Fatalf("commands %+v", c)
	}
	if again := m.WakeUps(10, at(2)); len(again) != 0 {
		t.Errorf("repeated after 0.7 s: %+v", again)
	}
	if again := m.WakeUps(10, at(3)); len(again) != 1 {
		t.Errorf("%d wake-ups after one without effect", len(again))
	}
	// The exit that the worker lists is forgotten, and nothing else follows.
	r := newHeartbeat(2, 5, wire.TaskStatus{Task: "wk-000001/100000", Attempt: 1, State: wire.TaskExited, Why: wire.ExitUnknown})
	cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(r, at(3.1)), r, at(3.1))
	if len(cmds) != 2 || cmds[0].Op != wire.OpForget || cmds[1].Op != wire.OpStart || cmds[1].Task != "wk-000001/0" {
		t.Errorf("commands %+v, wanted a forget and the launch", cmds)
	}
	if again := m.WakeUps(10, at(10)); len(again) != 0 {
		t.Errorf("wake-up for a launched task: %+v", again)
	}
}

func TestWakeUpsSkipDelayedAnswersAndStayWithinLimit(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	if got := m.WakeUps(0, at(1.3)); len(got) != 0 {
		t.Errorf("%d wake-ups, limit 0", len(got))
	}
	if len(m.directCommands.launches) != 2 {
		t.Errorf("%d placements await a wake-up, wanted both", len(m.directCommands.launches))
	}
	m.Machines[0].DelayAnswer()
	if got := m.WakeUps(10, at(1.3)); len(got) != 0 {
		t.Error("wake-up although a delayed answer will carry the launch")
	}
	m.Machines[0].EndAnswerDelay()
	if got := m.WakeUps(10, at(1.3)); len(got) != 1 {
		t.Errorf("%d wake-ups, wanted the one that was deferred", len(got))
	}
}

// With wake-ups switched off, launched tasks leave the queue all the same; it once grew without
// bound.
func TestLaunchedTasksLeaveWakeUpQueueWhenWakeUpsAreOff(t *testing.T) {
	m := taskOnEachOfTwoMachines(t)
	m.AnswerHeartbeat(m.ApplyHeartbeat(newHeartbeat(2, 5), at(1.5)), newHeartbeat(2, 5), at(1.5))
	if m.WakeUps(0, at(2)); len(m.directCommands.launches) != 1 {
		t.Errorf("%d placements await a wake-up, wanted the one that is not launched", len(m.directCommands.launches))
	}
}
