// Scenarios of a fleet with more workers than its leader keeps connections for, on nodes with few
// sockets. They count the workers' leases that expire, since each one ends all tasks on its
// machine.

package routing_test

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
)

// runFleet runs a scenario on a cluster in which every machine already runs one long task.
func runFleet(t *testing.T, o fake.Options, body func(t *testing.T, w *fake.Cluster)) {
	t.Helper()
	if underRace {
		t.Skip("run without the race detector by .ci/run")
	}
	o.Capacity = o.Machines
	if o.Sockets == 0 {
		o.Sockets = fleetSockets
	}
	o.HeartbeatIntervalS, o.LeaseS = 4, 22
	scenario.Run(t, o, func(t *testing.T, w *fake.Cluster) {
		scenario.MustSubmit(t, w, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = o.Machines, 8, 400 }))
		scenario.Eventually(time.Minute, time.Second, func() bool { return w.Started() == o.Machines })
		if n := w.Started(); n != o.Machines || w.ExpiredLeases() != 0 {
			t.Fatalf("%d of %d tasks have started, %d leases have expired", n, o.Machines, w.ExpiredLeases())
		}
		time.Sleep(20 * time.Second) // until the workers are redirected to the nodes of the plan
		body(t, w)
		for i := range len(w.Nodes()) {
			if n := w.Network.PeakSockets(w.Nodes()[i]); n > o.Sockets {
				t.Errorf("node %d used up to %d sockets, limit %d", i, n, o.Sockets)
			}
		}
	})
}

// checkAllAnswered waits until the given time after since. It reports an error if a living worker
// has not been answered since then.
func checkAllAnswered(t *testing.T, w *fake.Cluster, since time.Time, within time.Duration) {
	t.Helper()
	time.Sleep(within - time.Since(since))
	if n := w.Unanswered(since); n > 0 {
		t.Errorf("%d workers had no answer within %v", n, within)
	}
}

// checkNoTaskLost reports an error if a lease expired, or if the number of starts is not that of
// the tasks.
func checkNoTaskLost(t *testing.T, w *fake.Cluster, tasks int) {
	t.Helper()
	if n := w.Started(); w.ExpiredLeases() != 0 || n != tasks {
		t.Errorf("%d leases expired, %d starts of %d tasks", w.ExpiredLeases(), n, tasks)
	}
}

// The leader serves its share of the workers directly, and the others by way of relays. A leader
// that held all connections would run out of sockets.
func TestLeaderDoesNotHoldAllConnectionsOfTheFleet(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		at := time.Now()
		checkAllAnswered(t, w, at, 10*time.Second)
		if n := w.Network.OpenSockets(w.Nodes()[w.Leader()]); n > fleetSockets*6/10 {
			t.Errorf("the leader uses %d of its %d sockets, want at most 60%%", n, fleetSockets)
		}
		if w.Cancel("wk-000001") != wire.JobCancelled {
			t.Error("the job was not cancelled")
		}
		time.Sleep(15 * time.Second)
		if on := w.MachinesRunning("wk-000001/0"); len(on) > 0 {
			t.Errorf("a task of the cancelled job still runs on %v", on)
		}
		checkNoTaskLost(t, w, fleetMachines)
	})
}

// Guards against expired leases and repeated starts after a restart of all nodes, when the whole fleet
// reconnects at once.
func TestAllNodesRestartWhileTheFleetSendsHeartbeats(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		w.KillAll()
		time.Sleep(6 * time.Second)
		at := time.Now()
		w.StartAll()
		checkAllAnswered(t, w, at, 13*time.Second)
		checkNoTaskLost(t, w, fleetMachines)
		scenario.MustSubmit(t, w, scenario.Job(2, nil))
	})
}

// Guards against expired leases and repeated starts when half of the fleet hangs for 14 s and then
// reconnects at the same time.
func TestHalfTheFleetReconnectsWithinASecond(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		half := w.Cloud.Machines()[:fleetMachines/2]
		for _, m := range half {
			w.HangMachine(m)
		}
		time.Sleep(14 * time.Second)
		at := time.Now()
		for _, m := range half {
			w.ResumeMachine(m)
		}
		checkAllAnswered(t, w, at, 9*time.Second)
		checkNoTaskLost(t, w, fleetMachines)
	})
}

// A zone is partitioned until its leases expire, while the cloud refuses new machines. After the
// partition, each task of the zone must be started again at once, and exactly once.
func TestZoneReturnsAfterItsLeasesExpireWhileTheCloudRefuses(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		w.Cloud.SetOutage(true)
		w.PartitionZone("b")
		time.Sleep(40 * time.Second)
		if n := w.ExpiredLeases(); n != fleetMachines/2 {
			t.Errorf("%d leases expired, want the zone's %d", n, fleetMachines/2)
		}
		w.HealZonePartition("b")
		at := time.Now()
		checkAllAnswered(t, w, at, 12*time.Second)
		scenario.Eventually(40*time.Second, time.Second, func() bool { return w.Started() >= fleetMachines*3/2 })
		if n := w.Started(); n != fleetMachines*3/2 {
			t.Errorf("got %d starts, want %d: each task once and those of the zone once more", n, fleetMachines*3/2)
		}
		time.Sleep(2 * time.Minute)
		w.Cloud.SetOutage(false)
		if n := w.ExpiredLeases(); n != fleetMachines/2 {
			t.Errorf("%d leases expired in all, want the zone's %d", n, fleetMachines/2)
		}
	})
}

