// Scenarios of one fault or feature each: kinds of jobs, cancellations, lost nodes and machines,
// priorities, quotas and malformed submissions.

package controller_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
)

// The scenario helpers are shared with the tests of other packages.
var (
	runScenario = scenario.Run
	job         = scenario.Job
	gang        = scenario.AsGang
	mustSubmit  = scenario.MustSubmit
	mustReach   = scenario.MustReach
	mustFinish  = scenario.MustFinish
	applyPlan   = scenario.ApplyPlan
)

// An array, a gang in one zone and a spread service run without faults. The array and the gang must
// be done. The service must run until it is cancelled, and its tasks must then stop.
func TestArrayGangAndServiceRun(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, nil), job(2, func(j *wire.Job) { gang(j); j.Tasks = 3; j.OneZone = true }),
			job(3, func(j *wire.Job) { j.Kind = wire.KindService; j.Spread = true; j.EstimateS = 0; j.Tasks = 3 }))
		mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		mustReach(t, w, "wk-000002", wire.JobDone, time.Minute)
		mustReach(t, w, "wk-000003", wire.JobRunning, time.Minute)
		if s := w.Cancel("wk-000003"); s != wire.JobCancelled {
			t.Fatalf("cancellation returned %q", s)
		}
		time.Sleep(10 * time.Second)
		if on := w.MachinesRunning("wk-000003/0"); len(on) > 0 {
			t.Errorf("a cancelled task still runs on %v", on)
		}
	})
}

// All nodes are killed just after a job was cancelled. Nodes that start later could go on running
// it. The job must stay cancelled, its tasks must be gone in time, and no records of finished jobs
// may remain.
func TestCancellationSurvivesCrashOfAllControllers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Kind = wire.KindService; j.EstimateS = 0 }), job(2, nil))
		time.Sleep(8 * time.Second)
		w.Cancel("wk-000001")
		w.KillAll()
		time.Sleep(8 * time.Second)
		w.StartAll()
		mustReach(t, w, "wk-000002", wire.JobDone, 2*time.Minute)
		mustReach(t, w, "wk-000001", wire.JobCancelled, 5*time.Second)
		time.Sleep(40 * time.Second) // the checker reports tasks that outlast cancel_s
		if keys := w.Store.JobKeys(); len(keys) > 0 {
			t.Errorf("records of finished jobs remain: %v", keys)
		}
	})
}

// The transaction that commits a placement hangs. It is carried out long after its leader was
// killed, when the next leader may have placed the task elsewhere. The guard on the leader key must
// refuse it.
func TestLateTransactionOfADeadLeaderFails(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
		time.Sleep(3 * time.Second)
		w.Store.DelayNextTransaction(40 * time.Second)
		mustSubmit(t, w, job(2, func(j *wire.Job) { j.EstimateS = 60 }))
		w.KillNode(w.Leader())
		mustReach(t, w, "wk-000001", wire.JobDone, 3*time.Minute)
		mustReach(t, w, "wk-000002", wire.JobDone, 3*time.Minute)
	})
}

// A heartbeat from before a task was launched arrives after newer ones and does not list the task.
// A leader that took it for the machine's current state would start the task again.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1, Nodes: 1}, func(t *testing.T, w *fake.Cluster) {
		name := w.Cloud.Machines()[0]
		w.CaptureHeartbeat(name) // captured while the machine is empty: lists no task
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
		time.Sleep(8 * time.Second)
		if len(w.MachinesRunning("wk-000001/0")) != 1 {
			t.Fatal("task 0 does not run")
		}
		if status := w.ReplayHeartbeat(name, 0); status == 200 {
			t.Error("a heartbeat older than the newest one was answered 200")
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
		if n := w.Started(); n != 2 {
			t.Errorf("%d starts of two tasks", n)
		}
	})
}

// A machine hangs when its job is cancelled, and executes the stops after another job was
// submitted. The late stops must not affect the other job, which must be done.
func TestHungMachineExecutesLateStopsHarmlessly(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Kind = wire.KindService; j.EstimateS = 0; j.Tasks = 4; j.CPUs = 4 }))
		mustReach(t, w, "wk-000001", wire.JobRunning, 30*time.Second)
		time.Sleep(3 * time.Second)
		name := w.MachinesRunning("wk-000001/0")[0]
		w.HangMachine(name)
		w.Cancel("wk-000001")
		time.Sleep(9 * time.Second)
		mustSubmit(t, w, job(2, func(j *wire.Job) { j.Tasks = 4; j.CPUs = 4 }))
		w.ResumeMachine(name) // the machine now executes the stops that were sent to it
		mustReach(t, w, "wk-000002", wire.JobDone, 2*time.Minute)
	})
}

