package modelcheck

import "testing"

// planSearches are of mutations that remove the conditions on the version of the plan.
var planSearches = []mutationSearch{
	{DropPlanGuard, PlanChange, []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
	{PreemptWithoutPlanCheck, PreemptionUnderPlanChange, []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, AcceptJob, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, Failover}, 8},
}

// Whatever happens while plans change, no placement is committed and no task preempted under
// a plan that is no longer in force; without the conditions on the plan's version, one is.
func TestNothingIsDoneUnderASupersededPlan(t *testing.T) {
	const minStates = 500
	for _, search := range planSearches {
		scenario, depth := search.narrowed(), search.depth
		if raceDetector {
			depth = 7
		}
		unmutated := Search(scenario, NoMutation, depth, unbounded)
		t.Logf("with the condition: %v", unmutated)
		if unmutated.Violation != "" || unmutated.States < minStates {
			t.Errorf("with the condition: %v", unmutated)
		}
		mutated := Search(scenario, search.mutation, depth, unbounded)
		t.Logf("%v: %v", search.mutation, mutated)
		if mutated.Violation == "" {
			t.Errorf("%v: nothing found in %v", search.mutation, mutated)
		}
	}
}
