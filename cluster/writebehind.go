// Queues the changes of the model that are to be written to the key-value store, and collects them
// in batches.

package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// writeBehind is the queue of changes of the model that are not in the key-value store yet.
// Decisions are applied to the model at once and written with a later batch (NextBatch). Actions
// that depend on a write, such as the launch of a task, wait for the commit.
//
// Only its methods, and those of its parts, change its fields. They keep these invariants:
//   - A job of the model is in dirtyJobs, once, exactly while it is marked as dirty.
//   - A placement page is to be written while its generation differs from the committed one.
//     Every change of a chunk increments the chunk's generation and that of its page.
//   - A committed generation is that of the record as it was written. A change that is made while
//     a batch is in progress is written later.
//   - A chunk is on exactly one page from its first change or from its loading until its job
//     leaves the model. Otherwise it is on none.
type writeBehind struct {
	dirtyJobs      []int32 // indices of jobs that may have to be written or removed from the model
	placementPages placementPages
	admissionPages admissionPages
	rejected       rejectedWrites
}

func newWriteBehind(limits writeLimits) writeBehind {
	return writeBehind{placementPages: placementPages{limits: limits}, admissionPages: admissionPages{}}
}

// limits returns what the key-value store accepts.
func (w *writeBehind) limits() writeLimits { return w.placementPages.limits }

// markJob queues a job that may have to be written or removed from the model.
func (w *writeBehind) markJob(j *Job) {
	if !j.dirty {
		j.dirty = true
		w.dirtyJobs = append(w.dirtyJobs, j.Index)
	}
}

// filterJobs calls keep for each queued job, in the order in which they were queued. It removes
// the jobs for which keep returns false.
func (w *writeBehind) filterJobs(keep func(index int32) bool) {
	w.dirtyJobs = slices.DeleteFunc(w.dirtyJobs, func(index int32) bool { return !keep(index) })
}

// changeChunk records a change of the chunk of a task and returns the chunk. It assigns the chunk
// to a page if needed.
func (w *writeBehind) changeChunk(j *Job, task int32) *Chunk {
	c := j.chunkOf(task)
	c.change()
	if c.page == nil {
		w.placementPages.assign(j, int(task)/jobstore.ChunkSize)
	}
	c.page.generation++
	w.markJob(j)
	return c
}

// recordPlacement records a new placement of a task. The task may be launched when the chunk is
// committed in its generation after this change.
func (w *writeBehind) recordPlacement(j *Job, task int32) {
	w.changeChunk(j, task).recordPlacement(j.Tasks[task].Placement)
}

// writeLimits are the limits of transactions and values in the key-value store.
type writeLimits struct{ jobstore.Limits }

const (
	// outerGuards is the number of conditions of a transaction on the leader key and the plan head.
	outerGuards = 2
	// valueMarginBytes is the margin below the limit of a value.
	valueMarginBytes = 256
)

// maxGuards returns the most conditions that a transaction may have, in addition to those on the
// leader key and the plan head.
func (l writeLimits) maxGuards() int { return l.Guards() - outerGuards }

// maxValueBytes returns the maximal size of a value, less a safety margin.
func (l writeLimits) maxValueBytes() int { return l.ValueBytes() - valueMarginBytes }

// finalRecordOps is the number of changes that end a job: its final record, and the change of its
// admission page or the deletion of its active record.
const finalRecordOps = 2

// PendingWrites returns the number of puts and deletes that are needed to write all changes, or the
// next ones if a single record is to be written. If there is nothing to write and other jobs are
// queued, which may have to be removed from the model, it returns 1.
func (m *Model) PendingWrites() int {
	pending, others := 0, false
	for _, index := range m.writes.dirtyJobs {
		j := m.Jobs[index]
		switch {
		case j == nil || !j.awaitsFinalRecord():
			others = true
		case !j.finalDeferred:
			pending += finalRecordOps
		}
	}
	pending += m.writes.placementPages.pending()
	if pending == 0 && others {
		return 1
	}
	if m.writes.rejected.singleUnitBatches > 0 {
		return min(pending, finalRecordOps)
	}
	return pending
}

// NothingToWrite reports whether PendingWrites is 0. Changed pages count as pending until they are
// committed. Finished jobs count only until they are in a batch.
func (m *Model) NothingToWrite() bool { return m.PendingWrites() == 0 }

// awaitsFinalRecord reports whether a job is done and its final record is not committed yet.
func (j *Job) awaitsFinalRecord() bool {
	return j.DoneTasks == len(j.Tasks) && !j.Cancelled && !j.Finished
}

// NextBatch returns a transaction that writes changed records with at most maxOps operations, or
// nil if there is nothing to write. Final records and new placements come first, because users
// wait for final records and idle machines wait for placements.
func (m *Model) NextBatch(maxOps int) *WriteBatch {
	b := &WriteBatch{placementPages: map[string]*placementPage{}, jobs: map[string]*Job{}, rejected: &m.writes.rejected}
	maxUnits := maxOps
	if m.writes.rejected.takeSingleUnitBatch() {
		maxUnits = 1
	}
	placing, others := m.writes.placementPages.changed()
	limits := m.finalRecordLimits(maxOps, placing)
	limits.count = min(limits.count, maxUnits)
	m.addFinalRecords(b, maxOps, limits)
	for _, p := range append(placing, others...) {
		if len(b.Ops) >= maxOps || len(b.units) >= maxUnits {
			break
		}
		m.writes.placementPages.addTo(b, p)
	}
	m.writes.placementPages.rotate()
	b.fillAdmissionRemovals()
	if len(b.Ops) == 0 {
		return nil
	}
	if b.placesTasks {
		b.addGuard(m.PlanGuard())
	}
	m.addPlanCheck(b)
	b.OnCommit = b.runCommitHooks
	return b
}

