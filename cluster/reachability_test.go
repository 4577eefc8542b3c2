package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A launch that the next heartbeat does not list is revoked. No further task is placed on the
// machine until a probe, which its worker refuses and lists, proves that it receives answers.
func TestMissedLaunchMakesMachineUnreachableUntilProbeIsReported(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	mc := m.Machines[0]
	cmds := answer(t, m, newHeartbeat(3, 5), at(7)) // as after 4 s without an answer
	if m.Ready(mc, at(7)) || len(cmds) != 1 || cmds[0].Task != wire.TaskName("wk-000001", NoSuchTask) {
		t.Fatalf("ready, or sent %v", cmds)
	}
	m.Tick(at(7.2))
	if len(mc.Tasks) > 0 {
		t.Error("its launches are still pending there")
	}
	m.Schedule(at(7.5), 0)
	if len(mc.Tasks) > 0 {
		t.Error("placed there again")
	}
	probe := wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, Why: wire.ExitUnknown}
	if _, _, forgets := countOps(answer(t, m, newHeartbeat(4, 5, probe), at(8))); forgets != 1 {
		t.Error("the exit of the probe is not forgotten")
	}
	if !m.Ready(mc, at(8)) {
		t.Error("not ready although it has proved that it receives answers")
	}
	// The same exit is listed again, so that the answer with the forget was missed.
	answer(t, m, newHeartbeat(5, 5, probe), at(13))
	if m.Ready(mc, at(13)) {
		t.Error("ready although it missed the command to forget the probe")
	}
}

// A reserved placement is kept while its machine may become reachable again, but not past
// the expiry of the machine's lease.
func TestReservedPlacementOnUnreachableMachineEndsWithItsLease(t *testing.T) {
	m := newModel(5)
	rec := arrayJob("wk-000001", 1)
	rec.Reservation = &jobstore.Reservation{Owner: "w/y/a", LaunchRanges: []int{0, 0}}
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	if launches, _, _ := countOps(answer(t, m, newHeartbeat(2, 5), at(2))); launches != 1 {
		t.Fatal("not launched")
	}
	task := &m.Job("wk-000001").Tasks[0]
	answer(t, m, newHeartbeat(3, 5), at(7))
	if m.Tick(at(8)); task.Placement == nil {
		t.Fatal("not kept")
	}
	r := newHeartbeat(4, 5)
	r.AgentEpoch = 2
	if answer(t, m, r, at(11)); task.Placement != nil || task.outcome != jobstore.OutcomeLost {
		t.Errorf("kept, or ended as %d", task.outcome)
	}
}

// A worker stays with the node that answered it. If its next heartbeat arrives at another
// one, the answer was lost.
func TestNextHeartbeatAtAnotherNodeMakesMachineUnreachable(t *testing.T) {
	m := newModel(5)
	for i, c := range []struct {
		via       string
		seq       uint64
		reachable bool
	}{{"a", 1, true}, {"a", 2, true}, {"b", 4, true}, {"b", 5, true}, {"a", 6, false}} {
		mc := m.ApplyHeartbeat(newHeartbeat(c.seq, 5), at(float64(i)))
		m.RecordReceivingNode(mc, c.via, at(float64(i)))
		m.AnswerHeartbeat(mc, newHeartbeat(c.seq, 5), at(float64(i)))
		if mc.unreachable() == c.reachable {
			t.Errorf("heartbeat %d by way of %s: reachable %t", c.seq, c.via, !mc.unreachable())
		}
	}
}

// modelAfterFailover returns a new leader's model, in which an earlier leader has placed a task.
func modelAfterFailover() *Model {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 1,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}}}, 2, at(0))
	m.FinishLoading(at(0))
	return m
}

// A machine that receives no answers through a failover never shows the new leader's token.
// Its heartbeats are answered all the same, which must not extend its lease.
func TestAnswersNotReceivedAfterFailoverDoNotExtendLease(t *testing.T) {
	next := modelAfterFailover()
	for seq, s := uint64(3), 1.0; s < 12; seq, s = seq+1, s+5 {
		answer(t, next, newHeartbeat(seq, 5), at(s))
		next.Tick(at(s + 0.1))
		if next.Job("wk-000001").Tasks[0].Placement == nil {
			t.Fatalf("given up at %v s, before the lease has expired", s)
		}
	}
	answer(t, next, newHeartbeat(9, 5), at(13))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("not given up after the lease has expired")
	}
	next.Schedule(at(14), 0)
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("placed there again")
	}
}

// The first heartbeat that a new leader receives from a machine may be a delayed copy. A
// gang's task that the worker refused then is launched again with the same attempt number,
// and may be on the machine by now.
func TestRefusedLaunchWithoutFencingTokenKeepsPlacement(t *testing.T) {
	next := modelAfterFailover()
	exit := wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, Why: wire.ExitNoRoom}
	cmds := answer(t, next, newHeartbeat(3, 5, exit), at(1))
	if _, _, forgets := countOps(cmds); forgets > 0 || next.Job("wk-000001").Tasks[0].Placement == nil {
		t.Errorf("placement removed, or sent %v", cmds)
	}
	answer(t, next, newHeartbeat(4, 9, exit), at(2))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("placement kept although a heartbeat with the token lists the refusal")
	}
}

// The newest heartbeat counts: one without an interruption notice ends an earlier notice.
func TestHeartbeatWithoutInterruptionNoticeClearsIt(t *testing.T) {
	m := newModel(5)
	r, s := newHeartbeat(1, 5), 30.0
	r.NoticeS = &s
	answer(t, m, r, at(0))
	if m.Ready(m.Machines[0], at(0)) {
		t.Error("ready although it is about to be interrupted")
	}
	answer(t, m, newHeartbeat(2, 5), at(1))
	if !m.Ready(m.Machines[0], at(1)) {
		t.Error("not ready although the newest heartbeat has no notice")
	}
}
