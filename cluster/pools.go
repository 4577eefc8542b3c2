package cluster

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/pools"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is what the leader does about warm pools; package pools decides. What
// is recorded goes through keep, so that the next leader goes on where this one
// was. Without a plan that has pools, nothing here does anything.

// pool is a pool of the plan, with what is known of it.
type pool struct {
	pools.Pool
	note    pools.Note
	week    pools.Week
	shards  []*pools.Shard
	changed []bool         // shards to be recorded
	of      map[int32]int  // the shard of each machine
	rent    map[string]int // wanted, by zone, until the next step
	noted   pools.Note     // as last recorded
	fills   []int32        // machines that are to fetch the weights
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
	if m.plan.Lost {
		return // what was known holds
	}
	var settings []pools.Pool
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
			p.image(s.Model, s.GB)
		}
		m.pools = append(m.pools, p)
	}
	for _, p := range old {
		p.settle(now)
		for idx := range p.of {
			m.leavePool(p, m.Machines[idx], now)
		}
		p.note.Aim, p.note.Held, p.note.Warm, p.note.Filling = 0, 0, 0, 0
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
func (m *Model) loadPool(s pools.Pool, now time.Time) *pool {
	p := &pool{Pool: s, of: map[int32]int{}, asked: map[int32]time.Time{}}
	p.note = pools.Note{Per: 1, Rank: priorities[wire.PriorityNormal], Image: s.Model, GB: s.GB, Number: 1}
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
	if read(pools.NoteName(s.Name), &note) {
		p.note = note
		p.week.Resume(note.Hour, note.Peak)
	}
	for d := range 7 {
		var day []string
		if read(pools.DayName(s.Name, d), &day) {
			if err := p.week.LoadDay(d, day); err != nil {
				m.log.Error("a record of a pool can't be read", "pool", s.Name, "err", err)
			}
		}
	}
	for n := range pools.MaxShards {
		var sh pools.Shard
		if !read(pools.ShardName(s.Name, n), &sh) {
			// What can't be read, or is not there, begins anew.
			sh = pools.Shard{AtMs: now.UnixMilli()}
		}
		p.shards, p.changed = append(p.shards, &sh), append(p.changed, false)
		for k := range sh.Members {
			mc := m.machine(sh.Members[k].Machine, now)
			p.of[mc.Idx] = n
		}
	}
	return p
}

// image makes an image the one whose weights the pool holds.
func (p *pool) image(name string, gb float64) {
	if p.note.Image != name {
		p.note.Number++
	}
	p.note.Image, p.note.GB = name, gb
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
func (p *pool) member(mc *Machine) *pools.Member {
	n, ok := p.of[mc.Idx]
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

// joinPool takes a machine in. One that has never had work was rented for this:
// its boot is paid for as well.
func (m *Model) joinPool(i int, mc *Machine, now time.Time) {
	p := m.pools[i]
	n := slices.IndexFunc(p.shards, func(s *pools.Shard) bool { return len(s.Members) < pools.ShardSize })
	if n < 0 || mc.pool != 0 {
		return
	}
	since := now
	if mc.Ordered && !mc.worked && mc.Created.Before(now) {
		since = mc.Created
	}
	p.shards[n].Join(pools.Member{Machine: mc.Name, Zone: m.Zones[mc.Zone], SinceMs: since.UnixMilli(), Rate: m.rate(mc)})
	p.of[mc.Idx], p.changed[n], mc.pool = n, true, i+1
	m.log.Info("pool takes machine", "pool", p.Name, "machine", mc.Name, "warm", mc.has(m.image(p.note.Image, p.note.GB)), "paidSince", since)
}

// leavePool ends a machine's time in its pool.
func (m *Model) leavePool(p *pool, mc *Machine, now time.Time) {
	n := p.of[mc.Idx]
	p.shards[n].Leave(mc.Name, now.UnixMilli(), p.Payer)
	p.changed[n] = true
	delete(p.of, mc.Idx)
	delete(p.asked, mc.Idx)
	mc.pool = 0
	m.log.Info("machine leaves pool", "pool", p.Name, "machine", mc.Name, "gone", mc.Gone)
}

// rate is what a machine costs an hour now, in millionths.
func (m *Model) rate(mc *Machine) int64 {
	if mc.Type < 0 {
		return 0
	}
	if mc.Spot {
		return pools.Micro(m.Types[mc.Type].Spot)
	}
	return pools.Micro(m.Types[mc.Type].Price)
}

// stepPools lets the pools follow what has happened. It is called with each tick.
func (m *Model) stepPools(now time.Time) {
	if len(m.pools) == 0 || now.Before(m.poolsAt) || len(m.Types) == 0 {
		return
	}
	m.poolsAt = now.Add(poolsEvery)
	wanted := m.replicas()
	for i, p := range m.pools {
		m.followImage(p, wanted[i])
		for _, d := range p.week.Want(wanted[i].open, now) {
			m.keep(pools.DayName(p.Name, d), p.week.Day(d))
		}
		p.note.Hour, p.note.Peak = p.week.Now()
		m.bookPool(p, now)
		p.rent, p.fills = nil, nil
		if now.Sub(m.Takeover) > poolsQuiet && !m.settling(now) && !m.plan.Lost {
			m.steer(i, p, now)
		}
		m.recordPool(p, now)
	}
}

// demand is what waits for and runs a pool's model.
type demand struct {
	open   int // replicas, placed or waiting
	rank   int
	class  string
	per    int
	images map[string]int // replicas by image
	gb     map[string]float64
	newest map[string]time.Time
}

// replicas counts each pool's model's replicas.
func (m *Model) replicas() []demand {
	out := make([]demand, len(m.pools))
	for _, idx := range m.live {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.record.atFault() || m.fetches(j) {
			continue
		}
		for i, p := range m.pools {
			if !p.Serves(j.Spec.Image) || !p.Lends(j.Spec.Team) {
				continue
			}
			d, n := &out[i], len(j.Tasks)-j.Done
			if d.images == nil {
				*d = demand{rank: j.Priority, class: j.Spec.Class, images: map[string]int{}, gb: map[string]float64{}, newest: map[string]time.Time{}}
			}
			d.open += n
			d.rank = min(d.rank, j.Priority)
			d.images[j.Spec.Image] += n
			d.gb[j.Spec.Image] = j.Spec.ImageGB
			if j.At.After(d.newest[j.Spec.Image]) {
				d.newest[j.Spec.Image] = j.At
			}
			if per := m.perMachine(p, j.Need); per > 0 && (d.per == 0 || per < d.per) {
				d.per = per
			}
		}
	}
	return out
}

// perMachine is how many replicas the smallest machine of a pool takes.
func (m *Model) perMachine(p *pool, need placement.Res) int {
	least := 0
	for i := range m.Types {
		t := &m.Types[i]
		if !slices.Contains(p.Types, t.Name) || !need.Fits(t.Cap) {
			continue
		}
		n := math.MaxInt32
		for _, r := range [][2]float64{{need.CPU, t.Cap.CPU}, {need.GPU, t.Cap.GPU}, {need.Mem, t.Cap.Mem}} {
			if r[0] > 0 {
				n = min(n, int(r[1]/r[0]+1e-6))
			}
		}
		if least == 0 || n < least {
			least = n
		}
	}
	return least
}

// followImage lets a pool hold the version of its model that most replicas want,
// of two that are wanted alike the newer one.
func (m *Model) followImage(p *pool, d demand) {
	if d.open == 0 {
		return
	}
	p.note.Rank, p.note.Per, p.note.Class = d.rank, max(d.per, 1), d.class
	best := p.note.Image
	for im, n := range d.images {
		if n > d.images[best] || n == d.images[best] && d.newest[im].After(d.newest[best]) {
			best = im
		}
	}
	if best != p.note.Image || d.gb[best] != p.note.GB {
		m.log.Info("pool's model has another version", "pool", p.Name, "was", p.note.Image, "is", best)
		p.image(best, d.gb[best])
	}
}

// bookPool brings a pool's members up to date: those that are gone, what is booked
// on the others and by whom, and which have the weights.
func (m *Model) bookPool(p *pool, now time.Time) {
	im, ms := m.image(p.note.Image, p.note.GB), now.UnixMilli()
	for _, idx := range sortedKeys(p.of) {
		mc := m.Machines[idx]
		n := p.of[idx]
		e := p.shards[n].Member(mc.Name)
		_, boots := m.booting(mc, now)
		unheard := !mc.Up && !boots && mc.Session == 0 && now.Sub(m.Takeover) > unheardFor && now.Sub(mc.ListedAt) > unheardFor
		if mc.Gone || unheard || e.Leaving && len(mc.Tasks) > 0 {
			m.leavePool(p, mc, now)
			continue
		}
		if e.Warm == p.note.Number && e.Session == mc.Session && mc.Session > 0 && mc.learnt < mc.Session && !mc.has(im) {
			m.addImage(mc, im) // an earlier leader saw it there
		}
		mc.learnt = mc.Session
		if m.ready(mc, now) {
			mc.unready = time.Time{}
		} else if mc.unready.IsZero() {
			mc.unready = now
		}
		warm := 0
		if mc.has(im) {
			warm = p.note.Number
		}
		if mc.Session > 0 && (e.Warm != warm || e.Session != mc.Session) {
			e.Warm, e.Session = warm, mc.Session
			p.changed[n] = true
		}
		if mc.Type < 0 || mc.Zone < 0 {
			continue // what it costs and who books it is as recorded
		}
		if p.shards[n].Book(e, m.parts(mc), m.rate(mc), ms, p.Payer) {
			p.changed[n] = true
		}
	}
}

// parts is who books how much of a machine.
func (m *Model) parts(mc *Machine) []pools.Part {
	if len(mc.Tasks) == 0 {
		return nil
	}
	used := make([]placement.Res, len(m.teams))
	for ref := range mc.Tasks {
		if j := m.Jobs[ref.Job]; j.Team >= 0 && !m.fetches(j) {
			used[j.Team] = used[j.Team].Add(j.Need, 1)
		}
	}
	c := m.Types[mc.Type].Cap
	var out []pools.Part
	for t, u := range used {
		share := 0.0
		for _, r := range [][2]float64{{u.CPU, c.CPU}, {u.GPU, c.GPU}, {u.Mem, c.Mem}} {
			if r[1] > 0 {
				share = max(share, r[0]/r[1])
			}
		}
		if s := int(math.Round(min(share, 1) * 1000)); s > 0 {
			out = append(out, pools.Part{Team: m.cfg.Cluster.Teams[t].Name, Share: s})
		}
	}
	return out
}

// seenBy is a machine as its pool, or one that may take it, sees it.
func (m *Model) seenBy(p *pool, mc *Machine, im int32, now time.Time) pools.Seen {
	s := pools.Seen{Machine: mc.Name, Zone: m.Zones[mc.Zone], Warm: mc.has(im), Used: len(mc.Tasks) > 0 || mc.orphans != (placement.Res{})}
	// A machine that has been silent for a moment is not replaced yet: reports of
	// a whole fleet pause when a leader does.
	s.Ready = mc.Up && !mc.Gone && !mc.Returning && mc.Notice.IsZero() &&
		(mc.unready.IsZero() || now.Sub(mc.unready) < config.Seconds(m.cfg.Cluster.Workers.LeaseS))
	_, s.Booting = m.booting(mc, now)
	s.Serving = len(mc.Tasks) > 0
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		place := j.Tasks[ref.Task].Place
		if j.Image == im && place.Seen < seenWaiting {
			s.Filling = true
		}
		s.Serving = s.Serving && j.Image == im && p.Lends(j.Spec.Team)
	}
	return s
}

// stuck says whether a machine has been fetching the weights for much longer than
// that takes: it does not hear, or its fetches fail.
func (m *Model) stuck(mc *Machine, im int32, gb float64, now time.Time) bool {
	if mc.has(im) || m.Types[mc.Type].Fetch <= 0 {
		return false
	}
	limit := config.Seconds(stuckFetch*gb/m.Types[mc.Type].Fetch) + time.Minute
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Place; j.Image == im && p.Seen < seenWaiting && now.Sub(p.At) > limit {
			return true
		}
	}
	return false
}

// freeFor lists the machines that a pool may take.
func (m *Model) freeFor(p *pool, im int32, types, zones []bool, now time.Time) (free []pools.Seen) {
	for _, mc := range m.Machines {
		if mc.Gone || mc.Type < 0 || mc.Zone < 0 {
			continue
		}
		if mc.pool != 0 || mc.Returning || !types[mc.Type] || !zones[mc.Zone] || mc.Spot && !p.Spot || now.Before(mc.unfit) {
			continue
		}
		s := m.seenBy(p, mc, im, now)
		if !s.Used && now.Sub(mc.IdleSince) < idleToJoin || s.Ready && !m.ready(mc, now) {
			s.Ready, s.Booting = false, true // soon, perhaps
		}
		free = append(free, s)
	}
	return free
}

// steer takes machines in and lets others go, and says which fetch the weights.
func (m *Model) steer(i int, p *pool, now time.Time) {
	im := m.image(p.note.Image, p.note.GB)
	types := make([]bool, len(m.Types))
	price, boot, fetch := 0.0, time.Duration(0), math.Inf(1)
	for k := range m.Types {
		t := &m.Types[k]
		if !slices.Contains(p.Types, t.Name) {
			continue
		}
		types[k] = true
		c := t.Price
		if p.Spot {
			c = min(c, t.Spot)
		}
		price, boot, fetch = max(price, c), max(boot, t.Boot), min(fetch, t.Fetch)
	}
	if !slices.Contains(types, true) {
		return // none of them is in the catalogue
	}
	zones := make([]bool, len(m.Zones))
	for z, name := range m.Zones {
		zones[z] = slices.Contains(p.Zones, name)
	}
	lead := p.Lead(p.Coming(&p.week, now, p.note.Per), boot, fetch)
	p.note.Aim = p.Aim(&p.week, now, lead, p.note.Per, price)
	p.note.Limited = p.note.Aim == p.Affords(price) && p.note.Aim < p.Most
	waiting := m.fetchesWaiting(p, now)
	var own, free []pools.Seen
	for _, mc := range m.Machines {
		if mc.Gone || mc.Type < 0 || mc.Zone < 0 {
			continue
		}
		if e := p.member(mc); e != nil {
			if m.stuck(mc, im, p.note.GB, now) {
				m.log.Warn("a machine does not come by its weights", "pool", p.Name, "machine", mc.Name)
				m.leavePool(p, mc, now)
				mc.unfit = now.Add(unfitFor)
				continue
			}
			s := m.seenBy(p, mc, im, now)
			s.Leaving = e.Leaving
			s.Filling = !s.Warm && (s.Filling || waiting[mc.Name] || now.Sub(p.asked[mc.Idx]) < fetchAsked)
			own = append(own, s)
		}
	}
	if pools.Held(own) < p.note.Aim {
		free = m.freeFor(p, im, types, zones, now)
	}
	c := p.Choose(own, free, p.note.Aim, p.Affords(price))
	for _, name := range c.Join {
		m.joinPool(i, m.Machines[m.machineIdx[name]], now)
	}
	for _, name := range c.Stay {
		m.setLeaving(p, name, false)
	}
	for _, name := range c.Release {
		m.setLeaving(p, name, true)
	}
	for _, name := range c.Drop {
		m.leavePool(p, m.Machines[m.machineIdx[name]], now)
	}
	p.rent = c.Rent
	p.note.Held, p.note.Warm, p.note.Filling = 0, 0, 0
	for k := range own {
		if e := p.member(m.Machines[m.machineIdx[own[k].Machine]]); e == nil || e.Leaving {
			continue
		}
		p.note.Held++
		if own[k].Warm {
			p.note.Warm++
		} else if own[k].Filling {
			p.note.Filling++
		}
	}
	p.note.Held += len(c.Join)
	if now.Before(p.off) {
		return
	}
	p.note.Refused = ""
	for _, name := range p.Fill(own) {
		idx := m.machineIdx[name]
		if e := p.member(m.Machines[idx]); e != nil && !e.Leaving {
			p.fills = append(p.fills, idx)
		}
	}
}

func (m *Model) setLeaving(p *pool, name string, leaving bool) {
	mc := m.Machines[m.machineIdx[name]]
	if e := p.member(mc); e != nil {
		e.Leaving = leaving
		p.changed[p.of[mc.Idx]] = true
		m.log.Info("pool lets machine go", "pool", p.Name, "machine", name, "leaving", leaving)
	}
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
			m.keep(pools.ShardName(p.Name, n), s.Copy())
		}
	}
	last := p.noted
	last.AtMs = p.note.AtMs
	if last != p.note || ms-p.note.AtMs > 5*settleEvery.Milliseconds() {
		p.note.AtMs = ms
		p.noted = p.note
		m.keep(pools.NoteName(p.Name), p.note)
	}
}

