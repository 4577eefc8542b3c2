// Scaling of warm pools: which machines join, leave, are rented or fetch the weights, and which
// work may use them.

package warmpool

import (
	"cmp"
	"slices"

	"github.com/umberdeal/umberdeal/placement"
)

// Observation is the leader's view of a machine. The machine is a member of the pool, or free and
// of the pool's types and zones.
type Observation struct {
	Machine  string
	Zone     string
	Warm     bool // has the weights
	Ready    bool // can take work now
	Booting  bool // expected to be up soon
	Busy     bool // has work
	Serving  bool // runs replicas of the model and nothing else
	Fetching bool // fetches the weights
	Leaving  bool // released and not yet returned
}

// available reports whether a machine counts as held. Machines that are silent, gone or about to be
// interrupted don't count, so they are replaced at once.
func (o *Observation) available() bool { return (o.Ready || o.Booting) && !o.Leaving }

// CountHeld returns how many of a pool's machines count as held: ready or booting, and not
// leaving.
func CountHeld(own []Observation) int {
	n := 0
	for i := range own {
		if own[i].available() {
			n++
		}
	}
	return n
}

const (
	// zoneWeight is the weight of each machine held in a zone. It exceeds readyScore and servingScore,
	// so that the balance of the zones decides first.
	zoneWeight = 10
	// warmWeight multiplies warmScore for machines that join. Having the weights then counts more
	// than the balance of the zones, up to a difference of 200 machines.
	warmWeight = 1000
)

// ScalingPlan holds the next scaling actions of a pool. Lists hold names of machines.
type ScalingPlan struct {
	Join     []string       // free machines to add to the pool
	Retain   []string       // released machines to keep after all
	Release  []string       // members to return once they are empty
	Evict    []string       // members to remove at once, with their work continuing, because of the cost limit
	ScaleOut map[string]int // number of machines to rent by zone; nil: none
}

// PlanScaling compares a pool's machines with its target size and returns the actions to reach
// it. free holds machines that may join. affordable is the number of machines within the cost
// limit. Members beyond that number leave at once, even if they have work.
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

// scaling is the state while a scaling plan is made. Each step marks its choices in own and free,
// so that the next step does not choose the same machine again.
type scaling struct {
	pool       *Pool
	own, free  []Observation
	heldByZone map[string]int // number of machines held
	held       int            // number of machines held in all zones
	plan       ScalingPlan
}

// remove marks a machine of the pool as leaving and no longer held.
func (s *scaling) remove(o *Observation) {
	o.Leaving = true
	s.heldByZone[o.Zone]--
	s.held--
}

// release releases idle machines. It prefers the zone with the most machines and, within a zone,
// machines without weights.
func (s *scaling) release(target int) {
	for s.held > target {
		i := s.pool.cheapest(s.own, func(o *Observation) bool { return o.available() && !o.Busy },
			func(o *Observation) int { return -zoneWeight*s.heldByZone[o.Zone] + o.readyScore() })
		if i < 0 {
			return
		}
		s.remove(&s.own[i])
		s.plan.Release = append(s.plan.Release, s.own[i].Machine)
	}
}

// evict removes the machines beyond the cost limit. It prefers the zone with the most machines
// and, within a zone, machines without weights.
func (s *scaling) evict(affordable int) {
	for s.held > affordable {
		i := s.pool.cheapest(s.own, (*Observation).available,
			func(o *Observation) int { return -zoneWeight*s.heldByZone[o.Zone] + o.servingScore() })
		if i < 0 {
			return
		}
		s.remove(&s.own[i])
		s.plan.Evict = append(s.plan.Evict, s.own[i].Machine)
	}
}

// retain keeps released machines that have not been returned yet.
func (s *scaling) retain(target int) {
	for s.held < target {
		i := s.pool.cheapest(s.own, func(o *Observation) bool { return o.Leaving && o.Ready },
			func(o *Observation) int { return zoneWeight*s.heldByZone[o.Zone] - o.readyScore() })
		if i < 0 {
			return
		}
		s.own[i].Leaving = false
		s.heldByZone[s.own[i].Zone]++
		s.held++
		s.plan.Retain = append(s.plan.Retain, s.own[i].Machine)
	}
}

