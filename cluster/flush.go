package cluster

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/wire"
)

// Batch is a transaction of the leader. The controller adds the guard on the
// leader key.
type Batch struct {
	Guards []wire.Guard
	Ops    []wire.Op
	// Committed takes the revision in after a success.
	Committed func(rev uint64, now time.Time)
	// Conflicts are what to do about keys whose condition failed.
	chunks map[string]chunkRef
	jobs   map[string]*Job
}

type chunkRef struct {
	j *Job
	n int
}

// maxBytes keeps a transaction well below the service's limit of 64 KiB.
const maxBytes = 40 << 10

// NextBatch collects changed records, at most maxOps of them.
func (m *Model) NextBatch(maxOps int) *Batch {
	b := &Batch{chunks: map[string]chunkRef{}, jobs: map[string]*Job{}}
	var done []func(rev uint64, now time.Time)
	left := m.dirty[:0]
	bytes := 0
	full := false
	for _, idx := range m.dirty {
		j := m.Jobs[idx]
		if j == nil {
			continue
		}
		if full {
			left = append(left, idx)
			continue
		}
		more, f := m.batchJob(b, j, maxOps, &bytes)
		if f != nil {
			done = append(done, f)
		}
		if more {
			left = append(left, idx)
			full = true
			continue
		}
		j.dirty = false
	}
	m.dirty = left
	if len(b.Ops) == 0 {
		return nil
	}
	b.Committed = func(rev uint64, now time.Time) {
		for _, f := range done {
			f(rev, now)
		}
	}
	return b
}

// Clean says whether all changes have been handed out to be written.
func (m *Model) Clean() bool { return len(m.dirty) == 0 }

// Failed puts a batch's jobs back among those to be written.
func (m *Model) Failed(b *Batch) {
	for _, c := range b.chunks {
		m.markDirty(c.j)
	}
	for _, j := range b.jobs {
		m.markDirty(j)
	}
}

// Reread takes in what a key's version turned out to be after a conflict. The
// leader is the only writer of its placement records, so an unexpected version
// is that of a transaction of its own whose answer was lost; what is in the
// model is newer.
func (m *Model) Reread(b *Batch, key string, version uint64) {
	if c, ok := b.chunks[key]; ok {
		c.j.Chunks[c.n].Version = version
		c.j.Chunks[c.n].Exists = version != 0
	}
}

// IsJob says whether a key of the batch is that of an active job.
func (b *Batch) IsJob(key string) bool {
	_, ok := ledger.ParseJobKey(key)
	return ok
}

// batchJob adds a job's changes to the batch, and says whether more are left.
func (m *Model) batchJob(b *Batch, j *Job, maxOps int, bytes *int) (more bool, committed func(uint64, time.Time)) {
	if j.Done == len(j.Tasks) && !j.Cancelled && !j.Finished {
		if len(b.Ops)+2 > maxOps {
			return true, nil
		}
		rec := ledger.JobRecord{Job: j.Spec, AtMs: j.At.UnixMilli(), State: wire.JobDone}
		b.Guards = append(b.Guards, wire.Guard{Key: ledger.JobKey(j.ID), Version: j.Version}, wire.Guard{Key: ledger.FinalKey(j.ID)})
		b.Ops = append(b.Ops, wire.Op{Delete: ledger.JobKey(j.ID)}, wire.Op{Put: ledger.FinalKey(j.ID), Value: rec})
		b.jobs[ledger.JobKey(j.ID)] = j
		*bytes += 1000
		more, rest := m.removeChunks(b, j, maxOps)
		return more, func(rev uint64, now time.Time) {
			j.Finished = true
			m.log.Info("job done", "id", j.ID, "sinceAccept", now.Sub(j.At).Round(time.Millisecond).Seconds())
			rest(rev, now)
		}
	}
	if j.Finished || j.Cancelled && j.Placed == 0 {
		return m.removeChunks(b, j, maxOps)
	}
	var refs []int
	var gens []uint64
	guarded := false
	for n := range j.Chunks {
		c := &j.Chunks[n]
		if c.Gen == c.Committed {
			continue
		}
		if len(b.Ops)+1 > maxOps || *bytes > maxBytes || len(b.Guards)+3 > 3*maxOps {
			more = true
			break
		}
		rec := j.chunkRecord(n)
		if c.PlaceGen > c.Committed && !j.Cancelled && !guarded {
			// A placement is only good for a job that is still wanted.
			guarded = true
			b.Guards = append(b.Guards, wire.Guard{Key: ledger.JobKey(j.ID), Version: j.Version})
			b.jobs[ledger.JobKey(j.ID)] = j
		}
		key := ledger.ChunkKey(j.ID, n)
		b.Guards = append(b.Guards, wire.Guard{Key: key, Version: c.Version})
		b.Ops = append(b.Ops, wire.Op{Put: key, Value: rec})
		b.chunks[key] = chunkRef{j, n}
		*bytes += 120 + 48*len(rec.Placed) + 8*len(rec.Done)
		refs, gens = append(refs, n), append(gens, c.Gen)
	}
	return more, func(rev uint64, now time.Time) {
		for i, n := range refs {
			c := &j.Chunks[n]
			c.Version, c.Exists, c.Committed = rev, true, gens[i]
		}
	}
}