// The cloud rents machines, but replies only after the requests have timed out. A repetition under
// another name would rent more machines. A request must be repeated under the same name, and all
// machines must be returned once the job is done.
func TestUnansweredRentalIsNotRepeated(t *testing.T) {
	runScenario(t, fake.Options{Machines: 0, Capacity: 3}, func(t *testing.T, w *fake.Cluster) {
		w.Cloud.SetDropReplies(true)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks = 4; j.CPUs = 6 }))
		time.Sleep(12 * time.Second)
		w.Cloud.SetDropReplies(false)
		mustReach(t, w, "wk-000001", wire.JobDone, 4*time.Minute)
		if len(w.Cloud.RepeatedRentals()) == 0 {
			t.Error("the unanswered request was not repeated under the same name")
		}
		time.Sleep(2 * time.Minute)
		if left := w.Cloud.Machines(); len(left) > 0 {
			t.Errorf("machines were not returned: %v", left)
		}
	})
}

// For 18 s the leader is partitioned from the key-value store, from the workers or from everything,
// the store refuses it alone, or the store is out for all nodes. If leadership changes meanwhile,
// tasks could be lost or started twice. All jobs must be done, also one that is submitted
// afterwards.
func TestLeaderPartitionedFromTheKeyValueStore(t *testing.T) {
	for _, c := range []struct {
		name       string
		begin, end func(w *fake.Cluster, leader int)
	}{
		{"cut from the state service", func(w *fake.Cluster, l int) { w.PartitionNode(l, "state") },
			func(w *fake.Cluster, l int) { w.HealNode(l, "state") }},
		{"refused by it alone", func(w *fake.Cluster, l int) { w.Store.RefuseNode(fmt.Sprintf("n-%d", l)) },
			func(w *fake.Cluster, l int) { w.Store.AcceptNode(fmt.Sprintf("n-%d", l)) }},
		{"cut from the workers", func(w *fake.Cluster, l int) { w.PartitionNode(l, "workers") },
			func(w *fake.Cluster, l int) { w.HealNode(l, "workers") }},
		{"cut from everything", func(w *fake.Cluster, l int) { w.PartitionNode(l, "state", "workers", "nodes", "cloud", "user") },
			func(w *fake.Cluster, l int) { w.HealNode(l, "state", "workers", "nodes", "cloud", "user") }},
		{"outage for all", func(w *fake.Cluster, _ int) { w.Store.SetOutage(true) },
			func(w *fake.Cluster, _ int) { w.Store.SetOutage(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
				mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 70 }),
					job(2, func(j *wire.Job) { gang(j); j.Tasks = 3; j.EstimateS = 50 }))
				time.Sleep(8 * time.Second)
				leader := w.Leader()
				c.begin(w, leader)
				time.Sleep(18 * time.Second)
				c.end(w, leader)
				mustSubmit(t, w, job(3, nil))
				for _, id := range []string{"wk-000001", "wk-000002", "wk-000003"} {
					mustReach(t, w, id, wire.JobDone, 3*time.Minute)
				}
			})
		})
	}
}

// The key-value store refuses one node that does not lead. The node can't record a submission
// itself, and must still get it accepted.
func TestNodeRefusedByTheKeyValueStoreStillServesUsers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, w *fake.Cluster) {
		refused := (w.Leader() + 1) % 3
		w.Store.RefuseNode(fmt.Sprintf("n-%d", refused))
		time.Sleep(2 * time.Second)
		if status := w.PostSubmission(refused, job(1, nil)); status != 201 {
			t.Errorf("submission through the refused node answered %d", status)
		}
	})
}

// A machine that runs a task of a gang dies without notice. The gang and the other job must still
// be done.
func TestMachineLostWithoutInterruptionNotice(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks = 3; j.EstimateS = 40 }),
			job(2, func(j *wire.Job) { gang(j); j.Tasks = 3; j.CPUs = 4; j.EstimateS = 40 }))
		time.Sleep(10 * time.Second)
		w.KillMachine(w.MachinesRunning("wk-000002/1")[0])
		mustReach(t, w, "wk-000001", wire.JobDone, 3*time.Minute)
		mustReach(t, w, "wk-000002", wire.JobDone, 3*time.Minute)
	})
}

