// Scale-out: which machines are rented.

package placement

// Parts of an offer's score, as equivalent seconds, added to the seconds until the machine is up.
const (
	offerPriceWeightSeconds = 2  // per unit of the price
	offerGPUPenaltySeconds  = 10 // keeps GPU machines free of work without GPUs, unless others are much later or more expensive
)

// scaleOut rents machines for tasks that fit nowhere. It takes the offers with the lowest scores,
// up to Input.MaxScaleOut machines per plan.
func (p *planner) scaleOut(r *Request, tasks []int32) {
	for len(tasks) > 0 && len(p.offerOfNewMachine) < p.input.MaxScaleOut {
		offer := p.bestOffer(r)
		if offer < 0 {
			return
		}
		machine := p.addMachine(offer)
		n := p.reserveOnNewMachine(r, len(tasks), machine)
		if n == 0 {
			return
		}
		tasks = tasks[n:]
		p.failedSearches[onBooting] = p.failedSearches[onBooting][:0]
	}
}

// bestOffer returns the index of the offer with the lowest score that the request may use, or -1.
func (p *planner) bestOffer(r *Request) int {
	best, lowest := -1, 0.0
	for i := range p.input.Offers {
		o := &p.input.Offers[i]
		if !r.accepts(&o.Machine) || !r.Need.Fits(o.Machine.Capacity) || r.zoneIsFull(o.Machine.Zone) {
			continue
		}
		if score := offerScore(r, o); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best
}

// offerScore returns the number of seconds until the machine would be up. It adds, as equivalent
// seconds, the price and a penalty for GPUs that the request does not use.
func offerScore(r *Request, o *Offer) float64 {
	score := o.Machine.ETA + offerPriceWeightSeconds*o.Machine.Price
	if o.Machine.Capacity.GPU > 0 && r.Need.GPU == 0 {
		score += offerGPUPenaltySeconds
	}
	return score
}

// addMachine adds a machine to the plan and to Input.Machines as if it were already booting. It
// returns the machine's index.
func (p *planner) addMachine(offer int) int {
	m := p.input.Offers[offer].Machine
	m.Free = m.Capacity
	machine := len(p.input.Machines)
	p.input.Machines = append(p.input.Machines, m)
	if p.classes != nil {
		p.classes.add(p.input.Machines, machine)
	}
	p.offerOfNewMachine = append(p.offerOfNewMachine, offer)
	p.plan.ScaleOut[offer]++
	return machine
}

// reserveOnNewMachine reserves room on a machine for up to n of the request's tasks. It returns the
// number of tasks that fit.
func (p *planner) reserveOnNewMachine(r *Request, n, machine int) int {
	reserved := 0
	for reserved < n && r.Need.Fits(p.input.Machines[machine].Free) && !r.zoneIsFull(p.input.Machines[machine].Zone) {
		p.reserve(r, machine, reserving)
		reserved++
	}
	return reserved
}

// provision rents machines for all tasks of the request. It ignores room on running and booting
// machines, which the caller of Compute has already subtracted. Machines that this plan rents for
// earlier requests count with their whole capacity.
func (p *planner) provision(r *Request) {
	missing := len(r.Tasks)
	for _, offer := range p.offerOfNewMachine {
		m := &p.input.Offers[offer].Machine
		if !r.accepts(m) {
			continue
		}
		for room := m.Capacity; missing > 0 && r.Need.Fits(room); room = room.Add(r.Need, -1) {
			missing--
		}
	}
	p.scaleOut(r, r.Tasks[:missing])
}
