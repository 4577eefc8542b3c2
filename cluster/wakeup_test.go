package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// twoHosts is a job of two tasks of which each machine takes one: the first is
// placed and committed, the second placed only.
func twoHosts(t *testing.T) *Model {
	t.Helper()
	m := newModel(5)
	rec := arrayJob("wk-000001", 2)
	rec.Job.CPUs = 8
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	answer(t, m, rep(1, 5), at(0))
	m.Schedule(at(1), 0)
	commit(t, m, at(1))
	other := rep(1, 5)
	other.Machine, other.Addr = "host-2", "h2:1"
	answer(t, m, other, at(1))
	m.Schedule(at(1.2), 0)
	if j := m.Job("wk-000001"); j.PlacedTasks != 2 {
		t.Fatalf("%d tasks placed", j.PlacedTasks)
	}
	return m
}

// A chunk's neighbours were placed again and again, and none of its tasks was
// launched until all were committed: 5 s of waiting for a committed place.
func TestAPlaceIsLaunchedOnceItsOwnRecordIsCommitted(t *testing.T) {
	m := twoHosts(t)
	mc := m.ApplyHeartbeat(rep(2, 5), at(1.5))
	if cmds := m.AnswerHeartbeat(mc, rep(2, 5), at(1.5)); len(cmds) != 1 || cmds[0].Op != wire.OpStart {
		t.Errorf("commands %v, wanted the launch of what is committed", cmds)
	}
	other := rep(2, 5)
	other.Machine, other.Addr = "host-2", "h2:1"
	if cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(other, at(1.5)), other, at(1.5)); len(cmds) != 0 {
		t.Errorf("commands %v for a place that is not committed", cmds)
	}
}

func TestASummonsNamesATaskThatNoJobHas(t *testing.T) {
	m := twoHosts(t)
	got := m.WakeUps(10, at(1.3))
	if len(got) != 1 || got[0].Machine != "host-1" || got[0].Commands.Token != 5 || got[0].Commands.Session != 1 {
		t.Fatalf("summonses %+v, wanted one to the machine with a committed place", got)
	}
	c := got[0].Commands.Commands
	if len(c) != 1 || c[0].Op != wire.OpStart || c[0].Task != "wk-000001/100000" {
		t.Fatalf("commands %+v", c)
	}
	if again := m.WakeUps(10, at(2)); len(again) != 0 {
		t.Errorf("repeated after 0.7 s: %+v", again)
	}
	if again := m.WakeUps(10, at(3)); len(again) != 1 {
		t.Errorf("%d summonses after one of which nothing came", len(again))
	}
	// What the worker lists of it is forgotten, and nothing else follows.
	r := rep(2, 5, wire.TaskReport{Task: "wk-000001/100000", Attempt: 1, State: wire.TaskExited, Why: wire.WhyUnknown})
	cmds := m.AnswerHeartbeat(m.ApplyHeartbeat(r, at(3.1)), r, at(3.1))
	if len(cmds) != 2 || cmds[0].Op != wire.OpForget || cmds[1].Op != wire.OpStart || cmds[1].Task != "wk-000001/0" {
		t.Errorf("commands %+v, wanted a forget and the launch", cmds)
	}
	if again := m.WakeUps(10, at(10)); len(again) != 0 {
		t.Errorf("summoned for what was launched: %+v", again)
	}
}

func TestNoSummonsBeyondTheSocketsNorForAHeldAnswer(t *testing.T) {
	m := twoHosts(t)
	if got := m.WakeUps(0, at(1.3)); len(got) != 0 {
		t.Errorf("%d summonses without a socket", len(got))
	}
	if len(m.directCommands.launches) != 2 {
		t.Errorf("%d places wait for a summons, wanted both", len(m.directCommands.launches))
	}
	m.Machines[0].DelayAnswer()
	if got := m.WakeUps(10, at(1.3)); len(got) != 0 {
		t.Error("summoned while its answer is held: the launch goes with that")
	}
	m.Machines[0].EndAnswerDelay()
	if got := m.WakeUps(10, at(1.3)); len(got) != 1 {
		t.Errorf("%d summonses, wanted the one that was put off", len(got))
	}
}

// With summonses switched off, what has been launched was kept for ever.
func TestWhatWasLaunchedIsForgottenWithoutSummonses(t *testing.T) {
	m := twoHosts(t)
	m.AnswerHeartbeat(m.ApplyHeartbeat(rep(2, 5), at(1.5)), rep(2, 5), at(1.5))
	if m.WakeUps(0, at(2)); len(m.directCommands.launches) != 1 {
		t.Errorf("%d places are kept, wanted the one that is not launched", len(m.directCommands.launches))
	}
}
