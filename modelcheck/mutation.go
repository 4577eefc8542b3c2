package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Mutation names a guard that is taken away. What the service does is None.
type Mutation int

// The guards that can be taken away.
const (
	NoMutation                 Mutation = iota
	LaunchBeforeCommit                  // a launch leaves before its placement is committed
	HalveWorkerLease                    // the leader counts a worker's lease as over at half of it
	SkipFailoverWait                    // a new leader does not count the lease from its takeover
	AcceptStaleHeartbeats               // a report that was held back counts as the newest
	AssumeTokenShown                    // absence counts of a worker that has not shown this token
	ExecuteAbandonedResponses           // a worker executes an answer it has given up
	LaunchByPush                        // a summons is the launch itself
	ForgetBeforeCommit                  // an exit is forgotten before its outcome is committed
	SkipReadBarrier                     // a leader renews its lease without learning of cancellations
	KeepFormerLeader                    // a leader answers on past the end of its lease
	ReleaseTasksOnCancel                // a cancelled job's tasks count as gone at once
	AcceptDuplicatesAsNewest            // a late copy of a report counts as the newest
	TreatResponsesAsUnreceived          // every answer counts as unheard, also where no report has shown that
	Breaches
)

func (b Mutation) String() string {
	switch b {
	case DropPlanGuard:
		return "old order"
	case PreemptWithoutPlanCheck:
		return "old order's stops"
	case ForgetByPush:
		return "direct forget"
	}
	if name, ok := delayMutationNames[b]; ok {
		return name
	}
	return [...]string{"none", "uncommitted launch", "short lease", "no wait after takeover", "stale reports", "token not shown",
		"late answers", "direct launch", "forget at once", "no catching up", "leader goes on", "dropped on cancel", "copies count", "unheard answers"}[b]
}

// ForgetByPush has outcomes forgotten by direct commands as well as in answers.
const ForgetByPush Mutation = 130

// Guards that are taken away here.
const (
	TreatUnknownCommitAsSuccess   Mutation = 110 + iota // a transaction without an answer counts as committed
	DropPageGuards                                      // a page's version is no condition of its next change
	DropCancellationGuards                              // a user's cancellation has no conditions
	DropJobGuards                                       // the end of a job is no matter of its record's version
	IgnoreLeaderLease                                   // a leader answers past its term, while nobody else leads
	CountLeaseFromRenewalResponse                       // the term counts from the renewal's answer, not from its sending
	AcceptDuplicateAsTokenShown                         // a late copy counts as having shown the leader's token
)

var delayMutationNames = map[Mutation]string{TreatUnknownCommitAsSuccess: "no answer counts as committed", DropPageGuards: "page unguarded", DropCancellationGuards: "cancellation unguarded",
	DropJobGuards: "done unguarded", IgnoreLeaderLease: "term ignored", CountLeaseFromRenewalResponse: "term from the answer", AcceptDuplicateAsTokenShown: "copy shows the token"}

// withoutRecordGuards takes conditions away as the breach has it.
func (s *System) withoutRecordGuards(guards []wire.Guard) []wire.Guard {
	if s.mutation != DropPageGuards && s.mutation != DropJobGuards {
		return guards
	}
	return slices.DeleteFunc(slices.Clone(guards), func(g wire.Guard) bool {
		_, page := jobstore.ParsePlacementPageKey(g.Key)
		return page == (s.mutation == DropPageGuards)
	})
}

// DropPlanGuard takes the condition away that ties a commit to the plan in force.
const DropPlanGuard Mutation = 100

// PreemptWithoutPlanCheck lets stops go out without the plan being compared.
const PreemptWithoutPlanCheck Mutation = 101

// withoutPlanGuard are a transaction's.
func (s *System) withoutPlanGuard(guards []wire.Guard) []wire.Guard {
	if s.mutation != DropPlanGuard {
		return guards
	}
	var out []wire.Guard
	for _, g := range guards {
		if g.Key != jobstore.PlanHeadKey {
			out = append(out, g)
		}
	}
	return out
}
