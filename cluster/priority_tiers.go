package cluster

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// This file applies the operators' priority tiers (package priority): they order jobs of the
// same priority, and a pass that places a lower tier first is recorded as a priority
// inversion. Without tiers this file has no effect.

// priorityTiers is the policy in force, and the priority inversions under it. Only
// priority_tiers.go writes its fields.
type priorityTiers struct {
	policy     *priority.Policy // nil if the plan defines no tiers
	inversions priority.InversionLog
	loaded     bool      // earlier leaders' inversions are in the log
	changed    bool      // the log has changed since it was last saved
	savedAt    time.Time // when the log was last saved
}

// inversionRecordName is the name of the plan record that holds the log of priority
// inversions, and inversionSaveInterval the least time between two writes of it.
const (
	inversionRecordName   = "order"
	inversionSaveInterval = 10 * time.Second
)

// reloadPriorityPolicy makes the tiers of the current plan the policy in force. If the plan
// can't be read there is no policy, and nothing is placed (Model.Schedule).
func (m *Model) reloadPriorityPolicy() {
	if !m.tiers.loaded {
		m.tiers.loaded = true
		if raw, ok := m.loadedPlanRecord(inversionRecordName); ok {
			var recorded priority.InversionLog
			if err := wire.Unmarshal(raw, &recorded); err != nil {
				m.log.Error("unreadable priority inversion record, counting anew", "err", err)
			} else {
				m.tiers.inversions.Merge(recorded)
			}
		}
	}
	if m.plan.Plan == nil {
		m.setPriorityPolicy(nil)
		return
	}
	m.setPriorityPolicy(priority.New(&m.plan.Order))
}

// saveInversions has the log of priority inversions written, with the capacity of which shares
// are computed, unless it was written recently.
func (m *Model) saveInversions(now time.Time) {
	t := &m.tiers
	if !t.changed || now.Sub(t.savedAt) < inversionSaveInterval {
		return
	}
	fleet := m.schedulableCapacity(now)
	t.changed, t.savedAt = false, now
	t.inversions.PlanVersion, t.inversions.Capacity = m.plan.Number, [3]float64{fleet.CPU, fleet.GPU, fleet.Mem}
	m.queuePlanRecord(inversionRecordName, t.inversions.Clone())
}

// setPriorityPolicy puts a policy in force; nil means that there are no tiers.
func (m *Model) setPriorityPolicy(policy *priority.Policy) {
	m.tiers.policy = policy
	for _, idx := range m.openIndexes {
		if j := m.Jobs[idx]; j != nil {
			m.tiers.assign(j)
		}
	}
	for _, c := range m.classes.byName {
		m.tiers.assign(c.lastJob) // the last job of a class may be out of the model
	}
}

// assign determines the tier of a job by the policy in force.
func (t *priorityTiers) assign(j *Job) { j.tier = t.policy.TierOf(j.Spec.Team, j.Spec.Class) }

// schedulableCapacity returns the capacity of the machines that can be given tasks. If there
// are none, it returns the capacity that was recorded last.
func (m *Model) schedulableCapacity(now time.Time) (total placement.Resources) {
	for _, mc := range m.Machines {
		if m.Ready(mc, now) {
			total = total.Add(m.MachineTypes[mc.typeIndex].Capacity, 1)
		}
	}
	if total != (placement.Resources{}) {
		return total
	}
	// No machine has sent a heartbeat yet, or this model was loaded for inspection.
	recorded := m.tiers.inversions.Capacity
	return placement.Resources{CPU: recorded[0], GPU: recorded[1], Mem: recorded[2]}
}

// dominantShare is the share of the fleet that an amount takes of the resource of which it takes
// most.
func dominantShare(need, fleet placement.Resources) float64 {
	share := 0.0
	for _, x := range [][2]float64{{need.CPU, fleet.CPU}, {need.GPU, fleet.GPU}, {need.Mem, fleet.Mem}} {
		if x[1] > 0 {
			share = max(share, x[0]/x[1])
		}
	}
	return share
}

// tierUsage returns the dominant share of the fleet that each tier has.
func (m *Model) tierUsage(fleet placement.Resources) []float64 {
	used := make([]placement.Resources, m.tiers.policy.NumTiers())
	for _, idx := range m.openIndexes {
		if j := m.Jobs[idx]; j != nil && j.PlacedTasks > 0 {
			used[j.tier] = used[j.tier].Add(j.Need, float64(j.PlacedTasks))
		}
	}
	shares := make([]float64, len(used))
	for tier := range used {
		shares[tier] = dominantShare(used[tier], fleet)
	}
	return shares
}

