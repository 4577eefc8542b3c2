package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// placementPage is a key of the key-value store that holds placement records of several
// jobs.
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
