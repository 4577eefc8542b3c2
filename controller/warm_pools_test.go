// Scenarios of faults while warm pools are filled, used, lent and scaled in, and of the charges for
// their machines.

package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/plans"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// poolCluster configures machines with an image cache of 100 GB. Fetching an image of 40 GB takes
// 40 s.
func poolCluster(machines, capacity int) fake.Options {
	typ := fake.DefaultType
	typ.CacheGB = 100
	return fake.Options{Machines: machines, Capacity: capacity, Types: []wire.MachineType{typ},
		Teams: []config.Team{{Name: "core"}, {Name: "speech"}, {Name: "clinic"}}}
}

// poolPlan returns a plan with one warm pool of minMachines to maxMachines machines. more is
// appended to the pool's section.
func poolPlan(minMachines, maxMachines int, more string) string {
	return plans.Pool{Name: "llm", Model: "llm:v1", WeightsGB: 40, MachineType: "m8", Min: minMachines, Max: maxMachines, Replicas: 4, Payer: "speech", More: "borrowers = [\"core\"]\n" + more}.TOML()
}

// poolState decodes the pool's state from its records. Before the first record it is empty, with
// one shard.
func poolState(t *testing.T, w *fake.Cluster) warmpool.State {
	t.Helper()
	records := map[string]wire.Raw{}
	for _, k := range w.Store.Keys(jobstore.PlanStatePrefix) {
		records[strings.TrimPrefix(k, jobstore.PlanStatePrefix)] = w.Store.Value(k)
	}
	states, unreadable := warmpool.ReadStates(records)
	if len(states) > 1 || len(unreadable) > 0 {
		t.Fatalf("%d pools recorded, unreadable: %v", len(states), unreadable)
	}
	if len(states) == 0 {
		return warmpool.State{Shards: make([]warmpool.Shard, 1)}
	}
	return states[0]
}

// checkChargesAddUp asserts that the charges of the teams add up to the cost of the machines, which
// must not be 0.
func checkChargesAddUp(t *testing.T, s warmpool.State) {
	t.Helper()
	for _, why := range s.Audit() {
		t.Error(why)
	}
	if _, machines := warmpool.Totals(s.Shards); machines.Ms == 0 {
		t.Error("no team is charged")
	}
}

// awaitWarm waits until n machines hold an image.
func awaitWarm(t *testing.T, w *fake.Cluster, image string, n int, within time.Duration) {
	t.Helper()
	for end := time.Now().Add(within); len(w.MachinesWithImage(image)) < n; time.Sleep(time.Second) {
		if time.Now().After(end) {
			t.Fatalf("%d machines have %s, want %d, after %v", len(w.MachinesWithImage(image)), image, n, within)
		}
	}
}

// replicas returns a service job with that many replicas, each of which takes a whole machine and
// needs the pool's image.
func replicas(n, count int) wire.Job {
	return job(n, func(j *wire.Job) {
		j.Kind, j.Class, j.Team, j.EstimateS, j.Tasks, j.CPUs = wire.KindService, "serve", "speech", 0, count, 8
		j.Image, j.ImageGB = "llm:v1", 40
	})
}

// A pool of four machines fetches its weights, two machines at a time. It must keep them without
// jobs and across a change of leader. A burst must then start within 15 s, since a fetch would take
// 40 s.
func TestWarmPoolHoldsImagesAheadOfABurst(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		awaitWarm(t, w, "llm:v1", 4, 5*time.Minute)
		if n := w.PeakImageFetches(); n > 2 {
			t.Errorf("%d machines fetched at the same time, want at most 2", n)
		}
		time.Sleep(10 * time.Minute)
		if n := len(w.MachinesWithImage("llm:v1")); n != 4 {
			t.Errorf("%d machines hold the weights after ten minutes without jobs, want 4", n)
		}
		began := w.Started()
		restartLeader(w)
		time.Sleep(time.Minute)
		if n := w.Started() - began; n > 0 {
			t.Errorf("the next leader started %d fetches of weights that are there", n)
		}
		at := time.Now()
		mustSubmit(t, w, replicas(1, 4))
		for len(w.MachinesRunning("wk-000001/0"))+len(w.MachinesRunning("wk-000001/1"))+len(w.MachinesRunning("wk-000001/2"))+len(w.MachinesRunning("wk-000001/3")) < 4 {
			time.Sleep(100 * time.Millisecond)
			if time.Since(at) > 15*time.Second {
				t.Fatal("the replicas do not run within 15 s: their weights were not there")
			}
		}
		time.Sleep(10 * time.Second)
		s := poolState(t, w)
		checkChargesAddUp(t, s)
		hits := int64(0)
		for _, sh := range s.Shards {
			hits += sh.Hits
		}
		if hits != 4 || s.Record.Held != 4 {
			t.Errorf("%d hits, want 4; record %+v", hits, s.Record)
		}
	})
}

