// Scenarios of the plan's priority tiers while leaders fail and plans change, and of explanations
// of why a job waits.

package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// storeClient returns a user's client of the key-value store.
func storeClient(w *fake.Cluster) *kvstore.Client {
	return kvstore.New(w.Network.Dial("user"), "state:1", 200, 100)
}

// explainWaiting returns why a job waits. If the job is finished, it returns the job's final state
// instead.
func explainWaiting(t *testing.T, w *fake.Cluster, id string) (explanation cluster.Explanation, finalState string) {
	t.Helper()
	explanation, finalState, err := controller.WhyWaiting(t.Context(), w.Settings, storeClient(w), id, time.Now())
	if err != nil {
		t.Fatalf("explanation of %s: %v", id, err)
	}
	return explanation, finalState
}

// Operators need explanations during outages. The explanation of a waiting job must be computed
// from the records alone, also while no node is up.
func TestExplanationOfAWaitingJobWithoutALeader(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 8}, {Name: "edge"}}
	runScenario(t, fake.Options{Machines: 3, Capacity: 3, Teams: teams}, func(t *testing.T, w *fake.Cluster) {
		long := func(j *wire.Job) { j.CPUs, j.EstimateS = 4, 500 }
		mustSubmit(t, w, job(1, long))
		time.Sleep(5 * time.Second)
		mustSubmit(t, w, job(2, long), job(3, func(j *wire.Job) { long(j); j.Team, j.Tasks = "edge", 6 }), job(4, func(j *wire.Job) { j.EstimateS = 5; j.Team = "edge" }),
			job(5, func(j *wire.Job) {
				long(j)
				j.Team, j.Priority = "edge", wire.PriorityHigh
				j.Kind = wire.KindGang
				j.Tasks = 7
			}))
		w.Cancel("wk-000004")
		time.Sleep(10 * time.Second)
		w.KillAll()
		got, _ := explainWaiting(t, w, "wk-000002")
		if len(got.PendingReasons) == 0 || !strings.HasPrefix(got.PendingReasons[0], "its team's limit: 8 of 8 CPUs") {
			t.Errorf("explanation %+v, want the team's limit as the first reason", got)
		}
		if got, _ = explainWaiting(t, w, "wk-000003"); got.AheadByReason["priority"] != 1 || !slices.ContainsFunc(got.Nearest, func(a cluster.JobAhead) bool { return a.ID == "wk-000005" }) {
			t.Errorf("explanation %+v, want wk-000005 ahead by its priority", got)
		}
		if got, _ = explainWaiting(t, w, "wk-000001"); len(got.PendingReasons) != 0 || got.Placed != 2 {
			t.Errorf("explanation %+v, want two placed tasks and no reason to wait", got)
		}
		if _, finalState := explainWaiting(t, w, "wk-000004"); finalState != wire.JobCancelled {
			t.Errorf("the final state of a cancelled job is %q", finalState)
		}
		if _, _, err := controller.WhyWaiting(t.Context(), w.Settings, storeClient(w), "wk-777777", time.Now()); err == nil {
			t.Error("an unknown job is explained, want an error")
		}
	})
}

// tierPlan returns a plan with one priority tier for each of the classes, the highest first. All
// but the first have a longest wait of 240 s.
func tierPlan(classes ...string) string {
	var out strings.Builder
	for i, c := range classes {
		fmt.Fprintf(&out, "[[order.tiers]]\nname = %q\nclasses = [%q]\n", c, c)
		if i > 0 {
			out.WriteString("longest_wait_s = 240\n")
		}
	}
	return out.String()
}

// wholeMachineJob returns a job with one task that takes a whole machine.
func wholeMachineJob(n int, class string, seconds float64) wire.Job {
	return job(n, func(j *wire.Job) { j.Class, j.Tasks, j.CPUs, j.EstimateS = class, 1, 8, seconds })
}

// awaitFirstRunning waits until task 0 of one of the jobs is on a machine, and returns that job's
// id.
func awaitFirstRunning(t *testing.T, w *fake.Cluster, within time.Duration, ids ...string) string {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for _, id := range ids {
			if len(w.MachinesRunning(id+"/0")) > 0 {
				return id
			}
		}
	}
	t.Fatalf("none of %v is on a machine within %v", ids, within)
	return ""
}