// promoteStarvedTiers moves work of lower tiers ahead of higher ones: jobs of a tier that has
// less than its share, and some tasks of jobs that have waited for their tier's longest wait,
// ahead of their own tier if waits alone have won enough. Tasks that are not promoted keep
// their position, and neither guarantees nor priorities nor the starvation bound are
// bypassed.
func (m *Model) promoteStarvedTiers(queue []*queueEntry, now time.Time) []*queueEntry {
	if m.tiers.policy == nil {
		return queue
	}
	fleet := m.schedulableCapacity(now)
	if fleet == (placement.Resources{}) {
		return queue
	}
	promotions := m.tiers.policy.Promote(pendingJobs(queue, fleet, now), m.tierUsage(fleet))
	out := make([]*queueEntry, 0, len(queue))
	for lo := 0; lo < len(queue); {
		hi := lo + 1
		for hi < len(queue) && queue[hi].sameRank(queue[lo]) {
			hi++
		}
		if queue[lo].req.StartDue {
			out = append(out, queue[lo:hi]...) // in the order in which they must start
		} else {
			promoted, rest := splitPromoted(queue[lo:hi], promotions[lo:hi])
			out = append(m.mergePromoted(out, promoted), rest...)
		}
		lo = hi
	}
	return out
}

// pendingJobs describes the queue to the policy.
func pendingJobs(queue []*queueEntry, fleet placement.Resources, now time.Time) []priority.PendingJob {
	pending := make([]priority.PendingJob, len(queue))
	for i, entry := range queue {
		pending[i] = priority.PendingJob{
			Tier: entry.req.Tier, Tasks: len(entry.req.Tasks), Gang: entry.req.Gang, TaskShare: dominantShare(entry.req.Need, fleet),
			WaitedSeconds: now.Sub(entry.job.AcceptedAt).Seconds(), Placed: entry.job.PlacedTasks,
			Started: entry.job.hasStarted(),
		}
	}
	return pending
}

// splitPromoted splits the requests of one rank into what is promoted ahead of other tiers and
// the rest, in which requests that are promoted within their tier come first. Both are sorted
// by tier.
func splitPromoted(group []*queueEntry, promotions []priority.Promotion) (promoted, rest []*queueEntry) {
	for i, entry := range group {
		p := promotions[i]
		if p.Tasks == 0 {
			rest = append(rest, entry)
			continue
		}
		head, tail := entry.split(p.Tasks)
		head.req.PromotionCause = uint8(p.Cause)
		head.req.Hold = head.req.Hold || p.Cause != priority.PromotedByShare
		if p.Cause == priority.PromotedInTier {
			rest = append(rest, head)
		} else {
			promoted = append(promoted, head)
		}
		if tail != nil {
			rest = append(rest, tail)
		}
	}
	sort.SliceStable(promoted, func(a, b int) bool { return promoted[a].req.Tier < promoted[b].req.Tier })
	inTier := uint8(priority.PromotedInTier)
	sort.SliceStable(rest, func(a, b int) bool {
		x, y := &rest[a].req, &rest[b].req
		return x.Tier < y.Tier || x.Tier == y.Tier && x.PromotionCause == inTier && y.PromotionCause != inTier
	})
	return promoted, rest
}

// mergePromoted appends promoted requests behind what must start by the starvation bound.
// Requests whose tier's longest wait is over take a position among the latter, by the time at
// which it was over: under overload all jobs must start by the bound in the end, and behind all
// of them the longest wait would mean nothing.
func (m *Model) mergePromoted(queue, promoted []*queueEntry) []*queueEntry {
	var others []*queueEntry
	for _, entry := range promoted {
		if priority.PromotionCause(entry.req.PromotionCause) != priority.PromotedByWait {
			others = append(others, entry)
			continue
		}
		waitOver := entry.job.AcceptedAt.Add(config.Seconds(m.tiers.policy.MaxWaitSeconds(entry.req.Tier)))
		at := len(queue)
		for at > 0 && entry.overtakesMustStart(queue[at-1], waitOver) {
			at--
		}
		entry.req.StartDue = true
		queue = slices.Insert(queue, at, entry)
	}
	return append(queue, others...)
}

