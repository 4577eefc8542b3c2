package cluster

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// again answers a report that has been taken in already.
func again(t *testing.T, m *Model, r *wire.Report, via string, now time.Time) []wire.Command {
	t.Helper()
	if m.ApplyHeartbeat(r, now) != nil {
		t.Fatal("taken in a second time")
	}
	cmds, ok := m.AnswerRetry(r, via)
	if !ok {
		t.Fatal("the newest report is refused as it comes again")
	}
	return cmds
}

// A copy that comes first has the launch, and the worker's own report the answer that
// it hears: the lease is renewed, nothing is launched by that, and what it did not hear
// of is no sign that it does not hear.
func TestTheNewestReportIsAnsweredAgain(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 2), 1, at(0))
	exit := wire.TaskReport{Task: wire.TaskName("wk-000001", NoSuchTask), Attempt: 1, State: wire.TaskExited, Why: wire.WhyUnknown}
	answer(t, m, rep(1, 5), at(0))
	m.Schedule(at(1), 0)
	commit(t, m, at(1))
	copied := rep(2, 5, exit)
	mc := m.ApplyHeartbeat(copied, at(2))
	m.RecordReceivingNode(mc, "a", at(2))
	if launches, _, forgets := ops(m.AnswerHeartbeat(mc, copied, at(2))); launches != 2 || forgets != 1 {
		t.Fatalf("%d launches and %d outcomes forgotten", launches, forgets)
	}
	if cmds := again(t, m, rep(2, 5, exit), "b", at(2.1)); len(cmds) > 0 {
		t.Errorf("told once more: %v", cmds)
	}
	if _, ok := m.AnswerRetry(rep(1, 5), "a"); ok {
		t.Error("an older one is answered")
	}
	next := rep(3, 5, exit)
	mc = m.ApplyHeartbeat(next, at(4))
	m.RecordReceivingNode(mc, "b", at(4))
	if launches, _, forgets := ops(m.AnswerHeartbeat(mc, next, at(4))); mc.unreachable() || launches != 2 || forgets != 1 {
		t.Errorf("deaf %t, %d launches and %d outcomes forgotten", mc.unreachable(), launches, forgets)
	}
	// This one was answered once: what it does not show it has not heard.
	if answer(t, m, rep(4, 5, exit), at(6)); !mc.unreachable() {
		t.Error("it has missed a launch, and hears")
	}
}

// The other signs of a machine that does not hear stay what they are.
func TestAMachineThatShowsNoTokenAfterTwoAnswersDoesNotHear(t *testing.T) {
	next := takenOver()
	answer(t, next, rep(3, 5), at(1))
	again(t, next, rep(3, 5), "b", at(1.1))
	if answer(t, next, rep(4, 5), at(6)); !next.Machines[0].unreachable() {
		t.Error("neither answer was heard")
	}
}

// The answer to a repeated report renews a lease as any other: it stops what is to stop.
func TestARepeatedReportIsAnsweredWithAllStops(t *testing.T) {
	m := placed(t, 2)
	runs := rep(3, 5, wire.TaskReport{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	answer(t, m, runs, at(3))
	m.RemoveJob("wk-000001", at(3.5))
	if _, stops, _ := ops(again(t, m, runs, "", at(4))); stops != 1 {
		t.Errorf("%d stops", stops)
	}
}

// Copies of a dead machine's last report come again and again. Its lease is over as long
// after the report as without them; its tasks waited for as long as copies came.
func TestCopiesOfADeadMachinesLastReportPutNothingOff(t *testing.T) {
	last := rep(3, 5, wire.TaskReport{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	for _, unanswered := range []bool{false, true} {
		m := placed(t, 1)
		if unanswered { // the leader was not sure of its lease just then
			m.ApplyHeartbeat(last, at(4))
		} else {
			answer(t, m, last, at(4))
		}
		for s := 5.0; s < 16; s++ {
			again(t, m, last, "", at(s))
			m.Tick(at(s))
		}
		place := &m.Job("wk-000001").Tasks[0].Placement
		if *place == nil {
			t.Errorf("unanswered %t: given up before its lease is over", unanswered)
		}
		if m.Tick(at(16.4)); *place != nil {
			t.Errorf("unanswered %t: still waited for", unanswered)
		}
		if _, ok := m.AnswerRetry(last, ""); ok {
			t.Errorf("unanswered %t: answered past its lease", unanswered)
		}
	}
}

// A worker whose report was taken in and not answered has its lease from when it sent
// that, once it is answered as it comes again.
func TestAReportThatWasAnsweredLateCounts(t *testing.T) {
	m := placed(t, 1)
	last := rep(3, 5, wire.TaskReport{Task: "wk-000001/0", Attempt: 1, State: wire.TaskRunning})
	m.ApplyHeartbeat(last, at(10))
	again(t, m, last, "", at(11))
	if m.Tick(at(21.9)); m.Job("wk-000001").Tasks[0].Placement == nil {
		t.Error("given up while the worker's lease lasts")
	}
}
