package jobstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file commits submissions that come together with shared transactions, on the job pages of their
// bucket. Each bucket has one writer at a time.

const (
	// closePageAfter is for how long submissions must have come one by one until the head page is
	// closed again.
	closePageAfter = 5 * time.Second
	// maxBatchPages is how many pages' worth of entries, or final records, a transaction takes.
	maxBatchPages = 2
	// singleFile is how many submissions at once still count as one by one.
	singleFile   = 2
	batchTimeout = 3 * time.Second
)

// bucketQueue is what waits for a bucket's next transaction. A Store's lock guards it.
type bucketQueue struct {
	bucket        int
	submissions   []*submission
	cancellations []*cancellation
	writing       bool      // a writer runs
	individual    int       // jobs that are being given keys of their own
	lastShared    time.Time // when submissions last shared a transaction
}

// bucketQueue returns a bucket's queue; the lock is held.
func (s *Store) bucketQueue(bucket int) *bucketQueue {
	q := s.writeQueues[bucket]
	if q == nil {
		q = &bucketQueue{bucket: bucket}
		s.writeQueues[bucket] = q
	}
	return q
}

// Contended reports whether submissions of a bucket are better sent to one controller now: its head
// page is open, and controllers that add to it at once make each other's transactions fail.
func (s *Store) Contended(bucket int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.writeQueues[bucket]
	if q != nil && (q.writing || q.individual >= openPageThreshold) {
		return true
	}
	return !s.jobPages[HeadPageKey(bucket)].isClosed()
}

// enqueueSubmission has a job committed together with those that wait as well; the lock is held. The
// first one waits for nobody; those that come while a transaction is under way share the next.
func (s *Store) enqueueSubmission(q *bucketQueue, sub *submission, job *wire.Job) error {
	if s.runContext == nil || s.stopped {
		return errStopped
	}
	if s.config.SubmissionTier != nil {
		sub.tier = s.config.SubmissionTier(job.Team, job.Class)
	}
	q.submissions = append(q.submissions, sub)
	s.startWriter(q)
	return nil
}

// startWriter starts a bucket's writer unless it runs; the lock is held.
func (s *Store) startWriter(q *bucketQueue) {
	if q.writing {
		return
	}
	q.writing = true
	ctx := s.runContext
	s.writers.Go(func() { s.runWriter(ctx, q) })
}

// awaitAcceptance waits until a queued submission is answered.
func (s *Store) awaitAcceptance(ctx context.Context, q *bucketQueue, sub *submission) (duplicate bool, err error) {
	select {
	case r := <-sub.done:
		return r.duplicate, r.err
	case <-ctx.Done():
		s.mu.Lock()
		q.submissions = slices.DeleteFunc(q.submissions, func(o *submission) bool { return o == sub })
		s.mu.Unlock()
		return false, unknownError(ctx)
	}
}

// runWriter commits what waits for a bucket until nothing does, cancellations and submissions in turn.
func (s *Store) runWriter(ctx context.Context, q *bucketQueue) {
	for {
		if batch := s.takeCancellations(q); len(batch) > 0 {
			batchCtx, cancel := context.WithTimeout(ctx, batchTimeout)
			s.commitCancellations(batchCtx, batch)
			cancel()
		}
		subs, idle := s.takeSubmissions(q)
		if idle {
			return
		}
		if len(subs) > 0 {
			batchCtx, cancel := context.WithTimeout(ctx, batchTimeout)
			s.commitBatch(batchCtx, q, &batch{subs})
			cancel()
		}
	}
}

// takeSubmissions takes a batch off a queue. idle means that nothing waits any more: the writer is to
// stop, and the next one that comes starts another.
func (s *Store) takeSubmissions(q *bucketQueue) (subs []*submission, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	subs = s.fillBatch(q)
	if len(subs) == 0 && len(q.cancellations) == 0 {
		q.writing = false
		return nil, true
	}
	return subs, false
}

