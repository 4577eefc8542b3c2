package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// writeBehind is the queue of changes of the model that the key-value store does not have
// yet. Decisions are applied to the model at once and written with a later batch (NextBatch);
// what depends on a write, such as the launch of a task, waits for the commit.
//
// Only its methods, and those of its parts, change its fields. They keep these invariants:
//   - A job of the model is in dirtyJobs, once, exactly while it is marked as dirty.
//   - A placement page is to be written while its generation differs from the committed one.
//     Every change of a chunk raises the chunk's generation and that of its page.
//   - Committed generations are those of records as they were written. What changes while a
//     batch is in progress stays to be written.
//   - A chunk is on exactly one page from its first change, or from when it is loaded, until
//     its job leaves the model, and on none otherwise.
type writeBehind struct {
	dirtyJobs      []int32 // indices of jobs that may be done, or are to be dropped
	placementPages placementPages
	admissionPages admissionPages
}

func newWriteBehind(limits writeLimits) writeBehind {
	return writeBehind{placementPages: placementPages{limits: limits}, admissionPages: admissionPages{}}
}

// limits returns what the key-value store accepts.
func (w *writeBehind) limits() writeLimits { return w.placementPages.limits }

// markJob queues a job that may have to be written or dropped from the model.
func (w *writeBehind) markJob(j *Job) {
	if !j.dirty {
		j.dirty = true
		w.dirtyJobs = append(w.dirtyJobs, j.Index)
	}
}

// filterJobs calls keep for each queued job, in the order in which they were queued, and
// removes those for which it returns false.
func (w *writeBehind) filterJobs(keep func(index int32) bool) {
	w.dirtyJobs = slices.DeleteFunc(w.dirtyJobs, func(index int32) bool { return !keep(index) })
}

// changeChunk records that the chunk which a task belongs to has changed.
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

// recordPlacement records that a task has been placed. It may be launched once the chunk is
// committed in this generation.
func (w *writeBehind) recordPlacement(j *Job, task int32) {
	w.changeChunk(j, task).recordPlacement(j.Tasks[task].Placement)
}

// writeLimits are what the key-value store accepts.
type writeLimits struct{ state *config.StateLimits }

// maxGuards is how many conditions a transaction may have, besides those on the leader key and
// the plan head.
func (l writeLimits) maxGuards() int {
	ops := l.state.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return 4*ops - 2
}

// maxValueBytes bounds a value, with a margin.
func (l writeLimits) maxValueBytes() int {
	kb := l.state.ValueKB
	if kb <= 0 {
		kb = 16
	}
	return int(kb*1024) - 256
}

// PendingWrites returns how many puts and deletes are needed to write all changes; 1 if
// there is nothing to write but jobs are queued, which may have to be dropped from the model.
func (m *Model) PendingWrites() int {
	n := 0
	for _, index := range m.writes.dirtyJobs {
		if j := m.Jobs[index]; j != nil && j.awaitsFinalRecord() {
			n += 2
		}
	}
	n += m.writes.placementPages.pending()
	if n == 0 && len(m.writes.dirtyJobs) > 0 {
		return 1 // nothing to write, but jobs to be dropped
	}
	return n
}

// NothingToWrite reports whether the next batch would be empty. Changed pages count until
// they are committed, finished jobs only until they are in a batch.
func (m *Model) NothingToWrite() bool { return m.PendingWrites() == 0 }

// awaitsFinalRecord reports whether a job is done and its end is to be committed.
func (j *Job) awaitsFinalRecord() bool {
	return j.DoneTasks == len(j.Tasks) && !j.Cancelled && !j.Finished
}

// NextBatch returns a transaction that writes at most maxOps changed records, or nil if
// there is nothing to write. Finished jobs and new placements come first, because users
// wait for the former and idle machines for the latter.
func (m *Model) NextBatch(maxOps int) *WriteBatch {
	b := &WriteBatch{placementPages: map[string]*placementPage{}, jobs: map[string]*Job{}}
	placing, others := m.writes.placementPages.changed()
	maxFinals := maxOps
	if len(placing) > 0 {
		maxFinals = maxFinalRecordsWithPlacements
	}
	m.addFinalRecords(b, maxOps, maxFinals)
	for _, p := range append(placing, others...) {
		if len(b.Ops) >= maxOps {
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
		b.Guards = append(b.Guards, m.PlanGuard())
	}
	m.addPlanCheck(b)
	b.OnCommit = b.runCommitHooks
	return b
}

// addFinalRecords goes through the queued jobs: it drops those that are over from the model,
// and adds the final records of those that are done, maxFinals at most. Jobs whose final
// records do not fit stay queued.
func (m *Model) addFinalRecords(b *WriteBatch, maxOps, maxFinals int) {
	m.writes.filterJobs(func(index int32) (keep bool) {
		j := m.Jobs[index]
		switch {
		case j == nil:
			return false
		case j.Finished || j.Cancelled && j.PlacedTasks == 0:
			m.dropJob(j)
			return false
		case j.awaitsFinalRecord():
			if maxFinals == 0 || len(b.Ops)+2 > maxOps || len(b.Guards)+2 > m.writes.limits().maxGuards() || !m.addFinalRecord(b, j) {
				return true
			}
			maxFinals--
		}
		j.dirty = false
		return false
	})
}

// addFinalRecord adds the final record of a job and the removal of its active one. It
// returns false, and adds nothing, if the job's admission page does not fit beside what the
// batch holds already.
func (m *Model) addFinalRecord(b *WriteBatch, j *Job) bool {
	rec := jobstore.JobRecord{Job: j.Spec, AcceptedAtMs: j.AcceptedAt.UnixMilli(), State: wire.JobDone, Outcomes: j.endedTasks(0, len(j.Tasks)), FinishedAtMs: m.completionTimeMs(j)}
	if j.reservation != nil {
		rec.Reservation = &j.reservation.Reservation
	}
	if j.admissionPage != nil {
		if !b.removeFromAdmissionPage(j) {
			return false
		}
	} else {
		b.Guards = append(b.Guards, wire.Guard{Key: jobstore.JobKey(j.ID), Version: j.version})
		b.Ops = append(b.Ops, wire.Op{Delete: jobstore.JobKey(j.ID)})
	}
	b.Guards = append(b.Guards, wire.Guard{Key: jobstore.FinalKey(j.ID)})
	b.Ops = append(b.Ops, wire.Op{Put: jobstore.FinalKey(j.ID), Value: rec})
	b.jobs[jobstore.JobKey(j.ID)] = j
	b.bytes += finalRecordBytes
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) {
		j.markFinished()
		m.log.Info("job completed", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		m.dropJob(j)
	})
	return true
}

// RequeueBatch marks the jobs of a batch that was not committed as changed again. Pages need
// no such call: they count as changed until a commit.
func (m *Model) RequeueBatch(b *WriteBatch) {
	for _, j := range b.jobs {
		m.writes.markJob(j)
	}
}

// ResolveConflict applies the version that a key of a batch turned out to have after a
// conflict. Only the leader writes placement records, so that an unexpected version is from
// an earlier transaction of its own whose response was lost. The model is newer than that
// and is written again.
func (m *Model) ResolveConflict(b *WriteBatch, key string, version uint64) {
	if p := b.placementPages[key]; p != nil {
		p.resolveConflict(version)
	}
	if x := b.planRecords[key]; x != nil {
		x.version = version
	}
}

// dropJob removes a job that is over from the model, unless a task of it may still be on a
// machine. Its placement records leave their pages when these are written next; a leader
// that finds them before that sees that the job is over.
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
