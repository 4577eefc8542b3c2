// Distributes the placement records of jobs over pages, each of which is the value of one key of
// the key-value store.

package cluster

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
)

// placementPage is the value of one key of the key-value store. It holds placement records of
// several jobs.
type placementPage struct {
	number              int
	version             uint64 // of the key; 0 if it is not in the store
	generation          uint64 // number of changes
	committedGeneration uint64 // the last change that is in the store
	chunks              []chunkRef
	unreadChunks        []jobstore.PlacementChunk // of jobs whose records can't be read; kept as they are
	size                int                       // upper bound of the bytes that its records take
	deferred            bool                      // batches leave it out (see rejectedWrites)
}

// setVersion sets the version that the page has in the store.
func (p *placementPage) setVersion(version uint64) { p.version = version }

// resolveConflict sets the version that the store reports for the page's key after a conflict.
// The page is to be written again, or deleted again if it is empty.
func (p *placementPage) resolveConflict(version uint64) {
	p.version = version
	p.generation++
}

// chunkRef refers to a chunk of a job by its number.
type chunkRef struct {
	job   *Job
	chunk int
}

// get returns the chunk.
func (r chunkRef) get() *Chunk { return &r.job.Chunks[r.chunk] }

// isChanged reports whether the page has uncommitted changes.
func (p *placementPage) isChanged() bool { return p.generation != p.committedGeneration }

// isPending reports whether the page is to be written with the next batches.
func (p *placementPage) isPending() bool { return p.isChanged() && !p.deferred }

// hasNewPlacements reports whether the page has placements that are not committed yet.
func (p *placementPage) hasNewPlacements() bool {
	return slices.ContainsFunc(p.chunks, func(r chunkRef) bool { return r.get().HasNewPlacements() })
}

// Sizes of parts of a chunk's record, in bytes as the key-value service counts them.
const (
	chunkRecordBytes    = 80 // without the job id and the tasks
	taskRecordBytes     = 22 // of one task, without the machine name
	minMachineNameBytes = 12 // least length that a machine name counts with
)

// unreadablePageSize is the assumed size of a page that can't be read. It is so large that no
// chunk is put on the page.
const unreadablePageSize = 1 << 30

// placementPages are all pages of placement records.
type placementPages struct {
	limits             writeLimits
	pages              []*placementPage // by number
	next               int              // page from which changed lists pages
	longestMachineName int              // length in bytes; bounds the size of placement records
}

// observeMachineName updates longestMachineName, and with it the sizes of all chunks.
func (s *placementPages) observeMachineName(name string) {
	if len(name) <= s.longestMachineName {
		return
	}
	s.longestMachineName = len(name)
	for _, p := range s.pages {
		for _, r := range p.chunks {
			c := r.get()
			p.size -= c.size
			c.size = s.chunkSize(r.job, r.chunk)
			p.size += c.size
		}
	}
}

// maxChunks returns the most chunks that a page may have. The conditions for all chunks of a
// page must fit into one transaction.
func (s *placementPages) maxChunks() int {
	return s.limits.maxGuards() - 1 - 2*maxFinalRecordsWithPlacements
}

// findOrAdd returns the page with the given number. It adds missing pages up to that number.
func (s *placementPages) findOrAdd(number int) *placementPage {
	for len(s.pages) <= number {
		s.pages = append(s.pages, &placementPage{number: len(s.pages)})
	}
	return s.pages[number]
}

// assign puts chunk n of a job on the first page that has room for the chunk's maximal size, so
// that the chunk never has to move. It adds a page if none has room. It does not use pages that the
// store rejects.
func (s *placementPages) assign(j *Job, n int) {
	size := s.chunkSize(j, n)
	for _, p := range s.pages {
		if !p.deferred && p.size+size <= s.limits.maxValueBytes() && len(p.chunks)+len(p.unreadChunks) < s.maxChunks() {
			s.put(p, j, n)
			return
		}
	}
	s.put(s.findOrAdd(len(s.pages)), j, n)
}

// put moves chunk n of a job to a page.
func (s *placementPages) put(p *placementPage, j *Job, n int) {
	c := &j.Chunks[n]
	s.remove(c)
	c.page, c.size = p, s.chunkSize(j, n)
	p.chunks = append(p.chunks, chunkRef{j, n})
	p.size += c.size
}

// remove removes a chunk from its page, if it is on one.
func (s *placementPages) remove(c *Chunk) {
	p := c.page
	if p == nil {
		return
	}
	p.chunks = slices.DeleteFunc(p.chunks, func(r chunkRef) bool { return r.get() == c })
	p.size -= c.size
	p.generation++
	c.page = nil
}

// preserve keeps a chunk on its page exactly as it was read. It is used if the record of the
// chunk's job can't be read.
func (s *placementPages) preserve(p *placementPage, c *jobstore.PlacementChunk) {
	p.unreadChunks = append(p.unreadChunks, *c)
	p.size += c.Size()
}

// markUnreadable records that a page can't be read. The page is left unchanged in the store.
func (s *placementPages) markUnreadable(number int, version uint64) {
	p := s.findOrAdd(number)
	p.version, p.size = version, unreadablePageSize
}

// chunkSize returns an upper bound of the size of a chunk's record, in bytes as the key-value
// service counts them.
func (s *placementPages) chunkSize(j *Job, n int) int {
	tasks := min(jobstore.ChunkSize, len(j.Tasks)-n*jobstore.ChunkSize)
	return chunkRecordBytes + len(j.ID) + tasks*(taskRecordBytes+max(s.longestMachineName, minMachineNameBytes))
}

// pending returns the number of pages that are to be written.
func (s *placementPages) pending() int {
	n := 0
	for _, p := range s.pages {
		if p.isPending() {
			n++
		}
	}
	return n
}

// changed returns the pages that are to be written, separated into those with new placements
// and the others. Both lists begin with the page that rotate has chosen.
func (s *placementPages) changed() (placing, others []*placementPage) {
	for i := range s.pages {
		p := s.pages[(i+s.next)%len(s.pages)]
		switch {
		case !p.isPending():
		case p.hasNewPlacements():
			placing = append(placing, p)
		default:
			others = append(others, p)
		}
	}
	return placing, others
}

// rotate advances the page from which changed lists pages. No page waits for long then, even if
// the changed pages don't all fit into one batch.
func (s *placementPages) rotate() { s.next++ }
