package jobstore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// KeyValueStore is what this package needs of the state service.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
	// ListPage reads at most so many keys with a prefix that come after a key.
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	HasWriteCapacity(n int) bool // whether so many changes can be made without waiting
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

// ErrNewerSchema says that the records are in a form that a later version has written,
// and that this one can't read.
var ErrNewerSchema = errors.New("the records have a newer form than this version reads: start the version that wrote them")

// ErrUnreadable says that what a job's state hangs on can't be read, and that nothing
// else says it.
var ErrUnreadable = errors.New("a record can't be read")

// maxCachedFinals bounds the cache of final states; the state service keeps them all.
const maxCachedFinals = 20_000

// JobStatus is what a node knows of a job.
type JobStatus struct {
	Record      JobRecord
	Version     uint64 // of the active record, 0 once the job is over
	DoneTasks   int
	PlacedTasks int

	pageKey string // the page that its record shares with others, if it does
}

type activeJob struct {
	record     JobRecord
	version    uint64
	pageKey    string // the page that its record stands on; "": a key of its own
	unreadable bool   // what stands there can't be read
	chunks     map[int]chunkCounts
}

// chunkCounts is what a job's display needs of a chunk, and the page it stands on.
type chunkCounts struct{ page, done, placed int }

type placementPageState struct {
	version uint64 // to apply no older change
	chunks  []chunkID
}

type chunkID struct {
	job   string
	chunk int
}

// Store answers what state jobs are in, as current as a read of the records
// themselves: lookups that come together share one barrier. Only final states
// are cached beyond it.
type Store struct {
	// Gap is for how long at the least a barrier follows another. It is for the
	// owner to set before Run.
	Gap func() time.Duration
	// Limits are what the state service takes, TxnOps and ValueKB of it. They are
	// for the owner to set before Run.
	Limits Limits
	// Tier is a team's work of a class by the operators' order: where more
	// submissions wait than a transaction takes, earlier tiers go first. It is for
	// the owner to set before Run. Nil: in the order in which they came.
	Tier func(team, class string) int
	// Order says who is read first while more ask for jobs that are over than can be
	// read at once, the smallest first. Nil: who came first.
	Order func(id string) float64
	// Log is told of records that can't be read. Nil: nobody is.
	Log *slog.Logger

	kv              KeyValueStore
	barrierRequests chan chan error
	partial         listing        // of Run
	finalReads      finalReadQueue // guarded by mu, but for the channel
	apps            *appIndex      // guarded by mu

	mu                   sync.Mutex
	loaded               bool
	revision             uint64
	jobs                 map[string]*activeJob
	placementPages       map[int]*placementPageState
	finals               map[string]JobRecord
	finalOrder           []string
	schema               SchemaRecord
	schemaVersion        uint64 // the version of the form's record
	jobPages             map[string]*jobPageState
	unreadablePages      map[string]unreadablePage // pages of users' jobs that can't be read
	unreadablePlacements map[int]uint64            // versions of pages of placements that can't be read
	// formLost: the form's record can't be read, so that nothing is accepted here.
	schemaUnreadable bool
	queues           map[int]*bucketQueue
	ctx              context.Context // of Run
	stopped          bool            // by which no writer begins any more

	writers sync.WaitGroup // of submissions
}

// New makes a reader; Run must be running for lookups to be answered.
func New(store KeyValueStore) *Store {
	return &Store{kv: store, barrierRequests: make(chan chan error, 256),
		finalReads: finalReadQueue{wake: make(chan struct{}, finalReaders)},
		finals:     map[string]JobRecord{}, unreadablePages: map[string]unreadablePage{}, unreadablePlacements: map[int]uint64{}, queues: map[int]*bucketQueue{}}
}

