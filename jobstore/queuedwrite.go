package jobstore

import (
	"errors"
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
	WriteRefused   WriteResult = "refused" // not executed
	WriteUnknown   WriteResult = "unknown" // may have been executed
	WriteAbandoned WriteResult = "abandoned"
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
}

// joined records that the write is part of a transaction with a number of writes.
func (t *queueTicket) joined(writes int) {
	t.transactions++
	t.shared = writes
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
