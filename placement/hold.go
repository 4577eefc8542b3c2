package placement

// This file keeps machines from smaller tasks until a larger one fits.

// holdWithin is how soon a machine must have room for it to be kept from
// smaller tasks until then, in seconds, where the request does not say.
const defaultHoldSeconds = 45

// hold keeps the machines that will have room soonest from later requests:
// where small tasks take every bit that comes free, a large one never fits.
func (p *planner) holdMachines(r *Request, tasks []int32) {
	zone := r.Zone
	if r.OneZone && zone < 0 {
		most, first := 0, 0.0
		for z := 0; z < p.numZones; z++ {
			held, in := p.holdInZone(r, len(tasks), z)
			p.unreserve(r, held)
			if n := len(held); n > most || n == most && n > 0 && in < first {
				zone, most, first = z, n, in
			}
		}
		if zone < 0 {
			return
		}
	}
	p.holdInZone(r, len(tasks), zone)
}

// holdIn holds machines for n tasks in a zone, for a gang all or none, and says
// after how long the last of them has room.
func (p *planner) holdInZone(r *Request, n, zone int) (held []Start, last float64) {
	p.takeCheapest(n, func(i int) (float64, bool) {
		m := &p.input.Machines[i]
		if !p.passesFilter(m, i, r, freeSoon) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		in, ok := p.secondsUntilFits(r, m)
		return in, ok && in <= max(defaultHoldSeconds, r.HoldSeconds)
	}, func(i int) bool {
		last, _ = p.secondsUntilFits(r, &p.input.Machines[i])
		p.reserve(r, i, 1)
		held = append(held, Start{Machine: i})
		return true
	})
	if r.Gang && len(held) < n {
		p.unreserve(r, held)
		return nil, 0
	}
	return held, last
}

// roomIn is after how long the tasks of a machine that end by themselves leave
// room for one of the request's.
func (p *planner) secondsUntilFits(r *Request, m *Machine) (float64, bool) {
	free := availableRoom(m, freeSoon)
	if r.Need.Fits(free) {
		return 0, true
	}
	if !r.Need.Fits(m.Capacity) {
		return 0, false
	}
	var few [16]bool
	taken := few[:]
	if len(m.Tasks) > len(few) {
		taken = make([]bool, len(m.Tasks))
	}
	in := 0.0
	for !r.Need.Fits(free) {
		next := -1
		for k := range m.Tasks {
			if !taken[k] && !p.stopped[m.Tasks[k].Task] && !m.Tasks[k].Stopping && (next < 0 || m.Tasks[k].RemainingSeconds < m.Tasks[next].RemainingSeconds) {
				next = k
			}
		}
		if next < 0 {
			return 0, false
		}
		taken[next] = true
		in = m.Tasks[next].RemainingSeconds
		free = free.Add(m.Tasks[next].Need, 1)
	}
	return in, true
}
