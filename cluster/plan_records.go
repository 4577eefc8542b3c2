// Applies versions of the operators' plan, and writes the records that parts of the plan keep for
// the next leader.

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

// Plan is the version of the operators' plan that a leader follows (docs/plan.md).
type Plan struct {
	*plan.Plan // nil if there is none

	Number      int    // number of this version of the plan
	HeadVersion uint64 // version of the plan's head key in the store; 0 if there is no plan
	Unreadable  bool   // a plan exists, but no version of it can be read
}

// SetPlan applies a version of the plan, unless it is older than the current one or the same.
// It removes uncommitted placements, because the previous version decided them. The next
// scheduling pass places their tasks again. A transaction that is in progress for these
// placements either fails on the version of the plan head, or was committed while the previous
// plan was in force.
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

// planChanged makes priority tiers, batch windows and warm pools reload their settings. It may
// run before any job is loaded.
func (m *Model) planChanged(now time.Time) {
	m.reloadPriorityPolicy()
	m.reloadCalendar(now)
	m.reloadPools(now)
}

// unplaceUncommitted removes the placements that are not committed. It returns their number.
func (m *Model) unplaceUncommitted(now time.Time) int {
	removed := 0
	for _, j := range m.Jobs {
		if j == nil || j.PlacedTasks == 0 {
			continue
		}
		for i := range j.Tasks {
			p := j.Tasks[i].Placement
			if p != nil && !p.mayBeOnMachine() && !j.chunkOf(int32(i)).isCommitted(p.chunkGeneration) {
				m.removePlacement(j, int32(i), now)
				removed++
			}
		}
	}
	return removed
}

// PlanGuard returns the condition of every transaction that depends on the plan. The condition
// is that the plan head is unchanged, or that no plan exists yet. It prevents that decisions of
// an older plan are written by a leader that has not seen the newer plan, or by a transaction
// that is applied late.
func (m *Model) PlanGuard() wire.Guard {
	return wire.Guard{Key: jobstore.PlanHeadKey, Version: m.plan.HeadVersion}
}

// planRecords are the records that the parts of the plan (priority tiers, batch windows, warm
// pools) keep for the next leader and for operators. Each record has its own key, and only its
// last value matters.
type planRecords struct {
	byName   map[string]*planRecord
	names    []string // in the order in which changed records are written next
	rejected rejectedWrites
}

// planRecord is one of the planRecords.
type planRecord struct {
	value               any
	generation          uint64   // number of changes
	committedGeneration uint64   // the last change that is in the store
	version             uint64   // of the key
	raw                 wire.Raw // last committed value; nil if there is none
	deferred            bool     // batches leave it out (see rejectedWrites)
}

// isChanged reports whether the record has an uncommitted change.
func (r *planRecord) isChanged() bool { return r.generation != r.committedGeneration }

// isPending reports whether the record is to be written with the next batches.
func (r *planRecord) isPending() bool { return r.isChanged() && !r.deferred }

// commit applies the commit of the value that the record had in the given generation.
func (r *planRecord) commit(version, generation uint64, raw wire.Raw) {
	r.version, r.committedGeneration, r.raw = version, max(r.committedGeneration, generation), raw
}

// findOrAdd returns the record with the given name. It adds an empty record if there is none.
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

// moveToEnd makes a record the last one in the order of writing. Records that don't fit into
// one batch come first in the next one.
func (s *planRecords) moveToEnd(name string) {
	s.names = append(slices.DeleteFunc(s.names, func(n string) bool { return n == name }), name)
}

// queuePlanRecord queues the record with the given name to be written soon. The controller
// writes only a few such records per second. If a record is queued several times before it is
// written, only the last value is written. The caller must not modify the record until it queues
// another one with that name. The record must fit into a value of the store.
func (m *Model) queuePlanRecord(name string, record any) {
	r := m.planRecords.findOrAdd(name)
	r.value = record
	r.generation++
}

// loadedPlanRecord returns the last committed value of the record with the given name. It may be
// from this leader or from an earlier one. The result is false if there is none.
func (m *Model) loadedPlanRecord(name string) (wire.Raw, bool) {
	r := m.planRecords.byName[name]
	if r == nil || r.raw == nil {
		return nil, false
	}
	return r.raw, true
}

// planRecordPending reports whether the last value of the record with the given name is not
// committed yet.
func (m *Model) planRecordPending(name string) bool {
	r := m.planRecords.byName[name]
	return r != nil && r.isChanged()
}

// LoadPlanRecord loads a record that an earlier leader wrote for a part of the plan. It must be
// called before the plan and the jobs are loaded, because their loading reads these records.
func (m *Model) LoadPlanRecord(key string, value wire.Raw, version uint64) {
	r := m.planRecords.findOrAdd(key[len(jobstore.PlanStatePrefix):])
	r.raw, r.version = value, version
}

// PendingPlanRecords returns the number of plan records that are to be written.
func (m *Model) PendingPlanRecords() int {
	pending := 0
	for _, r := range m.planRecords.byName {
		if r.isPending() {
			pending++
		}
	}
	return pending
}

var errPlanRecordSize = errors.New("larger than a value may be")

// PlanRecordBatch returns a transaction that writes at most maxOps changed plan records, or nil
// if there are none. Its conditions are PlanGuard and the versions of these records. A record
// that can't be encoded or is too large is logged and not written.
func (m *Model) PlanRecordBatch(maxOps int) *WriteBatch {
	if m.planRecords.rejected.takeSingleUnitBatch() {
		maxOps = min(maxOps, 1)
	}
	b := &WriteBatch{planRecords: map[string]*planRecord{}, rejected: &m.planRecords.rejected}
	b.addGuard(m.PlanGuard())
	for _, name := range slices.Clone(m.planRecords.names) {
		r := m.planRecords.byName[name]
		if !r.isPending() || len(b.Ops) >= maxOps {
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
		key, generation := jobstore.PlanStatePrefix+name, r.generation
		guard, op := wire.Guard{Key: key, Version: r.version}, wire.Op{Put: key, Value: wire.Raw(raw)}
		if !b.hasRoom(guard.Size()+op.Size(size), maxBatchBytes) {
			break
		}
		m.planRecords.moveToEnd(name)
		b.addGuard(guard)
		b.addOp(op, size)
		b.planRecords[key] = r
		b.units = append(b.units, r)
		b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) { r.commit(rev, generation, raw) })
	}
	if len(b.Ops) == 0 {
		return nil
	}
	b.OnCommit = b.runCommitHooks
	return b
}
