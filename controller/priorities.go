package controller

import (
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
)

// This file admits users' requests by the priority tiers of the operators' plan, when
// there are more than can be served. Scheduling by priority is the leader's (cluster).

// planPriorities are the priorities of one plan, computed once.
type planPriorities struct {
	plan       *plan.Plan
	priorities *priority.Policy
}

// priorities returns the priorities of the plan as far as this node knows it, nil if
// there is none. A node whose plan is a moment old only serves a request sooner or later
// than it might have.
func (n *Node) priorities() *priority.Policy {
	p := n.operatorPlan().Plan
	if p == nil {
		return nil
	}
	cached := n.cachedPriorities.Load()
	if cached == nil || cached.plan != p {
		cached = &planPriorities{p, priority.New(&p.Order)}
		n.cachedPriorities.Store(cached)
	}
	return cached.priorities
}

// admitSubmission admits a submission by its tier; release is to be called once it is
// answered. Without a plan, and while there is room for all, every submission is admitted.
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

// pollTier returns the tier of polls for a job: that of the job, or the last one unless
// the job is known to be unfinished.
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
