// Tests how the model launches, loses, retries and moves tasks. The helpers at the top are shared by
// the tests of the package.

package cluster

import (
	"log/slog"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// t0 is the time at which the leader of most tests is elected.
var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns t0 plus the given number of seconds.
func at(seconds float64) time.Time { return t0.Add(config.Seconds(seconds)) }

// newModel returns a model with zones a and b, team core and machine type m, which has room for four
// tasks of arrayJob.
func newModel(token uint64) *Model {
	cfg := &config.Settings{Cluster: config.Cluster{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "core"}},
		Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5}}}
	m := New(cfg, token, t0, slog.New(slog.DiscardHandler))
	m.RebalanceSettings = config.DefaultTuning().Rebalance
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, Zones: []string{"a", "b"}}})
	return m
}

// newHeartbeat returns a heartbeat of machine host-1 in its first agent epoch.
func newHeartbeat(seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "host-1", Addr: "h:1", Type: "m", Zone: "a", AgentEpoch: 1, Seq: seq, Token: token, Tasks: tasks}
}

// arrayJob returns the record of a job of independent tasks.
func arrayJob(id string, tasks int) jobstore.JobRecord {
	return jobstore.JobRecord{AcceptedAtMs: t0.UnixMilli(), Job: wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: tasks, CPUs: 2, Image: "i", ImageGB: 1, EstimateS: 60, CheckpointS: 10, SaveS: 2}}
}

// commitAll commits batches until there is nothing to write.
func commitAll(t *testing.T, m *Model, now time.Time) {
	t.Helper()
	for rev := uint64(100); ; rev++ {
		b := m.NextBatch(12)
		if b == nil {
			return
		}
		b.OnCommit(rev, now)
	}
}

// modelWithLaunchedJob returns a model with one machine and one job, wk-000001. The answer to the
// machine's second heartbeat carries the launches of the job's tasks.
func modelWithLaunchedJob(t *testing.T, tasks int) *Model {
	t.Helper()
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", tasks), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	answer(t, m, newHeartbeat(2, 5), at(2))
	return m
}

// countOps counts commands by operation.
func countOps(cmds []wire.Command) (launches, stops, forgets int) {
	for _, c := range cmds {
		switch c.Op {
		case wire.OpStart:
			launches++
		case wire.OpStop:
			stops++
		case wire.OpForget:
			forgets++
		}
	}
	return launches, stops, forgets
}

// answer applies a heartbeat and returns the commands that answer it.
func answer(t *testing.T, m *Model, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	t.Helper()
	mc := m.ApplyHeartbeat(heartbeat, now)
	if mc == nil {
		t.Fatal("the heartbeat is not applied")
	}
	return m.AnswerHeartbeat(mc, heartbeat, now)
}

// A launch before the commit of its placement could be unknown to the next leader, which would
// launch the task a second time. A launch that was lost with its answer must be sent again.
func TestTaskLaunchesOnlyAfterItsPlacementIsCommitted(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	if l, _, _ := countOps(answer(t, m, newHeartbeat(2, 5), at(1.5))); l != 0 {
		t.Fatal("the task is launched before the commit")
	}
	commitAll(t, m, at(2))
	if l, _, _ := countOps(answer(t, m, newHeartbeat(3, 5), at(3))); l != 1 {
		t.Fatal("the task is not launched after the commit")
	}
	// The next heartbeat does not list the task. The answer with the launch was therefore lost.
	if l, _, _ := countOps(answer(t, m, newHeartbeat(4, 5), at(4.5))); l != 1 {
		t.Fatal("a lost launch is not repeated")
	}
}