// A relay is paused, is partitioned from the leader, or dies. Its workers must reach another node
// before their leases expire.
func TestRelayNodeIsLost(t *testing.T) {
	for _, c := range []struct {
		name       string
		fail, heal func(w *fake.Cluster, relay int)
	}{
		{"stands still", func(w *fake.Cluster, r int) { w.PauseNode(r) }, func(w *fake.Cluster, r int) { w.ResumeNode(r) }},
		{"is cut from the others", func(w *fake.Cluster, r int) { w.PartitionNode(r, "nodes") }, func(w *fake.Cluster, r int) { w.HealNode(r, "nodes") }},
		{"dies", func(w *fake.Cluster, r int) { w.KillNode(r) }, func(w *fake.Cluster, r int) { w.StartNode(r) }},
		{"keeps only its workers", func(w *fake.Cluster, r int) { w.IsolateToWorkers(r) }, func(w *fake.Cluster, r int) { w.HealNodeIsolation(r) }},
		{"is back at once", func(w *fake.Cluster, r int) { w.PowerCycleNode(r, 200*time.Millisecond) }, func(w *fake.Cluster, r int) { w.PowerCycleNode(r, 900*time.Millisecond) }},
		{"and the leader with it", func(w *fake.Cluster, r int) { w.KillNode(w.Leader()); w.PauseNode(r) },
			func(w *fake.Cluster, r int) { w.ResumeNode(r) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
				relay := (w.Leader() + 1) % len(w.Nodes())
				at := time.Now()
				c.fail(w, relay)
				checkAllAnswered(t, w, at.Add(4*time.Second), 16*time.Second)
				time.Sleep(10 * time.Second)
				c.heal(w, relay)
				time.Sleep(25 * time.Second)
				checkNoTaskLost(t, w, fleetMachines)
			})
		})
	}
}

// There are more workers than sockets on all nodes together. Workers must share the sockets, since
// each needs one only during a heartbeat, and the node's own calls must still find a free one.
func TestMoreWorkersThanSockets(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines, Sockets: fleetMachines / 4}, func(t *testing.T, w *fake.Cluster) {
		at := time.Now()
		checkAllAnswered(t, w, at, 15*time.Second)
		// A submission needs sockets for the node's own calls.
		for i := range 5 {
			scenario.MustSubmit(t, w, scenario.Job(10+i, func(j *wire.Job) { j.CPUs = 8 }))
		}
		w.KillNode(w.Leader())
		at = time.Now()
		checkAllAnswered(t, w, at.Add(8*time.Second), 22*time.Second)
		checkNoTaskLost(t, w, fleetMachines)
	})
}

// The leader fails without notice. Workers served by relays must stay there, and only the leader's
// own workers may look for another node. If all moved, the next leader would be overloaded.
func TestFleetContinuesUnderTheNextLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *fake.Cluster, leader int)
	}{
		{"dies", func(w *fake.Cluster, l int) { w.KillNode(l) }},
		{"stands still", func(w *fake.Cluster, l int) { w.PauseNode(l) }},
		{"is cut from the workers", func(w *fake.Cluster, l int) { w.PartitionNode(l, "workers") }},
		{"keeps only its workers", func(w *fake.Cluster, l int) { w.IsolateToWorkers(l) }},
		{"is back at once, and the next in the election", func(w *fake.Cluster, l int) {
			w.PowerCycleNode(l, 100*time.Millisecond)
			w.PowerCycleNode((l+1)%4, 300*time.Millisecond)
			w.PowerCycleNode((l+2)%4, 700*time.Millisecond)
		}},
		{"is refused by the state service", func(w *fake.Cluster, l int) { w.Store.RefuseNode(fmt.Sprintf("n-%d", l)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runFleet(t, fake.Options{Machines: fleetMachines, Nodes: 4}, func(t *testing.T, w *fake.Cluster) {
				at := time.Now()
				c.fail(w, w.Leader())
				checkAllAnswered(t, w, at.Add(6*time.Second), 20*time.Second)
				time.Sleep(20 * time.Second)
				checkNoTaskLost(t, w, fleetMachines)
			})
		})
	}
}

