// Tests of the checker's rules for direct commands, cancellations and unanswered status queries, and
// of the detection of active faults.

package fake

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// withCheckedCluster runs a test on a cluster with one machine, a job that the checker knows, and
// no running controllers. The test simulates the controllers' answers and commands.
func withCheckedCluster(t *testing.T, test func(w *Cluster, m *machine, j *job)) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		w := New(Options{Nodes: 3, Machines: 1, Capacity: 1, ExternalNodes: true})
		defer w.Close()
		time.Sleep(5 * time.Second)
		j := wire.Job{ID: "wk-000001", Class: "c", Team: "core", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: 1, CPUs: 1, EstimateS: 3600}
		w.RegisterJob(j)
		test(w, w.Cloud.machine(w.Cloud.Machines()[0]), w.jobs[j.ID])
	})
}

// wantViolation fails the test unless the checker has found exactly one violation that contains
// want, or none if want is "".
func wantViolation(t *testing.T, w *Cluster, want string) {
	t.Helper()
	got := w.Violations()
	if want == "" && len(got) > 0 || want != "" && (len(got) != 1 || !strings.Contains(got[0], want)) {
		t.Errorf("violations %q, want %q", got, want)
	}
}

// The checker must report direct commands that are harmful if they arrive minutes late. A late
// launch could start a task twice, and a late forget could remove an outcome that is not recorded.
// Stops, and launches of tasks that the job doesn't have, are harmless.
func TestDirectCommandThatHarmsWhenLateIsAViolation(t *testing.T) {
	for _, c := range []struct {
		command wire.Command
		broken  string
	}{
		{wire.Command{Op: wire.OpStop, Task: "wk-000001/0", Attempt: 1}, ""},
		{wire.Command{Op: wire.OpStart, Task: "wk-000001/1", Attempt: 1}, ""},
		{wire.Command{Op: wire.OpStart, Task: "wk-000001/0", Attempt: 1}, "a launch of wk-000001/0 is sent directly"},
		{wire.Command{Op: wire.OpForget, Task: "wk-000001/0", Attempt: 1}, "a forget of wk-000001/0 is sent directly"},
	} {
		withCheckedCluster(t, func(w *Cluster, m *machine, _ *job) {
			body, err := wire.Marshal(wire.DirectCommands{Token: 1, AgentEpoch: 1, Commands: []wire.Command{c.command}})
			if err != nil {
				t.Fatal(err)
			}
			w.mu.Lock()
			status, held := m.receiveCommands(body)
			w.mu.Unlock()
			if status != http.StatusOK || held {
				t.Errorf("%+v: status %d, held %t; want 200, false", c.command, status, held)
			}
			wantViolation(t, w, c.broken)
		})
	}
}

// A delayed command must be executed once and not before its delay. It must not be executed if the
// worker has seen a newer leader or has begun a new epoch.
func TestDelayedCommandIsExecutedOnceIfTokenAndEpochMatch(t *testing.T) {
	for _, c := range []struct {
		token, epoch uint64
		want         DelayedCommands
	}{
		{5, 1, DelayedCommands{Held: 1, Executed: 1, FormerLeader: 1}},
		{4, 1, DelayedCommands{Held: 1, RefusedToken: 1}},
		{5, 2, DelayedCommands{Held: 1, RefusedEpoch: 1}},
	} {
		withCheckedCluster(t, func(w *Cluster, m *machine, _ *job) {
			w.mu.Lock()
			m.token, m.epoch, m.leaseRenewedAt = 5, 1, time.Now()
			m.execute([]wire.Command{{Op: wire.OpStart, Task: "wk-000001/0", Attempt: 1}}, time.Now())
			body, err := wire.Marshal(wire.DirectCommands{Token: c.token, AgentEpoch: c.epoch,
				Commands: []wire.Command{{Op: wire.OpStop, Task: "wk-000001/0", Attempt: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			w.commandDelay.share = 1
			w.mu.Unlock()
			w.DelayDirectCommands(1, 7)
			w.mu.Lock()
			_, held := m.receiveCommands(body)
			w.mu.Unlock()
			if !held {
				t.Fatal("the command is not delayed")
			}
			time.Sleep(minCommandDelay - 100*time.Millisecond)
			if got := w.DelayedCommands(); got != (DelayedCommands{Held: 1}) {
				t.Errorf("before the shortest delay: %+v, want one held batch only", got)
			}
			for range int(maxCommandDelay / time.Second) { // renews the lease all the time
				time.Sleep(time.Second)
				w.mu.Lock()
				m.leaseRenewedAt = time.Now()
				w.mu.Unlock()
			}
			if got := w.DelayedCommands(); got != c.want {
				t.Errorf("token %d, epoch %d: %+v, want %+v", c.token, c.epoch, got, c.want)
			}
			if n, want := w.Running(), 1-c.want.Executed; n != want {
				t.Errorf("token %d, epoch %d: %d tasks run, want %d", c.token, c.epoch, n, want)
			}
		})
	}
}

// A leader that doesn't know of a cancellation may launch tasks until its lease ends. A later
// launch, or one more than 2 s after the cancellation without faults, is a violation, even if the
// task is stopped at once.
func TestLaunchAfterCancellationIsAViolation(t *testing.T) {
	for _, c := range []struct {
		name   string
		fault  bool
		after  func(leaderLease time.Duration) time.Duration
		broken string
	}{
		{"at once", false, func(time.Duration) time.Duration { return time.Second }, ""},
		{"without faults", false, func(time.Duration) time.Duration { return 3 * time.Second }, "launched after its cancellation: wk-000001/0, 3.0 s later"},
		{"while the leader may not know", true, func(lease time.Duration) time.Duration { return lease + 3*time.Second }, ""},
		{"later than any leader may go on", true, func(lease time.Duration) time.Duration { return lease + 5*time.Second }, "launched after its cancellation: wk-000001/0"},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCheckedCluster(t, func(w *Cluster, m *machine, j *job) {
				time.Sleep(30 * time.Second)
				w.Store.SetOutage(c.fault)
				time.Sleep(time.Second)
				w.mu.Lock()
				j.cancelConfirmedAt = time.Now()
				w.mu.Unlock()
				time.Sleep(c.after(secs(w.Settings.Cluster.Workers.LeaderLeaseS())))
				w.mu.Lock()
				m.leaseRenewedAt = time.Now()
				// The task is stopped in the same instant.
				m.execute([]wire.Command{{Op: wire.OpStart, Task: "wk-000001/0", Attempt: 1}, {Op: wire.OpStop, Task: "wk-000001/0", Attempt: 1}}, time.Now())
				w.mu.Unlock()
				wantViolation(t, w, c.broken)
			})
		})
	}
}

// The checker must report a job as forgotten if all its status queries fail for 75 s without
// faults. Failures during a fault don't count, and one answered query restarts the time.
func TestUnansweredQuestionsWithoutFaultsAreAViolation(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(w *Cluster, second int)
		broken string
	}{
		{"without faults", func(*Cluster, int) {}, "forgotten: no question about wk-000001"},
		{"in an outage", func(w *Cluster, _ int) { w.Store.SetOutage(true) }, ""},
		{"soon after an outage", func(w *Cluster, second int) { w.Store.SetOutage(second < 20) }, ""},
		{"long after an outage", func(w *Cluster, second int) { w.Store.SetOutage(second < 4) }, "forgotten: no question about wk-000001"},
		{"but for one", func(w *Cluster, second int) {
			if second == 40 {
				w.mu.Lock()
				w.checkAnswered("wk-000001", userReply{status: http.StatusOK})
				w.mu.Unlock()
			}
		}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			withCheckedCluster(t, func(w *Cluster, _ *machine, _ *job) {
				for second := range 90 { // no controller runs
					c.change(w, second)
					w.noteFaults()
					if second%2 == 0 {
						w.mu.Lock()
						w.checkAnswered("wk-000001", userReply{})
						w.mu.Unlock()
					}
					time.Sleep(time.Second)
				}
				wantViolation(t, w, c.broken)
			})
		})
	}
}

