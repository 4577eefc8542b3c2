package cluster

import (
	"log/slog"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return t0.Add(config.Seconds(s)) }

func newModel(token uint64) *Model {
	cfg := &config.Settings{Cluster: config.Cluster{Zones: []string{"a", "b"}, Teams: []config.Team{{Name: "core"}},
		Workers: config.Workers{HeartbeatS: 1.5, LeaseS: 12, GangWaitS: 30, GangPeerS: 6, CancelS: 32},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5}}}
	m := New(cfg, token, t0, slog.New(slog.DiscardHandler))
	m.RebalanceSettings = config.DefaultTuning().Rebalance
	m.SetMachineTypes([]wire.MachineType{{Name: "m", CPUs: 8, GPUs: 2, MemoryGB: 64, CacheGB: 50, FetchGBPS: 1, BootS: 30, ZonesNamed: []string{"a", "b"}}})
	return m
}

func newHeartbeat(seq, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{Machine: "host-1", Addr: "h:1", Type: "m", Zone: "a", AgentEpoch: 1, Seq: seq, Token: token, Tasks: tasks}
}

func arrayJob(id string, n int) jobstore.JobRecord {
	return jobstore.JobRecord{AcceptedAtMs: t0.UnixMilli(), Job: wire.Job{ID: id, Class: "c", Team: "core", Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: n, CPUs: 2, Image: "i", ImageGB: 1, EstimateS: 60, CheckpointS: 10, SaveS: 2}}
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

// modelWithLaunchedJob returns a model with one job of n tasks, whose launches are in the answer to the
// second heartbeat of its one machine.
func modelWithLaunchedJob(t *testing.T, n int) *Model {
	t.Helper()
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", n), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	commitAll(t, m, at(1))
	answer(t, m, newHeartbeat(2, 5), at(2))
	return m
}

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
func answer(t *testing.T, m *Model, r *wire.Heartbeat, now time.Time) []wire.Command {
	t.Helper()
	mc := m.ApplyHeartbeat(r, now)
	if mc == nil {
		t.Fatal("heartbeat not accepted")
	}
	return m.AnswerHeartbeat(mc, r, now)
}

func TestTaskLaunchesOnlyAfterItsPlacementIsCommitted(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	if l, _, _ := countOps(answer(t, m, newHeartbeat(2, 5), at(1.5))); l != 0 {
		t.Fatal("launched before the commit")
	}
	commitAll(t, m, at(2))
	if l, _, _ := countOps(answer(t, m, newHeartbeat(3, 5), at(3))); l != 1 {
		t.Fatal("not launched after the commit")
	}
	// The answer was lost: the next heartbeat proves that it was not executed.
	if l, _, _ := countOps(answer(t, m, newHeartbeat(4, 5), at(4.5))); l != 1 {
		t.Fatal("a lost launch was not repeated")
	}
}

func TestHeartbeatWithoutLeadersTokenDoesNotProveTaskGone(t *testing.T) {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
	m.FinishLoading(at(0))
	task := &m.Job("wk-000001").Tasks[0]
	// An answer of the earlier leader may still be on its way to this worker.
	answer(t, m, newHeartbeat(1, 4), at(1))
	if task.Phase != TaskPlaced {
		t.Fatal("believed a report that had not shown the token")
	}
	answer(t, m, newHeartbeat(2, 9), at(2))
	if task.Phase != TaskIdle {
		t.Fatal("did not believe one that had")
	}
	m.Schedule(at(3), 0)
	if task.Placement == nil || task.Placement.Attempt <= 3 {
		t.Fatal("the next attempt does not grow")
	}
}

func TestSilentMachineKeepsTasksUntilItsLeaseExpires(t *testing.T) {
	m := modelWithLaunchedJob(t, 1)
	task := &m.Job("wk-000001").Tasks[0]
	m.Tick(at(13.9))
	if task.Phase != TaskPlaced {
		t.Fatal("given up within the lease")
	}
	// That the cloud's list no longer names the machine is no proof either.
	m.ApplyCloudList(nil, at(13.9))
	if task.Phase != TaskPlaced {
		t.Fatal("a lagging list was believed")
	}
	m.Tick(at(14.5))
	if task.Phase != TaskIdle {
		t.Fatal("not given up after the lease")
	}
	if m.ApplyHeartbeat(newHeartbeat(3, 5), at(15)) != nil {
		t.Fatal("a late heartbeat of the ended agent epoch was accepted")
	}
}

func TestExitIsForgottenOnlyAfterItsOutcomeIsCommitted(t *testing.T) {
	m := modelWithLaunchedJob(t, 2)
	done := wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, Why: wire.ExitDone}
	other := wire.TaskStatus{Task: "wk-000001/1", Attempt: 1, State: wire.TaskRunning}
	if _, _, f := countOps(answer(t, m, newHeartbeat(3, 5, done, other), at(3))); f != 0 {
		t.Fatal("forgotten before the commit")
	}
	commitAll(t, m, at(3))
	if _, _, f := countOps(answer(t, m, newHeartbeat(4, 5, done, other), at(4))); f != 1 {
		t.Fatal("not forgotten after the commit")
	}
}

