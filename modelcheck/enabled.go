package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// delayActions lists what of it may happen next.
func (s *System) delayActions() (out []Action) {
	if s.delayedCount < s.scenario.MaxDelayedCommits {
		out = append(out, Action{Kind: PassCommitDelayed})
	}
	for i := range s.delayedCommits {
		out = append(out, Action{ExecuteDelayedCommit, uint8(i)})
	}
	for i := range s.scenario.AsyncCancellations {
		id := s.scenario.Jobs[i].ID
		_, active := s.activeRecord(id)
		_, told := s.cancelledAt[id]
		if _, under := s.cancellations[id]; under {
			out = append(out, Action{ExecuteCancellation, uint8(i)}, Action{CancellationResponseLost, uint8(i)})
		} else if active {
			out = append(out, Action{SendCancellation, uint8(i)})
		} else if s.cancelRequested[id] && !told {
			out = append(out, Action{RetryCancellation, uint8(i)})
		}
	}
	if s.storeRefuses || s.refusalCount < s.scenario.MaxStoreRefusals {
		out = append(out, Action{Kind: ToggleStoreRefusal})
	}
	if s.renewalPending {
		out = append(out, Action{Kind: ReceiveRenewalResponse})
	}
	return out
}

// planActions lists what may happen to the order next.
func (s *System) planActions() (out []Action) {
	if s.scenario.MaxPlans == 0 {
		return nil
	}
	out = append(out, Action{Kind: ScheduleWithoutCommit})
	if s.planNumber < s.scenario.MaxPlans {
		out = append(out, Action{Kind: ApplyPlan})
	}
	if s.scenario.DeferredJobs > 0 && !s.deferredAccepted {
		out = append(out, Action{Kind: AcceptJob})
	}
	if s.leader.PlanGuard().Version != s.store[jobstore.PlanHeadKey].version {
		out = append(out, Action{Kind: LoadPlan})
	}
	return out
}

// EnabledActions lists what may happen next.
func (s *System) EnabledActions() []Action {
	out := s.enabledActions()
	if s.scenario.Allowed != nil {
		out = slices.DeleteFunc(out, func(a Action) bool { return !slices.Contains(s.scenario.Allowed, a.Kind) })
	}
	return out
}

func (s *System) enabledActions() []Action {
	out := append([]Action{{Kind: SchedulingPass}, {Kind: PassResponseLost}, {Kind: AdvanceTime}}, append(s.planActions(), s.delayActions()...)...)
	if s.failovers < s.scenario.MaxFailovers {
		out = append(out, Action{Kind: Failover})
	}
	for i, k := range s.workers {
		n := uint8(i)
		switch {
		case k.pending == nil:
			out = append(out, Action{HeartbeatRoundTrip, n})
			if i >= len(s.workers)-s.scenario.ReliableMachines {
				break
			}
			out = append(out, Action{SendHeartbeat, n})
			if s.formerLeader != nil && !k.unreachable {
				out = append(out, Action{FormerLeaderRoundTrip, n})
			}
		case k.pending.received && k.unreachable:
			out = append(out, Action{AbandonHeartbeat, n})
		case k.pending.received:
			out = append(out, Action{ReceiveResponse, n}, Action{AbandonHeartbeat, n})
		default:
			out = append(out, Action{ReceiveHeartbeat, n}, Action{AbandonHeartbeat, n})
		}
		if k.unreachable || s.partitionCount < s.scenario.MaxPartitions {
			out = append(out, Action{ToggleReachability, n})
		}
		if k.lastHeartbeat != nil {
			out = append(out, Action{DuplicateHeartbeat, n})
		}
		if slices.ContainsFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskFetching }) {
			out = append(out, Action{ImageFetched, n})
			if s.refusedStarts < s.scenario.MaxRefusedStarts {
				out = append(out, Action{RefuseStart, n})
			}
		}
		if slices.ContainsFunc(k.tasks, func(t *task) bool { return t.state == wire.TaskRunning }) {
			out = append(out, Action{CompleteTask, n})
		}
	}
	for i := range s.delayedHeartbeats {
		out = append(out, Action{ReceiveDelayedHeartbeat, uint8(i)})
	}
	for i := range s.abandonedResponses {
		out = append(out, Action{ReceiveAbandonedResponse, uint8(i)})
	}
	for i := range s.duplicates {
		out = append(out, Action{ReceiveDuplicate, uint8(i)})
	}
	for i := range s.pushes {
		if s.workers[s.pushes[i].worker].unreachable {
			continue
		}
		out = append(out, Action{ReceivePush, uint8(i)})
	}
	for i := range s.scenario.CancellableJobs {
		if _, ok := s.activeRecord(s.scenario.Jobs[i].ID); ok {
			out = append(out, Action{CancelJob, uint8(i)})
		}
	}
	if len(s.cancelledAt)+len(s.cancelRequested) > 0 && s.watchedRevision < s.revision && !s.storeRefuses {
		out = append(out, Action{Kind: DeliverWatch})
	}
	return out
}
