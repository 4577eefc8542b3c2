package modelcheck

import "testing"

// asyncCancellation lists the actions of searches in which a cancellation takes several steps.
var asyncCancellation = []ActionKind{SchedulingPass, PassResponseLost, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, SendCancellation, ExecuteCancellation, CancellationResponseLost, RetryCancellation}

// delaySearches are of mutations that need a delayed transaction, a leader that the store
// refuses, or a duplicate after a failover.
var delaySearches = []mutationSearch{
	{TreatUnknownCommitAsSuccess, DelayedTransactionsOfOneTask, []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
	{DropPageGuards, DelayedTransactions, []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask}, 10},
	{DropCancellationGuards, DelayedTransactionsOfOneTask, asyncCancellation, 9},
	{DropJobGuards, DelayedTransactionsOfOneTask, asyncCancellation, 9},
	{IgnoreLeaderLease, leaderRefusedOnOneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, AdvanceTime, Failover}, 8},
	{CountLeaseFromRenewalResponse, leaderRefusedOnOneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, ReceiveRenewalResponse, AdvanceTime}, 9},
	{AcceptDuplicateAsTokenShown, duplicateWhileRunning, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 9},
}

// What is delayed or lost between controllers and the key-value store violates no invariant,
// and each guard against it is needed.
func TestDelaysAndStoreRefusalsNeedTheirGuards(t *testing.T) {
	for _, search := range delaySearches {
		t.Run(search.mutation.String(), func(t *testing.T) {
			if raceDetector && search.mutation == AcceptDuplicateAsTokenShown {
				t.Skip("the largest: .ci/run goes through it without the race detector")
			}
			requireCounterexample(t, search.narrowed(), search.mutation, search.depth)
		})
	}
}

// leaderRefusedOnOneMachine is the leader that the store refuses, with one machine, once the
// task is placed and the leader refused.
func leaderRefusedOnOneMachine() *Scenario {
	scenario := LeaderRefusedByStore()
	scenario.Zones = scenario.Zones[:1]
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: ToggleStoreRefusal}}
	return scenario
}

// duplicateWhileRunning is the duplicate after a failover, once the task runs on its first
// machine, whose last heartbeat does not list it yet.
func duplicateWhileRunning() *Scenario {
	scenario := DuplicateAfterFailover()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// A duplicate arrives before the very heartbeat that its worker waits for a response to, and
// that gets one when it arrives in turn: from the leader that has launched tasks in response
// to the duplicate, and from the next leader.
func TestDuplicatesOvertakeHeartbeats(t *testing.T) {
	for _, c := range []struct {
		scenario *Scenario
		allowed  []ActionKind
		depth    int
	}{
		{oneDuplicate(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, AbandonHeartbeat, ReceiveDelayedHeartbeat, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 6},
		{duplicateWhileRunning(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 6},
		{duplicateAndCancellation(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, CancelJob, DeliverWatch, Failover, AdvanceTime}, 7},
	} {
		c.scenario.Allowed = c.allowed
		result := Search(c.scenario, NoMutation, c.depth, unbounded)
		t.Log(result, result.Events)
		if result.Violation != "" {
			t.Error(result)
		}
		requireEvents(t, c.scenario, result, []Event{EventRetryAfterDuplicate, EventRetryAtNextLeader})
	}
}

// duplicateAndCancellation is the one task on one machine with a duplicated heartbeat, once
// the task runs; its user may cancel it.
func duplicateAndCancellation() *Scenario {
	scenario := OneMachine()
	scenario.Name = "duplicate and cancellation"
	scenario.MaxDuplicates, scenario.MaxFailovers = 1, 1
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// The next leader receives a duplicate before any other heartbeat of its worker: also one of
// an agent epoch that has ended, and one with an attempt that has.
func TestDuplicatesReachTheNextLeader(t *testing.T) {
	scenario := duplicateWhileRunning()
	scenario.Allowed = []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}
	result := Search(scenario, NoMutation, 6, unbounded)
	t.Log(result, result.Events)
	requireEvents(t, scenario, result, []Event{EventDuplicateAtNextLeader, EventDuplicateOfEarlierEpoch, EventDuplicateOfEarlierAttempt})
	if result.Violation != "" {
		t.Error(result)
	}
}
