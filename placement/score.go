package placement

// This file scores machines for a request: the one with the lowest score is used
// first.

// Parts of a machine's score, as equivalent seconds of delay.
const (
	gpuMachinePenaltySeconds = 30  // keeps work without GPUs from machines with them unless others start it much later
	spotBonusSeconds         = 3   // of otherwise equal machines, a spot instance is used
	pricePerCPUWeightSeconds = 0.5 // for the price per CPU
	freeShareWeightSeconds   = 2   // for the share of the machine that stays free, so that fuller ones fill up first
)

// machineScore is by how many seconds the start would be delayed on a machine, plus what it
// would take from others as equivalent seconds. free is what is available on the machine.
func machineScore(m *Machine, r *Request, free Resources) float64 {
	sum := m.PenaltySeconds + m.ETA + poolScore(m, r)
	if seconds, ok := m.ImageReadyIn(r.Image); ok {
		sum += seconds
	} else if m.FetchRate > 0 {
		sum += m.FetchBacklogSeconds + r.ImageGB/m.FetchRate
	}
	if m.Capacity.GPU > 0 && r.Need.GPU == 0 {
		sum += gpuMachinePenaltySeconds
	}
	if m.Spot {
		sum -= spotBonusSeconds
	}
	sum += pricePerCPUWeightSeconds * m.Price / max(1, m.Capacity.CPU)
	left := free.Add(r.Need, -1)
	freeShare := 0.0
	if m.Capacity.CPU > 0 {
		freeShare += left.CPU / m.Capacity.CPU
	}
	if m.Capacity.GPU > 0 {
		freeShare += left.GPU / m.Capacity.GPU
	}
	sum += freeShareWeightSeconds * freeShare
	return sum
}
