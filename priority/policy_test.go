package priority

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/umberdeal/umberdeal/placement"
)

// fleet is a random input: a policy, machines with running tasks, and waiting jobs.
type fleet struct {
	policy  *Policy
	in      placement.Input
	waiting []PendingJob // by request
	booked  []float64    // share of the fleet that each tier uses
}

// drawFleet draws a random fleet.
func drawFleet(t *rapid.T) *fleet {
	n := func(label string, lo, hi int) int { return rapid.IntRange(lo, hi).Draw(t, label) }
	f := &fleet{policy: New(&Settings{Tiers: []Tier{{Name: "clinic", Classes: []string{"c0"}},
		{Name: "school", Classes: []string{"c1"}, Share: float64(n("share", 0, 40)) / 100, LongestWaitS: 100},
		{Name: "craft", Classes: []string{"c2"}, LongestWaitS: float64(n("wait", 100, StarvationBoundSeconds))}}})}
	const zones, types, teams = 2, 2, 2
	f.booked = make([]float64, f.policy.NumTiers())
	for i := range n("machines", 1, 8) {
		m := placement.Machine{Name: fmt.Sprint(i), Type: n("type", 0, types-1), Zone: n("zone", 0, zones-1), Spot: rapid.Bool().Draw(t, "spot"),
			Ready: n("ready", 0, 5) > 0, Capacity: placement.Resources{CPU: 16, Mem: 64}, FetchRate: 1}
		m.Free = placement.Resources{CPU: float64(n("free", 0, 16)), Mem: 64}
		if used := 16 - m.Free.CPU; used > 0 {
			m.Tasks = []placement.Occupant{{Task: placement.Task{Job: 1000, Task: int32(i)}, Need: placement.Resources{CPU: used}, Priority: n("on", 1, 3),
				Tier: n("tier on", 0, 3), RemainingSeconds: float64(n("left", 1, 100)), LossSeconds: float64(n("loss", 0, 90)), NonPreemptible: rapid.Bool().Draw(t, "fixed")}}
		}
		f.in.Machines = append(f.in.Machines, m)
	}
	for range teams {
		f.in.Teams = append(f.in.Teams, placement.Team{Max: placement.Resources{CPU: float64(n("limit", 0, 40))}})
	}
	f.in.AllowPreemption = true
	for i := range n("jobs", 1, 10) {
		r := placement.Request{Job: int32(i), Need: placement.Resources{CPU: float64(n("cpus", 1, 12)), Mem: 1}, Priority: n("priority", 1, 2), Team: n("team", 0, teams-1),
			WithinGuarantee: n("within", 0, 4) == 0, Zone: n("in zone", -1, zones-1), PlacedByZone: make([]int, zones), Types: make([]bool, types),
			Spot: rapid.Bool().Draw(t, "may spot"), Gang: n("gang", 0, 3) == 0, OneZone: n("one zone", 0, 3) == 0, Hold: rapid.Bool().Draw(t, "hold")}
		for k := range r.Types {
			r.Types[k] = n("may type", 0, 3) > 0
		}
		for k := range n("tasks", 1, 6) {
			r.Tasks = append(r.Tasks, int32(k))
		}
		if !r.OneZone && n("spread", 0, 3) == 0 {
			r.MaxPerZone = (len(r.Tasks) + 1) / 2
		}
		if n("avoid", 0, 3) == 0 {
			r.Avoid = map[int]bool{0: true}
		}
		r.Precedence = placement.Precedence{Tier: f.policy.TierOf("any", fmt.Sprint("c", n("class", 0, 3))), StartDue: n("start due", 0, 5) == 0}
		f.in.Requests = append(f.in.Requests, r)
		f.waiting = append(f.waiting, PendingJob{Tier: r.Tier, Tasks: len(r.Tasks), Gang: r.Gang, TaskShare: r.Need.CPU / 64, WaitedSeconds: float64(n("waited", 0, 300)), Started: rapid.Bool().Draw(t, "begun")})
	}
	return f
}

// sortRequests sorts the requests as the leader does; without byTier it ignores the tiers.
func (f *fleet) sortRequests(byTier bool) {
	promotions := f.policy.Promote(f.waiting, f.booked)
	order := make([]int, len(f.in.Requests))
	for i := range order {
		order[i] = i
		f.in.Requests[i].PromotionCause = uint8(promotions[i].Cause)
	}
	rank := func(r *placement.Request) int {
		switch {
		case !byTier:
			return 0
		case r.PromotionCause == uint8(PromotedByShare) || r.PromotionCause == uint8(PromotedByWait):
			return -1
		}
		return r.Tier
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &f.in.Requests[a], &f.in.Requests[b]
		switch {
		case x.WithinGuarantee != y.WithinGuarantee:
			return sign[x.WithinGuarantee]
		case x.Priority != y.Priority:
			return x.Priority - y.Priority
		case x.StartDue != y.StartDue:
			return sign[x.StartDue]
		}
		return rank(x) - rank(y)
	})
	reqs := f.in.Requests
	f.in.Requests = nil
	for _, i := range order {
		f.in.Requests = append(f.in.Requests, reqs[i])
	}
}

// sign is the result of a comparison in which only one side has a property. The key tells whether
// the first side has it and so comes first.
var sign = map[bool]int{true: -1, false: 1}

// pass runs a scheduling pass and returns its priority inversions.
func (f *fleet) pass() []Inversion {
	teams := slices.Clone(f.in.Teams)
	plan := placement.Compute(&f.in)
	return FindInversions(f.in.Requests, teams, plan.Starts, f.in.Machines)
}

