package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
)

// WriteKind is what waits in a bucket's queue.
type WriteKind string

// Kinds of queued writes.
const (
	WriteSubmission   WriteKind = "submission"
	WriteCancellation WriteKind = "cancellation"
)

// WriteResult is how a queued write ended.
type WriteResult string

// Results of queued writes.
const (
	WriteCommitted WriteResult = "committed"
	WriteDuplicate WriteResult = "duplicate" // a submission that had been accepted before
	WriteMoved     WriteResult = "moved"     // a cancellation whose job is no longer on the page: to be looked up again
	WriteConflict  WriteResult = "conflict"
	WriteRefused   WriteResult = "refused"   // not executed
	WriteUnknown   WriteResult = "unknown"   // may have been executed
	WriteAbandoned WriteResult = "abandoned" // its requester stopped waiting
	WriteFailed    WriteResult = "failed"
)

// QueuedWrite describes a submission or a cancellation that has left its bucket's queue, for metrics and
// logs.
type QueuedWrite struct {
	Kind         WriteKind
	ID           string // the job's
	Result       WriteResult
	Queued       time.Duration // time in the queue and in its transactions
	Transactions int           // that it was part of
	Shared       int           // how many writes shared the last of them
}

// queueTicket records a write's way through its bucket's queue. A Store's lock guards it.
type queueTicket struct {
	queuedAt     time.Time
	transactions int
	shared       int
	inFlight     bool // taken off the queue: its transaction may be executed at any moment
	uncertain    bool // an earlier transaction with it has an unknown outcome
	abandoned    bool // its requester no longer waits
}

// recordTransaction records that the write is part of a transaction with a number of writes.
func (t *queueTicket) recordTransaction(writes int) {
	t.transactions++
	t.shared = writes
}

// requeue records that the write's transaction was refused, and reports whether it is to be queued again.
func (t *queueTicket) requeue() bool {
	t.inFlight = false
	return !t.abandoned
}

// abandon records that the write's requester no longer waits, and returns the error for it: only a write
// that was never part of a transaction that may be executed is known not to be.
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
