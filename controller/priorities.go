// Admission of users' requests by the priority tiers of the operators' plan, under overload.
// Scheduling by priority is part of package cluster.

package controller

import (
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
)

// planPriorities caches the priorities of one plan.
type planPriorities struct {
	plan       *plan.Plan
	priorities *priority.Policy
}

// priorities returns the priorities of the plan that this node read last, or nil if there is
// none. An outdated plan only affects how soon a request is served.
func (n *Node) priorities() *priority.Policy {
	current := n.operatorPlan().Plan
	if current == nil {
		return nil
	}
	cached := n.cachedPriorities.Load()
	if cached == nil || cached.plan != current {
		cached = &planPriorities{current, priority.New(&current.Order)}
		n.cachedPriorities.Store(cached)
	}
	return cached.priorities
}

// admitSubmission admits a submission by its priority tier. It returns false if the submission
// must be refused. Otherwise the caller must call release after the answer. Without a plan,
// and while the limit is not reached, every submission is admitted.
func (n *Node) admitSubmission(team, class string) (release func(), ok bool) {
	p := n.priorities()
	if p == nil {
		return func() {}, true
	}
	tier, tiers := p.TierOf(team, class), p.NumTiers()
	if !n.submissionTiers.TryAcquire(tier, tiers) {
		return nil, false
	}
	return func() { n.submissionTiers.Release(tier, tiers) }, true
}

// pollTier returns the priority tier of polls for a job. This is the tier of the job if this
// node knows the job as unfinished, and otherwise the last tier. Without a plan it is 0.
func (n *Node) pollTier(id string) int {
	p := n.priorities()
	if p == nil {
		return 0
	}
	if team, class, ok := n.jobs.TeamAndClass(id); ok {
		return p.TierOf(team, class)
	}
	return p.NumTiers() - 1
}
