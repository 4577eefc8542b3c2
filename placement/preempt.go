package placement

import "slices"

// This file makes room by stopping others.

// victim says whether the request may stop the occupant.
func victim(r *Request, o *Occupant) bool {
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
const tierLoss = 1e6

// lessLoss says whether stopping one occupant comes before stopping another.
func lessLoss(a, b *Occupant) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	return a.LossSeconds < b.LossSeconds
}

// stopLoss is what a stop costs beyond the lost work: saving, and starting
// again, in seconds.
const stopLoss = 8

// preempt stops the tasks whose loss is least to make room, all of the
// request's tasks or none for a gang. It returns the tasks left.
func (p *planner) preempt(r *Request, tasks []int32) []int32 {
	if len(tasks) == 0 {
		return nil
	}
	zone := r.Zone
	if r.OneZone && zone < 0 {
		bestN, bestLoss := 0, 0.0
		for z := 0; z < p.zones; z++ {
			made := p.preemptIn(r, tasks, z)
			n, loss := len(made), 0.0
			for _, d := range made {
				loss += d.loss
			}
			p.unmake(r, made)
			if n > bestN || n == bestN && n > 0 && loss < bestLoss {
				zone, bestN, bestLoss = z, n, loss
			}
		}
		if zone < 0 {
			return tasks
		}
	}
	made := p.preemptIn(r, tasks, zone)
	for _, d := range made {
		for _, k := range d.victims {
			p.plan.Preemptions = append(p.plan.Preemptions, p.in.Machines[d.machine].Tasks[k].Task)
		}
	}
	if len(made) > 0 {
		// What was stopped may leave more room than was wanted.
		p.vain[soon] = p.vain[soon][:0]
	}
	return tasks[len(made):]
}

// made is room for one task, made on a machine by stopping some there.
type made struct {
	machine int
	victims []int
	loss    float64
}

func (p *planner) preemptIn(r *Request, tasks []int32, zone int) []made {
	need := 1
	if r.Gang {
		need = len(tasks)
	}
	if p.inVain(byStopping, r, zone, need) {
		return nil
	}
	var out []made
	judge := func(i int) (made, bool) {
		m := &p.in.Machines[i]
		if !p.usable(m, i, r, soon) || zone >= 0 && m.Zone != zone || r.MaxPerZone > 0 && r.PlacedByZone[m.Zone] >= r.MaxPerZone {
			return made{}, false
		}
		chosen, loss, ok := p.cheapest(r, m)
		return made{i, chosen, loss}, ok
	}
	n := p.greedy(len(tasks), func(i int) (float64, bool) {
		d, ok := judge(i)
		return d.loss, ok
	}, func(i int) bool {
		d, ok := judge(i)
		if ok {
			p.make(r, d, 1)
			out = append(out, d)
		}
		return ok
	})
	if n < need {
		p.note(byStopping, r, zone, need)
		p.unmake(r, out)
		return nil
	}
	return out
}

// make books a task in room that stops make; sign -1 takes that back.
func (p *planner) make(r *Request, d made, sign float64) {
	m := &p.in.Machines[d.machine]
	for _, k := range d.victims {
		o := &m.Tasks[k]
		if sign > 0 {
			p.stopped[o.Task] = true
		} else {
			delete(p.stopped, o.Task)
		}
		m.Releasing = m.Releasing.Add(o.Need, sign)
	}
	p.book(r, d.machine, sign)
}

func (p *planner) unmake(r *Request, done []made) {
	for _, d := range done {
		p.make(r, d, -1)
	}
}

// cheapest picks the victims on a machine that free enough room at the least
// loss: least loss first, then without those that turned out not to be needed.
func (p *planner) cheapest(r *Request, m *Machine) ([]int, float64, bool) {
	free := room(m, soon)
	if r.Need.Fits(free) {
		return nil, m.PenaltySeconds, true
	}
	most := free
	for k := range m.Tasks {
		if o := &m.Tasks[k]; victim(r, o) && !p.stopped[o.Task] {
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
			if taken[k] || p.stopped[o.Task] || !victim(r, o) {
				continue
			}
			if best < 0 || lessLoss(o, &m.Tasks[best]) {
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
		loss += m.Tasks[k].LossSeconds + stopLoss + tierLoss*float64(p.lastTier-m.Tasks[k].Tier)
	}
	return keep, loss, true
}
