package cluster

import (
	"fmt"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// keptByPool reports whether an idle machine must not be scaled in because it is in a warm pool.
// While the plan is unreadable it returns true for all machines, because any may be in a pool.
func (m *Model) keptByPool(mc *Machine) bool { return m.plan.Unreadable || m.poolOf(mc) != nil }

// releasedByPool reports whether a machine's pool has released it and the release is committed.
// The machine is to be scaled in at once then.
func (m *Model) releasedByPool(mc *Machine) bool {
	p := m.poolOf(mc)
	if p == nil {
		return false
	}
	member := p.member(mc)
	return member != nil && member.Leaving && !m.planRecordPending(warmpool.ShardName(p.Name, p.shardOf[mc.index]))
}

// poolView sets a machine's pool in its view, and PoolSpareGB: how many GB of other images its
// cache can take before it evicts the weights. The cache evicts the least recently used image
// first. Images that were used after the weights and images that are being fetched therefore
// reduce PoolSpareGB.
func (m *Model) poolView(mc *Machine, v *placement.Machine) {
	p := m.poolOf(mc)
	if p == nil {
		return
	}
	if member := p.member(mc); member == nil || member.Leaving {
		return
	}
	v.Pool = mc.pool
	weights := m.poolImage(p)
	v.PoolSpareGB = m.MachineTypes[mc.typeIndex].CacheGB - p.record.WeightsGB
	for k := len(mc.cachedImages) - 1; k >= 0 && mc.cachedImages[k] != weights; k-- {
		v.PoolSpareGB -= m.images.size(mc.cachedImages[k])
	}
	for _, fetching := range v.Images {
		if fetching.ReadyInSeconds > 0 && fetching.Image != weights {
			v.PoolSpareGB -= m.images.size(fetching.Image)
		}
	}
}

// poolAccess returns how a job may use the machines of each pool, in the order of warmPools.all.
// It returns nil if there are no pools.
func (m *Model) poolAccess(j *Job) []placement.PoolAccess {
	if len(m.pools.all) == 0 {
		return nil
	}
	access := make([]placement.PoolAccess, len(m.pools.all))
	workload := warmpool.Workload{Image: j.Spec.Image, Team: j.Spec.Team, Priority: j.priority, Gang: j.Gang() && len(j.Tasks) > 1,
		Tier: j.tier, CheckpointSeconds: j.Spec.SaveS, Checkpoints: j.Spec.CheckpointS > 0}
	for i, p := range m.pools.all {
		if m.isPrefetch(j) {
			if j.reservation.Owner == prefetchOwner(p.Name) {
				access[i] = placement.OwnerAccess
			}
			continue
		}
		workload.ModelPriority, workload.ModelTier = p.record.Priority, m.tiers.policy.TierOf(p.Payer, p.record.Class)
		access[i] = p.Access(&workload)
	}
	return access
}

// countPoolPlacement updates the pools' counters for a placement. Each pool that serves the job
// counts a hit if the machine had the weights, and a miss otherwise. The machine's own pool counts
// a preemption if other work took its capacity as a last resort.
func (m *Model) countPoolPlacement(j *Job, task int32, mc *Machine) {
	if len(m.pools.all) == 0 || m.isPrefetch(j) {
		return
	}
	machinePool := m.poolOf(mc)
	for i, p := range m.pools.all {
		if !p.Serves(j.Spec.Image) || !p.AllowsTeam(j.Spec.Team) {
			if p == machinePool && m.poolAccess(j)[i] == placement.LastResortAccess {
				shard := p.shardOf[mc.index]
				p.shards[shard].Preemptions++
				p.shards[shard].LastPreemption = fmt.Sprintf("%s/%d of %s, tier %q, %s, took room on %s", j.ID, task, j.Spec.Team, m.tiers.policy.TierName(j.tier), j.Spec.Priority, mc.Name)
				p.changedShards[shard] = true
				m.log.Info("warm pool capacity preempted", "pool", p.Name, "machine", mc.Name, "job", j.ID, "task", task, "team", j.Spec.Team, "priority", j.Spec.Priority)
			}
			continue
		}
		shard := p.shardOf[mc.index] // 0 if the machine is not in this pool
		if mc.hasImage(j.image) {
			p.shards[shard].Hits++
		} else {
			p.shards[shard].Misses++
		}
		p.changedShards[shard] = true
	}
}

// PoolSnapshot holds statistics of a warm pool.
type PoolSnapshot struct {
	Name         string
	Target       int                        // machines that the pool should hold
	Held         int                        // machines that it holds
	Warm         int                        // held machines that have the weights
	Fetching     int                        // held machines that are fetching the weights
	Hits         int64                      // replicas placed on a machine that had their weights
	Misses       int64                      // replicas placed on a machine without their weights
	Preemptions  int64                      // tasks of other work placed on the pool's machines as a last resort
	CostLimited  bool                       // the pool's cost limit bounds the target
	FetchRefused string                     // why weights are not prefetched; empty if they are
	Teams        map[string]warmpool.Charge // what each team owes, as last recorded
}

// poolSnapshots returns the statistics of all pools, in the order of the plan.
func (m *Model) poolSnapshots() []PoolSnapshot {
	var snapshots []PoolSnapshot
	for _, p := range m.pools.all {
		s := PoolSnapshot{Name: p.Name, Target: p.record.Target, Held: p.record.Held, Warm: p.record.Warm, Fetching: p.record.Fetching,
			CostLimited: p.record.CostLimited, FetchRefused: p.record.FetchRefused}
		var shards []warmpool.Shard
		for _, shard := range p.shards {
			s.Hits, s.Misses, s.Preemptions = s.Hits+shard.Hits, s.Misses+shard.Misses, s.Preemptions+shard.Preemptions
			shards = append(shards, *shard)
		}
		s.Teams, _ = warmpool.Totals(shards)
		snapshots = append(snapshots, s)
	}
	return snapshots
}
