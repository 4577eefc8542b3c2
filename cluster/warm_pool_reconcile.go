package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// This file is a pool's step: what its model's replicas want, what its machines are
// booked for, and which join, leave and are rented.

// tickPools lets the pools follow what has happened. It is called with each tick.
func (m *Model) tickPools(now time.Time) {
	if len(m.pools.all) == 0 || now.Before(m.pools.nextTick) || len(m.MachineTypes) == 0 {
		return
	}
	m.pools.nextTick = now.Add(poolInterval)
	wanted := m.replicaDemands()
	for i, p := range m.pools.all {
		m.followModelVersion(p, wanted[i])
		for _, d := range p.demand.Observe(wanted[i].open, now) {
			m.savePlanRecord(warmpool.DayName(p.Name, d), p.demand.EncodeDay(d))
		}
		p.record.CurrentHour, p.record.CurrentPeak = p.demand.Current()
		m.updateMembers(p, now)
		p.scaleOut, p.fetchQueue = nil, nil
		if now.Sub(m.ElectedAt) > poolGracePeriod && !m.recoveringFromStall(now) && !m.plan.Unreadable {
			m.reconcilePool(i, p, now)
		}
		m.savePool(p, now)
	}
}

// replicaDemand is what waits for and runs a pool's model.
type replicaDemand struct {
	open               int // replicas, placed or waiting
	priority           int
	class              string
	replicasPerMachine int
	images             map[string]int // replicas by image
	gb                 map[string]float64
	newest             map[string]time.Time
}

// replicaDemands counts each pool's model's replicas.
func (m *Model) replicaDemands() []replicaDemand {
	out := make([]replicaDemand, len(m.pools.all))
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled || j.Finished || j.failures.atFault() || m.isPrefetch(j) {
			continue
		}
		for i, p := range m.pools.all {
			if !p.Serves(j.Spec.Image) || !p.AllowsTeam(j.Spec.Team) {
				continue
			}
			d, n := &out[i], len(j.Tasks)-j.DoneTasks
			if d.images == nil {
				*d = replicaDemand{priority: j.Priority, class: j.Spec.Class, images: map[string]int{}, gb: map[string]float64{}, newest: map[string]time.Time{}}
			}
			d.open += n
			d.priority = min(d.priority, j.Priority)
			d.images[j.Spec.Image] += n
			d.gb[j.Spec.Image] = j.Spec.ImageGB
			if j.AcceptedAt.After(d.newest[j.Spec.Image]) {
				d.newest[j.Spec.Image] = j.AcceptedAt
			}
			if per := m.replicasPerMachine(p, j.Need); per > 0 && (d.replicasPerMachine == 0 || per < d.replicasPerMachine) {
				d.replicasPerMachine = per
			}
		}
	}
	return out
}