// awaitPool waits until the recorded state of the pool satisfies ok, and returns it. what describes
// the state in the failure message.
func awaitPool(t *testing.T, w *fake.Cluster, what string, within time.Duration, ok func(s warmpool.State) bool) warmpool.State {
	t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(500 * time.Millisecond) {
		s := poolState(t, w)
		if ok(s) {
			return s
		}
		if time.Now().After(end) {
			t.Fatalf("pool is not %s within %v: %+v", what, within, s)
		}
	}
}

// poolFull returns a condition for awaitPool: the pool holds n machines, all of them warm.
func poolFull(n int) func(warmpool.State) bool {
	return func(s warmpool.State) bool { return s.Record.Held == n && s.Record.Warm == n }
}

// restartLeader kills the leader, and starts its node again 12 s later.
func restartLeader(w *fake.Cluster) {
	i := w.Leader()
	w.KillNode(i)
	time.Sleep(12 * time.Second)
	w.StartNode(i)
}

// The leader, or all nodes, are killed at one of the steps in which a pool is filled. The next
// leader could rent machines twice or start too many fetches. The pool must be full with four
// machines, and each be charged once.
func TestLeaderDiesWhileAWarmPoolScalesOut(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(t *testing.T, w *fake.Cluster)
	}{
		{"between record and rental", func(_ *testing.T, w *fake.Cluster) {
			w.Cloud.SetOutage(true)
			for len(w.Store.Keys(jobstore.ScaleOutPrefix)) == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			w.KillNode(w.Leader())
			w.Cloud.SetOutage(false)
		}},
		{"while the rental is not answered", func(_ *testing.T, w *fake.Cluster) {
			w.Cloud.SetDropReplies(true)
			for len(w.Cloud.Machines()) == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			w.KillNode(w.Leader())
			w.Cloud.SetDropReplies(false)
		}},
		{"between rental and fetch", func(_ *testing.T, w *fake.Cluster) {
			for len(w.Cloud.Machines()) < 4 {
				time.Sleep(100 * time.Millisecond)
			}
			time.Sleep(5 * time.Second)
			w.KillNode(w.Leader())
		}},
		{"while weights are fetched, and all others too", func(_ *testing.T, w *fake.Cluster) {
			for w.PeakImageFetches() == 0 {
				time.Sleep(100 * time.Millisecond)
			}
			w.KillAll()
			time.Sleep(5 * time.Second)
			w.StartAll()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, poolCluster(0, 12), func(t *testing.T, w *fake.Cluster) {
				applyPlan(t, w, 0, poolPlan(4, 4, ""))
				c.fail(t, w)
				awaitWarm(t, w, "llm:v1", 4, 8*time.Minute)
				s := awaitPool(t, w, "full", 3*time.Minute, poolFull(4))
				checkChargesAddUp(t, s)
				if w.PeakImageFetches() > 2 {
					t.Errorf("%d machines fetched at the same time, want at most 2", w.PeakImageFetches())
				}
				time.Sleep(8 * time.Minute) // machines rented twice are scaled in
				if n := len(w.Cloud.Machines()); n != 4 {
					t.Errorf("%d machines, want 4", n)
				}
				checkChargesAddUp(t, poolState(t, w))
			})
		})
	}
}

