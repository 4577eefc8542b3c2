// Package rebalance plans the moves of one cycle of rebalancing, within one group of
// like machines. It packs: the least booked hosts are drained onto the fullest ones,
// so that a host is free for work that fits nowhere.
//
// It is pure: the same input gives the same moves. Package cluster makes the groups,
// and carries the moves out with checkpoints.
package rebalance

import (
	"slices"
	"sort"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// roundingError is by how much a booked share may pass a threshold, as it is computed
// from sums of fractions.
const roundingError = 1e-9

// Task is a task on a host.
type Task struct {
	ID      placement.Task
	Need    placement.Resources
	Movable bool
	Spot    bool // may run on spot machines
}

// Host is a machine of the group.
type Host struct {
	Capacity placement.Resources
	Used     placement.Resources
	Spot     bool
	Tasks    []Task
}

// Group is what a cycle looks at.
type Group struct {
	Policies []config.Policy
	Hosts    []Host
	MaxMoves int
	Unplaced []placement.Resources // needs of waiting tasks that fit nowhere
}

// Move takes a task from one host to another, by their places in the group.
type Move struct {
	Task     placement.Task
	From, To int
}

// amountOf is the amount of one resource.
func amountOf(resource config.Resource, r placement.Resources) float64 {
	switch resource {
	case config.ResourceCPUs:
		return r.CPU
	case config.ResourceGPUs:
		return r.GPU
	}
	return r.Mem
}

// bookedShare is how much of a policy's resource is booked, as a share of the capacity.
func bookedShare(p *config.Policy, capacity, used placement.Resources) float64 {
	total := amountOf(p.Resource, capacity)
	if total <= 0 {
		return 0
	}
	return amountOf(p.Resource, used) / total
}

// Imbalance is the combined imbalance, and whether that of any policy is above its
// threshold. The imbalance of a policy is the difference between the hosts with the
// highest and the lowest booked share.
func Imbalance(g *Group) (combined float64, above bool) {
	for i := range g.Policies {
		p := &g.Policies[i]
		low, high := 0.0, 0.0
		for k := range g.Hosts {
			share := bookedShare(p, g.Hosts[k].Capacity, g.Hosts[k].Used)
			if k == 0 || share < low {
				low = share
			}
			if k == 0 || share > high {
				high = share
			}
		}
		combined += p.Weight * (high - low)
		above = above || p.Weight > 0 && high-low > p.Threshold
	}
	return combined, above
}

// utilization is the sum of all policies' booked shares by their weights.
func (g *Group) utilization(capacity, used placement.Resources) float64 {
	sum := 0.0
	for i := range g.Policies {
		sum += g.Policies[i].Weight * bookedShare(&g.Policies[i], capacity, used)
	}
	return sum
}

// Plan returns the moves of a cycle. A host is drained only as a whole, and only where
// a waiting task fits there afterwards that fits nowhere now.
func Plan(g Group) []Move {
	if len(g.Hosts) < 2 || len(g.Unplaced) == 0 {
		return nil
	}
	if _, above := Imbalance(&g); !above {
		return nil
	}
	p := newPlanner(&g)
	for _, host := range g.leastUtilizedFirst() {
		if len(p.unplaced) == 0 || len(p.moves) >= g.MaxMoves {
			break
		}
		p.tryDrain(host)
	}
	return p.moves
}

// leastUtilizedFirst are the hosts by their utilization.
func (g *Group) leastUtilizedFirst() []int {
	order := make([]int, len(g.Hosts))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &g.Hosts[order[a]], &g.Hosts[order[b]]
		return g.utilization(x.Capacity, x.Used) < g.utilization(y.Capacity, y.Used)
	})
	return order
}

// planner collects the moves of one cycle.
type planner struct {
	group     *Group
	used      []placement.Resources // of each host, with the moves so far
	drained   []bool                // hosts that tasks are moved from
	receiving []bool                // hosts that tasks are moved to
	unplaced  []placement.Resources // needs that no host has been drained for yet
	moves     []Move
}

func newPlanner(g *Group) *planner {
	p := &planner{
		group: g, used: make([]placement.Resources, len(g.Hosts)), drained: make([]bool, len(g.Hosts)),
		receiving: make([]bool, len(g.Hosts)), unplaced: slices.Clone(g.Unplaced),
	}
	for i := range g.Hosts {
		p.used[i] = g.Hosts[i].Used
	}
	return p
}

// tryDrain drains a host if that makes room for a need that is still unplaced, if it
// takes no more moves than are left, and if all of the host's tasks find a place.
func (p *planner) tryDrain(host int) {
	h := &p.group.Hosts[host]
	if len(h.Tasks) == 0 || p.receiving[host] || len(h.Tasks) > p.group.MaxMoves-len(p.moves) {
		return
	}
	fitting := slices.IndexFunc(p.unplaced, func(need placement.Resources) bool { return need.Fits(h.Capacity) })
	if fitting < 0 {
		return
	}
	moves, after := p.movesToDrain(host)
	if moves == nil {
		return
	}
	p.used = after
	p.drained[host] = true
	for _, move := range moves {
		p.receiving[move.To] = true
	}
	p.moves = append(p.moves, moves...)
	p.unplaced = slices.Delete(p.unplaced, fitting, fitting+1)
}

// movesToDrain finds a place for every task of a host, or returns no moves. With them
// it returns what would be used of each host.
func (p *planner) movesToDrain(host int) ([]Move, []placement.Resources) {
	g, h := p.group, &p.group.Hosts[host]
	tasks := slices.Clone(h.Tasks)
	sort.SliceStable(tasks, func(a, b int) bool {
		return g.utilization(h.Capacity, tasks[a].Need) > g.utilization(h.Capacity, tasks[b].Need)
	})
	after := slices.Clone(p.used)
	var moves []Move
	for i := range tasks {
		t := &tasks[i]
		if !t.Movable {
			return nil, nil
		}
		to := p.fullestThatFits(t, host, after)
		if to < 0 {
			return nil, nil
		}
		after[to] = after[to].Add(t.Need, 1)
		moves = append(moves, Move{Task: t.ID, From: host, To: to})
	}
	after[host] = placement.Resources{}
	return moves, after
}

// fullestThatFits is the host with the highest utilization that has room for a task
// below every capacity threshold, or -1. used is what is used of each host.
func (p *planner) fullestThatFits(t *Task, from int, used []placement.Resources) int {
	best, highest := -1, 0.0
	for to := range p.group.Hosts {
		h := &p.group.Hosts[to]
		if to == from || p.drained[to] || h.Spot && !t.Spot {
			continue
		}
		next := used[to].Add(t.Need, 1)
		if !next.Fits(h.Capacity) || !p.group.withinThresholds(h.Capacity, next) {
			continue
		}
		if u := p.group.utilization(h.Capacity, used[to]); best < 0 || u > highest {
			best, highest = to, u
		}
	}
	return best
}

// withinThresholds says whether every booked share keeps to its capacity threshold.
func (g *Group) withinThresholds(capacity, used placement.Resources) bool {
	for i := range g.Policies {
		p := &g.Policies[i]
		if bookedShare(p, capacity, used) > p.CapacityThreshold+roundingError {
			return false
		}
	}
	return true
}
