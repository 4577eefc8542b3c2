package jobstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file commits concurrent submissions in shared transactions, which add them to the job pages of
// their bucket. The bucket's writer calls it (see writer.go).

const (
	// closePageAfter is how long submissions must have come without contention, in batches of up to
	// maxUncontendedBatch, before the head page is closed again.
	closePageAfter = 5 * time.Second
	// maxBatchPages bounds the size of a transaction's entries or final records, in multiples of the
	// page size.
	maxBatchPages = 2
	// maxUncontendedBatch is the largest batch that does not count as concurrent submissions.
	maxUncontendedBatch = 2
	batchTimeout        = 3 * time.Second
)

// ShouldRouteToOwner reports whether submissions of a bucket should currently all be sent to one controller: the
// bucket's head page is open or about to be, and controllers that add to it concurrently make each
// other's transactions fail. It is a matter of throughput only.
func (s *Store) ShouldRouteToOwner(bucket int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.writeQueues[bucket]
	if q != nil && (q.isWriterRunning || q.individualInFlight >= openPageThreshold) {
		return true
	}
	return !s.jobPages[HeadPageKey(bucket)].isClosed()
}

// enqueueSubmission hands a submission to its bucket's writer. The first is committed without delay;
// those that arrive while its transaction is in flight share the next one. The caller holds s.mu.
func (s *Store) enqueueSubmission(q *bucketQueue, sub *submission, job *wire.Job) error {
	if s.runContext == nil || s.stopped {
		return errStopped
	}
	if s.config.SubmissionTier != nil {
		sub.tier = s.config.SubmissionTier(job.Team, job.Class)
	}
	sub.ticket = queueTicket{queuedAt: time.Now()}
	q.submissions = append(q.submissions, sub)
	s.startWriter(q)
	return nil
}

// awaitAcceptance waits for the result of a queued submission.
func (s *Store) awaitAcceptance(ctx context.Context, q *bucketQueue, sub *submission) (duplicate bool, err error) {
	select {
	case r := <-sub.done:
		result := writeResultOf(r.err)
		if r.duplicate {
			result = WriteDuplicate
		}
		s.observeQueuedWrite(WriteSubmission, sub.entry.ID, sub.ticket, result)
		return r.duplicate, r.err
	case <-ctx.Done():
		s.mu.Lock()
		q.submissions = slices.DeleteFunc(q.submissions, func(o *submission) bool { return o == sub })
		err := sub.ticket.abandon(ctx)
		ticket := sub.ticket
		s.mu.Unlock()
		s.observeQueuedWrite(WriteSubmission, sub.entry.ID, ticket, WriteAbandoned)
		return false, err
	}
}

// fillBatch takes the submissions that fit into a transaction off a queue. Each id is taken once: a
// repeated submission stays for the next batch, where it is found to be a duplicate. The caller holds
// s.mu.
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
		sub.ticket.inFlight = true
		subs = append(subs, sub)
	}
	q.submissions = slices.DeleteFunc(q.submissions, func(sub *submission) bool { return taken[sub] })
	return subs
}

// byTier orders submissions for a transaction that takes up to most of them: lowest tier number first,
// except that a quarter of the places goes to those that have waited longest, so that no tier starves.
func byTier(waiting []*submission, most int) []*submission {
	if len(waiting) <= most {
		return waiting
	}
	out := slices.Clone(waiting)
	slices.SortStableFunc(out[(most+3)/4:], func(a, b *submission) int { return a.tier - b.tier })
	return out
}

// guardsPerJob returns how many guards each job needs that is added to a head page: that it has no
// final record and, in some cases, no key of its own. The latter is not needed if the head page is open
// and the index includes the revision that opened it: the index then has every key from before, and any
// later transaction that gives a job of this bucket its own key also changes the head page, whose
// version is guarded. The caller holds s.mu.
func (s *Store) guardsPerJob(headKey string) int {
	if head := s.jobPages[headKey]; head.isClosed() || s.revision < head.openedAt {
		return 2
	}
	return 1
}

// batch is the submissions of a bucket that share a transaction and have no result yet.
type batch struct{ submissions []*submission }

// complete sends a result to the submissions for which which returns true, and removes them.
func (b *batch) complete(which func(*submission) bool, result acceptResult) {
	b.submissions = slices.DeleteFunc(b.submissions, func(sub *submission) bool {
		if !which(sub) {
			return false
		}
		sub.done <- result
		return true
	})
}

// completeAll sends a result to all submissions that are left.
func (b *batch) completeAll(result acceptResult) {
	b.complete(func(*submission) bool { return true }, result)
}