// Run answers barriers and commits submissions until ctx ends.
func (r *Store) Run(ctx context.Context) {
	r.mu.Lock()
	r.ctx = ctx
	r.mu.Unlock()
	defer r.writers.Wait()
	var readers sync.WaitGroup
	defer readers.Wait()
	for range finalReaders {
		readers.Go(func() { r.serveFinalReads(ctx) })
	}
	for {
		var first chan error
		select {
		case <-ctx.Done():
			r.mu.Lock()
			r.stopped = true
			r.mu.Unlock()
			return
		case first = <-r.barrierRequests:
		}
		waiting := []chan error{first}
	drain:
		for len(waiting) < 512 {
			select {
			case w := <-r.barrierRequests:
				waiting = append(waiting, w)
			default:
				break drain
			}
		}
		begun := time.Now()
		err := r.refresh(ctx)
		for _, w := range waiting {
			w <- err
		}
		// Lookups that come meanwhile share the next barrier: with hundreds of
		// users who poll, one barrier after another on every node is more than
		// the state service takes.
		if r.Gap != nil {
			call.Pause(ctx, r.Gap()-time.Since(begun))
		}
	}
}

// readBarrier waits for one that starts after the call.
func (r *Store) readBarrier(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case r.barrierRequests <- done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", kvstore.ErrRefused, ctx.Err())
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %v", kvstore.ErrRefused, ctx.Err())
	}
}

func (r *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	r.mu.Lock()
	loaded, rev := r.loaded, r.revision
	r.mu.Unlock()
	if loaded {
		ev, err := r.kv.Watch(ctx, ActivePrefix, rev, 0)
		if err == nil {
			return r.apply(ev)
		}
		if !errors.Is(err, kvstore.ErrCompacted) {
			return err
		}
	}
	if err := r.listActive(ctx); err != nil {
		return err
	}
	// The pages are of different moments: the changes since the first one make
	// them whole.
	ev, err := r.kv.Watch(ctx, ActivePrefix, r.partial.revision, 0)
	if err != nil {
		if errors.Is(err, kvstore.ErrCompacted) {
			r.partial = listing{}
		}
		return err
	}
	r.mu.Lock()
	r.loaded, r.revision = true, r.partial.revision
	r.jobs, r.placementPages, r.jobPages = map[string]*activeJob{}, map[int]*placementPageState{}, map[string]*jobPageState{}
	clear(r.unreadablePages)
	clear(r.unreadablePlacements)
	r.apps.reset()
	for _, it := range r.partial.items {
		r.applyPut(it.Key, it.Value, it.Version)
	}
	r.mu.Unlock()
	r.partial = listing{}
	return r.apply(ev)
}

// listing is what has been read of all active records.
type listing struct {
	items    []wire.Entry
	revision uint64 // of the first page
	lastKey  string
	complete bool
}

// listPageSize is how many keys are read at once.
const listPageSize = 500

// listActive reads all active records. What it has when the time is over stands, and the
// next barrier goes on: where all nodes begin at once, and the service takes
// little of each, none would ever have read all.
func (r *Store) listActive(ctx context.Context) error {
	for !r.partial.complete {
		page, err := r.kv.ListPage(ctx, ActivePrefix, r.partial.lastKey, listPageSize)
		if err != nil {
			return err
		}
		if r.partial.lastKey == "" {
			r.partial.revision = page.Revision
		}
		r.partial.items = append(r.partial.items, page.Items...)
		r.partial.complete = !page.More || len(page.Items) == 0
		if len(page.Items) > 0 {
			r.partial.lastKey = page.Items[len(page.Items)-1].Key
		}
	}
	return nil
}

