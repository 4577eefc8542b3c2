// Package placement decides where waiting tasks start, what is stopped to make
// room and which machines are worth renting. It is pure: the same input gives
// the same plan.
package placement

import (
	"container/heap"
	"slices"
)

// Res is an amount of each resource.
type Res struct{ CPU, GPU, Mem float64 }

const eps = 1e-6

// Fits says whether r fits into free.
func (r Res) Fits(free Res) bool {
	return r.CPU <= free.CPU+eps && r.GPU <= free.GPU+eps && r.Mem <= free.Mem+eps
}

// Add returns r plus n times o.
func (r Res) Add(o Res, n float64) Res {
	return Res{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Task names a task by dense indices.
type Task struct{ Job, Task int32 }

// Occupant is a task that may be on a machine.
type Occupant struct {
	Task
	Need     Res
	Priority int // 0 is the highest
	Team     int
	Over     bool    // runs beyond its team's guarantee
	Loss     float64 // seconds of work that stopping it loses
	Left     float64 // seconds until it should end by itself
	Fixed    bool    // may not be stopped to make room
	Stopping bool    // its room is among what is coming
}

// Machine is a machine, or one that may be rented.
type Machine struct {
	Name      string
	Type      int
	Zone      int
	Spot      bool
	Ready     bool    // can start tasks now
	ETA       float64 // seconds until it is up, if not ready
	Free      Res
	Coming    Res // more room once stopping tasks are gone
	Cap       Res
	Price     float64
	FetchRate float64
	Backlog   float64   // seconds of image fetches under way
	Images    []ImageAt // images that are there or on their way
	Slow      float64   // penalty in seconds for a machine that is suspect
	Tasks     []Occupant
}

// ImageAt is an image that a machine has, or will have after so many seconds.
type ImageAt struct {
	Image int32
	In    float64
}

// Image says after how many seconds a machine has an image, if it is there or
// on its way.
func (m *Machine) Image(image int32) (float64, bool) {
	for i := range m.Images {
		if m.Images[i].Image == image {
			return m.Images[i].In, true
		}
	}
	return 0, false
}

// Request is a job that wants tasks started.
type Request struct {
	Job       int32
	Tasks     []int32
	All       bool // a gang: all of them or none
	Need      Res
	Priority  int
	Team      int // -1: none
	Within    bool
	Image     int32
	ImageGB   float64
	Zone      int // -1: any
	OneZone   bool
	SpreadMax int // 0: no limit per zone
	ZoneUsed  []int
	Types     []bool
	Spot      bool
	Avoid     map[int]bool // machines this job stays away from for now
	Prefer    map[int32]int
	Phantom   bool   // no job's: room to be kept free
	Reserve   bool   // a phantom for which room is kept from later requests, and nothing rented
	Hold      bool   // machines are kept from later requests until they have room for this one
	Spare     bool   // takes free room only: nothing is kept, stopped or rented for it
	First     []bool // types to be tried first, also by stopping others there
}

// Offer is a kind of machine that may be rented.
type Offer struct {
	Type, Zone int
	Spot       bool
	Machine    Machine // what it would look like
}

// Team is a team's use and limits; 0 means no limit.
type Team struct{ Used, Max Res }

// Input is all that a plan depends on.
type Input struct {
	Machines []Machine
	Requests []Request
	Teams    []Team
	Offers   []Offer
	Preempt  bool
	RentMax  int
}

// Start puts a task on a machine.
type Start struct {
	Request int
	Task    int32
	Machine int
}

// Plan is what to do.
type Plan struct {
	Starts  []Start
	Stops   []Task
	Rent    map[int]int // offers by index
	Waiting []int       // requests with tasks that fit nowhere for want of room
}

type planner struct {
	in      *Input
	plan    Plan
	rented  []int // offer of each machine appended to the input
	stopped map[Task]bool
	queue   queue
	vain    [modes][]vain
	zones   int
}

// Make plans. Requests are served in their order. The input's machines are
// changed on the way.
func Make(in *Input) Plan {
	p := &planner{in: in, stopped: map[Task]bool{}}
	p.plan.Rent = map[int]int{}
	for i := range in.Machines {
		p.zones = max(p.zones, in.Machines[i].Zone+1)
	}
	for i := range in.Requests {
		p.serve(i)
	}
	return p.plan
}

// allowed is how many more tasks of the request its team's limit lets start.
func (p *planner) allowed(r *Request) int {
	n := len(r.Tasks)
	if r.Team < 0 {
		return n
	}
	t := p.in.Teams[r.Team]
	limit := func(need, used, max float64) {
		if max > 0 && need > 0 {
			n = min(n, int((max-used+eps)/need))
		}
	}
	limit(r.Need.CPU, t.Used.CPU, t.Max.CPU)
	limit(r.Need.GPU, t.Used.GPU, t.Max.GPU)
	return max(n, 0)
}

func (p *planner) serve(i int) {
	r := &p.in.Requests[i]
	n := p.allowed(r)
	if n == 0 || r.All && n < len(r.Tasks) {
		return
	}
	rest := r.Tasks[:n]
	if r.First != nil {
		first := *r // searches in vain are remembered with the types they were for
		first.Types = r.First
		rest = p.start(&first, i, rest)
		rest = p.preempt(&first, rest)
	}
	rest = p.start(r, i, rest)
	if len(rest) == 0 || r.Spare {
		return
	}
	if r.Reserve {
		p.hold(r, rest)
		return
	}
	if r.Phantom {
		got := p.try(r, rest, booting)
		p.rent(r, rest[len(got):])
		return
	}
	p.plan.Waiting = append(p.plan.Waiting, i)
	// Room that is about to be there: keep it for this request, so that later
	// ones do not take it.
	if got := p.try(r, rest, soon); len(got) > 0 {
		rest = rest[len(got):]
	}
	if len(rest) > 0 && p.in.Preempt {
		rest = p.preempt(r, rest)
	}
	if len(rest) > 0 && r.Hold {
		p.hold(r, rest)
	}
	if len(rest) > 0 {
		got := p.try(r, rest, booting)
		rest = rest[len(got):]
	}
	if len(rest) > 0 {
		p.rent(r, rest)
	}
}

// start places what fits now and returns what is left.
func (p *planner) start(r *Request, i int, tasks []int32) []int32 {
	placed := p.try(r, tasks, readyNow)
	for _, s := range placed {
		s.Request = i
		p.plan.Starts = append(p.plan.Starts, s)
	}
	if r.Team >= 0 {
		t := &p.in.Teams[r.Team]
		t.Used = t.Used.Add(r.Need, float64(len(placed)))
	}
	return tasks[len(placed):]
}

// holdWithin is how soon a machine must have room for it to be kept from
// smaller tasks until then.
const holdWithin = 45

// hold keeps the machines that will have room soonest from later requests:
// where small tasks take every bit that comes free, a large one never fits.
func (p *planner) hold(r *Request, tasks []int32) {
	zone := r.Zone
	if r.OneZone && zone < 0 {
		most, first := 0, 0.0
		for z := 0; z < p.zones; z++ {
			held, in := p.holdIn(r, len(tasks), z)
			p.undo(r, held)
			if n := len(held); n > most || n == most && n > 0 && in < first {
				zone, most, first = z, n, in
			}
		}
		if zone < 0 {
			return
		}
	}
	p.holdIn(r, len(tasks), zone)
}

// holdIn holds machines for n tasks in a zone, for a gang all or none, and says
// after how long the last of them has room.
func (p *planner) holdIn(r *Request, n, zone int) (held []Start, last float64) {
	p.greedy(n, func(i int) (float64, bool) {
		m := &p.in.Machines[i]
		if !p.usable(m, i, r, soon) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		in, ok := p.roomIn(r, m)
		return in, ok && in <= holdWithin
	}, func(i int) bool {
		last, _ = p.roomIn(r, &p.in.Machines[i])
		p.book(r, i, 1)
		held = append(held, Start{Machine: i})
		return true
	})
	if r.All && len(held) < n {
		p.undo(r, held)
		return nil, 0
	}
	return held, last
}

// roomIn is after how long the tasks of a machine that end by themselves leave
// room for one of the request's.
func (p *planner) roomIn(r *Request, m *Machine) (float64, bool) {
	free := room(m, soon)
	if r.Need.Fits(free) {
		return 0, true
	}
	if !r.Need.Fits(m.Cap) {
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
			if !taken[k] && !p.stopped[m.Tasks[k].Task] && !m.Tasks[k].Stopping && (next < 0 || m.Tasks[k].Left < m.Tasks[next].Left) {
				next = k
			}
		}
		if next < 0 {
			return 0, false
		}
		taken[next] = true
		in = m.Tasks[next].Left
		free = free.Add(m.Tasks[next].Need, 1)
	}
	return in, true
}

// Modes of try: which machines count, and which of their room.
type mode int

const (
	readyNow mode = iota
	soon
	booting
	byStopping // not of try: room made by stopping others
	modes
)

// entry is a machine and what it costs to use it next.
type entry struct {
	cost float64
	idx  int
}

// queue has the cheapest machine first, and the first of those that cost the
// same.
type queue []entry

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].cost < q[b].cost || q[a].cost == q[b].cost && q[a].idx < q[b].idx
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(entry)) }
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
func (p *planner) greedy(n int, judge func(i int) (float64, bool), take func(i int) bool) int {
	q := p.queue[:0]
	for i := range p.in.Machines {
		if c, ok := judge(i); ok {
			q = append(q, entry{c, i})
		}
	}
	p.queue = q
	heap.Init(&q)
	got := 0
	for got < n && len(q) > 0 {
		i := q[0].idx
		if !take(i) {
			heap.Pop(&q)
			continue
		}
		got++
		if c, ok := judge(i); ok {
			q[0].cost = c
			heap.Fix(&q, 0)
		} else {
			heap.Pop(&q)
		}
	}
	return got
}

