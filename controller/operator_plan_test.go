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

// awaitPlanVersion waits until each of the given nodes knows the version of the plan.
func awaitPlanVersion(t *testing.T, w *fake.Cluster, version int, nodes ...int) {
	t.Helper()
	for _, i := range nodes {
		o := getOverview(t, w, i)
		if !scenario.Eventually(30*time.Second, 500*time.Millisecond, func() bool {
			o = getOverview(t, w, i)
			return o.Plan != nil && o.Plan.Version == version && !o.Plan.Unreadable
		}) {
			t.Fatalf("node %d knows plan %+v, want version %d", i, o.Plan, version)
		}
	}
}

// Leaders are killed, paused or partitioned from the store while a plan is applied, and a
// transaction of one of them is carried out a minute late. Tasks could be placed under an outdated
// plan. The store's checker verifies that every placement is guarded by the plan in force. Every
// job must be done once.
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
		for round, injectFault := range []func(w *fake.Cluster) func(){crashLeader, stallLeader, partitionLeaderFromStore, func(w *fake.Cluster) func() {
			w.Store.DelayNextTransaction(time.Minute)
			submit(2)
			return crashLeader(w)
		}} {
			submit(3)
			end := injectFault(w)
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

// All nodes are killed just after a plan is applied, and the newest record of the plan is
// corrupted. The next leader must read a plan before it places tasks, and keep the previous version
// in force.
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

// No version of the plan can be decoded any more. A leader could then place tasks as if there were
// no plan. Running tasks must go on and submissions be accepted, but no task may be placed until a
// plan is applied.
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
			t.Errorf("%d tasks were started, want 2: none may start without a readable plan", w.Started())
		}
		if o := getOverview(t, w, 0); o.Plan == nil || !o.Plan.Unreadable {
			t.Errorf("status shows plan %+v, want an unreadable one", o.Plan)
		}
		applyPlan(t, w, 1, `note = "two"`)
		mustFinish(t, w, 2*time.Minute, 2)
	})
}

// A node whose version doesn't support plans would place tasks without the plan's tiers. So no plan
// may be applied as long as there is such a node. Once a plan is applied, the records must have a
// schema version under which such a node doesn't lead.
func TestNoPlanIsAppliedBeforeEveryNodeReadsPlans(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Metrics: true, OlderSchema: []int{2}}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(5 * time.Second)
		if _, err := scenario.TryPlan(w, 0, `note = "one"`, time.Minute); !errors.Is(err, jobstore.ErrPlanUnsupported) {
			t.Fatalf("applying a plan with a node that does not support plans: %v, want ErrPlanUnsupported", err)
		}
		if o := getOverview(t, w, 0); o.Plan != nil {
			t.Fatalf("node 0 knows the refused plan %+v", o.Plan)
		}
		w.KillNode(2)
		w.UpgradeSchema(2)
		w.StartNode(2)
		time.Sleep(10 * time.Second)
		applyPlan(t, w, 0, `note = "one"`)
		var schema jobstore.SchemaRecord
		if err := wire.Unmarshal(w.Store.Value(jobstore.SchemaKey), &schema); err != nil || schema.Version != jobstore.SchemaPlans {
			t.Fatalf("schema record %+v (%v), want the version of plans", schema, err)
		}
	})
}
