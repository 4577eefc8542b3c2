package controller

import (
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
)

// This file is what a node does by the operators' order besides leading: whose
// submissions and polls come first when there are too many.

// inOrder is the order of a plan.
type inOrder struct {
	of *plan.Plan
	o  *priority.Order
}

// order is the one in force as far as this node knows, nil if there is none. One
// that is a moment behind serves a request sooner or later than it might have, and
// that is all.
func (n *Node) order() *priority.Order {
	p := n.orders().Plan
	if p == nil {
		return nil
	}
	cur := n.inOrder.Load()
	if cur == nil || cur.of != p {
		cur = &inOrder{p, priority.New(&p.Order)}
		n.inOrder.Store(cur)
	}
	return cur.o
}

// enterTier admits a submission by its tier while many are under way; leave is to
// be called once it is answered. Without an order, and while there is room for
// all, everybody is admitted.
func (n *Node) enterTier(team, class string) (leave func(), ok bool) {
	o := n.order()
	if o == nil {
		return func() {}, true
	}
	tier, of := o.Tier(team, class), o.Tiers()
	if !n.tiers.TryAcquire(tier, of) {
		return nil, false
	}
	return func() { n.tiers.Release(tier, of) }, true
}

// tierOf is a job's tier, the last for one that is not known to be unfinished.
func (n *Node) tierOf(id string) int {
	o := n.order()
	if o == nil {
		return 0
	}
	if team, class, ok := n.jobs.Whose(id); ok {
		return o.Tier(team, class)
	}
	return o.Tiers() - 1
}