func (m *Model) removeChunks(b *Batch, j *Job, maxOps int) (more bool, committed func(uint64, time.Time)) {
	var refs []int
	left := 0
	for n := range j.Chunks {
		c := &j.Chunks[n]
		if !c.Exists && c.Version == 0 && c.Gen == 0 {
			continue
		}
		if !c.Exists {
			continue
		}
		if len(b.Ops)+1 > maxOps || len(b.Guards)+3 > 3*maxOps {
			left++
			continue
		}
		key := ledger.ChunkKey(j.ID, n)
		b.Guards = append(b.Guards, wire.Guard{Key: key, Version: c.Version})
		b.Ops = append(b.Ops, wire.Op{Delete: key})
		b.chunks[key] = chunkRef{j, n}
		refs = append(refs, n)
	}
	if left == 0 && len(refs) == 0 {
		// A record that may have been written by a lost transaction is found
		// by the next leader, and removed there.
		over := j.Finished || j.Cancelled
		if over {
			m.forget(j)
		}
		return false, func(uint64, time.Time) {
			if !over {
				m.forget(j)
			}
		}
	}
	return left > 0, func(rev uint64, now time.Time) {
		for _, n := range refs {
			j.Chunks[n].Exists = false
			j.Chunks[n].Version = 0
		}
		if left == 0 {
			m.forget(j)
		} else {
			m.markDirty(j)
		}
	}
}

func (m *Model) forget(j *Job) {
	if m.Jobs[j.Idx] == nil || j.Placed > 0 {
		return
	}
	m.Jobs[j.Idx] = nil
	delete(m.jobIdx, j.ID)
}

func (j *Job) chunkRecord(n int) ledger.ChunkRecord {
	rec := ledger.ChunkRecord{Attempt: j.Attempt}
	lo := n * ledger.ChunkSize
	hi := min(lo+ledger.ChunkSize, len(j.Tasks))
	for i := lo; i < hi; i++ {
		switch t := &j.Tasks[i]; t.Phase {
		case Done:
			if k := len(rec.Done); k > 0 && rec.Done[k-1] == i-1 {
				rec.Done[k-1] = i
			} else {
				rec.Done = append(rec.Done, i, i)
			}
		case Placed:
			rec.Placed = append(rec.Placed, j.placement(i))
		}
	}
	return rec
}

func (j *Job) placement(i int) ledger.Placement {
	return ledger.Placement{Task: i, Attempt: j.Tasks[i].Place.Attempt, Machine: j.Tasks[i].Place.name}
}

// sortedRefs lists refs in an order that does not depend on the map's.
func sortedRefs(set map[Ref]bool) []Ref {
	out := make([]Ref, 0, len(set))
	for r := range set {
		out = append(out, r)
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].Job != out[b].Job {
			return out[a].Job < out[b].Job
		}
		return out[a].Task < out[b].Task
	})
	return out
}