// join adds free machines. It prefers machines on which only replicas of the model run, because
// they have the weights already. Otherwise it adds idle ones. Booting machines don't join yet,
// because they may be meant for waiting work.
func (s *scaling) join(target int) {
	for s.held < target {
		i := s.pool.cheapest(s.free, func(o *Observation) bool { return o.Ready && !o.Leaving && (!o.Busy || o.Serving && o.Warm) },
			func(o *Observation) int { return zoneWeight*s.heldByZone[o.Zone] - warmWeight*o.warmScore() })
		if i < 0 {
			return
		}
		s.free[i].Leaving = true // not available to later steps
		s.heldByZone[s.free[i].Zone]++
		s.held++
		s.plan.Join = append(s.plan.Join, s.free[i].Machine)
	}
}

// scaleOut rents the machines that are still missing, in the zones with the fewest machines. Free
// machines that are booting count, because they may join once they are up.
func (s *scaling) scaleOut(target int) {
	booting := 0
	for i := range s.free {
		if s.free[i].Booting && !s.free[i].Leaving {
			s.heldByZone[s.free[i].Zone]++
			booting++
		}
	}
	for k := s.held + booting; k < target && len(s.pool.Zones) > 0; k++ {
		zone := slices.MinFunc(s.pool.Zones, func(a, b string) int { return cmp.Compare(s.heldByZone[a], s.heldByZone[b]) })
		if s.plan.ScaleOut == nil {
			s.plan.ScaleOut = map[string]int{}
		}
		s.plan.ScaleOut[zone]++
		s.heldByZone[zone]++
	}
}

// warmScore ranks machines by whether they have the weights.
func (o *Observation) warmScore() int {
	if o.Warm {
		return 2
	}
	return 0
}

// readyScore ranks machines by whether they have the weights, then by whether they are ready.
func (o *Observation) readyScore() int {
	if o.Ready {
		return o.warmScore() + 1
	}
	return o.warmScore()
}

// servingScore ranks machines by whether they have the weights, then by whether they serve only
// the model.
func (o *Observation) servingScore() int {
	if o.Serving {
		return o.warmScore() + 1
	}
	return o.warmScore()
}

// cheapest returns the index of the first eligible machine with the lowest cost, or -1 if no
// machine is eligible.
func (p *Pool) cheapest(machines []Observation, eligible func(*Observation) bool, cost func(*Observation) int) int {
	best, lowest := -1, 0
	for i := range machines {
		if !eligible(&machines[i]) {
			continue
		}
		if c := cost(&machines[i]); best < 0 || c < lowest {
			best, lowest = i, c
		}
	}
	return best
}

// NextFetches returns the names of the pool's machines that fetch the weights next. At most
// MaxConcurrentFetches machines fetch at the same time, including those that fetch already. Zones
// with the fewest warm machines come first.
func (p *Pool) NextFetches(own []Observation) []string {
	room := p.MaxConcurrentFetches()
	warmByZone := map[string]int{}
	for i := range own {
		if own[i].Fetching {
			room--
		}
		if own[i].Warm || own[i].Fetching {
			warmByZone[own[i].Zone]++
		}
	}
	own = slices.Clone(own)
	var machines []string
	for len(machines) < room {
		i := p.cheapest(own, func(o *Observation) bool { return o.Ready && !o.Leaving && !o.Warm && !o.Fetching },
			func(o *Observation) int { return warmByZone[o.Zone] })
		if i < 0 {
			break
		}
		own[i].Fetching = true
		warmByZone[own[i].Zone]++
		machines = append(machines, own[i].Machine)
	}
	return machines
}

// Workload holds the properties of a job that decide its access to a pool.
type Workload struct {
	Image             string
	Team              string
	Priority          int // 0 is the highest
	Tier              int // index in the operators' order of tiers; 0 is served first
	Gang              bool
	CheckpointSeconds float64 // time to save a checkpoint when the job is stopped
	Checkpoints       bool    // the job saves checkpoints
	ModelPriority     int     // priority of the model's replicas
	ModelTier         int     // tier of the model's replicas
}

// Access returns how a job may use the pool's machines. Replicas of the model have full access if
// their team is allowed. Work of a higher tier or priority than the replicas may use the machines
// as a last resort. Other work of an allowed team may borrow machines if the replicas may preempt
// it and it saves its checkpoint within Burst.WithinS.
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
