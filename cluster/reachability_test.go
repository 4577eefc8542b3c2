package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A launch that the next report does not show is taken back, and no more goes
// there until a probe, whose launch is refused and listed, shows that it hears.
func TestAMachineThatMissedALaunchGetsNoMoreUntilItShowsThatItHears(t *testing.T) {
	m := placed(t, 2)
	mc := m.Machines[0]
	cmds := answer(t, m, rep(3, 5), at(7)) // as after 4 s without an answer
	if m.Ready(mc, at(7)) || len(cmds) != 1 || cmds[0].Task != wire.TaskName("wk-000001", NoSuchTask) {
		t.Fatalf("ready, or told %v", cmds)
	}
	m.Tick(at(7.2))
	if len(mc.Tasks) > 0 {
		t.Error("its launches wait there")
	}
	m.Schedule(at(7.5), 0)
	if len(mc.Tasks) > 0 {
		t.Error("placed there again")
	}
	probe := wire.TaskReport{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, Why: wire.WhyUnknown}
	if _, _, forgets := ops(answer(t, m, rep(4, 5, probe), at(8))); forgets != 1 {
		t.Error("the probe is not forgotten")
	}
	if !m.Ready(mc, at(8)) {
		t.Error("it has shown that it hears")
	}
	// The same again is no news: the answer with the forget was missed.
	answer(t, m, rep(5, 5, probe), at(13))
	if m.Ready(mc, at(13)) {
		t.Error("it has not heard that the probe is to be forgotten")
	}
}

// A reserved place is promised, and kept while its machine may hear again, but not
// past the end of its lease.
func TestAReservedPlaceIsGivenUpOnceAMuteMachinesLeaseHasEnded(t *testing.T) {
	m := newModel(5)
	rec := arrayJob("wk-000001", 1)
	rec.Reservation = &jobstore.Reservation{Owner: "w/y/a", LaunchRanges: []int{0, 0}}
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	answer(t, m, rep(1, 5), at(0))
	m.Schedule(at(1), 0)
	commit(t, m, at(1))
	if launches, _, _ := ops(answer(t, m, rep(2, 5), at(2))); launches != 1 {
		t.Fatal("not launched")
	}
	task := &m.Job("wk-000001").Tasks[0]
	answer(t, m, rep(3, 5), at(7))
	if m.Tick(at(8)); task.Placement == nil {
		t.Fatal("not kept")
	}
	r := rep(4, 5)
	r.Session = 2
	if answer(t, m, r, at(11)); task.Placement != nil || task.Outcome != jobstore.OutcomeLost {
		t.Errorf("kept, or ended as %d", task.Outcome)
	}
}

// A worker stays where it was answered.
func TestTheNextReportComesToAnotherNode(t *testing.T) {
	m := newModel(5)
	for i, c := range []struct {
		via  string
		seq  uint64
		hear bool
	}{{"a", 1, true}, {"a", 2, true}, {"b", 4, true}, {"b", 5, true}, {"a", 6, false}} {
		mc := m.ApplyHeartbeat(rep(c.seq, 5), at(float64(i)))
		m.RecordReceivingNode(mc, c.via, at(float64(i)))
		m.AnswerHeartbeat(mc, rep(c.seq, 5), at(float64(i)))
		if mc.unreachable() == c.hear {
			t.Errorf("report %d by way of %s: hears %t", c.seq, c.via, !mc.unreachable())
		}
	}
}

// takenOver is a new leader's model, in which an earlier one has placed a task.
func takenOver() *Model {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 1,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}}}, 2, at(0))
	m.FinishLoading(at(0))
	return m
}

// A machine that is mute through a change of leader never shows the new token. Its
// reports are answered all the same, and that must not keep its lease alive.
func TestAnswersThatWereNotHeardKeepNoLease(t *testing.T) {
	next := takenOver()
	for seq, s := uint64(3), 1.0; s < 12; seq, s = seq+1, s+5 {
		answer(t, next, rep(seq, 5), at(s))
		next.Tick(at(s + 0.1))
		if next.Job("wk-000001").Tasks[0].Placement == nil {
			t.Fatalf("given up at %v s, the lease is not over", s)
		}
	}
	answer(t, next, rep(9, 5), at(13))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("still waited for")
	}
	next.Schedule(at(14), 0)
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("placed there again")
	}
}

// The first that a new leader hears of a machine may be a late copy. A gang's task
// that was refused then is tried again with the same attempt, and may be there.
func TestARefusalInAReportWithoutTheTokenFreesNothing(t *testing.T) {
	next := takenOver()
	exit := wire.TaskReport{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, Why: wire.WhyNoRoom}
	cmds := answer(t, next, rep(3, 5, exit), at(1))
	if _, _, forgets := ops(cmds); forgets > 0 || next.Job("wk-000001").Tasks[0].Placement == nil {
		t.Errorf("freed, or told %v", cmds)
	}
	answer(t, next, rep(4, 9, exit), at(2))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("this report shows the token: the task is not there")
	}
}

func TestANewerReportWithoutANoticeEndsAnOlderOne(t *testing.T) {
	m := newModel(5)
	r, s := rep(1, 5), 30.0
	r.NoticeS = &s
	answer(t, m, r, at(0))
	if m.Ready(m.Machines[0], at(0)) {
		t.Error("it is about to be taken")
	}
	answer(t, m, rep(2, 5), at(1))
	if !m.Ready(m.Machines[0], at(1)) {
		t.Error("what was known of a notice came with an older message")
	}
}
