// Reservation of room on machines for a request's tasks. Requests that are served later can't use
// reserved room.

package placement

// direction is the sign of a change to reservations: reserving or undoing.
type direction float64

const (
	reserving direction = 1
	undoing   direction = -1
)

// reserve reserves room for one of the request's tasks on a machine, or undoes one such
// reservation.
func (p *planner) reserve(r *Request, machine int, sign direction) {
	m := &p.input.Machines[machine]
	m.Free = m.Free.Add(r.Need, -float64(sign))
	reservePoolSpace(m, r, sign)
	if r.PlacedByZone != nil {
		r.PlacedByZone[m.Zone] += int(sign)
	}
	p.updateClass(machine)
}

// updateClass assigns a machine whose resources have changed to its current class.
func (p *planner) updateClass(machine int) {
	if p.classes != nil {
		p.classes.update(p.input.Machines, machine)
	}
}

func (p *planner) unreserve(r *Request, starts []Start) {
	for _, s := range starts {
		p.reserve(r, s.Machine, undoing)
	}
}

// reserveTasks reserves room for as many of the tasks as fit, for a gang for all or none. If the
// request needs a single zone but names none, it uses the zone in which most tasks fit. Among equal
// zones it uses the one with the lowest total score.
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

// reserveInZone reserves room in one zone, or in any zone if zone is -1. It also returns the sum of
// the machines' scores.
func (p *planner) reserveInZone(r *Request, tasks []int32, kind capacityKind, zone int) ([]Start, float64) {
	minTasks := r.minTasksToStart(tasks)
	if p.knownToFail(kind, r, zone, minTasks) {
		return nil, 0
	}
	search := roomSearch{request: r, kind: kind, zone: zone, pending: tasks}
	p.reservePreferred(&search)
	score := func(machine int) (float64, bool) { return p.scoreFor(&search, machine) }
	take := func(machine int) bool { return p.reserveNext(&search, machine) }
	if p.classes != nil {
		p.takeCheapestByClass(r, len(search.pending), score, take)
	} else {
		p.takeCheapest(len(search.pending), score, take)
	}
	if len(search.pending) > 0 && (r.Gang || len(search.starts) == 0) {
		p.rememberFailure(kind, r, zone, minTasks)
	}
	if r.Gang && len(search.pending) > 0 {
		p.unreserve(r, search.starts)
		return nil, 0
	}
	return search.starts, search.totalScore
}

// minTasksToStart returns how many of the tasks must find room so that any of them may start.
func (r *Request) minTasksToStart(tasks []int32) int {
	if r.Gang {
		return len(tasks)
	}
	return 1
}

// roomSearch is a search for room for a request's tasks, with its results so far.
type roomSearch struct {
	request    *Request
	kind       capacityKind
	zone       int     // -1: any
	pending    []int32 // tasks that have no machine yet
	starts     []Start
	totalScore float64
}

// scoreFor returns a machine's score, and false if no further task may be placed or fits there.
func (p *planner) scoreFor(search *roomSearch, machine int) (float64, bool) {
	m, r := &p.input.Machines[machine], search.request
	room := availableCapacity(m, search.kind)
	if !r.Need.Fits(room) || !p.passesFilter(machine, r, search.kind) || search.zone >= 0 && m.Zone != search.zone {
		return 0, false
	}
	return machineScore(m, r, room), !r.zoneIsFull(m.Zone)
}

// reservePreferred reserves room for tasks that rebalancing moves. It uses the machines chosen by
// rebalancing, as far as the tasks fit there.
func (p *planner) reservePreferred(search *roomSearch) {
	if len(search.request.PreferredMachines) == 0 {
		return
	}
	others := make([]int32, 0, len(search.pending))
	for _, task := range search.pending {
		if !p.reserveOnPreferred(search, task) {
			others = append(others, task)
		}
	}
	search.pending = others
}

func (p *planner) reserveOnPreferred(search *roomSearch, task int32) bool {
	machine, ok := search.request.PreferredMachines[task]
	if !ok || machine >= len(p.input.Machines) {
		return false
	}
	score, ok := p.scoreFor(search, machine)
	if ok {
		p.reserveFor(search, task, machine, score)
	}
	return ok
}

// reserveNext reserves room on a machine for the next pending task. It returns false if the
// machine can't be used any more, because the zone has become full.
func (p *planner) reserveNext(search *roomSearch, machine int) bool {
	score, ok := p.scoreFor(search, machine)
	if ok {
		p.reserveFor(search, search.pending[0], machine, score)
		search.pending = search.pending[1:]
	}
	return ok
}

func (p *planner) reserveFor(search *roomSearch, task int32, machine int, score float64) {
	search.starts = append(search.starts, Start{Task: task, Machine: machine, FreeBefore: p.input.Machines[machine].Free})
	p.reserve(search.request, machine, reserving)
	search.totalScore += score
}
