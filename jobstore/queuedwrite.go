// The state and the outcome of a write in a bucket's queue, as reported to metrics and logs.

package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
)

// WriteKind is the kind of a write in a bucket's queue. It is a metric label.
type WriteKind string

// Kinds of queued writes.
const (
	WriteSubmission   WriteKind = "submission"
	WriteCancellation WriteKind = "cancellation"
)

// WriteResult is how a queued write ended. It is a metric label.
type WriteResult string

// Results of queued writes.
const (
	WriteCommitted WriteResult = "committed"
	WriteDuplicate WriteResult = "duplicate" // a submission whose id was accepted before
	WriteMoved     WriteResult = "moved"     // a cancellation whose job left the page and must be looked up again
	WriteConflict  WriteResult = "conflict"  // a guard failed
	WriteRefused   WriteResult = "refused"   // not executed
	WriteUnknown   WriteResult = "unknown"   // may have been executed
	WriteAbandoned WriteResult = "abandoned" // its requester stopped waiting
	WriteFailed    WriteResult = "failed"    // any other error
)

// QueuedWrite describes a submission or a cancellation that has left its bucket's queue, for metrics and
// logs.
type QueuedWrite struct {
	Kind         WriteKind
	ID           string // the job's id
	Result       WriteResult
	Queued       time.Duration // time in the queue and in its transactions
	Transactions int           // how many transactions it was part of
	Shared       int           // how many writes were in its last transaction
}

// queueTicket records the progress of a write in its bucket's queue. The Store's lock guards it.
type queueTicket struct {
	queuedAt     time.Time
	transactions int
	shared       int
	inFlight     bool // removed from the queue, so its transaction may be executed at any moment
	uncertain    bool // an earlier transaction with this write has an unknown outcome
	abandoned    bool // its requester no longer waits
}

// recordTransaction records that the write is part of another transaction, which has the given number of
// writes.
func (t *queueTicket) recordTransaction(writes int) {
	t.transactions++
	t.shared = writes
}

// requeue records that the write's transaction was refused. It reports whether to queue the write again.
func (t *queueTicket) requeue() bool {
	t.inFlight = false
	return !t.abandoned
}

// abandon records that the write's requester no longer waits, and returns the requester's error. The
// outcome is unknown if the write is or was part of a transaction that may be executed.
func (t *queueTicket) abandon(ctx context.Context) error {
	t.abandoned = true
	if t.inFlight || t.uncertain {
		return unknownError(ctx)
	}
	return fmt.Errorf("%w: still queued: %w", kvstore.ErrRateLimited, ctx.Err())
}

// writeResultOf classifies the error of a queued write.
func writeResultOf(err error) WriteResult {
	var conflict *kvstore.ConflictError
	switch {
	case err == nil:
		return WriteCommitted
	case errors.Is(err, errJobMoved):
		return WriteMoved
	case errors.As(err, &conflict):
		return WriteConflict
	case errors.Is(err, kvstore.ErrRefused):
		return WriteRefused
	case errors.Is(err, kvstore.ErrOutcomeUnknown):
		return WriteUnknown
	}
	return WriteFailed
}

// observeQueuedWrite reports a write that has left its queue.
func (s *Store) observeQueuedWrite(kind WriteKind, id string, ticket queueTicket, result WriteResult) {
	if s.config.ObserveQueuedWrite != nil {
		s.config.ObserveQueuedWrite(QueuedWrite{Kind: kind, ID: id, Result: result, Queued: time.Since(ticket.queuedAt),
			Transactions: ticket.transactions, Shared: ticket.shared})
	}
}

// countRetry counts a refused transaction of a bucket's writer.
func (s *Store) countRetry(kind WriteKind) {
	if s.config.CountQueuedWriteRetry != nil {
		s.config.CountQueuedWriteRetry(kind)
	}
}
