// Isolates records that the key-value store rejects.

package cluster

import (
	"slices"
	"time"
)

// RejectedWriteRetry is how long a record that the store has rejected is left out of batches, unless a
// new leader is elected. The store may accept it later if the record or the store's limits change.
const RejectedWriteRetry = 15 * time.Second

// writeUnit is a change that a batch can't divide: a job's final record together with the removal of
// its active record, a placement page, or a plan record.
type writeUnit interface {
	// setDeferred sets whether batches leave the unit out.
	setDeferred(bool)
}

// rejectedWrites isolates the units of batches that the store has rejected as invalid. Repeating such a
// batch unchanged can't succeed, and all other units would wait behind it.
//
// After the rejection of a batch of several units, the next batches write a single unit each. A unit
// that is rejected alone is deferred.
type rejectedWrites struct {
	singleUnitBatches int // how many of the next batches write a single unit
	deferred          []deferredWrite
}

// deferredWrite is a unit that batches leave out until a time.
type deferredWrite struct {
	unit  writeUnit
	until time.Time
}

// reject applies the rejection of a batch of the given units.
func (r *rejectedWrites) reject(units []writeUnit, now time.Time) {
	if len(units) > 1 {
		r.singleUnitBatches = len(units)
		return
	}
	for _, unit := range units {
		unit.setDeferred(true)
		r.deferred = append(r.deferred, deferredWrite{unit, now.Add(RejectedWriteRetry)})
	}
}

// takeSingleUnitBatch reports whether the next batch is to write a single unit.
func (r *rejectedWrites) takeSingleUnitBatch() bool {
	if r.singleUnitBatches == 0 {
		return false
	}
	r.singleUnitBatches--
	return true
}

// releaseDue makes batches include the units again that were deferred until now.
func (r *rejectedWrites) releaseDue(now time.Time) {
	r.deferred = slices.DeleteFunc(r.deferred, func(d deferredWrite) bool {
		if now.Before(d.until) {
			return false
		}
		d.unit.setDeferred(false)
		return true
	})
}

// RejectBatch applies the rejection of a batch by the store as invalid. The batch was not executed.
// RequeueBatch must be called as well.
func (m *Model) RejectBatch(b *WriteBatch, now time.Time) { b.rejected.reject(b.units, now) }

// RetryRejectedWrites makes batches include rejected records again whose time of deferral is over.
func (m *Model) RetryRejectedWrites(now time.Time) {
	m.writes.rejected.releaseDue(now)
	m.planRecords.rejected.releaseDue(now)
}

func (j *Job) setDeferred(deferred bool)           { j.finalDeferred = deferred }
func (p *placementPage) setDeferred(deferred bool) { p.deferred = deferred }
func (r *planRecord) setDeferred(deferred bool)    { r.deferred = deferred }
