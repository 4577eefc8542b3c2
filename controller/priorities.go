package controller

import (
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
)

// This file is what a node does by the operators' order besides leading: whose
// submissions and polls come first when there are too many.

// planPriorities is the order of a plan.
type planPriorities struct {
	plan       *plan.Plan
	priorities *priority.Policy
}

// priorities is the one in force as far as this node knows, nil if there is none. One
// that is a moment behind serves a request sooner or later than it might have, and
// that is all.
func (n *Node) priorities() *priority.Policy {
	p := n.operatorPlan().Plan
	if p == nil {
		return nil
	}
	cur := n.cachedPriorities.Load()
	if cur == nil || cur.plan != p {
		cur = &planPriorities{p, priority.New(&p.Order)}
		n.cachedPriorities.Store(cur)
	}
	return cur.priorities
}

// admitSubmission admits a submission by its tier while many are under way; leave is to
// be called once it is answered. Without an order, and while there is room for
// all, everybody is admitted.
func (n *Node) admitSubmission(team, class string) (leave func(), ok bool) {
	o := n.priorities()
	if o == nil {
		return func() {}, true
	}
	tier, of := o.TierOf(team, class), o.NumTiers()
	if !n.submissionTiers.TryAcquire(tier, of) {
		return nil, false
	}
	return func() { n.submissionTiers.Release(tier, of) }, true
}

// pollTier is a job's tier, the last for one that is not known to be unfinished.
func (n *Node) pollTier(id string) int {
	o := n.priorities()
	if o == nil {
		return 0
	}
	if team, class, ok := n.jobs.TeamAndClass(id); ok {
		return o.TierOf(team, class)
	}
	return o.NumTiers() - 1
}
