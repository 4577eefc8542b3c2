package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/warmpool"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	daysPerWeek        = 7
	poolRecordInterval = 5 * accountInterval // between two writes of an unchanged pool record
)

// loadPool returns a pool with the given settings and the records of earlier leaders: the pool's
// state, the demand of each day of the week, and the shards of its members with the accounts.
func (m *Model) loadPool(settings warmpool.Pool, now time.Time) *warmPool {
	p := &warmPool{Pool: settings, shardOf: map[int32]int{}, fetchRequestedAt: map[int32]time.Time{}}
	p.record = warmpool.Record{ReplicasPerMachine: 1, Priority: priorities[wire.PriorityNormal], Image: settings.Model, WeightsGB: settings.WeightsGB, ImageVersion: 1}
	record := p.record
	if m.loadPoolRecord(warmpool.RecordName(settings.Name), &record) {
		p.record = record
		p.demand.Resume(record.CurrentHour, record.CurrentPeak)
	}
	for d := range daysPerWeek {
		var day []string
		if m.loadPoolRecord(warmpool.DayName(settings.Name, d), &day) {
			if err := p.demand.LoadDay(d, day); err != nil {
				m.log.Error("unreadable warm pool record", "pool", settings.Name, "err", err)
			}
		}
	}
	for n := range warmpool.MaxShards {
		m.loadShard(p, n, now)
	}
	if previous := p.record.Payer; previous != "" && previous != settings.Payer {
		p.Payer = previous // charge the costs up to now to the previous payer
		p.settle(now)
		p.Payer = settings.Payer
	}
	return p
}

// loadPoolRecord decodes the plan record with the given name into out. It returns false if there is
// no such record or it can't be read. The latter is logged.
func (m *Model) loadPoolRecord(name string, out any) bool {
	raw, ok := m.loadedPlanRecord(name)
	if !ok {
		return false
	}
	if err := wire.Unmarshal(raw, out); err != nil {
		m.log.Error("unreadable warm pool record", "name", name, "err", err)
		return false
	}
	return true
}

// loadShard adds shard number n of a pool with its members. A shard that is missing or unreadable
// starts empty.
func (m *Model) loadShard(p *warmPool, n int, now time.Time) {
	var shard warmpool.Shard
	if !m.loadPoolRecord(warmpool.ShardName(p.Name, n), &shard) {
		shard = warmpool.Shard{AtMs: now.UnixMilli()}
	}
	p.shards, p.changedShards = append(p.shards, &shard), append(p.changedShards, false)
	for k := range shard.Members {
		mc := m.findOrAddMachine(shard.Members[k].Machine, now)
		p.shardOf[mc.index] = n
	}
}

// queuePoolRecords queues a pool's changed records to be written. Shards with members are also
// queued after accountInterval, and the pool's own record after poolRecordInterval, even if they
// are unchanged.
func (m *Model) queuePoolRecords(p *warmPool, now time.Time) {
	nowMs := now.UnixMilli()
	for n, shard := range p.shards {
		if len(shard.Members) > 0 && nowMs-shard.AtMs > accountInterval.Milliseconds() {
			p.changedShards[n] = true
		}
		if p.changedShards[n] {
			shard.Settle(nowMs, p.Payer)
			p.changedShards[n] = false
			m.queuePlanRecord(warmpool.ShardName(p.Name, n), shard.Clone())
		}
	}
	saved := p.savedRecord
	saved.AtMs = p.record.AtMs
	if saved != p.record || nowMs-p.record.AtMs > poolRecordInterval.Milliseconds() {
		p.record.AtMs = nowMs
		p.savedRecord = p.record
		m.queuePlanRecord(warmpool.RecordName(p.Name), p.record)
	}
}
