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

// Stories of workers' reports that arrive late: at a leader that has just begun, at
// one that has acted already, and after newer ones, of an earlier session and of
// attempts that have ended. Each says that the meeting took place.

// randomMillis is a time between two, in milliseconds.
func randomMillis(rnd *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+rnd.IntN(most-least)) * time.Millisecond
}

// changeLeader takes the leader's power, waits for the next one, and gives it back.
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

// submitGangAndArrays submits a gang in one zone, an array, and an array of a team that is at its
// limit; all of it takes machines that have room beside what is there.
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

// Copies of reports come to every node as a leader begins: they are the first that it
// hears of their machines.
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
				t.Errorf("round %d: no copy came to the new leader before its worker's next report", round)
			}
			mustFinish(t, w, 2*time.Minute, numbers...)
		}
		if met := w.CopyStats(); met.Older == 0 || w.ExpiredLeases() > 0 {
			t.Errorf("copies met %+v: none came after newer reports, or %d leases ended", met, w.ExpiredLeases())
		}
	})
}

// A machine's report is held back until another leader has placed work, and comes to
// it then; the machine itself is back later, within its lease or beyond it.
func TestHeartbeatIsDelayedUntilTheNextLeaderHasActed(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams, LeaseS: 30}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 4)
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 500, 4000))
		at := w.Cloud.Machines()[rnd.IntN(4)]
		w.CaptureReport(at)
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
		if status := w.ReplayReport(at, w.Leader()); status != 200 {
			t.Errorf("the report held back was answered %d: it is not the first that the leader hears of its machine", status)
		}
		if status := w.ReplayReport(at, w.Leader()); status != 200 {
			t.Errorf("it was answered %d as it came again, while it is the newest", status)
		}
		time.Sleep(randomMillis(rnd, 1000, 40_000))
		w.ResumeMachine(at)
		w.StartNode(was)
		time.Sleep(4 * time.Second) // it has reported itself, or nothing of it counts any more
		if status := w.ReplayReport(at, w.Leader()); status == 200 {
			t.Error("the same report was answered 200 after newer ones")
		}
		mustFinish(t, w, 3*time.Minute, numbers...)
		if !scenario.Eventually(100*time.Second, time.Second, func() bool { return w.Running() == 4 }) {
			t.Errorf("%d of the 4 long tasks run", w.Running())
		}
	})
}

// Reports of a session that has ended come to the next leader before any of the new
// session, and again after these; what they list has another attempt elsewhere by then.
func TestOldHeartbeatsOfEarlierEpochsAndAttempts(t *testing.T) {
	runSeeded(t, 16, fake.Options{Machines: 4, Capacity: 4, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.DelayCopiesUntilFailover(1)
		mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 3, 90 }))
		numbers := submitGangAndArrays(t, w, 1, rnd)
		time.Sleep(randomMillis(rnd, 3000, 8000))
		w.DelayCopiesUntilFailover(0) // what is kept is of the sessions that end now
		zone := fake.Zones[rnd.IntN(2)]
		w.PartitionZone(zone)
		time.Sleep(randomMillis(rnd, 13_000, 25_000)) // their leases end, and what was there goes on elsewhere
		changeLeader(t, w)
		time.Sleep(4 * time.Second)
		met := w.CopyStats()
		if met.First == 0 || met.EarlierSession == 0 || met.EarlierAttempt == 0 {
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
			t.Errorf("copies met %+v, and before %+v: none came after newer reports", now, met)
		}
		mustFinish(t, w, 3*time.Minute, append(numbers, 900)...)
	})
}

// Copies of the very reports that are being sent come to a new leader, and to the nodes
// that pass reports on, before these. Refused, each worker went on to the next node, a
// second of its lease later, and where that met it again and again its lease ended.
func TestDuplicatesOvertakeTheirHeartbeatsDuringFailover(t *testing.T) {
	runSeeded(t, 17, fake.Options{Machines: 6, Capacity: 6, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		fillMachines(t, w, 6)
		time.Sleep(randomMillis(rnd, 0, 2000))
		started, was := w.Started(), w.Leader()
		w.KillNode(was)
		w.OvertakeReports(1)
		time.Sleep(45 * time.Second) // more than three leases
		w.OvertakeReports(0)
		w.StartNode(was)
		met := w.OvertakenReports()
		if met.Next < 6 || met.Ahead < 60 {
			t.Errorf("reports overtaken %+v", met)
		}
		if met.Refused > 0 || w.ExpiredLeases() > 0 {
			t.Errorf("reports overtaken %+v: their workers leave their nodes; %d leases ended", met, w.ExpiredLeases())
		}
		if n := w.Started() - started; n > 0 {
			t.Errorf("%d tasks started again", n)
		}
		mustFinish(t, w, 2*time.Minute, submitGangAndArrays(t, w, 1, rnd)...)
	})
}

// Work is given out while half of the reports are overtaken by their copies, which take
// the launches along: they are launched with a later answer, once, and no machine is
// taken for one that does not hear for long.
func TestTasksAreLaunchedWhileDuplicatesOvertakeHeartbeats(t *testing.T) {
	runSeeded(t, 18, fake.Options{Machines: 6, Capacity: 6, Teams: smallTeams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.OvertakeReports(2)
		for round := range 3 {
			numbers := submitGangAndArrays(t, w, 10*round+1, rnd)
			time.Sleep(randomMillis(rnd, 500, 9000))
			if round == 1 {
				changeLeader(t, w)
			}
			mustFinish(t, w, time.Minute, numbers...)
		}
		if met := w.OvertakenReports(); met.Ahead < 20 || w.ExpiredLeases() > 0 {
			t.Errorf("reports overtaken %+v, %d leases ended", met, w.ExpiredLeases())
		}
	})
}

// A machine dies just after a report, and copies of that come every second. What ran
// there goes on elsewhere once its lease is over, and no later than without them.
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
		w.CaptureReport(dead)
		w.KillMachine(dead)
		at, answered, back := time.Now(), 0, time.Duration(0)
		for time.Since(at) < 40*time.Second && back == 0 {
			if w.ReplayReport(dead, max(0, w.Leader())) == 200 {
				answered++
			}
			time.Sleep(time.Second)
			if w.Running() == 3 {
				back = time.Since(at)
			}
		}
		if answered < 8 {
			t.Errorf("%d copies of the last report were answered 200", answered)
		}
		if back == 0 || back > 20*time.Second {
			t.Errorf("what ran there runs again after %v (0: not within 40 s)", back)
		}
	})
}

// A copy of the newest report comes to another node than its worker's. It is answered, and
// its worker does not count as answered there.
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
		w.CaptureReport(name)
		for i, node := range []int{at, other, other} {
			if status := w.ReplayReport(name, node); status != 200 {
				t.Fatalf("copy %d was answered %d", i, status)
			}
		}
		if n := getOverview(t, w, other).Heartbeats.WorkersServed; n != 0 {
			t.Errorf("%d workers count as answered at a node that only had copies", n)
		}
	})
}
