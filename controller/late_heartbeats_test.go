// Scenarios of heartbeats that arrive late: at a leader that has just been elected, at a leader
// that has already placed tasks, or after newer heartbeats. Some are of an earlier agent epoch, or
// list attempts that have ended. Each scenario fails if the faults didn't interact.

package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// randomMillis draws a duration from the range [least, most) of milliseconds.
func randomMillis(rnd *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rnd.IntN(most-least)) * time.Millisecond
}

// changeLeader kills the leader, waits for the next one, and starts the former leader's node again.
func changeLeader(t *testing.T, w *fake.Cluster) {
	t.Helper()
	former := w.Leader()
	if former < 0 {
		t.Fatal("no node leads")
	}
	w.KillNode(former)
	if !scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool { return w.Leader() >= 0 && w.Leader() != former }) {
		t.Fatal("no next leader within 30 s")
	}
	time.Sleep(time.Second)
	w.StartNode(former)
}

// submitGangAndArrays submits a single-zone gang, an array, and an array that exceeds its team's
// quota. It returns their numbers, first, first+1 and first+2. The jobs fit beside the tasks of
// fillMachines.
func submitGangAndArrays(t *testing.T, w *fake.Cluster, first int, rnd *rand.Rand) []int {
	t.Helper()
	mustSubmit(t, w,
		job(first, func(j *wire.Job) {
			gang(j)
			j.Tasks, j.CPUs, j.EstimateS, j.OneZone = 2, 2, float64(4+rnd.IntN(10)), true
		}),
		job(first+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 1, float64(2+rnd.IntN(12)) }),
		job(first+2, func(j *wire.Job) { j.Team, j.Tasks, j.CPUs, j.EstimateS = "edge", 6, 2, float64(2+rnd.IntN(6)) }))
	return []int{first, first + 1, first + 2}
}

// smallTeams has team core without a quota and team edge with 4 CPUs.
var smallTeams = []config.Team{{Name: "core"}, {Name: "edge", CPUs: 4, CPUsMax: 4}}

// Duplicates of old heartbeats arrive at every node just after a failover, before any other
// heartbeat of these machines. A new leader that took them for the current state would lose or
// repeat tasks.
func TestOldHeartbeatsReachEveryNodeDuringFailover(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 6, Capacity: 8, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayCopiesUntilFailover(2)
		for round := range 3 {
			numbers := submitGangAndArrays(t, w, 10*round+1, rnd)
			time.Sleep(randomMillis(rnd, 500, 9000))
			stats := w.CopyStats()
			changeLeader(t, w)
			time.Sleep(4 * time.Second)
			if now := w.CopyStats(); now.First == stats.First {
				t.Errorf("round %d: faults did not interact: no duplicate reached the new leader before its worker's next heartbeat", round)
			}
			mustFinish(t, w, 2*time.Minute, numbers...)
		}
		if stats := w.CopyStats(); stats.Older == 0 || w.ExpiredLeases() > 0 {
			t.Errorf("%+v: no duplicate arrived after newer heartbeats, or %d leases expired", stats, w.ExpiredLeases())
		}
	})
}