// vain is a search that found no room. As room only shrinks while planning,
// whoever wants as much or more searches in vain too: among hundreds of
// waiting jobs most are alike.
type vain struct {
	r    *Request
	zone int
	n    int
}

// inVain says whether a search for n tasks is known to be in vain.
func (p *planner) inVain(md mode, r *Request, zone, n int) bool {
	for i := range p.vain[md] {
		v := &p.vain[md][i]
		o := v.r
		if v.n > n || v.zone >= 0 && v.zone != zone || r.Spot && !o.Spot || !o.Need.Fits(r.Need) {
			continue
		}
		if md == byStopping && (o.Priority > r.Priority || r.Within && !(o.Within && o.Team == r.Team)) {
			continue
		}
		if slices.Equal(o.Types, r.Types) {
			return true
		}
	}
	return false
}

// note remembers a search for n tasks that was in vain, unless it was for
// reasons of that request alone.
func (p *planner) note(md mode, r *Request, zone, n int) {
	if len(r.Avoid) > 0 || r.SpreadMax > 0 || len(p.vain[md]) >= 64 {
		return
	}
	p.vain[md] = append(p.vain[md], vain{r, zone, n})
}

func (p *planner) usable(m *Machine, idx int, r *Request, md mode) bool {
	if (md == booting) == m.Ready {
		return false
	}
	return r.Types[m.Type] && (r.Zone < 0 || r.Zone == m.Zone) && (!m.Spot || r.Spot) && !r.Avoid[idx]
}