// The checker is stricter without faults. A fault that it overlooks causes false violations, and
// one that it sees after its end hides real ones.
func TestEachFaultIsActiveUntilItEnds(t *testing.T) {
	type change func(w *Cluster, machine string)
	for name, fault := range map[string]struct{ begin, end change }{
		"outage of the state service": {func(w *Cluster, _ string) { w.Store.SetOutage(true) }, func(w *Cluster, _ string) { w.Store.SetOutage(false) }},
		"refused node":                {func(w *Cluster, _ string) { w.Store.RefuseNode("n-1") }, func(w *Cluster, _ string) { w.Store.AcceptNode("n-1") }},
		"cut node":                    {func(w *Cluster, _ string) { w.PartitionNode(1, "state") }, func(w *Cluster, _ string) { w.HealNode(1, "state") }},
		"cut machine":                 {(*Cluster).PartitionMachine, (*Cluster).HealMachine},
		"mute machine":                {(*Cluster).BlockRepliesTo, (*Cluster).UnblockRepliesTo},
		"silent machine":              {(*Cluster).BlockHeartbeats, (*Cluster).UnblockHeartbeats},
		"hung machine":                {(*Cluster).HangMachine, (*Cluster).ResumeMachine},
		"node that stands still":      {func(w *Cluster, _ string) { w.PauseNode(1) }, func(w *Cluster, _ string) { w.ResumeNode(1) }},
		"outage of the cloud":         {func(w *Cluster, _ string) { w.Cloud.SetOutage(true) }, func(w *Cluster, _ string) { w.Cloud.SetOutage(false) }},
		"silent cloud":                {func(w *Cluster, _ string) { w.Cloud.SetDropReplies(true) }, func(w *Cluster, _ string) { w.Cloud.SetDropReplies(false) }},
		"late commands":               {func(w *Cluster, _ string) { w.DelayDirectCommands(0.1, 1) }, func(w *Cluster, _ string) { w.DelayDirectCommands(0, 1) }},
		"copied reports":              {func(w *Cluster, _ string) { w.DuplicateHeartbeats(2) }, func(w *Cluster, _ string) { w.DuplicateHeartbeats(0) }},
		"lost answers":                {func(w *Cluster, _ string) { w.Store.DropReplies(0, 0.1, 1) }, func(w *Cluster, _ string) { w.Store.DropReplies(0, 0, 1) }},
		"slow answers":                {func(w *Cluster, _ string) { w.Store.DelayReplies(time.Second) }, func(w *Cluster, _ string) { w.Store.DelayReplies(0) }},
	} {
		t.Run(name, func(t *testing.T) {
			withCheckedCluster(t, func(w *Cluster, m *machine, _ *job) {
				if w.FaultActive() {
					t.Error("FaultActive() = true before the fault, want false")
				}
				fault.begin(w, m.name)
				if !w.FaultActive() {
					t.Error("FaultActive() = false during the fault, want true")
				}
				fault.end(w, m.name)
				if w.FaultActive() {
					t.Error("FaultActive() = true after the fault, want false")
				}
			})
		})
	}
}