// overtakesMustStart reports whether a request whose tier's longest wait was over at the given time takes
// its position before other, which must start by the starvation bound if it is of the same rank.
func (entry *queueEntry) overtakesMustStart(other *queueEntry, waitOver time.Time) bool {
	if !other.req.StartDue || other.withinGuarantee != entry.withinGuarantee || other.job.priority != entry.job.priority {
		return false
	}
	if other.job.start.mustFinish || priority.PromotionCause(other.req.PromotionCause) == priority.PromotedByWait {
		return false
	}
	return other.job.start.infeasible || other.job.start.startBy.After(waitOver)
}

// sameRank reports whether only priority tiers and objectives order two requests.
func (entry *queueEntry) sameRank(other *queueEntry) bool {
	return entry.withinGuarantee == other.withinGuarantee && entry.job.priority == other.job.priority && entry.req.StartDue == other.req.StartDue
}

// split splits off the first n tasks of a request. Both parts share the counts by zone. If one
// zone is still to be chosen for all tasks, the tail is nil, and its tasks wait for the next
// pass.
func (entry *queueEntry) split(n int) (head, tail *queueEntry) {
	if n >= len(entry.req.Tasks) {
		return entry, nil
	}
	first, others := *entry, *entry
	first.req.Tasks, others.req.Tasks = entry.req.Tasks[:n:n], entry.req.Tasks[n:]
	if entry.req.OneZone && entry.req.Zone < 0 {
		return &first, nil
	}
	return &first, &others
}

// outranksCompetitors reports whether classes of lower tiers compete with a job at the same
// priority, which it can't preempt. Resources are then held for the job, because smaller
// tasks would otherwise take whatever becomes free.
func (m *Model) outranksCompetitors(j *Job) bool {
	if m.tiers.policy == nil {
		return false
	}
	for _, c := range m.classes.byName {
		if c.lastJob.priority == j.priority && c.lastJob.tier > j.tier {
			return true
		}
	}
	return false
}

// reservesFor reports whether resources are reserved for expected jobs of class c before
// request entry is served: always if c is of a higher tier, by the rule without tiers if it is of
// the same one, and never if entry was promoted.
func (m *Model) reservesFor(c *classStats, entry *queueEntry, own *classStats) bool {
	if m.tiers.policy == nil {
		return !own.hasWaitObjective
	}
	t := c.lastJob.tier
	return entry.req.PromotionCause == 0 && !entry.req.StartDue && (t < entry.req.Tier || t == entry.req.Tier && !own.hasWaitObjective)
}

// sortByTier sorts classes by tier, highest first, in place.
func (m *Model) sortByTier(classes []*classStats) []*classStats {
	if m.tiers.policy != nil {
		slices.SortStableFunc(classes, func(a, b *classStats) int { return cmp.Compare(a.lastJob.tier, b.lastJob.tier) })
	}
	return classes
}

// recordInversions records the priority inversions of a pass. It must run before the pass's
// placements are applied to the model, since it compares them with the state that the pass
// decided on.
func (m *Model) recordInversions(plan *placement.Plan, in *placement.Input, requestJobs []*Job, now time.Time) {
	policy := m.tiers.policy
	if policy == nil {
		return
	}
	for _, inversion := range priority.FindInversions(in.Requests, m.teams, plan.Starts, in.Machines) {
		started, passedOver := requestJobs[inversion.Start.Request], requestJobs[inversion.PassedOver]
		reason := inversion.Reason
		m.tiers.changed = true
		m.Observer.PriorityInversion(policy.TierName(passedOver.tier), reason.String())
		m.tiers.inversions.Add(priority.InversionEvent{
			AtMs: now.UnixMilli(), Job: started.ID, Tier: policy.TierName(started.tier),
			PassedOver: passedOver.ID, PassedOverTier: policy.TierName(passedOver.tier), Reason: reason.String(),
		})
		if reason == priority.Unexplained {
			m.log.Error("unexplained priority inversion", "job", started.ID, "over", passedOver.ID, "need", passedOver.Need, "room", inversion.Start.FreeBefore)
			continue
		}
		m.log.Debug("priority inversion", "job", started.ID, "over", passedOver.ID, "reason", reason)
	}
	m.saveInversions(now)
}