func room(m *Machine, md mode) Res {
	if md == readyNow {
		return m.Free
	}
	return m.Free.Add(m.Coming, 1)
}

// cost ranks the machines that fit, in seconds: what the start is delayed by,
// and what it takes away from others.
func cost(m *Machine, r *Request, free Res) float64 {
	c := m.Slow + m.ETA
	if left, ok := m.Image(r.Image); ok {
		c += left
	} else if m.FetchRate > 0 {
		c += m.Backlog + r.ImageGB/m.FetchRate
	}
	if m.Cap.GPU > 0 && r.Need.GPU == 0 {
		// A machine with GPUs is taken for other work only where nothing else
		// is free; then the one whose GPUs are taken least useful.
		c += 30
	}
	if m.Spot {
		c -= 3
	}
	c += 0.5 * m.Price / max(1, m.Cap.CPU)
	// Fullest first, as the rebalancer would have it.
	left := free.Add(r.Need, -1)
	frac := 0.0
	if m.Cap.CPU > 0 {
		frac += left.CPU / m.Cap.CPU
	}
	if m.Cap.GPU > 0 {
		frac += left.GPU / m.Cap.GPU
	}
	c += 2 * frac
	return c
}

// try books as many of the tasks as fit, all or none for a gang.
func (p *planner) try(r *Request, tasks []int32, md mode) []Start {
	if !r.OneZone || r.Zone >= 0 {
		got, _ := p.fill(r, tasks, md, r.Zone)
		return got
	}
	best, bestN, bestCost := -1, 0, 0.0
	for z := 0; z < p.zones; z++ {
		got, c := p.fill(r, tasks, md, z)
		p.undo(r, got)
		if n := len(got); n > bestN || n == bestN && n > 0 && c < bestCost {
			best, bestN, bestCost = z, n, c
		}
	}
	if best < 0 {
		return nil
	}
	got, _ := p.fill(r, tasks, md, best)
	return got
}

