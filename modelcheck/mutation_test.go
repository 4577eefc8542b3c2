package modelcheck

import "testing"

// mutationSearch is a search that must find a counterexample under a mutation. With fewer allowed
// actions it can go deeper than searches with all actions.
type mutationSearch struct {
	mutation Mutation
	scenario func() *Scenario
	allowed  []ActionKind // nil: all
	depth    int
}

// narrowed returns the scenario of the search, restricted to its allowed actions.
func (m mutationSearch) narrowed() *Scenario {
	scenario := m.scenario()
	scenario.Allowed = m.allowed
	return scenario
}

// withReliableMachine returns the narrowed scenario with one reliable machine, if there are several
// machines and the actions are restricted.
func (m mutationSearch) withReliableMachine() *Scenario {
	scenario := m.narrowed()
	if m.allowed != nil && len(scenario.Zones) > 1 {
		scenario.ReliableMachines = 1
	}
	return scenario
}

// mutationSearches holds the searches for mutations that have an effect without delayed transactions,
// refusals by the store and changes of the plan.
var mutationSearches = []mutationSearch{
	{LaunchBeforeCommit, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 8},
	{ForgetBeforeCommit, OneTask, nil, 5},
	{SkipReadBarrier, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, DeliverWatch, AdvanceTime}, 8},
	{HalveWorkerLease, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime}, 9},
	{SkipFailoverWait, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, Failover}, 9},
	{KeepFormerLeader, oneFailover, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, Failover, FormerLeaderRoundTrip}, 12},
	{ReleaseTasksOnCancel, Quota, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, DeliverWatch}, 9},
	{LaunchByPush, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, ReceivePush}, 9},
	{ExecuteAbandonedResponses, OneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveAbandonedResponse, ImageFetched, CancelJob, AdvanceTime}, 12},
	{AcceptStaleHeartbeats, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveDelayedHeartbeat, ImageFetched, AdvanceTime}, 11},
	{AcceptDuplicatesAsNewest, oneDuplicate, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate}, 9},
	{TreatResponsesAsUnreceived, oneFailover, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime}, 12},
	{AssumeTokenShown, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, AbandonHeartbeat, ReceiveDelayedHeartbeat, ReceiveResponse, ImageFetched, Failover}, 13},
}

// oneFailover returns OneTask with one failover and without cancellation.
func oneFailover() *Scenario {
	scenario := OneTask()
	scenario.CancellableJobs, scenario.MaxFailovers = 0, 1
	return scenario
}

// oneDuplicate returns oneFailover with one duplicated heartbeat.
func oneDuplicate() *Scenario {
	scenario := oneFailover()
	scenario.MaxDuplicates = 1
	return scenario
}

// Guards against searches that miss the states in which a guard matters. Without the guard the
// search must find a violation. With the guard the same search must find none.
func TestEachMutationViolatesAnInvariant(t *testing.T) {
	for _, search := range mutationSearches {
		if raceDetector && search.depth >= 10 {
			continue // .ci/run executes these searches without the race detector
		}
		t.Run(search.mutation.String(), func(t *testing.T) {
			scenario := search.withReliableMachine()
			mutated := Search(scenario, search.mutation, search.depth, unbounded)
			t.Log(mutated)
			if mutated.Violation == "" {
				t.Fatal("no counterexample found")
			}
			unmutated := Search(scenario, NoMutation, min(search.depth, len(mutated.Counterexample)), unbounded)
			if unmutated.Violation != "" {
				t.Errorf("without the mutation: %v", unmutated)
			} else {
				t.Logf("without the mutation: %v", unmutated)
			}
		})
	}
}

// Guards against a new mutation that no test searches.
func TestEachMutationIsSearched(t *testing.T) {
	searched := map[Mutation]bool{
		NoMutation:   true,
		ForgetByPush: true, // TestForgetByPushLosesAnOutcome
	}
	for _, searches := range [][]mutationSearch{mutationSearches, delaySearches, planSearches} {
		for _, search := range searches {
			searched[search.mutation] = true
		}
	}
	for mutation := range mutationCount {
		if mutationNames[mutation] == "" {
			t.Errorf("mutation %d has no name", int(mutation))
		}
		if !searched[mutation] {
			t.Errorf("no test searches mutation %q", mutation)
		}
	}
}

// requireCounterexample fails the test unless a search finds a violation under a mutation and, to
// the depth of that violation, none without the mutation.
func requireCounterexample(t *testing.T, scenario *Scenario, mutation Mutation, depth int) {
	t.Helper()
	const minStates = 100
	mutated := Search(scenario, mutation, depth, unbounded)
	t.Log(mutated)
	if mutated.Violation == "" {
		t.Fatal("no counterexample found")
	}
	unmutated := Search(scenario, NoMutation, len(mutated.Counterexample), unbounded)
	t.Logf("without the mutation: %v", unmutated)
	if unmutated.Violation != "" || unmutated.States < minStates {
		t.Errorf("without the mutation: %v", unmutated)
	}
}
