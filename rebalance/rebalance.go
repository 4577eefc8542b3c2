// Package rebalance plans the task moves of one rebalancing cycle, within one group of similar
// machines, called hosts here. It uses bin packing: the hosts with the lowest utilization are
// drained onto those with the highest, so that a host becomes free for a waiting task that
// fits nowhere.
//
// The package is pure: the same input gives the same moves. Package cluster forms the groups
// and carries the moves out with checkpoints.
package rebalance

import (
	"slices"
	"sort"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// roundingError is the tolerance when a booked share, which is computed from sums of fractions, is
// compared with a threshold.
const roundingError = 1e-9

// Task is a task on a host.
type Task struct {
	ID      placement.Task
	Need    placement.Resources
	Movable bool // may be stopped and restarted on another host
	Spot    bool // may run on spot instances
}

// Host is a machine of the group.
type Host struct {
	Capacity placement.Resources
	Used     placement.Resources
	Spot     bool
	Tasks    []Task
}

// Group is the input of a cycle.
type Group struct {
	Policies []config.Policy // one per balanced resource
	Hosts    []Host
	MaxMoves int       // maximum number of moves in this cycle
	Unplaced []Waiting // waiting tasks that fit nowhere
}

// Waiting is the requirement of a waiting task.
type Waiting struct {
	Need placement.Resources
	Spot bool // may run on spot instances
}

// mayUse reports whether the task would fit on the host if the host were empty.
func (w Waiting) mayUse(h *Host) bool { return w.Need.Fits(h.Capacity) && (w.Spot || !h.Spot) }

// Move moves a task from one host to another; From and To are indices in Group.Hosts.
type Move struct {
	Task     placement.Task
	From, To int
}

// amountOf returns the amount of one resource.
func amountOf(resource config.Resource, r placement.Resources) float64 {
	switch resource {
	case config.ResourceCPUs:
		return r.CPU
	case config.ResourceGPUs:
		return r.GPU
	}
	return r.Mem
}

// bookedShare returns the share of a policy's resource that tasks use, from 0 to 1. It is 0 for a
// host without that resource.
func bookedShare(p *config.Policy, capacity, used placement.Resources) float64 {
	total := amountOf(p.Resource, capacity)
	if total <= 0 {
		return 0
	}
	return amountOf(p.Resource, used) / total
}

// Imbalance returns the weighted sum of the imbalances of a group's policies, and whether any
// policy with a positive weight has an imbalance above its threshold. The imbalance of a policy is
// the difference between the highest and the lowest booked share of a host.
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

// utilization returns the weighted sum of the policies' booked shares.
func (g *Group) utilization(capacity, used placement.Resources) float64 {
	sum := 0.0
	for i := range g.Policies {
		sum += g.Policies[i].Weight * bookedShare(&g.Policies[i], capacity, used)
	}
	return sum
}

// Plan returns the moves of a cycle. It returns none if the imbalance of every policy is within
// its threshold. A host is only drained completely, and only if a waiting task that fits nowhere
// will then fit there.
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

// leastUtilizedFirst returns the indices of the hosts, sorted by increasing utilization.
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
	used      []placement.Resources // by host, after the moves so far
	drained   []bool                // by host: tasks are moved from it
	receiving []bool                // by host: tasks are moved to it
	unplaced  []Waiting             // waiting tasks for which no host is drained yet
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

// tryDrain drains a host if an unplaced task would then fit there, the moves are within MaxMoves,
// and every task of the host has another host to move to. A host that receives tasks in this cycle
// is not drained.
func (p *planner) tryDrain(host int) {
	h := &p.group.Hosts[host]
	if len(h.Tasks) == 0 || p.receiving[host] || len(h.Tasks) > p.group.MaxMoves-len(p.moves) {
		return
	}
	fitting := slices.IndexFunc(p.unplaced, func(w Waiting) bool { return w.mayUse(h) })
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

// movesToDrain returns moves of all tasks of a host to other hosts, and the used resources of each
// host after the moves. It returns nil if a task can't be moved.
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

// fullestThatFits returns the index of the host with the highest utilization on which a task fits
// without exceeding a capacity threshold, or -1. used holds the used resources of each host.
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

// withinThresholds reports whether the booked shares of a host with the given capacity and usage
// are within the capacity threshold of each policy.
func (g *Group) withinThresholds(capacity, used placement.Resources) bool {
	for i := range g.Policies {
		p := &g.Policies[i]
		if bookedShare(p, capacity, used) > p.CapacityThreshold+roundingError {
			return false
		}
	}
	return true
}