func (p *planner) fill(r *Request, tasks []int32, md mode, zone int) ([]Start, float64) {
	need := 1
	if r.All {
		need = len(tasks)
	}
	if p.inVain(md, r, zone, need) {
		return nil, 0
	}
	var got []Start
	total := 0.0
	judge := func(i int) (float64, bool) {
		m := &p.in.Machines[i]
		if !r.Need.Fits(room(m, md)) || !p.usable(m, i, r, md) || zone >= 0 && m.Zone != zone {
			return 0, false
		}
		return cost(m, r, room(m, md)), !(r.SpreadMax > 0 && r.ZoneUsed[m.Zone] >= r.SpreadMax)
	}
	take := func(i int, t int32, c float64) {
		p.book(r, i, 1)
		total += c
		got = append(got, Start{Task: t, Machine: i})
	}
	rest := tasks
	if len(r.Prefer) > 0 {
		// Moved tasks go where the move was to bring them.
		rest = make([]int32, 0, len(tasks))
		for _, t := range tasks {
			to, ok := r.Prefer[t]
			if ok && to < len(p.in.Machines) {
				if c, ok := judge(to); ok {
					take(to, t, c)
					continue
				}
			}
			rest = append(rest, t)
		}
	}
	p.greedy(len(rest), judge, func(i int) bool {
		c, ok := judge(i) // the zone may be full by now
		if ok {
			take(i, rest[0], c)
			rest = rest[1:]
		}
		return ok
	})
	if len(rest) > 0 && (r.All || len(got) == 0) {
		p.note(md, r, zone, need)
	}
	if r.All && len(rest) > 0 {
		p.undo(r, got)
		return nil, 0
	}
	return got, total
}

func (p *planner) book(r *Request, machine int, sign float64) {
	m := &p.in.Machines[machine]
	m.Free = m.Free.Add(r.Need, -sign)
	if r.ZoneUsed != nil {
		r.ZoneUsed[m.Zone] += int(sign)
	}
}

func (p *planner) undo(r *Request, got []Start) {
	for _, s := range got {
		p.book(r, s.Machine, -1)
	}
}

// victim says whether the request may stop the occupant.
func victim(r *Request, o *Occupant) bool {
	if o.Fixed {
		return false
	}
	if o.Priority > r.Priority {
		return true
	}
	return r.Within && o.Over && o.Team != r.Team
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
			p.plan.Stops = append(p.plan.Stops, p.in.Machines[d.machine].Tasks[k].Task)
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
	if r.All {
		need = len(tasks)
	}
	if p.inVain(byStopping, r, zone, need) {
		return nil
	}
	var out []made
	judge := func(i int) (made, bool) {
		m := &p.in.Machines[i]
		if !p.usable(m, i, r, soon) || zone >= 0 && m.Zone != zone || r.SpreadMax > 0 && r.ZoneUsed[m.Zone] >= r.SpreadMax {
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
		m.Coming = m.Coming.Add(o.Need, sign)
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
		return nil, m.Slow, true
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
			if best < 0 || o.Loss < m.Tasks[best].Loss {
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
	loss := m.Slow
	keep := chosen[:0]
	for _, k := range chosen {
		if less := free.Add(m.Tasks[k].Need, -1); r.Need.Fits(less) {
			free = less
			continue
		}
		keep = append(keep, k)
		loss += m.Tasks[k].Loss + stopLoss
	}
	return keep, loss, true
}

// rent adds machines for the tasks that fit nowhere, the cheapest way first.
func (p *planner) rent(r *Request, tasks []int32) {
	for len(tasks) > 0 && len(p.rented) < p.in.RentMax {
		best, bestCost := -1, 0.0
		for i := range p.in.Offers {
			o := &p.in.Offers[i]
			if !r.Types[o.Type] || r.Zone >= 0 && r.Zone != o.Zone || o.Spot && !r.Spot || !r.Need.Fits(o.Machine.Cap) {
				continue
			}
			if r.SpreadMax > 0 && r.ZoneUsed[o.Zone] >= r.SpreadMax {
				continue
			}
			c := o.Machine.ETA + 2*o.Machine.Price
			if o.Machine.Cap.GPU > 0 && r.Need.GPU == 0 {
				c += 10
			}
			if best < 0 || c < bestCost {
				best, bestCost = i, c
			}
		}
		if best < 0 {
			return
		}
		o := &p.in.Offers[best]
		m := o.Machine
		m.Free = m.Cap
		p.in.Machines = append(p.in.Machines, m)
		p.rented = append(p.rented, best)
		p.plan.Rent[best]++
		idx := len(p.in.Machines) - 1
		n := 0
		for n < len(tasks) && r.Need.Fits(p.in.Machines[idx].Free) && !(r.SpreadMax > 0 && r.ZoneUsed[o.Zone] >= r.SpreadMax) {
			p.book(r, idx, 1)
			n++
		}
		if n == 0 {
			return
		}
		tasks = tasks[n:]
		p.vain[booting] = p.vain[booting][:0]
	}
}
