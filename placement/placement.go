// Package placement plans one scheduling pass: on which machines waiting tasks start,
// which tasks are preempted to make room, and which machines are rented.
//
// For each request, in the order of the queue, machines are filtered (may the request
// use it, does a task fit) and scored (by how much would the start be delayed there, and
// what would it take from others); the machine with the lowest score gets the task.
// "Room" is free resources on a machine. For tasks that find none, room is reserved that is
// about to be free, made by preemption, held on machines where tasks will end soon, reserved
// on machines that are booting, and rented, in this order. What one request has reserved is
// not available to later ones.
//
// The package is pure: it keeps no state, does no I/O, and the same input gives the
// same plan. Package cluster makes the input from its model and carries the plan out.
package placement

// Start puts a task on a machine.
type Start struct {
	Request    int // index in Input.Requests
	Task       int32
	Machine    int       // index in Input.Machines
	FreeBefore Resources // of the machine, without the task
}

// Plan is what to do.
type Plan struct {
	Starts      []Start
	Preemptions []Task
	ScaleOut    map[int]int // how many machines to rent, by the offer's index in Input.Offers
	Waiting     []int       // indices in Input.Requests of those that lack free resources, apart from placeholders and FreeCapacityOnly
}

// planner makes one plan.
type planner struct {
	input             *Input
	plan              Plan
	offerOfNewMachine []int // for each machine that was added to the input's: index of its offer
	preempted         map[Task]bool
	candidates        candidateHeap // a buffer that all searches use
	failedSearches    [numCapacityKinds][]failedSearch
	numZones          int
	classes           *classes // nil in tests: every machine is scored
	lowestTier        int      // the highest tier number of all tasks that are on machines
}

// Compute makes a plan. It changes the input's machines, to which it appends those that are
// rented, its teams and its requests (PlacedByZone).
func Compute(in *Input) Plan {
	return makePlan(in, newClasses(in.Machines))
}

func makePlan(in *Input, c *classes) Plan {
	p := &planner{input: in, preempted: map[Task]bool{}, classes: c}
	p.plan.ScaleOut = map[int]int{}
	for i := range in.Machines {
		p.numZones = max(p.numZones, in.Machines[i].Zone+1)
		for k := range in.Machines[i].Tasks {
			p.lowestTier = max(p.lowestTier, in.Machines[i].Tasks[k].Tier)
		}
	}
	for i := range in.Requests {
		p.serveRequest(i)
	}
	return p.plan
}

// TasksWithinLimit returns how many of the request's tasks its team's quota of CPUs and GPUs
// allows to start.
func TasksWithinLimit(r *Request, teams []Team) int {
	n := len(r.Tasks)
	if r.Team < 0 {
		return n
	}
	t := teams[r.Team]
	limit := func(need, used, most float64) {
		if most > 0 && need > 0 {
			n = min(n, int((most-used+tolerance)/need))
		}
	}
	limit(r.Need.CPU, t.Used.CPU, t.Max.CPU)
	limit(r.Need.GPU, t.Used.GPU, t.Max.GPU)
	return max(n, 0)
}

// serveRequest plans for request i.
func (p *planner) serveRequest(i int) {
	r := &p.input.Requests[i]
	n := TasksWithinLimit(r, p.input.Teams)
	if n == 0 || r.Gang && n < len(r.Tasks) {
		return
	}
	if r.Provision {
		p.provision(r)
		return
	}
	tasks := r.Tasks[:n]
	if r.PreferredTypes != nil {
		preferred := *r // a copy, since failed searches are remembered by their requests
		preferred.Types = r.PreferredTypes
		tasks = p.startTasks(&preferred, i, tasks)
		tasks = p.preempt(&preferred, tasks)
	}
	tasks = p.startTasks(r, i, tasks)
	switch {
	case len(tasks) == 0 || r.FreeCapacityOnly:
	case r.Reserve:
		p.holdMachines(r, tasks)
	case r.Headroom:
		tasks = p.reserveNotYetFree(r, tasks, onBooting)
		p.scaleOut(r, tasks)
	default:
		p.plan.Waiting = append(p.plan.Waiting, i)
		p.reserveForWaiting(r, tasks)
	}
}

// startTasks starts what fits now, and returns the tasks that are left.
func (p *planner) startTasks(r *Request, i int, tasks []int32) []int32 {
	starts := p.reserveTasks(r, tasks, freeNow)
	for _, s := range starts {
		s.Request = i
		p.plan.Starts = append(p.plan.Starts, s)
	}
	if r.Team >= 0 {
		t := &p.input.Teams[r.Team]
		t.Used = t.Used.Add(r.Need, float64(len(starts)))
	}
	return tasks[len(starts):]
}

// reserveForWaiting reserves room for tasks that can't start yet, so that later requests do not take it,
// and preempts tasks or rents machines for what is lacking.
func (p *planner) reserveForWaiting(r *Request, tasks []int32) {
	tasks = p.reserveNotYetFree(r, tasks, freeSoon)
	if p.input.AllowPreemption {
		tasks = p.preempt(r, tasks)
	}
	if len(tasks) > 0 && r.Hold {
		p.holdMachines(r, tasks)
	}
	tasks = p.reserveNotYetFree(r, tasks, onBooting)
	p.scaleOut(r, tasks)
}

// reserveNotYetFree reserves room that is not free yet, and returns the tasks that are left.
func (p *planner) reserveNotYetFree(r *Request, tasks []int32, kind capacityKind) []int32 {
	if len(tasks) == 0 {
		return nil
	}
	return tasks[len(p.reserveTasks(r, tasks, kind)):]
}
