package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
)

func (s *System) applyDelayAction(a Action) {
	i := int(a.Arg)
	switch a.Kind {
	case PassCommitDelayed:
		s.schedulingPass(PassCommitDelayed)
	case ExecuteDelayedCommit:
		t := s.delayedCommits[i]
		s.delayedCommits = slices.Delete(s.delayedCommits, i, i+1)
		s.executeTransaction(t)
	case SendCancellation:
		s.sendCancellation(i)
	case ExecuteCancellation, CancellationResponseLost:
		id := s.scenario.Jobs[i].ID
		t := s.cancellations[id]
		delete(s.cancellations, id)
		if s.executeTransaction(t) && a.Kind == ExecuteCancellation {
			s.answerCancellation(id)
		}
	case RetryCancellation:
		s.answerCancellation(s.scenario.Jobs[i].ID)
	case ToggleStoreRefusal:
		if s.storeRefuses = !s.storeRefuses; s.storeRefuses {
			s.refusalCount++
			s.renewalSentAt, s.renewalPending = s.step, true
		} else {
			s.renewLease()
		}
	case ReceiveRenewalResponse:
		s.renewalPending = false
		if s.mutation == CountLeaseFromRenewalResponse {
			s.renewalSentAt = s.step
		}
		s.leaseStart = max(s.leaseStart, s.renewalSentAt)
	}
}

func (s *System) applyPlanAction(k ActionKind) {
	switch k {
	case ScheduleWithoutCommit:
		s.leader.Tick(s.now())
		s.schedule()
	case ApplyPlan:
		s.applyPlan()
	case LoadPlan:
		s.loadPlan(s.leader)
		s.checkPreemptions()
	case AcceptJob:
		s.deferredAccepted = true
		s.revision++
		rec := jobstore.JobRecord{Job: s.deferredJob(), AcceptedAtMs: s.now().UnixMilli()}
		s.store[jobstore.JobKey(rec.Job.ID)] = storedValue{rec, s.revision}
		s.leader.ApplyJobRecord(rec.Job.ID, rec, s.revision, s.now())
		s.watchedRevision = max(s.watchedRevision, s.revision)
	}
}

// Apply lets an action happen.
func (s *System) Apply(a Action) {
	i := int(a.Arg)
	s.Events = nil
	switch a.Kind {
	case ScheduleWithoutCommit, ApplyPlan, LoadPlan, AcceptJob:
		s.applyPlanAction(a.Kind)
	case PassCommitDelayed, ExecuteDelayedCommit, SendCancellation, ExecuteCancellation, CancellationResponseLost, RetryCancellation, ToggleStoreRefusal, ReceiveRenewalResponse:
		s.applyDelayAction(a)
	case SchedulingPass, PassResponseLost:
		s.schedulingPass(a.Kind)
	case HeartbeatRoundTrip:
		s.roundTrip(i)
	case SendHeartbeat:
		s.sendHeartbeat(i)
	case ReceiveHeartbeat:
		s.receiveHeartbeat(s.workers[i].pending, s.leader)
	case ReceiveResponse:
		s.receiveResponse(s.workers[i].pending)
	case AbandonHeartbeat:
		s.abandonHeartbeat(s.workers[i])
	case ReceiveDelayedHeartbeat:
		f := s.delayedHeartbeats[i]
		s.delayedHeartbeats = slices.Delete(s.delayedHeartbeats, i, i+1)
		s.receiveHeartbeat(f, s.leader)
	case ReceiveAbandonedResponse:
		f := s.abandonedResponses[i]
		s.abandonedResponses = slices.Delete(s.abandonedResponses, i, i+1)
		s.receiveResponse(f)
	case ReceivePush:
		d := s.pushes[i]
		s.pushes = slices.Delete(s.pushes, i, i+1)
		s.receivePush(d)
	case ImageFetched:
		s.imageFetched(i)
	case RefuseStart:
		s.refuseStart(i)
	case CompleteTask:
		s.completeTask(i)
	case CancelJob:
		s.cancelJob(i)
	case DeliverWatch:
		s.deliverWatch()
	case AdvanceTime:
		s.advanceTime()
	case Failover:
		s.failovers++
		if s.mutation == KeepFormerLeader {
			s.formerLeader = s.leader
		}
		s.startLeader()
	case ToggleReachability:
		k := s.workers[i]
		if k.unreachable = !k.unreachable; k.unreachable {
			s.partitionCount++
		}
	case DuplicateHeartbeat:
		s.duplicateHeartbeat(s.workers[i])
	case ReceiveDuplicate:
		s.receiveHeartbeat(s.duplicates[i], s.leader)
		s.duplicates = slices.Delete(s.duplicates, i, i+1)
	case FormerLeaderRoundTrip:
		f := s.sendHeartbeat(i)
		s.receiveHeartbeat(f, s.formerLeader)
		s.receiveResponse(f)
	}
}
