package placement

// This file scores machines for a request: the one with the lowest score is used
// first.

// Parts of a score, in seconds of delay that they stand for.
const (
	gpuMachinePenalty = 30  // other work takes a machine with GPUs only where nothing else is free
	spotBonus         = 3   // of equal machines, the spot instance is used
	priceWeight       = 0.5 // for the price of a CPU
	freeShareWeight   = 2   // for the share of the machine that stays free, so that full ones fill up first
)

// machineScore is how long the start would be delayed on a machine, in seconds, and what it
// would take away from others, counted as such a delay. free is the machine's room.
func machineScore(m *Machine, r *Request, free Resources) float64 {
	sum := m.PenaltySeconds + m.ETA + poolScore(m, r)
	if seconds, ok := m.ImageReadyIn(r.Image); ok {
		sum += seconds
	} else if m.FetchRate > 0 {
		sum += m.FetchBacklogSeconds + r.ImageGB/m.FetchRate
	}
	if m.Capacity.GPU > 0 && r.Need.GPU == 0 {
		sum += gpuMachinePenalty
	}
	if m.Spot {
		sum -= spotBonus
	}
	sum += priceWeight * m.Price / max(1, m.Capacity.CPU)
	left := free.Add(r.Need, -1)
	freeShare := 0.0
	if m.Capacity.CPU > 0 {
		freeShare += left.CPU / m.Capacity.CPU
	}
	if m.Capacity.GPU > 0 {
		freeShare += left.GPU / m.Capacity.GPU
	}
	sum += freeShareWeight * freeShare
	return sum
}
