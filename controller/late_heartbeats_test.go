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

// Scenarios of heartbeats that arrive late: at a leader that has just been elected, at one that has
// already acted, and after newer ones, from an earlier agent epoch and about attempts that have
// ended. Each asserts that the interaction took place.

// randomMillis draws a duration from the given range of milliseconds.
func randomMillis(rnd *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rnd.IntN(most-least)) * time.Millisecond
}

// changeLeader kills the leader, waits for the next one, and starts the former leader's node again.
func changeLeader(t *testing.T, w *fake.Cluster) {
	t.Helper()
	was := w.Leader()
	if was < 0 {
		t.Fatal("nobody leads")
	}
	w.KillNode(was)
	if !scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool { return w.Leader() >= 0 && w.Leader() != was }) {
		t.Fatal("nobody leads next")
	}
	time.Sleep(time.Second)
	w.StartNode(was)
}

// submitGangAndArrays submits a single-zone gang, an array, and an array of a team at its quota,
// and returns their numbers. Together they need machines that have room beside the tasks already
// there.
func submitGangAndArrays(t *testing.T, w *fake.Cluster, from int, rnd *rand.Rand) []int {
	t.Helper()
	mustSubmit(t, w,
		job(from, func(j *wire.Job) {
			gang(j)
			j.Tasks, j.CPUs, j.EstimateS, j.OneZone = 2, 2, float64(4+rnd.IntN(10)), true
		}),
		job(from+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 1, float64(2+rnd.IntN(12)) }),
		job(from+2, func(j *wire.Job) { j.Team, j.Tasks, j.CPUs, j.EstimateS = "edge", 6, 2, float64(2+rnd.IntN(6)) }))
	return []int{from, from + 1, from + 2}
}

var smallTeams = []config.Team{{Name: "core"}, {Name: "edge", CPUs: 4, CPUsMax: 4}}

// Duplicates of old heartbeats arrive at every node just after a failover: they are the first that
// the new leader gets from these machines.
func TestOldHeartbeatsReachEveryNodeDuringFailover(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 6, Capacity: 8, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayCopiesUntilFailover(2)
		for round := range 3 {
			numbers := submitGangAndArrays(t, w, 10*round+1, rnd)
			time.Sleep(randomMillis(rnd, 500, 9000))
			met := w.CopyStats()
			changeLeader(t, w)
			time.Sleep(4 * time.Second)
			if now := w.CopyStats(); now.First == met.First {
				t.Errorf("round %d: no copy came to the new leader before its worker's next heartbeat", round)
			}
			mustFinish(t, w, 2*time.Minute, numbers...)
		}
		if met := w.CopyStats(); met.Older == 0 || w.ExpiredLeases() > 0 {
			t.Errorf("copies met %+v: none came after newer heartbeats, or %d leases ended", met, w.ExpiredLeases())
		}
	})
}

// A machine's heartbeat is delayed until another leader has placed tasks, and arrives there then;
// the machine itself hangs and is back later, within its lease or after its expiry.
func TestHeartbeatIsDelayedUntilTheNextLeaderHasActed(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams, LeaseS: 30}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 4)
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 500, 4000))
		at := w.Cloud.Machines()[rnd.IntN(4)]
		w.CaptureHeartbeat(at)
		time.Sleep(randomMillis(rnd, 0, 2000))
		w.HangMachine(at)
		was := w.Leader()
		w.KillNode(was)
		if !scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool { return w.Leader() >= 0 && w.Leader() != was }) {
			t.Fatal("nobody leads next")
		}
		pages := fmt.Sprint(w.Store.Versions(jobstore.PlacementPageKey(0)))
		numbers = append(numbers, submitGangAndArrays(t, w, 11, rnd)...)
		if !scenario.Eventually(20*time.Second, 50*time.Millisecond, func() bool { return fmt.Sprint(w.Store.Versions(jobstore.PlacementPageKey(0))) != pages }) {
			t.Fatal("the next leader has placed nothing")
		}
		if status := w.ReplayHeartbeat(at, w.Leader()); status != 200 {
			t.Errorf("the heartbeat held back was answered %d: it is not the first that the leader hears of its machine", status)
		}
		if status := w.ReplayHeartbeat(at, w.Leader()); status != 200 {
			t.Errorf("it was answered %d as it came again, while it is the newest", status)
		}
		time.Sleep(randomMillis(rnd, 1000, 40_000))
		w.ResumeMachine(at)
		w.StartNode(was)
		time.Sleep(4 * time.Second) // it has sent its own heartbeat, or its lease has expired
		if status := w.ReplayHeartbeat(at, w.Leader()); status == 200 {
			t.Error("the same heartbeat was answered 200 after newer ones")
		}
		mustFinish(t, w, 3*time.Minute, numbers...)
		if !scenario.Eventually(100*time.Second, time.Second, func() bool { return w.Running() == 4 }) {
			t.Errorf("%d of the 4 long tasks run", w.Running())
		}
	})
}

