package priority

import (
	"fmt"
	"slices"
	"strings"
)

// This file is the policy as the operators write it; "order" is its name in the plan.

// Settings is the order of a plan. The zero value is no order.
type Settings struct {
	Tiers []Tier `toml:"tiers"`
}

// Tier is work that is served before that of the tiers after it. A tier that
// names no team takes every team, and one that names no class every class; the
// last may name neither and is the rest.
type Tier struct {
	Name         string   `toml:"name"`
	Teams        []string `toml:"teams"`
	Classes      []string `toml:"classes"`
	Share        float64  `toml:"share"`          // of the fleet that it gets before higher tiers, from 0 to 1
	LongestWaitS float64  `toml:"longest_wait_s"` // after which a job of which nothing runs goes before higher tiers
}

const (
	maxTiers        = 16
	maxNamesPerTier = 200 // teams or classes of a tier
	// StarvationBoundSeconds is within how many seconds every job has to begin, whatever the order.
	StarvationBoundSeconds = 240
	// The rest, where no tier is given for it, waits for no longer than this.
	catchAllName        = "the rest"
	catchAllWaitSeconds = 180
	// maxShareSum leaves the first tier something to be first on.
	maxShareSum = 0.9
)

// Empty says that there is no order.
func (s *Settings) Empty() bool { return s == nil || len(s.Tiers) == 0 }

func (t *Tier) isCatchAll() bool { return len(t.Teams) == 0 && len(t.Classes) == 0 }

func (t *Tier) matches(team, class string) bool {
	return (len(t.Teams) == 0 || slices.Contains(t.Teams, team)) && (len(t.Classes) == 0 || slices.Contains(t.Classes, class))
}

// covers says whether all that a team's work of a class is, "" being any, is of
// this tier.
func (t *Tier) covers(team, class string) bool {
	return (len(t.Teams) == 0 || team != "" && slices.Contains(t.Teams, team)) &&
		(len(t.Classes) == 0 || class != "" && slices.Contains(t.Classes, class))
}

// pairs lists what a tier names, "" being any.
func (t *Tier) pairs() (out [][2]string) {
	teams, classes := t.Teams, t.Classes
	if len(teams) == 0 {
		teams = []string{""}
	}
	if len(classes) == 0 {
		classes = []string{""}
	}
	for _, tm := range teams {
		for _, c := range classes {
			out = append(out, [2]string{tm, c})
		}
	}
	return out
}

// Check names each field that is wrong, with its place, and what contradicts
// what. teams are the deployment's; an order does not speak of zones.
func (s *Settings) Check(_, teams []string) []error {
	if s.Empty() {
		return nil
	}
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if len(s.Tiers) > maxTiers {
		bad("order.tiers: %d of them, at most %d", len(s.Tiers), maxTiers)
		return errs
	}
	names := map[string]bool{}
	shares, longest := 0.0, 0.0
	for i := range s.Tiers {
		t := &s.Tiers[i]
		at := fmt.Sprintf("order.tiers[%d]", i)
		if t.Name == "" || names[t.Name] {
			bad("%s.name must be set and unique", at)
		}
		names[t.Name] = true
		if !t.checkNames(at, teams, bad) {
			continue
		}
		if t.isCatchAll() && i < len(s.Tiers)-1 {
			bad("%s names neither teams nor classes: only the last may be the rest", at)
		}
		if i == len(s.Tiers)-1 && i == 0 && t.isCatchAll() {
			bad("%s is all work: an order needs a tier before the rest", at)
		}
		s.checkReachable(i, bad)
		shares += max(t.Share, 0)
		t.checkStarvation(i, at, longest, bad)
		longest = max(longest, t.LongestWaitS)
	}
	if shares > maxShareSum+1e-9 {
		bad("order.tiers: the shares sum to %g; at most %g, so that the first tier has something left", shares, maxShareSum)
	}
	return errs
}

// checkNames checks the teams and classes that a tier names; false if they are too many
// to look at.
func (t *Tier) checkNames(at string, teams []string, bad func(string, ...any)) bool {
	if len(t.Teams) > maxNamesPerTier || len(t.Classes) > maxNamesPerTier {
		bad("%s names more than %d teams or classes", at, maxNamesPerTier)
		return false
	}
	for k, n := range t.Teams {
		if !slices.Contains(teams, n) {
			bad("%s.teams[%d]: %q is no team of this deployment", at, k, n)
		}
	}
	for k, n := range t.Classes {
		if n == "" {
			bad("%s.classes[%d] must not be empty", at, k)
		}
	}
	return true
}

// checkReachable finds what a tier names and an earlier one has already.
func (s *Settings) checkReachable(i int, bad func(string, ...any)) {
	t := &s.Tiers[i]
	if t.isCatchAll() {
		return
	}
	for _, p := range t.pairs() {
		for k := range s.Tiers[:i] {
			if o := &s.Tiers[k]; !o.isCatchAll() && o.covers(p[0], p[1]) {
				bad("order.tiers[%d]: %s is in order.tiers[%d] (%s) already", i, describePair(p), k, o.Name)
				break
			}
		}
	}
}

func describePair(p [2]string) string {
	var out []string
	if p[0] != "" {
		out = append(out, fmt.Sprintf("team %q", p[0]))
	}
	if p[1] != "" {
		out = append(out, fmt.Sprintf("class %q", p[1]))
	}
	return strings.Join(out, ", ")
}

// checkStarvation checks what keeps a tier from starving. longest is the longest wait
// of the tiers above.
func (t *Tier) checkStarvation(i int, at string, longest float64, bad func(string, ...any)) {
	if !(t.Share >= 0 && t.Share <= maxShareSum) {
		bad("%s.share must be from 0 to %g", at, maxShareSum)
	}
	if !(t.LongestWaitS >= 0 && t.LongestWaitS <= StarvationBoundSeconds) {
		bad("%s.longest_wait_s must be from 0 to %d, within which every job has to begin", at, StarvationBoundSeconds)
	}
	if i == 0 {
		if t.Share != 0 || t.LongestWaitS != 0 {
			bad("%s is the first: nothing goes before it, so that it has neither share nor longest_wait_s", at)
		}
		return
	}
	if t.Share == 0 && t.LongestWaitS == 0 {
		bad("%s needs a share or a longest_wait_s, or it might never be served", at)
	}
	if t.LongestWaitS > 0 && t.LongestWaitS < longest {
		bad("%s.longest_wait_s is %g, shorter than %g of a tier above it: its jobs would come before that one's", at, t.LongestWaitS, longest)
	}
}
