package modelcheck

import "testing"

// asyncCancellation holds the actions of searches in which a cancellation takes several steps.
var asyncCancellation = []ActionKind{SchedulingPass, PassResponseLost, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, SendCancellation, ExecuteCancellation, CancellationResponseLost, RetryCancellation}

// delaySearches holds the searches for mutations that have an effect only with a delayed
// transaction, a leader refused by the store, or a duplicate after a failover.
var delaySearches = []mutationSearch{
	{TreatUnknownCommitAsSuccess, DelayedTransactionsOfOneTask, []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
	{DropPageGuards, DelayedTransactions, []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask}, 10},
	{DropCancellationGuards, DelayedTransactionsOfOneTask, asyncCancellation, 9},
	{DropJobGuards, DelayedTransactionsOfOneTask, asyncCancellation, 9},
	{IgnoreLeaderLease, leaderRefusedOnOneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, AdvanceTime, Failover}, 8},
	{CountLeaseFromRenewalResponse, leaderRefusedOnOneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, ReceiveRenewalResponse, AdvanceTime}, 9},
	{AcceptDuplicateAsTokenShown, duplicateWhileRunning, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 9},
}

// Guards against invariants that fail when messages between controllers and the key-value store
// are delayed or lost. Each guard against such delays must be necessary: without it the search
// finds a violation.
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

// leaderRefusedOnOneMachine returns LeaderRefusedByStore with one machine, after the task is placed
// and the store has started to refuse the leader.
func leaderRefusedOnOneMachine() *Scenario {
	scenario := LeaderRefusedByStore()
	scenario.Zones = scenario.Zones[:1]
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: ToggleStoreRefusal}}
	return scenario
}

// duplicateWhileRunning returns DuplicateAfterFailover after the task has started to run on the
// first machine. The machine's last heartbeat does not list the task yet.
func duplicateWhileRunning() *Scenario {
	scenario := DuplicateAfterFailover()
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// Guards against faults when a duplicate overtakes the heartbeat that it copies, while the worker
// waits for the response. The original heartbeat then gets its response from the leader that has
// launched tasks in response to the duplicate, or from the next leader.
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

// duplicateAndCancellation returns OneMachine with a duplicated heartbeat, after the task has
// started to run. The user may cancel the task.
func duplicateAndCancellation() *Scenario {
	scenario := OneMachine()
	scenario.Name = "duplicate and cancellation"
	scenario.MaxDuplicates, scenario.MaxFailovers = 1, 1
	scenario.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return scenario
}

// Guards against faults when the first heartbeat that the next leader receives of a worker is a
// duplicate. The duplicate may be of an earlier agent epoch or list an attempt that has ended.
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