// A pool shrinks from four machines to one. The leader is killed when machines are marked as
// leaving and not yet scaled in. The next leader must scale in three machines, keep one with the
// weights, and charge for all of them.
func TestLeaderDiesBetweenCordonAndScaleIn(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		applyPlan(t, w, 1, poolPlan(1, 4, ""))
		awaitPool(t, w, "releasing machines", time.Minute, func(s warmpool.State) bool {
			for _, m := range s.Shards[0].Members {
				if m.Leaving {
					return true
				}
			}
			return false
		})
		restartLeader(w)
		s := awaitPool(t, w, "down to one machine", 3*time.Minute, func(s warmpool.State) bool { return len(s.Shards[0].Members) == 1 })
		checkChargesAddUp(t, s)
		if n := len(w.Cloud.Machines()); n != 1 || len(w.MachinesWithImage("llm:v1")) != 1 {
			t.Errorf("%d machines, %d with weights, want 1 of each", n, len(w.MachinesWithImage("llm:v1")))
		}
		if s.Shards[0].ClosedCost.Ms < 3*60_000 {
			t.Errorf("three machines are charged for %d ms, want at least 180000", s.Shards[0].ClosedCost.Ms)
		}
	})
}

// The cloud answers rentals late, some machines never boot, or rentals time out and are repeated.
// The leader is restarted meanwhile. The pool must be filled, and no more than four machines may
// remain.
func TestCloudScalesOutLateNeverOrTwice(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *fake.Cluster)
	}{
		{"late", func(w *fake.Cluster) { w.Cloud.SetReplyDelay(40 * time.Second) }},
		{"some never", func(w *fake.Cluster) {
			w.Cloud.SetBootTimes(func(n int) time.Duration {
				if n%2 == 0 && n < 4 {
					return -1
				}
				return 10 * time.Second
			})
		}},
		{"twice", func(w *fake.Cluster) {
			w.Cloud.SetDropReplies(true)
			time.AfterFunc(25*time.Second, func() { w.Cloud.SetDropReplies(false) })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, poolCluster(0, 12), func(t *testing.T, w *fake.Cluster) {
				c.fail(w)
				applyPlan(t, w, 0, poolPlan(4, 4, ""))
				time.Sleep(30 * time.Second)
				restartLeader(w)
				awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
				time.Sleep(8 * time.Minute)
				if n := len(w.Cloud.Machines()); n != 4 {
					t.Errorf("%d machines, want 4", n)
				}
				checkChargesAddUp(t, poolState(t, w))
			})
		})
	}
}

// As a burst begins, a machine of the pool dies, hangs, gets no replies or is interrupted, and the
// leader is killed. The three replicas that have a warm machine must run at once. The fourth must
// run later, and the pool must be filled again.
func TestPoolMachineIsLostAsABurstBegins(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(w *fake.Cluster, name string)
	}{
		{"dies", func(w *fake.Cluster, n string) { w.KillMachine(n) }},
		{"hangs", func(w *fake.Cluster, n string) { w.HangMachine(n) }},
		{"is mute", func(w *fake.Cluster, n string) { w.BlockRepliesTo(n) }},
		{"is taken back", func(w *fake.Cluster, n string) {
			w.SendInterruptionNotice(n, 8*time.Second)
			time.AfterFunc(8*time.Second, func() {
				if slices.Contains(w.Cloud.Machines(), n) { // unless it has been scaled in by then
					w.KillMachine(n)
				}
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
				applyPlan(t, w, 0, poolPlan(4, 4, ""))
				awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
				c.lose(w, w.MachinesWithImage("llm:v1")[0])
				mustSubmit(t, w, replicas(1, 4))
				restartLeader(w)
				run := func() (n int) {
					for i := range 4 {
						n += len(w.MachinesRunning(fmt.Sprintf("wk-000001/%d", i)))
					}
					return n
				}
				if run() < 3 {
					t.Errorf("%d replicas run 12 s after the burst, want at least 3: three had a healthy machine with weights", run())
				}
				mustReach(t, w, "wk-000001", wire.JobRunning, time.Minute)
				awaitPool(t, w, "full again", 10*time.Minute, poolFull(4))
				for end := time.Now().Add(3 * time.Minute); run() < 4 && time.Now().Before(end); {
					time.Sleep(time.Second)
				}
				if run() != 4 {
					t.Errorf("%d replicas run, want 4", run())
				}
				checkChargesAddUp(t, poolState(t, w))
			})
		})
	}
}

