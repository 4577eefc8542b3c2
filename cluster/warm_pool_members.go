package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// This file observes the members of warm pools: whether they are there, ready and warm, and
// which teams use them.

// updateMembers updates a pool's members: it drops those that are gone, and records which
// of the others have the weights and which teams use them.
func (m *Model) updateMembers(p *warmPool, now time.Time) {
	image := m.poolImage(p)
	for _, idx := range sortedMachineIndexes(p.shardOf) {
		mc := m.Machines[idx]
		shard := p.shardOf[idx]
		member := p.shards[shard].Member(mc.Name)
		if m.memberNeverSeen(mc, now) || mc.Gone || member.Leaving && len(mc.Tasks) > 0 {
			m.leavePool(p, mc, now)
			continue
		}
		m.restoreWeights(p, mc, member, image)
		if m.Ready(mc, now) {
			mc.markReady()
		} else {
			mc.markUnready(now)
		}
		if p.updateWarmth(mc, member, image) {
			p.changedShards[shard] = true
		}
		if mc.typeIndex < 0 || mc.Zone < 0 {
			continue // its price and its users are as recorded
		}
		if p.shards[shard].SetShares(member, m.teamShares(mc), m.hourlyRate(mc), now.UnixMilli(), p.Payer) {
			p.changedShards[shard] = true
		}
	}
}

// memberNeverSeen reports whether a recorded member is missing: this leader has had no
// heartbeat from it and has not seen it in the cloud's list for long.
func (m *Model) memberNeverSeen(mc *Machine, now time.Time) bool {
	_, boots := m.estimateBootTimeLeft(mc, now)
	return !mc.alive && !boots && mc.AgentEpoch == 0 && now.Sub(m.ElectedAt) > memberLostAfter && now.Sub(mc.cloudStateAt) > memberLostAfter
}

// restoreWeights adds the weights to a machine's images if an earlier leader recorded them
// there, once for each agent epoch: heartbeats don't list images.
func (m *Model) restoreWeights(p *warmPool, mc *Machine, member *warmpool.Member, image int32) {
	recorded := member.WarmVersion == p.record.ImageVersion && member.AgentEpoch == mc.AgentEpoch && mc.AgentEpoch > 0
	if recorded && mc.imagesRestoredEpoch < mc.AgentEpoch && !mc.hasImage(image) {
		m.recordImage(mc, image)
	}
	mc.imagesRestoredEpoch = mc.AgentEpoch
}

// updateWarmth records whether a member has the weights, and in which agent epoch; true if
// that has changed.
func (p *warmPool) updateWarmth(mc *Machine, member *warmpool.Member, image int32) bool {
	warm := 0
	if mc.hasImage(image) {
		warm = p.record.ImageVersion
	}
	if mc.AgentEpoch == 0 || member.WarmVersion == warm && member.AgentEpoch == mc.AgentEpoch {
		return false
	}
	member.WarmVersion, member.AgentEpoch = warm, mc.AgentEpoch
	return true
}

// sortedMachineIndexes lists machines by index, so that members are always visited in the same order.
func sortedMachineIndexes(shardOf map[int32]int) []int32 {
	keys := make([]int32, 0, len(shardOf))
	for k := range shardOf {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// teamShares returns how much of a machine each team uses: the largest of its shares of the
// machine's resources.
func (m *Model) teamShares(mc *Machine) []warmpool.TeamShare {
	if len(mc.Tasks) == 0 {
		return nil
	}
	used := make([]placement.Resources, len(m.teams))
	for ref := range mc.Tasks {
		if j := m.Jobs[ref.Job]; j.team >= 0 && !m.isPrefetch(j) {
			used[j.team] = used[j.team].Add(j.Need, 1)
		}
	}
	capacity := m.MachineTypes[mc.typeIndex].Capacity
	var shares []warmpool.TeamShare
	for team, u := range used {
		share := 0.0
		for _, resource := range []struct{ used, capacity float64 }{{u.CPU, capacity.CPU}, {u.GPU, capacity.GPU}, {u.Mem, capacity.Mem}} {
			if resource.capacity > 0 {
				share = max(share, resource.used/resource.capacity)
			}
		}
		if perMille := int(math.Round(min(share, 1) * 1000)); perMille > 0 {
			shares = append(shares, warmpool.TeamShare{Team: m.settings.Cluster.Teams[team].Name, PerMille: perMille})
		}
	}
	return shares
}

// observeMembers observes the members of a pool. One whose fetch has failed leaves the pool.
func (m *Model) observeMembers(p *warmPool, image int32, now time.Time) []warmpool.Observation {
	prefetched := m.pendingPrefetches(p, now)
	var own []warmpool.Observation
	for _, mc := range m.Machines {
		if mc.Gone || mc.typeIndex < 0 || mc.Zone < 0 {
			continue
		}
		member := p.member(mc)
		if member == nil {
			continue
		}
		if m.fetchStuck(mc, image, p.record.WeightsGB, now) {
			m.log.Warn("machine failed to fetch model weights, leaving warm pool", "pool", p.Name, "machine", mc.Name)
			m.leavePool(p, mc, now)
			mc.excludeFromPools(now.Add(poolExclusionTime))
			continue
		}
		seen := m.observeMachine(p, mc, image, now)
		seen.Leaving = member.Leaving
		seen.Fetching = !seen.Warm && (seen.Fetching || prefetched[mc.Name] || now.Sub(p.fetchRequestedAt[mc.index]) < fetchRetryInterval)
		own = append(own, seen)
	}
	return own
}

// observeMachine is the state of a machine that is, or may become, a member of a pool.
func (m *Model) observeMachine(p *warmPool, mc *Machine, image int32, now time.Time) warmpool.Observation {
	seen := warmpool.Observation{Machine: mc.Name, Zone: m.Zones[mc.Zone], Warm: mc.hasImage(image), Busy: len(mc.Tasks) > 0 || mc.orphaned != (placement.Resources{})}
	// A machine that has been silent for a short time is not replaced yet: heartbeats of
	// all machines are delayed when the leader is paused.
	seen.Ready = mc.alive && !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() &&
		(mc.unreadySince.IsZero() || now.Sub(mc.unreadySince) < config.Seconds(m.settings.Cluster.Workers.LeaseS))
	_, seen.Booting = m.estimateBootTimeLeft(mc, now)
	seen.Serving = len(mc.Tasks) > 0
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		place := j.Tasks[ref.Task].Placement
		if j.image == image && place.reportedState < reportedWaiting {
			seen.Fetching = true
		}
		seen.Serving = seen.Serving && j.image == image && p.AllowsTeam(j.Spec.Team)
	}
	return seen
}

// fetchStuck reports whether a machine has been fetching the weights for much longer than
// that takes: it does not receive answers, or its fetches fail.
func (m *Model) fetchStuck(mc *Machine, image int32, weightsGB float64, now time.Time) bool {
	if mc.hasImage(image) || m.MachineTypes[mc.typeIndex].FetchRate <= 0 {
		return false
	}
	limit := config.Seconds(stuckFetchFactor*weightsGB/m.MachineTypes[mc.typeIndex].FetchRate) + time.Minute
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if place := j.Tasks[ref.Task].Placement; j.image == image && place.reportedState < reportedWaiting && now.Sub(place.placedAt) > limit {
			return true
		}
	}
	return false
}
