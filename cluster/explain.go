// Explains to operators why a job is pending. It uses stored records only, so that it works on a
// model that was loaded for inspection and belongs to no leader.

package cluster

import (
	"fmt"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/priority"
)

// Explanation says why the tasks of a job are pending.
type Explanation struct {
	ID             string
	Tier           string                    // "" if the plan defines no priority tiers
	WaitedSeconds  float64                   // time since the job was accepted
	Tasks          int                       // number of all tasks of the job
	Done           int                       // number of ended tasks
	Placed         int                       // number of placed tasks
	PendingReasons []string                  // what the job waits for, most important first; empty if no task waits
	AheadByReason  map[string]int            // number of requests ahead of the job in the queue, by reason
	Nearest        []JobAhead                // the nearest requests ahead, nearest first, at most maxNearestShown
	Inversions     []priority.InversionEvent // lower-tier tasks placed on resources that the job could have used
}

// JobAhead is a job that is ahead of another in the queue.
type JobAhead struct {
	ID     string
	Tier   string // "" if the plan defines no priority tiers
	Reason string // why it is ahead, as in Explanation.AheadByReason
}

// maxNearestShown bounds Explanation.Nearest.
const maxNearestShown = 20

// Explain returns why a job is pending. It returns false if the job is not in the model, which is
// so for jobs whose end is recorded. It changes the model (see buildQueue).
func (m *Model) Explain(id string, now time.Time) (Explanation, bool) {
	j := m.Job(id)
	if j == nil {
		return Explanation{}, false
	}
	e := Explanation{
		ID: id, Tier: m.tiers.policy.TierName(j.tier), WaitedSeconds: now.Sub(j.AcceptedAt).Seconds(),
		Tasks: len(j.Tasks), Done: j.DoneTasks, Placed: j.PlacedTasks,
		AheadByReason: map[string]int{}, Inversions: m.tiers.inversions.PassingOver(id),
	}
	jobs := m.openJobs()
	queue := m.buildQueue(jobs, m.jobsWithinGuarantee(jobs), now)
	// If a job has several requests, the first of them is explained.
	position := slices.IndexFunc(queue, func(entry *queueEntry) bool { return entry.job == j })
	if position < 0 {
		e.PendingReasons = outsideQueueReasons(j)
		return e, true
	}
	e.PendingReasons = m.pendingReasons(queue[position])
	m.explainPosition(&e, queue[:position], queue[position])
	return e, true
}

// explainPosition adds the requests ahead of a queue entry to its explanation. Other requests of
// the same job don't count.
func (m *Model) explainPosition(e *Explanation, ahead []*queueEntry, entry *queueEntry) {
	for _, other := range slices.Backward(ahead) {
		if other.job == entry.job {
			continue
		}
		reason := entry.behindReason(other)
		e.AheadByReason[reason]++
		if len(e.Nearest) < maxNearestShown {
			e.Nearest = append(e.Nearest, JobAhead{other.job.ID, m.tiers.policy.TierName(other.job.tier), reason})
		}
	}
}

// behindReason returns why another request, which must be ahead in the queue, is ahead of this one.
func (entry *queueEntry) behindReason(other *queueEntry) string {
	switch {
	case entry.req.FreeCapacityOnly:
		return "fault"
	case entry.withinGuarantee != other.withinGuarantee:
		return priority.WithinQuota.String()
	case entry.job.priority != other.job.priority:
		return priority.HigherPriority.String()
	case other.req.StartDue:
		return priority.StarvationBound.String()
	case other.req.PromotionCause == uint8(priority.PromotedByWait):
		return priority.MaxWait.String()
	case other.req.PromotionCause == uint8(priority.PromotedByShare):
		return priority.FairShare.String()
	case entry.req.Tier != other.req.Tier:
		return "tier"
	case other.req.PromotionCause == uint8(priority.PromotedInTier):
		return priority.MaxWait.String()
	case entry.inWindow != other.inWindow:
		return "a night's work"
	case entry.missed != other.missed && !entry.inWindow:
		return "can still meet its aim"
	}
	return "due sooner"
}

// pendingReasons returns what a request in the queue waits for.
func (m *Model) pendingReasons(entry *queueEntry) (out []string) {
	r, j := &entry.req, entry.job
	if n := placement.TasksWithinLimit(r, m.teams); n == 0 || r.Gang && n < len(r.Tasks) {
		t := m.teams[r.Team]
		out = append(out, fmt.Sprintf("its team's limit: %g of %g CPUs and %g of %g GPUs are in use (0: no limit)", t.Used.CPU, t.Max.CPU, t.Used.GPU, t.Max.GPU))
	}
	if len(m.MachineTypes) > 0 && len(m.fittingTypes(j)) == 0 {
		out = append(out, "a machine type that it fits; none in the catalogue is allowed and large enough")
	}
	switch {
	case r.Zone >= 0 && r.Zone < len(m.Zones) && j.zone < 0:
		out = append(out, "room in zone "+m.Zones[r.Zone]+", where its other tasks are")
	case r.Zone >= 0 && r.Zone < len(m.Zones):
		out = append(out, "room in zone "+m.Zones[r.Zone]+", the only one it allows")
	case r.MaxPerZone > 0:
		out = append(out, fmt.Sprintf("room in zones that have fewer than %d of its tasks", r.MaxPerZone))
	}
	if r.Gang {
		out = append(out, fmt.Sprintf("room for all its %d tasks at once", len(r.Tasks)))
	}
	return append(out, fmt.Sprintf("room for %d tasks of %g CPUs, %g GPUs and %g GB", len(r.Tasks), j.Need.CPU, j.Need.GPU, j.Need.Mem))
}

// outsideQueueReasons returns why a job has no request in the queue. It returns nil if no task of
// the job waits.
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
