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

// These scenarios delay direct commands in flight: the sender gets no reply, and the command is
// carried out seconds later if its fencing token and agent epoch still match. Each scenario asserts
// which states the late commands found. The checker of fake.Cluster verifies the protocol's rules,
// and that nothing is sent as a direct command that does harm when it is late.

// lateCommandRounds bounds how often a scenario is repeated until its faults have interacted.
const lateCommandRounds = 20

// delayedLimited is twoLimitedTeams with worker leases of 12 s.
func delayedLimited() fake.Options {
	o := twoLimitedTeams()
	o.LeaseS = 12
	return o
}

// submitSavingJobs submits jobs that use up a team's quota, and as many again that wait. Their
// tasks save a checkpoint when they are stopped, which takes 8 s.
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

// Direct commands of a former leader arrive after those of the next one, while both teams are at
// their quotas, jobs are cancelled, one or two machines hang and another can't open connections to
// any controller.
func TestLateCommandsArriveAfterTheNextLeaders(t *testing.T) {
	runSeeded(t, 51, delayedLimited(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayDirectCommands(0.6, rnd.Uint64())
		next := 100
		for round := 0; round < lateCommandRounds; round++ {
			ids := append(submitSavingJobs(t, w, next, "core"), submitSavingJobs(t, w, next+10, "edge")...)
			next += 100
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return teamsAtQuota(w) }) {
				t.Fatalf("round %d: the teams use %g and %g CPUs", round, w.CPUsInUse("core"), w.CPUsInUse("edge"))
			}
			cancelAcrossLeaders(t, w, rnd, ids)
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second) // the last of the late commands has arrived
			if met := w.DelayedCommands(); met.FormerLeader > 0 && met.RefusedToken > 0 && met.Overtaken > 0 && met.AfterHang > 0 {
				break
			}
		}
		w.DelayDirectCommands(0, 0)
		met := w.DelayedCommands()
		if met.FormerLeader == 0 || met.RefusedToken == 0 || met.Overtaken == 0 || met.AfterHang == 0 {
			t.Errorf("late commands met %+v", met)
		}
		healAndCheckStarvation(t, w)
	})
}

// cancelAcrossLeaders cancels jobs before and after a failover, while some of their machines hang
// and another can't open connections to any controller.
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
	dead := stopLeader(w, rnd)
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
	w.StartNode(dead)
}

// A task is told to save a checkpoint (its machine has an interruption notice) and is cancelled
// while it saves, on a machine that only direct commands reach. The second stop arrives late and
// ends the checkpointing, which does no harm: the task was cancelled.
func TestLateStopEndsATaskThatIsCheckpointing(t *testing.T) {
	runSeeded(t, 52, delayedLimited(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		met := fake.DelayedCommands{}
		for round := 0; round < lateCommandRounds && met.EndedSaving == 0; round++ {
			ids := submitSavingJobs(t, w, 100*(round+1), "core")
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.CPUsInUse("core") == teamMax }) {
				t.Fatalf("the team uses %g CPUs", w.CPUsInUse("core"))
			}
			running := runningOf(w, ids)
			at := machinesRunningJob(w, wire.Job{ID: running[rnd.IntN(len(running))], Tasks: 2})[0]
			saved := w.DirectCommandsExecuted(at)
			w.SendInterruptionNotice(at, 30*time.Second) // its tasks are told to save a checkpoint
			if !scenario.Eventually(5*time.Second, 20*time.Millisecond, func() bool { return w.DirectCommandsExecuted(at) > saved }) {
				t.Fatal("nothing on the machine was told to save")
			}
			// It saves for 8 s. All the while it counts against the quota, and starts nowhere else.
			time.Sleep(randomDuration(rnd, 1500*time.Millisecond, 3*time.Second))
			w.BlockHeartbeats(at)
			w.DelayDirectCommands(1, rnd.Uint64())
			w.MarkInteraction()
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second)
			w.DelayDirectCommands(0, 0)
			w.UnblockHeartbeats(at)
			time.Sleep(15 * time.Second) // the machine is gone
			met = w.DelayedCommands()
		}
		if met.EndedSaving == 0 {
			t.Errorf("late commands met %+v: none ended a task that was saving", met)
		}
		healAndCheckStarvation(t, w)
	})
}

// Direct commands arrive after the agent epoch for which they were sent has ended: the worker
// refuses them, and the tasks of its next epoch go on.
func TestLateCommandsOfAnEndedAgentEpoch(t *testing.T) {
	runSeeded(t, 53, delayedLimited(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayDirectCommands(1, rnd.Uint64())
		met := fake.DelayedCommands{}
		for round := 0; round < lateCommandRounds && met.RefusedEpoch == 0; round++ {
			ids := submitSavingJobs(t, w, 100*(round+1), "core")
			if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.CPUsInUse("core") == teamMax }) {
				t.Fatalf("the team uses %g CPUs", w.CPUsInUse("core"))
			}
			running := runningOf(w, ids)
			at := machinesRunningJob(w, wire.Job{ID: running[0], Tasks: 2})[0]
			w.BlockHeartbeats(at)
			time.Sleep(randomDuration(rnd, 7*time.Second, 10*time.Second)) // most of its lease
			w.MarkInteraction()
			for _, id := range running {
				w.Cancel(id)
			}
			time.Sleep(randomDuration(rnd, 6*time.Second, 12*time.Second))
			w.UnblockHeartbeats(at)
			for _, id := range ids {
				w.Cancel(id)
			}
			time.Sleep(16 * time.Second)
			met = w.DelayedCommands()
		}
		w.DelayDirectCommands(0, 0)
		if met.RefusedEpoch == 0 {
			t.Errorf("late commands met %+v: none came after its agent epoch had ended", met)
		}
		healAndCheckStarvation(t, w)
	})
}

// Jobs of high priority preempt gangs and arrays while most of the stops are late, and each
// leader's process is back under its own name within a second. A gang of which not all tasks were
// told to save in time falls back to its last checkpoint, and is done in the end.
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
		for met := (fake.DelayedCommands{}); rounds < lateCommandRounds && (met.Executed == 0 || met.RefusedToken == 0 || rounds < 3); rounds++ {
			n := 10 + rounds
			mustSubmit(t, w, job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS, j.Priority = 2, 6, float64(2+rnd.IntN(6)), wire.PriorityHigh
			}))
			time.Sleep(randomDuration(rnd, 0, 1500*time.Millisecond))
			w.MarkInteraction()
			w.PowerCycleNode(max(0, w.Leader()), randomDuration(rnd, 0, 900*time.Millisecond))
			mustFinish(t, w, time.Minute, n)
			time.Sleep(randomDuration(rnd, 4*time.Second, 12*time.Second))
			met = w.DelayedCommands()
		}
		met := w.DelayedCommands()
		if met.Executed == 0 || met.RefusedToken == 0 {
			t.Errorf("late commands met %+v in %d rounds", met, rounds)
		}
		w.DelayDirectCommands(0, 0)
		mustFinish(t, w, 5*time.Minute, 1, 2)
	})
}
