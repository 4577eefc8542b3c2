// Mutations: faults that remove a guard, to show that searches find its absence.

package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Mutation is an injected fault that removes one guard.
type Mutation int

// The mutations. NoMutation leaves the service unchanged.
const (
	NoMutation                    Mutation = iota
	LaunchBeforeCommit                     // a launch is sent before its placement is committed
	HalveWorkerLease                       // the leader expires a worker's lease after half of its duration
	SkipFailoverWait                       // a new leader doesn't wait for worker leases that were valid at its election
	AcceptStaleHeartbeats                  // a delayed heartbeat counts as the newest
	AssumeTokenShown                       // the leader trusts a task's absence before the worker has shown the fencing token
	ExecuteAbandonedResponses              // a worker executes a response after its timeout
	LaunchByPush                           // a wake-up launches the task itself
	ForgetBeforeCommit                     // a worker is told to forget an outcome before it is committed
	SkipReadBarrier                        // a leader renews its lease without reading cancellations
	KeepFormerLeader                       // a former leader continues to respond after its lease has expired
	ReleaseTasksOnCancel                   // a cancelled job's tasks count as ended at once
	AcceptDuplicatesAsNewest               // a duplicated heartbeat counts as the newest
	TreatResponsesAsUnreceived             // every response counts as not received, even without evidence from a heartbeat
	DropPlanGuard                          // commits don't depend on the version of the plan
	PreemptWithoutPlanCheck                // preempted tasks are stopped without a check of the plan's version
	TreatUnknownCommitAsSuccess            // a commit without a response counts as successful
	DropPageGuards                         // a write of a placement page doesn't depend on its version
	DropCancellationGuards                 // a user's cancellation has no guards
	DropJobGuards                          // the end of a job doesn't depend on the version of its record
	IgnoreLeaderLease                      // a leader responds after its lease has expired, while there is no other leader
	CountLeaseFromRenewalResponse          // the leader's lease counts from the renewal's response instead of its request
	AcceptDuplicateAsTokenShown            // a duplicated heartbeat counts as having shown the fencing token
	ForgetByPush                           // workers are told to forget outcomes by pushes as well as by responses

	mutationCount // number of the constants above
)

var mutationNames = map[Mutation]string{
	NoMutation:                    "none",
	LaunchBeforeCommit:            "launch before commit",
	HalveWorkerLease:              "half of the worker's lease",
	SkipFailoverWait:              "no wait after failover",
	AcceptStaleHeartbeats:         "stale heartbeats accepted",
	AssumeTokenShown:              "token assumed shown",
	ExecuteAbandonedResponses:     "abandoned responses executed",
	LaunchByPush:                  "launch by push",
	ForgetBeforeCommit:            "forget before commit",
	SkipReadBarrier:               "no read barrier",
	KeepFormerLeader:              "former leader continues",
	ReleaseTasksOnCancel:          "tasks released on cancel",
	AcceptDuplicatesAsNewest:      "duplicates accepted as newest",
	TreatResponsesAsUnreceived:    "responses treated as unreceived",
	DropPlanGuard:                 "no plan guard",
	PreemptWithoutPlanCheck:       "no plan check before preemption",
	TreatUnknownCommitAsSuccess:   "unknown commit taken as success",
	DropPageGuards:                "no page guards",
	DropCancellationGuards:        "no cancellation guards",
	DropJobGuards:                 "no job guards",
	IgnoreLeaderLease:             "leader's lease ignored",
	CountLeaseFromRenewalResponse: "lease counted from renewal's response",
	AcceptDuplicateAsTokenShown:   "duplicate accepted as token shown",
	ForgetByPush:                  "forget by push",
}

func (m Mutation) String() string { return mutationNames[m] }

// guardsUnderMutation returns the guards of a transaction without those that the mutation removes.
func (s *System) guardsUnderMutation(guards []wire.Guard) []wire.Guard {
	var dropped func(key string) bool
	switch s.mutation {
	case DropPlanGuard:
		dropped = func(key string) bool { return key == jobstore.PlanHeadKey }
	case DropPageGuards:
		dropped = isPlacementPageKey
	case DropJobGuards:
		dropped = func(key string) bool { return !isPlacementPageKey(key) }
	default:
		return guards
	}
	return slices.DeleteFunc(slices.Clone(guards), func(g wire.Guard) bool { return dropped(g.Key) })
}

func isPlacementPageKey(key string) bool {
	_, ok := jobstore.ParsePlacementPageKey(key)
	return ok
}

// heartbeatUnderMutation returns the message of a heartbeat as the mutation changes it for the
// leader.
func (s *System) heartbeatUnderMutation(h *heartbeat, fencingToken uint64) wire.Heartbeat {
	const ahead = 1000 // beyond any sequence number of a worker
	message, duplicate := h.message, s.isDuplicate(h)
	if s.mutation == AcceptStaleHeartbeats || s.mutation == AcceptDuplicatesAsNewest && duplicate {
		message.Seq += ahead * s.revision
		s.revision++
	}
	if s.mutation == AssumeTokenShown || s.mutation == AcceptDuplicateAsTokenShown && duplicate {
		message.Token = fencingToken
	}
	return message
}

// mutatePush changes the wake-ups among the commands into launches under LaunchByPush.
func (s *System) mutatePush(commands []wire.Command) {
	if s.mutation != LaunchByPush {
		return
	}
	for i := range commands {
		c := &commands[i]
		if id, _, _ := wire.ParseTaskName(c.Task); c.Op == wire.OpStart {
			c.Task = wire.TaskName(id, 0)
		}
	}
}

// mutateForgets makes the worker of a heartbeat forget outcomes by a push (ForgetByPush) or before
// they are committed (ForgetBeforeCommit).
func (s *System) mutateForgets(h *heartbeat) {
	switch s.mutation {
	case ForgetByPush:
		s.forgetByPush(h)
	case ForgetBeforeCommit:
		for _, t := range h.message.Tasks {
			if t.State == wire.TaskExited {
				h.commands = append(h.commands, wire.Command{Op: wire.OpForget, Task: t.Task, Attempt: t.Attempt})
			}
		}
	}
}

// forgetByPush sends the forget commands of a response by a push as well.
func (s *System) forgetByPush(h *heartbeat) {
	var forgets []wire.Command
	for _, c := range h.commands {
		if c.Op == wire.OpForget {
			forgets = append(forgets, c)
		}
	}
	if len(forgets) == 0 || len(s.pushes) >= maxPushes {
		return
	}
	batch := wire.DirectCommands{Token: h.token, AgentEpoch: h.message.AgentEpoch, Commands: forgets}
	s.pushes = append(s.pushes, push{h.worker, batch, s.workers[h.worker].launchCount})
}

// releaseTasks removes all placements, as if no task were on any machine.
func (s *System) releaseTasks() {
	for key := range s.store {
		if isPlacementPageKey(key) {
			s.revision++
			s.store[key] = storedValue{jobstore.PlacementPage{}, s.revision}
		}
	}
	s.startLeader()
}