// A machine's heartbeat is delayed until another leader has placed tasks, and then arrives there.
// The machine itself hangs, and resumes within its lease or after its expiry. The leader must
// accept the heartbeat as long as it is the newest of the machine, and no tasks may be lost.
func TestHeartbeatIsDelayedUntilTheNextLeaderHasActed(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams, LeaseS: 30}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 4)
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 500, 4000))
		machine := w.Cloud.Machines()[rnd.IntN(4)]
		w.CaptureHeartbeat(machine)
		time.Sleep(randomMillis(rnd, 0, 2000))
		w.HangMachine(machine)
		former := w.Leader()
		w.KillNode(former)
		if !scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool { return w.Leader() >= 0 && w.Leader() != former }) {
			t.Fatal("no next leader within 30 s")
		}
		pages := fmt.Sprint(w.Store.Versions(jobstore.PlacementPageKey(0)))
		numbers = append(numbers, submitGangAndArrays(t, w, 11, rnd)...)
		if !scenario.Eventually(20*time.Second, 50*time.Millisecond, func() bool { return fmt.Sprint(w.Store.Versions(jobstore.PlacementPageKey(0))) != pages }) {
			t.Fatal("the next leader has placed no task")
		}
		if status := w.ReplayHeartbeat(machine, w.Leader()); status != 200 {
			t.Errorf("the delayed heartbeat was answered %d, want 200: it is the first that the leader gets from the machine", status)
		}
		if status := w.ReplayHeartbeat(machine, w.Leader()); status != 200 {
			t.Errorf("the delayed heartbeat was answered %d the second time, want 200: it is the newest", status)
		}
		time.Sleep(randomMillis(rnd, 1000, 40_000))
		w.ResumeMachine(machine)
		w.StartNode(former)
		time.Sleep(4 * time.Second) // the machine has sent a heartbeat, or its lease has expired
		if status := w.ReplayHeartbeat(machine, w.Leader()); status == 200 {
			t.Error("the delayed heartbeat was answered 200 after newer ones")
		}
		mustFinish(t, w, 3*time.Minute, numbers...)
		if !scenario.Eventually(100*time.Second, time.Second, func() bool { return w.Running() == 4 }) {
			t.Errorf("%d long tasks run, want 4", w.Running())
		}
	})
}

// Heartbeats of an ended agent epoch arrive at the next leader before any of the new epoch, and
// again after these. By then the tasks that they list have another attempt elsewhere. The leader
// must not take the earlier attempts for running ones.
func TestOldHeartbeatsOfEarlierEpochsAndAttempts(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayCopiesUntilFailover(1)
		mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 3, 90 }))
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 3000, 8000))
		w.DelayCopiesUntilFailover(0) // keeps duplicates of the epochs that end now
		zone := fake.Zones[rnd.IntN(2)]
		w.PartitionZone(zone)
		time.Sleep(randomMillis(rnd, 13_000, 25_000)) // the leases in the zone expire, and the tasks start elsewhere
		changeLeader(t, w)
		time.Sleep(4 * time.Second)
		before := w.CopyStats()
		if before.First == 0 || before.EarlierEpoch == 0 || before.EarlierAttempt == 0 {
			t.Errorf("faults did not interact: duplicates %+v", before)
		}
		w.HealZonePartition(zone)
		numbers = append(numbers, submitGangAndArrays(t, w, 11, rnd)...)
		for range 8 {
			time.Sleep(randomMillis(rnd, 500, 4000))
			w.DeliverDelayedCopies()
		}
		time.Sleep(time.Second)
		if after := w.CopyStats(); after.Older <= before.Older {
			t.Errorf("faults did not interact: no duplicate arrived after newer heartbeats: %+v, before that %+v", after, before)
		}
		mustFinish(t, w, 3*time.Minute, append(numbers, 900)...)
	})
}

// Duplicates of heartbeats arrive before the heartbeats themselves, at a new leader and at the
// relays. If a node refuses the heartbeat itself as old, the worker tries the next node, which
// costs it a second of its lease. After several such refusals the lease expires. Heartbeats that
// their duplicates overtake must be accepted.
func TestDuplicatesOvertakeTheirHeartbeatsDuringFailover(t *testing.T) {
	runSeeded(t, 17, fake.Options{Machines: 6, Capacity: 6, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 6)
		time.Sleep(randomMillis(rnd, 0, 2000))
		started, former := w.Started(), w.Leader()
		w.KillNode(former)
		w.DeliverCopiesFirst(1)
		time.Sleep(45 * time.Second) // more than three leases
		w.DeliverCopiesFirst(0)
		w.StartNode(former)
		stats := w.OvertakenHeartbeats()
		if stats.Next < 6 || stats.Ahead < 60 {
			t.Errorf("faults did not interact: too few heartbeats overtaken, %+v", stats)
		}
		if stats.Refused > 0 || w.ExpiredLeases() > 0 {
			t.Errorf("heartbeats overtaken %+v: some were refused, or %d leases expired", stats, w.ExpiredLeases())
		}
		if n := w.Started() - started; n > 0 {
			t.Errorf("%d tasks started again", n)
		}
		mustFinish(t, w, 2*time.Minute, submitGangAndArrays(t, w, 1, rnd)...)
	})
}