// fillBatch takes what fits into a transaction off a queue, each id once: a repeat of a submission
// waits for the next, and is told that it is a duplicate. The lock is held.
func (s *Store) fillBatch(q *bucketQueue) []*submission {
	var subs []*submission
	ids := map[string]bool{}
	taken := map[*submission]bool{}
	bytes, most := 0, s.config.Limits.maxJobs(s.guardsPerJob(HeadPageKey(q.bucket)))
	for _, sub := range byTier(q.submissions, most) {
		size := sub.entry.size()
		if ids[sub.entry.ID] || len(subs) >= most || len(subs) > 0 && bytes+size > maxBatchPages*s.config.Limits.pageBytes() {
			continue
		}
		ids[sub.entry.ID], taken[sub] = true, true
		bytes += size
		subs = append(subs, sub)
	}
	q.submissions = slices.DeleteFunc(q.submissions, func(sub *submission) bool { return taken[sub] })
	return subs
}

// byTier puts submissions, of which a transaction takes so many, in the order in which they are taken:
// lower tiers first, but a quarter is of those that have waited longest, whatever their tier.
func byTier(waiting []*submission, most int) []*submission {
	if len(waiting) <= most {
		return waiting
	}
	out := slices.Clone(waiting)
	slices.SortStableFunc(out[(most+3)/4:], func(a, b *submission) int { return a.tier - b.tier })
	return out
}

// guardsPerJob is how many conditions a job has that is added to a head page; the lock is held. Once
// the page is open, jobs get keys of their own only by a transaction that changes it; so whoever knows
// what there was when it was opened knows all such keys.
func (s *Store) guardsPerJob(headKey string) int {
	if head := s.jobPages[headKey]; head.isClosed() || s.revision < head.openedAt {
		return 2
	}
	return 1
}

// batch is submissions of one bucket that share a transaction and are not answered yet.
type batch struct{ submissions []*submission }

// answer answers those for which which is true.
func (b *batch) answer(which func(*submission) bool, result acceptResult) {
	b.submissions = slices.DeleteFunc(b.submissions, func(sub *submission) bool {
		if !which(sub) {
			return false
		}
		sub.done <- result
		return true
	})
}

// answerAll answers all that are left.
func (b *batch) answerAll(result acceptResult) {
	b.answer(func(*submission) bool { return true }, result)
}

// commitBatch commits submissions of a bucket, and answers each.
func (s *Store) commitBatch(ctx context.Context, q *bucketQueue, b *batch) {
	var err error
	for try := 0; try < maxAcceptAttempts && ctx.Err() == nil; try++ {
		guards, ops, prepareErr := s.prepareBatch(q, b)
		if prepareErr != nil {
			b.answerAll(acceptResult{err: prepareErr})
			return
		}
		if len(b.submissions) == 0 {
			return
		}
		var rev uint64
		rev, err = s.kv.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			s.applyOwnPages(ops, rev)
			b.answerAll(acceptResult{})
			s.refreshIfBehind(ctx, q)
			return
		}
		var conflict *kvstore.ConflictError
		switch {
		case errors.As(err, &conflict):
			b.answer(func(sub *submission) bool { return conflictsWithJob(conflict, sub.entry.ID) }, acceptResult{duplicate: true})
			if !slices.Contains(conflict.FailedKeys, HeadPageKey(q.bucket)) && !slices.Contains(conflict.FailedKeys, SchemaKey) {
				continue
			}
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			// It may have been committed: then the head page has them.
		default:
			b.answerAll(acceptResult{err: err})
			return
		}
		if barrierErr := s.readBarrier(ctx); barrierErr != nil {
			err = barrierErr
			break
		}
	}
	if err == nil || errors.As(err, new(*kvstore.ConflictError)) {
		err = errTooManyConflicts
	}
	b.answerAll(acceptResult{err: err})
}