func (r *Store) apply(ev wire.Events) error {
	// A page may have changed many times since: only its last state counts.
	last := map[string]uint64{}
	for i := range ev.Log {
		if e := &ev.Log[i]; e.Delete == "" {
			last[e.Put] = max(last[e.Put], e.Version)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range ev.Log {
		if e.Delete != "" {
			r.applyDelete(e.Delete, e.Version)
		} else if e.Version == last[e.Put] {
			r.applyPut(e.Put, e.Value, e.Version)
		}
	}
	r.revision = max(r.revision, ev.Revision)
	if r.schema.Version > LatestSchema {
		return ErrNewerSchema
	}
	return nil
}

func (r *Store) jobEntry(id string) *activeJob {
	j := r.jobs[id]
	if j == nil {
		j = &activeJob{chunks: map[int]chunkCounts{}}
		r.jobs[id] = j
	}
	return j
}

func (r *Store) applyPut(key string, v wire.Raw, version uint64) {
	if id, ok := ParseJobKey(key); ok {
		j := r.jobEntry(id)
		if version <= j.version {
			return
		}
		rec, err := DecodeJob(id, v)
		if err != nil {
			rec = r.placeholder(key, id, err)
		}
		j.record, j.version, j.pageKey, j.unreadable = rec, version, "", err != nil
		r.apps.putJob(id, &rec)
		return
	}
	if IsJobPageKey(key) {
		rec, err := DecodeJobPage(v)
		if err != nil {
			a, aside := DecodeQuarantinedPage(v)
			if !aside {
				r.logUnreadable(key, err)
				a = QuarantinedPage{OriginalKey: key, OriginalVersion: version, Raw: v}
			}
			r.setUnreadablePage(key, a, aside, version)
			return
		}
		r.setJobPage(key, rec, version)
		return
	}
	if key == SchemaKey && version > r.schemaVersion {
		rec, err := DecodeSchema(v)
		if err != nil {
			r.logUnreadable(key, err)
		}
		r.schema, r.schemaVersion, r.schemaUnreadable = rec, version, err != nil
		return
	}
	if strings.HasPrefix(key, AppPrefix) {
		r.apps.put(key, v, version)
		return
	}
	if n, ok := ParsePlacementPageKey(key); ok {
		rec, err := DecodePlacementPage(v)
		if err != nil {
			r.logUnreadable(key, err)
			if p := r.placementPages[n]; p == nil || version > p.version {
				r.unreadablePlacements[n] = version
			}
			return
		}
		r.setPlacementPage(n, rec.Chunks, version)
	}
}

// setPlacementPage replaces what stands on a page.
func (r *Store) setPlacementPage(n int, chunks []PlacementChunk, version uint64) {
	p := r.placementPages[n]
	if p == nil {
		p = &placementPageState{}
		r.placementPages[n] = p
	}
	if version <= p.version {
		return
	}
	delete(r.unreadablePlacements, n)
	for _, c := range p.chunks {
		if j := r.jobs[c.job]; j != nil && j.chunks[c.chunk].page == n {
			delete(j.chunks, c.chunk)
			r.dropIfEmpty(c.job, j)
		}
	}
	p.version, p.chunks = version, p.chunks[:0]
	r.apps.setPage(n, chunks)
	for i := range chunks {
		c := &chunks[i]
		p.chunks = append(p.chunks, chunkID{c.Job, c.Chunk})
		r.jobEntry(c.Job).chunks[c.Chunk] = chunkCounts{page: n, done: c.DoneCount(), placed: len(c.Placements)}
	}
}

func (r *Store) applyDelete(key string, version uint64) {
	if id, ok := ParseJobKey(key); ok {
		if j := r.jobs[id]; j != nil && j.version <= version && j.pageKey == "" {
			j.version = 0
			r.apps.dropJob(id, &j.record)
			r.dropIfEmpty(id, j)
		}
		return
	}
	if IsJobPageKey(key) {
		r.setJobPage(key, JobPage{}, version)
		if p := r.jobPages[key]; !IsHeadPageKey(key) && p.version == version {
			delete(r.jobPages, key) // it never comes back
		}
		return
	}
	if n, ok := ParsePlacementPageKey(key); ok {
		r.setPlacementPage(n, nil, version)
	}
	if strings.HasPrefix(key, AppPrefix) {
		r.apps.remove(key, version)
	}
}

func (r *Store) dropIfEmpty(id string, j *activeJob) {
	if j.version == 0 && len(j.chunks) == 0 {
		delete(r.jobs, id)
	}
}

// status is what the active records say of a job. unsure says that it may be over
// for all that, or not found and yet accepted: a page that it stands on, or may
// stand on, can't be read.
func (r *Store) status(id string) (v JobStatus, found, unsure bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, ok := r.finals[id]; ok {
		return JobStatus{Record: rec}, true, false
	}
	j := r.jobs[id]
	if j == nil {
		_, at := r.unreadablePageOf(id)
		return JobStatus{}, false, at != 0
	}
	v = JobStatus{Record: j.record, Version: j.version, pageKey: j.pageKey}
	for _, c := range j.chunks {
		v.DoneTasks += c.done
		v.PlacedTasks += c.placed
	}
	if j.version != 0 {
		return v, true, r.unreadablePages[j.pageKey].version != 0
	}
	// Only accepted jobs are placed.
	key, at := r.unreadablePageOf(id)
	v.Record.Job, v.Version, v.pageKey = wire.Job{ID: id, Tasks: 1}, at, key
	return v, at != 0, at != 0
}

func (r *Store) cacheFinal(id string, rec JobRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.finals[id]; ok {
		return
	}
	if len(r.finalOrder) >= maxCachedFinals {
		delete(r.finals, r.finalOrder[0])
		r.finalOrder = r.finalOrder[1:]
	}
	rec.Job = wire.Job{ID: id, Tasks: rec.Job.Tasks}
	r.finals[id] = rec
	r.finalOrder = append(r.finalOrder, id)
}

// Lookup says what is known of a job; found is false where it was never
// accepted.
func (r *Store) Lookup(ctx context.Context, id string) (v JobStatus, found bool, err error) {
	if v, ok := r.CachedFinal(id); ok {
		return v, true, nil
	}
	if err := r.readBarrier(ctx); err != nil {
		return JobStatus{}, false, err
	}
	v, found, unsure := r.status(id)
	if found && !unsure {
		return v, true, nil
	}
	// A job moves from active to final in one transaction and never back, so
	// reading final after active misses none.
	rec, over, err := r.readFinal(ctx, id)
	switch {
	case err != nil:
		return JobStatus{}, false, err
	case over:
		return JobStatus{Record: rec}, true, nil
	case unsure && !found:
		return JobStatus{}, false, fmt.Errorf("%w: job %s may stand on it", ErrUnreadable, id)
	}
	return v, found, nil
}

// CachedFinal is a job that this node knows to be over, for which nothing need be
// read.
func (r *Store) CachedFinal(id string) (JobStatus, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.finals[id]
	return JobStatus{Record: rec}, ok
}

// Cancel ends a job unless it is over, and returns its final state; found is
// false where it was never accepted.
func (r *Store) Cancel(ctx context.Context, id string) (final string, found bool, err error) {
	for range 8 {
		v, found, err := r.Lookup(ctx, id)
		if err != nil || !found {
			return "", found, err
		}
		if v.Version == 0 {
			return v.Record.State, true, nil
		}
		rec := v.Record
		rec.State = wire.JobCancelled
		if lost, aside := r.unreadableVersion(v.pageKey); lost != 0 {
			if !aside {
				// A node that remembers the page would go on calling the job
				// unfinished: it may cancel it, or a leader sets the page aside,
				// which all nodes hear of.
				return "", true, fmt.Errorf("%w: %s", ErrUnreadable, v.pageKey)
			}
			// Its page stays as it is, and what is final goes before it.
			_, err = r.kv.CompareAndSwap(ctx,
				[]wire.Guard{{Key: v.pageKey, Version: lost}, {Key: JobKey(id)}, {Key: FinalKey(id)}},
				[]wire.Op{{Put: FinalKey(id), Value: rec}})
		} else if v.pageKey != "" {
			err = r.cancelOnPage(ctx, id, v.pageKey, rec)
		} else {
			_, err = r.kv.CompareAndSwap(ctx,
				[]wire.Guard{{Key: JobKey(id), Version: v.Version}, {Key: FinalKey(id)}},
				[]wire.Op{{Delete: JobKey(id)}, {Put: FinalKey(id), Value: rec}})
		}
		if err == nil {
			r.cacheFinal(id, rec)
			return rec.State, true, nil
		}
		var c *kvstore.ConflictError
		if !errors.As(err, &c) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return "", true, err
		}
	}
	return "", true, fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
}
