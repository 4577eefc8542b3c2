package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/warmpool"
)

// This file holds the warm pools of the plan and their members. Package warmpool decides how
// many machines a pool needs; warm_pool_reconcile.go compares that with what it has. What a
// new leader needs is recorded (warm_pool_records.go). Without pools in the plan nothing
// here has an effect.

// warmPools holds the plan's warm pools. Only the warm_pool*.go files write its fields, those
// of its pools, and the pool's fields of machines. Invariant: a machine whose pool field is
// n > 0 is a member of all[n-1] and of no other pool.
type warmPools struct {
	all           []*warmPool // in the order of the plan
	nextTick      time.Time   // tickPools does nothing before
	prefetchCount int         // prefetch jobs that this leader has created; makes their ids unique
}

// warmPool is a pool of the plan with its members. Invariant: shardOf has exactly the
// machines that are members of one of the shards.
type warmPool struct {
	warmpool.Pool
	record             warmpool.Record
	savedRecord        warmpool.Record // as last recorded
	demand             warmpool.WeeklyDemand
	shards             []*warmpool.Shard
	changedShards      []bool         // shards to be recorded
	shardOf            map[int32]int  // index in shards, by machine
	scaleOut           map[string]int // machines wanted, by zone, until the next tick
	fetchQueue         []int32        // machines that are to fetch the weights
	fetchRequestedAt   map[int32]time.Time
	fetchesPausedUntil time.Time     // workers have refused prefetches
	fetchPause         time.Duration // length of the last pause
}

const (
	poolInterval       = 2 * time.Second  // between two ticks of the pools
	poolGracePeriod    = 25 * time.Second // after takeover: not all machines have sent a heartbeat
	minIdleToJoin      = 4 * time.Second  // a machine that has just come up may be for waiting work
	accountInterval    = time.Minute      // between two records of an account that nothing else changes
	fetchRetryInterval = 20 * time.Second // until a fetch is requested again
	recentBootWindow   = time.Minute      // a machine that has been idle for longer was not rented for a pool
	memberLostAfter    = time.Minute      // a recorded member that no heartbeat and no list has shown is gone
	maxScaleOutPerTick = 50               // of a pool in a zone
	otherZonePenalty   = 1e6              // added to the price of a machine in another zone than wanted
	poolExclusionTime  = 10 * time.Minute // no pool accepts a machine that has failed to fetch its image
	stuckFetchFactor   = 3                // a fetch has failed after this multiple of its time and a minute
	prefetchCPUs       = 0.01             // what a prefetch reserves
)

// enterPool makes the machine a member of the pool at an index of warmPools.all.
func (mc *Machine) enterPool(index int) { mc.pool = index + 1 }

// exitPool makes the machine a member of no pool.
func (mc *Machine) exitPool() { mc.pool = 0 }

// inPool reports whether the machine is a member of a pool.
func (mc *Machine) inPool() bool { return mc.pool != 0 }

// markReady records that the machine can be given tasks.
func (mc *Machine) markReady() { mc.unreadySince = time.Time{} }

// markUnready records that the machine can't be given tasks now.
func (mc *Machine) markUnready(now time.Time) {
	if mc.unreadySince.IsZero() {
		mc.unreadySince = now
	}
}

// excludeFromPools lets no pool accept the machine for a time.
func (mc *Machine) excludeFromPools(until time.Time) { mc.poolExclusionUntil = until }

// reloadPools applies the plan's pools. It may be called before any job or machine is known.
func (m *Model) reloadPools(now time.Time) {
	if m.plan.Unreadable {
		return // the pools known before stay
	}
	var settings []warmpool.Pool
	if m.plan.Plan != nil {
		settings = m.plan.Pools
	}
	old := m.pools.all
	m.pools.all = nil
	for _, s := range settings {
		var p *warmPool
		if i := slices.IndexFunc(old, func(p *warmPool) bool { return p.Name == s.Name }); i >= 0 {
			p = old[i]
			old = slices.Delete(old, i, i+1)
			p.changeSettings(s, now)
		} else {
			p = m.loadPool(s, now)
		}
		p.record.Payer = s.Payer
		if !p.Serves(p.record.Image) {
			p.setImage(s.Model, s.WeightsGB)
		}
		m.pools.all = append(m.pools.all, p)
	}
	for _, p := range old {
		m.dissolvePool(p, now)
	}
	for i, p := range m.pools.all {
		for idx := range p.shardOf {
			m.Machines[idx].enterPool(i)
		}
	}
	m.pools.nextTick = time.Time{}
}