// prepareBatch answers the submissions that are known meanwhile, and returns the transaction for the
// others.
func (s *Store) prepareBatch(q *bucketQueue, b *batch) ([]wire.Guard, []wire.Op, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.answer(func(sub *submission) bool { return s.isKnown(sub.entry.ID) }, acceptResult{duplicate: true})
	if len(b.submissions) == 0 {
		return nil, nil, nil
	}
	if err := s.checkAdmissible(b.submissions[0].entry.ID); err != nil { // and so for all of its bucket
		return nil, nil, err
	}
	if most := s.config.Limits.maxJobs(s.guardsPerJob(HeadPageKey(q.bucket))); len(b.submissions) > most {
		// The head page has been closed meanwhile, so that each needs more conditions.
		q.submissions = append(slices.Clone(b.submissions[most:]), q.submissions...)
		b.submissions = b.submissions[:most]
	}
	guards, ops := s.batchTransaction(q, b.submissions)
	return guards, ops, nil
}

// refreshIfBehind reads a barrier where that lets the next transaction take more submissions. If it
// fails, that one takes fewer.
func (s *Store) refreshIfBehind(ctx context.Context, q *bucketQueue) {
	s.mu.Lock()
	behind := len(q.submissions) > 0 && s.guardsPerJob(HeadPageKey(q.bucket)) > 1
	s.mu.Unlock()
	if behind {
		_ = s.readBarrier(ctx) // only the size of the next batch depends on it
	}
}

// batchTransaction is a transaction that adds jobs to a bucket; the lock is held. Its conditions: the
// head page is as it was when none of them was known, none is over, and none has a key of its own that
// this controller may not know.
func (s *Store) batchTransaction(q *bucketQueue, subs []*submission) ([]wire.Guard, []wire.Op) {
	key := HeadPageKey(q.bucket)
	perJob := s.guardsPerJob(key)
	guards := make([]wire.Guard, 0, 2+perJob*len(subs))
	guards = append(guards, wire.Guard{Key: key, Version: s.headPageVersion(key)}, wire.Guard{Key: SchemaKey, Version: s.schemaVersion})
	var head JobPage
	size := 0
	if p := s.jobPages[key]; p != nil {
		head, size = p.page, p.size
	}
	for _, sub := range subs {
		guards = append(guards, wire.Guard{Key: FinalKey(sub.entry.ID)})
		if perJob > 1 {
			guards = append(guards, wire.Guard{Key: JobKey(sub.entry.ID)})
		}
		size += sub.entry.size()
	}
	if len(subs) > singleFile {
		q.lastShared = time.Now()
	}
	w := newHeadWriter(q.bucket, head, s.config.Limits.pageBytes())
	if size > w.maxBytes {
		w.seal()
	}
	for _, sub := range subs {
		w.add(sub.entry)
	}
	if len(subs) <= singleFile && time.Since(q.lastShared) > closePageAfter {
		w.seal()
		w.head.Closed = true
	}
	return guards, append(w.ops, wire.Op{Put: key, Value: w.head})
}

// headWriter adds entries to a copy of a bucket's head page. What it has no room for is sealed.
type headWriter struct {
	bucket   int
	head     JobPage
	bytes    int // what the head page takes
	maxBytes int
	ops      []wire.Op // puts of sealed pages
}

// newHeadWriter writes a head page that is open.
func newHeadWriter(bucket int, head JobPage, maxBytes int) *headWriter {
	head = JobPage{LastSealed: head.LastSealed, Entries: slices.Clone(head.Entries)}
	return &headWriter{bucket: bucket, head: head, bytes: head.Size(), maxBytes: maxBytes}
}

// add adds an entry, after sealing the page if it has no room for it.
func (w *headWriter) add(e JobPageEntry) {
	size := e.size()
	if w.bytes+size > w.maxBytes {
		w.seal()
	}
	w.head.Entries = append(w.head.Entries, e)
	w.bytes += size
}

// seal moves the entries to a sealed page.
func (w *headWriter) seal() {
	if len(w.head.Entries) == 0 {
		return
	}
	w.head.LastSealed++
	w.ops = append(w.ops, wire.Op{Put: SealedPageKey(w.bucket, w.head.LastSealed), Value: JobPage{Entries: w.head.Entries}})
	w.head.Entries = nil
	w.bytes = w.head.Size()
}
