// Holding machines for large tasks: resources that are still in use are reserved on machines where
// a large task will soon fit. Otherwise small tasks of later requests would take whatever becomes
// free there, and the large task would never fit.

package placement

// defaultHoldSeconds is how far ahead machines are held: a machine is held only if it will have
// room for the task within this time. Request.HoldSeconds may extend it.
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

// soonestZoneToHold returns the zone in which machines can be held for the largest number of the n
// tasks. Among equal zones it returns the one that has room soonest. It returns -1 if no machine
// can be held.
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

// holdInZone holds machines for up to n tasks in a zone, or in any zone if zone is -1. For a gang
// it holds machines for all tasks or for none. It also returns the number of seconds until the
// last machine has room.
func (p *planner) holdInZone(r *Request, n, zone int) (held []Start, lastSeconds float64) {
	p.takeCheapest(n, func(machine int) (float64, bool) {
		m := &p.input.Machines[machine]
		if !p.passesFilter(machine, r, freeSoon) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		seconds, ok := p.secondsUntilFits(r, m)
		return seconds, ok && seconds <= max(defaultHoldSeconds, r.HoldSeconds)
	}, func(machine int) bool {
		lastSeconds, _ = p.secondsUntilFits(r, &p.input.Machines[machine])
		p.reserve(r, machine, reserving)
		held = append(held, Start{Machine: machine})
		return true
	})
	if r.Gang && len(held) < n {
		p.unreserve(r, held)
		return nil, 0
	}
	return held, lastSeconds
}

// secondsUntilFits returns the number of seconds until one of the request's tasks fits on a
// machine, given the expected ends of the tasks there. It returns false if the task never fits.
func (p *planner) secondsUntilFits(r *Request, m *Machine) (float64, bool) {
	free := availableCapacity(m, freeSoon)
	if r.Need.Fits(free) {
		return 0, true
	}
	if !r.Need.Fits(m.Capacity) {
		return 0, false
	}
	var endedBuffer [16]bool // avoids an allocation for most machines
	ended := endedBuffer[:]
	if len(m.Tasks) > len(endedBuffer) {
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

// nextToEnd returns the index of the task on a machine that is expected to end next, or -1. It
// skips tasks that are preempted or being stopped, since their resources are part of Releasing.
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
