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

// Stories of a fleet that has more workers than its leader keeps connections,
// with sockets that run out. What is counted is workers' leases that end: each
// costs all that runs on its machine.

// fleet begins a story in which every machine runs one long task.
func fleet(t *testing.T, o fake.Options, play func(t *testing.T, w *fake.Cluster)) {
	t.Helper()
	if underRace {
		t.Skip("played without the race detector by .ci/run")
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
			t.Fatalf("%d of %d tasks run, %d leases have ended", n, o.Machines, w.ExpiredLeases())
		}
		time.Sleep(20 * time.Second) // moved to where they belong
		play(t, w)
		for i := range len(w.Nodes()) {
			if n := w.Network.PeakSockets(w.Nodes()[i]); n > o.Sockets {
				t.Errorf("node %d had %d sockets of %d", i, n, o.Sockets)
			}
		}
	})
}

// allAnswered fails unless every living worker has an answer by then.
func allAnswered(t *testing.T, w *fake.Cluster, since time.Time, within time.Duration) {
	t.Helper()
	time.Sleep(within - time.Since(since))
	if n := w.Unanswered(since); n > 0 {
		t.Errorf("%d workers had no answer within %v", n, within)
	}
}

func noneLost(t *testing.T, w *fake.Cluster, tasks int) {
	t.Helper()
	if n := w.Started(); w.ExpiredLeases() != 0 || n != tasks {
		t.Errorf("%d leases ended, %d starts of %d tasks", w.ExpiredLeases(), n, tasks)
	}
}

// The leader keeps its part of the workers, and the rest are answered by way of
// the other nodes.
func TestLeaderDoesNotHoldAllConnectionsOfTheFleet(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		at := time.Now()
		allAnswered(t, w, at, 10*time.Second)
		if n := w.Network.OpenSockets(w.Nodes()[w.Leader()]); n > fleetSockets*6/10 {
			t.Errorf("the leader holds %d of its %d sockets", n, fleetSockets)
		}
		if w.Cancel("wk-000001") != wire.JobCancelled {
			t.Error("not cancelled")
		}
		time.Sleep(15 * time.Second)
		if on := w.MachinesRunning("wk-000001/0"); len(on) > 0 {
			t.Errorf("still on %v", on)
		}
		noneLost(t, w, fleetMachines)
	})
}

func TestAllNodesRestartWhileTheFleetSendsHeartbeats(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		w.KillAll()
		time.Sleep(6 * time.Second)
		at := time.Now()
		w.StartAll()
		allAnswered(t, w, at, 13*time.Second)
		noneLost(t, w, fleetMachines)
		scenario.MustSubmit(t, w, scenario.Job(2, nil))
	})
}

func TestHalfTheFleetReconnectsWithinASecond(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		half := w.Cloud.Machines()[:fleetMachines/2]
		for _, m := range half {
			w.HangMachine(m)
		}
		time.Sleep(14 * time.Second)
		at := time.Now()
		for _, m := range half {
			w.ResumeMachine(m)
		}
		allAnswered(t, w, at, 9*time.Second)
		noneLost(t, w, fleetMachines)
	})
}

// A zone that comes back after its leases have ended starts anew, at once and
// nothing twice, while the cloud gives nothing.
func TestZoneReturnsAfterItsLeasesExpireWhileTheCloudRefuses(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
		w.Cloud.SetOutage(true)
		w.PartitionZone("b")
		time.Sleep(40 * time.Second)
		if n := w.ExpiredLeases(); n != fleetMachines/2 {
			t.Errorf("%d leases ended of the zone's %d", n, fleetMachines/2)
		}
		w.HealZonePartition("b")
		at := time.Now()
		allAnswered(t, w, at, 12*time.Second)
		scenario.Eventually(40*time.Second, time.Second, func() bool { return w.Started() >= fleetMachines*3/2 })
		if n := w.Started(); n != fleetMachines*3/2 {
			t.Errorf("%d starts, wanted each task of the zone once more: %d", n, fleetMachines*3/2)
		}
		time.Sleep(2 * time.Minute)
		w.Cloud.SetOutage(false)
		if n := w.ExpiredLeases(); n != fleetMachines/2 {
			t.Errorf("%d leases ended in all", n)
		}
	})
}

// A node that passes heartbeats on stands still, is cut from the leader, or dies:
// its workers go elsewhere in time.
func TestRelayNodeIsLost(t *testing.T) {
	for _, c := range []struct {
		name       string
		begin, end func(w *fake.Cluster, relay int)
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
			fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
				relay := (w.Leader() + 1) % len(w.Nodes())
				at := time.Now()
				c.begin(w, relay)
				allAnswered(t, w, at.Add(4*time.Second), 16*time.Second)
				time.Sleep(10 * time.Second)
				c.end(w, relay)
				time.Sleep(25 * time.Second)
				noneLost(t, w, fleetMachines)
			})
		})
	}
}

// More workers than all nodes have sockets: each needs one only while it
// heartbeats.
func TestMoreWorkersThanSockets(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines, Sockets: fleetMachines / 4}, func(t *testing.T, w *fake.Cluster) {
		at := time.Now()
		allAnswered(t, w, at, 15*time.Second)
		// The node's own calls find a socket all the same.
		for i := range 5 {
			scenario.MustSubmit(t, w, scenario.Job(10+i, func(j *wire.Job) { j.CPUs = 8 }))
		}
		w.KillNode(w.Leader())
		at = time.Now()
		allAnswered(t, w, at.Add(8*time.Second), 22*time.Second)
		noneLost(t, w, fleetMachines)
	})
}

