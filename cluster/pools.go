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

// pool is a pool of the plan, with what is known of it.
type pool struct {
	warmpool.Pool
	note    warmpool.Record
	week    warmpool.WeeklyDemand
	shards  []*warmpool.Shard
	changed []bool          // shards to be recorded
	of      map[int32]int   // the shard of each machine
	rent    map[string]int  // wanted, by zone, until the next step
	noted   warmpool.Record // as last recorded
	fills   []int32         // machines that are to fetch the weights
	asked   map[int32]time.Time
	off     time.Time // no fetches before: workers refuse them
	offFor  time.Duration
}

const (
	poolsEvery  = 2 * time.Second  // a step
	poolsQuiet  = 25 * time.Second // after takeover: machines have not been heard of
	idleToJoin  = 4 * time.Second  // a machine just up may be for work that waits
	settleEvery = time.Minute      // an account is recorded that often if nothing else happens
	fetchAsked  = 20 * time.Second // until a fetch is asked for again
	justUp      = time.Minute      // what has been idle for longer was not rented for a pool
	unheardFor  = time.Minute      // a recorded machine that nobody has heard of is gone
	rentPerStep = 50
	otherZone   = 1e6 // added to the price of a machine in another zone than wanted
	unfitFor    = 10 * time.Minute
	stuckFetch  = 3    // times what a fetch should take, and a minute: nothing is to come of it
	fetchCPUs   = 0.01 // what a fetch books
)

// poolsChanged takes the plan's pools in. It may be called before any job or
// machine is known.
func (m *Model) poolsChanged(now time.Time) {
	if m.plan.Unreadable {
		return // what was known holds
	}
	var settings []warmpool.Pool
	if m.plan.Plan != nil {
		settings = m.plan.Pools
	}
	old := m.pools
	m.pools = nil
	for _, s := range settings {
		var p *pool
		if i := slices.IndexFunc(old, func(p *pool) bool { return p.Name == s.Name }); i >= 0 {
			p = old[i]
			old = slices.Delete(old, i, i+1)
			if p.Payer != s.Payer {
				// What was so far is charged to who paid then.
				p.settle(now)
			}
			p.Pool = s
		} else {
			p = m.loadPool(s, now)
			if was := p.note.Payer; was != "" && was != s.Payer {
				p.Payer = was
				p.settle(now)
				p.Payer = s.Payer
			}
		}
		p.note.Payer = s.Payer
		if !p.Serves(p.note.Image) {
			p.image(s.Model, s.WeightsGB)
		}
		m.pools = append(m.pools, p)
	}
	for _, p := range old {
		p.settle(now)
		for idx := range p.of {
			m.leavePool(p, m.Machines[idx], now)
		}
		p.note.Target, p.note.Held, p.note.Warm, p.note.Fetching = 0, 0, 0, 0
		m.recordPool(p, now)
	}
	for i, p := range m.pools {
		for idx := range p.of {
			m.Machines[idx].pool = i + 1
		}
	}
	m.poolsAt = time.Time{}
}

