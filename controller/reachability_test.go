// Scenarios of asymmetric partitions, in which machines send but don't receive, of duplicate
// heartbeats, of nodes that can reach only their workers, and of restarts within a fraction of a
// second.

package controller_test

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// fillMachines runs a long task with 5 of the 8 CPUs on every machine, so that no machine is idle
// and scaled in. 3 CPUs of each machine are left.
func fillMachines(t *testing.T, w *fake.Cluster, machines int) {
	t.Helper()
	mustSubmit(t, w, job(900, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = machines, 5, 3600 }))
	if !scenario.Eventually(40*time.Second, time.Second, func() bool { return w.Running() == machines }) {
		t.Fatalf("%d tasks run", w.Running())
	}
}

// Replies to a machine are lost while its heartbeats arrive. Launches were sent to it with every
// reply, and its tasks waited as long as the fault lasted. They must run on other machines.
func TestNothingWaitsForAnUnreachableMachine(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 3, LeaseS: 30}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 3)
		unreachable := w.Cloud.Machines()[0]
		w.BlockRepliesTo(unreachable)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 3, 10 }))
		// Two rounds of tasks of 10 s, and at worst one wait of 4 s for a reply.
		mustReach(t, w, "wk-000001", wire.JobDone, 35*time.Second)
		time.Sleep(35 * time.Second) // its lease has expired, and it has no tasks
		before := w.Started()
		mustSubmit(t, w, job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 6, 3, 10 }))
		time.Sleep(3 * time.Second)
		if n := w.Started() - before; n == 0 {
			t.Error("no task starts on the reachable machines")
		}
		if n := w.TasksPerMachine()[unreachable]; n > 0 {
			t.Errorf("%d tasks on the unreachable machine", n)
		}
		w.UnblockRepliesTo(unreachable)
		if !scenario.Eventually(10*time.Second, 100*time.Millisecond, func() bool { return w.TasksPerMachine()[unreachable] > 0 }) {
			t.Error("the machine has no task 10 s after it is reachable again")
		}
		mustReach(t, w, "wk-000002", wire.JobDone, time.Minute)
	})
}

// A machine's replies are lost across a failover, so that it never shows the next leader's fencing
// token. Each of its heartbeats was answered all the same, and tasks waited for it forever. Tasks
// that the former leader placed there, launched or not, must start elsewhere once the machine's
// lease has expired.
func TestUnreachableMachineDuringFailover(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 4, LeaseS: 30}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 3)
		unreachable := w.Cloud.Machines()[0]
		w.BlockRepliesTo(unreachable)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 3, 5 }))
		time.Sleep(time.Second)
		w.KillNode(w.Leader())
		mustReach(t, w, "wk-000001", wire.JobDone, 60*time.Second)
		time.Sleep(40 * time.Second)
		if n := w.Running(); n != 3 {
			t.Errorf("%d long tasks run, want 3", n)
		}
		if n := w.TasksPerMachine()[unreachable]; n > 0 {
			t.Errorf("%d tasks on the unreachable machine", n)
		}
	})
}

// A machine that stays unreachable is scaled in, and another one is rented.
func TestMachineThatStaysUnreachableIsReplaced(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 2)
		unreachable := w.Cloud.Machines()[0]
		w.BlockRepliesTo(unreachable)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 3, 600 }))
		time.Sleep(2*time.Minute + 30*time.Second)
		if machines := w.Cloud.Machines(); len(machines) != 2 || machines[0] == unreachable {
			t.Errorf("machines are %v, want two without %s", machines, unreachable)
		}
		if n := w.Running(); n != 4 {
			t.Errorf("%d tasks run, want 4", n)
		}
	})
}

// Duplicates of a deleted machine's heartbeats arrive at a leader that has never had a heartbeat
// from it. The machine looked alive, and tasks were launched there.
func TestDuplicateHeartbeatsOfADeletedMachine(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 3, LeaseS: 30}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 3)
		gone := w.Cloud.Machines()[0]
		w.DuplicateHeartbeats(1)
		time.Sleep(20 * time.Second)
		w.DuplicateHeartbeats(0)
		w.Cloud.Remove(gone)
		w.KillNode(w.Leader())
		time.Sleep(8 * time.Second)
		for i := range 8 {
			// The two machines that are left have room for two of the three tasks at a time.
			id := job(1+i, nil).ID
			mustSubmit(t, w, job(1+i, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 3, 3, 2 }))
			// Wait for the final record, since a client that polls the killed node learns of it
			// late.
			if !scenario.Eventually(20*time.Second, 500*time.Millisecond, func() bool { return len(w.Store.Keys(jobstore.FinalKey(id))) > 0 }) {
				t.Errorf("%s is not done within 20 s: it waits for the deleted machine", id)
			}
			mustReach(t, w, id, wire.JobDone, time.Minute)
		}
		if !scenario.Eventually(100*time.Second, time.Second, func() bool { return w.Running() == 3 }) {
			t.Errorf("%d long tasks run, want 3: the task of the deleted machine waits for it", w.Running())
		}
	})
}