// replicasPerMachine is how many replicas the smallest machine of a pool takes.
func (m *Model) replicasPerMachine(p *warmPool, need placement.Resources) int {
	least := 0
	for i := range m.MachineTypes {
		t := &m.MachineTypes[i]
		if !slices.Contains(p.Types, t.Name) || !need.Fits(t.Capacity) {
			continue
		}
		n := math.MaxInt32
		for _, r := range [][2]float64{{need.CPU, t.Capacity.CPU}, {need.GPU, t.Capacity.GPU}, {need.Mem, t.Capacity.Mem}} {
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

// followModelVersion lets a pool hold the version of its model that most replicas want,
// of two that are wanted alike the newer one.
func (m *Model) followModelVersion(p *warmPool, d replicaDemand) {
	if d.open == 0 {
		return
	}
	p.record.Priority, p.record.ReplicasPerMachine, p.record.Class = d.priority, max(d.replicasPerMachine, 1), d.class
	best := p.record.Image
	for im, n := range d.images {
		if n > d.images[best] || n == d.images[best] && d.newest[im].After(d.newest[best]) {
			best = im
		}
	}
	if best != p.record.Image || d.gb[best] != p.record.WeightsGB {
		m.log.Info("pool's model has another version", "pool", p.Name, "was", p.record.Image, "is", best)
		p.setImage(best, d.gb[best])
	}
}

// updateMembers brings a pool's members up to date: those that are gone, what is booked
// on the others and by whom, and which have the weights.
func (m *Model) updateMembers(p *warmPool, now time.Time) {
	im, ms := m.images.intern(p.record.Image, p.record.WeightsGB), now.UnixMilli()
	for _, idx := range sortedKeys(p.shardOf) {
		mc := m.Machines[idx]
		n := p.shardOf[idx]
		e := p.shards[n].Member(mc.Name)
		_, boots := m.bootTimeLeft(mc, now)
		unheard := !mc.alive && !boots && mc.AgentEpoch == 0 && now.Sub(m.ElectedAt) > lostMachineAfter && now.Sub(mc.cloudStateAt) > lostMachineAfter
		if mc.Gone || unheard || e.Leaving && len(mc.Tasks) > 0 {
			m.leavePool(p, mc, now)
			continue
		}
		if e.WarmVersion == p.record.ImageVersion && e.Session == mc.AgentEpoch && mc.AgentEpoch > 0 && mc.imagesRestoredEpoch < mc.AgentEpoch && !mc.hasImage(im) {
			m.recordImage(mc, im) // an earlier leader saw it there
		}
		mc.imagesRestoredEpoch = mc.AgentEpoch
		if m.Ready(mc, now) {
			mc.unreadySince = time.Time{}
		} else if mc.unreadySince.IsZero() {
			mc.unreadySince = now
		}
		warm := 0
		if mc.hasImage(im) {
			warm = p.record.ImageVersion
		}
		if mc.AgentEpoch > 0 && (e.WarmVersion != warm || e.Session != mc.AgentEpoch) {
			e.WarmVersion, e.Session = warm, mc.AgentEpoch
			p.changed[n] = true
		}
		if mc.Type < 0 || mc.Zone < 0 {
			continue // what it costs and who books it is as recorded
		}
		if p.shards[n].SetShares(e, m.teamShares(mc), m.hourlyRate(mc), ms, p.Payer) {
			p.changed[n] = true
		}
	}
}

// teamShares is who books how much of a machine.
func (m *Model) teamShares(mc *Machine) []warmpool.TeamShare {
	if len(mc.Tasks) == 0 {
		return nil
	}
	used := make([]placement.Resources, len(m.teams))
	for ref := range mc.Tasks {
		if j := m.Jobs[ref.Job]; j.Team >= 0 && !m.isPrefetch(j) {
			used[j.Team] = used[j.Team].Add(j.Need, 1)
		}
	}
	c := m.MachineTypes[mc.Type].Capacity
	var out []warmpool.TeamShare
	for t, u := range used {
		share := 0.0
		for _, r := range [][2]float64{{u.CPU, c.CPU}, {u.GPU, c.GPU}, {u.Mem, c.Mem}} {
			if r[1] > 0 {
				share = max(share, r[0]/r[1])
			}
		}
		if s := int(math.Round(min(share, 1) * 1000)); s > 0 {
			out = append(out, warmpool.TeamShare{Team: m.settings.Cluster.Teams[t].Name, PerMille: s})
		}
	}
	return out
}

// observe is a machine as its pool, or one that may take it, sees it.
func (m *Model) observe(p *warmPool, mc *Machine, im int32, now time.Time) warmpool.Observation {
	s := warmpool.Observation{Machine: mc.Name, Zone: m.Zones[mc.Zone], Warm: mc.hasImage(im), Busy: len(mc.Tasks) > 0 || mc.orphaned != (placement.Resources{})}
	// A machine that has been silent for a short time is not replaced yet: heartbeats of
	// all machines are delayed when the leader is paused.
	s.Ready = mc.alive && !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() &&
		(mc.unreadySince.IsZero() || now.Sub(mc.unreadySince) < config.Seconds(m.settings.Cluster.Workers.LeaseS))
	_, s.Booting = m.bootTimeLeft(mc, now)
	s.Serving = len(mc.Tasks) > 0
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		place := j.Tasks[ref.Task].Placement
		if j.Image == im && place.ReportedState < reportedWaiting {
			s.Fetching = true
		}
		s.Serving = s.Serving && j.Image == im && p.AllowsTeam(j.Spec.Team)
	}
	return s
}

// fetchStuck says whether a machine has been fetching the weights for much longer than
// that takes: it does not receive answers, or its fetches fail.
func (m *Model) fetchStuck(mc *Machine, im int32, gb float64, now time.Time) bool {
	if mc.hasImage(im) || m.MachineTypes[mc.Type].FetchRate <= 0 {
		return false
	}
	limit := config.Seconds(stuckFetchFactor*gb/m.MachineTypes[mc.Type].FetchRate) + time.Minute
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Placement; j.Image == im && p.ReportedState < reportedWaiting && now.Sub(p.PlacedAt) > limit {
			return true
		}
	}
	return false
}

// joinCandidates lists the machines that a pool may take.
func (m *Model) joinCandidates(p *warmPool, im int32, types, zones []bool, now time.Time) (free []warmpool.Observation) {
	for _, mc := range m.Machines {
		if mc.Gone || mc.Type < 0 || mc.Zone < 0 {
			continue
		}
		if mc.pool != 0 || mc.scalingIn || !types[mc.Type] || !zones[mc.Zone] || mc.Spot && !p.Spot || now.Before(mc.unfitUntil) {
			continue
		}
		s := m.observe(p, mc, im, now)
		if !s.Busy && now.Sub(mc.idleSince) < minIdleToJoin || s.Ready && !m.Ready(mc, now) {
			s.Ready, s.Booting = false, true // soon, perhaps
		}
		free = append(free, s)
	}
	return free
}

// reconcilePool compares a pool with its target size: it takes machines in, lets others
// go, and says which fetch the weights.
func (m *Model) reconcilePool(i int, p *warmPool, now time.Time) {
	im := m.images.intern(p.record.Image, p.record.WeightsGB)
	terms, ok := m.poolTerms(p)
	if !ok {
		return // none of its types is in the catalogue
	}
	lead := p.LeadTime(p.PeakMachines(&p.demand, now, p.record.ReplicasPerMachine), terms.boot, terms.fetch)
	p.record.Target = p.TargetSize(&p.demand, now, lead, p.record.ReplicasPerMachine, terms.price)
	p.record.CostLimited = p.record.Target == p.Affordable(terms.price) && p.record.Target < p.MaxMachines
	own := m.observeMembers(p, im, now)
	var free []warmpool.Observation
	if warmpool.CountHeld(own) < p.record.Target {
		free = m.joinCandidates(p, im, terms.types, terms.zones, now)
	}
	plan := p.PlanScaling(own, free, p.record.Target, p.Affordable(terms.price))
	m.applyScalingPlan(i, p, &plan, now)
	m.countMembers(p, own, len(plan.Join))
	if now.Before(p.fetchesPausedUntil) {
		return
	}
	p.record.FetchRefused = ""
	for _, name := range p.NextFetches(own) {
		idx := m.names.machines[name]
		if e := p.member(m.Machines[idx]); e != nil && !e.Leaving {
			p.fetchQueue = append(p.fetchQueue, idx)
		}
	}
}

// poolTerms are what a pool's machine types cost and how fast they are, the worst of
// them, and where they may be.
type poolTerms struct {
	types, zones []bool
	price        float64       // an hour
	boot         time.Duration // until a machine is up
	fetch        float64       // GB a second
}

// poolTerms looks a pool's types up in the catalogue; false if there is none of them.
func (m *Model) poolTerms(p *warmPool) (poolTerms, bool) {
	terms := poolTerms{types: make([]bool, len(m.MachineTypes)), zones: make([]bool, len(m.Zones)), fetch: math.Inf(1)}
	for k := range m.MachineTypes {
		t := &m.MachineTypes[k]
		if !slices.Contains(p.Types, t.Name) {
			continue
		}
		terms.types[k] = true
		c := t.Price
		if p.Spot {
			c = min(c, t.SpotPrice)
		}
		terms.price, terms.boot, terms.fetch = max(terms.price, c), max(terms.boot, t.BootTime), min(terms.fetch, t.FetchRate)
	}
	for z, name := range m.Zones {
		terms.zones[z] = slices.Contains(p.Zones, name)
	}
	return terms, slices.Contains(terms.types, true)
}

// observeMembers is a pool's machines as they are now. One whose fetch comes to nothing
// leaves the pool.
func (m *Model) observeMembers(p *warmPool, im int32, now time.Time) []warmpool.Observation {
	waiting := m.pendingPrefetches(p, now)
	var own []warmpool.Observation
	for _, mc := range m.Machines {
		if mc.Gone || mc.Type < 0 || mc.Zone < 0 {
			continue
		}
		e := p.member(mc)
		if e == nil {
			continue
		}
		if m.fetchStuck(mc, im, p.record.WeightsGB, now) {
			m.log.Warn("a machine does not come by its weights", "pool", p.Name, "machine", mc.Name)
			m.leavePool(p, mc, now)
			mc.unfitUntil = now.Add(unfitCooldown)
			continue
		}
		s := m.observe(p, mc, im, now)
		s.Leaving = e.Leaving
		s.Fetching = !s.Warm && (s.Fetching || waiting[mc.Name] || now.Sub(p.fetchRequestedAt[mc.Index]) < fetchRetryInterval)
		own = append(own, s)
	}
	return own
}

// applyScalingPlan carries a scaling plan out; what is to be rented waits for the next
// scheduling pass.
func (m *Model) applyScalingPlan(i int, p *warmPool, plan *warmpool.ScalingPlan, now time.Time) {
	for _, name := range plan.Join {
		m.joinPool(i, m.machineNamed(name), now)
	}
	for _, name := range plan.Retain {
		m.setLeaving(p, name, false)
	}
	for _, name := range plan.Release {
		m.setLeaving(p, name, true)
	}
	for _, name := range plan.Evict {
		m.leavePool(p, m.machineNamed(name), now)
	}
	p.scaleOut = plan.ScaleOut
}

// countMembers records how many machines a pool holds, the ones that have just joined
// included, and how many of them are warm.
func (m *Model) countMembers(p *warmPool, own []warmpool.Observation, joined int) {
	p.record.Held, p.record.Warm, p.record.Fetching = 0, 0, 0
	for k := range own {
		if e := p.member(m.machineNamed(own[k].Machine)); e == nil || e.Leaving {
			continue
		}
		p.record.Held++
		if own[k].Warm {
			p.record.Warm++
		} else if own[k].Fetching {
			p.record.Fetching++
		}
	}
	p.record.Held += joined
}

func (m *Model) setLeaving(p *warmPool, name string, leaving bool) {
	mc := m.machineNamed(name)
	if e := p.member(mc); e != nil {
		e.Leaving = leaving
		p.changed[p.shardOf[mc.Index]] = true
		m.log.Info("pool lets machine go", "pool", p.Name, "machine", name, "leaving", leaving)
	}
}

// addPoolScaleOut adds to what a pass wants rented what the pools want.
func (m *Model) addPoolScaleOut(want map[Offer]int, offers []Offer, most int) {
	for _, n := range want {
		most -= n
	}
	for _, p := range m.pools.all {
		for z, name := range m.Zones {
			n := min(p.scaleOut[name], most, maxScaleOutPerTick)
			if n <= 0 {
				continue
			}
			best, least := -1, 0.0
			for k, o := range offers {
				if o.Spot && !p.Spot || !slices.Contains(p.Types, o.Type) || !slices.Contains(p.Zones, o.Zone) {
					continue
				}
				c := m.MachineTypes[o.key.machineType].Price
				if o.Spot {
					c = m.MachineTypes[o.key.machineType].SpotPrice
				}
				if o.key.zone != z {
					c += otherZonePenalty // where this one has refused lately
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
