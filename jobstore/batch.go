// Batches of submissions. Concurrent submissions to a bucket share a transaction, which adds their jobs
// to the bucket's head page. The bucket's writer calls commitBatch (see writer.go).

package jobstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// closePageAfter is how long submissions must have arrived without contention, in batches of up to
	// maxUncontendedBatch, before the head page is closed again.
	closePageAfter = 5 * time.Second
	// maxBatchPages bounds the size of a transaction's entries or final records, in multiples of the
	// page size.
	maxBatchPages = 2
	// maxUncontendedBatch is the largest batch that does not count as concurrent submissions.
	maxUncontendedBatch = 2
	batchTimeout        = 3 * time.Second
	// oldestFirstShare reserves 1/oldestFirstShare of a batch, rounded up, for the submissions that have
	// waited longest.
	oldestFirstShare = 4
)

// ShouldRouteToOwner reports whether all submissions of a bucket should currently be sent to one
// controller. This is the case while the bucket's head page is open or about to be opened, because
// controllers that add to the page concurrently make each other's transactions fail. Only throughput
// depends on the result.
func (s *Store) ShouldRouteToOwner(bucket int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.writeQueues[bucket]
	if q != nil && (q.isWriterRunning || q.individualInFlight >= openPageThreshold) {
		return true
	}
	return !s.jobPages[HeadPageKey(bucket)].isClosed()
}

// enqueueSubmission passes a submission to its bucket's writer. The first one is committed without
// delay. Submissions that arrive while its transaction is in flight share the next transaction. The
// caller holds s.mu.
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
		q.submissions = slices.DeleteFunc(q.submissions, func(other *submission) bool { return other == sub })
		err := sub.ticket.abandon(ctx)
		ticket := sub.ticket
		s.mu.Unlock()
		s.observeQueuedWrite(WriteSubmission, sub.entry.ID, ticket, WriteAbandoned)
		return false, err
	}
}

