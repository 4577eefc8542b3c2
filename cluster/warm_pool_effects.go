package cluster

import (
	"fmt"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// This file says what pools mean for everybody else: placement, returns, and those
// who watch.

// keptByPool reports whether an idle machine must not be scaled in because it is in a pool,
// or may be, which is not known while the plan is unreadable. releasedByPool reports whether
// its pool has released it, so that it is to be scaled in at once; the release must be
// committed first.
func (m *Model) keptByPool(mc *Machine) bool { return m.plan.Unreadable || m.poolOf(mc) != nil }

func (m *Model) releasedByPool(mc *Machine) bool {
	p := m.poolOf(mc)
	if p == nil {
		return false
	}
	e := p.member(mc)
	return e != nil && e.Leaving && !m.planRecordPending(warmpool.ShardName(p.Name, p.shardOf[mc.Index]))
}

// poolView tells the planner whose a machine is, and which images fit beside the
// weights: an image that is newer than they are goes after them.
func (m *Model) poolView(mc *Machine, v *placement.Machine) {
	p := m.poolOf(mc)
	if p == nil {
		return
	}
	if e := p.member(mc); e == nil || e.Leaving {
		return
	}
	v.Pool = mc.pool
	im := m.images.intern(p.record.Image, p.record.WeightsGB)
	v.PoolSpareGB = m.MachineTypes[mc.Type].CacheGB - p.record.WeightsGB
	for k := len(mc.cachedImages) - 1; k >= 0 && mc.cachedImages[k] != im; k-- {
		v.PoolSpareGB -= m.images.size(mc.cachedImages[k])
	}
	for _, on := range v.Images {
		if on.ReadyInSeconds > 0 && on.Image != im {
			v.PoolSpareGB -= m.images.size(on.Image)
		}
	}
}

// poolAccess says what a job may do with each pool's machines; nil where there are
// no pools.
func (m *Model) poolAccess(j *Job) []placement.PoolAccess {
	if len(m.pools.all) == 0 {
		return nil
	}
	out := make([]placement.PoolAccess, len(m.pools.all))
	w := warmpool.Workload{Image: j.Spec.Image, Team: j.Spec.Team, Priority: j.Priority, Gang: j.Gang() && len(j.Tasks) > 1,
		Tier: j.tier, CheckpointSeconds: j.Spec.SaveS, Checkpoints: j.Spec.CheckpointS > 0}
	for i, p := range m.pools.all {
		if m.isPrefetch(j) {
			if j.reservation.Owner == prefetchOwner(p.Name) {
				out[i] = placement.OwnerAccess
			}
			continue
		}
		w.ModelPriority, w.ModelTier = p.record.Priority, m.tiers.policy.TierOf(p.Payer, p.record.Class)
		out[i] = p.Access(&w)
	}
	return out
}

// countPoolPlacement counts what a placement says of the pools: whether a replica found
// its weights, and whether work of a higher tier took a pool's room.
func (m *Model) countPoolPlacement(j *Job, task int32, mc *Machine) {
	if len(m.pools.all) == 0 || m.isPrefetch(j) {
		return
	}
	on := m.poolOf(mc)
	for i, p := range m.pools.all {
		if !p.Serves(j.Spec.Image) || !p.AllowsTeam(j.Spec.Team) {
			if p == on && m.poolAccess(j)[i] == placement.LastResortAccess {
				n := p.shardOf[mc.Index]
				p.shards[n].Preemptions++
				p.shards[n].LastPreemption = fmt.Sprintf("%s/%d of %s, tier %q, %s, took room on %s", j.ID, task, j.Spec.Team, m.tiers.policy.TierName(j.tier), j.Spec.Priority, mc.Name)
				p.changed[n] = true
				m.log.Info("pool cedes room", "pool", p.Name, "machine", mc.Name, "job", j.ID, "task", task, "team", j.Spec.Team, "priority", j.Spec.Priority)
			}
			continue
		}
		n := p.shardOf[mc.Index] // 0 for machines of no pool
		if mc.hasImage(j.Image) {
			p.shards[n].Hits++
		} else {
			p.shards[n].Misses++
		}
		p.changed[n] = true
	}
}

// PoolSnapshot is the state of a warm pool in numbers.
type PoolSnapshot struct {
	Name         string
	Target       int                        // machines that the pool should hold
	Held         int                        // machines that it holds
	Warm         int                        // of those, machines that have the weights
	Fetching     int                        // of those, machines that are fetching the weights
	Hits         int64                      // replicas placed on a machine that had their weights
	Misses       int64                      // replicas placed on one that had not
	Preemptions  int64                      // tasks of other work placed on the pool's machines as a last resort
	CostLimited  bool                       // the target is bounded by what the pool may cost
	FetchRefused string                     // why weights are not prefetched; "" if they are
	Teams        map[string]warmpool.Charge // what each team owes, as last recorded
}

func (m *Model) poolSnapshots() []PoolSnapshot {
	var out []PoolSnapshot
	for _, p := range m.pools.all {
		s := PoolSnapshot{Name: p.Name, Target: p.record.Target, Held: p.record.Held, Warm: p.record.Warm, Fetching: p.record.Fetching,
			CostLimited: p.record.CostLimited, FetchRefused: p.record.FetchRefused}
		var shards []warmpool.Shard
		for _, sh := range p.shards {
			s.Hits, s.Misses, s.Preemptions = s.Hits+sh.Hits, s.Misses+sh.Misses, s.Preemptions+sh.Preemptions
			shards = append(shards, *sh)
		}
		s.Teams, _ = warmpool.Totals(shards)
		out = append(out, s)
	}
	return out
}