// keptByPool says whether a machine is not to be returned though it is idle, and
// letGo whether it is to be returned at once: no longer wanted, as is recorded.
func (m *Model) keptByPool(mc *Machine) bool { return m.plan.Lost || m.poolOf(mc) != nil }

func (m *Model) letGo(mc *Machine) bool {
	p := m.poolOf(mc)
	if p == nil {
		return false
	}
	e := p.member(mc)
	return e != nil && e.Leaving && !m.keeping(pools.ShardName(p.Name, p.of[mc.Idx]))
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
	im := m.image(p.note.Image, p.note.GB)
	v.PoolGB = m.Types[mc.Type].Cache - p.note.GB
	for k := len(mc.images) - 1; k >= 0 && mc.images[k] != im; k-- {
		v.PoolGB -= m.imageSize[mc.images[k]]
	}
	for _, on := range v.Images {
		if on.In > 0 && on.Image != im {
			v.PoolGB -= m.imageSize[on.Image]
		}
	}
}

// poolUses says what a job may do with each pool's machines; nil where there are
// no pools.
func (m *Model) poolUses(j *Job) []placement.Use {
	if len(m.pools) == 0 {
		return nil
	}
	out := make([]placement.Use, len(m.pools))
	w := pools.Work{Image: j.Spec.Image, Team: j.Spec.Team, Rank: j.Priority, Gang: j.Gang() && len(j.Tasks) > 1,
		Tier: j.tier, SavesS: j.Spec.SaveS, CanSave: j.Spec.CheckpointS > 0}
	for i, p := range m.pools {
		if m.fetches(j) {
			if j.res.Owner == fetchOwner(p.Name) {
				out[i] = placement.Own
			}
			continue
		}
		w.ModelOf, w.ModelIn = p.note.Rank, m.tiers.order.Tier(p.Payer, p.note.Class)
		out[i] = p.May(&w)
	}
	return out
}

