package jobstore

import (
	"log/slog"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// index is the local copy of the records of unfinished jobs, as of revision. A Store's lock guards it.
// Changes of a key older than what it knows of it are passed over, so that they may come more than
// once and out of order.
type index struct {
	log *slog.Logger

	loaded   bool // all records have been read
	revision uint64

	schema           SchemaRecord
	schemaVersion    uint64 // the version of SchemaKey
	schemaUnreadable bool   // so that nothing is accepted here

	jobs           map[string]*activeJob
	jobPages       map[string]*jobPageState
	placementPages map[int]*placementPageState
	apps           *appIndex // nil: reservations are not tracked

	unreadablePages      map[string]unreadablePage // job pages
	unreadablePlacements map[int]uint64            // versions of unreadable placement pages
}

// activeJob is a job that has an active record, or placements, or both.
type activeJob struct {
	record     JobRecord
	version    uint64 // of the key on which the record stands; 0: there is no record
	pageKey    string // the job page on which the record stands; "": a key of its own
	unreadable bool   // what stands there can't be read
	chunks     map[int]chunkCounts
}

// chunkCounts is what a job's status needs of a chunk, and the page on which it stands.
type chunkCounts struct{ page, done, placed int }

// jobPageState is a job page as last read or written.
type jobPageState struct {
	version  uint64
	page     JobPage
	size     int
	openedAt uint64 // of an open head page: the version by which it was known to be open
}

// isClosed reports whether a head page is closed; one that is not there is.
func (p *jobPageState) isClosed() bool { return p == nil || p.version == 0 || p.page.Closed }

// placementPageState names the chunks that stand on a placement page.
type placementPageState struct {
	version uint64
	chunks  []chunkID
}

type chunkID struct {
	job   string
	chunk int
}

func newIndex(log *slog.Logger) index {
	return index{log: log, unreadablePages: map[string]unreadablePage{}, unreadablePlacements: map[int]uint64{}}
}

// reset replaces the index by a listing.
func (x *index) reset(entries []wire.Entry, revision uint64) {
	x.loaded, x.revision = true, revision
	x.jobs = map[string]*activeJob{}
	x.jobPages = map[string]*jobPageState{}
	x.placementPages = map[int]*placementPageState{}
	clear(x.unreadablePages)
	clear(x.unreadablePlacements)
	x.apps.reset()
	for _, e := range entries {
		x.applyPut(e.Key, e.Value, e.Version)
	}
}

// applyEvents takes changes in.
func (x *index) applyEvents(events wire.Events) {
	// A page may have changed many times since: only its last state counts.
	last := map[string]uint64{}
	for i := range events.Log {
		if e := &events.Log[i]; e.Delete == "" {
			last[e.Put] = max(last[e.Put], e.Version)
		}
	}
	for _, e := range events.Log {
		if e.Delete != "" {
			x.applyDelete(e.Delete, e.Version)
		} else if e.Version == last[e.Put] {
			x.applyPut(e.Put, e.Value, e.Version)
		}
	}
	x.revision = max(x.revision, events.Revision)
}

// applyPut takes in that a key was put.
func (x *index) applyPut(key string, value wire.Raw, version uint64) {
	switch {
	case IsJobPageKey(key):
		x.putJobPage(key, value, version)
	case strings.HasPrefix(key, JobPrefix):
		x.putJob(key, value, version)
	case key == SchemaKey:
		x.putSchema(value, version)
	case strings.HasPrefix(key, AppPrefix):
		x.apps.putApp(key, value, version)
	default:
		if page, ok := ParsePlacementPageKey(key); ok {
			x.putPlacementPage(key, page, value, version)
		}
	}
}

// applyDelete takes in that a key was deleted.
func (x *index) applyDelete(key string, version uint64) {
	switch {
	case IsJobPageKey(key):
		x.setJobPage(key, JobPage{}, version)
		if !IsHeadPageKey(key) && x.jobPages[key].version == version {
			delete(x.jobPages, key) // a sealed page's key is never used again
		}
	case strings.HasPrefix(key, JobPrefix):
		x.deleteJob(key[len(JobPrefix):], version)
	case strings.HasPrefix(key, AppPrefix):
		x.apps.deleteApp(key, version)
	default:
		if page, ok := ParsePlacementPageKey(key); ok {
			x.setPlacementPage(page, nil, version)
		}
	}
}

// putJob takes in the record of a job with a key of its own.
func (x *index) putJob(key string, value wire.Raw, version uint64) {
	id := key[len(JobPrefix):]
	j := x.job(id)
	if version <= j.version {
		return
	}
	record, err := DecodeJob(id, value)
	if err != nil {
		record = x.placeholder(key, id, err)
	}
	j.record, j.version, j.pageKey, j.unreadable = record, version, "", err != nil
	x.apps.putJob(id, &record)
}

// deleteJob takes in that a job no longer has a key of its own.
func (x *index) deleteJob(id string, version uint64) {
	j := x.jobs[id]
	if j == nil || j.version > version || j.pageKey != "" {
		return
	}
	j.version = 0
	x.apps.deleteJob(id, &j.record)
	x.dropIfUnused(id, j)
}

// putSchema takes in the version of the schema.
func (x *index) putSchema(value wire.Raw, version uint64) {
	if version <= x.schemaVersion {
		return
	}
	schema, err := DecodeSchema(value)
	if err != nil {
		x.logUnreadable(SchemaKey, err)
	}
	x.schema, x.schemaVersion, x.schemaUnreadable = schema, version, err != nil
}

// putJobPage takes in a job page, also one that can't be read or is quarantined.
func (x *index) putJobPage(key string, value wire.Raw, version uint64) {
	page, err := DecodeJobPage(value)
	if err == nil {
		x.setJobPage(key, page, version)
		return
	}
	if q, ok := DecodeQuarantinedPage(value); ok {
		x.setUnreadablePage(key, unreadablePage{version: version, quarantined: true, originalKey: q.OriginalKey, originalVersion: q.OriginalVersion}, q.Raw)
		return
	}
	x.logUnreadable(key, err)
	x.setUnreadablePage(key, unreadablePage{version: version, originalKey: key, originalVersion: version}, value)
}

// putPlacementPage takes in a placement page. One that can't be read leaves what was known of it.
func (x *index) putPlacementPage(key string, number int, value wire.Raw, version uint64) {
	page, err := DecodePlacementPage(value)
	if err == nil {
		x.setPlacementPage(number, page.Chunks, version)
		return
	}
	x.logUnreadable(key, err)
	if p := x.placementPages[number]; p == nil || version > p.version {
		x.unreadablePlacements[number] = version
	}
}

// setJobPage replaces what stands on a job page. A job may have come from another page in the same
// transaction, in either order.
func (x *index) setJobPage(key string, page JobPage, version uint64) {
	p := x.jobPage(key)
	if version <= p.version || version < x.unreadablePages[key].version {
		return
	}
	readAgain := x.unreadablePages[key].version != 0
	delete(x.unreadablePages, key)
	x.dropMissingJobs(key, p.page, page)
	for _, e := range page.Entries {
		j := x.job(e.ID)
		if j.version == 0 || j.unreadable || readAgain {
			record, err := e.Decode()
			if err != nil {
				record = x.placeholder(key, e.ID, err)
			}
			j.record, j.unreadable = record, err != nil
		}
		j.version, j.pageKey = max(j.version, version), key
	}
	if p.isClosed() {
		p.openedAt = version
	}
	p.version, p.page, p.size = version, page, page.Size()
}

// dropMissingJobs drops the jobs that stood on a page and no longer do.
func (x *index) dropMissingJobs(key string, before, after JobPage) {
	stays := make(map[string]bool, len(after.Entries))
	for _, e := range after.Entries {
		stays[e.ID] = true
	}
	for _, e := range before.Entries {
		if j := x.jobs[e.ID]; j != nil && j.pageKey == key && !stays[e.ID] {
			j.version, j.pageKey = 0, ""
			x.dropIfUnused(e.ID, j)
		}
	}
}

// setPlacementPage replaces what stands on a placement page.
func (x *index) setPlacementPage(number int, chunks []PlacementChunk, version uint64) {
	p := x.placementPages[number]
	if p == nil {
		p = &placementPageState{}
		x.placementPages[number] = p
	}
	if version <= p.version {
		return
	}
	delete(x.unreadablePlacements, number)
	for _, c := range p.chunks {
		if j := x.jobs[c.job]; j != nil && j.chunks[c.chunk].page == number {
			delete(j.chunks, c.chunk)
			x.dropIfUnused(c.job, j)
		}
	}
	p.version, p.chunks = version, p.chunks[:0]
	x.apps.setPlacementPage(number, chunks)
	for i := range chunks {
		c := &chunks[i]
		p.chunks = append(p.chunks, chunkID{c.Job, c.Chunk})
		x.job(c.Job).chunks[c.Chunk] = chunkCounts{page: number, done: c.DoneCount(), placed: len(c.Placements)}
	}
}

// job returns a job, which it adds where it is not known.
func (x *index) job(id string) *activeJob {
	j := x.jobs[id]
	if j == nil {
		j = &activeJob{chunks: map[int]chunkCounts{}}
		x.jobs[id] = j
	}
	return j
}

// jobPage returns a job page, which it adds where it is not known.
func (x *index) jobPage(key string) *jobPageState {
	p := x.jobPages[key]
	if p == nil {
		p = &jobPageState{}
		x.jobPages[key] = p
	}
	return p
}

// dropIfUnused forgets a job of which neither a record nor placements are left.
func (x *index) dropIfUnused(id string, j *activeJob) {
	if j.version == 0 && len(j.chunks) == 0 {
		delete(x.jobs, id)
	}
}

// headPageVersion is the version of a head page; 0 where there is none.
func (x *index) headPageVersion(key string) uint64 {
	if p := x.jobPages[key]; p != nil {
		return p.version
	}
	return 0
}
