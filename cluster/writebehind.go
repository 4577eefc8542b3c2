package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// WriteBatch is a transaction of the leader. The controller adds the guard on the
// leader key.
type WriteBatch struct {
	Guards []wire.Guard
	Ops    []wire.Op
	// OnCommit takes the revision in after a success.
	OnCommit  func(rev uint64, now time.Time)
	HeldStops int // that go out once it is committed

	placementPages    map[string]*placementPage
	jobs              map[string]*Job
	notes             map[string]*planRecord
	placesTasks       bool // tasks, by the plan
	admissionRemovals map[*admissionPage]*admissionRemoval
	commitHooks       []func(rev uint64, now time.Time)
	bytes             int
}

// placementPage is a key of the state service on which placement records of several
// jobs stand.
type placementPage struct {
	number              int
	version             uint64
	generation          uint64 // counts changes
	committedGeneration uint64 // the last change that is in the store
	chunks              []chunkRef
	unreadChunks        []jobstore.PlacementChunk // of jobs whose records can't be read
	size                int                       // the most bytes that its records take
}

type chunkRef struct {
	job   *Job
	chunk int
}

const (
	// maxBatchBytes keeps a transaction well below the service's limit of 64 KiB.
	maxBatchBytes = 48 << 10
	// maxFinalsWithPlacements bounds the jobs that are ended by a transaction that also
	// places tasks, so that the conditions of both fit.
	maxFinalsWithPlacements = 4
)

// maxGuards is how many conditions a transaction may have, the leader key's and
// the plan's left out.
func (m *Model) maxGuards() int {
	ops := m.settings.Cluster.State.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return 4*ops - 2
}

// pageBytes and pageChunks bound a page, so that whatever becomes of its
// records it fits into a value, and their conditions into a transaction.
func (m *Model) pageBytes() int {
	kb := m.settings.Cluster.State.ValueKB
	if kb <= 0 {
		kb = 16
	}
	return int(kb*1024) - 256
}

func (m *Model) pageChunks() int { return m.maxGuards() - 1 - 2*maxFinalsWithPlacements }

// assignPage gives a chunk the first page with room for all that may ever be
// said of its tasks, so that it never has to move.
func (m *Model) assignPage(j *Job, n int) {
	size := m.chunkSize(j, n)
	for _, p := range m.pages {
		if p.size+size <= m.pageBytes() && len(p.chunks)+len(p.unreadChunks) < m.pageChunks() {
			m.putOnPlacementPage(p, j, n)
			return
		}
	}
	p := &placementPage{number: len(m.pages)}
	m.pages = append(m.pages, p)
	m.putOnPlacementPage(p, j, n)
}

// chunkSize is the most bytes that a chunk's record takes, in the form in
// which the service counts them.
func (m *Model) chunkSize(j *Job, n int) int {
	tasks := min(jobstore.ChunkSize, len(j.Tasks)-n*jobstore.ChunkSize)
	return 80 + len(j.ID) + tasks*(22+max(m.longestMachineName, 12))
}

func (m *Model) putOnPlacementPage(p *placementPage, j *Job, n int) {
	c := &j.Chunks[n]
	m.takeOffPlacementPage(c) // a chunk stands on one page only
	c.page, c.size = p, m.chunkSize(j, n)
	p.chunks = append(p.chunks, chunkRef{j, n})
	p.size += c.size
}

func (m *Model) takeOffPlacementPage(c *Chunk) {
	p := c.page
	if p == nil {
		return
	}
	p.chunks = slices.DeleteFunc(p.chunks, func(r chunkRef) bool { return &r.job.Chunks[r.chunk] == c })
	p.size -= c.size
	p.generation++
	c.page = nil
}

// PendingWrites is how many puts and deletes the next batch would like to have.
func (m *Model) PendingWrites() int {
	n := 0
	for _, idx := range m.dirtyJobs {
		if j := m.Jobs[idx]; j != nil && j.awaitsFinalRecord() {
			n += 2
		}
	}
	for _, p := range m.pages {
		if p.generation != p.committedGeneration {
			n++
		}
	}
	if n == 0 && len(m.dirtyJobs) > 0 {
		return 1 // nothing to write, but jobs to be dropped
	}
	return n
}

