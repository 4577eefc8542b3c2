package modelcheck

import "testing"

// planSearches holds the searches for mutations that remove the guards on the version of the plan.
var planSearches = []mutationSearch{
	{DropPlanGuard, PlanChange, []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
	{PreemptWithoutPlanCheck, PreemptionUnderPlanChange, []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, AcceptJob, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, Failover}, 8},
}

// Guards against placements and preemptions that were decided under a plan that is no longer
// current when they take effect. Without the guards on the plan's version the search must find one.
func TestNothingIsDoneUnderASupersededPlan(t *testing.T) {
	const minStates = 500
	for _, search := range planSearches {
		scenario, depth := search.narrowed(), search.depth
		if raceDetector {
			depth = 7
		}
		unmutated := Search(scenario, NoMutation, depth, unbounded)
		t.Logf("with the guard: %v", unmutated)
		if unmutated.Violation != "" || unmutated.States < minStates {
			t.Errorf("with the guard: %v", unmutated)
		}
		mutated := Search(scenario, search.mutation, depth, unbounded)
		t.Logf("%v: %v", search.mutation, mutated)
		if mutated.Violation == "" {
			t.Errorf("%v: no counterexample found in %v", search.mutation, mutated)
		}
	}
}
