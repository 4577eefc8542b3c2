package cluster

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// A policy with a single tier must not change any decision. The same tasks are placed and stopped on
// the same machines and at the same times as without it, even if stops are held until the plan is
// confirmed.
func TestPolicyWithASingleTierChangesNoDecision(t *testing.T) {
	one := priority.New(&priority.Settings{Tiers: []priority.Tier{{Name: "all", Classes: []string{"slicing", "lesson", "print"}}}})
	for seed := range uint64(3) {
		var logs [3][]string
		for i, policy := range []*priority.Policy{nil, one, one} {
			sim := newFleetSimulation(6, policy)
			if i == 2 {
				sim.m.ExpectPlan()
			}
			sim.m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "slicing", WithinS: 30}, {Kind: "finished", Class: "lesson", WithinS: 200}}
			sim.runRandomLoad(seed, 300, func(r *rand.Rand) string { return []string{"slicing", "lesson", "print"}[r.IntN(3)] })
			logs[i] = sim.log
		}
		if len(logs[0]) < 100 || !strings.Contains(strings.Join(logs[0], ","), "stopped") || !slices.Equal(logs[0], logs[1]) || !slices.Equal(logs[0], logs[2]) {
			t.Fatalf("seed %d: %d starts and stops without a policy, %d with a single tier: want equal ones, at least 100 with a stop", seed, len(logs[0]), len(logs[1]))
		}
	}
}

// Each priority inversion must have a reason under random load. An unexplained one is a fault in the
// order of the queue or in the search for inversions.
func TestRandomLoadCausesNoUnexplainedPriorityInversion(t *testing.T) {
	all := map[string]uint64{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSimulation(rapid.IntRange(1, 6).Draw(t, "machines"), clinicFirstPolicy())
		sim.m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "slicing", WithinS: 30}}
		sim.m.guarantees[0] = placement.Resources{CPU: rapid.Float64Range(0, 30).Draw(t, "guarantee")}
		sim.m.teams[0].Max = placement.Resources{CPU: 25}
		sim.runRandomLoad(rapid.Uint64().Draw(t, "day"), 120, func(r *rand.Rand) string { return []string{"slicing", "lesson", "print", "else"}[r.IntN(4)] })
		for k, n := range sim.m.tiers.inversions.Counts {
			if all[k] += n; strings.HasSuffix(k, priority.Unexplained.String()) {
				t.Fatalf("got %d inversions %s, want none: %v", n, k, sim.m.tiers.inversions.Recent)
			}
		}
	})
	t.Log(all)
	if len(all) < 5 {
		t.Errorf("got %d kinds of priority inversions, want at least 5: %v", len(all), all)
	}
}

// Guards against starvation of lower tiers. Jobs of the highest tier arrive faster than they can be
// completed. The second tier must still get its share, and all jobs of lower tiers and of no tier
// must start within the bound.
func TestOverloadByTheHighestTierStarvesNoLowerTier(t *testing.T) {
	sim := newFleetSimulation(8, clinicFirstPolicy())
	stepsWithShare := 0
	for n, steps := 1, 0; sim.now < 900; sim.step() {
		for range 3 {
			sim.submit(n, "slicing", 2, 30, nil)
			n++
		}
		if steps++; steps%8 == 1 {
			for _, c := range []string{"lesson", "print", "else"} {
				sim.submit(n, c, 2, 40, nil)
				n++
			}
		}
		if usage := sim.m.tierUsage(sim.m.schedulableCapacity(at(sim.now))); sim.now > 120 && usage[1] >= 0.05 {
			stepsWithShare++
		}
	}
	late := map[string]int{}
	for id, acceptedAt := range sim.acceptedAt {
		class := "else"
		if j := sim.m.Job(id); j != nil {
			class = j.Spec.Class
		}
		if _, ok := sim.startWaits[id]; !ok && class != "slicing" && sim.now-acceptedAt > priority.StarvationBoundSeconds {
			late[class]++
		}
	}
	if len(late) > 0 || stepsWithShare < 400 {
		t.Errorf("jobs not started within the bound: got %v, want none; lessons had half their share in %d of 520 steps, want at least 400", late, stepsWithShare)
	}
}

// Tasks of the lower tier must be preempted first, and only by jobs of a higher priority.
func TestPreemptionStopsTheLowerTierFirst(t *testing.T) {
	sim := newFleetSimulation(2, clinicFirstPolicy())
	low := func(j *wire.Job) { j.Priority, j.CPUs = wire.PriorityLow, 4 }
	school, clinic := sim.submit(1, "lesson", 2, 500, low), sim.submit(2, "slicing", 2, 500, low)
	for range 6 {
		sim.step()
	}
	sim.submit(3, "print", 2, 20, func(j *wire.Job) { j.CPUs = 4 })
	sim.submit(4, "slicing", 2, 20, low) // of the same priority: it preempts no task
	for range 4 {
		sim.step()
	}
	stopped := func(id string) int {
		return len(slices.DeleteFunc(slices.Clone(sim.log), func(s string) bool { return !strings.Contains(s, id) || !strings.HasSuffix(s, "stopped") }))
	}
	if stopped(school) != 2 || stopped(clinic) != 0 {
		t.Errorf("stopped tasks: got %d of the school and %d of the clinic, want 2 and 0", stopped(school), stopped(clinic))
	}
}

// At a load of 1.3 times the fleet's capacity the policy must make jobs of the highest tier start
// much sooner. The other jobs must start within their longest wait plus the startup.
func TestHighestTierWaitsLeastUnderOverload(t *testing.T) {
	waits := func(policy *priority.Policy) map[string][]float64 {
		sim := newFleetSimulation(20, policy)
		rnd := rand.New(rand.NewPCG(3, 3))
		class := map[string]string{}
		for n := 1; sim.now < 1500; sim.step() {
			for range 1 + rnd.IntN(2) {
				c := []string{"slicing", "lesson", "print", "print", "lesson", "lesson"}[rnd.IntN(6)]
				if id := sim.submit(n, c, 1+rnd.IntN(4), float64(20+rnd.IntN(40)), nil); sim.now < 1200 {
					class[id] = c
				}
				n++
			}
		}
		out := map[string][]float64{}
		for id, c := range class {
			w, ok := sim.startWaits[id]
			if !ok {
				w = sim.now - sim.acceptedAt[id]
			}
			out[c] = append(out[c], w)
		}
		for c := range out {
			slices.Sort(out[c])
			n := len(out[c])
			t.Logf("policy %t, %s: %d jobs, p50 %.1f s, p99 %.1f s", policy != nil, c, n, out[c][n/2], out[c][n*99/100])
		}
		return out
	}
	without, with := waits(nil), waits(clinicFirstPolicy())
	n := len(with["slicing"])
	if a, b := with["slicing"][n*99/100], without["slicing"][n/2]; a > b/4 {
		t.Errorf("the clinic's waits: got p99 %.1f s with the policy and p50 %.1f s without, want at most a quarter of the latter", a, b)
	}
	for c, longestWait := range map[string]float64{"lesson": 100, "print": 150} {
		if w := with[c]; w[len(w)-1] > longestWait+60 {
			t.Errorf("a job of class %s started after %.1f s, its longest wait is %g s", c, w[len(w)-1], longestWait)
		}
	}
}
