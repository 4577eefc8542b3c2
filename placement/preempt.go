// Making room by preempting tasks.

package placement

import "slices"

// restartLossSeconds is the loss of a preemption in addition to LossSeconds: the time to save a
// checkpoint and to start again.
const restartLossSeconds = 8

// tierLossSeconds is added to the loss of preempting a task for each priority tier that exists
// below the task's. It exceeds the work of any task, so that machines are preferred where tasks of
// the lowest tiers are preempted.
const tierLossSeconds = 1e6

// mayPreempt reports whether the occupant may be preempted for the request.
func mayPreempt(r *Request, o *Occupant) bool {
	if o.NonPreemptible {
		return false
	}
	if o.Priority > r.Priority {
		return true
	}
	return r.WithinGuarantee && o.OverGuarantee && o.Team != r.Team
}

// preemptedBefore reports whether a is preempted before b. Both are on the same machine.
func preemptedBefore(a, b *Occupant) bool {
	if a.Tier != b.Tier {
		return a.Tier > b.Tier
	}
	return a.LossSeconds < b.LossSeconds
}

// preemption makes room for one task on a machine by preempting other tasks there.
type preemption struct {
	machine     int
	victims     []int // indices in the machine's Tasks
	lossSeconds float64
}

// preempt makes room for tasks by preempting others with the least loss. For a gang it makes room
// for all tasks or none. It returns the tasks that still have no room.
func (p *planner) preempt(r *Request, tasks []int32) []int32 {
	if len(tasks) == 0 {
		return nil
	}
	zone := r.Zone
	if r.OneZone && zone < 0 {
		if zone = p.cheapestZoneToPreempt(r, tasks); zone < 0 {
			return tasks
		}
	}
	preemptions := p.preemptInZone(r, tasks, zone)
	for _, pr := range preemptions {
		for _, k := range pr.victims {
			p.plan.Preemptions = append(p.plan.Preemptions, p.input.Machines[pr.machine].Tasks[k].Task)
		}
	}
	if len(preemptions) > 0 {
		// The preempted tasks may free more room than this request needs.
		p.failedSearches[freeSoon] = p.failedSearches[freeSoon][:0]
	}
	return tasks[len(preemptions):]
}

// cheapestZoneToPreempt returns the zone in which room can be made for the largest number of the
// tasks. Among equal zones it returns the one with the least loss. It returns -1 if no room can
// be made.
func (p *planner) cheapestZoneToPreempt(r *Request, tasks []int32) int {
	best, most, leastLossSeconds := -1, 0, 0.0
	for zone := 0; zone < p.numZones; zone++ {
		preemptions := p.preemptInZone(r, tasks, zone)
		n, lossSeconds := len(preemptions), 0.0
		for _, pr := range preemptions {
			lossSeconds += pr.lossSeconds
		}
		p.undoPreemptions(r, preemptions)
		if n > most || n == most && n > 0 && lossSeconds < leastLossSeconds {
			best, most, leastLossSeconds = zone, n, lossSeconds
		}
	}
	return best
}

// preemptInZone makes room in one zone, or in any zone if zone is -1, for as many of the tasks as
// possible, and reserves it. For a gang it makes room for all tasks or none.
func (p *planner) preemptInZone(r *Request, tasks []int32, zone int) []preemption {
	minTasks := r.minTasksToStart(tasks)
	if p.knownToFail(byPreempting, r, zone, minTasks) {
		return nil
	}
	var preemptions []preemption
	cheapestOn := func(machine int) (preemption, bool) {
		m := &p.input.Machines[machine]
		if !p.passesFilter(machine, r, freeSoon) || zone >= 0 && m.Zone != zone || r.zoneIsFull(m.Zone) {
			return preemption{}, false
		}
		victims, lossSeconds, ok := p.cheapestVictims(r, m)
		return preemption{machine, victims, lossSeconds}, ok
	}
	n := p.takeCheapest(len(tasks), func(machine int) (float64, bool) {
		pr, ok := cheapestOn(machine)
		return pr.lossSeconds, ok
	}, func(machine int) bool {
		pr, ok := cheapestOn(machine)
		if ok {
			p.reservePreemption(r, pr, reserving)
			preemptions = append(preemptions, pr)
		}
		return ok
	})
	if n < minTasks {
		p.rememberFailure(byPreempting, r, zone, minTasks)
		p.undoPreemptions(r, preemptions)
		return nil
	}
	return preemptions
}