// Tasks are launched while half of the heartbeats are overtaken by their duplicates. Launches in
// the reply to a duplicate are lost, and the machine could be taken for unreachable. The launches
// must be sent again in a later reply, each task must start once, and no machine may be taken for
// unreachable for long.
func TestTasksAreLaunchedWhileDuplicatesOvertakeHeartbeats(t *testing.T) {
	runSeeded(t, 18, fake.Options{Machines: 6, Capacity: 6, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DeliverCopiesFirst(2)
		for round := range 3 {
			numbers := submitGangAndArrays(t, w, 10*round+1, rnd)
			time.Sleep(randomMillis(rnd, 500, 9000))
			if round == 1 {
				changeLeader(t, w)
			}
			mustFinish(t, w, time.Minute, numbers...)
		}
		if stats := w.OvertakenHeartbeats(); stats.Ahead < 20 || w.ExpiredLeases() > 0 {
			t.Errorf("heartbeats overtaken %+v, want Ahead at least 20; %d leases expired, want none", stats, w.ExpiredLeases())
		}
	})
}

// A machine is killed just after a heartbeat, and duplicates of that heartbeat arrive every second.
// The leader could take the machine for alive. Its tasks must start elsewhere once its lease has
// expired, and no later than without the duplicates.
func TestDuplicatesOfADeadMachinesLastHeartbeat(t *testing.T) {
	runSeeded(t, 19, fake.Options{Machines: 3, Capacity: 3, LeaseS: 12}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 2, 3600 }))
		if !scenario.Eventually(40*time.Second, time.Second, func() bool { return w.Running() == 3 }) {
			t.Fatalf("%d tasks run, want 3", w.Running())
		}
		time.Sleep(randomMillis(rnd, 0, 3000))
		load := w.TasksPerMachine()
		dead := slices.MaxFunc(w.Cloud.Machines(), func(a, b string) int { return load[a] - load[b] })
		w.CaptureHeartbeat(dead)
		w.KillMachine(dead)
		killedAt, answered, restartedAfter := time.Now(), 0, time.Duration(0)
		for time.Since(killedAt) < 40*time.Second && restartedAfter == 0 {
			if w.ReplayHeartbeat(dead, max(0, w.Leader())) == 200 {
				answered++
			}
			time.Sleep(time.Second)
			if w.Running() == 3 {
				restartedAfter = time.Since(killedAt)
			}
		}
		if answered < 8 {
			t.Errorf("%d duplicates of the last heartbeat were answered 200, want at least 8", answered)
		}
		if restartedAfter == 0 || restartedAfter > 20*time.Second {
			t.Errorf("the tasks of the killed machine restarted after %v (0: not within 40 s), want at most 20 s", restartedAfter)
		}
	})
}

// A duplicate of the newest heartbeat arrives at another node than the one that serves its worker.
// The node must answer it, and must not count the worker as served there.
func TestDuplicateHeartbeatDoesNotCountAsAnswered(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		fillMachines(t, w, 1)
		serving, other := -1, -1
		for i := range w.Nodes() {
			if getOverview(t, w, i).Heartbeats.WorkersServed > 0 {
				serving = i
			} else {
				other = i
			}
		}
		if serving < 0 || other < 0 {
			t.Fatalf("node %d serves the worker and node %d does not (-1: no such node), want one of each", serving, other)
		}
		name := w.Cloud.Machines()[0]
		w.CaptureHeartbeat(name)
		for i, node := range []int{serving, other, other} {
			if status := w.ReplayHeartbeat(name, node); status != 200 {
				t.Fatalf("duplicate %d was answered %d", i, status)
			}
		}
		if n := getOverview(t, w, other).Heartbeats.WorkersServed; n != 0 {
			t.Errorf("%d workers count as served at a node that only got duplicates", n)
		}
	})
}
