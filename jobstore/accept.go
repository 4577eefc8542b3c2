package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file takes submissions: those that come together are committed together.

// Limits are those of the state service that bear on how much goes into a
// transaction.
type Limits struct {
	TxnOps  int     // puts and deletes; four times as many conditions
	ValueKB float64 // KiB of a value
}

// valueBytes is how much a value may have.
func (l Limits) valueBytes() int {
	kb := l.ValueKB
	if kb <= 0 {
		kb = 16
	}
	return int(kb * 1024)
}

// maxJobs is how many jobs a transaction can take that has that many conditions for
// each; the head and the form have one each.
func (l Limits) maxJobs(each int) int {
	ops := l.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return (4*ops - 2) / each
}

// pageBytes is the largest page.
func (l Limits) pageBytes() int {
	return min(l.valueBytes(), 18<<10) - 256 // three of them fit into a transaction
}

// jobPageState is a page of users' jobs as last read or written.
type jobPageState struct {
	version  uint64
	page     JobPage
	size     int
	openedAt uint64 // of a head that is open: the version by which it was known to be
}

func (p *jobPageState) isClosed() bool { return p == nil || p.version == 0 || p.page.Closed }

// logUnreadable names a record that can't be read; the others go on.
func (r *Store) logUnreadable(key string, err error) {
	if r.Log != nil {
		r.Log.Error("unreadable record", "key", key, "err", err)
	}
}

// placeholder names a job whose record can't be read, and stands in for it: the job is
// known, and that is all.
func (r *Store) placeholder(key, id string, err error) JobRecord {
	r.logUnreadable(key, err)
	return JobRecord{Job: wire.Job{ID: id, Tasks: 1}}
}

// setJobPage replaces what stands on a page of users' jobs. A job may have come
// from another page in the same transaction, in either order.
func (r *Store) setJobPage(key string, rec JobPage, version uint64) {
	p := r.jobPages[key]
	if p == nil {
		p = &jobPageState{}
		r.jobPages[key] = p
	}
	if version <= p.version || version < r.unreadablePages[key].version {
		return
	}
	again := r.unreadablePages[key].version != 0
	delete(r.unreadablePages, key)
	stays := make(map[string]bool, len(rec.Entries))
	for _, e := range rec.Entries {
		stays[e.ID] = true
	}
	for _, e := range p.page.Entries {
		if j := r.jobs[e.ID]; j != nil && j.pageKey == key && !stays[e.ID] {
			j.version, j.pageKey = 0, ""
			r.dropIfEmpty(e.ID, j)
		}
	}
	for _, e := range rec.Entries {
		j := r.jobEntry(e.ID)
		if j.version == 0 || j.unreadable || again {
			got, err := e.Decode()
			if err != nil {
				got = r.placeholder(key, e.ID, err)
			}
			j.record, j.unreadable = got, err != nil
		}
		j.version, j.pageKey = max(j.version, version), key
	}
	if p.isClosed() {
		p.openedAt = version
	}
	p.version, p.page, p.size = version, rec, rec.Size()
}

// unreadablePage is a page of users' jobs that can't be read.
type unreadablePage struct {
	version         uint64
	quarantined     bool          // a leader has set it aside, so that no leader knows its jobs
	originalKey     string        // where it stood before
	originalVersion uint64        // in which version
	recovered       *RecoveryCopy // what this node remembers of that, nil for nothing
}

