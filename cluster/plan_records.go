package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/wire"
)

// This file holds the operators' plan that the leader follows, and the records that the
// parts of the plan (priority tiers, batch windows, warm pools) keep (docs/plan.md).

// Plan is the version of the operators' plan by which a leader decides.
type Plan struct {
	*plan.Plan // nil if there is none

	Number      int
	HeadVersion uint64 // version of the plan's head key in the store; 0 if there is no plan
	Unreadable  bool   // there is a plan, but no version of it can be read
}

// SetPlan applies a version of the plan, unless it is older than the current one.
// Uncommitted placements were decided by the previous version; they are removed and decided
// anew. A transaction that is in progress for them either fails on the version of the plan
// head or was committed while the previous plan was in force.
func (m *Model) SetPlan(p Plan, now time.Time) {
	if p.HeadVersion < m.plan.HeadVersion || p.HeadVersion == m.plan.HeadVersion && p.Number == m.plan.Number && p.Unreadable == m.plan.Unreadable {
		return
	}
	m.plan = p
	m.DropHeldStops()
	if m.loadFinished {
		m.log.Info("plan adopted", "version", p.Number, "unreadable", p.Unreadable, "unplacedTasks", m.unplaceUncommitted(now))
	}
	m.planChanged(now)
}

// planChanged makes the parts of the plan reload their settings. It may run before any job
// is loaded.
func (m *Model) planChanged(now time.Time) {
	m.reloadPriorityPolicy()
	m.reloadCalendar(now)
	m.reloadPools(now)
}

// unplaceUncommitted removes the placements that are not committed and returns their number.
func (m *Model) unplaceUncommitted(now time.Time) int {
	n := 0
	for _, j := range m.Jobs {
		if j == nil || j.PlacedTasks == 0 {
			continue
		}
		for i := range j.Tasks {
			p := j.Tasks[i].Placement
			if p != nil && !p.mayBeOnMachine() && !j.chunkOf(int32(i)).isCommitted(p.chunkGeneration) {
				m.removePlacement(j, int32(i), now)
				n++
			}
		}
	}
	return n
}

// PlanGuard returns the condition of every transaction that depends on the plan: that the
// plan head is unchanged, or that there is still no plan. It prevents a leader that has not
// seen a newer plan, and a transaction that is applied late, from writing what an older
// plan decided.
func (m *Model) PlanGuard() wire.Guard {
	return wire.Guard{Key: jobstore.PlanHeadKey, Version: m.plan.HeadVersion}
}

// planRecords are the records that the parts of the plan keep for the next leader and for
// operators: one key each, of which only the last value counts.
type planRecords struct {
	byName map[string]*planRecord
	names  []string // in the order in which they are written next
}

type planRecord struct {
	value               any
	generation          uint64   // counts changes
	committedGeneration uint64   // the last change that is in the store
	version             uint64   // of the key
	raw                 wire.Raw // as committed
}

// isChanged reports whether the record is to be written.
func (r *planRecord) isChanged() bool { return r.generation != r.committedGeneration }

// commit applies the commit of a value of the given generation.
func (r *planRecord) commit(version, generation uint64, raw wire.Raw) {
	r.version, r.committedGeneration, r.raw = version, max(r.committedGeneration, generation), raw
}

func (s *planRecords) findOrAdd(name string) *planRecord {
	if s.byName == nil {
		s.byName = map[string]*planRecord{}
	}
	r := s.byName[name]
	if r == nil {
		r = &planRecord{}
		s.byName[name] = r
		s.names = append(s.names, name)
	}
	return r
}

// moveToEnd makes a name the last in the order of writing, so that those which are left out
// of a batch come first in the next one.
func (s *planRecords) moveToEnd(name string) {
	s.names = append(slices.DeleteFunc(s.names, func(n string) bool { return n == name }), name)
}

// queuePlanRecord queues a record of that name to be written soon. The controller writes only
// a few of these records a second; if one is queued several times before that, only the last
// value is written. The caller must not modify the record until it queues another of that
// name, and it must fit into a value of the store.
func (m *Model) queuePlanRecord(name string, record any) {
	r := m.planRecords.findOrAdd(name)
	r.value = record
	r.generation++
}

// loadedPlanRecord returns the committed record of that name, of an earlier leader or of this
// one; false if there is none.
func (m *Model) loadedPlanRecord(name string) (wire.Raw, bool) {
	r := m.planRecords.byName[name]
	if r == nil || r.raw == nil {
		return nil, false
	}
	return r.raw, true
}

// planRecordPending reports whether the last value of that name waits to be committed.
func (m *Model) planRecordPending(name string) bool {
	r := m.planRecords.byName[name]
	return r != nil && r.isChanged()
}

// LoadPlanRecord loads a record that an earlier leader wrote for a part of the plan. It must
// be called before the plan and the jobs are loaded, which read these records.
func (m *Model) LoadPlanRecord(key string, value wire.Raw, version uint64) {
	r := m.planRecords.findOrAdd(key[len(jobstore.PlanStatePrefix):])
	r.raw, r.version = value, version
}

// PendingPlanRecords returns how many records of the plan's parts wait to be written.
func (m *Model) PendingPlanRecords() int {
	n := 0
	for _, r := range m.planRecords.byName {
		if r.isChanged() {
			n++
		}
	}
	return n
}

var errPlanRecordSize = errors.New("larger than a value may be")

// PlanRecordBatch returns a transaction that writes at most maxOps changed records of the
// plan's parts, or nil if there are none. Its conditions are PlanGuard and the versions of
// these records. A record that can't be encoded or is too large is logged and not written.
func (m *Model) PlanRecordBatch(maxOps int) *WriteBatch {
	b := &WriteBatch{Guards: []wire.Guard{m.PlanGuard()}, planRecords: map[string]*planRecord{}}
	for _, name := range slices.Clone(m.planRecords.names) {
		r := m.planRecords.byName[name]
		if !r.isChanged() || len(b.Ops) >= maxOps {
			continue
		}
		raw, err := wire.Marshal(r.value)
		size := wire.JSONSize(raw)
		if err == nil && size > m.writes.limits().maxValueBytes() {
			err = fmt.Errorf("%d bytes: %w", size, errPlanRecordSize)
		}
		if err != nil {
			m.log.Error("a record of the plan's can't be written", "name", name, "err", err)
			r.committedGeneration = r.generation
			continue
		}
		if len(b.Ops) > 0 && b.bytes+size > maxBatchBytes {
			break
		}
		m.planRecords.moveToEnd(name)
		key, generation := jobstore.PlanStatePrefix+name, r.generation
		b.Guards = append(b.Guards, wire.Guard{Key: key, Version: r.version})
		b.Ops = append(b.Ops, wire.Op{Put: key, Value: wire.Raw(raw)})
		b.planRecords[key] = r
		b.bytes += size
		b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) { r.commit(rev, generation, raw) })
	}
	if len(b.Ops) == 0 {
		return nil
	}
	b.OnCommit = b.runCommitHooks
	return b
}
