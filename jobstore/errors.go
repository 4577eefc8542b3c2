// Errors of the package.

package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
)

// ErrUnreadable means that a request can't be answered because a record can't be decoded and no other
// record gives the answer. It is wrapped in an UnreadableError.
var ErrUnreadable = errors.New("record can't be decoded")

// UnreadableError names the record that can't be decoded. It wraps ErrUnreadable.
type UnreadableError struct {
	Op  string // the operation that failed: "accept", "look up" or "cancel"
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

// refusedError returns the error for a ctx that ended during a wait for a read. A read changes nothing.
func refusedError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrRefused, ctx.Err())
}

// unknownError returns the error for a ctx that ended while a transaction may be in flight.
func unknownError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrOutcomeUnknown, ctx.Err())
}

// errTooManyConflicts is returned if concurrent changes of the same records made every try fail.
var errTooManyConflicts = fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)

// errJobMoved means that a job is no longer on the page from which it was to be removed. The job must be
// looked up again.
var errJobMoved = fmt.Errorf("%w: the job has moved", kvstore.ErrOutcomeUnknown)

// errStopped is returned if Run is not running. Nothing can be committed then.
var errStopped = fmt.Errorf("%w: shutting down", kvstore.ErrRefused)

// conflictsWithJob reports whether a transaction failed because the job already has a key of its own
// or a final record.
func conflictsWithJob(c *kvstore.ConflictError, id string) bool {
	return slices.Contains(c.FailedKeys, JobKey(id)) || slices.Contains(c.FailedKeys, FinalKey(id))
}
