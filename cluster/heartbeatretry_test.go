package cluster

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// answerDuplicate returns the commands that answer another copy of the newest heartbeat. node is the
// node that received the copy. It fails the test if the copy is applied or not answered.
func answerDuplicate(t *testing.T, m *Model, heartbeat *wire.Heartbeat, node string, now time.Time) []wire.Command {
	t.Helper()
	if m.ApplyHeartbeat(heartbeat, now) != nil {
		t.Fatal("the heartbeat is applied a second time")
	}
	cmds, ok := m.AnswerRetry(heartbeat, node)
	if !ok {
		t.Fatal("the duplicate of the newest heartbeat is not answered")
	}
	return cmds
}

// Two copies of a heartbeat arrive. The answer to the first one carries the launches. The worker
// accepts only the answer to the second one, which has no launches and only renews the lease. The
// next heartbeat then lacks the launches. This is no proof that the machine receives no answers, and
// must not make it unreachable.
func TestDuplicateOfNewestHeartbeatIsAnsweredWithoutNewCommands(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 2), 1, at(0))
	exit := wire.TaskStatus{Task: wire.TaskName("wk-000001", NoSuchTask), Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitUnknown}
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	copied := newHeartbeat(2, 5, exit)
	mc := m.ApplyHeartbeat(copied, at(2))
	m.RecordReceivingNode(mc, "a", at(2))
	if launches, _, forgets := countOps(m.AnswerHeartbeat(mc, copied, at(2))); launches != 2 || forgets != 1 {
		t.Fatalf("got %d launches and %d forgets, want 2 and 1", launches, forgets)
	}
	if cmds := answerDuplicate(t, m, newHeartbeat(2, 5, exit), "b", at(2.1)); len(cmds) > 0 {
		t.Errorf("the answer to the duplicate has commands %v, want none", cmds)
	}
	if _, ok := m.AnswerRetry(newHeartbeat(1, 5), "a"); ok {
		t.Error("an older heartbeat is answered, want no answer")
	}
	next := newHeartbeat(3, 5, exit)
	mc = m.ApplyHeartbeat(next, at(4))
	m.RecordReceivingNode(mc, "b", at(4))
	if launches, _, forgets := countOps(m.AnswerHeartbeat(mc, next, at(4))); mc.unreachable() || launches != 2 || forgets != 1 {
		t.Errorf("got unreachable %t, %d launches and %d forgets, want false, 2 and 1", mc.unreachable(), launches, forgets)
	}
	// The last heartbeat was answered once. The next one lacks the launches of that answer, which
	// proves that the machine missed it.
	if answer(t, m, newHeartbeat(4, 5, exit), at(6)); !mc.unreachable() {
		t.Error("the machine is reachable although it missed a launch")
	}
}

// A heartbeat is answered twice, and the next one lacks the fencing token. Both answers carry the
// token. The worker therefore received neither of them, and the machine must become unreachable.
func TestMissingTokenAfterTwoAnswersMakesMachineUnreachable(t *testing.T) {
	next := modelAfterFailover()
	answer(t, next, newHeartbeat(3, 5), at(1))
	answerDuplicate(t, next, newHeartbeat(3, 5), "b", at(1.1))
	if answer(t, next, newHeartbeat(4, 5), at(6)); !next.Machines[0].unreachable() {
		t.Error("the machine is reachable although it received neither answer")
	}
}

// The answer to a duplicate renews the lease like any other answer. If it lacked the pending stops,
// tasks of a cancelled job could run for another lease.
func TestDuplicateHeartbeatIsAnsweredWithAllStops(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	heartbeat := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	answer(t, m, heartbeat, at(3))
	m.RemoveJob("wk-000001", at(3.5))
	if _, stops, _ := countOps(answerDuplicate(t, m, heartbeat, "", at(4))); stops != 1 {
		t.Errorf("got %d stops, want 1", stops)
	}
}

// Duplicates of a dead machine's last heartbeat keep arriving and are answered. They must not extend
// its lease. The restart of its tasks elsewhere was once delayed for as long as duplicates arrived.
func TestDuplicatesOfDeadMachinesLastHeartbeatDoNotExtendLease(t *testing.T) {
	last := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	for _, unanswered := range []bool{false, true} {
		m := modelWithLaunchedJob(t, 1)
		if unanswered { // as when the leader can't prove its own lease
			m.ApplyHeartbeat(last, at(4))
		} else {
			answer(t, m, last, at(4))
		}
		for s := 5.0; s < 16; s++ {
			answerDuplicate(t, m, last, "", at(s))
			m.Tick(at(s))
		}
		placement := &m.Job("wk-000001").Tasks[0].Placement
		if *placement == nil {
			t.Errorf("unanswered %t: the task is lost before the lease expired", unanswered)
		}
		if m.Tick(at(16.4)); *placement != nil {
			t.Errorf("unanswered %t: the task is not lost after the lease expired", unanswered)
		}
		if _, ok := m.AnswerRetry(last, ""); ok {
			t.Errorf("unanswered %t: a duplicate is answered after the lease expired", unanswered)
		}
	}
}

// A heartbeat is applied and not answered, and later a duplicate of it is answered. The worker's
// lease then begins when it sent the heartbeat. If the leader counted from an earlier answer, it
// would restart the tasks while they still run.
func TestDelayedAnswerToAppliedHeartbeatExtendsLease(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	last := newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	m.ApplyHeartbeat(last, at(10))
	answerDuplicate(t, m, last, "", at(11))
	if m.Tick(at(21.9)); m.Job("wk-000001").Tasks[0].Placement == nil {
		t.Error("the task is lost before the worker's lease expired")
	}
}
