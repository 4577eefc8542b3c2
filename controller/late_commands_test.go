// Scenarios of direct commands that are delayed in flight. The sender gets no reply, and the
// command is carried out seconds later if its fencing token and agent epoch still match. Each
// scenario asserts which states of the worker the late commands found. The checker of fake.Cluster
// verifies the rules of the protocol, and that commands that do harm when they are late are never
// sent directly.

package controller_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
)

// lateCommandRounds is the maximum number of rounds of a scenario. A scenario ends earlier once its
// faults have interacted.
const lateCommandRounds = 20

// limitedTeamsShortLease returns twoLimitedTeams with worker leases of 12 s.
func limitedTeamsShortLease() fake.Options {
	o := twoLimitedTeams()
	o.LeaseS = 12
	return o
}

// submitSavingJobs submits jobs that use up a team's quota, and as many more that wait. Their tasks
// save a checkpoint for 8 s when they are stopped. It returns the ids of all jobs.
func submitSavingJobs(t *testing.T, w *fake.Cluster, first int, team string) (ids []string) {
	t.Helper()
	for i := range 8 {
		j := job(first+i, func(j *wire.Job) {
			j.Team, j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS = team, 2, 3600, 5, 8
		})
		mustSubmit(t, w, j)
		ids = append(ids, j.ID)
	}
	return ids
}

// runningOf returns those of the jobs that have tasks on machines.
func runningOf(w *fake.Cluster, ids []string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(id string) bool {
		return len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})) == 0
	})
}

// Direct commands of a former leader arrive after those of the next one. Meanwhile both teams are
// at their quotas, jobs are cancelled, one or two machines hang, and another can't open connections
// to any controller. A worker must refuse a former leader's command once it has seen the next
// leader's fencing token, since the command could stop tasks of the next leader.
func TestLateCommandsArriveAfterTheNextLeaders(t *testing.T) {
	runSeeded(t, 51, limitedTeamsShortLease(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayDirectCommands(0.6, rnd.Uint64())
		firstNumber := 100
		for round := 0; round < lateCommandRounds; round++ {
			ids := append(submitSavingJobs(t, w, firstNumber, "core"), submitSavingJobs(t, w, firstNumber+10, "edge")...)
			firstNumber += 100
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return teamsAtQuota(w) }) {
				t.Fatalf("round %d: the teams use %g and %g CPUs, want their quotas", round, w.CPUsInUse("core"), w.CPUsInUse("edge"))
			}
			cancelAcrossLeaders(t, w, rnd, ids)
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second) // by then the last late command has arrived
			if stats := w.DelayedCommands(); stats.FormerLeader > 0 && stats.RefusedToken > 0 && stats.Overtaken > 0 && stats.AfterHang > 0 {
				break
			}
		}
		w.DelayDirectCommands(0, 0)
		stats := w.DelayedCommands()
		if stats.FormerLeader == 0 || stats.RefusedToken == 0 || stats.Overtaken == 0 || stats.AfterHang == 0 {
			t.Errorf("faults did not interact: late commands %+v, want some in each of FormerLeader, RefusedToken, Overtaken and AfterHang", stats)
		}
		healAndCheckStarvation(t, w)
	})
}

// cancelAcrossLeaders cancels half of the running jobs before a failover and half after it.
// Meanwhile up to two of their machines hang, and another can't open connections to any controller.
func cancelAcrossLeaders(t *testing.T, w *fake.Cluster, rnd *rand.Rand, ids []string) {
	t.Helper()
	running := runningOf(w, ids)
	rnd.Shuffle(len(running), func(a, b int) { running[a], running[b] = running[b], running[a] })
	silent := machinesRunningJob(w, wire.Job{ID: running[0], Tasks: 2})[0]
	var hung []string
	for _, id := range running[:len(running)/2] {
		hung = append(hung, machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})...)
	}
	hung = slices.DeleteFunc(hung, func(m string) bool { return m == silent })
	slices.Sort(hung)
	hung = slices.Compact(hung)
	hung = hung[:min(2, len(hung))]
	w.BlockHeartbeats(silent)
	time.Sleep(randomDuration(rnd, 0, 2*time.Second))
	before := w.FencingToken()
	w.MarkInteraction()
	for _, id := range running[:len(running)/2] {
		w.Cancel(id)
	}
	for _, m := range hung {
		w.HangMachine(m)
	}
	time.Sleep(randomDuration(rnd, 0, time.Second))
	stopped := stopLeader(w, rnd)
	awaitLeaderChange(t, w, before)
	for _, id := range running[len(running)/2:] {
		w.Cancel(id)
	}
	time.Sleep(randomDuration(rnd, 0, 4*time.Second))
	for _, m := range hung {
		w.ResumeMachine(m)
	}
	time.Sleep(randomDuration(rnd, 0, 9*time.Second))
	w.UnblockHeartbeats(silent)
	w.StartNode(stopped)
}