// A machine of a gang gets an interruption notice of 8 s. The gang must save a checkpoint before
// the machine is gone, or it would begin anew.
func TestInterruptionNoticeLetsAGangCheckpointTogether(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) {
			gang(j)
			j.Tasks, j.CPUs, j.EstimateS, j.CheckpointS = 2, 6, 60, 50
		}))
		time.Sleep(25 * time.Second)
		w.SendInterruptionNotice(w.MachinesRunning("wk-000001/0")[0], 8*time.Second)
		time.Sleep(8 * time.Second)
		// The first regular checkpoint would be at 50 s. Without a graceful eviction there would be
		// no saved progress.
		if got := w.CheckpointedProgress("wk-000001"); got < 10 {
			t.Errorf("saved progress of %g s, want at least 10 s", got)
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
	})
}

// One machine is faulty, and one job fails on every machine. The other jobs must be done despite
// the machine. The failing job must be restarted ever more rarely, since it would otherwise keep
// the machines busy.
func TestFaultyMachineIsAvoidedAndBrokenJobBacksOff(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 3}, func(t *testing.T, w *fake.Cluster) {
		w.MakeMachineFaulty(w.Cloud.Machines()[0])
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Class, j.Tasks = fake.BrokenClass, 1 }),
			job(2, func(j *wire.Job) { j.Tasks = 6 }), job(3, func(j *wire.Job) { j.Tasks = 6 }))
		mustReach(t, w, "wk-000002", wire.JobDone, 3*time.Minute)
		mustReach(t, w, "wk-000003", wire.JobDone, 3*time.Minute)
		before := w.Started()
		time.Sleep(2 * time.Minute)
		if n := w.Started() - before; n > 8 {
			t.Errorf("a job that fails everywhere was started %d times in two minutes, want at most 8", n)
		}
		if s := w.Cancel("wk-000001"); s != wire.JobCancelled {
			t.Errorf("cancellation returned %q", s)
		}
	})
}

// Tasks of low priority take the only machine. A job of the same priority must wait. A job of
// higher priority must preempt a task, which saves a checkpoint first.
func TestPriorityPreemptsAndEqualsDoNot(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1}, func(t *testing.T, w *fake.Cluster) {
		low := func(j *wire.Job) {
			j.Priority, j.Tasks, j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS = wire.PriorityLow, 2, 4, 100, 10, 2
		}
		mustSubmit(t, w, job(1, low))
		time.Sleep(15 * time.Second)
		mustSubmit(t, w, job(2, func(j *wire.Job) { low(j); j.EstimateS = 10 }))
		time.Sleep(10 * time.Second)
		if len(w.MachinesRunning("wk-000002/0"))+len(w.MachinesRunning("wk-000002/1")) > 0 {
			t.Error("a job preempted another of the same priority")
		}
		mustSubmit(t, w, job(3, func(j *wire.Job) { j.Tasks, j.CPUs = 1, 4 }))
		mustReach(t, w, "wk-000003", wire.JobDone, 40*time.Second)
		if w.CheckpointedProgress("wk-000001/0")+w.CheckpointedProgress("wk-000001/1") < 10 {
			t.Error("the preempted task saved no checkpoint")
		}
	})
}

// Team core wants more than its limit of 12 CPUs, and uses more than the 8 that are guaranteed to
// it. Team edge must get its guaranteed CPUs within a minute. A service that exceeds its team's
// limit could never run, and must be answered 422.
func TestTeamsKeepTheirLimitsAndGetTheirQuotas(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUs: 8, CPUsMax: 12}, {Name: "edge", CPUs: 8}}
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, Teams: teams}, func(t *testing.T, w *fake.Cluster) {
		long := func(j *wire.Job) { j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS = 4, 200, 5, 1 }
		mustSubmit(t, w, job(1, func(j *wire.Job) { long(j); j.Tasks = 4 }))
		time.Sleep(15 * time.Second)
		mustSubmit(t, w, job(2, func(j *wire.Job) { long(j); j.Team, j.EstimateS = "edge", 10 }))
		mustReach(t, w, "wk-000002", wire.JobDone, time.Minute)
		if w.PostSubmission(0, job(3, func(j *wire.Job) { j.Kind, j.Tasks, j.CPUs = wire.KindService, 4, 4 })) != 422 {
			t.Error("a service that exceeds its team's limit was not answered 422")
		}
	})
}