// setUnreadablePage notes that a page of users' jobs can't be read in its newest version.
// What was known of it stays known, and so do the jobs that still stand there.
// The page keeps the version that was last read, so that nothing is written over
// it.
func (r *Store) setUnreadablePage(key string, a QuarantinedPage, aside bool, version uint64) {
	p := r.jobPages[key]
	if p == nil {
		p = &jobPageState{}
		r.jobPages[key] = p
	}
	if version <= p.version || version <= r.unreadablePages[key].version {
		return
	}
	l := unreadablePage{version: version, quarantined: aside, originalKey: a.OriginalKey, originalVersion: a.OriginalVersion}
	if l.recovered = r.unreadablePages[a.OriginalKey].recovered; r.unreadablePages[a.OriginalKey].version != a.OriginalVersion {
		l.recovered = nil
	}
	if from := r.jobPages[a.OriginalKey]; from != nil && from.version == a.OriginalVersion && r.unreadablePages[a.OriginalKey].version == 0 {
		l.recovered = &RecoveryCopy{Entries: slices.Clone(from.page.Entries)}
	}
	if before := r.unreadablePages[key]; before.originalKey == a.OriginalKey && before.originalVersion == a.OriginalVersion {
		l.recovered = before.recovered // written again as it was
	}
	if from := r.jobPages[a.OriginalKey]; from != nil && from != p && aside && from.version <= a.OriginalVersion {
		// What was known of it has moved here, in a transaction that goes on to put
		// an empty head in its place.
		for _, e := range from.page.Entries {
			if j := r.jobs[e.ID]; j != nil && j.pageKey == a.OriginalKey {
				j.pageKey = key
				p.page.Entries = append(p.page.Entries, e)
			}
		}
	}
	r.unreadablePages[key] = l
	for _, id := range salvageIDs(a.Raw) {
		if j := r.jobEntry(id); j.version == 0 {
			j.record, j.version, j.pageKey, j.unreadable = JobRecord{Job: wire.Job{ID: id, Tasks: 1}}, version, key, true
			p.page.Entries = append(p.page.Entries, JobPageEntry{ID: id})
		}
	}
}

// unreadablePageOf is a page that can't be read and on which a job may stand; the lock is
// held. The version is 0 where there is none.
func (r *Store) unreadablePageOf(id string) (key string, version uint64) {
	head := HeadPageKey(r.schema.Bucket(id))
	for key, l := range r.unreadablePages {
		if r.schema.Buckets == 0 || key == head || strings.HasPrefix(key, head+".") {
			return key, l.version
		}
	}
	return "", 0
}

// checkAdmissible says whether an id that this node does not know may be accepted; the
// lock is held. It may stand on a page that can't be read. Once a leader has set
// that aside no leader knows it or ever did place it, unless a page of placements
// says so, which this node reads: those that are placed are known. So nothing but
// its record is lost, and the user brings that again. Before, a leader may know it
// still, and may be placing it.
func (r *Store) checkAdmissible(id string) error {
	if r.schemaUnreadable {
		return fmt.Errorf("%w: %s", ErrUnreadable, SchemaKey)
	}
	head := HeadPageKey(r.schema.Bucket(id))
	for key, l := range r.unreadablePages {
		if key != head && !strings.HasPrefix(key, head+".") {
			continue
		}
		if !l.quarantined || len(r.unreadablePlacements) > 0 {
			return fmt.Errorf("%w: job %s may stand on %s", ErrUnreadable, id, key)
		}
	}
	return nil
}

// unreadableVersion is the version of a page that can't be read, 0 if it can, and whether it
// has been set aside.
func (r *Store) unreadableVersion(key string) (version uint64, aside bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.unreadablePages[key]
	return l.version, l.quarantined
}

// isKnown says whether a job is accepted, as last read; the lock is held. Only
// accepted jobs are placed.
func (r *Store) isKnown(id string) bool {
	if _, ok := r.finals[id]; ok {
		return true
	}
	j := r.jobs[id]
	return j != nil && (j.version != 0 || len(j.chunks) > 0)
}

// submission waits for its job to be committed.
type submission struct {
	entry    JobPageEntry
	priority int
	done     chan acceptResult
}

type acceptResult struct {
	duplicate bool
	err       error
}

// bucketQueue is what waits for a bucket's next transaction.
type bucketQueue struct {
	submissions   []*submission
	cancellations []*cancellation
	writing       bool      // a transaction is under way
	individual    int       // jobs that are being given keys of their own
	lastShared    time.Time // when submissions last shared a transaction
}

const (
	// openPageThreshold is how many jobs are given keys of their own at once, for each bucket and
	// node, before the head is opened: a change for each is more than there is.
	openPageThreshold = 4
	// closePageAfter is for how long submissions must have come one by one until the head is
	// closed again.
	closePageAfter = 5 * time.Second
	// maxAcceptAttempts bounds how often a submission finds that things have changed.
	maxAcceptAttempts = 6
)

