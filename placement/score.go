// Scores of machines for a request. The machine with the lowest score is used first.

package placement

// Parts of a machine's score, as equivalent seconds of delay.
const (
	gpuMachinePenaltySeconds = 30  // keeps GPU machines free of work without GPUs, unless other machines start it much later
	spotBonusSeconds         = 3   // prefers spot instances among otherwise equal machines
	pricePerCPUWeightSeconds = 0.5 // per unit of the price per CPU
	freeShareWeightSeconds   = 2   // for the share of the machine that stays free, so that fuller machines fill up first
)

// machineScore returns the delay in seconds of starting a task on a machine, plus the cost to
// other work as equivalent seconds. free is the room on the machine before the task is placed.
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
