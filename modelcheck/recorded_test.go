package modelcheck

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/internal/golden"
)

const (
	// recordedDepth is the depth of searches whose sizes are recorded. At this depth tasks
	// run and leaders fail over, and all searches together take a second or two.
	recordedDepth = 4
	// recordedMutationDepth is the greatest depth of recorded searches under a mutation.
	// Deeper searches take too long.
	recordedMutationDepth = 9
)

// sizeOf returns the numbers of a result as text, without the names of actions and invariants.
func sizeOf(r Result) string {
	return fmt.Sprintf("%d states, %d transitions, depth %d, all %v, %d steps to a broken rule", r.States, r.Transitions, r.Depth, r.Exhausted, len(r.Counterexample))
}

// Guards against refactorings that change the leader's decisions unintentionally: a changed
// decision changes the number of states.
func TestSearchesAreOfTheRecordedSize(t *testing.T) {
	recorded := golden.Open(t, "searches.golden")
	for _, scenario := range Scenarios() {
		recorded.Text(scenario.Name, sizeOf(Search(scenario, NoMutation, recordedDepth, unbounded)))
	}
}

// Guards against unintentional changes like TestSearchesAreOfTheRecordedSize, for searches that find
// a counterexample under a mutation.
func TestCounterexamplesAreOfTheRecordedSize(t *testing.T) {
	recorded := golden.Open(t, "counterexamples.golden")
	for _, search := range mutationSearches {
		if search.depth > recordedMutationDepth {
			continue
		}
		recorded.Text(search.mutation.String(), sizeOf(Search(search.withReliableMachine(), search.mutation, search.depth, unbounded)))
	}
}