// Accept commits a submission. known is true where the id is known already.
func (r *Store) Accept(ctx context.Context, j wire.Job, at time.Time) (known bool, err error) {
	rec := JobRecord{Job: j, AcceptedAtMs: at.UnixMilli()}
	raw, err := wire.Marshal(rec)
	if err != nil {
		return false, err
	}
	entry := JobPageEntry{ID: j.ID, Record: raw}
	large := entry.size() > r.Limits.pageBytes()/4
	for range maxAcceptAttempts {
		r.mu.Lock()
		if !r.loaded {
			r.mu.Unlock()
			if err := r.readBarrier(ctx); err != nil {
				return false, err
			}
			r.mu.Lock()
		}
		if r.schema.Version > LatestSchema {
			r.mu.Unlock()
			return false, ErrNewerSchema
		}
		if r.isKnown(j.ID) {
			r.mu.Unlock()
			return true, nil
		}
		if err := r.checkAdmissible(j.ID); err != nil {
			r.mu.Unlock()
			return false, err
		}
		guards := []wire.Guard{{Key: JobKey(j.ID)}, {Key: FinalKey(j.ID)}, {Key: SchemaKey, Version: r.schemaVersion}}
		ops := []wire.Op{{Put: JobKey(j.ID), Value: rec}}
		var q *bucketQueue
		if r.schema.Version >= SchemaJobPages {
			bucket := r.schema.Bucket(j.ID)
			key := HeadPageKey(bucket)
			q = r.bucketQueue(bucket)
			head := r.jobPages[key]
			// One that waits for its turn would have those behind it wait as well,
			// who could all share one transaction.
			many := q.individual >= openPageThreshold || !r.kv.HasWriteCapacity(1)
			if !large && (!head.isClosed() || q.writing || many) {
				if many {
					q.lastShared = time.Now()
				}
				s, err := r.enqueue(bucket, q, entry, r.priorityOf(&j))
				r.mu.Unlock()
				if err != nil {
					return false, err
				}
				return r.await(ctx, q, s)
			}
			guards = append(guards, wire.Guard{Key: key, Version: r.headPageVersion(key)})
			if !head.isClosed() {
				// Whoever adds to an open head knows all keys of their own by its
				// version.
				ops = append(ops, wire.Op{Put: key, Value: head.page})
			}
			q.individual++
		}
		r.mu.Unlock()
		rev, err := r.kv.CompareAndSwap(ctx, guards, ops)
		if q != nil {
			r.mu.Lock()
			q.individual--
			r.mu.Unlock()
		}
		var c *kvstore.ConflictError
		switch {
		case err == nil:
			r.applyOwnPages(ops, rev)
			r.applyOwnJob(j.ID, raw, rev)
			return false, nil
		case !errors.As(err, &c):
			return false, err
		case slices.Contains(c.FailedKeys, JobKey(j.ID)) || slices.Contains(c.FailedKeys, FinalKey(j.ID)):
			return true, nil
		}
		if err := r.readBarrier(ctx); err != nil {
			return false, err
		}
	}
	return false, fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
}

func (r *Store) headPageVersion(key string) uint64 {
	if p := r.jobPages[key]; p != nil {
		return p.version
	}
	return 0
}

// Schema is the form of the records as last read.
func (r *Store) Schema() SchemaRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.schema
}

// Contended says whether submissions of a bucket had better come to one node now:
// its head is open, and those that add to it at once are in one another's way.
func (r *Store) Contended(bucket int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[bucket]
	return q != nil && (q.writing || q.individual >= openPageThreshold) || !r.jobPages[HeadPageKey(bucket)].isClosed()
}

// bucketQueue is a bucket's; the lock is held.
func (r *Store) bucketQueue(bucket int) *bucketQueue {
	q := r.queues[bucket]
	if q == nil {
		q = &bucketQueue{}
		r.queues[bucket] = q
	}
	return q
}

// enqueue has a job committed together with those that wait as well; the lock is
// held. The first one waits for nobody; those that come while a transaction is
// under way share the next.
func (r *Store) enqueue(bucket int, q *bucketQueue, e JobPageEntry, tier int) (*submission, error) {
	if r.ctx == nil || r.stopped {
		return nil, fmt.Errorf("%w: shutting down", kvstore.ErrRefused)
	}
	s := &submission{entry: e, priority: tier, done: make(chan acceptResult, 1)}
	q.submissions = append(q.submissions, s)
	r.startWriter(bucket, q)
	return s, nil
}

// startWriter has what waits for a bucket committed; the lock is held.
func (r *Store) startWriter(bucket int, q *bucketQueue) {
	if !q.writing {
		q.writing = true
		r.writers.Add(1)
		go func() { defer r.writers.Done(); r.runWriter(r.ctx, bucket, q) }()
	}
}

