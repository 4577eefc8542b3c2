// Applies the operators' priority tiers (package priority). Tiers order jobs of the same priority.
// A pass that places a lower tier first is recorded as a priority inversion. Without tiers this
// file has no effect.

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

// priorityTiers holds the policy in force and the priority inversions under it. Only
// priority_tiers.go writes its fields.
type priorityTiers struct {
	policy     *priority.Policy // nil if the plan defines no tiers
	inversions priority.InversionLog
	loaded     bool      // the log includes the inversions of earlier leaders
	changed    bool      // the log has changed since it was last saved
	savedAt    time.Time // when the log was last saved
}

const (
	inversionRecordName   = "order"          // plan record that holds the log of priority inversions
	inversionSaveInterval = 10 * time.Second // minimum time between two writes of the log
)

// reloadPriorityPolicy puts the tiers of the current plan in force. If the plan can't be read,
// there is no policy, and nothing is placed (Model.Schedule).
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

// saveInversions queues the log of priority inversions to be written if it has changed and was not
// written within inversionSaveInterval. The log includes the fleet's capacity, from which shares
// are computed.
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

// setPriorityPolicy puts a policy in force. A nil policy means that there are no tiers.
func (m *Model) setPriorityPolicy(policy *priority.Policy) {
	m.tiers.policy = policy
	for _, idx := range m.openIndexes {
		if j := m.Jobs[idx]; j != nil {
			m.tiers.assign(j)
		}
	}
	for _, c := range m.classes.byName {
		m.tiers.assign(c.lastJob) // the last job of a class may have left the model
	}
}

// assign sets the tier of a job by the policy in force.
func (t *priorityTiers) assign(j *Job) { j.tier = t.policy.TierOf(j.Spec.Team, j.Spec.Class) }

// schedulableCapacity returns the total capacity of the machines that can be given tasks. If there
// are none, it returns the capacity that was last recorded.
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

// dominantShare returns the largest of the shares of the fleet's CPUs, GPUs and memory that the
// needed resources take, as a fraction.
func dominantShare(need, fleet placement.Resources) float64 {
	share := 0.0
	for _, resource := range []struct{ need, total float64 }{{need.CPU, fleet.CPU}, {need.GPU, fleet.GPU}, {need.Mem, fleet.Mem}} {
		if resource.total > 0 {
			share = max(share, resource.need/resource.total)
		}
	}
	return share
}

// tierUsage returns, by tier, the dominant share of the fleet that the tier's placed tasks use.
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

// promoteStarvedTiers moves work of lower tiers ahead of higher tiers. It promotes jobs of a tier
// that has less than its share, and some tasks of jobs that have waited for their tier's longest
// wait. If waits alone have gained a tier enough, such tasks move only ahead of their own tier.
// Tasks that are not promoted keep their position. Guaranteed quotas, priorities and the
// starvation bound still take precedence.
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
			out = append(out, queue[lo:hi]...) // they keep the order in which they must start
		} else {
			promoted, rest := splitPromoted(queue[lo:hi], promotions[lo:hi])
			out = append(m.mergePromoted(out, promoted), rest...)
		}
		lo = hi
	}
	return out
}

// pendingJobs converts the queue to the policy's input.
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

// splitPromoted splits the requests of one rank into those that are promoted ahead of other tiers
// and the rest. Both are sorted by tier. In the rest, requests that are promoted within their tier
// come first in it.
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

// mergePromoted appends promoted requests behind those that must start by the starvation bound.
// Requests whose tier's longest wait is over are inserted among the latter, by the time at which
// the wait was over. Under overload all jobs must eventually start by the bound, and the longest
// wait would have no effect behind them.
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

// overtakesMustStart reports whether a request whose tier's longest wait was over at waitOver is
// placed before other, a request of the same rank that must start by the starvation bound. It
// returns false for any other kind of request.
func (entry *queueEntry) overtakesMustStart(other *queueEntry, waitOver time.Time) bool {
	if !other.req.StartDue || other.withinGuarantee != entry.withinGuarantee || other.job.priority != entry.job.priority {
		return false
	}
	if other.job.start.mustFinish || priority.PromotionCause(other.req.PromotionCause) == priority.PromotedByWait {
		return false
	}
	return other.job.start.infeasible || other.job.start.startBy.After(waitOver)
}

// sameRank reports whether two requests have the same rank, in which only priority tiers and
// objectives order them.
func (entry *queueEntry) sameRank(other *queueEntry) bool {
	return entry.withinGuarantee == other.withinGuarantee && entry.job.priority == other.job.priority && entry.req.StartDue == other.req.StartDue
}

// split splits off the first n tasks of a request. Both parts share the counts by zone. The tail is
// nil if no tasks are left. It is also nil if a zone is still to be chosen for all tasks, and the
// other tasks then wait for the next pass.
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

// outranksCompetitors reports whether classes of lower tiers have the job's priority, so that it
// can't preempt their tasks. Resources are then held for the job, because smaller tasks would
// otherwise take whatever becomes free.
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

// reservesFor reports whether resources are reserved for expected jobs of class c before a request
// of class own is served. Without tiers they are if own has no objective on the wait. The same rule
// applies within a tier. Higher tiers always get reservations, and lower tiers never do. A promoted
// request gives way to no reservation.
func (m *Model) reservesFor(c *classStats, entry *queueEntry, own *classStats) bool {
	if m.tiers.policy == nil {
		return !own.hasWaitObjective
	}
	tier := c.lastJob.tier
	return entry.req.PromotionCause == 0 && !entry.req.StartDue && (tier < entry.req.Tier || tier == entry.req.Tier && !own.hasWaitObjective)
}

// sortByTier sorts classes by tier, highest first, in place and returns them. Without tiers it
// keeps their order.
func (m *Model) sortByTier(classes []*classStats) []*classStats {
	if m.tiers.policy != nil {
		slices.SortStableFunc(classes, func(a, b *classStats) int { return cmp.Compare(a.lastJob.tier, b.lastJob.tier) })
	}
	return classes
}

// recordInversions records the priority inversions of a pass. It must run before the pass's
// placements are applied to the model, since it compares them with the state on which the pass
// based its decisions.
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
