package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file writes placement pages: their records, and the conditions of these.

const (
	// placementPageBytes is what is allowed in a batch for a page without its chunks.
	placementPageBytes = 200
	// jobGuardBytes is what is allowed for the condition on a job's record.
	jobGuardBytes = 60
)

// placementPageWrite is a placement page as it is about to be written.
type placementPageWrite struct {
	page        *placementPage
	generation  uint64 // of the page
	record      jobstore.PlacementPage
	chunks      []chunkWrite
	jobs        map[string]*Job // by keys: those on whose records the guards are
	guards      []wire.Guard    // that the jobs of new placements are still active
	placesTasks bool            // there are new placements
	bytes       int
}

// chunkWrite is a chunk as it is about to be written.
type chunkWrite struct {
	chunk      *Chunk
	generation uint64
}

// addTo adds a page to a batch, if it fits beside what the batch holds already. An empty page
// that is not in the store is not written and counts as committed.
func (s *placementPages) addTo(b *WriteBatch, p *placementPage) {
	w := s.prepare(b, p)
	if len(b.Ops) > 0 && (b.bytes+w.bytes > maxBatchBytes || len(b.Guards)+len(w.guards)+1 > s.limits.maxGuards()) {
		return
	}
	if len(w.record.Chunks) == 0 && p.version == 0 {
		p.committedGeneration = p.generation // it was never written
		return
	}
	b.addPlacementPage(w)
}

// prepare makes the record of a page and its conditions, apart from those that the batch has
// already.
func (s *placementPages) prepare(b *WriteBatch, p *placementPage) *placementPageWrite {
	w := &placementPageWrite{page: p, generation: p.generation, jobs: map[string]*Job{}, bytes: placementPageBytes}
	for i := range p.unreadChunks {
		w.record.Chunks = append(w.record.Chunks, p.unreadChunks[i])
		w.bytes += s.unreadChunkSize(&p.unreadChunks[i])
	}
	for _, r := range p.chunks {
		c := r.get()
		record := r.job.chunkRecord(r.chunk)
		w.record.Chunks = append(w.record.Chunks, record)
		w.chunks = append(w.chunks, chunkWrite{c, c.generation})
		w.bytes += 60 + len(r.job.ID) + (20+s.longestMachineName)*len(record.Placements) + 5*len(record.DoneRanges)
		if c.HasNewPlacements() {
			w.placesTasks = true
			w.guardJob(b, r.job)
		}
	}
	return w
}

// guardJob adds the condition that a job is still active, since a placement must not be
// committed after the job's cancellation. An admission page changes with the other jobs on
// it too, so that for a job on one the condition is that it has no final record.
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
	w.bytes += jobGuardBytes
}

// addPlacementPage adds the write of a page, or its deletion if nothing is left on it.
func (b *WriteBatch) addPlacementPage(w *placementPageWrite) {
	key := jobstore.PlacementPageKey(w.page.number)
	op := wire.Op{Put: key, Value: w.record}
	if len(w.record.Chunks) == 0 {
		op = wire.Op{Delete: key}
	}
	b.Guards = append(append(b.Guards, w.guards...), wire.Guard{Key: key, Version: w.page.version})
	b.Ops = append(b.Ops, op)
	b.placementPages[key] = w.page
	for k, j := range w.jobs {
		b.jobs[k] = j
	}
	b.placesTasks = b.placesTasks || w.placesTasks
	b.bytes += w.bytes
	b.commitHooks = append(b.commitHooks, w.applyCommit)
}

// applyCommit applies the commit of the write.
func (w *placementPageWrite) applyCommit(rev uint64, _ time.Time) {
	w.page.version, w.page.committedGeneration = rev, w.generation
	if len(w.record.Chunks) == 0 {
		w.page.version = 0 // deleted
	}
	for _, c := range w.chunks {
		c.chunk.commit(c.generation)
	}
}

// chunkRecord makes the record of a chunk: where its tasks are placed, and which are done.
func (j *Job) chunkRecord(n int) jobstore.PlacementChunk {
	rec := jobstore.PlacementChunk{Job: j.ID, Chunk: n, MaxAttempt: j.lastAttempt}
	lo := n * jobstore.ChunkSize
	hi := min(lo+jobstore.ChunkSize, len(j.Tasks))
	rec.Reserved, rec.Outcomes, rec.Stopping = j.reservation != nil, j.endedTasks(lo, hi), j.stoppingTasks(lo, hi)
	for i := lo; i < hi; i++ {
		switch t := &j.Tasks[i]; t.Phase {
		case TaskDone:
			if k := len(rec.DoneRanges); k > 0 && rec.DoneRanges[k-1] == i-1 {
				rec.DoneRanges[k-1] = i
			} else {
				rec.DoneRanges = append(rec.DoneRanges, i, i)
			}
		case TaskPlaced:
			rec.Placements = append(rec.Placements, j.placement(i))
		}
	}
	return rec
}

func (j *Job) placement(i int) jobstore.Placement {
	return jobstore.Placement{Task: i, Attempt: j.Tasks[i].Placement.Attempt, Machine: j.Tasks[i].Placement.machineName}
}
