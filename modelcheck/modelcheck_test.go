package modelcheck

import (
	"os"
	"strconv"
	"testing"
)

// unbounded is a limit on states that no search of these tests reaches.
const unbounded = 5_000_000

// exhaustiveDepth returns the depth of searches with all actions allowed. The environment variable
// MODEL_DEPTH overrides the default.
func exhaustiveDepth() int {
	if depth, err := strconv.Atoi(os.Getenv("MODEL_DEPTH")); err == nil {
		return depth
	}
	return defaultDepth
}

// Guards against any sequence of at most exhaustiveDepth actions that violates an invariant. A search
// that reaches fewer than minStates states has failed too, because its scenario allows too little.
func TestInvariantsHoldInEveryScenario(t *testing.T) {
	const (
		maxStates = 50_000_000
		minStates = 500
	)
	for _, scenario := range Scenarios() {
		result := Search(scenario, NoMutation, exhaustiveDepth(), maxStates)
		t.Logf("%s: %v", scenario.Name, result)
		if result.Violation != "" || result.States < minStates {
			t.Errorf("%s: %v", scenario.Name, result)
		}
	}
}

// requireEvents fails the test if a search has not reached each of the given situations.
func requireEvents(t *testing.T, scenario *Scenario, result Result, events []Event) {
	t.Helper()
	for _, event := range events {
		if result.Events[event] == 0 {
			t.Errorf("%s: search did not reach: %s", scenario.Name, event)
		}
	}
}
