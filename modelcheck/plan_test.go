package modelcheck

import "testing"

// Whatever happens while orders change, no placement is committed by an older one,
// nor is anybody stopped to make room by one; with the condition on the plan's
// version taken away, it is found.
func TestNothingIsDoneUnderASupersededPlan(t *testing.T) {
	for _, c := range []struct {
		without Mutation
		world   *Scenario
		moves   []ActionKind
		depth   int
	}{
		{DropPlanGuard, PlanChange(), []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
		{PreemptWithoutPlanCheck, PreemptionUnderPlanChange(), []ActionKind{ScheduleWithoutCommit, ApplyPlan, LoadPlan, AcceptJob, SchedulingPass, PassResponseLost, HeartbeatRoundTrip, ImageFetched, Failover}, 8},
	} {
		sc, depth := c.world, c.depth
		sc.Allowed = c.moves
		if raceDetector {
			depth = 7
		}
		whole := Search(sc, NoMutation, depth, 5_000_000)
		t.Logf("with the condition: %v", whole)
		if whole.Violation != "" || whole.States < 500 {
			t.Errorf("with the condition: %v", whole)
		}
		without := Search(sc, c.without, depth, 5_000_000)
		t.Logf("%v: %v", c.without, without)
		if without.Violation == "" {
			t.Errorf("%v: nothing found in %v", c.without, without)
		}
	}
}