// await waits until a submission is answered.
func (r *Store) await(ctx context.Context, q *bucketQueue, s *submission) (known bool, err error) {
	select {
	case a := <-s.done:
		return a.duplicate, a.err
	case <-ctx.Done():
		r.mu.Lock()
		q.submissions = slices.DeleteFunc(q.submissions, func(o *submission) bool { return o == s })
		r.mu.Unlock()
		return false, fmt.Errorf("%w: %v", kvstore.ErrOutcomeUnknown, ctx.Err())
	}
}

// runWriter commits what waits for a bucket until nothing does, cancellations and
// submissions in turn.
func (r *Store) runWriter(ctx context.Context, bucket int, q *bucketQueue) {
	for {
		r.mu.Lock()
		ends := r.takeCancellations(q)
		r.mu.Unlock()
		if len(ends) > 0 {
			ectx, cancel := context.WithTimeout(ctx, 3*time.Second)
			r.commitCancellations(ectx, ends)
			cancel()
		}
		r.mu.Lock()
		batch := r.takeBatch(bucket, q)
		if len(batch) == 0 && len(q.cancellations) == 0 {
			q.writing = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if len(batch) > 0 {
			bctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			r.commitBatch(bctx, bucket, q, batch)
			cancel()
		}
	}
}

// guardsPerJob is how many conditions a job has that is added to a head; the lock is held.
// Once the head is open, jobs get keys of their own only by a transaction that
// changes the head; so whoever knows what there was when it was opened knows all
// such keys.
func (r *Store) guardsPerJob(key string) int {
	if p := r.jobPages[key]; p.isClosed() || r.revision < p.openedAt {
		return 2
	}
	return 1
}

// takeBatch takes what fits into a transaction off a queue, each id once: a repeat
// of a submission waits for the next, and is told that it is known.
func (r *Store) takeBatch(bucket int, q *bucketQueue) []*submission {
	var batch []*submission
	ids := map[string]bool{}
	taken := map[*submission]bool{}
	bytes, most := 0, r.Limits.maxJobs(r.guardsPerJob(HeadPageKey(bucket)))
	for _, s := range byPriority(q.submissions, most) {
		size := s.entry.size()
		if ids[s.entry.ID] || len(batch) >= most || len(batch) > 0 && bytes+size > 2*r.Limits.pageBytes() {
			continue
		}
		ids[s.entry.ID], taken[s] = true, true
		bytes += size
		batch = append(batch, s)
	}
	q.submissions = slices.DeleteFunc(q.submissions, func(s *submission) bool { return taken[s] })
	return batch
}

// TeamAndClass is the team and the class of an unfinished job, as last read; false if it
// is not known.
func (r *Store) TeamAndClass(id string) (team, class string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.record.Job.Team, j.record.Job.Class, true
}

// priorityOf is a job's by the operators' order.
func (r *Store) priorityOf(j *wire.Job) int {
	if r.Tier == nil {
		return 0
	}
	return r.Tier(j.Team, j.Class)
}

// byPriority puts submissions, of which a transaction takes so many, in the order in
// which they are taken: earlier tiers first, but a quarter is of those that have
// waited longest, whosever they are.
func byPriority(waiting []*submission, most int) []*submission {
	if len(waiting) <= most {
		return waiting
	}
	out := slices.Clone(waiting)
	slices.SortStableFunc(out[(most+3)/4:], func(a, b *submission) int { return a.priority - b.priority })
	return out
}

// commitBatch commits submissions of a bucket, and answers each.
func (r *Store) commitBatch(ctx context.Context, bucket int, q *bucketQueue, batch []*submission) {
	answer := func(which func(*submission) bool, a acceptResult) {
		batch = slices.DeleteFunc(batch, func(s *submission) bool {
			if which(s) {
				s.done <- a
				return true
			}
			return false
		})
	}
	all := func(*submission) bool { return true }
	var err error
	for try := 0; try < maxAcceptAttempts && ctx.Err() == nil; try++ {
		r.mu.Lock()
		answer(func(s *submission) bool { return r.isKnown(s.entry.ID) }, acceptResult{duplicate: true})
		if len(batch) > 0 {
			if lost := r.checkAdmissible(batch[0].entry.ID); lost != nil { // and so for all of its bucket
				r.mu.Unlock()
				answer(all, acceptResult{err: lost})
				return
			}
		}
		if most := r.Limits.maxJobs(r.guardsPerJob(HeadPageKey(bucket))); len(batch) > most {
			// The head has been closed meanwhile, so that each needs more conditions.
			q.submissions = append(slices.Clone(batch[most:]), q.submissions...)
			batch = batch[:most]
		}
		guards, ops := r.batchTransaction(bucket, q, batch)
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		var rev uint64
		rev, err = r.kv.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			r.applyOwnPages(ops, rev)
			answer(all, acceptResult{})
			r.mu.Lock()
			stale := len(q.submissions) > 0 && r.guardsPerJob(HeadPageKey(bucket)) > 1
			r.mu.Unlock()
			if stale {
				_ = r.readBarrier(ctx) // where it fails the next transaction takes fewer
			}
			return
		}
		var c *kvstore.ConflictError
		switch {
		case errors.As(err, &c):
			answer(func(s *submission) bool {
				return slices.Contains(c.FailedKeys, JobKey(s.entry.ID)) || slices.Contains(c.FailedKeys, FinalKey(s.entry.ID))
			}, acceptResult{duplicate: true})
			if !slices.Contains(c.FailedKeys, HeadPageKey(bucket)) && !slices.Contains(c.FailedKeys, SchemaKey) {
				continue
			}
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			// It may have been committed: then the head has them.
		default:
			answer(all, acceptResult{err: err})
			return
		}
		if serr := r.readBarrier(ctx); serr != nil {
			err = serr
			break
		}
	}
	if err == nil || errors.As(err, new(*kvstore.ConflictError)) {
		err = fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
	}
	answer(all, acceptResult{err: err})
}

