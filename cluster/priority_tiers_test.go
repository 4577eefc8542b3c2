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

// Where all work is of one tier, an order decides nothing: what is placed and
// stopped, where and when is what it is without, also where stops wait for the plan
// to be compared.
func TestPolicyWithASingleTierChangesNoDecision(t *testing.T) {
	one := priority.New(&priority.Settings{Tiers: []priority.Tier{{Name: "all", Classes: []string{"slicing", "lesson", "print"}}}})
	for seed := range uint64(3) {
		var logs [3][]string
		for i, o := range []*priority.Policy{nil, one, one} {
			p := newFleetPlay(6, o)
			if i == 2 {
				p.m.ExpectPlan()
			}
			p.m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "slicing", WithinS: 30}, {Kind: "finished", Class: "lesson", WithinS: 200}}
			p.day(seed, 300, func(r *rand.Rand) string { return []string{"slicing", "lesson", "print"}[r.IntN(3)] })
			logs[i] = p.log
		}
		if len(logs[0]) < 100 || !strings.Contains(strings.Join(logs[0], ","), "stopped") || !slices.Equal(logs[0], logs[1]) || !slices.Equal(logs[0], logs[2]) {
			t.Fatalf("seed %d: %d starts and stops without an order, %d with one that orders nothing, and they differ", seed, len(logs[0]), len(logs[1]))
		}
	}
}

// However work comes, each departure that a leader's passes make has a reason.
func TestRandomLoadCausesNoUnexplainedPriorityInversion(t *testing.T) {
	all := map[string]uint64{}
	rapid.Check(t, func(t *rapid.T) {
		p := newFleetPlay(rapid.IntRange(1, 6).Draw(t, "machines"), clinicFirst())
		p.m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "slicing", WithinS: 30}}
		p.m.guarantees[0] = placement.Resources{CPU: rapid.Float64Range(0, 30).Draw(t, "guarantee")}
		p.m.teams[0].Max = placement.Resources{CPU: 25}
		p.day(rapid.Uint64().Draw(t, "day"), 120, func(r *rand.Rand) string { return []string{"slicing", "lesson", "print", "else"}[r.IntN(4)] })
		for k, n := range p.m.tiers.inversions.Counts {
			if all[k] += n; strings.HasSuffix(k, priority.Unexplained.String()) {
				t.Fatalf("%d times %s: %v", n, k, p.m.tiers.inversions.Recent)
			}
		}
	})
	t.Log(all)
	if len(all) < 5 {
		t.Errorf("few kinds of departures: %v", all)
	}
}

// Clinic work comes faster than it can be done. Schools still get their share and
// every job of theirs its beginning within their longest wait, and so do crafts
// and what no tier names.
func TestOverloadByTheHighestTierStarvesNoLowerTier(t *testing.T) {
	p := newFleetPlay(8, clinicFirst())
	lessons := 0
	for n, k := 1, 0; p.now < 900; p.step() {
		for range 3 {
			p.submit(n, "slicing", 2, 30, nil)
			n++
		}
		if k++; k%8 == 1 {
			for _, c := range []string{"lesson", "print", "else"} {
				p.submit(n, c, 2, 40, nil)
				n++
			}
		}
		if b := p.m.tierUsage(p.m.schedulableCapacity(at(p.now))); p.now > 120 && b[1] >= 0.05 {
			lessons++
		}
	}
	late := map[string]int{}
	for id, came := range p.came {
		class := "else"
		if j := p.m.Job(id); j != nil {
			class = j.Spec.Class
		}
		if _, ok := p.began[id]; !ok && class != "slicing" && p.now-came > priority.StarvationBoundSeconds {
			late[class]++
		}
	}
	if len(late) > 0 || lessons < 400 {
		t.Errorf("not begun within the bound: %v; lessons had half their share in %d of 520 steps", late, lessons)
	}
}

// Work of the last tier is stopped first, and only what a higher priority may stop.
func TestPreemptionStopsTheLowerTierFirst(t *testing.T) {
	p := newFleetPlay(2, clinicFirst())
	low := func(j *wire.Job) { j.Priority, j.CPUs = wire.PriorityLow, 4 }
	school, clinic := p.submit(1, "lesson", 2, 500, low), p.submit(2, "slicing", 2, 500, low)
	for range 6 {
		p.step()
	}
	p.submit(3, "print", 2, 20, func(j *wire.Job) { j.CPUs = 4 })
	p.submit(4, "slicing", 2, 20, low) // of the same priority: it stops nobody
	for range 4 {
		p.step()
	}
	stopped := func(id string) int {
		return len(slices.DeleteFunc(slices.Clone(p.log), func(s string) bool { return !strings.Contains(s, id) || !strings.HasSuffix(s, "stopped") }))
	}
	if stopped(school) != 2 || stopped(clinic) != 0 {
		t.Errorf("stopped: %d tasks of the school's, %d of the clinic's", stopped(school), stopped(clinic))
	}
}

// A day at 1.3 times what the fleet can do: clinic work begins sooner by far, and
// the others no later than their longest wait and what the start takes.
func TestHighestTierWaitsLeastUnderOverload(t *testing.T) {
	waits := func(o *priority.Policy) map[string][]float64 {
		p := newFleetPlay(20, o)
		rnd := rand.New(rand.NewPCG(3, 3))
		class := map[string]string{}
		for n := 1; p.now < 1500; p.step() {
			for range 1 + rnd.IntN(2) {
				c := []string{"slicing", "lesson", "print", "print", "lesson", "lesson"}[rnd.IntN(6)]
				if id := p.submit(n, c, 1+rnd.IntN(4), float64(20+rnd.IntN(40)), nil); p.now < 1200 {
					class[id] = c
				}
				n++
			}
		}
		out := map[string][]float64{}
		for id, c := range class {
			w, ok := p.began[id]
			if !ok {
				w = p.now - p.came[id]
			}
			out[c] = append(out[c], w)
		}
		for c := range out {
			slices.Sort(out[c])
			n := len(out[c])
			t.Logf("order %t, %s: %d jobs, p50 %.1f s, p99 %.1f s", o != nil, c, n, out[c][n/2], out[c][n*99/100])
		}
		return out
	}
	without, with := waits(nil), waits(clinicFirst())
	n := len(with["slicing"])
	if a, b := with["slicing"][n*99/100], without["slicing"][n/2]; a > b/4 {
		t.Errorf("p99 of the clinic's waits %.1f s with the order, p50 %.1f s without", a, b)
	}
	for c, most := range map[string]float64{"lesson": 100, "print": 150} {
		if w := with[c]; w[len(w)-1] > most+60 {
			t.Errorf("a job of class %s began after %.1f s, its longest wait is %g s", c, w[len(w)-1], most)
		}
	}
}