// poolPlaced counts what a placement says of the pools: whether a replica found
// its weights, and whether work of a higher tier took a pool's room.
func (m *Model) poolPlaced(j *Job, task int32, mc *Machine) {
	if len(m.pools) == 0 || m.fetches(j) {
		return
	}
	on := m.poolOf(mc)
	for i, p := range m.pools {
		if !p.Serves(j.Spec.Image) || !p.Lends(j.Spec.Team) {
			if p == on && m.poolUses(j)[i] == placement.Last {
				n := p.of[mc.Idx]
				p.shards[n].Ceded++
				p.shards[n].Why = fmt.Sprintf("%s/%d of %s, tier %q, %s, took room on %s", j.ID, task, j.Spec.Team, m.tiers.order.Name(j.tier), j.Spec.Priority, mc.Name)
				p.changed[n] = true
				m.log.Info("pool cedes room", "pool", p.Name, "machine", mc.Name, "job", j.ID, "task", task, "team", j.Spec.Team, "priority", j.Spec.Priority)
			}
			continue
		}
		n := p.of[mc.Idx] // 0 for machines of no pool
		if mc.has(j.Image) {
			p.shards[n].Hits++
		} else {
			p.shards[n].Misses++
		}
		p.changed[n] = true
	}
}

// poolRent adds to what a pass wants rented what the pools want.
func (m *Model) poolRent(want map[Offer]int, offers []Offer, most int) {
	for _, n := range want {
		most -= n
	}
	for _, p := range m.pools {
		for z, name := range m.Zones {
			n := min(p.rent[name], most, rentPerStep)
			if n <= 0 {
				continue
			}
			best, least := -1, 0.0
			for k, o := range offers {
				if o.Spot && !p.Spot || !slices.Contains(p.Types, o.Type) || !slices.Contains(p.Zones, o.Zone) {
					continue
				}
				c := m.Types[o.key.typ].Price
				if o.Spot {
					c = m.Types[o.key.typ].Spot
				}
				if o.key.zone != z {
					c += otherZone // where this one has refused lately
				}
				if best < 0 || c < least {
					best, least = k, c
				}
			}
			if best >= 0 {
				want[offers[best]] += n
				most -= n
			}
		}
	}
}