// A machine gets an interruption notice, and a task there is told to save a checkpoint. While it
// saves, its job is cancelled and only direct commands reach the machine. The second stop arrives
// late and ends the checkpointing. That does no harm, since the task was cancelled.
func TestLateStopEndsATaskThatIsCheckpointing(t *testing.T) {
	runSeeded(t, 52, limitedTeamsShortLease(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		stats := fake.DelayedCommands{}
		for round := 0; round < lateCommandRounds && stats.EndedSaving == 0; round++ {
			ids := submitSavingJobs(t, w, 100*(round+1), "core")
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.CPUsInUse("core") == teamMax }) {
				t.Fatalf("the team uses %g CPUs, want its quota", w.CPUsInUse("core"))
			}
			running := runningOf(w, ids)
			machine := machinesRunningJob(w, wire.Job{ID: running[rnd.IntN(len(running))], Tasks: 2})[0]
			commandsBefore := w.DirectCommandsExecuted(machine)
			w.SendInterruptionNotice(machine, 30*time.Second) // its tasks are told to save a checkpoint
			if !scenario.Eventually(5*time.Second, 20*time.Millisecond, func() bool { return w.DirectCommandsExecuted(machine) > commandsBefore }) {
				t.Fatal("no task on the machine was told to save a checkpoint")
			}
			// The task saves for 8 s. Meanwhile it counts against the quota, and must not start
			// elsewhere.
			time.Sleep(randomDuration(rnd, 1500*time.Millisecond, 3*time.Second))
			w.BlockHeartbeats(machine)
			w.DelayDirectCommands(1, rnd.Uint64())
			w.MarkInteraction()
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second)
			w.DelayDirectCommands(0, 0)
			w.UnblockHeartbeats(machine)
			time.Sleep(15 * time.Second) // the machine is gone
			stats = w.DelayedCommands()
		}
		if stats.EndedSaving == 0 {
			t.Errorf("faults did not interact: no late command ended a task that was saving, %+v", stats)
		}
		healAndCheckStarvation(t, w)
	})
}

// Direct commands arrive after the agent epoch for which they were sent has ended. They could stop
// tasks of the next epoch. The worker must refuse them.
func TestLateCommandsOfAnEndedAgentEpoch(t *testing.T) {
	runSeeded(t, 53, limitedTeamsShortLease(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayDirectCommands(1, rnd.Uint64())
		stats := fake.DelayedCommands{}
		for round := 0; round < lateCommandRounds && stats.RefusedEpoch == 0; round++ {
			ids := submitSavingJobs(t, w, 100*(round+1), "core")
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.CPUsInUse("core") == teamMax }) {
				t.Fatalf("the team uses %g CPUs, want its quota", w.CPUsInUse("core"))
			}
			running := runningOf(w, ids)
			machine := machinesRunningJob(w, wire.Job{ID: running[0], Tasks: 2})[0]
			w.BlockHeartbeats(machine)
			time.Sleep(randomDuration(rnd, 7*time.Second, 10*time.Second)) // most of its lease
			w.MarkInteraction()
			for _, id := range running {
				w.Cancel(id)
			}
			time.Sleep(randomDuration(rnd, 6*time.Second, 12*time.Second))
			w.UnblockHeartbeats(machine)
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second)
			stats = w.DelayedCommands()
		}
		w.DelayDirectCommands(0, 0)
		if stats.RefusedEpoch == 0 {
			t.Errorf("faults did not interact: no command arrived after its agent epoch had ended, %+v", stats)
		}
		healAndCheckStarvation(t, w)
	})
}

// Jobs of high priority preempt gangs and arrays while most of the stops are late, and each
// leader's process restarts under the same name within a second. A gang must save its checkpoint
// together. If some of its tasks were told too late, it must fall back to its last checkpoint and
// still complete.
func TestLateStopsOfPreemptedGangsWhenALeaderIsReelected(t *testing.T) {
	runSeeded(t, 54, fake.Options{Machines: 4, Capacity: 4, LeaseS: 12}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayDirectCommands(0.8, rnd.Uint64())
		mustSubmit(t, w, job(1, func(j *wire.Job) {
			gang(j)
			j.Tasks, j.CPUs, j.EstimateS, j.Priority = 3, 5, 40, wire.PriorityLow
		}), job(2, func(j *wire.Job) {
			j.Tasks, j.CPUs, j.EstimateS, j.Priority, j.CheckpointS, j.SaveS = 4, 3, 40, wire.PriorityLow, 5, 2
		}))
		time.Sleep(8 * time.Second)
		rounds := 0
		for stats := (fake.DelayedCommands{}); rounds < lateCommandRounds && (stats.Executed == 0 || stats.RefusedToken == 0 || rounds < 3); rounds++ {
			n := 10 + rounds
			mustSubmit(t, w, job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS, j.Priority = 2, 6, float64(2+rnd.IntN(6)), wire.PriorityHigh
			}))
			time.Sleep(randomDuration(rnd, 0, 1500*time.Millisecond))
			w.MarkInteraction()
			w.PowerCycleNode(max(0, w.Leader()), randomDuration(rnd, 0, 900*time.Millisecond))
			mustFinish(t, w, time.Minute, n)
			time.Sleep(randomDuration(rnd, 4*time.Second, 12*time.Second))
			stats = w.DelayedCommands()
		}
		stats := w.DelayedCommands()
		if stats.Executed == 0 || stats.RefusedToken == 0 {
			t.Errorf("faults did not interact: late commands %+v in %d rounds", stats, rounds)
		}
		w.DelayDirectCommands(0, 0)
		mustFinish(t, w, 5*time.Minute, 1, 2)
	})
}
