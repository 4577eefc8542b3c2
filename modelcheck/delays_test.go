package modelcheck

import "testing"

// What comes late or is lost between nodes and the state service breaks no rule, and
// each guard is missed when it is taken away.
func TestDelaysAndStoreRefusalsNeedTheirGuards(t *testing.T) {
	for _, c := range []struct {
		without Mutation
		world   *Scenario
		moves   []ActionKind
		depth   int
	}{
		{TreatUnknownCommitAsSuccess, DelayedTransactionsOfOneTask(), []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 9},
		{DropPageGuards, DelayedTransactions(), []ActionKind{SchedulingPass, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask}, 10},
		{DropCancellationGuards, DelayedTransactionsOfOneTask(), []ActionKind{SchedulingPass, PassResponseLost, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, SendCancellation, ExecuteCancellation, CancellationResponseLost, RetryCancellation}, 9},
		{DropJobGuards, DelayedTransactionsOfOneTask(), []ActionKind{SchedulingPass, PassResponseLost, PassCommitDelayed, ExecuteDelayedCommit, HeartbeatRoundTrip, ImageFetched, CompleteTask, SendCancellation, ExecuteCancellation, CancellationResponseLost, RetryCancellation}, 9},
		{IgnoreLeaderLease, leaderRefusedOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, AdvanceTime, Failover}, 8},
		{CountLeaseFromRenewalResponse, leaderRefusedOnOneMachine(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, ToggleStoreRefusal, ReceiveRenewalResponse, AdvanceTime}, 9},
		{AcceptDuplicateAsTokenShown, duplicateWhileRunning(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 9},
	} {
		t.Run(c.without.String(), func(t *testing.T) {
			if raceDetector && c.without == AcceptDuplicateAsTokenShown {
				t.Skip("the largest: .ci/run goes through it without the race detector")
			}
			c.world.Allowed = c.moves
			requireCounterexample(t, c.world, c.without, c.depth)
		})
	}
}

// leaderRefusedOnOneMachine is the same with one machine, once the task is placed and the leader
// refused.
func leaderRefusedOnOneMachine() *Scenario {
	sc := LeaderRefusedByStore()
	sc.Zones, sc.Initial = sc.Zones[:1], []Action{{Kind: SchedulingPass}, {Kind: ToggleStoreRefusal}}
	return sc
}

// duplicateWhileRunning is the same once the task has got on its first machine: the last
// report of that does not list it yet.
func duplicateWhileRunning() *Scenario {
	sc := DuplicateAfterFailover()
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return sc
}

// A copy comes before the very report that its worker waits for an answer to, and that
// is answered as it comes again: at the leader that has launched by it, and at the next.
func TestDuplicatesOvertakeHeartbeats(t *testing.T) {
	for _, c := range []struct {
		world *Scenario
		moves []ActionKind
		depth int
	}{
		{oneDuplicate(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, AbandonHeartbeat, ReceiveDelayedHeartbeat, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 6},
		{duplicateWhileRunning(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}, 6},
		{duplicateAndCancellation(), []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveResponse, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, CancelJob, DeliverWatch, Failover, AdvanceTime}, 7},
	} {
		c.world.Allowed = c.moves
		res := Search(c.world, NoMutation, c.depth, 5_000_000)
		t.Log(res, res.Events)
		if res.Violation != "" {
			t.Error(res)
		}
		for _, what := range []string{eventRetryAfterDuplicate, eventRetryAtNextLeader} {
			if res.Events[what] == 0 {
				t.Errorf("no report was %s", what)
			}
		}
	}
}

// duplicateAndCancellation is the one task on one machine with a copy, once it runs; its user may
// cancel it.
func duplicateAndCancellation() *Scenario {
	sc := OneMachine()
	sc.Name, sc.MaxDuplicates, sc.MaxFailovers = "copy and cancellation", 1, 1
	sc.Initial = []Action{{Kind: SchedulingPass}, {Kind: HeartbeatRoundTrip}, {Kind: ImageFetched}}
	return sc
}

// A copy comes to the next leader before any other report of its worker, of a session
// that has ended since, and with attempts that have: the search has gone through all
// of these.
func TestDuplicatesReachTheNextLeader(t *testing.T) {
	sc := duplicateWhileRunning()
	sc.Allowed = []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate, Failover, AdvanceTime}
	res := Search(sc, NoMutation, 6, 5_000_000)
	t.Log(res, res.Events)
	for _, what := range []string{"first at the next leader", "of an earlier session", "of an earlier attempt"} {
		if res.Events[what] == 0 {
			t.Errorf("no copy was %s", what)
		}
	}
	if res.Violation != "" {
		t.Error(res)
	}
}