// fillBatch removes the submissions that fit into a transaction from a queue. It takes each id once. A
// repeated submission stays for the next batch, which recognizes it as a duplicate. The caller holds
// s.mu.
func (s *Store) fillBatch(q *bucketQueue) []*submission {
	var subs []*submission
	ids := map[string]bool{}
	taken := map[*submission]bool{}
	bytes, maxJobs := 0, s.config.Limits.maxJobs(s.guardsPerJob(HeadPageKey(q.bucket)))
	for _, sub := range byTier(q.submissions, maxJobs) {
		size := sub.entry.size()
		if ids[sub.entry.ID] || len(subs) >= maxJobs || len(subs) > 0 && bytes+size > maxBatchPages*s.config.Limits.pageBytes() {
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

// byTier orders submissions for a transaction of up to maxJobs of them. Those that have waited longest
// get their share of the places (see oldestFirstShare), so that no tier starves. The others follow with
// the lowest tier number first.
func byTier(waiting []*submission, maxJobs int) []*submission {
	if len(waiting) <= maxJobs {
		return waiting
	}
	out := slices.Clone(waiting)
	reserved := (maxJobs + oldestFirstShare - 1) / oldestFirstShare
	slices.SortStableFunc(out[reserved:], func(a, b *submission) int { return a.tier - b.tier })
	return out
}

// guardsPerJob returns how many guards each job needs that is added to a head page. One guard checks that
// the job has no final record. A second guard checks that it has no key of its own.
//
// The second guard is not needed if the head page is open and the index includes the revision that
// opened it. The index then has every key written before that revision. Any later transaction that gives
// a job of this bucket its own key also changes the head page, whose version is guarded. The caller
// holds s.mu.
func (s *Store) guardsPerJob(headKey string) int {
	if head := s.jobPages[headKey]; head.isClosed() || s.revision < head.openedAt {
		return 2
	}
	return 1
}

// batch holds the submissions of a bucket that share a transaction and have no result yet.
type batch struct{ submissions []*submission }

// complete sends a result to the submissions for which matches returns true, and removes them.
func (b *batch) complete(matches func(*submission) bool, result acceptResult) {
	b.submissions = slices.DeleteFunc(b.submissions, func(sub *submission) bool {
		if !matches(sub) {
			return false
		}
		sub.done <- result
		return true
	})
}

// completeAll sends a result to all remaining submissions.
func (b *batch) completeAll(result acceptResult) {
	b.complete(func(*submission) bool { return true }, result)
}

// commitBatch commits submissions of a bucket, and sends each its result. If a rate limit refused them,
// refused is true and they are queued again. If the store rejected them as invalid, each half is committed
// separately, so that a submission that can't be committed fails alone.
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
			// The transaction may have been committed. The barrier then shows the jobs, and they count
			// as duplicates.
			s.markUncertain(b)
		case kvstore.IsRateLimited(err):
			s.countRetry(WriteSubmission)
			s.mu.Lock()
			defer s.mu.Unlock()
			q.requeueSubmissions(b.submissions)
			return true
		default:
			return s.failBatch(ctx, q, b, err)
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

// failBatch handles a transaction that was not executed for another reason than a conflict or a rate
// limit. It fails the batch with err. If the store rejected the transaction as invalid, it commits each
// half of the batch separately instead, if there are several submissions.
func (s *Store) failBatch(ctx context.Context, q *bucketQueue, b *batch, err error) (refused bool) {
	if !kvstore.IsRejected(err) || len(b.submissions) == 1 {
		b.completeAll(acceptResult{err: err})
		return false
	}
	half := len(b.submissions) / 2
	first, second := &batch{slices.Clone(b.submissions[:half])}, &batch{b.submissions[half:]}
	firstRefused := s.commitBatch(ctx, q, first)
	return s.commitBatch(ctx, q, second) || firstRefused
}

// markUncertain records that a transaction of the batch may have been or may still be executed.
func (s *Store) markUncertain(b *batch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range b.submissions {
		sub.ticket.uncertain = true
	}
}

// prepareBatch completes submissions whose ids have become known since they were queued, and returns
// the transaction for the others.
func (s *Store) prepareBatch(q *bucketQueue, b *batch) ([]wire.Guard, []wire.Op, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b.complete(func(sub *submission) bool { return s.isKnown(sub.entry.ID) }, acceptResult{duplicate: true})
	if len(b.submissions) == 0 {
		return nil, nil, nil
	}
	if err := s.checkAdmissible(b.submissions[0].entry.ID); err != nil { // the result is the same for the whole bucket
		return nil, nil, err
	}
	if maxJobs := s.config.Limits.maxJobs(s.guardsPerJob(HeadPageKey(q.bucket))); len(b.submissions) > maxJobs {
		// The head page has been closed since the batch was filled, so each job needs more guards.
		q.requeueSubmissions(b.submissions[maxJobs:])
		b.submissions = b.submissions[:maxJobs]
	}
	for _, sub := range b.submissions {
		sub.ticket.recordTransaction(len(b.submissions))
	}
	guards, ops := s.batchTransaction(q, b.submissions)
	return guards, ops, nil
}

// refreshIfBehind reads a barrier if submissions wait and each would need the second guard in the next
// transaction (see guardsPerJob). With an up-to-date index the guard is not needed, so more jobs fit.
func (s *Store) refreshIfBehind(ctx context.Context, q *bucketQueue) {
	s.mu.Lock()
	behind := len(q.submissions) > 0 && s.guardsPerJob(HeadPageKey(q.bucket)) > 1
	s.mu.Unlock()
	if behind {
		_ = s.readBarrier(ctx) // only the size of the next batch depends on it
	}
}

// batchTransaction returns a transaction that adds jobs to a bucket. Its guards ensure that no id is
// accepted twice. They check that the head page and the schema are unchanged since the index showed none
// of the jobs, that no job has a final record, and that no job has a key of its own that the index may
// lack. The caller holds s.mu.
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

// headWriter adds entries to a copy of a bucket's head page. Whenever the page is full, it moves the
// entries to a new sealed page.
type headWriter struct {
	bucket   int
	head     JobPage
	bytes    int       // size of the head page
	maxBytes int       // largest size of a page
	ops      []wire.Op // puts of sealed pages
}

// newHeadWriter returns a headWriter that starts with the entries of head as an open page.
func newHeadWriter(bucket int, head JobPage, maxBytes int) *headWriter {
	head = JobPage{LastSealed: head.LastSealed, Entries: slices.Clone(head.Entries)}
	return &headWriter{bucket: bucket, head: head, bytes: head.Size(), maxBytes: maxBytes}
}

// add adds an entry. If the page has no room for it, the page is sealed first.
func (w *headWriter) add(e JobPageEntry) {
	size := e.size()
	if w.bytes+size > w.maxBytes {
		w.seal()
	}
	w.head.Entries = append(w.head.Entries, e)
	w.bytes += size
}

// seal moves the entries to a new sealed page. It does nothing if there are none.
func (w *headWriter) seal() {
	if len(w.head.Entries) == 0 {
		return
	}
	w.head.LastSealed++
	w.ops = append(w.ops, wire.Op{Put: SealedPageKey(w.bucket, w.head.LastSealed), Value: JobPage{Entries: w.head.Entries}})
	w.head.Entries = nil
	w.bytes = w.head.Size()
}