// commitBatch commits submissions of a bucket, and sends each its result. If a rate limit refused them,
// refused is true, and they are queued again.
func (s *Store) commitBatch(ctx context.Context, q *bucketQueue, b *batch) (refused bool) {
	var err error
	for try := 0; try < maxAcceptAttempts && ctx.Err() == nil; try++ {
		guards, ops, prepareErr := s.prepareBatch(q, b)
		if prepareErr != nil {
			b.completeAll(acceptResult{err: prepareErr})
			return false
		}
		if len(b.submissions) == 0 {
			return false
		}
		var rev uint64
		rev, err = s.kv.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			s.applyOwnPages(ops, rev)
			b.completeAll(acceptResult{})
			s.refreshIfBehind(ctx, q)
			return false
		}
		var conflict *kvstore.ConflictError
		switch {
		case errors.As(err, &conflict):
			b.complete(func(sub *submission) bool { return conflictsWithJob(conflict, sub.entry.ID) }, acceptResult{duplicate: true})
			if !slices.Contains(conflict.FailedKeys, HeadPageKey(q.bucket)) && !slices.Contains(conflict.FailedKeys, SchemaKey) {
				continue
			}
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			// It may have been committed. If so, the barrier shows the jobs, and they count as duplicates.
			s.markUncertain(b)
		case kvstore.IsRateLimited(err):
			s.countRetry(WriteSubmission)
			s.mu.Lock()
			defer s.mu.Unlock()
			q.requeueSubmissions(b.submissions)
			return true
		default:
			b.completeAll(acceptResult{err: err})
			return false
		}
		if barrierErr := s.readBarrier(ctx); barrierErr != nil {
			err = barrierErr
			break
		}
	}
	if err == nil || errors.As(err, new(*kvstore.ConflictError)) {
		err = errTooManyConflicts
	}
	b.completeAll(acceptResult{err: err})
	return false
}

// markUncertain records that a transaction of a batch may yet be executed.
func (s *Store) markUncertain(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range b.submissions {
		sub.ticket.uncertain = true
	}
}

// prepareBatch answers submissions whose ids have become known since they were queued, and returns the
// transaction for the others.
func (s *Store) prepareBatch(q *bucketQueue, b *batch) ([]wire.Guard, []wire.Op, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.complete(func(sub *submission) bool { return s.isKnown(sub.entry.ID) }, acceptResult{duplicate: true})
	if len(b.submissions) == 0 {
		return nil, nil, nil
	}
	if err := s.checkAdmissible(b.submissions[0].entry.ID); err != nil { // the same for the whole bucket
		return nil, nil, err
	}
	if most := s.config.Limits.maxJobs(s.guardsPerJob(HeadPageKey(q.bucket))); len(b.submissions) > most {
		// The head page has been closed since the batch was filled, so that each job needs more guards.
		q.requeueSubmissions(b.submissions[most:])
		b.submissions = b.submissions[:most]
	}
	for _, sub := range b.submissions {
		sub.ticket.recordTransaction(len(b.submissions))
	}
	guards, ops := s.batchTransaction(q, b.submissions)
	return guards, ops, nil
}

// refreshIfBehind reads a barrier if submissions wait and the next transaction would need the second
// guard for each (see guardsPerJob): an up-to-date index saves it, so that more jobs fit.
func (s *Store) refreshIfBehind(ctx context.Context, q *bucketQueue) {
	s.mu.Lock()
	behind := len(q.submissions) > 0 && s.guardsPerJob(HeadPageKey(q.bucket)) > 1
	s.mu.Unlock()
	if behind {
		_ = s.readBarrier(ctx) // only the size of the next batch depends on it
	}
}

// batchTransaction returns a transaction that adds jobs to a bucket. Its guards make sure that no id is
// accepted twice: the head page and the schema are unchanged since the index showed none of the jobs,
// none has a final record, and none has a key of its own that the index may lack. The caller holds s.mu.
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
	if len(subs) > maxUncontendedBatch {
		q.lastContendedAt = time.Now()
	}
	w := newHeadWriter(q.bucket, head, s.config.Limits.pageBytes())
	if size > w.maxBytes {
		w.seal()
	}
	for _, sub := range subs {
		w.add(sub.entry)
	}
	if len(subs) <= maxUncontendedBatch && time.Since(q.lastContendedAt) > closePageAfter {
		w.seal()
		w.head.Closed = true
	}
	return guards, append(w.ops, wire.Op{Put: key, Value: w.head})
}

// headWriter adds entries to a copy of a bucket's head page, and moves them to a new sealed page
// whenever it is full.
type headWriter struct {
	bucket   int
	head     JobPage
	bytes    int // size of the head page
	maxBytes int
	ops      []wire.Op // puts of sealed pages
}

// newHeadWriter returns a headWriter that starts from head, as an open page.
func newHeadWriter(bucket int, head JobPage, maxBytes int) *headWriter {
	head = JobPage{LastSealed: head.LastSealed, Entries: slices.Clone(head.Entries)}
	return &headWriter{bucket: bucket, head: head, bytes: head.Size(), maxBytes: maxBytes}
}

// add adds an entry. If the page has no room for it, it is sealed first.
func (w *headWriter) add(e JobPageEntry) {
	size := e.size()
	if w.bytes+size > w.maxBytes {
		w.seal()
	}
	w.head.Entries = append(w.head.Entries, e)
	w.bytes += size
}

// seal moves the entries to a new sealed page.
func (w *headWriter) seal() {
	if len(w.head.Entries) == 0 {
		return
	}
	w.head.LastSealed++
	w.ops = append(w.ops, wire.Op{Put: SealedPageKey(w.bucket, w.head.LastSealed), Value: JobPage{Entries: w.head.Entries}})
	w.head.Entries = nil
	w.bytes = w.head.Size()
}
