// Package rebalance plans the moves of one group of like machines, in the pack
// mode of the design's source: the least booked machines are drained onto the
// fullest ones. It is pure: the same input gives the same moves.
package rebalance

import (
	"sort"

	"github.com/umberdeal/umberdeal/placement"
)

// Policy is one resource's part in the combined imbalance.
type Policy struct {
	Resource          string
	Weight            float64
	Threshold         float64
	CapacityThreshold float64
}

func (p *Policy) of(r placement.Resources) float64 {
	switch p.Resource {
	case "cpus":
		return r.CPU
	case "gpus":
		return r.GPU
	}
	return r.Mem
}

// Task is a task on a host.
type Task struct {
	Ref     placement.Task
	Need    placement.Resources
	Movable bool
	Spot    bool // may run on spot machines
}

// Host is a machine of the group.
type Host struct {
	Cap   placement.Resources
	Used  placement.Resources
	Spot  bool
	Tasks []Task
}

// Group is what a cycle looks at.
type Group struct {
	Policies []Policy
	Hosts    []Host
	Budget   int
	Wanted   []placement.Resources // what waits and fits nowhere
}

// Move takes a task from one host to another, by their places in the group.
type Move struct {
	Task     placement.Task
	From, To int
}

// score is booked over capacity, for a policy.
func score(p *Policy, capacity, used placement.Resources) float64 {
	c := p.of(capacity)
	if c <= 0 {
		return 0
	}
	return p.of(used) / c
}

// Imbalance is the combined imbalance, and whether a policy's own is above its
// threshold.
func Imbalance(g *Group) (combined float64, above bool) {
	for i := range g.Policies {
		p := &g.Policies[i]
		low, high := 0.0, 0.0
		for k := range g.Hosts {
			s := score(p, g.Hosts[k].Cap, g.Hosts[k].Used)
			if k == 0 || s < low {
				low = s
			}
			if k == 0 || s > high {
				high = s
			}
		}
		combined += p.Weight * (high - low)
		above = above || p.Weight > 0 && high-low > p.Threshold
	}
	return combined, above
}

func (g *Group) weight(capacity, r placement.Resources) float64 {
	sum := 0.0
	for i := range g.Policies {
		sum += g.Policies[i].Weight * score(&g.Policies[i], capacity, r)
	}
	return sum
}

// Plan returns the moves of a cycle. A host is drained only as a whole, and
// only where that makes room that is wanted.
func Plan(g Group) []Move {
	if len(g.Hosts) < 2 || len(g.Wanted) == 0 {
		return nil
	}
	if _, above := Imbalance(&g); !above {
		return nil
	}
	order := make([]int, len(g.Hosts))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool {
		x, y := &g.Hosts[order[a]], &g.Hosts[order[b]]
		return g.weight(x.Cap, x.Used) < g.weight(y.Cap, y.Used)
	})
	used := make([]placement.Resources, len(g.Hosts))
	draining := make([]bool, len(g.Hosts))
	receiving := make([]bool, len(g.Hosts))
	for i := range g.Hosts {
		used[i] = g.Hosts[i].Used
	}
	var moves []Move
	wanted := g.Wanted
	for _, from := range order {
		h := &g.Hosts[from]
		if len(wanted) == 0 || len(moves) >= g.Budget {
			break
		}
		if len(h.Tasks) == 0 || receiving[from] || len(h.Tasks) > g.Budget-len(moves) {
			continue
		}
		want := -1
		for i, w := range wanted {
			if w.Fits(h.Cap) {
				want = i
				break
			}
		}
		if want < 0 {
			continue
		}
		draining[from] = true
		got := g.drain(from, used, draining)
		if got == nil {
			draining[from] = false
			continue
		}
		for _, mv := range got {
			receiving[mv.To] = true
		}
		moves = append(moves, got...)
		wanted = append(append([]placement.Resources(nil), wanted[:want]...), wanted[want+1:]...)
	}
	return moves
}

// drain finds a place for every task of a host, or returns nil.
func (g *Group) drain(from int, used []placement.Resources, draining []bool) []Move {
	h := &g.Hosts[from]
	tasks := append([]Task(nil), h.Tasks...)
	sort.SliceStable(tasks, func(a, b int) bool {
		return g.weight(h.Cap, tasks[a].Need) > g.weight(h.Cap, tasks[b].Need)
	})
	after := append([]placement.Resources(nil), used...)
	var moves []Move
	for _, t := range tasks {
		if !t.Movable {
			return nil
		}
		best, bestScore := -1, 0.0
		for to := range g.Hosts {
			d := &g.Hosts[to]
			if draining[to] || d.Spot && !t.Spot {
				continue
			}
			next := after[to].Add(t.Need, 1)
			if !next.Fits(d.Cap) || !g.under(d.Cap, next) {
				continue
			}
			if s := g.weight(d.Cap, after[to]); best < 0 || s > bestScore {
				best, bestScore = to, s
			}
		}
		if best < 0 {
			return nil
		}
		after[best] = after[best].Add(t.Need, 1)
		moves = append(moves, Move{Task: t.Ref, From: from, To: best})
	}
	after[from] = placement.Resources{}
	copy(used, after)
	return moves
}

// under says whether every projected score keeps to its capacity threshold.
func (g *Group) under(capacity, used placement.Resources) bool {
	for i := range g.Policies {
		p := &g.Policies[i]
		if score(p, capacity, used) > p.CapacityThreshold+1e-9 {
			return false
		}
	}
	return true
}
