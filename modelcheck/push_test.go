package modelcheck

import "testing"

// Guards against outcomes lost by a pushed forget command. The push may arrive after the gang's task
// was launched again with the same attempt number and has completed. The worker then forgets an
// outcome that is not recorded.
func TestForgetByPushLosesAnOutcome(t *testing.T) {
	scenario := GangWithRefusedStart()
	scenario.CancellableJobs, scenario.MaxFailovers = 0, 0
	// A start was refused. Its outcome is recorded and forgotten.
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}}
	scenario.Allowed = []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CompleteTask, ReceivePush, AdvanceTime}
	requireCounterexample(t, scenario, ForgetByPush, 11)
}

// Guards against invariants that fail when pushes arrive late: after a failover, whether or not the
// worker has seen the new fencing token, or after the end of the agent epoch that they were sent
// for. The search must reach each of these situations.
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
			continue // .ci/run executes these searches without the race detector
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

// runningOnOneMachine returns OneMachine after the task has started to run.
func runningOnOneMachine() *Scenario {
	scenario := OneMachine()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// gangAfterRefusedStart returns GangWithRefusedStart after a start was refused and its outcome was
// recorded.
func gangAfterRefusedStart() *Scenario {
	scenario := GangWithRefusedStart()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: RefuseStart}, {Kind: HeartbeatRoundTrip}, {Kind: SchedulingPass}}
	return scenario
}

// runningQuota returns Quota with one reliable machine, after the first job has started to run.
func runningQuota() *Scenario {
	scenario := Quota()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	scenario.ReliableMachines = 1
	return scenario
}
