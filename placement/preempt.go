package placement

import "slices"

// This file makes room by stopping others.

// victim says whether the request may stop the occupant.
func mayPreempt(r *Request, o *Occupant) bool {
	if o.NonPreemptible {
		return false
	}
	if o.Priority > r.Priority {
		return true
	}
	return r.WithinGuarantee && o.OverGuarantee && o.Team != r.Team
}

// tierLoss is what stopping work counts for each tier that it stands before the
// last: more than any work that is lost, so that what may be
// stopped of a later tier goes first wherever it is.
const tierLossSeconds = 1e6

// lessLoss says whether stopping one occupant comes before stopping another.
func preemptedBefore(a, b *Occupant) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	return a.LossSeconds < b.LossSeconds
}

// stopLoss is what a stop costs beyond the lost work: saving, and starting
// again, in seconds.
const restartLossSeconds = 8

// preempt stops the tasks whose loss is least to make room, all of the
// request's tasks or none for a gang. It returns the tasks left.
func (p *planner) preempt(r *Request, tasks []int32) []int32 {
	if len(tasks) == 0 {
		return nil
	}
	zone := r.Zone
	if r.OneZone && zone < 0 {
		bestN, bestLoss := 0, 0.0
		for z := 0; z < p.numZones; z++ {
			made := p.preemptInZone(r, tasks, z)
			n, loss := len(made), 0.0
			for _, d := range made {
				loss += d.loss
			}
			p.undoPreemptions(r, made)
			if n > bestN || n == bestN && n > 0 && loss < bestLoss {
				zone, bestN, bestLoss = z, n, loss
			}
		}
		if zone < 0 {
			return tasks
		}
	}
	made := p.preemptInZone(r, tasks, zone)
	for _, d := range made {
		for _, k := range d.victims {
			p.plan.Preemptions = append(p.plan.Preemptions, p.input.Machines[d.machine].Tasks[k].Task)
		}
	}
	if len(made) > 0 {
		// What was stopped may leave more room than was wanted.
		p.failedSearches[freeSoon] = p.failedSearches[freeSoon][:0]
	}
	return tasks[len(made):]
}

// made is room for one task, made on a machine by stopping some there.
type preemption struct {
	machine int
	victims []int
	loss    float64
}

func (p *planner) preemptInZone(r *Request, tasks []int32, zone int) []preemption {
	need := 1
	if r.Gang {
		need = len(tasks)
	}
	if p.knownToFail(byPreempting, r, zone, need) {
		return nil
	}
	var out []preemption
	judge := func(i int) (preemption, bool) {
		m := &p.input.Machines[i]
		if !p.passesFilter(m, i, r, freeSoon) || zone >= 0 && m.Zone != zone || r.MaxPerZone > 0 && r.PlacedByZone[m.Zone] >= r.MaxPerZone {
			return preemption{}, false
		}
		chosen, loss, ok := p.cheapestVictims(r, m)
		return preemption{i, chosen, loss}, ok
	}
	n := p.takeCheapest(len(tasks), func(i int) (float64, bool) {
		d, ok := judge(i)
		return d.loss, ok
	}, func(i int) bool {
		d, ok := judge(i)
		if ok {
			p.reservePreemption(r, d, 1)
			out = append(out, d)
		}
		return ok
	})
	if n < need {
		p.rememberFailure(byPreempting, r, zone, need)
		p.undoPreemptions(r, out)
		return nil
	}
	return out
}

// make books a task in room that stops make; sign -1 takes that back.
func (p *planner) reservePreemption(r *Request, d preemption, sign float64) {
	m := &p.input.Machines[d.machine]
	for _, k := range d.victims {
		o := &m.Tasks[k]
		if sign > 0 {
			p.stopped[o.Task] = true
		} else {
			delete(p.stopped, o.Task)
		}
		m.Releasing = m.Releasing.Add(o.Need, sign)
	}
	p.reserve(r, d.machine, sign)
}

func (p *planner) undoPreemptions(r *Request, done []preemption) {
	for _, d := range done {
		p.reservePreemption(r, d, -1)
	}
}

// cheapest picks the victims on a machine that free enough room at the least
// loss: least loss first, then without those that turned out not to be needed.
func (p *planner) cheapestVictims(r *Request, m *Machine) ([]int, float64, bool) {
	free := availableRoom(m, freeSoon)
	if r.Need.Fits(free) {
		return nil, m.PenaltySeconds, true
	}
	most := free
	for k := range m.Tasks {
		if o := &m.Tasks[k]; mayPreempt(r, o) && !p.stopped[o.Task] {
			most = most.Add(o.Need, 1)
		}
	}
	if !r.Need.Fits(most) {
		return nil, 0, false
	}
	var chosen []int
	taken := make([]bool, len(m.Tasks))
	for !r.Need.Fits(free) {
		best := -1
		for k := range m.Tasks {
			o := &m.Tasks[k]
			if taken[k] || p.stopped[o.Task] || !mayPreempt(r, o) {
				continue
			}
			if best < 0 || preemptedBefore(o, &m.Tasks[best]) {
				best = k
			}
		}
		if best < 0 {
			return nil, 0, false
		}
		taken[best] = true
		chosen = append(chosen, best)
		free = free.Add(m.Tasks[best].Need, 1)
	}
	// What of earlier tiers turns out not to be needed is spared first.
	slices.SortStableFunc(chosen, func(a, b int) int { return m.Tasks[a].Tier - m.Tasks[b].Tier })
	loss := m.PenaltySeconds
	keep := chosen[:0]
	for _, k := range chosen {
		if less := free.Add(m.Tasks[k].Need, -1); r.Need.Fits(less) {
			free = less
			continue
		}
		keep = append(keep, k)
		loss += m.Tasks[k].LossSeconds + restartLossSeconds + tierLossSeconds*float64(p.lowestTier-m.Tasks[k].Tier)
	}
	return keep, loss, true
}