// reservePreemption marks the victims of a preemption as preempted and reserves the room for the
// request, or undoes both.
func (p *planner) reservePreemption(r *Request, pr preemption, sign direction) {
	m := &p.input.Machines[pr.machine]
	for _, k := range pr.victims {
		o := &m.Tasks[k]
		if sign == reserving {
			p.preempted[o.Task] = true
		} else {
			delete(p.preempted, o.Task)
		}
		m.Releasing = m.Releasing.Add(o.Need, float64(sign))
	}
	p.reserve(r, pr.machine, sign)
}

func (p *planner) undoPreemptions(r *Request, preemptions []preemption) {
	for _, pr := range preemptions {
		p.reservePreemption(r, pr, undoing)
	}
}

// cheapestVictims chooses the tasks to preempt on a machine so that one of the request's tasks
// fits. It prefers tasks of low tiers and with little loss. It returns the indices of the victims
// and their total loss including the machine's PenaltySeconds. If the task fits without
// preemption, there are no victims. ok is false if the task can't be made to fit.
func (p *planner) cheapestVictims(r *Request, m *Machine) (victims []int, lossSeconds float64, ok bool) {
	free := availableCapacity(m, freeSoon)
	if r.Need.Fits(free) {
		return nil, m.PenaltySeconds, true
	}
	if !r.Need.Fits(p.capacityIfAllPreempted(r, m, free)) {
		return nil, 0, false
	}
	chosen := make([]bool, len(m.Tasks))
	for !r.Need.Fits(free) {
		next := p.nextVictim(r, m, chosen)
		if next < 0 {
			return nil, 0, false
		}
		chosen[next] = true
		victims = append(victims, next)
		free = free.Add(m.Tasks[next].Need, 1)
	}
	victims = dropUnneededVictims(r, m, victims, free)
	lossSeconds = m.PenaltySeconds
	for _, k := range victims {
		lossSeconds += m.Tasks[k].LossSeconds + restartLossSeconds + tierLossSeconds*float64(p.lowestTier-m.Tasks[k].Tier)
	}
	return victims, lossSeconds, true
}

// capacityIfAllPreempted returns the room on a machine if every task that may be preempted for the
// request were preempted. free is the room without any preemption.
func (p *planner) capacityIfAllPreempted(r *Request, m *Machine, free Resources) Resources {
	for k := range m.Tasks {
		if o := &m.Tasks[k]; mayPreempt(r, o) && !p.preempted[o.Task] {
			free = free.Add(o.Need, 1)
		}
	}
	return free
}

// nextVictim returns the index of the next task to preempt on a machine, or -1 if there is no other
// task that may be preempted. It skips the chosen tasks.
func (p *planner) nextVictim(r *Request, m *Machine, chosen []bool) int {
	next := -1
	for k := range m.Tasks {
		o := &m.Tasks[k]
		if chosen[k] || p.preempted[o.Task] || !mayPreempt(r, o) {
			continue
		}
		if next < 0 || preemptedBefore(o, &m.Tasks[next]) {
			next = k
		}
	}
	return next
}

// dropUnneededVictims removes victims that are unnecessary for the request's task to fit, and
// returns the remaining ones. It removes victims of higher tiers first. free is the room on the
// machine with all victims preempted. The list is changed in place.
func dropUnneededVictims(r *Request, m *Machine, victims []int, free Resources) []int {
	slices.SortStableFunc(victims, func(a, b int) int { return m.Tasks[a].Tier - m.Tasks[b].Tier })
	needed := victims[:0]
	for _, k := range victims {
		if without := free.Add(m.Tasks[k].Need, -1); r.Need.Fits(without) {
			free = without
			continue
		}
		needed = append(needed, k)
	}
	return needed
}
