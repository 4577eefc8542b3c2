package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is what the leader does about warm pools; package pools decides. What
// is recorded goes through keep, so that the next leader goes on where this one
// was. Without a plan that has pools, nothing here does anything.

// warmPools holds the plan's warm pools. Only the warm_pool*.go files write its
// fields. Invariant: a machine whose pool field is n > 0 is a member of all[n-1] and
// of no other pool.
type warmPools struct {
	all           []*warmPool // in the order of the plan
	nextTick      time.Time   // tickPools does nothing before
	prefetchCount int         // prefetch jobs that this leader has created; makes their ids unique
}

// warmPool is a pool of the plan, with what is known of it.
type warmPool struct {
	warmpool.Pool
	record             warmpool.Record
	demand             warmpool.WeeklyDemand
	shards             []*warmpool.Shard
	changed            []bool          // shards to be recorded
	shardOf            map[int32]int   // the shard of each machine
	scaleOut           map[string]int  // wanted, by zone, until the next step
	savedRecord        warmpool.Record // as last recorded
	fetchQueue         []int32         // machines that are to fetch the weights
	fetchRequestedAt   map[int32]time.Time
	fetchesPausedUntil time.Time // no fetches before: workers refuse them
	fetchPause         time.Duration
}

const (
	poolInterval       = 2 * time.Second  // a step
	poolGracePeriod    = 25 * time.Second // after takeover: machines have not been heard of
	minIdleToJoin      = 4 * time.Second  // a machine just up may be for work that waits
	accountInterval    = time.Minute      // an account is recorded that often if nothing else happens
	fetchRetryInterval = 20 * time.Second // until a fetch is asked for again
	recentlyStarted    = time.Minute      // what has been idle for longer was not rented for a pool
	lostMachineAfter   = time.Minute      // a recorded machine that nobody has heard of is gone
	maxScaleOutPerTick = 50
	otherZonePenalty   = 1e6 // added to the price of a machine in another zone than wanted
	unfitCooldown      = 10 * time.Minute
	stuckFetchFactor   = 3    // times what a fetch should take, and a minute: nothing is to come of it
	prefetchCPUs       = 0.01 // what a fetch books
)

// reloadPools takes the plan's pools in. It may be called before any job or
// machine is known.
func (m *Model) reloadPools(now time.Time) {
	if m.plan.Unreadable {
		return // what was known holds
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
			if p.Payer != s.Payer {
				// What was so far is charged to who paid then.
				p.settle(now)
			}
			p.Pool = s
		} else {
			p = m.loadPool(s, now)
			if was := p.record.Payer; was != "" && was != s.Payer {
				p.Payer = was
				p.settle(now)
				p.Payer = s.Payer
			}
		}
		p.record.Payer = s.Payer
		if !p.Serves(p.record.Image) {
			p.setImage(s.Model, s.WeightsGB)
		}
		m.pools.all = append(m.pools.all, p)
	}
	for _, p := range old {
		p.settle(now)
		for idx := range p.shardOf {
			m.leavePool(p, m.Machines[idx], now)
		}
		p.record.Target, p.record.Held, p.record.Warm, p.record.Fetching = 0, 0, 0, 0
		m.savePool(p, now)
	}
	for i, p := range m.pools.all {
		for idx := range p.shardOf {
			m.Machines[idx].pool = i + 1
		}
	}
	m.pools.nextTick = time.Time{}
}

// loadPool makes a pool from what earlier leaders recorded.
func (m *Model) loadPool(s warmpool.Pool, now time.Time) *warmPool {
	p := &warmPool{Pool: s, shardOf: map[int32]int{}, fetchRequestedAt: map[int32]time.Time{}}
	p.record = warmpool.Record{ReplicasPerMachine: 1, Priority: priorities[wire.PriorityNormal], Image: s.Model, WeightsGB: s.WeightsGB, ImageVersion: 1}
	read := func(name string, to any) bool {
		raw, ok := m.loadedPlanRecord(name)
		if !ok {
			return false
		}
		if err := wire.Unmarshal(raw, to); err != nil {
			m.log.Error("a record of a pool can't be read", "name", name, "err", err)
			return false
		}
		return true
	}
	note := p.record
	if read(warmpool.RecordName(s.Name), &note) {
		p.record = note
		p.demand.Resume(note.CurrentHour, note.CurrentPeak)
	}
	for d := range 7 {
		var day []string
		if read(warmpool.DayName(s.Name, d), &day) {
			if err := p.demand.LoadDay(d, day); err != nil {
				m.log.Error("a record of a pool can't be read", "pool", s.Name, "err", err)
			}
		}
	}
	for n := range warmpool.MaxShards {
		var sh warmpool.Shard
		if !read(warmpool.ShardName(s.Name, n), &sh) {
			// What can't be read, or is not there, begins anew.
			sh = warmpool.Shard{AtMs: now.UnixMilli()}
		}
		p.shards, p.changed = append(p.shards, &sh), append(p.changed, false)
		for k := range sh.Members {
			mc := m.findOrAddMachine(sh.Members[k].Machine, now)
			p.shardOf[mc.Index] = n
		}
	}
	return p
}

