package placement

import (
	"container/heap"
	"slices"
)

// This file searches the machines for room.

// Modes of try: which machines count, and which of their room.
type roomKind int

const (
	freeNow roomKind = iota
	freeSoon
	onBooting
	byPreempting // not of try: room made by stopping others
	numRoomKinds
)

// entry is a machine and what it costs to use it next.
type entry struct {
	score   float64
	machine int
	class   *class // it stands for the rest of its class as well; nil: for itself
}

// queue has the cheapest machine first, and the first of those that cost the
// same.
type queue []entry

func (q queue) Len() int { return len(q) }

func (q queue) Less(a, b int) bool {
	return q[a].score < q[b].score || q[a].score == q[b].score && q[a].machine < q[b].machine
}

func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

func (q *queue) Push(x any) { *q = append(*q, x.(entry)) }

func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// greedy takes the cheapest machine up to n times. Taking one changes what
// that one costs and no other, so that each machine is judged once and then
// again only when it is taken: with hundreds of machines, judging all of them
// anew for each task was most of a leader's processor time. take says whether
// the machine could be used. greedy returns how often one could.
func (p *planner) takeCheapest(n int, judge func(i int) (float64, bool), take func(i int) bool) int {
	q := p.queue[:0]
	for i := range p.input.Machines {
		if c, ok := judge(i); ok {
			q = append(q, entry{c, i, nil})
		}
	}
	return p.drawCheapest(q, n, judge, take, nil)
}

// draw takes the cheapest entry up to n times. Where one stands for its class,
// next gives the class's machine after one that was drawn, or -1: it costs what
// that one did.
func (p *planner) drawCheapest(q queue, n int, judge func(i int) (float64, bool), take func(i int) bool, next func(k *class, i int) int) int {
	p.queue = q
	heap.Init(&q)
	got := 0
	for got < n && len(q) > 0 {
		i, of := q[0].machine, q[0].class
		cost, ok := 0.0, take(i)
		if ok {
			got++
			cost, ok = judge(i)
		}
		if of != nil {
			if j := next(of, i); j >= 0 {
				q[0].machine = j
				heap.Fix(&q, 0)
			} else {
				heap.Pop(&q)
			}
			if ok {
				heap.Push(&q, entry{cost, i, nil})
			}
			continue
		}
		if !ok {
			heap.Pop(&q)
			continue
		}
		q[0].score = cost
		heap.Fix(&q, 0)
	}
	return got
}

// vain is a search that found no room. As room only shrinks while planning,
// whoever wants as much or more searches in vain too: among hundreds of
// waiting jobs most are alike.
type failedSearch struct {
	request *Request
	zone    int
	tasks   int
}

// inVain says whether a search for n tasks is known to be in vain.
func (p *planner) knownToFail(md roomKind, r *Request, zone, n int) bool {
	for i := range p.failedSearches[md] {
		v := &p.failedSearches[md][i]
		o := v.request
		if v.tasks > n || v.zone >= 0 && v.zone != zone || r.Spot && !o.Spot || !o.Need.Fits(r.Need) {
			continue
		}
		if md == byPreempting && (o.Priority > r.Priority || r.WithinGuarantee && (!o.WithinGuarantee || o.Team != r.Team)) {
			continue
		}
		if slices.Equal(o.Types, r.Types) && slices.Equal(o.PoolAccess, r.PoolAccess) {
			return true
		}
	}
	return false
}

// note remembers a search for n tasks that was in vain, unless it was for
// reasons of that request alone.
func (p *planner) rememberFailure(md roomKind, r *Request, zone, n int) {
	if len(r.Avoid) > 0 || r.MaxPerZone > 0 || len(p.failedSearches[md]) >= 64 {
		return
	}
	p.failedSearches[md] = append(p.failedSearches[md], failedSearch{r, zone, n})
}

func (p *planner) passesFilter(m *Machine, idx int, r *Request, md roomKind) bool {
	if (md == onBooting) == m.Ready {
		return false
	}
	return r.Types[m.Type] && (r.Zone < 0 || r.Zone == m.Zone) && (!m.Spot || r.Spot) && !r.Avoid[idx] && poolAdmits(m, r)
}

func availableRoom(m *Machine, md roomKind) Resources {
	if md == freeNow {
		return m.Free
	}
	return m.Free.Add(m.Releasing, 1)
}