// finalRecordLimits bound the final records in a batch.
type finalRecordLimits struct {
	count int
	bytes int // of the batch with its final records
}

// finalRecordLimits returns the limits of a batch of at most maxOps operations. They leave room for one
// of the pages with new placements, if there are any.
func (m *Model) finalRecordLimits(maxOps int, placing []*placementPage) finalRecordLimits {
	if len(placing) > 0 {
		return finalRecordLimits{maxFinalRecordsWithPlacements, maxBatchBytes - m.writes.limits().ValueBytes()}
	}
	return finalRecordLimits{maxOps, maxBatchBytes}
}

// addFinalRecords processes the queued jobs. It removes jobs that are over from the model, and adds
// final records of jobs that are done to the batch. Jobs whose final records don't fit stay queued.
func (m *Model) addFinalRecords(b *WriteBatch, maxOps int, limits finalRecordLimits) {
	full := false
	m.writes.filterJobs(func(index int32) (keep bool) {
		j := m.Jobs[index]
		switch {
		case j == nil:
			return false
		case j.Finished || j.Cancelled && j.PlacedTasks == 0:
			m.dropJob(j)
			return false
		case j.awaitsFinalRecord():
			if j.finalDeferred || full || limits.count == 0 || len(b.Ops)+finalRecordOps > maxOps || len(b.Guards)+2 > m.writes.limits().maxGuards() {
				return true
			}
			if j.admissionPage != nil && !b.hasRoom(b.admissionPageBytes(j.admissionPage), limits.bytes) {
				return true // others may be on pages that the batch changes already
			}
			w := m.prepareFinalRecord(b, j)
			if full = !b.hasRoom(w.bytes, limits.bytes); full {
				return true
			}
			m.addFinalRecord(b, w)
			limits.count--
		}
		j.dirty = false
		return false
	})
}

// finalRecordWrite is the write of a job's final record.
type finalRecordWrite struct {
	job         *Job
	record      jobstore.JobRecord
	recordBytes int
	bytes       int // what it adds to the batch, including the removal of the active record
}

// prepareFinalRecord returns the write of a job's final record.
func (m *Model) prepareFinalRecord(b *WriteBatch, j *Job) finalRecordWrite {
	rec := jobstore.JobRecord{Job: j.Spec, AcceptedAtMs: j.AcceptedAt.UnixMilli(), State: wire.JobDone, Outcomes: j.endedTasks(0, len(j.Tasks)), FinishedAtMs: m.completionTimeMs(j)}
	if j.reservation != nil {
		rec.Reservation = &j.reservation.Reservation
	}
	rec = m.writes.limits().FitFinal(rec)
	w := finalRecordWrite{job: j, record: rec, recordBytes: rec.Size()}
	key := jobstore.FinalKey(j.ID)
	w.bytes = wire.Guard{Key: key}.Size() + wire.Op{Put: key}.Size(w.recordBytes)
	if j.admissionPage != nil {
		w.bytes += b.admissionPageBytes(j.admissionPage)
	} else {
		active := jobstore.JobKey(j.ID)
		w.bytes += wire.Guard{Key: active}.Size() + wire.Op{Delete: active}.Size(0)
	}
	return w
}

// addFinalRecord adds the final record of a job and the removal of its active record to the batch.
func (m *Model) addFinalRecord(b *WriteBatch, w finalRecordWrite) {
	j := w.job
	if j.admissionPage != nil {
		b.removeFromAdmissionPage(j)
	} else {
		b.addGuard(wire.Guard{Key: jobstore.JobKey(j.ID), Version: j.version})
		b.addOp(wire.Op{Delete: jobstore.JobKey(j.ID)}, 0)
	}
	b.addGuard(wire.Guard{Key: jobstore.FinalKey(j.ID)})
	b.addOp(wire.Op{Put: jobstore.FinalKey(j.ID), Value: w.record}, w.recordBytes)
	b.jobs[jobstore.JobKey(j.ID)] = j
	b.units = append(b.units, j)
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) {
		j.markFinished()
		m.log.Info("job completed", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		m.dropJob(j)
	})
}

// RequeueBatch queues the jobs of a batch that was not committed again. Pages need no requeuing,
// because they count as changed until a commit.
func (m *Model) RequeueBatch(b *WriteBatch) {
	for _, j := range b.jobs {
		m.writes.markJob(j)
	}
}

// ResolveConflict applies the version that the store reports for a key of a batch after a
// conflict. Only the leader writes placement pages and plan records. An unexpected version is
// therefore from an earlier transaction of this leader whose response was lost. The model is
// newer and is written again.
func (m *Model) ResolveConflict(b *WriteBatch, key string, version uint64) {
	if p := b.placementPages[key]; p != nil {
		p.resolveConflict(version)
	}
	if r := b.planRecords[key]; r != nil {
		r.version = version
	}
}

// dropJob removes a job that is over from the model, unless a task of the job may still be on a
// machine. The job's placement records are removed from their pages with the next write. A new
// leader that reads them before that finds that the job is over.
func (m *Model) dropJob(j *Job) {
	if m.Jobs[j.Index] == nil || j.PlacedTasks > 0 {
		return
	}
	if j.Finished {
		m.recordWindowCompletion(j)
	}
	for n := range j.Chunks {
		m.writes.placementPages.remove(&j.Chunks[n])
	}
	m.Jobs[j.Index] = nil
	delete(m.names.jobs, j.ID)
}