// A machine fetches its image too slowly, and the leader is restarted meanwhile. The pool could
// wait for that machine forever. It must use another one and return the slow one.
func TestPoolMachineThatCannotFetchItsImageIsReplaced(t *testing.T) {
	runScenario(t, poolCluster(2, 4), func(t *testing.T, w *fake.Cluster) {
		slow := w.Cloud.Machines()[0]
		w.SlowImageFetch(slow)
		applyPlan(t, w, 0, poolPlan(2, 2, ""))
		time.Sleep(time.Minute)
		restartLeader(w)
		s := awaitPool(t, w, "full", 6*time.Minute, poolFull(2))
		if slices.Contains(w.MachinesWithImage("llm:v1"), slow) || s.Shards[0].Member(slow) != nil {
			t.Errorf("%s is in the pool although its fetches are too slow", slow)
		}
		checkChargesAddUp(t, s)
		time.Sleep(6 * time.Minute)
		if n := len(w.Cloud.Machines()); n != 2 {
			t.Errorf("%d machines, want 2: the slow one was not returned", n)
		}
	})
}

// The plan names version v1 of the weights, and a job arrives that uses v2. The pool must switch to
// v2 across a change of leader, with at most two machines fetching at a time.
func TestImageOfAWarmPoolChanges(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		mustSubmit(t, w, job(1, func(j *wire.Job) { *j = replicas(1, 1); j.Image = "llm:v2" }))
		restartLeader(w)
		awaitWarm(t, w, "llm:v2", 4, 8*time.Minute)
		s := awaitPool(t, w, "full of the new version", 2*time.Minute, poolFull(4))
		if s.Record.Image != "llm:v2" || w.PeakImageFetches() > 2 {
			t.Errorf("%+v, %d fetched at the same time", s.Record, w.PeakImageFetches())
		}
		checkChargesAddUp(t, s)
	})
}

// Two pools have images of 60 GB each, and a machine's cache takes 100 GB. On a shared machine, the
// fetch of one image would evict the other. Each pool must keep two machines of its own across a
// change of leader.
func TestTwoPoolsWhoseImagesDoNotFitTogether(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		second := strings.Replace(strings.Replace(poolPlan(2, 2, ""), `name = "llm"`, `name = "asr"`, 1), `model = "llm:v1"`, `model = "asr:v1"`, 1)
		text := strings.ReplaceAll(poolPlan(2, 2, "")+second, "gb = 40", "gb = 60")
		applyPlan(t, w, 0, text)
		awaitWarm(t, w, "llm:v1", 2, 10*time.Minute)
		awaitWarm(t, w, "asr:v1", 2, 5*time.Minute)
		restartLeader(w)
		time.Sleep(5 * time.Minute)
		a, b := w.MachinesWithImage("llm:v1"), w.MachinesWithImage("asr:v1")
		if len(a) != 2 || len(b) != 2 || len(w.Cloud.Machines()) != 4 {
			t.Errorf("machines %v hold the first image, %v the second, of %v; want 2, 2 and 4 in total", a, b, w.Cloud.Machines())
		}
	})
}

// Clinic jobs must preempt jobs that borrow machines of a pool. They have a higher tier by the
// plan's order, or a higher priority if the plan has no order. Other jobs must not take machines of
// the pool.
func TestUrgentJobsPreemptPoolBorrowers(t *testing.T) {
	for _, c := range []struct{ name, order, clinicPriority, otherPriority string }{
		{"by its priority", "", wire.PriorityHigh, wire.PriorityNormal},
		{"by the order", "[[order.tiers]]\nname = \"clinic\"\nclasses = [\"slicing\"]\n", wire.PriorityNormal, wire.PriorityNormal},
	} {
		t.Run(c.name, func(t *testing.T) { runClinicScenario(t, c.order, c.clinicPriority, c.otherPriority) })
	}
}