// setImage makes an image the one whose weights the pool holds.
func (p *warmPool) setImage(name string, gb float64) {
	if p.record.Image != name {
		p.record.ImageVersion++
	}
	p.record.Image, p.record.WeightsGB = name, gb
}

func (p *warmPool) settle(now time.Time) {
	for i, s := range p.shards {
		if len(s.Members) > 0 {
			s.Settle(now.UnixMilli(), p.Payer)
			p.changed[i] = true
		}
	}
}

// member is a machine's entry in its pool; it is good until the pool changes.
func (p *warmPool) member(mc *Machine) *warmpool.Member {
	n, ok := p.shardOf[mc.Index]
	if !ok {
		return nil
	}
	return p.shards[n].Member(mc.Name)
}

func (m *Model) poolOf(mc *Machine) *warmPool {
	if mc.pool == 0 || mc.pool > len(m.pools.all) {
		return nil
	}
	return m.pools.all[mc.pool-1]
}

// joinPool takes a machine in. One that is just up and has never had work was rented
// for this: its boot is paid for as well. What was headroom before was nobody's.
func (m *Model) joinPool(i int, mc *Machine, now time.Time) {
	p := m.pools.all[i]
	n := slices.IndexFunc(p.shards, func(s *warmpool.Shard) bool { return len(s.Members) < warmpool.ShardSize })
	if n < 0 || mc.pool != 0 {
		return
	}
	since := now
	if mc.creationKnown && !mc.hasHadTask && mc.createdAt.Before(now) && now.Sub(mc.idleSince) < recentlyStarted {
		since = mc.createdAt
	}
	p.shards[n].Join(warmpool.Member{Machine: mc.Name, Zone: m.Zones[mc.Zone], SinceMs: since.UnixMilli(), HourlyRate: m.hourlyRate(mc)})
	p.shardOf[mc.Index], p.changed[n], mc.pool = n, true, i+1
	m.log.Info("pool takes machine", "pool", p.Name, "machine", mc.Name, "warm", mc.hasImage(m.images.intern(p.record.Image, p.record.WeightsGB)), "paidSince", since)
}

// leavePool ends a machine's time in its pool.
func (m *Model) leavePool(p *warmPool, mc *Machine, now time.Time) {
	n := p.shardOf[mc.Index]
	p.shards[n].Leave(mc.Name, now.UnixMilli(), p.Payer)
	p.changed[n] = true
	delete(p.shardOf, mc.Index)
	delete(p.fetchRequestedAt, mc.Index)
	mc.pool = 0
	m.log.Info("machine leaves pool", "pool", p.Name, "machine", mc.Name, "gone", mc.Gone)
}

// hourlyRate is what a machine costs an hour now, in millionths.
func (m *Model) hourlyRate(mc *Machine) int64 {
	if mc.Type < 0 {
		return 0
	}
	if mc.Spot {
		return warmpool.ToMicros(m.MachineTypes[mc.Type].SpotPrice)
	}
	return warmpool.ToMicros(m.MachineTypes[mc.Type].Price)
}

// savePool keeps what has changed of a pool, and its accounts now and then.
func (m *Model) savePool(p *warmPool, now time.Time) {
	ms := now.UnixMilli()
	for n, s := range p.shards {
		if len(s.Members) > 0 && ms-s.AtMs > accountInterval.Milliseconds() {
			p.changed[n] = true
		}
		if p.changed[n] {
			s.Settle(ms, p.Payer)
			p.changed[n] = false
			m.savePlanRecord(warmpool.ShardName(p.Name, n), s.Clone())
		}
	}
	last := p.savedRecord
	last.AtMs = p.record.AtMs
	if last != p.record || ms-p.record.AtMs > 5*accountInterval.Milliseconds() {
		p.record.AtMs = ms
		p.savedRecord = p.record
		m.savePlanRecord(warmpool.RecordName(p.Name), p.record)
	}
}

func sortedKeys(of map[int32]int) []int32 {
	out := make([]int32, 0, len(of))
	for k := range of {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
