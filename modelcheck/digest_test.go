package modelcheck

import (
	"bytes"
	"slices"
	"testing"
)

// Guards against digests that omit a part of the state: the search merges states with equal
// digests and would miss successors if these differed.
func TestStatesWithEqualDigestsHaveEqualSuccessors(t *testing.T) {
	const (
		depth     = 4
		minMerged = 100
		compared  = 5 // every fifth merged state is compared
	)
	for _, scenario := range Scenarios() {
		first := map[string][]Action{} // first path found to each digest
		merged := 0
		frontier := [][]Action{nil}
		for range depth {
			var next [][]Action
			for _, path := range frontier {
				for _, action := range replay(scenario, NoMutation, path).EnabledActions() {
					longer := extended(path, action)
					digest := digestOf(replay(scenario, NoMutation, longer))
					other, known := first[digest]
					if !known {
						first[digest] = longer
						next = append(next, longer)
						continue
					}
					if merged++; merged%compared == 0 {
						requireEqualSuccessors(t, scenario, other, longer)
					}
				}
			}
			frontier = next
		}
		if merged < minMerged {
			t.Errorf("%s: got %d merged states, want at least %d", scenario.Name, merged, minMerged)
		}
	}
}

// extended returns a copy of a path with one more action.
func extended(path []Action, action Action) []Action {
	return append(slices.Clone(path), action)
}

func digestOf(s *System) string {
	var b bytes.Buffer
	s.Digest(&b)
	return b.String()
}

func requireEqualSuccessors(t *testing.T, scenario *Scenario, a, b []Action) {
	t.Helper()
	for _, action := range replay(scenario, NoMutation, a).EnabledActions() {
		afterA := digestOf(replay(scenario, NoMutation, extended(a, action)))
		afterB := digestOf(replay(scenario, NoMutation, extended(b, action)))
		if afterA != afterB {
			t.Errorf("%s: after %v and after %v, %v leads to\n%s\nand to\n%s", scenario.Name, a, b, action, afterA, afterB)
			return
		}
	}
}
