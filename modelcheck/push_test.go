package modelcheck

import "testing"

// A forget that is sent directly may arrive when a gang's task has been launched again
// with the same attempt and has completed: nothing has recorded that outcome.
func TestForgetByPushLosesAnOutcome(t *testing.T) {
	sc := GangWithRefusedStart()
	sc.CancellableJobs, sc.MaxFailovers = 0, 0
	// A start was refused, and that is recorded and forgotten.
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}}
	sc.Allowed = []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CompleteTask, ReceivePush, AdvanceTime}
	requireCounterexample(t, sc, ForgetByPush, 11)
}

// Direct batches arrive late: after the next leader has begun, where the worker has seen
// its token and where it has not, and after the session has ended for which they were
// sent. The search goes through each of these, and no rule breaks.
func TestInvariantsHoldWithDelayedPushes(t *testing.T) {
	for _, c := range []struct {
		world *Scenario
		moves []ActionKind
		depth int
		meets []string
	}{
		{runningOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 7, []string{eventPushOfFormerLeader, eventPushRefusedForToken, eventPushRefusedForEpoch}},
		{runningOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 9, []string{eventPushOfFormerLeader, eventPushRefusedForToken, eventPushRefusedForEpoch}},
		{gangAfterRefusedStart(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, RefuseStart, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 8, []string{eventPushOfFormerLeader, eventPushRefusedForToken, eventPushRefusedForEpoch}},
		{runningQuota(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 8, []string{eventPushOfFormerLeader, eventPushRefusedForToken, eventPushRefusedForEpoch}},
	} {
		if raceDetector && c.depth > 7 {
			continue // .ci/run goes through these without the race detector
		}
		c.world.Allowed = c.moves
		res := Search(c.world, NoMutation, c.depth, 5_000_000)
		t.Log(c.world.Name, res, res.Events)
		if res.Violation != "" {
			t.Error(res)
		}
		for _, what := range c.meets {
			if res.Events[what] == 0 {
				t.Errorf("%s: no direct batch was %s", c.world.Name, what)
			}
		}
	}
}

// runningOnOneMachine is the one task on one machine, once it runs.
func runningOnOneMachine() *Scenario {
	sc := OneMachine()
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return sc
}

// gangAfterRefusedStart is the gang once a start was refused, and that is recorded.
func gangAfterRefusedStart() *Scenario {
	sc := GangWithRefusedStart()
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}}
	return sc
}

// runningQuota is the team that may run one of its two jobs, once the first one runs.
func runningQuota() *Scenario {
	sc := Quota()
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	sc.ReliableMachines = 1
	return sc
}
