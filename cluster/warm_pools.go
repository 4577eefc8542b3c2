package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/warmpool"
)

// warmPools holds the plan's warm pools. Without pools in the plan it has no effect. Package
// warmpool decides how many machines a pool needs, and Model.reconcilePool compares that number
// with the pool's members. State that a new leader needs is kept in plan records
// (Model.queuePoolRecords).
//
// Only the warm_pool*.go files write the fields of warmPools, of its pools, and the pool fields of
// machines. Invariant: a machine whose pool field is n > 0 is a member of all[n-1] and of no other
// pool.
type warmPools struct {
	all           []*warmPool // in the order of the plan
	nextTick      time.Time   // time before which tickPools does nothing
	prefetchCount int         // number of prefetch jobs that this leader created; makes their ids unique
}

// warmPool is a pool of the plan with its members. Invariant: the keys of shardOf are exactly the
// machines that are members of one of the shards.
type warmPool struct {
	warmpool.Pool
	record             warmpool.Record
	savedRecord        warmpool.Record // record as last queued for writing
	demand             warmpool.WeeklyDemand
	shards             []*warmpool.Shard
	changedShards      []bool              // by shard, whether it is to be written
	shardOf            map[int32]int       // by machine index, the index in shards
	scaleOut           map[string]int      // by zone name, machines to be requested until the next tick
	fetchQueue         []int32             // indices of machines that are to fetch the weights
	fetchRequestedAt   map[int32]time.Time // by machine index
	fetchesPausedUntil time.Time           // end of the pause after workers refused a prefetch
	fetchPause         time.Duration       // length of the last pause
}

const (
	poolInterval       = 2 * time.Second  // between two ticks of the pools
	poolGracePeriod    = 25 * time.Second // after an election, while not all machines have sent a heartbeat
	minIdleToJoin      = 4 * time.Second  // a machine that has just come up may be meant for waiting tasks
	accountInterval    = time.Minute      // between two writes of an account that is otherwise unchanged
	fetchRetryInterval = 20 * time.Second // between two requests of the same fetch
	recentBootWindow   = time.Minute      // a machine that has been idle for longer does not count as rented for a pool
	memberLostAfter    = time.Minute      // after which a recorded member without heartbeat and listing counts as lost
	maxScaleOutPerTick = 50               // machines of one pool in one zone
	otherZonePenalty   = 1e6              // added to the price of a machine in another zone than the wanted one
	poolExclusionTime  = 10 * time.Minute // for a machine that failed to fetch the weights
	stuckFetchFactor   = 3                // a fetch has failed after this multiple of its expected time, plus a minute
	prefetchCPUs       = 0.01             // that a prefetch job reserves
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

// excludeFromPools prevents all pools from accepting the machine until the given time.
func (mc *Machine) excludeFromPools(until time.Time) { mc.poolExclusionUntil = until }

// reloadPools applies the plan's pools. It may be called before any job or machine is loaded.
func (m *Model) reloadPools(now time.Time) {
	if m.plan.Unreadable {
		return // the current pools stay
	}
	var settings []warmpool.Pool
	if m.plan.Plan != nil {
		settings = m.plan.Pools
	}
	remaining := m.pools.all // previous pools that the plan no longer has, after the loop
	m.pools.all = nil
	for _, s := range settings {
		var p *warmPool
		if i := slices.IndexFunc(remaining, func(p *warmPool) bool { return p.Name == s.Name }); i >= 0 {
			p = remaining[i]
			remaining = slices.Delete(remaining, i, i+1)
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
	for _, p := range remaining {
		m.dissolvePool(p, now)
	}
	for i, p := range m.pools.all {
		for idx := range p.shardOf {
			m.Machines[idx].enterPool(i)
		}
	}
	m.pools.nextTick = time.Time{}
}

// changeSettings applies new settings of the plan. If the payer changes, the costs up to now are
// charged to the previous payer.
func (p *warmPool) changeSettings(s warmpool.Pool, now time.Time) {
	if p.Payer != s.Payer {
		p.settle(now)
	}
	p.Pool = s
}

// dissolvePool settles the account of a pool that the plan no longer has, and removes its members.
func (m *Model) dissolvePool(p *warmPool, now time.Time) {
	p.settle(now)
	for idx := range p.shardOf {
		m.leavePool(p, m.Machines[idx], now)
	}
	p.record.Target, p.record.Held, p.record.Warm, p.record.Fetching = 0, 0, 0, 0
	m.queuePoolRecords(p, now)
}

// setImage sets the image whose weights the pool holds.
func (p *warmPool) setImage(name string, weightsGB float64) {
	if p.record.Image != name {
		p.record.ImageVersion++
	}
	p.record.Image, p.record.WeightsGB = name, weightsGB
}

// poolImage returns the index of the image whose weights a pool holds.
func (m *Model) poolImage(p *warmPool) int32 {
	return m.images.intern(p.record.Image, p.record.WeightsGB)
}

// settle charges the costs up to now to the pool's current payer.
func (p *warmPool) settle(now time.Time) {
	for i, shard := range p.shards {
		if len(shard.Members) > 0 {
			shard.Settle(now.UnixMilli(), p.Payer)
			p.changedShards[i] = true
		}
	}
}

// member returns a machine's entry in the pool, or nil if it has none. The result is valid until
// the pool's members change.
func (p *warmPool) member(mc *Machine) *warmpool.Member {
	shard, ok := p.shardOf[mc.index]
	if !ok {
		return nil
	}
	return p.shards[shard].Member(mc.Name)
}

// poolOf returns the pool of a machine, or nil if it is in none.
func (m *Model) poolOf(mc *Machine) *warmPool {
	if mc.pool == 0 || mc.pool > len(m.pools.all) {
		return nil
	}
	return m.pools.all[mc.pool-1]
}

// joinPool makes a machine a member of the pool at an index of warmPools.all. A machine that just
// came up and never had a task counts as rented for the pool. The pool pays for it from its
// creation on, including its boot. For all other machines, such as headroom, the pool pays from
// now on. joinPool does nothing if the machine is in a pool or all shards are full.
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

// leavePool removes a machine from its pool.
func (m *Model) leavePool(p *warmPool, mc *Machine, now time.Time) {
	shard := p.shardOf[mc.index]
	p.shards[shard].Leave(mc.Name, now.UnixMilli(), p.Payer)
	p.changedShards[shard] = true
	delete(p.shardOf, mc.index)
	delete(p.fetchRequestedAt, mc.index)
	mc.exitPool()
	m.log.Info("machine left warm pool", "pool", p.Name, "machine", mc.Name, "gone", mc.Gone)
}

// setLeaving sets whether a member is released, so that it is scaled in once it is idle.
func (m *Model) setLeaving(p *warmPool, name string, leaving bool) {
	mc := m.machineNamed(name)
	if member := p.member(mc); member != nil {
		member.Leaving = leaving
		p.changedShards[p.shardOf[mc.index]] = true
		m.log.Info("machine release from warm pool changed", "pool", p.Name, "machine", name, "leaving", leaving)
	}
}

// hourlyRate returns the price of a machine per hour in millionths. It returns 0 if the machine's
// type is unknown.
func (m *Model) hourlyRate(mc *Machine) int64 {
	if mc.typeIndex < 0 {
		return 0
	}
	if mc.Spot {
		return warmpool.ToMicros(m.MachineTypes[mc.typeIndex].SpotPrice)
	}
	return warmpool.ToMicros(m.MachineTypes[mc.typeIndex].Price)
}