// Each node in turn is killed and started again 5 s later while tasks run. Another node must accept
// submissions at once, and no task may start twice.
func TestRollingRestart(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 8, 60 }))
		for i := range 3 {
			time.Sleep(12 * time.Second)
			w.KillNode(i)
			if status := w.PostSubmission((i+1)%3, job(10+i, nil)); status != 201 {
				t.Errorf("a node that is up answered the submission with %d, want 201", status)
			}
			time.Sleep(5 * time.Second)
			// A node that is back this early revokes its own former lease. The next leader then
			// answers workers well within their leases, so that no task starts twice.
			w.StartNode(i)
			mustSubmit(t, w, job(10+i, nil))
		}
		for _, id := range []string{"wk-000001", "wk-000010", "wk-000011", "wk-000012"} {
			mustReach(t, w, id, wire.JobDone, 2*time.Minute)
		}
		if n := w.Started(); n != 14 {
			t.Errorf("%d starts of 14 tasks", n)
		}
	})
}

// An array of the largest allowed size is run, and cancelled after its leader was killed. Work that
// grows with the number of tasks could delay scheduling or the cancellation. At least 100 tasks
// must be done in a minute, and the next leader must cancel the job.
func TestHugeArrayIsAcceptedRunAndCancelled(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = wire.MaxTasks, 1, 5 }))
		time.Sleep(time.Minute)
		if n := w.FinishedTasks("wk-000001"); n < 100 {
			t.Errorf("%d tasks done after a minute, want at least 100", n)
		}
		w.KillNode(w.Leader())
		time.Sleep(30 * time.Second)
		if s := w.Cancel("wk-000001"); s != wire.JobCancelled {
			t.Fatalf("cancellation returned %q", s)
		}
		time.Sleep(35 * time.Second)
	})
}

// A job that was accepted but can never run would wait forever. Malformed submissions must be
// answered 400, and jobs that no team or machine could run 422. Fields that are not known are
// ignored. A repeated id must be answered 200 whatever else the submission contains.
func TestInfeasibleSubmissionsAreAnsweredAtOnce(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1}, func(t *testing.T, w *fake.Cluster) {
		field := func(name string, v any) map[string]any {
			m := map[string]any{"nameId": "wk-000009", "filiere": "c", "atelier": "core", "facon": "sweep", "rang": "normal",
				"pieces": 2, "cpus": 1.0, "gpus": 0.0, "memoryGb": 1.0, "gabarit": "i", "pullGb": 1.0, "gammes": nil,
				"halle": nil, "oneZone": false, "apart": false, "pretes": false, "dureeS": 10.0, "jalonS": 0.0,
				"sauvegardeS": 0.0, "echeanceS": nil, "novelty": true}
			if v == "missing" {
				delete(m, name)
			} else {
				m[name] = v
			}
			return m
		}
		for _, c := range []struct {
			body any
			want int
		}{
			{[]string{"not", "a", "map"}, 400}, {"text", 400}, {field("pieces", -1), 400}, {field("pieces", 100_001), 400},
			{field("pieces", 1.5), 400}, {field("cpus", "two"), 400}, {field("cpus", -2.0), 400}, {field("rang", "low"), 400},
			{field("nameId", "job-1"), 400}, {field("gammes", []any{1}), 400}, {field("oneZone", "missing"), 400},
			{field("pad", string(make([]byte, 70<<10))), 400},
			{field("atelier", "nobody"), 422}, {field("cpus", 9.0), 422}, {field("halle", "z"), 422}, {field("gammes", []any{"x"}), 422},
			{field("novelty", 1), 201}, {field("novelty", 1), 200}, {field("cpus", 9.0), 200}, {field("pieces", "?"), 200},
		} {
			if got := w.PostSubmission(0, c.body); got != c.want {
				t.Errorf("%.60v answered %d, want %d", c.body, got, c.want)
			}
		}
		if got := w.PollState(w.NodeAddr(1), "wk-777777"); got != "" {
			t.Errorf("an unknown job has state %q", got)
		}
	})
}

// Machines are told to run the same task without a leader's decision. The scenarios rely on the
// checker to report this as a violation.
func TestCheckerDetectsViolations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 2, Capacity: 2})
		defer w.Close()
		time.Sleep(5 * time.Second)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.EstimateS, j.OneZone = 2, 60, true }))
		time.Sleep(10 * time.Second)
		for _, m := range w.Cloud.Machines() {
			w.LaunchWithoutLeader(m, "wk-000001/0")
		}
		time.Sleep(3 * time.Second)
		if len(w.Violations()) == 0 {
			t.Error("a task started twice without a violation")
		}
	})
}
