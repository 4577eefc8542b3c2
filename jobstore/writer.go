// The queue of a bucket's submissions and cancellations, and the writer goroutine that commits them.
// Each controller has at most one writer for a bucket, so that its own transactions do not conflict.
//
// A transaction that a rate limit refused was not executed. Its writes return to the queue and wait
// there until their requesters' deadlines. If their requesters were rejected instead, they would all
// retry at the same time and share a transaction as large as the refused one. The next transaction of
// cancellations is smaller (see kvstore.BatchSize). Writes whose outcome is unknown never return to
// the queue.

package jobstore

import (
	"context"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
)

const (
	// maxCancellationTurns is how many consecutive transactions of cancellations may go before one of
	// submissions while both kinds wait. Cancellations go first because each needs a change of its own,
	// whereas all waiting submissions share a few changes.
	maxCancellationTurns = 2
	// minCancellationChanges is the size of a transaction that cancels one job: its page and its final
	// record.
	minCancellationChanges = 2
)

// bucketQueue holds the writes that wait for a bucket's next transaction. The Store's lock guards it.
type bucketQueue struct {
	bucket             int
	submissions        []*submission
	cancellations      []*cancellation // in the order in which they were first requested
	cancellationTurns  int             // transactions of cancellations since the last one of submissions
	isWriterRunning    bool            // the bucket's writer goroutine is running
	individualInFlight int             // transactions in flight for jobs with keys of their own
	lastContendedAt    time.Time       // when submissions were last concurrent

	cancellationSize *kvstore.BatchSize // used by the writer goroutine only
}

// bucketQueue returns a bucket's queue, and creates it if necessary. The caller holds s.mu.
func (s *Store) bucketQueue(bucket int) *bucketQueue {
	q := s.writeQueues[bucket]
	if q == nil {
		q = &bucketQueue{bucket: bucket, cancellationSize: kvstore.NewBatchSize(minCancellationChanges, s.config.Limits.TxnOps())}
		s.writeQueues[bucket] = q
	}
	return q
}

// startWriter starts a bucket's writer unless it is running. The caller holds s.mu.
func (s *Store) startWriter(q *bucketQueue) {
	if q.isWriterRunning {
		return
	}
	q.isWriterRunning = true
	ctx := s.runContext
	s.writers.Go(func() { s.runWriter(ctx, q) })
}

// runWriter commits a bucket's queued writes until the queue is empty. It waits for the write limiter
// before it composes a transaction. Another controller may change the page during the wait, and a
// transaction composed earlier would conflict.
func (s *Store) runWriter(ctx context.Context, q *bucketQueue) {
	for {
		if err := s.kv.AwaitWriteCapacity(ctx, s.minNextChanges(q)); err != nil {
			s.failQueue(q) // ctx has ended
		}
		turn, ok := s.nextTurn(q)
		if !ok {
			return
		}
		if refused := s.commitTurn(ctx, q, turn); refused && !kvstore.PauseBeforeRetry(ctx) {
			s.failQueue(q)
		}
	}
}

// writerTurn holds the writes that a writer commits in one transaction. All are of one kind.
type writerTurn struct {
	submissions   []*submission
	cancellations []*cancellation
}

// minNextChanges returns a lower bound of the changes of a bucket's next transaction, for the wait before
// it is composed.
func (s *Store) minNextChanges(q *bucketQueue) int {
	maxChanges := s.maxCancellationChanges(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.cancellationsAreNext() {
		return min(maxChanges, 1+len(q.cancellations))
	}
	return min(1, len(q.submissions))
}

// maxCancellationChanges returns how many changes a bucket's next transaction of cancellations may have.
func (s *Store) maxCancellationChanges(q *bucketQueue) int {
	return max(minCancellationChanges, min(q.cancellationSize.Limit(), s.kv.WriteBurst()))
}

// cancellationsAreNext reports whether the next transaction is one of cancellations. The caller holds the
// Store's lock.
func (q *bucketQueue) cancellationsAreNext() bool {
	return len(q.cancellations) > 0 && (len(q.submissions) == 0 || q.cancellationTurns < maxCancellationTurns)
}

// nextTurn removes the writes of the next transaction from a queue. If the queue is empty, ok is false.
// The writer must then stop, and the next request starts a new one.
func (s *Store) nextTurn(q *bucketQueue) (turn writerTurn, ok bool) {
	maxChanges := s.maxCancellationChanges(q)
	s.kv.SetWaitingWrites(s.waitingCancellations())
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.cancellationsAreNext() {
		q.cancellationTurns++
		turn.cancellations = s.takeCancellations(q, maxChanges-1)
		return turn, true
	}
	q.cancellationTurns = 0
	turn.submissions = s.fillBatch(q)
	q.isWriterRunning = len(turn.submissions) > 0
	return turn, q.isWriterRunning
}

// waitingCancellations returns how many cancellations wait in all queues. Submissions don't count,
// because all that wait for a bucket share a few changes.
func (s *Store) waitingCancellations() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.writeQueues {
		n += len(q.cancellations)
	}
	return n
}

// commitTurn commits writes. It reports whether a rate limit refused them, in which case they are in the
// queue again.
func (s *Store) commitTurn(ctx context.Context, q *bucketQueue, turn writerTurn) (refused bool) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if len(turn.cancellations) > 0 {
		return s.commitCancellations(ctx, q, turn.cancellations)
	}
	return s.commitBatch(ctx, q, &batch{turn.submissions})
}

// requeueSubmissions puts refused submissions back at the front of the queue, except those whose
// requesters no longer wait. The caller holds the Store's lock.
func (q *bucketQueue) requeueSubmissions(submissions []*submission) {
	waiting := slices.DeleteFunc(slices.Clone(submissions), func(sub *submission) bool { return !sub.ticket.requeue() })
	q.submissions = append(waiting, q.submissions...)
}

// requeueCancellations puts refused cancellations back into the queue, except those whose requesters no
// longer wait. The caller holds the Store's lock.
func (q *bucketQueue) requeueCancellations(cancellations []*cancellation) {
	for _, c := range cancellations {
		if c.ticket.requeue() {
			q.insertCancellation(c)
		}
	}
}

// insertCancellation queues a cancellation in the order of first requests. A requester that was rejected
// and retries keeps its place. The caller holds the Store's lock.
func (q *bucketQueue) insertCancellation(c *cancellation) {
	at, _ := slices.BinarySearchFunc(q.cancellations, c, func(queued, c *cancellation) int {
		if queued.requestedAt.After(c.requestedAt) {
			return 1
		}
		return -1
	})
	q.cancellations = slices.Insert(q.cancellations, at, c)
}

// failQueue fails everything in a queue with errStopped once Run is ending.
func (s *Store) failQueue(q *bucketQueue) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range q.submissions {
		sub.done <- acceptResult{err: errStopped}
	}
	for _, c := range q.cancellations {
		c.done <- errStopped
	}
	q.submissions, q.cancellations = nil, nil
}
