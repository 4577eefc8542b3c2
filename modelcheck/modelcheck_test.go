package modelcheck

import (
	"bytes"
	"os"
	"strconv"
	"testing"
)

// mutationSearches says with which guard taken away, and in which deeper but narrower
// search, a rule must break.
var mutationSearches = []struct {
	breach Mutation
	sc     func() *Scenario
	only   []ActionKind
	depth  int
}{
	{LaunchBeforeCommit, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CompleteTask, Failover}, 8},
	{ForgetBeforeCommit, OneTask, nil, 5},
	{SkipReadBarrier, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, DeliverWatch, AdvanceTime}, 8},
	{HalveWorkerLease, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime}, 9},
	{SkipFailoverWait, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, Failover}, 9},
	{KeepFormerLeader, oneTakeover, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, Failover, FormerLeaderRoundTrip}, 12},
	{ReleaseTasksOnCancel, Quota, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, CancelJob, DeliverWatch}, 9},
	{LaunchByPush, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime, ReceivePush}, 9},
	{ExecuteAbandonedResponses, OneMachine, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, ReceiveAbandonedResponse, ImageFetched, CancelJob, AdvanceTime}, 12},
	{AcceptStaleHeartbeats, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveDelayedHeartbeat, ImageFetched, AdvanceTime}, 11},
	{AcceptDuplicatesAsNewest, oneDuplicate, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, DuplicateHeartbeat, ReceiveDuplicate}, 9},
	{TreatResponsesAsUnreceived, oneTakeover, []ActionKind{SchedulingPass, HeartbeatRoundTrip, ImageFetched, AdvanceTime}, 12},
	{AssumeTokenShown, OneTask, []ActionKind{SchedulingPass, HeartbeatRoundTrip, SendHeartbeat, ReceiveHeartbeat, AbandonHeartbeat, ReceiveDelayedHeartbeat, ReceiveResponse, ImageFetched, Failover}, 13},
}

// oneTakeover is the one task, which nobody cancels, with one change of leader.
func oneTakeover() *Scenario {
	sc := OneTask()
	sc.CancellableJobs, sc.MaxFailovers = 0, 1
	return sc
}

// oneDuplicate is the one task with a late copy of a report.
func oneDuplicate() *Scenario {
	sc := oneTakeover()
	sc.MaxDuplicates = 1
	return sc
}

// exhaustiveDepth is how deep everything that may happen is gone through.
func exhaustiveDepth() int {
	if n, err := strconv.Atoi(os.Getenv("MODEL_DEPTH")); err == nil {
		return n
	}
	return defaultDepth
}

func TestInvariantsHoldInEveryScenario(t *testing.T) {
	for _, sc := range Scenarios() {
		res := Search(sc, NoMutation, exhaustiveDepth(), 50_000_000)
		t.Logf("%s: %v", sc.Name, res)
		if res.Violation != "" || res.States < 500 {
			t.Errorf("%s: %v", sc.Name, res)
		}
	}
}

// Each guard is missed when it is taken away, and with it in its place the very
// same search finds nothing.
func TestEachMutationViolatesAnInvariant(t *testing.T) {
	done := map[Mutation]bool{NoMutation: true}
	for _, p := range mutationSearches {
		done[p.breach] = true
		if raceDetector && p.depth >= 10 {
			continue // .ci/run goes through these without the race detector
		}
		t.Run(p.breach.String(), func(t *testing.T) {
			sc := p.sc()
			sc.Allowed = p.only
			if p.only != nil && len(sc.Zones) > 1 {
				sc.ReliableMachines = 1
			}
			res := Search(sc, p.breach, p.depth, 5_000_000)
			t.Log(res)
			if res.Violation == "" {
				t.Fatal("nothing found")
			}
			if whole := Search(sc, NoMutation, min(p.depth, len(res.Counterexample)), 5_000_000); whole.Violation != "" {
				t.Errorf("with the guard in its place: %v", whole)
			} else {
				t.Logf("with the guard in its place: %v", whole)
			}
		})
	}
	for b := range Breaches {
		if !done[b] {
			t.Errorf("%v is never taken away", b)
		}
	}
}

// requireCounterexample wants a search to find a broken rule with a guard taken away, and nothing, as
// deep as that, with it in its place.
func requireCounterexample(t *testing.T, sc *Scenario, guard Mutation, depth int) {
	t.Helper()
	without := Search(sc, guard, depth, 5_000_000)
	t.Log(without)
	if without.Violation == "" {
		t.Fatal("nothing found")
	}
	whole := Search(sc, NoMutation, len(without.Counterexample), 5_000_000)
	t.Logf("with the guard in its place: %v", whole)
	if whole.Violation != "" || whole.States < 100 {
		t.Errorf("with the guard in its place: %v", whole)
	}
}

// States are merged by their digest: two worlds with the same one must have the
// same successors.
func TestStatesWithEqualDigestsHaveEqualSuccessors(t *testing.T) {
	for _, sc := range Scenarios() {
		first := map[string][]Action{}
		merged := 0
		level := [][]Action{nil}
		for range 4 {
			var next [][]Action
			for _, path := range level {
				for _, a := range replay(sc, NoMutation, path).EnabledActions() {
					p := append(append([]Action(nil), path...), a)
					d := digest(replay(sc, NoMutation, p))
					other, ok := first[d]
					if !ok {
						first[d] = p
						next = append(next, p)
						continue
					}
					if merged++; merged%5 == 0 {
						requireEqualSuccessors(t, sc, other, p)
					}
				}
			}
			level = next
		}
		if merged < 100 {
			t.Errorf("%s: only %d merged", sc.Name, merged)
		}
	}
}

func digest(s *System) string {
	var b bytes.Buffer
	s.Digest(&b)
	return b.String()
}

func requireEqualSuccessors(t *testing.T, sc *Scenario, a, b []Action) {
	t.Helper()
	for _, next := range replay(sc, NoMutation, a).EnabledActions() {
		x, y := replay(sc, NoMutation, append(append([]Action(nil), a...), next)), replay(sc, NoMutation, append(append([]Action(nil), b...), next))
		if digest(x) != digest(y) {
			t.Errorf("%s: after %v and after %v, %v leads to\n%s\nand to\n%s", sc.Name, a, b, next, digest(x), digest(y))
			return
		}
	}
}