// Every priority inversion of a correctly sorted queue has a reason. An unexplained one means that
// the planner starts work of a lower tier without cause, or that FindInversions lacks a reason.
func TestEveryInversionHasAReason(t *testing.T) {
	seen := map[InversionReason]int{}
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		f.sortRequests(true)
		for _, d := range f.pass() {
			seen[d.Reason]++
			if d.Reason == Unexplained {
				t.Fatalf("unexplained inversion: %+v started before %+v on %+v", f.in.Requests[d.Start.Request], f.in.Requests[d.PassedOver], f.in.Machines[d.Start.Machine])
			}
		}
	})
	t.Log(seen)
}

// If the queue is sorted without regard to tiers, some inversions must be unexplained. Otherwise
// the check of every pass could not detect a wrong order.
func TestInversionWithoutAReasonIsFound(t *testing.T) {
	found := 0
	for seed := range 200 {
		f := rapid.Custom(drawFleet).Example(seed)
		f.sortRequests(false)
		for _, d := range f.pass() {
			if d.Reason == Unexplained {
				found++
			}
		}
	}
	if found == 0 {
		t.Error("no inversion is unexplained, although the queue ignores the tiers")
	}
}

// Promotions are limited. Those by share are limited to the tasks that a tier lacks, rounded up to
// a whole task, and those by wait to what a job needs in order to start. Larger promotions would
// invert the tiers.
func TestSharesAndWaitsTakeNoMoreThanTheirEntitlement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		for i := range f.booked {
			f.booked[i] = rapid.Float64Range(0, 0.5).Draw(t, "booked")
		}
		promotions := f.policy.Promote(f.waiting, f.booked)
		tierShares := slices.Clone(f.booked)
		for i, promotion := range promotions {
			if promotion.Cause != PromotedInTier {
				tierShares[f.waiting[i].Tier] += float64(promotion.Tasks) * f.waiting[i].TaskShare
			}
		}
		for i, promotion := range promotions {
			job := &f.waiting[i]
			tier := &f.policy.tiers[job.Tier]
			due := job.Tier > 0 && tier.LongestWaitS > 0 && job.WaitedSeconds >= tier.LongestWaitS && job.Placed == 0
			switch {
			case promotion.Tasks > 0 && job.Tier == 0, promotion.Tasks > job.Tasks, job.Gang && promotion.Tasks != 0 && promotion.Tasks != job.Tasks:
				t.Fatalf("%+v: invalid promotion %+v", job, promotion)
			case due && (promotion.Tasks == 0 || promotion.Cause == PromotedInTier && sumFrom(tierShares, job.Tier) < maxWaitShare(job.Tier)):
				t.Fatalf("%+v has waited its tier's maximum of %g s but is not promoted by wait", job, tier.LongestWaitS)
			case !due && promotion.Tasks > 0 && f.booked[job.Tier] >= tier.Share:
				t.Fatalf("%+v is promoted by %+v although its tier has its share", job, promotion)
			case !due && promotion.Tasks > 0 && !job.Gang && tierShares[job.Tier] > 2*tier.Share+job.TaskShare && float64(promotion.Tasks-1)*job.TaskShare > tier.Share:
				t.Fatalf("%+v is promoted by %+v: its tier then has %g, its share is %g", job, promotion, tierShares[job.Tier], tier.Share)
			}
		}
	})
}

// Guards against invalid settings that are accepted, and against a check that stops at the first error.
// Valid settings must assign work to the first tier that matches it.
func TestAllSettingsAreChecked(t *testing.T) {
	s := &Settings{Tiers: []Tier{
		{Name: "clinic", Classes: []string{"slicing"}, Share: 0.5},
		{Name: "school", Teams: []string{"north", "nobody"}, LongestWaitS: 120},
		{Name: "school", Teams: []string{"north"}, Classes: []string{"print"}, LongestWaitS: 60},
		{Name: "craft", Teams: []string{"guild"}},
		{LongestWaitS: 500},
		{Name: "more", Classes: []string{"slicing", ""}, Share: 0.6, LongestWaitS: 240},
	}}
	var all []string
	for _, err := range s.Check(nil, []string{"north", "guild"}) {
		all = append(all, err.Error())
	}
	for _, want := range []string{
		"order.tiers[0] is the first", `order.tiers[1].teams[1]: "nobody"`, "order.tiers[2].name must be", `order.tiers[2]: team "north", class "print" is in order.tiers[1]`,
		"order.tiers[2].longest_wait_s is 60, shorter than 120", "order.tiers[3] needs a share", "order.tiers[4].name", "order.tiers[4].longest_wait_s must be",
		"order.tiers[4] names neither", `order.tiers[5]: class "slicing" is in order.tiers[0]`, "order.tiers[5].classes[1] must not", "the shares sum to 1.1",
	} {
		if !slices.ContainsFunc(all, func(s string) bool { return strings.HasPrefix(s, want) || strings.Contains(s, want) }) {
			t.Errorf("no error contains %q", want)
		}
	}
	if t.Failed() {
		t.Log(strings.Join(all, "\n"))
	}
	valid := &Settings{Tiers: []Tier{{Name: "clinic", Classes: []string{"slicing"}}, {Name: "school", Teams: []string{"north"}, Share: 0.2}}}
	if errs := valid.Check(nil, []string{"north"}); len(errs) > 0 {
		t.Errorf("valid settings are refused: %v", errs)
	}
	p := New(valid)
	if p.TierOf("north", "slicing") != 0 || p.TierOf("north", "print") != 1 || p.TierOf("guild", "print") != 2 || p.NumTiers() != 3 {
		t.Error("work is not assigned to the first tier that matches it")
	}
	if New(&Settings{}) != nil || (*Policy)(nil).TierOf("north", "slicing") != 0 {
		t.Error("empty settings define tiers")
	}
}