// PoolSummary is a pool in numbers.
type PoolSummary struct {
	Name    string
	Aim     int // machines
	Held    int
	Warm    int // of those
	Filling int
	Hits    int64 // replicas that were placed where their weights were
	Misses  int64
	Ceded   int64 // tasks of higher tiers that took room
	Limited bool  // by what it may cost
	Refused string
	Teams   map[string]pools.Charge // what each owes, as recorded last
}

func (m *Model) poolSummaries() []PoolSummary {
	var out []PoolSummary
	for _, p := range m.pools {
		s := PoolSummary{Name: p.Name, Aim: p.note.Aim, Held: p.note.Held, Warm: p.note.Warm, Filling: p.note.Filling,
			Limited: p.note.Limited, Refused: p.note.Refused}
		var shards []pools.Shard
		for _, sh := range p.shards {
			s.Hits, s.Misses, s.Ceded = s.Hits+sh.Hits, s.Misses+sh.Misses, s.Ceded+sh.Ceded
			shards = append(shards, *sh)
		}
		s.Teams, _ = pools.Totals(shards)
		out = append(out, s)
	}
	return out
}

// fetchOwner marks the jobs that fetch a pool's weights.
func fetchOwner(pool string) string { return fetchOwners + pool }

const fetchOwners = ledger.Notes + "pools/"

