package modelcheck

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
)

const (
	// recordedDepth is the depth of searches whose sizes are recorded: deep enough that
	// tasks run and leaders change, and a second or two for all of them.
	recordedDepth = 4
	// recordedMutationDepth is the greatest depth of recorded searches under a mutation;
	// deeper ones take longer.
	recordedMutationDepth = 9
)

// sizeOf is a result without the words that name actions and invariants.
func sizeOf(r Result) string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, all %v, %d steps to a broken rule", r.States, r.Transitions, r.Depth, r.Exhausted, len(r.Counterexample))
}

// The leader's decisions decide how many states there are: a change of the code that
// is meant to change no decision leaves every number as it is.
func TestSearchesAreOfTheRecordedSize(t *testing.T) {
	recorded := golden.Open(t, "searches.golden")
	for _, scenario := range Scenarios() {
		recorded.Text(scenario.Name, sizeOf(Search(scenario, NoMutation, recordedDepth, unbounded)))
	}
}

// The same for searches that find a counterexample under a mutation.
func TestCounterexamplesAreOfTheRecordedSize(t *testing.T) {
	recorded := golden.Open(t, "counterexamples.golden")
	for _, search := range mutationSearches {
		if search.depth > recordedMutationDepth {
			continue
		}
		recorded.Text(search.mutation.String(), sizeOf(Search(search.withReliableMachine(), search.mutation, search.depth, unbounded)))
	}
}
