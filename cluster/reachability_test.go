package cluster

import (
	"testing"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A machine's heartbeats arrive, and its worker receives no answers. A launch that the next
// heartbeat does not list must be revoked. No further task may be placed on the machine until a
// probe, which the worker refuses and lists as exited, proves that it receives answers. Tasks
// placed there before would never run.
func TestMissedLaunchMakesMachineUnreachableUntilProbeIsReported(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	mc := m.Machines[0]
	cmds := answer(t, m, newHeartbeat(3, 5), at(7)) // the worker retries 4 s after a missing answer
	if m.Ready(mc, at(7)) || len(cmds) != 1 || cmds[0].Task != wire.TaskName("wk-000001", NoSuchTask) {
		t.Fatalf("ready = %t, commands %v, want false and one probe", m.Ready(mc, at(7)), cmds)
	}
	m.Tick(at(7.2))
	if len(mc.Tasks) > 0 {
		t.Error("tasks are still placed on the unreachable machine")
	}
	m.Schedule(at(7.5), 0)
	if len(mc.Tasks) > 0 {
		t.Error("tasks are placed on the unreachable machine again")
	}
	probe := wire.TaskStatus{Task: cmds[0].Task, Attempt: cmds[0].Attempt, State: wire.TaskExited, ExitReason: wire.ExitUnknown}
	if _, _, forgets := countOps(answer(t, m, newHeartbeat(4, 5, probe), at(8))); forgets != 1 {
		t.Error("the answer does not forget the exit of the probe")
	}
	if !m.Ready(mc, at(8)) {
		t.Error("the machine is not ready although it proved that it receives answers")
	}
	// The same exit is listed again. The machine therefore missed the answer with the forget.
	answer(t, m, newHeartbeat(5, 5, probe), at(13))
	if m.Ready(mc, at(13)) {
		t.Error("the machine is ready although it missed the command to forget the probe")
	}
}

// A reserved placement on an unreachable machine must be kept while the machine may become reachable
// again, and must be removed when the machine's lease expires.
func TestReservedPlacementOnUnreachableMachineEndsWithItsLease(t *testing.T) {
	m := newModel(5)
	rec := arrayJob("wk-000001", 1)
	rec.Reservation = &jobstore.Reservation{Owner: "w/y/a", LaunchRanges: []int{0, 0}}
	m.ApplyJobRecord("wk-000001", rec, 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	if launches, _, _ := countOps(answer(t, m, newHeartbeat(2, 5), at(2))); launches != 1 {
		t.Fatal("the reserved task is not launched")
	}
	task := &m.Job("wk-000001").Tasks[0]
	answer(t, m, newHeartbeat(3, 5), at(7))
	if m.Tick(at(8)); task.Placement == nil {
		t.Fatal("the placement is removed before the lease expired")
	}
	r := newHeartbeat(4, 5)
	r.AgentEpoch = 2
	if answer(t, m, r, at(11)); task.Placement != nil || task.outcome != jobstore.OutcomeLost {
		t.Errorf("placement %v, outcome %d, want none and OutcomeLost", task.Placement, task.outcome)
	}
}

// A worker stays with the node that answered it. If its next heartbeat arrives at another node, the
// answer was lost, and the machine must become unreachable.
func TestNextHeartbeatAtAnotherNodeMakesMachineUnreachable(t *testing.T) {
	m := newModel(5)
	for i, c := range []struct {
		node      string
		seq       uint64
		reachable bool
	}{{"a", 1, true}, {"a", 2, true}, {"b", 4, true}, {"b", 5, true}, {"a", 6, false}} {
		mc := m.ApplyHeartbeat(newHeartbeat(c.seq, 5), at(float64(i)))
		m.RecordReceivingNode(mc, c.node, at(float64(i)))
		m.AnswerHeartbeat(mc, newHeartbeat(c.seq, 5), at(float64(i)))
		if mc.unreachable() == c.reachable {
			t.Errorf("heartbeat %d at node %s: got reachable %t, want %t", c.seq, c.node, !mc.unreachable(), c.reachable)
		}
	}
}

// modelAfterFailover returns the model of a new leader with one task that an earlier leader placed.
func modelAfterFailover() *Model {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 1,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}}}, 2, at(0))
	m.FinishLoading(at(0))
	return m
}

// A machine receives no answers before and after a failover, and so never shows the new leader's
// token. The new leader answers its heartbeats. These answers must not extend the lease, or the
// machine's tasks would never be restarted.
func TestAnswersNotReceivedAfterFailoverDoNotExtendLease(t *testing.T) {
	next := modelAfterFailover()
	for seq, s := uint64(3), 1.0; s < 12; seq, s = seq+1, s+5 {
		answer(t, next, newHeartbeat(seq, 5), at(s))
		next.Tick(at(s + 0.1))
		if next.Job("wk-000001").Tasks[0].Placement == nil {
			t.Fatalf("the task is lost at %v s, before the lease expired", s)
		}
	}
	answer(t, next, newHeartbeat(9, 5), at(13))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("the task is not lost after the lease expired")
	}
	next.Schedule(at(14), 0)
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("the task is placed on the unreachable machine again")
	}
}

// The first heartbeat that a new leader receives from a machine may be a delayed copy. It lists a
// gang's task as refused. The earlier leader may have launched the task again with the same attempt
// number, and the task may be on the machine by now. The placement must stay until a heartbeat with
// the token arrives.
func TestRefusedLaunchWithoutFencingTokenKeepsPlacement(t *testing.T) {
	next := modelAfterFailover()
	exit := wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitNoRoom}
	cmds := answer(t, next, newHeartbeat(3, 5, exit), at(1))
	if _, _, forgets := countOps(cmds); forgets > 0 || next.Job("wk-000001").Tasks[0].Placement == nil {
		t.Errorf("got %d forgets, placement %v, want 0 and the placement kept", forgets, next.Job("wk-000001").Tasks[0].Placement)
	}
	answer(t, next, newHeartbeat(4, 9, exit), at(2))
	if next.Job("wk-000001").Tasks[0].Placement != nil {
		t.Error("the placement is kept although a heartbeat with the token lists the refusal")
	}
}

// A heartbeat without an interruption notice must clear an earlier notice. Otherwise the machine
// would get no tasks any more.
func TestHeartbeatWithoutInterruptionNoticeClearsIt(t *testing.T) {
	m := newModel(5)
	heartbeat, noticeSeconds := newHeartbeat(1, 5), 30.0
	heartbeat.NoticeS = &noticeSeconds
	answer(t, m, heartbeat, at(0))
	if m.Ready(m.Machines[0], at(0)) {
		t.Error("the machine is ready although it is about to be interrupted")
	}
	answer(t, m, newHeartbeat(2, 5), at(1))
	if !m.Ready(m.Machines[0], at(1)) {
		t.Error("the machine is not ready although the newest heartbeat has no notice")
	}
}
