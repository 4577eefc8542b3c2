package cluster

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// answerDuplicate answers a heartbeat that has been applied already.
func answerDuplicate(t *testing.T, m *Model, r *wire.Heartbeat, via string, now time.Time) []wire.Command {
	t.Helper()
	if m.ApplyHeartbeat(r, now) != nil {
		t.Fatal("applied a second time")
	}
	cmds, ok := m.AnswerRetry(r, via)
	if !ok {
		t.Fatal("the duplicate of the newest heartbeat is refused")
	}
	return cmds
}

// The first copy of a heartbeat is answered with the launches, and the second one, whose
// answer the worker accepts, without any: it only renews the lease. The launches missing from
// the next heartbeat are then no sign that the machine is unreachable.
func TestDuplicateOfNewestHeartbeatIsAnsweredWithoutNewCommands(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 2), 1, at(0))
	exit := wire.TaskStatus{Task: wire.TaskName("wk-000001", NoSuchTask), Attempt: 1, State: wire.TaskExited, Why: wire.ExitUnknown}
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	copied := newHeartbeat(2, 5, exit)
	mc := m.ApplyHeartbeat(copied, at(2))
	m.RecordReceivingNode(mc, "a", at(2))
	if launches, _, forgets := countOps(m.AnswerHeartbeat(mc, copied, at(2))); launches != 2 || forgets != 1 {
		t.Fatalf("%d launches and %d exits forgotten", launches, forgets)
	}
	if cmds := answerDuplicate(t, m, newHeartbeat(2, 5, exit), "b", at(2.1)); len(cmds) > 0 {
		t.Errorf("commands to the duplicate: %v", cmds)
	}
	if _, ok := m.AnswerRetry(newHeartbeat(1, 5), "a"); ok {
		t.Error("an older heartbeat is answered")
	}
	next := newHeartbeat(3, 5, exit)
	mc = m.ApplyHeartbeat(next, at(4))
	m.RecordReceivingNode(mc, "b", at(4))
	if launches, _, forgets := countOps(m.AnswerHeartbeat(mc, next, at(4))); mc.unreachable() || launches != 2 || forgets != 1 {
		t.Errorf("unreachable %t, %d launches and %d exits forgotten", mc.unreachable(), launches, forgets)
	}
	// This heartbeat was answered once: an effect that the next one does not show was missed.
	if answer(t, m, newHeartbeat(4, 5, exit), at(6)); !mc.unreachable() {
		t.Error("reachable although it has missed a launch")
	}
}

// Both answers carry the fencing token, so that its absence still shows that none arrived.
func TestMissingTokenAfterTwoAnswersMakesMachineUnreachable(t *testing.T) {
	next := modelAfterFailover()
	answer(t, next, newHeartbeat(3, 5), at(1))
	answerDuplicate(t, next, newHeartbeat(3, 5), "b", at(1.1))
	if answer(t, next, newHeartbeat(4, 5), at(6)); !next.Machines[0].unreachable() {
		t.Error("reachable although it has received neither answer")
	}
}

// The answer to a duplicate renews the lease as any other, and so carries all pending stops.
func TestDuplicateHeartbeatIsAnsweredWithAllStops(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	runs := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	answer(t, m, runs, at(3))
	m.RemoveJob("wk-000001", at(3.5))
	if _, stops, _ := countOps(answerDuplicate(t, m, runs, "", at(4))); stops != 1 {
		t.Errorf("%d stops", stops)
	}
}

// Duplicates of a dead machine's last heartbeat keep arriving. Its lease expires as long after
// the heartbeat as without them; its tasks once waited for as long as duplicates arrived.
func TestDuplicatesOfDeadMachinesLastHeartbeatDoNotExtendLease(t *testing.T) {
	last := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	for _, unanswered := range []bool{false, true} {
		m := modelWithLaunchedJob(t, 1)
		if unanswered { // the leader could not prove its own lease just then
			m.ApplyHeartbeat(last, at(4))
		} else {
			answer(t, m, last, at(4))
		}
		for s := 5.0; s < 16; s++ {
			answerDuplicate(t, m, last, "", at(s))
			m.Tick(at(s))
		}
		place := &m.Job("wk-000001").Tasks[0].Placement
		if *place == nil {
			t.Errorf("unanswered %t: given up before its lease has expired", unanswered)
		}
		if m.Tick(at(16.4)); *place != nil {
			t.Errorf("unanswered %t: not given up after its lease has expired", unanswered)
		}
		if _, ok := m.AnswerRetry(last, ""); ok {
			t.Errorf("unanswered %t: answered after its lease has expired", unanswered)
		}
	}
}

// A worker whose heartbeat was applied but not answered counts its lease from when it sent the
// heartbeat, once a duplicate of it is answered.
func TestDelayedAnswerToAppliedHeartbeatExtendsLease(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	last := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	m.ApplyHeartbeat(last, at(10))
	answerDuplicate(t, m, last, "", at(11))
	if m.Tick(at(21.9)); m.Job("wk-000001").Tasks[0].Placement == nil {
		t.Error("given up before the worker's lease has expired")
	}
}