// batchTransaction makes a transaction that adds jobs to a bucket; the lock is held. Its
// conditions: the head is as it was when none of them was known, none is over,
// and none has a key of its own that this node may not know.
func (r *Store) batchTransaction(bucket int, q *bucketQueue, batch []*submission) ([]wire.Guard, []wire.Op) {
	key := HeadPageKey(bucket)
	each := r.guardsPerJob(key)
	guards := make([]wire.Guard, 0, 2+each*len(batch))
	guards = append(guards, wire.Guard{Key: key, Version: r.headPageVersion(key)}, wire.Guard{Key: SchemaKey, Version: r.schemaVersion})
	var head JobPage
	size := 0
	if p := r.jobPages[key]; p != nil {
		head, size = p.page, p.size
	}
	for _, s := range batch {
		guards = append(guards, wire.Guard{Key: FinalKey(s.entry.ID)})
		if each > 1 {
			guards = append(guards, wire.Guard{Key: JobKey(s.entry.ID)})
		}
		size += s.entry.size()
	}
	if len(batch) > 2 {
		q.lastShared = time.Now()
	}
	next := JobPage{LastSealed: head.LastSealed, Entries: slices.Clone(head.Entries)}
	var ops []wire.Op
	seal := func() {
		if len(next.Entries) > 0 {
			next.LastSealed++
			ops = append(ops, wire.Op{Put: SealedPageKey(bucket, next.LastSealed), Value: JobPage{Entries: next.Entries}})
			next.Entries = nil
		}
	}
	if size > r.Limits.pageBytes() {
		seal()
	}
	bytes := next.Size()
	for _, s := range batch {
		if n := s.entry.size(); bytes+n > r.Limits.pageBytes() {
			seal()
			bytes = next.Size()
		}
		next.Entries = append(next.Entries, s.entry)
		bytes += s.entry.size()
	}
	if len(batch) <= 2 && time.Since(q.lastShared) > closePageAfter {
		seal()
		next.Closed = true
	}
	return guards, append(ops, wire.Op{Put: key, Value: next})
}

// applyOwnJob takes in a job that this node has given a key of its own.
func (r *Store) applyOwnJob(id string, raw wire.Raw, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && rev > r.revision {
		r.applyPut(JobKey(id), raw, rev)
	}
}

// applyOwnPages takes in what this node has committed, before a barrier brings it. Where
// one has been faster, it may have brought what came after as well, and a page
// that is gone again must not come back.
func (r *Store) applyOwnPages(ops []wire.Op, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || rev <= r.revision {
		return
	}
	for _, op := range ops {
		if rec, ok := op.Value.(JobPage); ok && op.Put != "" {
			r.setJobPage(op.Put, rec, rev)
		} else if IsJobPageKey(op.Delete) {
			r.setJobPage(op.Delete, JobPage{}, rev) // kept until the barrier that brings it
		}
	}
}
