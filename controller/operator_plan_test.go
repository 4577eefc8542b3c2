package controller_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// awaitPlanVersion waits until each of the given nodes knows a version of the plan.
func awaitPlanVersion(t *testing.T, w *fake.Cluster, version int, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		o := getOverview(t, w, i)
		if !scenario.Eventually(30*time.Second, 500*time.Millisecond, func() bool {
			o = getOverview(t, w, i)
			return o.Plan != nil && o.Plan.Version == version && !o.Plan.Unreadable
		}) {
			t.Fatalf("node %d knows %+v, not version %d", i, o.Plan, version)
		}
	}
}

// Each leader in turn is killed, paused or partitioned from the store as a plan is applied, and a
// transaction of one is carried out a minute late. The store's checker verifies that every
// placement has the plan in force as a guard; every job is done, once.
func TestPlansAreAppliedWhileLeadersFail(t *testing.T) {
	runScenario(t, fake.Options{Machines: 6, Metrics: true, Nodes: 5}, func(t *testing.T, w *fake.Cluster) {
		next := 1
		submit := func(n int) {
			for range n {
				mustSubmit(t, w, job(next, func(j *wire.Job) { j.EstimateS = 12 }))
				next++
			}
		}
		submit(4)
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, `note = "before"`) // the first plan requires every node to be up
		version := 1
		for round, trouble := range []func(w *fake.Cluster) func(){crashLeader, stallLeader, partitionLeaderFromStore, func(w *fake.Cluster) func() {
			w.Store.DelayNextTransaction(time.Minute)
			submit(2)
			return crashLeader(w)
		}} {
			submit(3)
			end := trouble(w)
			for range 2 { // twice, during the fault
				applyPlan(t, w, version, fmt.Sprintf("note = \"round %d\"", round))
				version++
				submit(2)
			}
			time.Sleep(12 * time.Second)
			end()
			time.Sleep(8 * time.Second)
		}
		time.Sleep(time.Minute)
		awaitPlanVersion(t, w, version, 0, 1, 2, 3, 4)
		for n := 1; n < next; n++ {
			mustFinish(t, w, 3*time.Minute, n)
		}
		if w.RanMoreThanOnce() > 0 {
			t.Errorf("%d tasks were done twice", w.RanMoreThanOnce())
		}
	})
}

// All nodes are killed at once just after a plan is applied: the next leader reads the plan before
// it places anything, also where the newest record is damaged.
func TestNewLeaderReadsThePlanBeforeItPlaces(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, `note = "one"`)
		applyPlan(t, w, 1, `note = "two"`)
		w.KillAll()
		for _, k := range w.Store.Keys("plan/t/2-") {
			w.Store.Corrupt(k)
		}
		w.StartAll()
		mustSubmit(t, w, job(1, nil))
		mustFinish(t, w, 2*time.Minute, 1)
		awaitPlanVersion(t, w, 1, 0, 1, 2)
		applyPlan(t, w, 2, `note = "three"`)
		awaitPlanVersion(t, w, 3, 0, 1, 2)
	})
}

// When no version of the plan can be decoded any more, running tasks go on and submissions are
// accepted, but nothing is placed as if there were no plan, until a plan is applied.
func TestNothingIsPlacedUnderALostPlan(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
		time.Sleep(5 * time.Second)
		applyPlan(t, w, 0, `note = "one"`)
		w.KillAll()
		for _, k := range w.Store.Keys("plan/t/") {
			w.Store.Corrupt(k)
		}
		w.StartAll()
		mustSubmit(t, w, job(2, nil))
		mustFinish(t, w, 2*time.Minute, 1)
		if len(w.MachinesRunning("wk-000002/0"))+len(w.MachinesRunning("wk-000002/1")) > 0 || w.Started() > 2 {
			t.Errorf("%d tasks were started by a plan that nobody can read", w.Started())
		}
		if o := getOverview(t, w, 0); o.Plan == nil || !o.Plan.Unreadable {
			t.Errorf("status says %+v", o.Plan)
		}
		applyPlan(t, w, 1, `note = "two"`)
		mustFinish(t, w, 2*time.Minute, 2)
	})
}

// As long as one node's version does not support plans, none is applied. Once a plan is applied,
// the records have a schema version under which such a node does not lead: it would place tasks
// without the plan's tiers.
func TestNoPlanIsAppliedBeforeEveryNodeReadsPlans(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Metrics: true, OlderSchema: []int{2}}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		if _, err := scenario.TryPlan(w, 0, `note = "one"`, time.Minute); !errors.Is(err, jobstore.ErrPlanUnsupported) {
			t.Fatalf("with a node that reads no plans: %v", err)
		}
		if o := getOverview(t, w, 0); o.Plan != nil {
			t.Fatalf("refused, and known: %+v", o.Plan)
		}
		w.KillNode(2)
		w.UpgradeSchema(2)
		w.StartNode(2)
		time.Sleep(10 * time.Second)
		applyPlan(t, w, 0, `note = "one"`)
		var form jobstore.SchemaRecord
		if err := wire.Unmarshal(w.Store.Value(jobstore.SchemaKey), &form); err != nil || form.Version != jobstore.SchemaPlans {
			t.Fatalf("form %+v, %v", form, err)
		}
	})
}
