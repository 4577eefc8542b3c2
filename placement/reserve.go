package placement

// This file reserves room on machines for a request's tasks. What is reserved is not available
// to requests that are served later.

// direction says whether room is reserved or a reservation is undone: the sign of the change.
type direction float64

const (
	reserving direction = 1
	undoing   direction = -1
)

// reserve reserves room for one of the request's tasks on a machine, or undoes that.
func (p *planner) reserve(r *Request, machine int, way direction) {
	m := &p.input.Machines[machine]
	m.Free = m.Free.Add(r.Need, -float64(way))
	reservePoolSpace(m, r, way)
	if r.PlacedByZone != nil {
		r.PlacedByZone[m.Zone] += int(way)
	}
	p.updateClass(machine)
}

// updateClass moves a machine whose resources have changed to the class that it belongs to now.
func (p *planner) updateClass(machine int) {
	if p.classes != nil {
		p.classes.update(p.input.Machines, machine)
	}
}

// unreserve undoes reservations.
func (p *planner) unreserve(r *Request, starts []Start) {
	for _, s := range starts {
		p.reserve(r, s.Machine, undoing)
	}
}

// reserveTasks reserves room for as many of the tasks as fit; for a gang for all or none. If all
// have to be in one zone and the request names none, it is the zone in which most fit, of
// several such zones the one with the lowest total score.
func (p *planner) reserveTasks(r *Request, tasks []int32, kind capacityKind) []Start {
	if !r.OneZone || r.Zone >= 0 {
		starts, _ := p.reserveInZone(r, tasks, kind, r.Zone)
		return starts
	}
	bestZone, most, lowest := -1, 0, 0.0
	for zone := 0; zone < p.numZones; zone++ {
		starts, total := p.reserveInZone(r, tasks, kind, zone)
		p.unreserve(r, starts)
		if n := len(starts); n > most || n == most && n > 0 && total < lowest {
			bestZone, most, lowest = zone, n, total
		}
	}
	if bestZone < 0 {
		return nil
	}
	starts, _ := p.reserveInZone(r, tasks, kind, bestZone)
	return starts
}

// reserveInZone reserves room in one zone, or in any if it is -1. It returns the sum
// of the machines' scores as well.
func (p *planner) reserveInZone(r *Request, tasks []int32, kind capacityKind, zone int) ([]Start, float64) {
	least := r.leastTasks(tasks)
	if p.knownToFail(kind, r, zone, least) {
		return nil, 0
	}
	s := reservation{request: r, kind: kind, zone: zone, pending: tasks}
	p.reservePreferred(&s)
	score := func(machine int) (float64, bool) { return p.scoreFor(&s, machine) }
	take := func(machine int) bool { return p.reserveNext(&s, machine) }
	if p.classes != nil {
		p.takeCheapestByClass(r, len(s.pending), score, take)
	} else {
		p.takeCheapest(len(s.pending), score, take)
	}
	if len(s.pending) > 0 && (r.Gang || len(s.starts) == 0) {
		p.rememberFailure(kind, r, zone, least)
	}
	if r.Gang && len(s.pending) > 0 {
		p.unreserve(r, s.starts)
		return nil, 0
	}
	return s.starts, s.totalScore
}

// leastTasks is how many of the tasks must find room for any to start.
func (r *Request) leastTasks(tasks []int32) int {
	if r.Gang {
		return len(tasks)
	}
	return 1
}

// reservation is a search for room for a request's tasks, and what it has found.
type reservation struct {
	request    *Request
	kind       capacityKind
	zone       int     // -1: any
	pending    []int32 // tasks that have no machine yet
	starts     []Start
	totalScore float64
}

// scoreFor returns a machine's score; false if no more of the tasks may be placed or fit there.
func (p *planner) scoreFor(s *reservation, machine int) (float64, bool) {
	m, r := &p.input.Machines[machine], s.request
	room := availableCapacity(m, s.kind)
	if !r.Need.Fits(room) || !p.passesFilter(machine, r, s.kind) || s.zone >= 0 && m.Zone != s.zone {
		return 0, false
	}
	return machineScore(m, r, room), !r.zoneIsFull(m.Zone)
}

// reservePreferred reserves room for tasks that rebalancing moves on the machines to which it
// moves them, as far as they fit.
func (p *planner) reservePreferred(s *reservation) {
	if len(s.request.PreferredMachines) == 0 {
		return
	}
	others := make([]int32, 0, len(s.pending))
	for _, task := range s.pending {
		if !p.reserveOnPreferred(s, task) {
			others = append(others, task)
		}
	}
	s.pending = others
}

func (p *planner) reserveOnPreferred(s *reservation, task int32) bool {
	machine, ok := s.request.PreferredMachines[task]
	if !ok || machine >= len(p.input.Machines) {
		return false
	}
	score, ok := p.scoreFor(s, machine)
	if ok {
		p.reserveFor(s, task, machine, score)
	}
	return ok
}

// reserveNext reserves room on a machine for the next task. It returns false if that is not
// possible any more, since the zone has become full.
func (p *planner) reserveNext(s *reservation, machine int) bool {
	score, ok := p.scoreFor(s, machine)
	if ok {
		p.reserveFor(s, s.pending[0], machine, score)
		s.pending = s.pending[1:]
	}
	return ok
}

func (p *planner) reserveFor(s *reservation, task int32, machine int, score float64) {
	s.starts = append(s.starts, Start{Task: task, Machine: machine, FreeBefore: p.input.Machines[machine].Free})
	p.reserve(s.request, machine, reserving)
	s.totalScore += score
}
