// The effect of each action on the system.

package modelcheck

import "slices"

// transitions maps each kind of action to its effect. arg is the action's argument.
var transitions = map[ActionKind]func(s *System, arg int){
	SchedulingPass:        func(s *System, _ int) { s.schedulingPass(commitAnswered) },
	PassResponseLost:      func(s *System, _ int) { s.schedulingPass(commitResponseLost) },
	PassCommitDelayed:     func(s *System, _ int) { s.schedulingPass(commitDelayed) },
	ScheduleWithoutCommit: func(s *System, _ int) { s.schedule() },
	DeliverWatch:          func(s *System, _ int) { s.deliverWatch() },
	LoadPlan: func(s *System, _ int) {
		s.loadPlan(s.leader)
		s.checkPreemptions()
	},
	Failover:               func(s *System, _ int) { s.failOver() },
	FormerLeaderRoundTrip:  (*System).formerLeaderRoundTrip,
	ReceiveRenewalResponse: func(s *System, _ int) { s.receiveRenewalResponse() },

	HeartbeatRoundTrip:       (*System).roundTrip,
	SendHeartbeat:            func(s *System, worker int) { s.sendHeartbeat(worker) },
	ReceiveHeartbeat:         func(s *System, worker int) { s.receiveHeartbeat(s.workers[worker].pending, s.leader) },
	ReceiveResponse:          func(s *System, worker int) { s.receiveResponse(s.workers[worker].pending) },
	AbandonHeartbeat:         func(s *System, worker int) { s.abandonHeartbeat(s.workers[worker]) },
	ReceiveDelayedHeartbeat:  func(s *System, i int) { s.receiveHeartbeat(remove(&s.delayedHeartbeats, i), s.leader) },
	ReceiveAbandonedResponse: func(s *System, i int) { s.receiveResponse(remove(&s.abandonedResponses, i)) },
	ReceivePush:              func(s *System, i int) { s.receivePush(remove(&s.pushes, i)) },
	ToggleReachability:       (*System).toggleReachability,
	DuplicateHeartbeat:       func(s *System, worker int) { s.duplicateHeartbeat(s.workers[worker]) },
	ReceiveDuplicate: func(s *System, i int) {
		s.receiveHeartbeat(s.duplicates[i], s.leader)
		remove(&s.duplicates, i)
	},
	ImageFetched: (*System).imageFetched,
	CompleteTask: (*System).completeTask,
	RefuseStart:  (*System).refuseStart,

	CancelJob:                (*System).cancelJob,
	SendCancellation:         (*System).sendCancellation,
	ExecuteCancellation:      (*System).executeCancellation,
	CancellationResponseLost: func(s *System, job int) { s.executeCancellationTransaction(s.scenario.Jobs[job].ID) },
	RetryCancellation:        func(s *System, job int) { s.answerCancellation(s.scenario.Jobs[job].ID) },
	AcceptJob:                func(s *System, _ int) { s.acceptDeferredJob() },
	ApplyPlan:                func(s *System, _ int) { s.applyPlan() },
	ExecuteDelayedCommit:     func(s *System, i int) { s.executeTransaction(remove(&s.delayedCommits, i)) },
	ToggleStoreRefusal:       func(s *System, _ int) { s.toggleStoreRefusal() },
	AdvanceTime:              func(s *System, _ int) { s.advanceTime() },
}

// Apply changes the system by an action, which must be enabled, and resets Events.
func (s *System) Apply(a Action) {
	s.Events = nil
	transitions[a.Kind](s, int(a.Arg))
}

// remove deletes the element at an index of a list and returns the element.
func remove[T any](list *[]T, i int) T {
	element := (*list)[i]
	*list = slices.Delete(*list, i, i+1)
	return element
}