// Heartbeats of an ended agent epoch arrive at the next leader before any of the new epoch, and
// again after these. The tasks that they list have another attempt elsewhere by then.
func TestOldHeartbeatsOfEarlierEpochsAndAttempts(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayCopiesUntilFailover(1)
		mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 3, 90 }))
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 3000, 8000))
		w.DelayCopiesUntilFailover(0) // the delayed duplicates are of the epochs that end now
		zone := fake.Zones[rnd.IntN(2)]
		w.PartitionZone(zone)
		time.Sleep(randomMillis(rnd, 13_000, 25_000)) // their leases expire, and their tasks start elsewhere
		changeLeader(t, w)
		time.Sleep(4 * time.Second)
		met := w.CopyStats()
		if met.First == 0 || met.EarlierEpoch == 0 || met.EarlierAttempt == 0 {
			t.Errorf("copies met %+v", met)
		}
		w.HealZonePartition(zone)
		numbers = append(numbers, submitGangAndArrays(t, w, 11, rnd)...)
		for range 8 {
			time.Sleep(randomMillis(rnd, 500, 4000))
			w.DeliverDelayedCopies()
		}
		time.Sleep(time.Second)
		if now := w.CopyStats(); now.Older <= met.Older {
			t.Errorf("copies met %+v, and before %+v: none came after newer heartbeats", now, met)
		}
		mustFinish(t, w, 3*time.Minute, append(numbers, 900)...)
	})
}

// Duplicates of the very heartbeats that are being sent overtake them at a new leader and at the
// relays. If the heartbeat itself was then refused as old, the worker went on to the next node, a
// second of its lease later; where that happened again and again, its lease expired.
func TestDuplicatesOvertakeTheirHeartbeatsDuringFailover(t *testing.T) {
	runSeeded(t, 17, fake.Options{Machines: 6, Capacity: 6, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 6)
		time.Sleep(randomMillis(rnd, 0, 2000))
		started, was := w.Started(), w.Leader()
		w.KillNode(was)
		w.DeliverCopiesFirst(1)
		time.Sleep(45 * time.Second) // more than three leases
		w.DeliverCopiesFirst(0)
		w.StartNode(was)
		met := w.OvertakenHeartbeats()
		if met.Next < 6 || met.Ahead < 60 {
			t.Errorf("heartbeats overtaken %+v", met)
		}
		if met.Refused > 0 || w.ExpiredLeases() > 0 {
			t.Errorf("heartbeats overtaken %+v: their workers leave their nodes; %d leases ended", met, w.ExpiredLeases())
		}
		if n := w.Started() - started; n > 0 {
			t.Errorf("%d tasks started again", n)
		}
		mustFinish(t, w, 2*time.Minute, submitGangAndArrays(t, w, 1, rnd)...)
	})
}

// Tasks are launched while half of the heartbeats are overtaken by their duplicates, so that the
// launches go out in the reply to the duplicate and are lost. They are sent again in a later reply,
// each task starts once, and no machine is taken for unreachable for long.
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
		if met := w.OvertakenHeartbeats(); met.Ahead < 20 || w.ExpiredLeases() > 0 {
			t.Errorf("heartbeats overtaken %+v, %d leases ended", met, w.ExpiredLeases())
		}
	})
}

// A machine is killed just after a heartbeat, and duplicates of that heartbeat arrive every second.
// Its tasks start elsewhere once its lease has expired, and no later than without the duplicates.
func TestDuplicatesOfADeadMachinesLastHeartbeat(t *testing.T) {
	runSeeded(t, 19, fake.Options{Machines: 3, Capacity: 3, LeaseS: 12}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 2, 3600 }))
		if !scenario.Eventually(40*time.Second, time.Second, func() bool { return w.Running() == 3 }) {
			t.Fatalf("%d tasks run", w.Running())
		}
		time.Sleep(randomMillis(rnd, 0, 3000))
		load := w.TasksPerMachine()
		dead := slices.MaxFunc(w.Cloud.Machines(), func(a, b string) int { return load[a] - load[b] })
		w.CaptureHeartbeat(dead)
		w.KillMachine(dead)
		at, answered, back := time.Now(), 0, time.Duration(0)
		for time.Since(at) < 40*time.Second && back == 0 {
			if w.ReplayHeartbeat(dead, max(0, w.Leader())) == 200 {
				answered++
			}
			time.Sleep(time.Second)
			if w.Running() == 3 {
				back = time.Since(at)
			}
		}
		if answered < 8 {
			t.Errorf("%d copies of the last heartbeat were answered 200", answered)
		}
		if back == 0 || back > 20*time.Second {
			t.Errorf("what ran there runs again after %v (0: not within 40 s)", back)
		}
	})
}

// A duplicate of the newest heartbeat arrives at a node other than its worker's. It is answered,
// and the worker isn't counted as served there.
func TestDuplicateHeartbeatDoesNotCountAsAnswered(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		fillMachines(t, w, 1)
		at, other := -1, -1
		for i := range w.Nodes() {
			if getOverview(t, w, i).Heartbeats.WorkersServed > 0 {
				at = i
			} else {
				other = i
			}
		}
		if at < 0 || other < 0 {
			t.Fatalf("node %d has answered the worker, and node %d has not", at, other)
		}
		name := w.Cloud.Machines()[0]
		w.CaptureHeartbeat(name)
		for i, node := range []int{at, other, other} {
			if status := w.ReplayHeartbeat(name, node); status != 200 {
				t.Fatalf("copy %d was answered %d", i, status)
			}
		}
		if n := getOverview(t, w, other).Heartbeats.WorkersServed; n != 0 {
			t.Errorf("%d workers count as answered at a node that only had copies", n)
		}
	})
}
