// The actions that are enabled in a state.

package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// EnabledActions returns the actions that may happen next and that the scenario allows. Their
// order decides which counterexample is found first.
func (s *System) EnabledActions() []Action {
	actions := []Action{{Kind: SchedulingPass}, {Kind: PassResponseLost}, {Kind: AdvanceTime}}
	actions = append(actions, s.planActions()...)
	actions = append(actions, s.storeActions()...)
	if s.failovers < s.scenario.MaxFailovers {
		actions = append(actions, Action{Kind: Failover})
	}
	for i := range s.workers {
		actions = append(actions, s.heartbeatActions(i)...)
		actions = append(actions, s.networkActions(i)...)
		actions = append(actions, s.taskActions(i)...)
	}
	actions = append(actions, s.messageActions()...)
	actions = append(actions, s.cancelActions()...)
	if s.scenario.Allowed == nil {
		return actions
	}
	return slices.DeleteFunc(actions, func(a Action) bool { return !slices.Contains(s.scenario.Allowed, a.Kind) })
}

// planActions returns the enabled actions that concern the plan.
func (s *System) planActions() (actions []Action) {
	if s.scenario.MaxPlans == 0 {
		return nil
	}
	actions = append(actions, Action{Kind: ScheduleWithoutCommit})
	if s.planNumber < s.scenario.MaxPlans {
		actions = append(actions, Action{Kind: ApplyPlan})
	}
	if s.scenario.DeferredJobs > 0 && !s.deferredAccepted {
		actions = append(actions, Action{Kind: AcceptJob})
	}
	if s.leader.PlanGuard().Version != s.store[jobstore.PlanHeadKey].version {
		actions = append(actions, Action{Kind: LoadPlan})
	}
	return actions
}

// storeActions returns the enabled actions that concern pending transactions and the connection
// between the leader and the key-value store.
func (s *System) storeActions() (actions []Action) {
	if s.delayedCount < s.scenario.MaxDelayedCommits {
		actions = append(actions, Action{Kind: PassCommitDelayed})
	}
	for i := range s.delayedCommits {
		actions = append(actions, Action{ExecuteDelayedCommit, uint8(i)})
	}
	for i := range s.scenario.AsyncCancellations {
		actions = append(actions, s.asyncCancellationActions(i)...)
	}
	if s.storeRefuses || s.refusalCount < s.scenario.MaxStoreRefusals {
		actions = append(actions, Action{Kind: ToggleStoreRefusal})
	}
	if s.renewalPending {
		actions = append(actions, Action{Kind: ReceiveRenewalResponse})
	}
	return actions
}

// asyncCancellationActions returns the possible next steps of a job's cancellation.
func (s *System) asyncCancellationActions(job int) []Action {
	id, arg := s.scenario.Jobs[job].ID, uint8(job)
	_, underWay := s.cancellations[id]
	_, active := s.activeRecord(id)
	_, answered := s.cancelledAt[id]
	switch {
	case underWay:
		return []Action{{ExecuteCancellation, arg}, {CancellationResponseLost, arg}}
	case active:
		return []Action{{SendCancellation, arg}}
	case s.cancelRequested[id] && !answered:
		return []Action{{RetryCancellation, arg}}
	}
	return nil
}

// heartbeatActions returns the possible next steps of a worker's heartbeat.
func (s *System) heartbeatActions(i int) []Action {
	w, arg := s.workers[i], uint8(i)
	reliable := i >= len(s.workers)-s.scenario.ReliableMachines
	switch {
	case w.pending == nil && reliable:
		return []Action{{HeartbeatRoundTrip, arg}}
	case w.pending == nil && s.formerLeader != nil && !w.unreachable:
		return []Action{{HeartbeatRoundTrip, arg}, {SendHeartbeat, arg}, {FormerLeaderRoundTrip, arg}}
	case w.pending == nil:
		return []Action{{HeartbeatRoundTrip, arg}, {SendHeartbeat, arg}}
	case w.pending.received && w.unreachable:
		return []Action{{AbandonHeartbeat, arg}}
	case w.pending.received:
		return []Action{{ReceiveResponse, arg}, {AbandonHeartbeat, arg}}
	}
	return []Action{{ReceiveHeartbeat, arg}, {AbandonHeartbeat, arg}}
}

// networkActions returns the network faults that may affect a worker.
func (s *System) networkActions(i int) (actions []Action) {
	w, arg := s.workers[i], uint8(i)
	if w.unreachable || s.partitionCount < s.scenario.MaxPartitions {
		actions = append(actions, Action{ToggleReachability, arg})
	}
	if w.lastHeartbeat != nil {
		actions = append(actions, Action{DuplicateHeartbeat, arg})
	}
	return actions
}

// taskActions returns the enabled actions that concern a worker's tasks.
func (s *System) taskActions(i int) (actions []Action) {
	w, arg := s.workers[i], uint8(i)
	if w.firstInState(wire.TaskFetching) != nil {
		actions = append(actions, Action{ImageFetched, arg})
		if s.refusedStarts < s.scenario.MaxRefusedStarts {
			actions = append(actions, Action{RefuseStart, arg})
		}
	}
	if w.firstInState(wire.TaskRunning) != nil {
		actions = append(actions, Action{CompleteTask, arg})
	}
	return actions
}

// messageActions returns the possible arrivals of messages that no sender or receiver waits for.
func (s *System) messageActions() (actions []Action) {
	for i := range s.delayedHeartbeats {
		actions = append(actions, Action{ReceiveDelayedHeartbeat, uint8(i)})
	}
	for i := range s.abandonedResponses {
		actions = append(actions, Action{ReceiveAbandonedResponse, uint8(i)})
	}
	for i := range s.duplicates {
		actions = append(actions, Action{ReceiveDuplicate, uint8(i)})
	}
	for i, p := range s.pushes {
		if !s.workers[p.worker].unreachable {
			actions = append(actions, Action{ReceivePush, uint8(i)})
		}
	}
	return actions
}

// cancelActions returns the cancellations in one step and the leader's read of a cancellation.
func (s *System) cancelActions() (actions []Action) {
	for i := range s.scenario.CancellableJobs {
		if _, ok := s.activeRecord(s.scenario.Jobs[i].ID); ok {
			actions = append(actions, Action{CancelJob, uint8(i)})
		}
	}
	cancelled := len(s.cancelledAt)+len(s.cancelRequested) > 0
	if cancelled && s.watchedRevision < s.revision && !s.storeRefuses {
		actions = append(actions, Action{Kind: DeliverWatch})
	}
	return actions
}
