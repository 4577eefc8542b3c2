package warmpool

import (
	"cmp"
	"slices"

	"github.com/umberdeal/umberdeal/placement"
)

// This file says which machines a pool takes, fills and lets go.

// Observation is a machine as the leader sees it: one of the pool's, or one that is free
// and of the pool's types and zones.
type Observation struct {
	Machine  string
	Zone     string
	Warm     bool // has the weights
	Ready    bool // can take work now
	Booting  bool // should be up soon
	Busy     bool // work is on it
	Serving  bool // replicas of the model are, and nothing else is
	Fetching bool // fetches the weights
	Leaving  bool // was let go, and is not yet returned
}

// available says whether a machine counts as held: one that is silent, noticed or
// gone serves nobody, and is replaced at once.
func (s *Observation) available() bool { return (s.Ready || s.Booting) && !s.Leaving }

// CountHeld is how many of a pool's machines count as held.
func CountHeld(own []Observation) int {
	n := 0
	for i := range own {
		if own[i].available() {
			n++
		}
	}
	return n
}

// ScalingPlan is what a pool does next.
type ScalingPlan struct {
	Join     []string       // free machines that become the pool's
	Retain   []string       // machines that had been let go, and are wanted again
	Release  []string       // to be returned, once they are empty
	Evict    []string       // leave the pool as they are: it can't pay for them
	ScaleOut map[string]int // by zone
}

// PlanScaling compares a pool's machines with how many it aims at. affords is how many
// it can pay for; what is beyond leaves at once, whatever runs there.
func (p *Pool) PlanScaling(own, free []Observation, aim, affords int) ScalingPlan {
	var c ScalingPlan
	held := map[string]int{} // by zone
	n := 0
	for i := range own {
		if own[i].available() {
			held[own[i].Zone]++
			n++
		}
	}
	own = slices.Clone(own)
	if n > aim {
		// The zone that has most gives first, then what has no weights.
		for n > aim {
			i := p.cheapest(own, func(s *Observation) bool { return s.available() && !s.Busy }, func(s *Observation) int {
				return -10*held[s.Zone] + twoFlags(s.Warm, s.Ready)
			})
			if i < 0 {
				break
			}
			own[i].Leaving = true
			held[own[i].Zone]--
			n--
			c.Release = append(c.Release, own[i].Machine)
		}
		for n > affords {
			i := p.cheapest(own, (*Observation).available, func(s *Observation) int { return -10*held[s.Zone] + twoFlags(s.Warm, s.Serving) })
			if i < 0 {
				break
			}
			own[i].Leaving = true
			held[own[i].Zone]--
			n--
			c.Evict = append(c.Evict, own[i].Machine)
		}
		return c
	}
	for n < aim {
		i := p.cheapest(own, func(s *Observation) bool { return s.Leaving && s.Ready }, func(s *Observation) int { return 10*held[s.Zone] - twoFlags(s.Warm, s.Ready) })
		if i < 0 {
			break
		}
		own[i].Leaving = false
		held[own[i].Zone]++
		n++
		c.Retain = append(c.Retain, own[i].Machine)
	}
	free = slices.Clone(free)
	// Where replicas run anyhow, the weights are there already; else an empty
	// machine is filled. One that boots may be for work that waits.
	for n < aim {
		i := p.cheapest(free, func(s *Observation) bool { return s.Ready && !s.Leaving && (!s.Busy || s.Serving && s.Warm) }, func(s *Observation) int {
			return 10*held[s.Zone] - 1000*twoFlags(s.Warm, false)
		})
		if i < 0 {
			break
		}
		free[i].Leaving = true // taken
		held[free[i].Zone]++
		n++
		c.Join = append(c.Join, free[i].Machine)
	}
	coming := 0
	for i := range free {
		if free[i].Booting && !free[i].Leaving {
			held[free[i].Zone]++
			coming++
		}
	}
	for k := n + coming; k < aim && len(p.Zones) > 0; k++ {
		z := slices.MinFunc(p.Zones, func(a, b string) int { return cmp.Compare(held[a], held[b]) })
		if c.ScaleOut == nil {
			c.ScaleOut = map[string]int{}
		}
		c.ScaleOut[z]++
		held[z]++
	}
	return c
}

func twoFlags(a, b bool) int {
	n := 0
	if a {
		n += 2
	}
	if b {
		n++
	}
	return n
}

// cheapest is the first of the cheapest that will do, or -1.
func (p *Pool) cheapest(all []Observation, ok func(*Observation) bool, cost func(*Observation) int) int {
	best, least := -1, 0
	for i := range all {
		if !ok(&all[i]) {
			continue
		}
		if c := cost(&all[i]); best < 0 || c < least {
			best, least = i, c
		}
	}
	return best
}

// NextFetches says which of a pool's machines fetch the weights next, so that no more
// than AtOnce do at the same time and the zones are filled alike.
func (p *Pool) NextFetches(own []Observation) []string {
	room := p.MaxConcurrentFetches()
	warm := map[string]int{}
	for i := range own {
		if own[i].Fetching {
			room--
		}
		if own[i].Warm || own[i].Fetching {
			warm[own[i].Zone]++
		}
	}
	own = slices.Clone(own)
	var out []string
	for len(out) < room {
		i := p.cheapest(own, func(s *Observation) bool { return s.Ready && !s.Leaving && !s.Warm && !s.Fetching },
			func(s *Observation) int { return warm[s.Zone] })
		if i < 0 {
			break
		}
		own[i].Fetching = true
		warm[own[i].Zone]++
		out = append(out, own[i].Machine)
	}
	return out
}

// Workload is what a job looks like to a pool.
type Workload struct {
	Image             string
	Team              string
	Priority          int // its priority, 0 being the highest
	Tier              int // of the operators' order, 0 being served first
	Gang              bool
	CheckpointSeconds float64 // how long it takes to save when it is stopped
	Checkpoints       bool
	ModelPriority     int // rank of the model's replicas
	ModelTier         int // and their tier
}

// Access says what work may do with the pool's machines. What borrows has to give way
// to replicas by the rules of priorities, and within the time that a burst leaves.
func (p *Pool) Access(w *Workload) placement.Use {
	switch {
	case p.Serves(w.Image) && p.AllowsTeam(w.Team):
		return placement.Own
	case w.Tier < w.ModelTier || w.Tier == w.ModelTier && w.Priority < w.ModelPriority:
		return placement.Last
	case p.AllowsTeam(w.Team) && !w.Gang && w.Priority > w.ModelPriority && w.Checkpoints && w.CheckpointSeconds <= p.Burst.WithinS:
		return placement.Lent
	}
	return placement.Never
}