// runClinicScenario submits a clinic job, and another job that may not preempt, while the pool
// holds all machines.
func runClinicScenario(t *testing.T, order, clinicPriority, otherPriority string) {
	t.Helper()
	runScenario(t, poolCluster(0, 4), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, order))
		awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		other := func(n int, class, priority string) wire.Job {
			return job(n, func(j *wire.Job) {
				j.Class, j.Team, j.Priority, j.Tasks, j.CPUs, j.EstimateS, j.Image, j.ImageGB = class, "clinic", priority, 1, 8, 60, "slicer", 70
			})
		}
		long := other(1, "c", otherPriority)
		long.EstimateS = 3000
		mustSubmit(t, w, long, other(2, "slicing", clinicPriority))
		mustReach(t, w, "wk-000002", wire.JobDone, 4*time.Minute)
		if s := w.MachinesRunning("wk-000001/0"); len(s) > 0 {
			t.Errorf("a job that may not preempt took a machine of the pool: %v", s)
		}
		restartLeader(w)
		s := awaitPool(t, w, "full again", 5*time.Minute, poolFull(4))
		if s.Shards[0].Preemptions != 1 || !strings.Contains(s.Shards[0].LastPreemption, "wk-000002/0 of clinic") || s.Shards[0].Teams["clinic"].Ms < 50_000 {
			t.Errorf("recorded %+v, want one preemption by wk-000002/0 of clinic", s.Shards[0])
		}
		checkChargesAddUp(t, s)
		// The plan keeps the pool's machines from this job although they have room. It is cancelled
		// here, since at the end of the scenario no job may wait while there is room.
		w.Cancel(long.ID)
	})
}

// Tasks of a borrowing team run on the pool's machines when a burst arrives and the leader is
// killed. They must make room so fast that the replicas run within 35 s. The borrower must be
// charged for the time in which it used the machines.
func TestPoolIsLentOnlyToTasksThatStopInTime(t *testing.T) {
	runScenario(t, poolCluster(0, 4), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		mustSubmit(t, w, job(1, func(j *wire.Job) {
			j.Priority, j.Tasks, j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS, j.Image = wire.PriorityLow, 4, 8, 600, 60, 3, "craft"
		}))
		mustReach(t, w, "wk-000001", wire.JobRunning, time.Minute)
		time.Sleep(time.Minute)
		at := time.Now()
		mustSubmit(t, w, replicas(2, 4))
		restartLeader(w)
		for len(w.MachinesRunning("wk-000002/0"))*len(w.MachinesRunning("wk-000002/1"))*len(w.MachinesRunning("wk-000002/2"))*len(w.MachinesRunning("wk-000002/3")) == 0 {
			time.Sleep(100 * time.Millisecond)
			if time.Since(at) > 35*time.Second {
				t.Fatal("the replicas do not run within 35 s: their weights were not there, and a fetch takes 40 s")
			}
		}
		time.Sleep(20 * time.Second)
		s := poolState(t, w)
		if got := s.Shards[0].Teams["core"].Ms; got < 4*50_000 || got > 4*120_000 {
			t.Errorf("the borrower is charged for %d ms, want about a minute on each of four machines", got)
		}
		checkChargesAddUp(t, s)
	})
}

// The key-value store is out for a minute just after a burst was submitted. The time of the outage
// could be left out of the charges. Afterwards the replicas must run, the pool must be full, and
// the minute must be charged.
func TestKeyValueStoreOutageDuringABurst(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		before := awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		mustSubmit(t, w, replicas(1, 4))
		time.Sleep(500 * time.Millisecond)
		w.Store.SetOutage(true)
		time.Sleep(time.Minute)
		w.Store.SetOutage(false)
		mustReach(t, w, "wk-000001", wire.JobRunning, time.Minute)
		time.Sleep(2 * time.Minute)
		s := awaitPool(t, w, "full", time.Minute, poolFull(4))
		checkChargesAddUp(t, s)
		if len(s.Shards[0].Members) != 4 || s.Shards[0].AtMs-before.Shards[0].AtMs < 100_000 {
			t.Errorf("the minute of the outage was not charged: %+v", s.Shards[0])
		}
	})
}

// Service replicas run while no plan is in force. No state of a pool may be recorded for them.
func TestWithoutAPlanNothingIsRecorded(t *testing.T) {
	runScenario(t, poolCluster(2, 4), func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, replicas(1, 2))
		mustReach(t, w, "wk-000001", wire.JobRunning, 2*time.Minute)
		if keys := w.Store.Keys(jobstore.PlanStatePrefix); len(keys) > 0 {
			t.Errorf("records without a plan: %v", keys)
		}
	})
}

