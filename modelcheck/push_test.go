package modelcheck

import "testing"

// A forget that is pushed may arrive when a gang's task has been launched again with the same
// attempt number and has completed: nothing has recorded that outcome.
func TestForgetByPushLosesAnOutcome(t *testing.T) {
	scenario := GangWithRefusedStart()
	scenario.CancellableJobs, scenario.MaxFailovers = 0, 0
	// A start was refused, and that is recorded and forgotten.
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}}
	scenario.Allowed = []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CompleteTask, ReceivePush, AdvanceTime}
	requireCounterexample(t, scenario, ForgetByPush, 11)
}

// Pushes arrive late: after the next leader has begun, where the worker has seen its fencing
// token and where it has not, and after the agent epoch has ended for which they were sent.
// The search goes through each of these, and no invariant is violated.
func TestInvariantsHoldWithDelayedPushes(t *testing.T) {
	for _, c := range []struct {
		scenario *Scenario
		allowed  []ActionKind
		depth    int
	}{
		{runningOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 7},
		{runningOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 9},
		{gangAfterRefusedStart(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, RefuseStart, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 8},
		{runningQuota(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, ReceivePush, CancelJob, DeliverWatch, Failover, AdvanceTime}, 8},
	} {
		if raceDetector && c.depth > 7 {
			continue // .ci/run goes through these without the race detector
		}
		c.scenario.Allowed = c.allowed
		result := Search(c.scenario, NoMutation, c.depth, unbounded)
		t.Log(c.scenario.Name, result, result.Events)
		if result.Violation != "" {
			t.Error(result)
		}
		requireEvents(t, c.scenario, result, []Event{EventPushOfFormerLeader, EventPushRefusedForToken, EventPushRefusedForEpoch})
	}
}

// runningOnOneMachine is the one task on one machine, once it runs.
func runningOnOneMachine() *Scenario {
	scenario := OneMachine()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// gangAfterRefusedStart is the gang once a start was refused, and that is recorded.
func gangAfterRefusedStart() *Scenario {
	scenario := GangWithRefusedStart()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}}
	return scenario
}

// runningQuota is the team that may run one of its two jobs, once the first one runs.
func runningQuota() *Scenario {
	scenario := Quota()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	scenario.ReliableMachines = 1
	return scenario
}