// A leader that has read one version of the plan fails while a newer version is applied. That
// leader, a transaction that it sent and that is carried out a minute late, or the next leader
// could place tasks by the older tiers. The first task placed must be the one that the newer tiers
// put first.
func TestNothingIsPlacedUnderAnOlderPlan(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *fake.Cluster) (end func())
	}{
		{"crashes", crashLeader},
		{"stands still", stallLeader},
		{"stands still for a moment", func(w *fake.Cluster) func() {
			time.AfterFunc(3*time.Second, stallLeader(w))
			return func() {}
		}},
		{"is cut off from the state service", partitionLeaderFromStore},
		{"is refused by it", func(w *fake.Cluster) func() {
			l := w.Leader()
			w.Store.RefuseNode(fmt.Sprintf("n-%d", l))
			return func() { w.Store.AcceptNode(fmt.Sprintf("n-%d", l)) }
		}},
		{"is cut off from all", func(w *fake.Cluster) func() {
			l := w.Leader()
			w.PartitionNode(l, everything...)
			return func() { w.HealNode(l, everything...) }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
				time.Sleep(5 * time.Second)
				applyPlan(t, w, 0, tierPlan("craft", "clinic"))
				mustSubmit(t, w, wholeMachineJob(1, "other", 30))
				time.Sleep(10 * time.Second)
				mustSubmit(t, w, wholeMachineJob(2, "craft", 30), wholeMachineJob(3, "clinic", 30), wholeMachineJob(4, "craft", 30))
				time.Sleep(5 * time.Second)
				end := c.fail(w)
				applyPlan(t, w, 1, tierPlan("clinic", "craft"))
				if got := awaitFirstRunning(t, w, 2*time.Minute, "wk-000002", "wk-000003", "wk-000004"); got != "wk-000003" {
					t.Errorf("%s was placed first, by the tiers of the older plan", got)
				}
				end()
				mustFinish(t, w, 4*time.Minute, 1, 2, 3, 4)
			})
		})
	}
}

// awaitRunning waits until task 0 of each job is on a machine, and returns these machines.
func awaitRunning(t *testing.T, w *fake.Cluster, ids ...string) (on []string) {
	t.Helper()
	for _, id := range ids {
		awaitFirstRunning(t, w, time.Minute, id)
		on = append(on, w.MachinesRunning(id + "/0")[0])
	}
	return on
}

// The order of the tiers is reversed while the leader can't learn of it: it is partitioned, refused
// or paused, or its store is slow. Then a heartbeat shows it that a team has quota again for a job
// of high priority, which preempts other tasks. The leader must not preempt a task that only the
// older order preempts first.
func TestNoPreemptionUnderAnOlderPlan(t *testing.T) {
	at := func(typ string) func(*wire.Job) { return func(j *wire.Job) { j.Types = []string{typ} } }
	typ := func(name string) wire.MachineType { v := fake.DefaultType; v.Name = name; return v }
	for _, c := range []struct {
		name string
		fail func(w *fake.Cluster, leader int) (end func())
	}{
		{"is cut off from the state service", func(w *fake.Cluster, l int) func() {
			w.PartitionNode(l, "state")
			return func() { w.HealNode(l, "state") }
		}},
		{"is refused by it", func(w *fake.Cluster, l int) func() {
			w.Store.RefuseNode(fmt.Sprintf("n-%d", l))
			return func() { w.Store.AcceptNode(fmt.Sprintf("n-%d", l)) }
		}},
		{"stands still for a moment", func(w *fake.Cluster, l int) func() {
			w.PauseNode(l)
			time.AfterFunc(4*time.Second, func() { w.ResumeNode(l) })
			return func() {}
		}},
		{"finds the key-value store slow", func(w *fake.Cluster, _ int) func() {
			w.Store.SetLatency(300 * time.Millisecond)
			return func() { w.Store.SetLatency(0) }
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			teams := []config.Team{{Name: "core"}, {Name: "edge", CPUsMax: 8}}
			runScenario(t, fake.Options{Machines: 3, Capacity: 3, Types: []wire.MachineType{typ("m8"), typ("m9"), typ("m8")}, Teams: teams, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
				urgent := func(n int, seconds float64, change func(*wire.Job)) wire.Job {
					j := wholeMachineJob(n, "other", seconds)
					j.Team, j.Priority = "edge", wire.PriorityHigh
					change(&j)
					return j
				}
				applyPlan(t, w, 0, tierPlan("craft", "clinic"))
				mustSubmit(t, w, wholeMachineJob(2, "craft", 300), wholeMachineJob(3, "clinic", 300), urgent(1, 40, at("m9")))
				on := awaitRunning(t, w, "wk-000002", "wk-000003", "wk-000001")
				mustSubmit(t, w, urgent(4, 20, at("m8"))) // waits, since its team is at its quota
				time.Sleep(37 * time.Second)
				l := w.Leader()
				end := c.fail(w, l)
				applyPlan(t, w, 1, tierPlan("clinic", "craft"))
				for began := time.Now(); len(w.MachinesRunning("wk-000004/0")) == 0; time.Sleep(100 * time.Millisecond) {
					if time.Since(began) > 2*time.Minute {
						t.Fatal("no task is preempted for the job of high priority")
					}
					if len(w.MachinesRunning("wk-000003/0")) == 0 && w.Leader() == l {
						t.Fatal("the clinic job is preempted, by the tiers of the older plan")
					}
				}
				// By then a next leader may have had a heartbeat from only one machine.
				if got := w.MachinesRunning("wk-000004/0")[0]; got != on[0] && w.Leader() == l {
					t.Errorf("the job of high priority is on %s, want the machine of the preempted craft job %s", got, on[0])
				}
				end()
			})
		})
	}
}

