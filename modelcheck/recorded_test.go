package modelcheck

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
)

// recordedDepth is how deep the searches go whose sizes are recorded: deep enough that
// tasks run and leaders change, and a second or two for all of them.
const recordedDepth = 4

// sizeOf is a result without the words that name actions and rules.
func sizeOf(r Result) string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, all %v, %d steps to a broken rule", r.States, r.Transitions, r.Depth, r.Exhausted, len(r.Counterexample))
}

// The leader's decisions decide how many states there are: a change of the code that
// is meant to change no decision leaves every number as it is.
func TestSearchesAreOfTheRecordedSize(t *testing.T) {
	f := golden.Open(t, "searches.golden")
	for _, sc := range Scenarios() {
		f.Text(sc.Name, sizeOf(Search(sc, NoMutation, recordedDepth, 5_000_000)))
	}
}

// The same for searches that find a broken rule once a guard is taken away.
func TestCounterexamplesAreOfTheRecordedSize(t *testing.T) {
	f := golden.Open(t, "broken.golden")
	for _, p := range mutationSearches {
		if p.depth > 9 {
			continue // the others take longer
		}
		sc := p.sc()
		sc.Allowed = p.only
		if p.only != nil && len(sc.Zones) > 1 {
			sc.ReliableMachines = 1
		}
		f.Text(p.breach.String(), sizeOf(Search(sc, p.breach, p.depth, 5_000_000)))
	}
}