// The leader is gone without a word: workers that others answer stay where they
// are, and only the leader's own have to look for a node.
func TestFleetContinuesUnderTheNextLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(w *fake.Cluster, l int)
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
			fleet(t, fake.Options{Machines: fleetMachines, Nodes: 4}, func(t *testing.T, w *fake.Cluster) {
				at := time.Now()
				c.end(w, w.Leader())
				allAnswered(t, w, at.Add(6*time.Second), 20*time.Second)
				time.Sleep(20 * time.Second)
				noneLost(t, w, fleetMachines)
			})
		})
	}
}

// All tasks of the fleet end within seconds of one another, and as many wait:
// the answer to each machine's heartbeat is held until what comes next there is
// recorded. The nodes are slow meanwhile, and stand still for a second again and
// again. No worker is left without an answer, and nothing starts twice.
func TestAnswersToTheWholeFleetAreDelayedWhileAllNodesAreSlow(t *testing.T) {
	fleet(t, fake.Options{Machines: fleetMachines}, func(t *testing.T, w *fake.Cluster) {
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
		allAnswered(t, w, time.Now(), 10*time.Second)
		scenario.Eventually(90*time.Second, time.Second, func() bool { return w.Started() >= 2*fleetMachines })
		t.Logf("all of the second job's tasks on their machines %v after the first's end", time.Since(began))
		noneLost(t, w, 2*fleetMachines)
	})
}

// logCounter counts what the nodes log, by message.
type logCounter struct {
	mu   sync.Mutex
	said map[string]int
}

func (c *logCounter) Enabled(context.Context, slog.Level) bool { return true }
func (c *logCounter) WithAttrs([]slog.Attr) slog.Handler       { return c }
func (c *logCounter) WithGroup(string) slog.Handler            { return c }
func (c *logCounter) Handle(_ context.Context, r slog.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.said[r.Message]++
	return nil
}

func (c *logCounter) count(msg string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.said[msg]
}

// unreachableCounts is how many machines are mute at once; MUTE_MACHINES=100,300,1000 measures.
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

// Many machines do not hear, all at once, while their heartbeats come by way of all
// nodes, and copies of heartbeats arrive late. What is submitted then starts on the
// others at once, and when they hear again they have work within seconds.
func TestManyMachinesAreUnreachableAtOnce(t *testing.T) {
	for _, n := range unreachableCounts() {
		for _, change := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d, change of leader %t", n, change), func(t *testing.T) {
				machines := max(fleetMachines, n*13/10)
				said := &logCounter{said: map[string]int{}}
				fleet(t, fake.Options{Machines: machines, Log: slog.New(said)}, func(t *testing.T, w *fake.Cluster) {
					makeUnreachable(t, w, said, n, func() {
						if change {
							w.KillNode(w.Leader())
						}
					})
				})
			})
		}
	}
}

// makeUnreachable makes n machines receive no answers for a minute; whileMute runs at its
// beginning.
func makeUnreachable(t *testing.T, w *fake.Cluster, said *logCounter, n int, whileMute func()) {
	t.Helper()
	if w.Cancel("wk-000001") != wire.JobCancelled {
		t.Fatal("not cancelled")
	}
	time.Sleep(10 * time.Second)
	all := w.Cloud.Machines()
	// A task on each machine leaves room for another.
	scenario.MustSubmit(t, w, scenario.Job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = len(all), 5, 900 }))
	scenario.Eventually(time.Minute, time.Second, func() bool { return w.Running() == len(all) })
	w.DuplicateHeartbeats(20)
	for i := range n {
		w.BlockRepliesTo(all[i*len(all)/n])
	}
	whileMute()
	before := w.Started()
	began := time.Now()
	hear := len(all) - n
	scenario.MustSubmit(t, w, scenario.Job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = hear, 3, 900 }))
	scenario.Eventually(40*time.Second, 100*time.Millisecond, func() bool { return w.Started()-before >= hear })
	started, took := w.Started()-before, time.Since(began)
	if started < hear {
		t.Errorf("%d of %d tasks that fit on machines that hear have started after %v", started, hear, took)
	}
	time.Sleep(time.Minute - time.Since(began))
	vain := said.count("unlaunched task revoked")
	lost, deaf := w.ExpiredLeases(), said.count("machine receives no answers")
	if lost != n {
		t.Errorf("%d leases ended of %d", lost, n)
	}
	for i := range n {
		w.UnblockRepliesTo(all[i*len(all)/n])
	}
	began = time.Now()
	scenario.Eventually(time.Minute, 100*time.Millisecond, func() bool { return w.Running() == len(all)+hear })
	if r := w.Running(); r != len(all)+hear {
		t.Errorf("a minute after they hear again %d of %d tasks run", r, len(all)+hear)
	}
	t.Logf("%d of %d machines mute for a minute: %d tasks for the others had all started after %v; %d places there were taken back, "+
		"%d signs that a machine does not hear, %d leases lost; all tasks run %v after the end", n, len(all), hear, took.Round(100*time.Millisecond),
		vain, deaf, lost, time.Since(began).Round(100*time.Millisecond))
}