// Workers refuse the pool's prefetch jobs, so that it can't fetch weights itself. The pool must
// take machines as warm on which replicas have fetched them, also after a change of leader and the
// end of the replicas.
func TestWorkersWithoutPrefetchAreWarmedByReplicas(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		w.RejectUnknownJobs()
		applyPlan(t, w, 0, poolPlan(2, 4, ""))
		awaitPool(t, w, "marked as refusing fetches", 5*time.Minute, func(s warmpool.State) bool { return s.Record.FetchRefused != "" })
		mustSubmit(t, w, replicas(1, 4))
		awaitWarm(t, w, "llm:v1", 4, 5*time.Minute)
		restartLeader(w)
		if s := w.Cancel("wk-000001"); s != wire.JobCancelled {
			t.Fatalf("cancellation returned %q", s)
		}
		// The peak demand of the hour was four, so four machines are kept for the rest of the hour.
		time.Sleep(10 * time.Minute)
		s := poolState(t, w)
		if n := len(w.MachinesWithImage("llm:v1")); n < 2 || s.Record.Warm != n {
			t.Errorf("%d machines hold the weights, want at least 2 and as many as recorded: %+v", n, s.Record)
		}
		checkChargesAddUp(t, s)
	})
}

// The recorded demand of a pool has a burst in one hour of the day. No machine may be rented half
// an hour before. Four must be warm when the hour begins, although the leader is restarted shortly
// before, and until it ends. Then they must be scaled in, and only about this hour be charged.
func TestScheduledPoolIsReadyForItsHourAndScaledInAfterIt(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		hour := time.Now().Truncate(time.Hour).Add(time.Hour)
		burst{replicas: 4}.writeDemandRecord(t, w, hour)
		applyPlan(t, w, 0, poolPlan(0, 4, ""))
		time.Sleep(time.Until(hour.Add(-30 * time.Minute)))
		if n := len(w.Cloud.Machines()); n != 0 {
			t.Errorf("%d machines half an hour before, want none", n)
		}
		time.Sleep(time.Until(hour.Add(-150 * time.Second)))
		restartLeader(w)
		time.Sleep(time.Until(hour))
		if n := len(w.MachinesWithImage("llm:v1")); n != 4 {
			t.Errorf("%d machines have the weights when the hour begins, want 4", n)
		}
		time.Sleep(time.Until(hour.Add(time.Hour)))
		if n := len(w.MachinesWithImage("llm:v1")); n != 4 {
			t.Errorf("%d machines have the weights when the hour ends, want 4", n)
		}
		time.Sleep(3 * time.Minute)
		s := poolState(t, w)
		checkChargesAddUp(t, s)
		if n := len(w.Cloud.Machines()); n != 0 || len(s.Shards[0].Members) != 0 {
			t.Errorf("%d machines, %d in the pool after the hour, want none", n, len(s.Shards[0].Members))
		}
		if h := float64(s.Shards[0].ClosedCost.Ms) / 3.6e6; h < 4 || h > 4.5 {
			t.Errorf("%.2f machine hours are charged, want 4 to 4.5", h)
		}
	})
}

