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

// PlanScaling compares a pool's machines with its target size. affordable is how many
// it can pay for; what is beyond that leaves at once, whatever runs there.
func (p *Pool) PlanScaling(own, free []Observation, target, affordable int) ScalingPlan {
	s := scaling{pool: p, own: slices.Clone(own), free: slices.Clone(free), heldByZone: map[string]int{}}
	for i := range own {
		if own[i].available() {
			s.heldByZone[own[i].Zone]++
			s.held++
		}
	}
	if s.held > target {
		s.release(target)
		s.evict(affordable)
		return s.plan
	}
	s.retain(target)
	s.join(target)
	s.scaleOut(target)
	return s.plan
}

// scaling is a scaling plan being made. Each step marks what it has decided in own and
// free, so that the next one does not choose the same machine.
type scaling struct {
	pool       *Pool
	own, free  []Observation
	heldByZone map[string]int // machines held
	held       int            // machines held, in all zones
	plan       ScalingPlan
}

// remove takes a machine of the pool out of what is held.
func (s *scaling) remove(o *Observation) {
	o.Leaving = true
	s.heldByZone[o.Zone]--
	s.held--
}

// release lets idle machines go: the zone that has most gives first, then what has no
// weights.
func (s *scaling) release(target int) {
	for s.held > target {
		i := s.pool.cheapest(s.own, func(o *Observation) bool { return o.available() && !o.Busy },
			func(o *Observation) int { return -10*s.heldByZone[o.Zone] + o.readyScore() })
		if i < 0 {
			return
		}
		s.remove(&s.own[i])
		s.plan.Release = append(s.plan.Release, s.own[i].Machine)
	}
}

// evict takes machines that the pool can't pay for out of it.
func (s *scaling) evict(affordable int) {
	for s.held > affordable {
		i := s.pool.cheapest(s.own, (*Observation).available,
			func(o *Observation) int { return -10*s.heldByZone[o.Zone] + o.servingScore() })
		if i < 0 {
			return
		}
		s.remove(&s.own[i])
		s.plan.Evict = append(s.plan.Evict, s.own[i].Machine)
	}
}

// retain keeps machines that had been let go and are still there.
func (s *scaling) retain(target int) {
	for s.held < target {
		i := s.pool.cheapest(s.own, func(o *Observation) bool { return o.Leaving && o.Ready },
			func(o *Observation) int { return 10*s.heldByZone[o.Zone] - o.readyScore() })
		if i < 0 {
			return
		}
		s.own[i].Leaving = false
		s.heldByZone[s.own[i].Zone]++
		s.held++
		s.plan.Retain = append(s.plan.Retain, s.own[i].Machine)
	}
}

// join takes free machines in. Where replicas run anyhow, the weights are there already;
// else an empty machine is filled. One that boots may be for work that waits.
func (s *scaling) join(target int) {
	for s.held < target {
		i := s.pool.cheapest(s.free, func(o *Observation) bool { return o.Ready && !o.Leaving && (!o.Busy || o.Serving && o.Warm) },
			func(o *Observation) int { return 10*s.heldByZone[o.Zone] - 1000*o.warmScore() })
		if i < 0 {
			return
		}
		s.free[i].Leaving = true // taken
		s.heldByZone[s.free[i].Zone]++
		s.held++
		s.plan.Join = append(s.plan.Join, s.free[i].Machine)
	}
}

// scaleOut rents what is still lacking, in the zones that have least. Free machines
// that boot count: they may join once they are up.
func (s *scaling) scaleOut(target int) {
	coming := 0
	for i := range s.free {
		if s.free[i].Booting && !s.free[i].Leaving {
			s.heldByZone[s.free[i].Zone]++
			coming++
		}
	}
	for k := s.held + coming; k < target && len(s.pool.Zones) > 0; k++ {
		z := slices.MinFunc(s.pool.Zones, func(a, b string) int { return cmp.Compare(s.heldByZone[a], s.heldByZone[b]) })
		if s.plan.ScaleOut == nil {
			s.plan.ScaleOut = map[string]int{}
		}
		s.plan.ScaleOut[z]++
		s.heldByZone[z]++
	}
}

// warmScore, readyScore and servingScore rank machines: having the weights counts most.
func (s *Observation) warmScore() int {
	if s.Warm {
		return 2
	}
	return 0
}

func (s *Observation) readyScore() int {
	if s.Ready {
		return s.warmScore() + 1
	}
	return s.warmScore()
}

func (s *Observation) servingScore() int {
	if s.Serving {
		return s.warmScore() + 1
	}
	return s.warmScore()
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
func (p *Pool) Access(w *Workload) placement.PoolAccess {
	switch {
	case p.Serves(w.Image) && p.AllowsTeam(w.Team):
		return placement.OwnerAccess
	case w.Tier < w.ModelTier || w.Tier == w.ModelTier && w.Priority < w.ModelPriority:
		return placement.LastResortAccess
	case p.AllowsTeam(w.Team) && !w.Gang && w.Priority > w.ModelPriority && w.Checkpoints && w.CheckpointSeconds <= p.Burst.WithinS:
		return placement.BorrowAccess
	}
	return placement.NoAccess
}
