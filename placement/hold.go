package placement

// This file holds machines for large tasks: it reserves resources that are still in use on
// machines where a large task will soon fit. Otherwise small tasks of later requests would take
// all that becomes free there, and the large one would never fit.

// defaultHoldSeconds is within how many seconds a machine must have room for the request's task
// to be held. A request may set a longer time (Request.HoldSeconds).
const defaultHoldSeconds = 45

// holdMachines holds the machines that will have room for the tasks soonest.
func (p *planner) holdMachines(r *Request, tasks []int32) {
	zone := r.Zone
	if r.OneZone && zone < 0 {
		if zone = p.soonestZoneToHold(r, len(tasks)); zone < 0 {
			return
		}
	}
	p.holdInZone(r, len(tasks), zone)
}

// soonestZoneToHold returns the zone in which machines can be held for most of n tasks, of
// several such zones the one that has room soonest; -1 if there is none.
func (p *planner) soonestZoneToHold(r *Request, n int) int {
	best, most, soonest := -1, 0, 0.0
	for zone := 0; zone < p.numZones; zone++ {
		held, seconds := p.holdInZone(r, n, zone)
		p.unreserve(r, held)
		if count := len(held); count > most || count == most && count > 0 && seconds < soonest {
			best, most, soonest = zone, count, seconds
		}
	}
	return best
}

// holdInZone holds machines for up to n tasks in a zone, or in any if it is -1; for a gang for
// all tasks or none. It also returns after how many seconds the last one has room.
func (p *planner) holdInZone(r *Request, n, zone int) (held []Start, last float64) {
	p.takeCheapest(n, func(machine int) (float64, bool) {
		m := &p.input.Machines[machine]
		if !p.passesFilter(machine, r, freeSoon) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		seconds, ok := p.secondsUntilFits(r, m)
		return seconds, ok && seconds <= max(defaultHoldSeconds, r.HoldSeconds)
	}, func(machine int) bool {
		last, _ = p.secondsUntilFits(r, &p.input.Machines[machine])
		p.reserve(r, machine, reserving)
		held = append(held, Start{Machine: machine})
		return true
	})
	if r.Gang && len(held) < n {
		p.unreserve(r, held)
		return nil, 0
	}
	return held, last
}

// secondsUntilFits returns after how many seconds one of the request's tasks fits on a machine,
// as tasks there are expected to end by themselves; false if it never fits.
func (p *planner) secondsUntilFits(r *Request, m *Machine) (float64, bool) {
	free := availableCapacity(m, freeSoon)
	if r.Need.Fits(free) {
		return 0, true
	}
	if !r.Need.Fits(m.Capacity) {
		return 0, false
	}
	var few [16]bool // saves an allocation for each machine
	ended := few[:]
	if len(m.Tasks) > len(few) {
		ended = make([]bool, len(m.Tasks))
	}
	seconds := 0.0
	for !r.Need.Fits(free) {
		next := p.nextToEnd(m, ended)
		if next < 0 {
			return 0, false
		}
		ended[next] = true
		seconds = m.Tasks[next].RemainingSeconds
		free = free.Add(m.Tasks[next].Need, 1)
	}
	return seconds, true
}

// nextToEnd returns the task on a machine that is expected to end next, or -1. Tasks that are
// preempted or being stopped are left out: their resources count as Releasing already.
func (p *planner) nextToEnd(m *Machine, ended []bool) int {
	next := -1
	for k := range m.Tasks {
		o := &m.Tasks[k]
		if ended[k] || p.preempted[o.Task] || o.Stopping {
			continue
		}
		if next < 0 || o.RemainingSeconds < m.Tasks[next].RemainingSeconds {
			next = k
		}
	}
	return next
}