// loadPool makes a pool from what earlier leaders recorded.
func (m *Model) loadPool(s warmpool.Pool, now time.Time) *pool {
	p := &pool{Pool: s, of: map[int32]int{}, asked: map[int32]time.Time{}}
	p.note = warmpool.Record{ReplicasPerMachine: 1, Priority: priorities[wire.PriorityNormal], Image: s.Model, WeightsGB: s.WeightsGB, ImageVersion: 1}
	read := func(name string, to any) bool {
		raw, ok := m.kept(name)
		if !ok {
			return false
		}
		if err := wire.Unmarshal(raw, to); err != nil {
			m.log.Error("a record of a pool can't be read", "name", name, "err", err)
			return false
		}
		return true
	}
	note := p.note
	if read(warmpool.RecordName(s.Name), &note) {
		p.note = note
		p.week.Resume(note.CurrentHour, note.CurrentPeak)
	}
	for d := range 7 {
		var day []string
		if read(warmpool.DayName(s.Name, d), &day) {
			if err := p.week.LoadDay(d, day); err != nil {
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
			p.of[mc.Index] = n
		}
	}
	return p
}

// image makes an image the one whose weights the pool holds.
func (p *pool) image(name string, gb float64) {
	if p.note.Image != name {
		p.note.ImageVersion++
	}
	p.note.Image, p.note.WeightsGB = name, gb
}

func (p *pool) settle(now time.Time) {
	for i, s := range p.shards {
		if len(s.Members) > 0 {
			s.Settle(now.UnixMilli(), p.Payer)
			p.changed[i] = true
		}
	}
}

// member is a machine's entry in its pool; it is good until the pool changes.
func (p *pool) member(mc *Machine) *warmpool.Member {
	n, ok := p.of[mc.Index]
	if !ok {
		return nil
	}
	return p.shards[n].Member(mc.Name)
}

func (m *Model) poolOf(mc *Machine) *pool {
	if mc.pool == 0 || mc.pool > len(m.pools) {
		return nil
	}
	return m.pools[mc.pool-1]
}

// joinPool takes a machine in. One that is just up and has never had work was rented
// for this: its boot is paid for as well. What was headroom before was nobody's.
func (m *Model) joinPool(i int, mc *Machine, now time.Time) {
	p := m.pools[i]
	n := slices.IndexFunc(p.shards, func(s *warmpool.Shard) bool { return len(s.Members) < warmpool.ShardSize })
	if n < 0 || mc.pool != 0 {
		return
	}
	since := now
	if mc.CreationKnown && !mc.worked && mc.Created.Before(now) && now.Sub(mc.IdleSince) < justUp {
		since = mc.Created
	}
	p.shards[n].Join(warmpool.Member{Machine: mc.Name, Zone: m.Zones[mc.Zone], SinceMs: since.UnixMilli(), HourlyRate: m.rate(mc)})
	p.of[mc.Index], p.changed[n], mc.pool = n, true, i+1
	m.log.Info("pool takes machine", "pool", p.Name, "machine", mc.Name, "warm", mc.has(m.internImage(p.note.Image, p.note.WeightsGB)), "paidSince", since)
}

// leavePool ends a machine's time in its pool.
func (m *Model) leavePool(p *pool, mc *Machine, now time.Time) {
	n := p.of[mc.Index]
	p.shards[n].Leave(mc.Name, now.UnixMilli(), p.Payer)
	p.changed[n] = true
	delete(p.of, mc.Index)
	delete(p.asked, mc.Index)
	mc.pool = 0
	m.log.Info("machine leaves pool", "pool", p.Name, "machine", mc.Name, "gone", mc.Gone)
}

// rate is what a machine costs an hour now, in millionths.
func (m *Model) rate(mc *Machine) int64 {
	if mc.Type < 0 {
		return 0
	}
	if mc.Spot {
		return warmpool.ToMicros(m.MachineTypes[mc.Type].SpotPrice)
	}
	return warmpool.ToMicros(m.MachineTypes[mc.Type].Price)
}

// recordPool keeps what has changed of a pool, and its accounts now and then.
func (m *Model) recordPool(p *pool, now time.Time) {
	ms := now.UnixMilli()
	for n, s := range p.shards {
		if len(s.Members) > 0 && ms-s.AtMs > settleEvery.Milliseconds() {
			p.changed[n] = true
		}
		if p.changed[n] {
			s.Settle(ms, p.Payer)
			p.changed[n] = false
			m.keep(warmpool.ShardName(p.Name, n), s.Clone())
		}
	}
	last := p.noted
	last.AtMs = p.note.AtMs
	if last != p.note || ms-p.note.AtMs > 5*settleEvery.Milliseconds() {
		p.note.AtMs = ms
		p.noted = p.note
		m.keep(warmpool.RecordName(p.Name), p.note)
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