// After a failover, a heartbeat without the new leader's token does not list a task. The
// earlier leader's answer with the launch may still be on its way, so the task must stay placed. A
// heartbeat with the token proves that the task is gone.
func TestHeartbeatWithoutLeadersTokenDoesNotProveTaskGone(t *testing.T) {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
	m.FinishLoading(at(0))
	task := &m.Job("wk-000001").Tasks[0]
	answer(t, m, newHeartbeat(1, 4), at(1))
	if task.Phase != TaskPlaced {
		t.Fatal("a heartbeat without the token proves the task gone")
	}
	answer(t, m, newHeartbeat(2, 9), at(2))
	if task.Phase != TaskIdle {
		t.Fatal("a heartbeat with the token does not prove the task gone")
	}
	m.Schedule(at(3), 0)
	if task.Placement == nil || task.Placement.Attempt <= 3 {
		t.Fatal("the task is not placed again with an attempt number above 3")
	}
}

// Tasks of a silent machine may still run until its lease expires. If they were restarted before,
// two attempts of a task could run at the same time. The cloud's list is no proof, because it lags.
func TestSilentMachineKeepsTasksUntilItsLeaseExpires(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	task := &m.Job("wk-000001").Tasks[0]
	m.Tick(at(13.9))
	if task.Phase != TaskPlaced {
		t.Fatal("the task is lost before the lease expired")
	}
	m.ApplyCloudList(nil, at(13.9))
	if task.Phase != TaskPlaced {
		t.Fatal("the task is lost because the cloud's list lacks the machine")
	}
	m.Tick(at(14.5))
	if task.Phase != TaskIdle {
		t.Fatal("the task is not lost after the lease expired")
	}
	if m.ApplyHeartbeat(newHeartbeat(3, 5), at(15)) != nil {
		t.Fatal("a late heartbeat of the ended agent epoch is applied")
	}
}

// A worker lists an exit until it is told to forget it. If it forgot the exit before the outcome is
// committed, the next leader would not learn of the outcome.
func TestExitIsForgottenOnlyAfterItsOutcomeIsCommitted(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	done := wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: wire.ExitDone}
	other := wire.TaskStatus{Task: "wk-000001/1", Attempt: 1, State: wire.TaskRunning}
	if _, _, f := countOps(answer(t, m, newHeartbeat(3, 5, done, other), at(3))); f != 0 {
		t.Fatal("the exit is forgotten before the commit")
	}
	commitAll(t, m, at(3))
	if _, _, f := countOps(answer(t, m, newHeartbeat(4, 5, done, other), at(4))); f != 1 {
		t.Fatal("the exit is not forgotten after the commit")
	}
}

// A task that was refused or failed must be retried after a delay and with a higher attempt number.
// After an error it must be retried on another machine, because the first one may be faulty.
func TestFailedLaunchIsRetriedLaterAndAfterErrorElsewhere(t *testing.T) {
	for _, why := range []string{wire.ExitNoRoom, wire.ExitBusy, wire.ExitUnknown, wire.ExitError} {
		m := newModel(5)
		m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
		answer(t, m, newHeartbeat(1, 5), at(0))
		m.Schedule(at(1), 0)
		commitAll(t, m, at(1))
		answer(t, m, newHeartbeat(2, 5), at(2))
		answer(t, m, newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, ExitReason: why}), at(3))
		m.Schedule(at(3.1), 0)
		task := &m.Job("wk-000001").Tasks[0]
		if task.Phase != TaskIdle {
			t.Errorf("%s: the task is placed again at once", why)
		}
		second := newHeartbeat(1, 5)
		second.Machine, second.Zone = "host-2", "b"
		answer(t, m, second, at(3.2))
		answer(t, m, newHeartbeat(4, 5), at(6.9))
		second.Seq = 2
		answer(t, m, second, at(7))
		m.Schedule(at(7.1), 0)
		if task.Placement == nil || task.Placement.Attempt != 2 {
			t.Errorf("%s: the task is not placed again later as attempt 2", why)
		} else if why == wire.ExitError && m.Machines[task.Placement.Machine].Name != "host-2" {
			t.Errorf("%s: the task is placed on the same machine again", why)
		}
	}
}

// A task that was never launched is certainly not on a silent machine. It must not wait until the
// machine's lease expires.
func TestUnlaunchedPlacementOnSilentMachineIsRemovedWithinLease(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	m.Tick(at(9)) // silent, but within its lease
	if m.Job("wk-000001").Tasks[0].Phase != TaskIdle {
		t.Fatal("a task that was never launched stays on a silent machine")
	}
}

