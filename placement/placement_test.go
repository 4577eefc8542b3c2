package placement

import "testing"

func machine(zone int, free Res) Machine {
	return Machine{Zone: zone, Ready: true, Free: free, Cap: Res{16, 2, 128}, FetchRate: 1}
}

func request(n int, need Res) Request {
	r := Request{Need: need, Priority: 2, Team: -1, Zone: -1, ZoneUsed: make([]int, 2), Types: []bool{true}, ImageGB: 2}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

func TestAGangInOneZoneIsPlacedWholeOrNotAtAll(t *testing.T) {
	r := request(3, Res{CPU: 8})
	r.All, r.OneZone = true, true
	in := Input{Machines: []Machine{machine(0, Res{CPU: 16}), machine(1, Res{CPU: 16}), machine(1, Res{CPU: 8})}, Requests: []Request{r}}
	p := Make(&in)
	if len(p.Starts) != 3 {
		t.Fatalf("%d starts", len(p.Starts))
	}
	for _, s := range p.Starts {
		if s.Machine == 0 {
			t.Error("crossed zones")
		}
	}
	in = Input{Machines: []Machine{machine(0, Res{CPU: 16}), machine(1, Res{CPU: 8})}, Requests: []Request{r}}
	if p := Make(&in); len(p.Starts) != 0 {
		t.Errorf("part of a gang was placed: %v", p.Starts)
	}
}

func TestSpreadAndTeamLimitsHold(t *testing.T) {
	r := request(5, Res{CPU: 1})
	r.SpreadMax, r.Team = 3, 0
	in := Input{Machines: []Machine{machine(0, Res{CPU: 16})}, Requests: []Request{r}, Teams: []Team{{}}}
	if p := Make(&in); len(p.Starts) != 3 {
		t.Errorf("%d tasks in one zone, at most 3 allowed", len(p.Starts))
	}
	r = request(5, Res{CPU: 2})
	r.Team = 0
	in = Input{Machines: []Machine{machine(0, Res{CPU: 16})}, Requests: []Request{r}, Teams: []Team{{Used: Res{CPU: 3}, Max: Res{CPU: 8}}}}
	if p := Make(&in); len(p.Starts) != 2 {
		t.Errorf("%d starts within a limit that allows 2", len(p.Starts))
	}
}

func TestPreemptionTakesTheCheapestLossAndOnlyWhatItMay(t *testing.T) {
	m := machine(0, Res{})
	m.Tasks = []Occupant{
		{Task: Task{1, 0}, Need: Res{CPU: 8}, Priority: 3, Loss: 50},
		{Task: Task{2, 0}, Need: Res{CPU: 8}, Priority: 3, Loss: 2},
	}
	in := Input{Machines: []Machine{m}, Requests: []Request{request(1, Res{CPU: 8})}, Preempt: true}
	if p := Make(&in); len(p.Stops) != 1 || p.Stops[0].Job != 2 {
		t.Errorf("stops %v", p.Stops)
	}
	m = machine(0, Res{})
	m.Tasks = []Occupant{{Task: Task{1, 0}, Need: Res{CPU: 16}, Priority: 2, Team: 1, Over: true}}
	r := request(1, Res{CPU: 8})
	in = Input{Machines: []Machine{m}, Requests: []Request{r}, Preempt: true}
	if p := Make(&in); len(p.Stops) != 0 {
		t.Errorf("stopped work of the same priority: %v", p.Stops)
	}
	r.Within = true
	in = Input{Machines: []Machine{m}, Requests: []Request{r}, Preempt: true}
	if p := Make(&in); len(p.Stops) != 1 {
		t.Error("a guarantee did not get its room")
	}
}

func TestALargeTaskGetsAMachineThatSmallOnesWouldKeepTaking(t *testing.T) {
	m := machine(0, Res{CPU: 10, GPU: 1, Mem: 80})
	m.Tasks = []Occupant{{Task: Task{9, 0}, Need: Res{CPU: 6, GPU: 1, Mem: 48}, Priority: 2, Left: 20}}
	large, little := request(1, Res{CPU: 15}), request(1, Res{CPU: 6, GPU: 1})
	in := Input{Machines: []Machine{m}, Requests: []Request{large, little}}
	if p := Make(&in); len(p.Starts) != 1 {
		t.Fatal("without holding, the small task starts")
	}
	large.Hold = true
	in = Input{Machines: []Machine{m}, Requests: []Request{large, little}}
	if p := Make(&in); len(p.Starts) != 0 {
		t.Errorf("the held machine was given away: %v", p.Starts)
	}
}