// A warm pool with random combinations of all faults. Machines could be rented or charged twice, or
// missing from the pool. Afterwards the pool must be complete, every machine must have been charged
// once, and no rule violated.
func TestWarmPoolsSurviveFailovers(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			o := poolCluster(3, 14)
			o.Seed, o.Nodes = seed, 5
			runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
				rnd := rand.New(rand.NewPCG(seed, 11))
				applyPlan(t, w, 0, poolPlan(3, 6, ""))
				plan, next, running := scenario.Plans{Cluster: w, Version: 1}, 1, []string{}
				for range 60 {
					time.Sleep(time.Duration(5+rnd.IntN(15)) * time.Second)
					machines := w.Cloud.Machines()
					switch rnd.IntN(10) {
					case 0:
						restartLeader(w)
					case 1:
						i := rnd.IntN(5)
						w.PartitionNode(i, "state", "workers")
						time.AfterFunc(15*time.Second, func() { w.HealNode(i, "state", "workers") })
					case 2:
						w.Store.SetOutage(true)
						time.Sleep(8 * time.Second)
						w.Store.SetOutage(false)
					case 3:
						w.Store.DelayNextTransaction(20 * time.Second)
					case 4:
						if len(machines) > 0 {
							w.KillMachine(machines[rnd.IntN(len(machines))])
						}
					case 5:
						w.Cloud.SetDropReplies(true)
						time.AfterFunc(12*time.Second, func() { w.Cloud.SetDropReplies(false) })
					case 6:
						plan.Apply(poolPlan(rnd.IntN(5), 6, ""), time.Minute)
					case 7:
						if len(running) > 0 {
							w.Cancel(running[0])
							running = running[1:]
						}
					default:
						j := replicas(next, 1+rnd.IntN(3))
						if rnd.IntN(2) == 0 {
							j.Image = fmt.Sprintf("llm:v%d", 1+rnd.IntN(2))
						}
						if rnd.IntN(3) == 0 {
							j.Kind, j.EstimateS, j.Image, j.Team, j.Priority = wire.KindArray, 30, "slicer", "clinic", wire.PriorityHigh
						} else {
							running = append(running, j.ID)
						}
						if w.Submit(j) {
							next++
						}
					}
				}
				for _, id := range running {
					w.Cancel(id)
				}
				w.StartAll()
				time.Sleep(90 * time.Second)
				for k := 0; !plan.Apply(poolPlan(4, 4, ""), time.Minute); k++ {
					if k == 100 {
						t.Fatal("no plan could be applied in 101 attempts")
					}
				}
				s := awaitPool(t, w, "full", 15*time.Minute, poolFull(4))
				checkChargesAddUp(t, s)
			})
		})
	}
}

// All nodes are down while a plan with another payer is applied. The machines' use during that time
// could be lost or charged to the wrong team. It must be charged to the first payer, and later use
// to the second.
func TestUsageWithoutALeaderIsChargedToItsTeam(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(4, 4, ""))
		before := awaitPool(t, w, "full", 10*time.Minute, poolFull(4))
		w.KillAll()
		time.Sleep(9 * time.Second) // the workers' leases outlast this
		applyPlan(t, w, 1, strings.Replace(poolPlan(4, 4, ""), `payer = "speech"`, `payer = "clinic"`, 1))
		back := time.Now()
		w.StartAll()
		// Charges are committed once a minute. How much of the time since the restart they include
		// depends on when the next leader began.
		s := awaitPool(t, w, "charged", 3*time.Minute, func(s warmpool.State) bool {
			return s.Record.Payer == "clinic" && s.Shards[0].AtMs >= back.Add(50*time.Second).UnixMilli()
		})
		checkChargesAddUp(t, s)
		was, is, next := before.Shards[0], s.Shards[0].Teams["speech"].Ms, s.Shards[0].Teams["clinic"].Ms
		if gap := is - was.Teams["speech"].Ms; gap < 4*9_000 || gap > 4*90_000 || next < 4*30_000 || s.Record.Payer != "clinic" {
			t.Errorf("the first payer is charged %d ms more, the second %d", gap, next)
		}
	})
}

// All nodes are killed, and no version of the plan can be decoded when they are back. A leader
// could take this for a plan without pools and scale in the machines. They must keep their weights
// until a plan is applied again.
func TestWarmPoolSurvivesALostPlan(t *testing.T) {
	runScenario(t, poolCluster(0, 8), func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, poolPlan(2, 2, ""))
		awaitPool(t, w, "full", 10*time.Minute, poolFull(2))
		held := w.MachinesWithImage("llm:v1")
		w.KillAll()
		for _, k := range w.Store.Keys("plan/t/") {
			w.Store.Corrupt(k)
		}
		w.StartAll()
		time.Sleep(10 * time.Minute)
		applyPlan(t, w, 1, poolPlan(2, 2, ""))
		time.Sleep(time.Minute)
		if now := w.MachinesWithImage("llm:v1"); !slices.Equal(now, held) || len(w.Cloud.Machines()) != 2 {
			t.Errorf("machines %v held the weights before, now %v of %v", held, now, w.Cloud.Machines())
		}
		checkChargesAddUp(t, awaitPool(t, w, "full", time.Minute, poolFull(2)))
	})
}
