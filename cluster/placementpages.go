package cluster

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
)

// placementPage is a key of the key-value store that holds placement records of several
// jobs.
type placementPage struct {
	number              int
	version             uint64 // of the key; 0 if it is not in the store
	generation          uint64 // counts changes
	committedGeneration uint64 // the last change that is in the store
	chunks              []chunkRef
	unreadChunks        []jobstore.PlacementChunk // of jobs whose records can't be read
	size                int                       // the most bytes that its records take
}

// setVersion records the version at which the page was read from the store.
func (p *placementPage) setVersion(version uint64) { p.version = version }

// resolveConflict records the version that the page's key turned out to have after a conflict. The
// page is to be written again, also where it was to be deleted.
func (p *placementPage) resolveConflict(version uint64) {
	p.version = version
	p.generation++
}

// chunkRef is a chunk of a job, by its number.
type chunkRef struct {
	job   *Job
	chunk int
}

func (r chunkRef) get() *Chunk { return &r.job.Chunks[r.chunk] }

// isChanged reports whether the page is to be written.
func (p *placementPage) isChanged() bool { return p.generation != p.committedGeneration }

// hasNewPlacements reports whether the page is to be written with placements that are not in
// the store yet.
func (p *placementPage) hasNewPlacements() bool {
	return slices.ContainsFunc(p.chunks, func(r chunkRef) bool { return r.get().HasNewPlacements() })
}

// unreadablePageSize is the size that a page counts with if it can't be read, so that no
// chunk is put on it.
const unreadablePageSize = 1 << 30

// placementPages are the pages of placement records, by their numbers.
type placementPages struct {
	limits             writeLimits
	pages              []*placementPage
	next               int // changed pages are written in turn from here on
	longestMachineName int // bounds the size of placement records
}

// observeMachineName takes a machine's name into account for the size of records.
func (s *placementPages) observeMachineName(name string) {
	s.longestMachineName = max(s.longestMachineName, len(name))
}

// maxChunks bounds the chunks of a page, so that the conditions for all of them fit into one
// transaction.
func (s *placementPages) maxChunks() int {
	return s.limits.maxGuards() - 1 - 2*maxFinalRecordsWithPlacements
}

// at returns the page of that number and makes it if need be.
func (s *placementPages) at(number int) *placementPage {
	for len(s.pages) <= number {
		s.pages = append(s.pages, &placementPage{number: len(s.pages)})
	}
	return s.pages[number]
}

// assign puts a chunk on the first page with room for all that may ever be recorded of its
// tasks, so that it never has to move. If no page has room, it adds one.
func (s *placementPages) assign(j *Job, n int) {
	size := s.chunkSize(j, n)
	for _, p := range s.pages {
		if p.size+size <= s.limits.maxValueBytes() && len(p.chunks)+len(p.unreadChunks) < s.maxChunks() {
			s.put(p, j, n)
			return
		}
	}
	s.put(s.at(len(s.pages)), j, n)
}

// put puts a chunk on a page, and takes it off the page that it is on.
func (s *placementPages) put(p *placementPage, j *Job, n int) {
	c := &j.Chunks[n]
	s.remove(c)
	c.page, c.size = p, s.chunkSize(j, n)
	p.chunks = append(p.chunks, chunkRef{j, n})
	p.size += c.size
}

// remove takes a chunk off the page that it is on, if any.
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

// preserve keeps a chunk on its page as it was read, because the record of its job can't be
// read.
func (s *placementPages) preserve(p *placementPage, c *jobstore.PlacementChunk) {
	p.unreadChunks = append(p.unreadChunks, *c)
	p.size += s.unreadChunkSize(c)
}

// markUnreadable leaves a page that can't be read as it is in the store.
func (s *placementPages) markUnreadable(number int, version uint64) {
	p := s.at(number)
	p.version, p.size = version, unreadablePageSize
}

// chunkSize is the most bytes that a chunk's record takes, in the form in which the
// key-value service counts them.
func (s *placementPages) chunkSize(j *Job, n int) int {
	tasks := min(jobstore.ChunkSize, len(j.Tasks)-n*jobstore.ChunkSize)
	return 80 + len(j.ID) + tasks*(22+max(s.longestMachineName, 12))
}

// unreadChunkSize is about the most bytes that a preserved chunk takes, counted likewise.
func (s *placementPages) unreadChunkSize(c *jobstore.PlacementChunk) int {
	return 80 + len(c.Job) + (22+max(s.longestMachineName, 18))*len(c.Placements) + 8*len(c.DoneRanges)
}

// pending returns how many pages are to be written.
func (s *placementPages) pending() int {
	n := 0
	for _, p := range s.pages {
		if p.isChanged() {
			n++
		}
	}
	return n
}

// changed lists the pages to be written: those with new placements, and the others.
func (s *placementPages) changed() (placing, others []*placementPage) {
	for i := range s.pages {
		p := s.pages[(i+s.next)%len(s.pages)]
		switch {
		case !p.isChanged():
		case p.hasNewPlacements():
			placing = append(placing, p)
		default:
			others = append(others, p)
		}
	}
	return placing, others
}

// rotate makes changed begin with the next page, so that no page waits for long when not all
// of them fit into a batch.
func (s *placementPages) rotate() { s.next++ }