// The plan is changed twice while a transaction that places tasks by the first version hangs. The
// transaction is carried out a minute late, with its leader still running or killed. It must place
// nothing.
func TestLateTransactionDoesNotPlaceUnderAnOlderPlan(t *testing.T) {
	for _, killLeader := range []bool{false, true} {
		t.Run(fmt.Sprint("the leader dies: ", killLeader), func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
				time.Sleep(5 * time.Second)
				applyPlan(t, w, 0, tierPlan("craft", "clinic"))
				mustSubmit(t, w, wholeMachineJob(1, "other", 30))
				mustReach(t, w, "wk-000001", wire.JobRunning, 30*time.Second)
				// The jobs are submitted shortly before the machine becomes free, so that the next
				// transaction is the placement.
				mustSubmit(t, w, wholeMachineJob(2, "craft", 20), wholeMachineJob(3, "clinic", 20))
				for len(w.MachinesRunning("wk-000001/0")) > 0 {
					time.Sleep(20 * time.Millisecond)
				}
				w.Store.DelayNextTransaction(time.Minute)
				time.Sleep(time.Second)
				applyPlan(t, w, 1, tierPlan("clinic", "craft"))
				if killLeader {
					w.KillNode(w.Leader())
				}
				applyPlan(t, w, 2, "note = \"the same again\"\n"+tierPlan("clinic", "craft"))
				if got := awaitFirstRunning(t, w, 2*time.Minute, "wk-000002", "wk-000003"); got != "wk-000003" {
					t.Errorf("%s was placed first, by the tiers of the first plan", got)
				}
				mustReach(t, w, "wk-000002", wire.JobDone, 3*time.Minute)
			})
		})
	}
}

// Each node knows a different older version of the plan, and none knows the newest. All are back at
// once, with the versions that they hold in memory or restarted. Tasks must be placed by the newest
// version.
func TestNodesWithDifferentOlderPlansPlaceByTheNewest(t *testing.T) {
	for _, restart := range []bool{false, true} {
		t.Run(fmt.Sprint("restarted: ", restart), func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
				time.Sleep(5 * time.Second)
				applyPlan(t, w, 0, tierPlan("craft", "clinic", "school"))
				mustSubmit(t, w, wholeMachineJob(1, "other", 30))
				time.Sleep(10 * time.Second)
				mustSubmit(t, w, wholeMachineJob(2, "craft", 20), wholeMachineJob(3, "school", 20), wholeMachineJob(4, "clinic", 20))
				for i, next := range []string{tierPlan("school", "clinic", "craft"), tierPlan("craft", "school", "clinic"), tierPlan("clinic", "school", "craft")} {
					w.PartitionNode(i, "state", "nodes")
					applyPlan(t, w, i+1, next)
					time.Sleep(3 * time.Second)
				}
				for i := range 3 {
					if restart {
						w.KillNode(i)
					}
				}
				for i := range 3 {
					w.HealNode(i, "state", "nodes")
					w.StartNode(i)
				}
				if got := awaitFirstRunning(t, w, 2*time.Minute, "wk-000002", "wk-000003", "wk-000004"); got != "wk-000004" {
					t.Errorf("%s was placed first, by the tiers of an older plan", got)
				}
				mustFinish(t, w, 4*time.Minute, 2, 3, 4)
			})
		})
	}
}

// The newest version of the plan can't be decoded. A leader could then act as if there were no
// plan. The previous version must stay in force.
func TestDamagedPlanLeavesThePreviousOneInForce(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, tierPlan("clinic", "craft"))
		applyPlan(t, w, 1, tierPlan("craft", "clinic"))
		mustSubmit(t, w, wholeMachineJob(1, "other", 30))
		time.Sleep(8 * time.Second)
		w.KillAll()
		for _, k := range w.Store.Keys("plan/t/2-") {
			w.Store.Corrupt(k)
		}
		w.StartAll()
		mustSubmit(t, w, wholeMachineJob(2, "craft", 20), wholeMachineJob(3, "clinic", 20))
		if got, _ := explainWaiting(t, w, "wk-000002"); got.Tier != "craft" || got.AheadByReason["tier"] != 1 {
			t.Errorf("explanation %+v, want tier craft and one job ahead by its tier", got)
		}
		if got := awaitFirstRunning(t, w, 2*time.Minute, "wk-000002", "wk-000003"); got != "wk-000003" {
			t.Errorf("%s was placed first, want the clinic job", got)
		}
	})
}

