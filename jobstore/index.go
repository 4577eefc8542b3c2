// The index of unfinished jobs, and how it applies changes of the records.

package jobstore

import (
	"log/slog"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// index is the local copy of the records of unfinished jobs, as of revision. The Store's lock guards it.
// It ignores a change that is older than its copy of the key. Changes may therefore be applied
// repeatedly and out of order, as they come from barriers and from this controller's own transactions.
type index struct {
	log *slog.Logger

	loaded   bool // all records have been read once
	revision uint64

	schema           SchemaRecord
	schemaVersion    uint64 // the version of SchemaKey
	schemaUnreadable bool   // SchemaKey can't be decoded, so no job may be accepted

	jobs           map[string]*activeJob       // by job id
	jobPages       map[string]*jobPageState    // by key
	placementPages map[int]*placementPageState // by page number
	apps           *appIndex                   // nil unless TrackReservations was called

	unreadablePages      map[string]unreadablePage // job pages, by key
	unreadablePlacements map[int]uint64            // versions of unreadable placement pages, by page
}

// activeJob is a job that has an active record, placements, or both.
type activeJob struct {
	record     JobRecord
	version    uint64              // version of the key that holds the record; 0 if there is no record
	pageKey    string              // the job page that holds the record; "" for a job with a key of its own
	unreadable bool                // the record can't be decoded
	chunks     map[int]chunkCounts // by chunk number
}

// chunkCounts holds the numbers of done and of placed tasks of a chunk, and the number of the placement
// page that holds the chunk.
type chunkCounts struct{ page, done, placed int }

// jobPageState is a job page as last read or written.
type jobPageState struct {
	version  uint64
	page     JobPage
	size     int    // JobPage.Size of page
	openedAt uint64 // for an open head page: the first version in which the index saw it open
}

// isClosed reports whether a head page is closed. An absent page counts as closed.
func (p *jobPageState) isClosed() bool { return p == nil || p.version == 0 || p.page.Closed }

// placementPageState lists the chunks on a placement page.
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

// reset rebuilds the index from a listing.
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

// applyEvents applies changes to the index.
func (x *index) applyEvents(events wire.Events) {
	// A page may have changed many times since the last barrier. Decode only its last value.
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

// applyPut applies the put of a key.
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

// applyDelete applies the deletion of a key.
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

// putJob applies the put of a job with a key of its own.
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

// deleteJob applies the deletion of a job's own key.
func (x *index) deleteJob(id string, version uint64) {
	j := x.jobs[id]
	if j == nil || j.version > version || j.pageKey != "" {
		return
	}
	j.version = 0
	x.apps.deleteJob(id, &j.record)
	x.dropIfUnused(id, j)
}

// putSchema applies the put of the schema record.
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

// putJobPage applies the put of a job page, which may be unreadable or quarantined.
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

// putPlacementPage applies the put of a placement page. If the page can't be decoded, the index keeps the
// version that it has.
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

// setJobPage replaces the content of a job page. A transaction may move a job from one page to another,
// and the changes of the two pages may be applied in either order. A job is therefore only dropped with a
// page if the index still has it on that page.
func (x *index) setJobPage(key string, page JobPage, version uint64) {
	p := x.jobPage(key)
	if version <= p.version || version < x.unreadablePages[key].version {
		return
	}
	wasUnreadable := x.unreadablePages[key].version != 0
	delete(x.unreadablePages, key)
	x.dropMissingJobs(key, p.page, page)
	for _, e := range page.Entries {
		j := x.job(e.ID)
		if j.version == 0 || j.unreadable || wasUnreadable {
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

// dropMissingJobs drops the jobs that are no longer on a page, unless they moved to another page.
func (x *index) dropMissingJobs(key string, before, after JobPage) {
	remaining := make(map[string]bool, len(after.Entries))
	for _, e := range after.Entries {
		remaining[e.ID] = true
	}
	for _, e := range before.Entries {
		if j := x.jobs[e.ID]; j != nil && j.pageKey == key && !remaining[e.ID] {
			j.version, j.pageKey = 0, ""
			x.dropIfUnused(e.ID, j)
		}
	}
}

// setPlacementPage replaces the content of a placement page.
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

// job returns a job. It adds the job if the index does not have it.
func (x *index) job(id string) *activeJob {
	j := x.jobs[id]
	if j == nil {
		j = &activeJob{chunks: map[int]chunkCounts{}}
		x.jobs[id] = j
	}
	return j
}

// jobPage returns a job page. It adds an empty page if the index does not have it.
func (x *index) jobPage(key string) *jobPageState {
	p := x.jobPages[key]
	if p == nil {
		p = &jobPageState{}
		x.jobPages[key] = p
	}
	return p
}

// dropIfUnused removes a job that has neither a record nor placements.
func (x *index) dropIfUnused(id string, j *activeJob) {
	if j.version == 0 && len(j.chunks) == 0 {
		delete(x.jobs, id)
	}
}

// headPageVersion returns the version of a head page, or 0 if there is none.
func (x *index) headPageVersion(key string) uint64 {
	if p := x.jobPages[key]; p != nil {
		return p.version
	}
	return 0
}