// All tasks of the fleet end within seconds of each other while as many wait. The answer to each
// heartbeat is delayed until the machine's next task is recorded, and meanwhile the nodes are
// paused for a second ten times. Every worker must still get an answer in time, and no task may
// start twice.
func TestAnswersToTheWholeFleetAreDelayedWhileAllNodesAreSlow(t *testing.T) {
	runFleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		scenario.MustSubmit(t, w, scenario.Job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = fleetMachines, 8, 60 }))
		scenario.Eventually(10*time.Minute, time.Second, func() bool { return w.FinishedTasks("wk-000001") > 0 }) // the first job's tasks run 400 s
		began := time.Now()
		for range 10 {
			for i := range w.Nodes() {
				w.PauseNode(i)
			}
			time.Sleep(time.Second)
			for i := range w.Nodes() {
				w.ResumeNode(i)
			}
			time.Sleep(500 * time.Millisecond)
		}
		checkAllAnswered(t, w, time.Now(), 10*time.Second)
		scenario.Eventually(90*time.Second, time.Second, func() bool { return w.Started() >= 2*fleetMachines })
		t.Logf("all tasks of the second job started %v after the end of the first job", time.Since(began))
		checkNoTaskLost(t, w, 2*fleetMachines)
	})
}

// logCounter is a slog.Handler that counts the nodes' log records by message.
type logCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *logCounter) Enabled(context.Context, slog.Level) bool { return true }
func (c *logCounter) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c *logCounter) WithGroup(string) slog.Handler            { return c }
func (c *logCounter) Handle(_ context.Context, r slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[r.Message]++
	return nil
}

func (c *logCounter) count(msg string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[msg]
}

// unreachableCounts returns the numbers of machines to make unreachable at once, 300 by default.
// MUTE_MACHINES sets others for measurements, such as MUTE_MACHINES=100,300,1000.
func unreachableCounts() []int {
	var out []int
	for _, s := range strings.Split(os.Getenv("MUTE_MACHINES"), ",") {
		if n, err := strconv.Atoi(s); err == nil {
			out = append(out, n)
		}
	}
	if len(out) == 0 {
		return []int{300}
	}
	return out
}

// Many machines receive no answers at once, although all nodes receive their heartbeats, and
// copies of heartbeats arrive late. A job submitted meanwhile must start on the other machines at
// once. When the machines receive answers again, they must get work within seconds.
func TestManyMachinesAreUnreachableAtOnce(t *testing.T) {
	for _, n := range unreachableCounts() {
		for _, changeLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, change of leader %t", n, changeLeader), func(t *testing.T) {
				machines := max(fleetMachines, n*13/10)
				logs := &logCounter{counts: map[string]int{}}
				runFleet(t, fake.Options{Machines: machines, Log: slog.New(logs)}, func(t *testing.T, w *fake.Cluster) {
					runWithUnreachableMachines(t, w, logs, n, func() {
						if changeLeader {
							w.KillNode(w.Leader())
						}
					})
				})
			})
		}
	}
}

// runWithUnreachableMachines makes n machines receive no answers for a minute. It calls
// whileUnreachable at the beginning of that minute.
func runWithUnreachableMachines(t *testing.T, w *fake.Cluster, logs *logCounter, n int, whileUnreachable func()) {
	t.Helper()
	if w.Cancel("wk-000001") != wire.JobCancelled {
		t.Fatal("the job was not cancelled")
	}
	time.Sleep(10 * time.Second)
	all := w.Cloud.Machines()
	// One task of this job on each machine leaves room for a task of the next job.
	scenario.MustSubmit(t, w, scenario.Job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = len(all), 5, 900 }))
	scenario.Eventually(time.Minute, time.Second, func() bool { return w.Running() == len(all) })
	w.DuplicateHeartbeats(20)
	for i := range n {
		w.BlockRepliesTo(all[i*len(all)/n])
	}
	whileUnreachable()
	before := w.Started()
	began := time.Now()
	reachable := len(all) - n
	scenario.MustSubmit(t, w, scenario.Job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = reachable, 3, 900 }))
	scenario.Eventually(40*time.Second, 100*time.Millisecond, func() bool { return w.Started()-before >= reachable })
	started, took := w.Started()-before, time.Since(began)
	if started < reachable {
		t.Errorf("%d of %d tasks that fit on reachable machines have started after %v", started, reachable, took)
	}
	time.Sleep(time.Minute - time.Since(began))
	revoked := logs.count("unlaunched task revoked")
	expired, noAnswerSigns := w.ExpiredLeases(), logs.count("machine receives no answers")
	if expired != n {
		t.Errorf("%d leases expired, want those of the %d unreachable machines", expired, n)
	}
	for i := range n {
		w.UnblockRepliesTo(all[i*len(all)/n])
	}
	began = time.Now()
	scenario.Eventually(time.Minute, 100*time.Millisecond, func() bool { return w.Running() == len(all)+reachable })
	if r := w.Running(); r != len(all)+reachable {
		t.Errorf("a minute after all machines are reachable again %d of %d tasks run", r, len(all)+reachable)
	}
	t.Logf("%d of %d machines unreachable for a minute: all %d tasks for the others had started after %v; %d unlaunched tasks were revoked, "+
		"%d times a machine was detected as receiving no answers, %d leases expired; all tasks run %v after the end", n, len(all), reachable, took.Round(100*time.Millisecond),
		revoked, noAnswerSigns, expired, time.Since(began).Round(100*time.Millisecond))
}