// AllWritesIssued says whether all changes have been handed out to be written.
func (m *Model) AllWritesIssued() bool { return m.PendingWrites() == 0 }

// awaitsFinalRecord says whether a job is done and its end is to be committed.
func (j *Job) awaitsFinalRecord() bool {
	return j.DoneTasks == len(j.Tasks) && !j.Cancelled && !j.Finished
}

// NextBatch collects changed records, at most maxOps of them. Users wait for
// the ends of jobs, and machines for placements: these come first.
func (m *Model) NextBatch(maxOps int) *WriteBatch {
	b := &WriteBatch{placementPages: map[string]*placementPage{}, jobs: map[string]*Job{}}
	fresh, other := m.changedPages()
	dones := maxOps
	if len(fresh) > 0 {
		dones = maxFinalsWithPlacements
	}
	left := m.dirtyJobs[:0]
	for _, idx := range m.dirtyJobs {
		j := m.Jobs[idx]
		switch {
		case j == nil:
			continue
		case j.Finished || j.Cancelled && j.PlacedTasks == 0:
			m.dropJob(j)
			continue
		case j.awaitsFinalRecord():
			if dones == 0 || len(b.Ops)+2 > maxOps || len(b.Guards)+2 > m.maxGuards() || !m.addFinalRecord(b, j) {
				left = append(left, idx)
				continue
			}
			dones--
		}
		j.dirty = false
	}
	m.dirtyJobs = left
	for _, p := range append(fresh, other...) {
		if len(b.Ops) >= maxOps {
			break
		}
		m.addPlacementPage(b, p)
	}
	m.nextPageToWrite++
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

// runCommitHooks takes in that a batch is in the store.
func (b *WriteBatch) runCommitHooks(rev uint64, now time.Time) {
	for _, f := range b.commitHooks {
		f(rev, now)
	}
}

// changedPages lists the pages to be written: those with new placements, and
// the others. Each begins elsewhere every time, so that none is left out for
// long where not all can be written.
func (m *Model) changedPages() (fresh, other []*placementPage) {
	for i := range m.pages {
		p := m.pages[(i+m.nextPageToWrite)%len(m.pages)]
		switch {
		case p.generation == p.committedGeneration:
		case slices.ContainsFunc(p.chunks, func(r chunkRef) bool { c := &r.job.Chunks[r.chunk]; return c.PlacedGen > c.CommittedGen }):
			fresh = append(fresh, p)
		default:
			other = append(other, p)
		}
	}
	return fresh, other
}

// addFinalRecord ends a job, if its page fits in beside what is there already.
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
		b.Guards = append(b.Guards, wire.Guard{Key: jobstore.JobKey(j.ID), Version: j.Version})
		b.Ops = append(b.Ops, wire.Op{Delete: jobstore.JobKey(j.ID)})
	}
	b.Guards = append(b.Guards, wire.Guard{Key: jobstore.FinalKey(j.ID)})
	b.Ops = append(b.Ops, wire.Op{Put: jobstore.FinalKey(j.ID), Value: rec})
	b.jobs[jobstore.JobKey(j.ID)] = j
	b.bytes += 1000
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) {
		j.Finished = true
		m.log.Info("job done", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		m.dropJob(j)
	})
	return true
}

