package cluster

import (
	"fmt"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/warmpool"
)

// This file says what pools mean for everybody else: placement, returns, and those
// who watch.

// keptByPool says whether a machine is not to be returned though it is idle, and
// letGo whether it is to be returned at once: no longer wanted, as is recorded.
func (m *Model) keptByPool(mc *Machine) bool { return m.plan.Lost || m.poolOf(mc) != nil }

func (m *Model) letGo(mc *Machine) bool {
	p := m.poolOf(mc)
	if p == nil {
		return false
	}
	e := p.member(mc)
	return e != nil && e.Leaving && !m.keeping(warmpool.ShardName(p.Name, p.of[mc.Index]))
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
	v.PoolGB = m.MachineTypes[mc.Type].CacheGB - p.note.GB
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
	w := warmpool.Work{Image: j.Spec.Image, Team: j.Spec.Team, Rank: j.Priority, Gang: j.Gang() && len(j.Tasks) > 1,
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
				n := p.of[mc.Index]
				p.shards[n].Ceded++
				p.shards[n].Why = fmt.Sprintf("%s/%d of %s, tier %q, %s, took room on %s", j.ID, task, j.Spec.Team, m.tiers.order.Name(j.tier), j.Spec.Priority, mc.Name)
				p.changed[n] = true
				m.log.Info("pool cedes room", "pool", p.Name, "machine", mc.Name, "job", j.ID, "task", task, "team", j.Spec.Team, "priority", j.Spec.Priority)
			}
			continue
		}
		n := p.of[mc.Index] // 0 for machines of no pool
		if mc.has(j.Image) {
			p.shards[n].Hits++
		} else {
			p.shards[n].Misses++
		}
		p.changed[n] = true
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
	Teams   map[string]warmpool.Charge // what each owes, as recorded last
}

func (m *Model) poolSummaries() []PoolSummary {
	var out []PoolSummary
	for _, p := range m.pools {
		s := PoolSummary{Name: p.Name, Aim: p.note.Aim, Held: p.note.Held, Warm: p.note.Warm, Filling: p.note.Filling,
			Limited: p.note.Limited, Refused: p.note.Refused}
		var shards []warmpool.Shard
		for _, sh := range p.shards {
			s.Hits, s.Misses, s.Ceded = s.Hits+sh.Hits, s.Misses+sh.Misses, s.Ceded+sh.Ceded
			shards = append(shards, *sh)
		}
		s.Teams, _ = warmpool.Totals(shards)
		out = append(out, s)
	}
	return out
}
