package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// updateMembers updates the members of a pool. Machines that are gone leave the pool, and so do
// released machines that got tasks. For the others it records whether they are ready, whether they
// have the weights and which teams use them.
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
			continue // its price is unknown; the recorded price and shares stay
		}
		if p.shards[shard].SetShares(member, m.teamShares(mc), m.hourlyRate(mc), now.UnixMilli(), p.Payer) {
			p.changedShards[shard] = true
		}
	}
}

// memberNeverSeen reports whether a recorded member counts as lost. This leader has received no
// heartbeat from it, the cloud has not listed it for memberLostAfter, and it is not booting. No
// member counts as lost within memberLostAfter of the election.
func (m *Model) memberNeverSeen(mc *Machine, now time.Time) bool {
	_, isBooting := m.estimateBootTimeLeft(mc, now)
	return !mc.alive && !isBooting && mc.AgentEpoch == 0 && now.Sub(m.ElectedAt) > memberLostAfter && now.Sub(mc.cloudStateAt) > memberLostAfter
}

// restoreWeights adds the weights to a machine's image cache if an earlier leader recorded them
// for the same agent epoch. It does so once per agent epoch. It is needed because heartbeats don't
// list images.
func (m *Model) restoreWeights(p *warmPool, mc *Machine, member *warmpool.Member, image int32) {
	recorded := member.WarmVersion == p.record.ImageVersion && member.AgentEpoch == mc.AgentEpoch && mc.AgentEpoch > 0
	if recorded && mc.imagesRestoredEpoch < mc.AgentEpoch && !mc.hasImage(image) {
		m.recordImage(mc, image)
	}
	mc.imagesRestoredEpoch = mc.AgentEpoch
}

// updateWarmth records whether a member has the weights, and in which agent epoch. It returns
// whether the member's record changed.
func (p *warmPool) updateWarmth(mc *Machine, member *warmpool.Member, image int32) bool {
	warmVersion := 0
	if mc.hasImage(image) {
		warmVersion = p.record.ImageVersion
	}
	if mc.AgentEpoch == 0 || member.WarmVersion == warmVersion && member.AgentEpoch == mc.AgentEpoch {
		return false
	}
	member.WarmVersion, member.AgentEpoch = warmVersion, mc.AgentEpoch
	return true
}

// sortedMachineIndexes returns the machines in shardOf in ascending order, so that members are
// always visited in the same order.
func sortedMachineIndexes(shardOf map[int32]int) []int32 {
	indexes := make([]int32, 0, len(shardOf))
	for index := range shardOf {
		indexes = append(indexes, index)
	}
	slices.Sort(indexes)
	return indexes
}

// teamShares returns the share of a machine that each team uses. A team's share is the largest of
// its shares of CPU, GPU and memory. Teams without a share are left out.
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

// observeMembers returns the observations of a pool's members. A member that failed to fetch the
// weights leaves the pool.
func (m *Model) observeMembers(p *warmPool, image int32, now time.Time) []warmpool.Observation {
	prefetched := m.pendingPrefetches(p, now)
	var members []warmpool.Observation
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
		observation := m.observeMachine(p, mc, image, now)
		observation.Leaving = member.Leaving
		observation.Fetching = !observation.Warm && (observation.Fetching || prefetched[mc.Name] || now.Sub(p.fetchRequestedAt[mc.index]) < fetchRetryInterval)
		members = append(members, observation)
	}
	return members
}

// observeMachine returns the observation of a machine that is a member of a pool or may join it.
func (m *Model) observeMachine(p *warmPool, mc *Machine, image int32, now time.Time) warmpool.Observation {
	observation := warmpool.Observation{Machine: mc.Name, Zone: m.Zones[mc.Zone], Warm: mc.hasImage(image), Busy: len(mc.Tasks) > 0 || mc.orphaned != (placement.Resources{})}
	// A machine that has been silent for less than a lease counts as ready and is not replaced.
	// When the leader is paused, heartbeats of all machines are delayed.
	observation.Ready = mc.alive && !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() &&
		(mc.unreadySince.IsZero() || now.Sub(mc.unreadySince) < config.Seconds(m.settings.Cluster.Workers.LeaseS))
	_, observation.Booting = m.estimateBootTimeLeft(mc, now)
	observation.Serving = len(mc.Tasks) > 0
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		attempt := j.Tasks[ref.Task].Placement
		if j.image == image && attempt.reportedState < reportedWaiting {
			observation.Fetching = true
		}
		observation.Serving = observation.Serving && j.image == image && p.AllowsTeam(j.Spec.Team)
	}
	return observation
}

// fetchStuck reports whether a machine has been fetching the weights for stuckFetchFactor times
// the expected duration and a minute. Such a machine does not receive answers, or its fetches
// fail.
func (m *Model) fetchStuck(mc *Machine, image int32, weightsGB float64, now time.Time) bool {
	if mc.hasImage(image) || m.MachineTypes[mc.typeIndex].FetchRate <= 0 {
		return false
	}
	limit := config.Seconds(stuckFetchFactor*weightsGB/m.MachineTypes[mc.typeIndex].FetchRate) + time.Minute
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if attempt := j.Tasks[ref.Task].Placement; j.image == image && attempt.reportedState < reportedWaiting && now.Sub(attempt.placedAt) > limit {
			return true
		}
	}
	return false
}