// addPlacementPage adds a page, if it fits in beside what is there already.
func (m *Model) addPlacementPage(b *WriteBatch, p *placementPage) {
	type written struct {
		c   *Chunk
		gen uint64
	}
	var (
		rec    jobstore.PlacementPage
		chunks []written
		guards []wire.Guard
		bytes  = 200
	)
	jobs, places := map[string]*Job{}, false
	for i := range p.unreadChunks {
		rec.Chunks = append(rec.Chunks, p.unreadChunks[i])
		bytes += m.keptChunkSize(&p.unreadChunks[i])
	}
	for _, r := range p.chunks {
		c := &r.job.Chunks[r.chunk]
		cr := r.job.chunkRecord(r.chunk)
		rec.Chunks = append(rec.Chunks, cr)
		chunks = append(chunks, written{c, c.Generation})
		bytes += 60 + len(r.job.ID) + (20+m.longestMachineName)*len(cr.Placements) + 5*len(cr.DoneRanges)
		key := jobstore.JobKey(r.job.ID)
		places = places || c.PlacedGen > c.CommittedGen
		if c.PlacedGen > c.CommittedGen && !r.job.Cancelled && b.jobs[key] == nil && jobs[key] == nil {
			// A placement is only good for a job that is still wanted. A page that
			// the job shares changes with others, too: there it must not be over.
			if r.job.admissionPage != nil {
				guards = append(guards, wire.Guard{Key: jobstore.FinalKey(r.job.ID)})
			} else {
				guards = append(guards, wire.Guard{Key: key, Version: r.job.Version})
			}
			jobs[key] = r.job
			bytes += 60
		}
	}
	if len(b.Ops) > 0 && (b.bytes+bytes > maxBatchBytes || len(b.Guards)+len(guards)+1 > m.maxGuards()) {
		return
	}
	key := jobstore.PlacementPageKey(p.number)
	op := wire.Op{Put: key, Value: rec}
	if len(rec.Chunks) == 0 {
		op = wire.Op{Delete: key}
		if p.version == 0 {
			p.committedGeneration = p.generation // it was never written
			return
		}
	}
	b.Guards = append(append(b.Guards, guards...), wire.Guard{Key: key, Version: p.version})
	b.Ops = append(b.Ops, op)
	b.placementPages[key] = p
	for k, j := range jobs {
		b.jobs[k] = j
	}
	b.placesTasks = b.placesTasks || places
	b.bytes += bytes
	gen := p.generation
	b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) {
		p.version, p.committedGeneration = rev, gen
		if op.Delete != "" {
			p.version = 0
		}
		for _, w := range chunks {
			w.c.CommittedGen = max(w.c.CommittedGen, w.gen)
		}
	})
}

// RequeueBatch puts a batch's jobs back among those to be written; its pages still
// are.
func (m *Model) RequeueBatch(b *WriteBatch) {
	for _, j := range b.jobs {
		m.markDirty(j)
	}
}

// ResolveConflict takes in what a key's version turned out to be after a conflict. The
// leader is the only writer of its placement records, so an unexpected version
// is that of a transaction of its own whose answer was lost; what is in the
// model is newer.
func (m *Model) ResolveConflict(b *WriteBatch, key string, version uint64) {
	if p := b.placementPages[key]; p != nil {
		p.version = version
		p.generation++ // also where it was to be deleted
	}
	if x := b.notes[key]; x != nil {
		x.version = version
	}
}

// IsJobKey says whether a key of the batch is that of active jobs.
func (b *WriteBatch) IsJobKey(key string) bool {
	_, ok := jobstore.ParseJobKey(key)
	return ok || jobstore.IsJobPageKey(key)
}

// dropJob drops a job that is over. Its records leave their pages with the
// pages' next change; a leader that finds them sees that the job is over.
func (m *Model) dropJob(j *Job) {
	if m.Jobs[j.Index] == nil || j.PlacedTasks > 0 {
		return
	}
	if j.Finished {
		m.recordWindowCompletion(j)
	}
	for n := range j.Chunks {
		m.takeOffPlacementPage(&j.Chunks[n])
	}
	m.Jobs[j.Index] = nil
	delete(m.jobIndex, j.ID)
}

func (j *Job) chunkRecord(n int) jobstore.PlacementChunk {
	rec := jobstore.PlacementChunk{Job: j.ID, Chunk: n, MaxAttempt: j.LastAttempt}
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

// sortedRefs lists refs in an order that does not depend on the map's.
func sortedRefs(set map[TaskRef]bool) []TaskRef { return sortRefs(set, make([]TaskRef, 0, len(set))) }

func sortRefs(set map[TaskRef]bool, out []TaskRef) []TaskRef {
	for r := range set {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b TaskRef) int {
		if a.Job != b.Job {
			return int(a.Job - b.Job)
		}
		return int(a.Task - b.Task)
	})
	return out
}
