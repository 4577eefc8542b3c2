package priority

import (
	"fmt"
	"slices"
	"strings"
)

// Settings is the section "order" of the operators' plan, which defines the tiers in the order in
// which they are served. The zero value defines no tiers.
type Settings struct {
	Tiers []Tier `toml:"tiers"`
}

// Tier selects work by team and class. A tier that names no teams matches every team, and one that
// names no classes matches every class. The last tier may name neither; it then is the catch-all
// tier.
type Tier struct {
	Name         string   `toml:"name"`
	Teams        []string `toml:"teams"`
	Classes      []string `toml:"classes"`
	Share        float64  `toml:"share"`          // share of the fleet that it gets ahead of higher tiers, from 0 to 1
	LongestWaitS float64  `toml:"longest_wait_s"` // seconds after which a job without placed tasks goes ahead of higher tiers; 0: never
}

const (
	// StarvationBoundSeconds is the time within which every job must start, in any tier.
	StarvationBoundSeconds = 240

	maxTiers        = 16
	maxNamesPerTier = 200 // of teams, and of classes
	maxShareSum     = 0.9 // leaves capacity that the first tier gets first
	shareTolerance  = 1e-9

	// Settings of the catch-all tier if the plan defines none.
	catchAllName        = "the rest"
	catchAllWaitSeconds = 180
)

// Empty reports whether the settings define no tiers. It is true for nil.
func (s *Settings) Empty() bool { return s == nil || len(s.Tiers) == 0 }

func (t *Tier) isCatchAll() bool { return len(t.Teams) == 0 && len(t.Classes) == 0 }

// matches reports whether a team's work of a class belongs to this tier, if no earlier tier
// matches it.
func (t *Tier) matches(team, class string) bool {
	return (len(t.Teams) == 0 || slices.Contains(t.Teams, team)) && (len(t.Classes) == 0 || slices.Contains(t.Classes, class))
}

// covers reports whether this tier matches all work of a team and class, where "" stands for any
// team or class.
func (t *Tier) covers(team, class string) bool {
	return (len(t.Teams) == 0 || team != "" && slices.Contains(t.Teams, team)) &&
		(len(t.Classes) == 0 || class != "" && slices.Contains(t.Classes, class))
}

// pairs returns the pairs of team and class that the tier matches, where "" stands for any.
func (t *Tier) pairs() (out [][2]string) {
	teams, classes := t.Teams, t.Classes
	if len(teams) == 0 {
		teams = []string{""}
	}
	if len(classes) == 0 {
		classes = []string{""}
	}
	for _, team := range teams {
		for _, class := range classes {
			out = append(out, [2]string{team, class})
		}
	}
	return out
}

// Check returns an error for each invalid field, with its path, and for each contradiction between
// tiers. teams are the deployment's teams. The zones, its first argument, are not used.
func (s *Settings) Check(_, teams []string) []error {
	if s.Empty() {
		return nil
	}
	var errs []error
	add := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if len(s.Tiers) > maxTiers {
		add("order.tiers: %d of them, at most %d", len(s.Tiers), maxTiers)
		return errs
	}
	names := map[string]bool{}
	shareSum, longestWaitS := 0.0, 0.0
	for i := range s.Tiers {
		t := &s.Tiers[i]
		path := fmt.Sprintf("order.tiers[%d]", i)
		if t.Name == "" || names[t.Name] {
			add("%s.name must be set and unique", path)
		}
		names[t.Name] = true
		if !t.checkNames(path, teams, add) {
			continue
		}
		if t.isCatchAll() && i < len(s.Tiers)-1 {
			add("%s names neither teams nor classes: only the last may be the rest", path)
		}
		if i == len(s.Tiers)-1 && i == 0 && t.isCatchAll() {
			add("%s is all work: an order needs a tier before the rest", path)
		}
		s.checkReachable(i, add)
		shareSum += max(t.Share, 0)
		t.checkStarvation(i, path, longestWaitS, add)
		longestWaitS = max(longestWaitS, t.LongestWaitS)
	}
	if shareSum > maxShareSum+shareTolerance {
		add("order.tiers: the shares sum to %g; at most %g, so that the first tier has something left", shareSum, maxShareSum)
	}
	return errs
}

// checkNames checks the teams and classes that a tier names. It returns false if there are too
// many to check the tier any further.
func (t *Tier) checkNames(path string, teams []string, add func(string, ...any)) bool {
	if len(t.Teams) > maxNamesPerTier || len(t.Classes) > maxNamesPerTier {
		add("%s names more than %d teams or classes", path, maxNamesPerTier)
		return false
	}
	for k, team := range t.Teams {
		if !slices.Contains(teams, team) {
			add("%s.teams[%d]: %q is no team of this deployment", path, k, team)
		}
	}
	for k, class := range t.Classes {
		if class == "" {
			add("%s.classes[%d] must not be empty", path, k)
		}
	}
	return true
}

// checkReachable reports each pair of team and class of tier i that an earlier tier already covers.
func (s *Settings) checkReachable(i int, add func(string, ...any)) {
	t := &s.Tiers[i]
	if t.isCatchAll() {
		return
	}
	for _, pair := range t.pairs() {
		for k := range s.Tiers[:i] {
			if earlier := &s.Tiers[k]; !earlier.isCatchAll() && earlier.covers(pair[0], pair[1]) {
				add("order.tiers[%d]: %s is in order.tiers[%d] (%s) already", i, describePair(pair), k, earlier.Name)
				break
			}
		}
	}
}

func describePair(pair [2]string) string {
	var out []string
	if pair[0] != "" {
		out = append(out, fmt.Sprintf("team %q", pair[0]))
	}
	if pair[1] != "" {
		out = append(out, fmt.Sprintf("class %q", pair[1]))
	}
	return strings.Join(out, ", ")
}

// checkStarvation checks the share and the longest wait of tier i, which keep it from starving.
// longestWaitS is the maximum LongestWaitS of the tiers above.
func (t *Tier) checkStarvation(i int, path string, longestWaitS float64, add func(string, ...any)) {
	if !(t.Share >= 0 && t.Share <= maxShareSum) {
		add("%s.share must be from 0 to %g", path, maxShareSum)
	}
	if !(t.LongestWaitS >= 0 && t.LongestWaitS <= StarvationBoundSeconds) {
		add("%s.longest_wait_s must be from 0 to %d, within which every job has to begin", path, StarvationBoundSeconds)
	}
	if i == 0 {
		if t.Share != 0 || t.LongestWaitS != 0 {
			add("%s is the first: nothing goes before it, so that it has neither share nor longest_wait_s", path)
		}
		return
	}
	if t.Share == 0 && t.LongestWaitS == 0 {
		add("%s needs a share or a longest_wait_s, or it might never be served", path)
	}
	if t.LongestWaitS > 0 && t.LongestWaitS < longestWaitS {
		add("%s.longest_wait_s is %g, shorter than %g of a tier above it: its jobs would come before that one's", path, t.LongestWaitS, longestWaitS)
	}
}
