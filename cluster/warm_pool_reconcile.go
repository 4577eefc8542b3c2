package cluster

import (
	"math"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/warmpool"
)

// tickPools updates the warm pools and reconciles them with their target sizes, once per
// poolInterval. Model.Tick calls it.
func (m *Model) tickPools(now time.Time) {
	if len(m.pools.all) == 0 || now.Before(m.pools.nextTick) || len(m.MachineTypes) == 0 {
		return
	}
	m.pools.nextTick = now.Add(poolInterval)
	demands := m.replicaDemands()
	for i, p := range m.pools.all {
		m.followModelVersion(p, demands[i])
		for _, d := range p.demand.Observe(demands[i].open, now) {
			m.queuePlanRecord(warmpool.DayName(p.Name, d), p.demand.EncodeDay(d))
		}
		p.record.CurrentHour, p.record.CurrentPeak = p.demand.Current()
		m.updateMembers(p, now)
		p.scaleOut, p.fetchQueue = nil, nil
		if now.Sub(m.ElectedAt) > poolGracePeriod && !m.recoveringFromStall(now) && !m.plan.Unreadable {
			m.reconcilePool(i, p, now)
		}
		m.queuePoolRecords(p, now)
	}
}

// reconcilePool computes a pool's target size and plans how the pool reaches it: which machines
// join and leave, which fetch the weights, and how many are scaled out. index is the pool's index
// in warmPools.all.
func (m *Model) reconcilePool(index int, p *warmPool, now time.Time) {
	image := m.poolImage(p)
	terms, ok := m.poolTerms(p)
	if !ok {
		return // none of its types is in the catalog
	}
	lead := p.LeadTime(p.PeakMachines(&p.demand, now, p.record.ReplicasPerMachine), terms.boot, terms.fetchGBPS)
	p.record.Target = p.TargetSize(&p.demand, now, lead, p.record.ReplicasPerMachine, terms.price)
	p.record.CostLimited = p.record.Target == p.Affordable(terms.price) && p.record.Target < p.MaxMachines
	members := m.observeMembers(p, image, now)
	var candidates []warmpool.Observation
	if warmpool.CountHeld(members) < p.record.Target {
		candidates = m.joinCandidates(p, image, &terms, now)
	}
	plan := p.PlanScaling(members, candidates, p.record.Target, p.Affordable(terms.price))
	m.applyScalingPlan(index, p, &plan, now)
	m.countMembers(p, members, len(plan.Join))
	if now.Before(p.fetchesPausedUntil) {
		return
	}
	p.record.FetchRefused = ""
	for _, name := range p.NextFetches(members) {
		idx := m.names.machines[name]
		if member := p.member(m.Machines[idx]); member != nil && !member.Leaving {
			p.fetchQueue = append(p.fetchQueue, idx)
		}
	}
}

// poolTerms are the machine types and zones that a pool may use, and the highest price, longest
// boot time and slowest fetch rate of these types.
type poolTerms struct {
	types, zones []bool        // by index in Model.MachineTypes and in Model.Zones
	price        float64       // per hour
	boot         time.Duration // boot time
	fetchGBPS    float64       // GB per second
}

// poolTerms looks up a pool's types in the catalog. It returns false if none of them is listed.
func (m *Model) poolTerms(p *warmPool) (poolTerms, bool) {
	terms := poolTerms{types: make([]bool, len(m.MachineTypes)), zones: make([]bool, len(m.Zones)), fetchGBPS: math.Inf(1)}
	for k := range m.MachineTypes {
		t := &m.MachineTypes[k]
		if !slices.Contains(p.Types, t.Name) {
			continue
		}
		terms.types[k] = true
		price := t.Price
		if p.Spot {
			price = min(price, t.SpotPrice)
		}
		terms.price, terms.boot, terms.fetchGBPS = max(terms.price, price), max(terms.boot, t.BootTime), min(terms.fetchGBPS, t.FetchRate)
	}
	for z, name := range m.Zones {
		terms.zones[z] = slices.Contains(p.Zones, name)
	}
	return terms, slices.Contains(terms.types, true)
}

// joinCandidates returns the observations of the machines that may join a pool. A machine that may
// become ready soon counts as booting.
func (m *Model) joinCandidates(p *warmPool, image int32, terms *poolTerms, now time.Time) (candidates []warmpool.Observation) {
	for _, mc := range m.Machines {
		if mc.Gone || mc.typeIndex < 0 || mc.Zone < 0 {
			continue
		}
		if mc.inPool() || mc.scalingIn || !terms.types[mc.typeIndex] || !terms.zones[mc.Zone] || mc.Spot && !p.Spot || now.Before(mc.poolExclusionUntil) {
			continue
		}
		observation := m.observeMachine(p, mc, image, now)
		if !observation.Busy && now.Sub(mc.idleSince) < minIdleToJoin || observation.Ready && !m.Ready(mc, now) {
			observation.Ready, observation.Booting = false, true
		}
		candidates = append(candidates, observation)
	}
	return candidates
}

// applyScalingPlan carries out a scaling plan. Its scale-out is stored for the next scheduling
// pass.
func (m *Model) applyScalingPlan(index int, p *warmPool, plan *warmpool.ScalingPlan, now time.Time) {
	for _, name := range plan.Join {
		m.joinPool(index, m.machineNamed(name), now)
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

// countMembers records how many machines a pool holds, and how many of them are warm or fetch the
// weights. joined is the number of machines that joined after the observations.
func (m *Model) countMembers(p *warmPool, members []warmpool.Observation, joined int) {
	p.record.Held, p.record.Warm, p.record.Fetching = 0, 0, 0
	for k := range members {
		if member := p.member(m.machineNamed(members[k].Machine)); member == nil || member.Leaving {
			continue
		}
		p.record.Held++
		if members[k].Warm {
			p.record.Warm++
		} else if members[k].Fetching {
			p.record.Fetching++
		}
	}
	p.record.Held += joined
}

// addPoolScaleOut adds the machines that the pools lack to the scale-out of a scheduling pass.
// limit bounds the total number of machines in scaleOut.
func (m *Model) addPoolScaleOut(scaleOut map[Offer]int, offers []Offer, limit int) {
	for _, n := range scaleOut {
		limit -= n
	}
	for _, p := range m.pools.all {
		for zone, name := range m.Zones {
			n := min(p.scaleOut[name], limit, maxScaleOutPerTick)
			if n <= 0 {
				continue
			}
			if offer, ok := m.cheapestPoolOffer(p, offers, zone); ok {
				scaleOut[offer] += n
				limit -= n
			}
		}
	}
}

// cheapestPoolOffer returns the cheapest offer for a pool that lacks a machine in a zone. An offer
// in another zone is returned only if there is none in this zone. The result is false if there is
// no offer at all.
func (m *Model) cheapestPoolOffer(p *warmPool, offers []Offer, zone int) (Offer, bool) {
	best, lowestPrice := -1, 0.0
	for k, o := range offers {
		if o.Spot && !p.Spot || !slices.Contains(p.Types, o.Type) || !slices.Contains(p.Zones, o.Zone) {
			continue
		}
		price := m.MachineTypes[o.key.machineType].Price
		if o.Spot {
			price = m.MachineTypes[o.key.machineType].SpotPrice
		}
		if o.key.zone != zone {
			price += otherZonePenalty // chosen only if the offers in the zone were refused lately
		}
		if best < 0 || price < lowestPrice {
			best, lowestPrice = k, price
		}
	}
	if best < 0 {
		return Offer{}, false
	}
	return offers[best], true
}
