package placement

// This file holds machines: small tasks that come later are kept from them until a
// large one fits. Where small tasks take all room that comes free, a large one never
// fits.

// defaultHoldSeconds is how soon a machine must have room for the request to be held,
// where the request does not say.
const defaultHoldSeconds = 45

// holdMachines holds the machines that will have room soonest.
func (p *planner) holdMachines(r *Request, tasks []int32) {
	zone := r.Zone
	if r.OneZone && zone < 0 {
		if zone = p.soonestZoneToHold(r, len(tasks)); zone < 0 {
			return
		}
	}
	p.holdInZone(r, len(tasks), zone)
}

// soonestZoneToHold is the zone in which machines for most of n tasks can be held, and
// of those the one that has room soonest; -1 where none can.
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

// holdInZone holds machines for n tasks in a zone, or in any if it is -1, for a gang
// all or none. It says after how many seconds the last of them has room.
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

// secondsUntilFits is after how many seconds the tasks of a machine that end by
// themselves leave room for one of the request's.
func (p *planner) secondsUntilFits(r *Request, m *Machine) (float64, bool) {
	free := availableRoom(m, freeSoon)
	if r.Need.Fits(free) {
		return 0, true
	}
	if !r.Need.Fits(m.Capacity) {
		return 0, false
	}
	var few [16]bool // on the stack, as this is done for each machine
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

// nextToEnd is the task on a machine that ends next, of those that have not ended and
// are not being stopped, or -1.
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