// A transaction is applied, and its response is lost. The repeated write then conflicts with the
// leader's own write, and must continue from the version that the store reports.
func TestConflictWithOwnUnansweredTransactionAdoptsItsVersion(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	b := m.NextBatch(12)
	key := jobstore.PlacementPageKey(0)
	m.RequeueBatch(b)
	m.ResolveConflict(b, key, 77) // the first batch was applied
	b = m.NextBatch(12)
	for _, g := range b.Guards {
		if g.Key == key && g.Version != 77 {
			t.Fatalf("the repeated write expects version %d, want 77", g.Version)
		}
	}
}

// A new leader finds a rebalance move that an earlier leader recorded. It must stop the task, start
// it on the recorded target under a higher attempt number, and keep the cooldown. Otherwise a
// failover would abandon moves halfway.
func TestNewLeaderContinuesRecordedRebalanceMoves(t *testing.T) {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
	m.LoadRebalanceCycle("a/m", jobstore.RebalanceCycle{Moves: []jobstore.Move{{Task: "wk-000001/0", Attempt: 3, From: "host-1", To: "host-2"}},
		CooldownUntilMs: at(60).UnixMilli()}, at(0))
	running := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskRunning}
	if _, s, _ := countOps(answer(t, m, newHeartbeat(1, 9, running), at(1))); s != 1 {
		t.Fatal("the recorded move does not stop its task")
	}
	second := newHeartbeat(1, 9)
	second.Machine = "host-2"
	answer(t, m, second, at(1))
	exited := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskExited, ExitReason: wire.ExitStopped, Saved: true}
	answer(t, m, newHeartbeat(2, 9, exited), at(4))
	m.Schedule(at(4.1), 0)
	p := m.Job("wk-000001").Tasks[0].Placement
	if p == nil || m.Machines[p.Machine].Name != "host-2" || p.Attempt != 4 {
		t.Fatal("the task is not placed on its target as attempt 4")
	}
	if rec := m.RebalanceCycles["a/m"].Record; rec.CooldownUntilMs != at(60).UnixMilli() {
		t.Error("the cooldown of the group is lost")
	}
	// If the task fails on its target, it is excluded from moves for some time.
	commitAll(t, m, at(4.2))
	second.Seq = 2
	answer(t, m, second, at(4.5))
	second.Seq = 3
	second.Tasks = []wire.TaskStatus{{Task: "wk-000001/0", Attempt: 4, State: wire.TaskExited, ExitReason: wire.ExitError}}
	answer(t, m, second, at(6))
	if m.RebalanceCycles["a/m"].Record.QuarantineUntilMs["wk-000001/0"] == 0 {
		t.Error("the task is not quarantined after its failure")
	}
}

// The transaction of a rebalance cycle may be applied so late that its leader never began the moves.
// After the group's cooldown the next leader must not begin them either.
func TestRebalanceMovesAreNotBegunAfterTheirCooldown(t *testing.T) {
	for _, c := range []struct {
		cooldownUntil time.Time
		stops         int
	}{{at(1), 1}, {at(0), 0}, {at(-60), 0}} {
		m := newModel(9)
		m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
		m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
			Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
		m.LoadRebalanceCycle("a/m", jobstore.RebalanceCycle{Moves: []jobstore.Move{{Task: "wk-000001/0", Attempt: 3, From: "host-1", To: "host-2"}},
			CooldownUntilMs: c.cooldownUntil.UnixMilli(), TaskCooldownUntilMs: map[string]int64{"wk-000001/0": at(90).UnixMilli()}}, at(0))
		running := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskRunning}
		if _, s, _ := countOps(answer(t, m, newHeartbeat(1, 9, running), at(1))); s != c.stops {
			t.Errorf("cooldown until %v: got %d stops, want %d", c.cooldownUntil, s, c.stops)
		}
		if m.RebalanceCycles["a/m"].Record.TaskCooldownUntilMs["wk-000001/0"] == 0 {
			t.Error("the cooldown of the task is lost")
		}
	}
}
