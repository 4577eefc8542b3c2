package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
)

// ErrUnreadable means that a record on which the answer depends can't be decoded, and that the answer
// does not follow from any other record. It is wrapped in an UnreadableError.
var ErrUnreadable = errors.New("a record can't be read")

// UnreadableError names the record that can't be decoded. It wraps ErrUnreadable.
type UnreadableError struct {
	Op  string // what was being done: "accept", "look up", "cancel"
	Job string
	Key string
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("%s job %s: %s: %v", e.Op, e.Job, e.Key, ErrUnreadable)
}

// Unwrap returns ErrUnreadable.
func (e *UnreadableError) Unwrap() error { return ErrUnreadable }

// Values of UnreadableError.Op.
const (
	opAccept = "accept"
	opLookup = "look up"
	opCancel = "cancel"
)

// refusedError is returned if ctx ended while waiting for a read, which changes nothing.
func refusedError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrRefused, ctx.Err())
}

// unknownError is returned if ctx ended while a transaction may be in flight.
func unknownError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrOutcomeUnknown, ctx.Err())
}

// errTooManyConflicts is returned if concurrent changes of the same records made every try fail.
var errTooManyConflicts = fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)

// errJobMoved means that a job is no longer on the page from which it was to be removed: it is to be
// looked up again.
var errJobMoved = fmt.Errorf("%w: the job has moved", kvstore.ErrOutcomeUnknown)

// errStopped is returned if Run is not running, so that nothing can be committed.
var errStopped = fmt.Errorf("%w: shutting down", kvstore.ErrRefused)

// conflictsWithJob reports whether a transaction failed because the job already has a key of its own
// or a final record.
func conflictsWithJob(c *kvstore.ConflictError, id string) bool {
	return slices.Contains(c.FailedKeys, JobKey(id)) || slices.Contains(c.FailedKeys, FinalKey(id))
}