// fetches says whether a job is one that fetches weights.
func (m *Model) fetches(j *Job) bool {
	return j.res != nil && strings.HasPrefix(j.res.Owner, fetchOwners)
}

// fetchesWaiting lists the machines that a pool's fetches are for, and ends those
// that are for nothing any more.
func (m *Model) fetchesWaiting(p *pool, now time.Time) map[string]bool {
	out := map[string]bool{}
	owner, im := fetchOwner(p.Name), m.image(p.note.Image, p.note.GB)
	for _, idx := range m.live {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.Done > 0 || j.res == nil || j.res.Owner != owner || len(j.res.Only) == 0 {
			continue
		}
		i, known := m.machineIdx[j.res.Only[0]]
		var e *pools.Member
		if known && !m.Machines[i].Gone {
			e = p.member(m.Machines[i])
		}
		vain := e == nil || e.Leaving || j.Image != im
		switch t := &j.Tasks[0]; {
		case t.Phase == Idle && (vain || m.Machines[i].has(im)):
			m.spend(j, 0, ledger.EndReleased, now)
			continue
		case vain && t.Place != nil && t.Place.Stop == nil:
			m.stop(j, 0, 0, whyReleased, now)
			continue
		}
		out[j.res.Only[0]] = true
	}
	return out
}

