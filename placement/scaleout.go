package placement

// This file orders machines.

// rent adds machines for the tasks that fit nowhere, the cheapest way first.
func (p *planner) scaleOut(r *Request, tasks []int32) {
	for len(tasks) > 0 && len(p.offerOfNewMachine) < p.input.MaxScaleOut {
		best, bestCost := -1, 0.0
		for i := range p.input.Offers {
			o := &p.input.Offers[i]
			if !r.Types[o.Type] || r.Zone >= 0 && r.Zone != o.Zone || o.Spot && !r.Spot || !r.Need.Fits(o.Machine.Capacity) {
				continue
			}
			if r.MaxPerZone > 0 && r.PlacedByZone[o.Zone] >= r.MaxPerZone {
				continue
			}
			c := o.Machine.ETA + 2*o.Machine.Price
			if o.Machine.Capacity.GPU > 0 && r.Need.GPU == 0 {
				c += 10
			}
			if best < 0 || c < bestCost {
				best, bestCost = i, c
			}
		}
		if best < 0 {
			return
		}
		o := &p.input.Offers[best]
		m := o.Machine
		m.Free = m.Capacity
		p.input.Machines = append(p.input.Machines, m)
		if p.classes != nil {
			p.classes.add(p.input.Machines, len(p.input.Machines)-1)
		}
		p.offerOfNewMachine = append(p.offerOfNewMachine, best)
		p.plan.ScaleOut[best]++
		idx := len(p.input.Machines) - 1
		n := 0
		for n < len(tasks) && r.Need.Fits(p.input.Machines[idx].Free) && (r.MaxPerZone <= 0 || r.PlacedByZone[o.Zone] < r.MaxPerZone) {
			p.reserve(r, idx, 1)
			n++
		}
		if n == 0 {
			return
		}
		tasks = tasks[n:]
		p.failedSearches[onBooting] = p.failedSearches[onBooting][:0]
	}
}

// rentAhead adds machines for places that are lacking beyond those there are; what
// is rented for others that wait counts.
func (p *planner) provision(r *Request) {
	n := len(r.Tasks)
	for _, o := range p.offerOfNewMachine {
		m := &p.input.Offers[o].Machine
		if !r.Types[m.Type] || m.Spot && !r.Spot || r.Zone >= 0 && r.Zone != m.Zone {
			continue
		}
		for room := m.Capacity; n > 0 && r.Need.Fits(room); room = room.Add(r.Need, -1) {
			n--
		}
	}
	p.scaleOut(r, r.Tasks[:n])
}