// cost ranks the machines that fit, in seconds: what the start is delayed by,
// and what it takes away from others.
func score(m *Machine, r *Request, free Resources) float64 {
	c := m.PenaltySeconds + m.ETA + poolScore(m, r)
	if left, ok := m.ImageReadyIn(r.Image); ok {
		c += left
	} else if m.FetchRate > 0 {
		c += m.FetchBacklogSeconds + r.ImageGB/m.FetchRate
	}
	if m.Capacity.GPU > 0 && r.Need.GPU == 0 {
		// A machine with GPUs is taken for other work only where nothing else
		// is free; then the one whose GPUs are taken least useful.
		c += 30
	}
	if m.Spot {
		c -= 3
	}
	c += 0.5 * m.Price / max(1, m.Capacity.CPU)
	// Fullest first, as the rebalancer would have it.
	left := free.Add(r.Need, -1)
	frac := 0.0
	if m.Capacity.CPU > 0 {
		frac += left.CPU / m.Capacity.CPU
	}
	if m.Capacity.GPU > 0 {
		frac += left.GPU / m.Capacity.GPU
	}
	c += 2 * frac
	return c
}

// try books as many of the tasks as fit, all or none for a gang.
func (p *planner) reserveTasks(r *Request, tasks []int32, md roomKind) []Start {
	if !r.OneZone || r.Zone >= 0 {
		got, _ := p.reserveInZone(r, tasks, md, r.Zone)
		return got
	}
	best, bestN, bestCost := -1, 0, 0.0
	for z := 0; z < p.numZones; z++ {
		got, c := p.reserveInZone(r, tasks, md, z)
		p.unreserve(r, got)
		if n := len(got); n > bestN || n == bestN && n > 0 && c < bestCost {
			best, bestN, bestCost = z, n, c
		}
	}
	if best < 0 {
		return nil
	}
	got, _ := p.reserveInZone(r, tasks, md, best)
	return got
}

func (p *planner) reserveInZone(r *Request, tasks []int32, md roomKind, zone int) ([]Start, float64) {
	need := 1
	if r.Gang {
		need = len(tasks)
	}
	if p.knownToFail(md, r, zone, need) {
		return nil, 0
	}
	var got []Start
	total := 0.0
	judge := func(i int) (float64, bool) {
		m := &p.input.Machines[i]
		if !r.Need.Fits(availableRoom(m, md)) || !p.passesFilter(m, i, r, md) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		return score(m, r, availableRoom(m, md)), r.MaxPerZone <= 0 || r.PlacedByZone[m.Zone] < r.MaxPerZone
	}
	take := func(i int, t int32, c float64) {
		got = append(got, Start{Task: t, Machine: i, FreeBefore: p.input.Machines[i].Free})
		p.reserve(r, i, 1)
		total += c
	}
	rest := tasks
	if len(r.PreferredMachines) > 0 {
		// Moved tasks go where the move was to bring them.
		rest = make([]int32, 0, len(tasks))
		for _, t := range tasks {
			to, ok := r.PreferredMachines[t]
			if ok && to < len(p.input.Machines) {
				if c, ok := judge(to); ok {
					take(to, t, c)
					continue
				}
			}
			rest = append(rest, t)
		}
	}
	use := func(i int) bool {
		c, ok := judge(i) // the zone may be full by now
		if ok {
			take(i, rest[0], c)
			rest = rest[1:]
		}
		return ok
	}
	if p.classes != nil {
		p.takeCheapestByClass(r, len(rest), judge, use)
	} else {
		p.takeCheapest(len(rest), judge, use)
	}
	if len(rest) > 0 && (r.Gang || len(got) == 0) {
		p.rememberFailure(md, r, zone, need)
	}
	if r.Gang && len(rest) > 0 {
		p.unreserve(r, got)
		return nil, 0
	}
	return got, total
}

func (p *planner) reserve(r *Request, machine int, sign float64) {
	m := &p.input.Machines[machine]
	m.Free = m.Free.Add(r.Need, -sign)
	reservePoolSpace(m, r, sign)
	if r.PlacedByZone != nil {
		r.PlacedByZone[m.Zone] += int(sign)
	}
	p.updateClass(machine)
}

func (p *planner) updateClass(machine int) {
	if p.classes != nil {
		p.classes.update(p.input.Machines, machine)
	}
}

func (p *planner) unreserve(r *Request, got []Start) {
	for _, s := range got {
		p.reserve(r, s.Machine, -1)
	}
}
