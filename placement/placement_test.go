package placement

import "testing"

// machine returns a ready machine with the given free resources, on which no task runs.
func machine(zone int, free Resources) Machine {
	return Machine{Zone: zone, Ready: true, Free: free, Capacity: Resources{16, 2, 128}, FetchRate: 1}
}

// request returns a request for n tasks that need the given resources each and may run in any zone.
func request(n int, need Resources) Request {
	r := Request{Need: need, Priority: 2, Team: -1, Zone: -1, PlacedByZone: make([]int, 2), Types: []bool{true}, ImageGB: 2}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

// Guards against a gang that is spread over two zones although it must be in one, and against starts
// of only a part of a gang. A gang whose tasks can't all run would occupy machines without progress.
func TestGangInOneZoneIsPlacedWholeOrNotAtAll(t *testing.T) {
	r := request(3, Resources{CPU: 8})
	r.Gang, r.OneZone = true, true
	in := Input{Machines: []Machine{machine(0, Resources{CPU: 16}), machine(1, Resources{CPU: 16}), machine(1, Resources{CPU: 8})}, Requests: []Request{r}}
	p := Compute(&in)
	if len(p.Starts) != 3 {
		t.Fatalf("got %d starts, want 3", len(p.Starts))
	}
	for _, s := range p.Starts {
		if s.Machine == 0 {
			t.Error("the gang is spread over two zones")
		}
	}
	in = Input{Machines: []Machine{machine(0, Resources{CPU: 16}), machine(1, Resources{CPU: 8})}, Requests: []Request{r}}
	if p := Compute(&in); len(p.Starts) != 0 {
		t.Errorf("part of a gang was placed: %v", p.Starts)
	}
}

// Guards against more starts in a zone than MaxPerZone allows, and against starts beyond the maximum
// of a team that has used a part of it already.
func TestStartsKeepToMaxPerZoneAndTeamLimit(t *testing.T) {
	r := request(5, Resources{CPU: 1})
	r.MaxPerZone, r.Team = 3, 0
	in := Input{Machines: []Machine{machine(0, Resources{CPU: 16})}, Requests: []Request{r}, Teams: []Team{{}}}
	if p := Compute(&in); len(p.Starts) != 3 {
		t.Errorf("got %d starts in one zone, want MaxPerZone = 3", len(p.Starts))
	}
	r = request(5, Resources{CPU: 2})
	r.Team = 0
	in = Input{Machines: []Machine{machine(0, Resources{CPU: 16})}, Requests: []Request{r}, Teams: []Team{{Used: Resources{CPU: 3}, Max: Resources{CPU: 8}}}}
	if p := Compute(&in); len(p.Starts) != 2 {
		t.Errorf("got %d starts, want the 2 that the team's limit allows", len(p.Starts))
	}
}

// Guards against preemption of the task that loses more work, and of work of the same priority. Work
// over its team's guarantee may be preempted at the same priority, but only by a request within its
// own team's guarantee.
func TestPreemptionTakesLeastLossAndOnlyWhatItMay(t *testing.T) {
	m := machine(0, Resources{})
	m.Tasks = []Occupant{
		{Task: Task{1, 0}, Need: Resources{CPU: 8}, Priority: 3, LossSeconds: 50},
		{Task: Task{2, 0}, Need: Resources{CPU: 8}, Priority: 3, LossSeconds: 2},
	}
	in := Input{Machines: []Machine{m}, Requests: []Request{request(1, Resources{CPU: 8})}, AllowPreemption: true}
	if p := Compute(&in); len(p.Preemptions) != 1 || p.Preemptions[0].Job != 2 {
		t.Errorf("preemptions %v: want only the task of job 2, which loses least", p.Preemptions)
	}
	m = machine(0, Resources{})
	m.Tasks = []Occupant{{Task: Task{1, 0}, Need: Resources{CPU: 16}, Priority: 2, Team: 1, OverGuarantee: true}}
	r := request(1, Resources{CPU: 8})
	in = Input{Machines: []Machine{m}, Requests: []Request{r}, AllowPreemption: true}
	if p := Compute(&in); len(p.Preemptions) != 0 {
		t.Errorf("preempted work of the same priority: %v", p.Preemptions)
	}
	r.WithinGuarantee = true
	in = Input{Machines: []Machine{m}, Requests: []Request{r}, AllowPreemption: true}
	if p := Compute(&in); len(p.Preemptions) != 1 {
		t.Error("work within its guarantee did not preempt work over another team's guarantee")
	}
}

// Guards against starvation of a large task: small tasks that fit at once would take a machine again
// and again before it has room for the large one. A request with Hold keeps the machine free.
func TestHeldMachineIsNotGivenToLaterSmallTask(t *testing.T) {
	m := machine(0, Resources{CPU: 10, GPU: 1, Mem: 80})
	m.Tasks = []Occupant{{Task: Task{9, 0}, Need: Resources{CPU: 6, GPU: 1, Mem: 48}, Priority: 2, RemainingSeconds: 20}}
	large, small := request(1, Resources{CPU: 15}), request(1, Resources{CPU: 6, GPU: 1})
	in := Input{Machines: []Machine{m}, Requests: []Request{large, small}}
	if p := Compute(&in); len(p.Starts) != 1 {
		t.Fatal("the small task does not start although nothing is held")
	}
	large.Hold = true
	in = Input{Machines: []Machine{m}, Requests: []Request{large, small}}
	if p := Compute(&in); len(p.Starts) != 0 {
		t.Errorf("a task started on the held machine: %v", p.Starts)
	}
}

// A failed search is not repeated for requests of the same size or larger ones. It must not hide
// room from smaller requests or from requests for other machine types.
func TestFailedSearchHidesNoRoomFromSmallerRequests(t *testing.T) {
	large, small, gpu := request(1, Resources{CPU: 12}), request(1, Resources{CPU: 4}), request(1, Resources{CPU: 12})
	gpu.Types = []bool{false, true}
	other := machine(0, Resources{CPU: 16})
	other.Type = 1
	in := Input{Machines: []Machine{machine(0, Resources{CPU: 8}), other}, Requests: []Request{large, large, small, gpu}}
	in.Requests[0].Types = []bool{true, false}
	in.Requests[1].Types = []bool{true, false}
	in.Requests[2].Types = []bool{true, false}
	p := Compute(&in)
	if len(p.Starts) != 2 || p.Starts[0].Request != 2 || p.Starts[1].Request != 3 {
		t.Errorf("starts %v: want requests 2 and 3", p.Starts)
	}
	// The next request may use room that preemptions for one request leave over.
	m := machine(0, Resources{})
	m.Tasks = []Occupant{{Task: Task{9, 0}, Need: Resources{CPU: 16}, Priority: 3}}
	in = Input{Machines: []Machine{m}, Requests: []Request{request(1, Resources{CPU: 8}), request(1, Resources{CPU: 8})}, AllowPreemption: true}
	if p := Compute(&in); len(p.Preemptions) != 1 || len(p.Waiting) != 2 {
		t.Errorf("preemptions %v, waiting %v: want one preemption for both requests", p.Preemptions, p.Waiting)
	}
}

// All machines held for a gang that must be in one zone are in the same zone. No machine is held
// if the zone has too few. Otherwise machines would stay idle for a gang that can't start.
func TestGangHoldsMachinesOfOneZone(t *testing.T) {
	busy := func(zone int, remainingSeconds float64) Machine {
		m := machine(zone, Resources{})
		m.Tasks = []Occupant{{Task: Task{int32(remainingSeconds), 0}, Need: Resources{CPU: 16}, Priority: 2, RemainingSeconds: remainingSeconds}}
		return m
	}
	gang := request(2, Resources{CPU: 16})
	gang.Gang, gang.OneZone, gang.Hold = true, true, true
	in := Input{Machines: []Machine{busy(0, 5), busy(1, 20), busy(1, 30)}, Requests: []Request{gang}}
	Compute(&in)
	if in.Machines[0].Free.CPU != 0 || in.Machines[1].Free.CPU != -16 || in.Machines[2].Free.CPU != -16 {
		t.Errorf("free resources %v %v %v: want only the machines of zone 1 held", in.Machines[0].Free, in.Machines[1].Free, in.Machines[2].Free)
	}
	in = Input{Machines: []Machine{busy(0, 5), busy(1, 20), busy(1, 90)}, Requests: []Request{gang}}
	Compute(&in)
	for i := range in.Machines {
		if in.Machines[i].Free.CPU != 0 {
			t.Errorf("machine %d is held for part of a gang", i)
		}
	}
}
