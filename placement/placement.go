// Package placement plans one scheduling pass: on which machines waiting tasks start,
// which tasks are preempted to make room, and which machines are rented.
//
// Requests are served in the order of the queue. For each request, the planner filters the
// machines (the request may use the machine, and a task fits) and scores the others by the
// delay of the start and the cost to other work. The machine with the lowest score gets the
// task. "Room" is free resources on a machine. For tasks that find no room, the planner tries
// these steps in order:
//
//  1. reserve room that is about to become free,
//  2. make room by preemption,
//  3. hold machines where tasks will end soon,
//  4. reserve room on machines that are booting,
//  5. rent machines.
//
// Later requests can't use what an earlier one has reserved.
//
// The package is pure: it keeps no state, does no I/O, and the same input gives the
// same plan. Package cluster builds the input from its model and carries the plan out.
package placement

// Start is the decision to start a task on a machine.
type Start struct {
	Request    int // index in Input.Requests
	Task       int32
	Machine    int       // index in Input.Machines
	FreeBefore Resources // the machine's free resources before this start
}

// Plan is the result of a scheduling pass.
type Plan struct {
	Starts      []Start // also those of placeholder requests, which launch nothing
	Preemptions []Task
	ScaleOut    map[int]int // number of machines to rent, by index in Input.Offers
	// Waiting holds the indices in Input.Requests of requests with tasks that can't start yet. It
	// leaves out placeholder requests and FreeCapacityOnly requests.
	Waiting []int
}

// planner makes one plan.
type planner struct {
	input             *Input
	plan              Plan
	offerOfNewMachine []int // by machine added to Input.Machines: index of its offer
	preempted         map[Task]bool
	candidates        candidateHeap // buffer shared by all searches
	failedSearches    [numCapacityKinds][]failedSearch
	numZones          int
	classes           *classes // nil: every machine is scored by itself, which tests use as the reference
	lowestTier        int      // the highest tier number among the tasks on machines
}

// Compute returns the plan of one scheduling pass. It modifies the input: it updates the machines
// and appends the rented ones, and updates Team.Used and Request.PlacedByZone.
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

// TasksWithinLimit returns how many of the request's tasks may start within its team's quota of
// CPUs and GPUs. For a request without a team that is all of them.
func TasksWithinLimit(r *Request, teams []Team) int {
	n := len(r.Tasks)
	if r.Team < 0 {
		return n
	}
	t := teams[r.Team]
	limit := func(need, used, quota float64) {
		if quota > 0 && need > 0 {
			n = min(n, int((quota-used+tolerance)/need))
		}
	}
	limit(r.Need.CPU, t.Used.CPU, t.Max.CPU)
	limit(r.Need.GPU, t.Used.GPU, t.Max.GPU)
	return max(n, 0)
}

// serveRequest adds the decisions for Input.Requests[i] to the plan.
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
		preferred := *r // a copy, because failed searches keep a pointer to their request
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

// startTasks starts the tasks that fit now, and returns the others.
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

// reserveForWaiting reserves room for tasks that can't start yet, so that later requests do not
// take it. If there is not enough, it preempts tasks, holds machines or rents new ones.
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

// reserveNotYetFree reserves room of a kind that is not free yet, and returns the tasks that found
// none.
func (p *planner) reserveNotYetFree(r *Request, tasks []int32, kind capacityKind) []int32 {
	if len(tasks) == 0 {
		return nil
	}
	return tasks[len(p.reserveTasks(r, tasks, kind)):]
}