// changeSettings applies the plan's new settings. If the payer changes, the costs up to now
// are charged to the previous one.
func (p *warmPool) changeSettings(s warmpool.Pool, now time.Time) {
	if p.Payer != s.Payer {
		p.settle(now)
	}
	p.Pool = s
}

// dissolvePool settles the account of a pool that the plan no longer has, and ends the
// membership of its machines.
func (m *Model) dissolvePool(p *warmPool, now time.Time) {
	p.settle(now)
	for idx := range p.shardOf {
		m.leavePool(p, m.Machines[idx], now)
	}
	p.record.Target, p.record.Held, p.record.Warm, p.record.Fetching = 0, 0, 0, 0
	m.queuePoolRecords(p, now)
}

// setImage makes an image the one whose weights the pool holds.
func (p *warmPool) setImage(name string, weightsGB float64) {
	if p.record.Image != name {
		p.record.ImageVersion++
	}
	p.record.Image, p.record.WeightsGB = name, weightsGB
}

// poolImage is the index of the image whose weights a pool holds.
func (m *Model) poolImage(p *warmPool) int32 {
	return m.images.intern(p.record.Image, p.record.WeightsGB)
}

// settle charges everything up to now to the pool's payer.
func (p *warmPool) settle(now time.Time) {
	for i, shard := range p.shards {
		if len(shard.Members) > 0 {
			shard.Settle(now.UnixMilli(), p.Payer)
			p.changedShards[i] = true
		}
	}
}

// member is a machine's entry in the pool, nil if it has none; it is valid until the pool's
// members change.
func (p *warmPool) member(mc *Machine) *warmpool.Member {
	shard, ok := p.shardOf[mc.index]
	if !ok {
		return nil
	}
	return p.shards[shard].Member(mc.Name)
}

// poolOf is the pool that a machine belongs to, nil if there is none.
func (m *Model) poolOf(mc *Machine) *warmPool {
	if mc.pool == 0 || mc.pool > len(m.pools.all) {
		return nil
	}
	return m.pools.all[mc.pool-1]
}

// joinPool makes a machine a member of a pool. One that has just come up and has never had a
// task counts as rented for the pool, which then pays from its creation on, its boot included.
// For all others, such as headroom, the pool pays from now on.
func (m *Model) joinPool(index int, mc *Machine, now time.Time) {
	p := m.pools.all[index]
	shard := slices.IndexFunc(p.shards, func(s *warmpool.Shard) bool { return len(s.Members) < warmpool.ShardSize })
	if shard < 0 || mc.inPool() {
		return
	}
	since := now
	if mc.creationKnown && !mc.hasHadTask && mc.createdAt.Before(now) && now.Sub(mc.idleSince) < recentBootWindow {
		since = mc.createdAt
	}
	p.shards[shard].Join(warmpool.Member{Machine: mc.Name, Zone: m.Zones[mc.Zone], SinceMs: since.UnixMilli(), HourlyRate: m.hourlyRate(mc)})
	p.shardOf[mc.index], p.changedShards[shard] = shard, true
	mc.enterPool(index)
	m.log.Info("machine joined warm pool", "pool", p.Name, "machine", mc.Name, "warm", mc.hasImage(m.poolImage(p)), "paidSince", since)
}

// leavePool ends a machine's membership in a pool.
func (m *Model) leavePool(p *warmPool, mc *Machine, now time.Time) {
	shard := p.shardOf[mc.index]
	p.shards[shard].Leave(mc.Name, now.UnixMilli(), p.Payer)
	p.changedShards[shard] = true
	delete(p.shardOf, mc.index)
	delete(p.fetchRequestedAt, mc.index)
	mc.exitPool()
	m.log.Info("machine left warm pool", "pool", p.Name, "machine", mc.Name, "gone", mc.Gone)
}

// setLeaving changes whether a member is to be scaled in once it is idle.
func (m *Model) setLeaving(p *warmPool, name string, leaving bool) {
	mc := m.machineNamed(name)
	if member := p.member(mc); member != nil {
		member.Leaving = leaving
		p.changedShards[p.shardOf[mc.index]] = true
		m.log.Info("machine release from warm pool changed", "pool", p.Name, "machine", name, "leaving", leaving)
	}
}

// hourlyRate is the price of a machine for an hour, in millionths.
func (m *Model) hourlyRate(mc *Machine) int64 {
	if mc.typeIndex < 0 {
		return 0
	}
	if mc.Spot {
		return warmpool.ToMicros(m.MachineTypes[mc.typeIndex].SpotPrice)
	}
	return warmpool.ToMicros(m.MachineTypes[mc.typeIndex].Price)
}