// Fetch is a job to be recorded: a task that does nothing on a machine of a pool,
// for which the worker fetches the weights.
type Fetch struct {
	ID     string
	Record ledger.JobRecord
}

// Fetches lists the fetches that are to begin, at most n of them.
func (m *Model) Fetches(n int, now time.Time) []Fetch {
	var out []Fetch
	for _, p := range m.pools {
		for len(p.fills) > 0 && len(out) < n {
			mc := m.Machines[p.fills[0]]
			p.fills = p.fills[1:]
			if m.poolOf(mc) != p {
				continue
			}
			p.asked[mc.Idx] = now
			m.fetchNo++
			id := fetchID(m.Token, m.fetchNo)
			out = append(out, Fetch{ID: id, Record: ledger.JobRecord{
				Job: wire.Job{ID: id, Class: "weights", Team: p.Payer, Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1,
					CPUs: fetchCPUs, Image: p.note.Image, ImageGB: p.note.GB, Spot: true},
				AtMs:    now.UnixMilli(),
				Reserve: &ledger.Reserve{Owner: fetchOwner(p.Name), Go: []int{0, 0}, Only: []string{mc.Name}},
			}})
		}
	}
	return out
}

// fetchID is an id that no user and no other door has, and none of another leader.
func fetchID(token uint64, n int) string {
	return fmt.Sprintf("%s9%011d%08d", wire.JobPrefix, token%1e11, n%1e8)
}

// fetchEnded takes in that a fetch has ended without having run: where workers
// know no such job, weights are not fetched ahead for a while.
func (m *Model) fetchEnded(j *Job, how uint8, now time.Time) {
	if how != ledger.EndRefused && how != ledger.EndError || !m.fetches(j) {
		return
	}
	for _, p := range m.pools {
		if j.res.Owner == fetchOwner(p.Name) && !now.Before(p.off) {
			p.offFor = min(max(time.Minute, 2*p.offFor), 32*time.Minute)
			p.off = now.Add(p.offFor)
			p.note.Refused = "workers refuse to run " + j.ID + ", which only fetches"
			m.log.Warn("workers refuse a pool's fetch", "pool", p.Name, "job", j.ID, "againInS", p.offFor.Seconds())
		}
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
