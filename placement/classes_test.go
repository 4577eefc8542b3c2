package placement

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// randomInput returns a random input: many machines are alike, and requests differ in every field
// that the planner uses.
func randomInput(rnd *rand.Rand) *Input {
	in := &Input{AllowPreemption: true, MaxScaleOut: 6, Teams: []Team{{Max: Resources{CPU: float64(100 + rnd.IntN(400))}}, {}}}
	caps := []Resources{{CPU: 32, Mem: 64}, {CPU: 16, GPU: 2, Mem: 128}, {CPU: 4, Mem: 32}}
	for i := range 20 + rnd.IntN(60) {
		typ := rnd.IntN(3)
		m := Machine{Name: fmt.Sprint(i), Type: typ, Zone: rnd.IntN(2), Spot: rnd.IntN(4) == 0, Ready: rnd.IntN(6) > 0, Capacity: caps[typ], Free: caps[typ],
			Price: float64(1 + typ), FetchRate: 1}
		if !m.Ready {
			m.ETA = float64(10 * (1 + rnd.IntN(3)))
		}
		if rnd.IntN(3) == 0 {
			m.Images = append(m.Images, ImageAt{Image: int32(rnd.IntN(3)), ReadyInSeconds: float64(rnd.IntN(2))})
		}
		if rnd.IntN(8) == 0 {
			m.PenaltySeconds = 20
		}
		if rnd.IntN(6) == 0 {
			m.Pool, m.PoolSpareGB = 1+rnd.IntN(2), float64(rnd.IntN(8))
		}
		for k := range rnd.IntN(3) {
			o := Occupant{Task: Task{Job: int32(1000 + i), Task: int32(k)}, Need: Resources{CPU: 2, Mem: 4}, Priority: rnd.IntN(4), Team: rnd.IntN(2),
				OverGuarantee: rnd.IntN(2) == 0, LossSeconds: float64(rnd.IntN(50)), RemainingSeconds: float64(rnd.IntN(100)), Stopping: rnd.IntN(5) == 0}
			m.Free = m.Free.Add(o.Need, -1)
			if o.Stopping {
				m.Releasing = m.Releasing.Add(o.Need, 1)
			}
			m.Tasks = append(m.Tasks, o)
		}
		in.Machines = append(in.Machines, m)
	}
	for j := range 10 + rnd.IntN(20) {
		r := Request{Job: int32(j), Gang: rnd.IntN(2) == 0, Need: Resources{CPU: []float64{2, 6, 15}[rnd.IntN(3)], Mem: 8}, Priority: rnd.IntN(4), Team: rnd.IntN(3) - 1,
			WithinGuarantee: rnd.IntN(2) == 0, Image: int32(rnd.IntN(4)), ImageGB: float64(rnd.IntN(6)), Zone: rnd.IntN(3) - 1, OneZone: rnd.IntN(2) == 0,
			PlacedByZone: make([]int, 2), Types: []bool{rnd.IntN(4) > 0, true, rnd.IntN(2) == 0}, Spot: rnd.IntN(2) == 0, Hold: rnd.IntN(3) == 0}
		for t := range 1 + rnd.IntN(12) {
			r.Tasks = append(r.Tasks, int32(t))
		}
		if rnd.IntN(3) == 0 {
			r.PoolAccess = []PoolAccess{PoolAccess(rnd.IntN(4)), PoolAccess(rnd.IntN(4))}
		}
		if rnd.IntN(4) == 0 {
			r.MaxPerZone = (len(r.Tasks) + 1) / 2
		}
		if rnd.IntN(4) == 0 {
			r.Avoid = map[int]bool{rnd.IntN(len(in.Machines)): true, rnd.IntN(len(in.Machines)): true}
		}
		if rnd.IntN(5) == 0 {
			r.PreferredMachines = map[int32]int{0: rnd.IntN(len(in.Machines))}
		}
		in.Requests = append(in.Requests, r)
	}
	for typ := range 3 {
		in.Offers = append(in.Offers, Offer{Machine: Machine{Type: typ, Zone: typ % 2, ETA: 40, Capacity: caps[typ], Price: float64(1 + typ), FetchRate: 1}})
	}
	return in
}

// Grouping machines by class is only an optimization. A class key that lacks a property, or a
// machine left in its old class, would make the plan differ from one that scores every machine.
func TestPlanByClassIsPlanByMachine(t *testing.T) {
	starts, preemptions, offers := 0, 0, 0
	for seed := range uint64(400) {
		in, sameInput := randomInput(rand.New(rand.NewPCG(seed, 1))), randomInput(rand.New(rand.NewPCG(seed, 1)))
		got, want := Compute(in), makePlan(sameInput, nil)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("seed %d: got by class\n%+v\nwant as by machine\n%+v", seed, got, want)
		}
		starts, preemptions, offers = starts+len(got.Starts), preemptions+len(got.Preemptions), offers+len(got.ScaleOut)
	}
	if starts < 1000 || preemptions < 100 || offers < 100 {
		t.Errorf("inputs too easy: only %d starts, %d preemptions and %d rented offers in all plans", starts, preemptions, offers)
	}
}
