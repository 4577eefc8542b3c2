// Adds the writes of changed placement pages to batches.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// placementPageWrite is the write of a placement page: its record, as of the given generations,
// and the conditions for it.
type placementPageWrite struct {
	page        *placementPage
	generation  uint64 // of the page
	record      jobstore.PlacementPage
	chunks      []chunkWrite
	jobs        map[string]*Job // jobs that guards refer to, by key of their active records
	guards      []wire.Guard    // conditions that the jobs of new placements are still active
	placesTasks bool            // the record has new placements
	recordBytes int             // upper bound of the record's size as the store counts it
	bytes       int             // the same of what the write adds to the batch
}

// chunkWrite is a chunk in a placementPageWrite and its generation there.
type chunkWrite struct {
	chunk      *Chunk
	generation uint64
}

// addTo adds the write of a page to a batch, if it fits. An empty page that is not in the store
// is not written and counts as committed.
func (s *placementPages) addTo(b *WriteBatch, p *placementPage) {
	w := prepareWrite(b, p)
	tooManyGuards := len(b.Ops) > 0 && len(b.Guards)+len(w.guards)+1 > s.limits.maxGuards()
	if tooManyGuards || !b.hasRoom(w.bytes, maxBatchBytes) {
		return
	}
	if len(w.record.Chunks) == 0 && p.version == 0 {
		p.committedGeneration = p.generation
		return
	}
	b.addPlacementPage(w)
}

// prepareWrite returns the write of a page, without conditions that the batch already has.
func prepareWrite(b *WriteBatch, p *placementPage) *placementPageWrite {
	w := &placementPageWrite{page: p, generation: p.generation, jobs: map[string]*Job{}}
	w.record.Chunks = append(w.record.Chunks, p.unreadChunks...)
	for _, r := range p.chunks {
		c := r.get()
		w.record.Chunks = append(w.record.Chunks, r.job.chunkRecord(r.chunk))
		w.chunks = append(w.chunks, chunkWrite{c, c.generation})
		if c.HasNewPlacements() {
			w.placesTasks = true
			w.guardJob(b, r.job)
		}
	}
	key := jobstore.PlacementPageKey(p.number)
	w.recordBytes = w.record.Size()
	w.bytes += wire.Guard{Key: key}.Size() + wire.Op{Put: key}.Size(w.recordBytes)
	return w
}

// guardJob adds the condition that a job is still active, because a placement must not be
// committed after the job's cancellation. For a job on an admission page, the condition is that
// the job has no final record, because the page also changes with the other jobs on it.
func (w *placementPageWrite) guardJob(b *WriteBatch, j *Job) {
	key := jobstore.JobKey(j.ID)
	if j.Cancelled || b.jobs[key] != nil || w.jobs[key] != nil {
		return
	}
	guard := wire.Guard{Key: key, Version: j.version}
	if j.admissionPage != nil {
		guard = wire.Guard{Key: jobstore.FinalKey(j.ID)}
	}
	w.guards = append(w.guards, guard)
	w.jobs[key] = j
	w.bytes += guard.Size()
}

// addPlacementPage adds the write of a page to the batch, or its deletion if the page is empty.
func (b *WriteBatch) addPlacementPage(w *placementPageWrite) {
	key := jobstore.PlacementPageKey(w.page.number)
	op := wire.Op{Put: key, Value: w.record}
	if len(w.record.Chunks) == 0 {
		op = wire.Op{Delete: key}
	}
	for _, guard := range w.guards {
		b.addGuard(guard)
	}
	b.addGuard(wire.Guard{Key: key, Version: w.page.version})
	b.addOp(op, w.recordBytes)
	b.placementPages[key] = w.page
	b.units = append(b.units, w.page)
	for k, j := range w.jobs {
		b.jobs[k] = j
	}
	b.placesTasks = b.placesTasks || w.placesTasks
	b.commitHooks = append(b.commitHooks, w.applyCommit)
}

// applyCommit applies the commit of the write at the given revision.
func (w *placementPageWrite) applyCommit(rev uint64, _ time.Time) {
	w.page.version, w.page.committedGeneration = rev, w.generation
	if len(w.record.Chunks) == 0 {
		w.page.version = 0 // deleted
	}
	for _, c := range w.chunks {
		c.chunk.commit(c.generation)
	}
}

// chunkRecord returns the record of chunk n: where its tasks are placed, and which are done.
func (j *Job) chunkRecord(n int) jobstore.PlacementChunk {
	rec := jobstore.PlacementChunk{Job: j.ID, Chunk: n, MaxAttempt: j.lastAttempt}
	first := n * jobstore.ChunkSize
	end := min(first+jobstore.ChunkSize, len(j.Tasks))
	rec.Reserved, rec.Outcomes, rec.Stopping = j.reservation != nil, j.endedTasks(first, end), j.stoppingTasks(first, end)
	for i := first; i < end; i++ {
		switch t := &j.Tasks[i]; t.Phase {
		case TaskDone:
			if k := len(rec.DoneRanges); k > 0 && rec.DoneRanges[k-1] == i-1 {
				rec.DoneRanges[k-1] = i
			} else {
				rec.DoneRanges = append(rec.DoneRanges, i, i)
			}
		case TaskPlaced:
			rec.Placements = append(rec.Placements, j.placementRecord(i))
		}
	}
	return rec
}

// placementRecord returns the record of a placed task's placement.
func (j *Job) placementRecord(task int) jobstore.Placement {
	p := j.Tasks[task].Placement
	return jobstore.Placement{Task: task, Attempt: p.Attempt, Machine: p.machineName}
}