// According to the schema record, the plan in force was written by a later version of the program.
// Restarted nodes of this version would place tasks by the parts that they know. They must not
// lead, and nothing may be placed, until the schema version is one that they can read.
func TestVersionThatCannotReadThePlanDoesNotLead(t *testing.T) {
	runScenario(t, fake.Options{Machines: 1, Capacity: 1, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, tierPlan("clinic", "craft"))
		mustSubmit(t, w, wholeMachineJob(1, "other", 15))
		time.Sleep(6 * time.Second)
		mustSubmit(t, w, wholeMachineJob(2, "craft", 20), wholeMachineJob(3, "clinic", 20))
		w.KillAll()
		changeSchemaVersion := func(change int) {
			var rec jobstore.SchemaRecord
			if err := wire.Unmarshal(w.Store.Value(jobstore.SchemaKey), &rec); err != nil || rec.Version < jobstore.SchemaPlans {
				t.Fatalf("with a plan in force the records have schema version %d, which versions without plans read: %v", rec.Version, err)
			}
			rec.Version += change
			if _, err := storeClient(w).CompareAndSwap(t.Context(), nil, []wire.Op{{Put: jobstore.SchemaKey, Value: rec}}); err != nil {
				t.Fatal(err)
			}
		}
		changeSchemaVersion(jobstore.LatestSchema + 1 - jobstore.SchemaPlans)
		w.StartAll()
		time.Sleep(40 * time.Second)
		if on := append(w.MachinesRunning("wk-000002/0"), w.MachinesRunning("wk-000003/0")...); len(on) > 0 {
			t.Error("a version that can't read the plan has placed tasks")
		}
		changeSchemaVersion(jobstore.SchemaPlans - jobstore.LatestSchema - 1)
		if got := awaitFirstRunning(t, w, 2*time.Minute, "wk-000002", "wk-000003"); got != "wk-000003" {
			t.Errorf("%s was placed first, want the clinic job", got)
		}
	})
}

// Jobs of the highest tier arrive all the time while leaders are killed in turn. The lower tiers
// could starve. Each of their jobs must begin within the bound, ahead of waiting jobs of the
// highest tier. Leaders must count these starts as priority inversions.
func TestEndlessUrgentJobsStarveNobodyDuringFailovers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Capacity: 4, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, strings.ReplaceAll(tierPlan("clinic", "school", "craft"), "240", "60"))
		waits := map[string]time.Duration{}
		submittedAt := map[string]time.Time{}
		n, started := 1, time.Now()
		for step := 0; time.Since(started) < 10*time.Minute; step++ {
			for range 3 {
				mustSubmit(t, w, job(n, func(j *wire.Job) { j.Class, j.Tasks, j.CPUs, j.EstimateS = "clinic", 1, 4, 20 }))
				n++
			}
			if step%6 == 0 {
				for _, c := range []string{"school", "craft"} {
					j := job(n, func(j *wire.Job) { j.Class, j.Tasks, j.CPUs, j.EstimateS = c, 1, 4, 20 })
					mustSubmit(t, w, j)
					submittedAt[j.ID] = time.Now()
					n++
				}
			}
			if step%16 == 15 {
				l := w.Leader()
				w.KillNode(l)
				time.AfterFunc(20*time.Second, func() { w.StartNode(l) })
			}
			for range 10 {
				time.Sleep(500 * time.Millisecond)
				for id, at := range submittedAt {
					if _, ok := waits[id]; !ok && len(w.MachinesRunning(id+"/0")) > 0 {
						waits[id] = time.Since(at)
					}
				}
			}
		}
		const maxWait = 180 * time.Second // the tier's longest wait of 60 s, the jobs ahead, and failovers
		longestWait := time.Duration(0)
		for id, at := range submittedAt {
			longestWait = max(longestWait, waits[id])
			if d, ok := waits[id]; ok && d > maxWait || !ok && time.Since(at) > maxWait {
				t.Errorf("%s has begun: %t, after %v; want a start within the bound", id, ok, d)
			}
		}
		t.Logf("%d of %d began, the last after %v", len(waits), len(submittedAt), longestWait)
		time.Sleep(40 * time.Second) // the last killed node is back, and there is a leader
		counted := uint64(0)
		for _, o := range getOverview(t, w, w.Leader()).Cluster.PriorityInversions {
			counted += o
		}
		if len(waits) < 12 || counted < uint64(len(waits))/2 {
			t.Errorf("%d jobs of lower tiers began, want at least 12; %d priority inversions are counted, want at least half as many", len(waits), counted)
		}
	})
}