func TestFailedLaunchIsRetriedLaterAndAfterErrorElsewhere(t *testing.T) {
	for _, why := range []string{wire.ExitNoRoom, wire.ExitBusy, wire.ExitUnknown, wire.ExitError} {
		m := newModel(5)
		m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
		answer(t, m, newHeartbeat(1, 5), at(0))
		m.Schedule(at(1), 0)
		commitAll(t, m, at(1))
		answer(t, m, newHeartbeat(2, 5), at(2))
		answer(t, m, newHeartbeat(3, 5, wire.TaskStatus{Task: "wk-000001/0", Attempt: 1, State: wire.TaskExited, Why: why}), at(3))
		m.Schedule(at(3.1), 0)
		task := &m.Job("wk-000001").Tasks[0]
		if task.Phase != TaskIdle {
			t.Errorf("%s: started again at once", why)
		}
		second := newHeartbeat(1, 5)
		second.Machine, second.Zone = "host-2", "b"
		answer(t, m, second, at(3.2))
		answer(t, m, newHeartbeat(4, 5), at(6.9))
		second.Seq = 2
		answer(t, m, second, at(7))
		m.Schedule(at(7.1), 0)
		if task.Placement == nil || task.Placement.Attempt != 2 {
			t.Errorf("%s: not started again later under a higher attempt", why)
		} else if why == wire.ExitError && m.Machines[task.Placement.Machine].Name != "host-2" {
			t.Errorf("%s: back on the same machine", why)
		}
	}
}

func TestUnlaunchedPlacementOnSilentMachineIsRemovedWithinLease(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	m.Tick(at(9)) // silent, but within its lease
	if m.Job("wk-000001").Tasks[0].Phase != TaskIdle {
		t.Fatal("a task that was never launched waits for the lease")
	}
}

func TestConflictWithOwnUnansweredTransactionAdoptsItsVersion(t *testing.T) {
	m := newModel(5)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	answer(t, m, newHeartbeat(1, 5), at(0))
	m.Schedule(at(1), 0)
	b := m.NextBatch(12)
	key := jobstore.PlacementPageKey(0)
	m.RequeueBatch(b)
	m.ResolveConflict(b, key, 77) // it had been applied after all
	b = m.NextBatch(12)
	for _, g := range b.Guards {
		if g.Key == key && g.Version != 77 {
			t.Fatalf("the repeated write expects version %d", g.Version)
		}
	}
}

func TestNewLeaderContinuesRecordedRebalanceMoves(t *testing.T) {
	m := newModel(9)
	m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
	m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
		Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
	m.LoadRebalanceCycle("a/m", jobstore.RebalanceCycle{Moves: []jobstore.Move{{Task: "wk-000001/0", Attempt: 3, From: "host-1", To: "host-2"}},
		CooldownUntilMs: at(60).UnixMilli()}, at(0))
	running := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskRunning}
	if _, s, _ := countOps(answer(t, m, newHeartbeat(1, 9, running), at(1))); s != 1 {
		t.Fatal("the recorded move's stop was not repeated")
	}
	second := newHeartbeat(1, 9)
	second.Machine = "host-2"
	answer(t, m, second, at(1))
	exited := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskExited, Why: wire.ExitStopped, Saved: true}
	answer(t, m, newHeartbeat(2, 9, exited), at(4))
	m.Schedule(at(4.1), 0)
	p := m.Job("wk-000001").Tasks[0].Placement
	if p == nil || m.Machines[p.Machine].Name != "host-2" || p.Attempt != 4 {
		t.Fatal("the task did not start on its target under a higher attempt")
	}
	if rec := m.RebalanceCycles["a/m"].Record; rec.CooldownUntilMs != at(60).UnixMilli() {
		t.Error("the cooldown was lost")
	}
	// A start that fails there for reasons of the task quarantines it.
	commitAll(t, m, at(4.2))
	second.Seq = 2
	answer(t, m, second, at(4.5))
	second.Seq = 3
	second.Tasks = []wire.TaskStatus{{Task: "wk-000001/0", Attempt: 4, State: wire.TaskExited, Why: wire.ExitError}}
	answer(t, m, second, at(6))
	if m.RebalanceCycles["a/m"].Record.QuarantineUntilMs["wk-000001/0"] == 0 {
		t.Error("not quarantined")
	}
}

// The transaction of a rebalance cycle may be applied late, so that its moves were never
// begun. After the group's cooldown the next leader must not begin them.
func TestRebalanceMovesAreNotBegunAfterTheirCooldown(t *testing.T) {
	for _, c := range []struct {
		coolUntil time.Time
		stops     int
	}{{at(1), 1}, {at(0), 0}, {at(-60), 0}} {
		m := newModel(9)
		m.ApplyJobRecord("wk-000001", arrayJob("wk-000001", 1), 1, at(0))
		m.LoadPlacementPage(0, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: "wk-000001", MaxAttempt: 3,
			Placements: []jobstore.Placement{{Task: 0, Attempt: 3, Machine: "host-1"}}}}}, 2, at(0))
		m.LoadRebalanceCycle("a/m", jobstore.RebalanceCycle{Moves: []jobstore.Move{{Task: "wk-000001/0", Attempt: 3, From: "host-1", To: "host-2"}},
			CooldownUntilMs: c.coolUntil.UnixMilli(), TaskCooldownUntilMs: map[string]int64{"wk-000001/0": at(90).UnixMilli()}}, at(0))
		running := wire.TaskStatus{Task: "wk-000001/0", Attempt: 3, State: wire.TaskRunning}
		if _, s, _ := countOps(answer(t, m, newHeartbeat(1, 9, running), at(1))); s != c.stops {
			t.Errorf("cooling until %v: %d stops, want %d", c.coolUntil, s, c.stops)
		}
		if m.RebalanceCycles["a/m"].Record.TaskCooldownUntilMs["wk-000001/0"] == 0 {
			t.Error("the task's rest was lost")
		}
	}
}
