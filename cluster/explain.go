package cluster

import (
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/priority"
)

// This file says what a job waits for, from records alone: it is asked of a model
// that has been loaded and leads nothing.

// Explanation is what a job waits for.
type Explanation struct {
	ID             string
	Tier           string // "" without an order
	WaitedSeconds  float64
	Tasks          int // of the job
	Done           int
	Placed         int
	PendingReasons []string                  // for what, the most telling first; empty: for nothing
	AheadByReason  map[string]int            // jobs ahead of it in the queue, by why
	Nearest        []JobAhead                // of them, nearest first
	Inversions     []priority.InversionEvent // lower tiers' tasks that got room it could have had
}

// JobAhead is a job that is served before another.
type JobAhead struct {
	ID     string
	Tier   string
	Reason string
}

// nearestShown is how many of those ahead are named.
const nearestShown = 20

// Explain says what a job waits for; false if it is not among the unfinished.
func (m *Model) Explain(id string, now time.Time) (Explanation, bool) {
	j := m.Job(id)
	if j == nil {
		return Explanation{}, false
	}
	w := Explanation{ID: id, Tier: m.tiers.policy.TierName(j.tier), WaitedSeconds: now.Sub(j.AcceptedAt).Seconds(), Tasks: len(j.Tasks), Done: j.DoneTasks, Placed: j.PlacedTasks,
		AheadByReason: map[string]int{}, Inversions: m.tiers.inversions.PassingOver(id)}
	jobs := m.openJobs()
	line := m.buildQueue(jobs, m.jobsWithinQuota(jobs), now)
	for i, k := range line {
		if k.j != j {
			continue
		}
		w.PendingReasons = m.lacks(k)
		for b := i - 1; b >= 0; b-- {
			o := line[b]
			if o.j == j {
				continue
			}
			why := k.behindReason(o)
			w.AheadByReason[why]++
			if len(w.Nearest) < nearestShown {
				w.Nearest = append(w.Nearest, JobAhead{o.j.ID, m.tiers.policy.TierName(o.j.tier), why})
			}
		}
		return w, true // its part that is served first
	}
	w.PendingReasons = outsideQueueReasons(j)
	return w, true
}

// behindReason says why another is served before a request.
func (k *queued) behindReason(o *queued) string {
	switch {
	case k.req.Spare:
		return "fault"
	case k.withinQuota != o.withinQuota:
		return priority.WithinQuota.String()
	case k.j.Priority != o.j.Priority:
		return priority.HigherPriority.String()
	case o.req.Owed:
		return priority.StarvationBound.String()
	case o.req.Cause == uint8(priority.PromotedByWait):
		return priority.MaxWait.String()
	case o.req.Cause == uint8(priority.PromotedByShare):
		return priority.FairShare.String()
	case k.req.Tier != o.req.Tier:
		return "tier"
	case o.req.Cause == uint8(priority.PromotedInTier):
		return priority.MaxWait.String()
	case k.inWindow != o.inWindow:
		return "a night's work"
	case k.missed != o.missed && !k.inWindow:
		return "can still meet its aim"
	}
	return "due sooner"
}

// lacks says what a request in the queue waits for.
func (m *Model) lacks(k *queued) (out []string) {
	r, j := &k.req, k.j
	if n := placement.Allowed(r, m.teams); n == 0 || r.All && n < len(r.Tasks) {
		t := m.teams[r.Team]
		out = append(out, fmt.Sprintf("its team's limit: %g of %g CPUs and %g of %g GPUs are in use (0: no limit)", t.Used.CPU, t.Max.CPU, t.Used.GPU, t.Max.GPU))
	}
	if len(m.MachineTypes) > 0 && len(m.fittingTypes(j)) == 0 {
		out = append(out, "a machine type that it fits; none in the catalogue is allowed and large enough")
	}
	switch {
	case r.Zone >= 0 && r.Zone < len(m.Zones) && j.Zone < 0:
		out = append(out, "room in zone "+m.Zones[r.Zone]+", where its other tasks are")
	case r.Zone >= 0 && r.Zone < len(m.Zones):
		out = append(out, "room in zone "+m.Zones[r.Zone]+", the only one it allows")
	case r.SpreadMax > 0:
		out = append(out, fmt.Sprintf("room in zones that have fewer than %d of its tasks", r.SpreadMax))
	}
	if r.All {
		out = append(out, fmt.Sprintf("room for all its %d tasks at once", len(r.Tasks)))
	}
	return append(out, fmt.Sprintf("room for %d tasks of %g CPUs, %g GPUs and %g GB", len(r.Tasks), j.Need.CPU, j.Need.GPU, j.Need.Mem))
}

// outsideQueueReasons says why a job has no place in the queue.
func outsideQueueReasons(j *Job) []string {
	switch {
	case j.Cancelled:
		return []string{"the end of its last tasks: it is cancelled"}
	case j.quarantined:
		return []string{"a repair: its records can't be read"}
	case j.DoneTasks+j.PlacedTasks == len(j.Tasks):
		return nil
	case j.failures.atFault():
		return []string{"its next try: it fails wherever it is tried"}
	case j.Gang() && j.PlacedTasks > 0:
		return []string{"the end of what is left of its last attempt"}
	}
	return []string{fmt.Sprintf("its turn: %d requests are before it", maxRequests)}
}