// Duplicates of all machines' heartbeats arrive all the time, up to five leases late. A leader that
// took one for the current state would lose or repeat tasks.
func TestDuplicateHeartbeatsChangeNothing(t *testing.T) {
	runScenario(t, fake.Options{Machines: 6, Capacity: 6}, func(t *testing.T, w *fake.Cluster) {
		w.DuplicateHeartbeats(2)
		fillMachines(t, w, 6)
		before := w.Started()
		for i := range 6 {
			mustSubmit(t, w, job(1+i, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs, j.EstimateS, j.OneZone = 2, 3, 15, i%2 == 0 }))
		}
		w.KillNode(w.Leader())
		mustFinish(t, w, 2*time.Minute, 1, 2, 3, 4, 5, 6)
		if n := w.Started() - before; n > 12 || w.ExpiredLeases() > 0 {
			t.Errorf("%d starts of 12 tasks, %d leases expired", n, w.ExpiredLeases())
		}
	})
}

// A node can reach neither the key-value store nor the other nodes, only its workers. If it went on
// answering them, their leases with the next leader would expire. It must answer no worker beyond
// its own leader lease and redirect its workers at once, so that the next leader answers all of
// them in time.
func TestNodeKeepsOnlyItsWorkersConnections(t *testing.T) {
	for name, which := range map[string]func(w *fake.Cluster) int{
		"the leader":     func(w *fake.Cluster) int { return w.Leader() },
		"another":        func(w *fake.Cluster) int { return (w.Leader() + 1) % 3 },
		"all but one":    nil,
		"one by another": nil,
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 12, Capacity: 12}, func(t *testing.T, w *fake.Cluster) {
				fillMachines(t, w, 12)
				switch name {
				case "all but one":
					l := w.Leader()
					w.IsolateToWorkers(l)
					w.IsolateToWorkers((l + 1) % 3)
				case "one by another":
					for i := range 3 {
						w.IsolateToWorkers(i)
						time.Sleep(15 * time.Second)
						w.HealNodeIsolation(i)
					}
				default:
					w.IsolateToWorkers(which(w))
				}
				at := time.Now()
				time.Sleep(20 * time.Second)
				if n := w.Unanswered(at); n > 0 || w.ExpiredLeases() > 0 {
					t.Errorf("%d workers are unanswered, %d leases expired", n, w.ExpiredLeases())
				}
				for i := range 3 {
					w.HealNodeIsolation(i)
				}
				mustSubmit(t, w, job(1, nil))
				mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
			})
		})
	}
}

// Nodes restart within a fraction of a second, one after another and all at once, also during the
// elections that these restarts cause. No worker's lease may expire.
func TestNodesRestartWithinAFractionOfASecond(t *testing.T) {
	runScenario(t, fake.Options{Machines: 8, Capacity: 8}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 8)
		for round, after := range []time.Duration{0, 50, 150, 300, 600, 900} {
			if l := w.Leader(); l >= 0 {
				w.PowerCycleNode(l, after*time.Millisecond)
			}
			time.Sleep(after * time.Millisecond)
			for i := range 3 {
				w.PowerCycleNode((round+i)%3, after*time.Millisecond/2)
			}
			for _, m := range w.Cloud.Machines() {
				w.HangMachine(m)
			}
			time.Sleep(300 * time.Millisecond)
			for _, m := range w.Cloud.Machines() {
				w.ResumeMachine(m)
			}
			id := job(1+round, nil).ID
			mustSubmit(t, w, job(1+round, nil))
			mustReach(t, w, id, wire.JobDone, time.Minute)
		}
		if n := w.ExpiredLeases(); n > 0 {
			t.Errorf("%d leases expired", n)
		}
	})
}
