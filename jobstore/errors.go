package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
)

// ErrUnreadable means that what a job's state depends on can't be read, and that nothing else says it.
// It is wrapped in an UnreadableError.
var ErrUnreadable = errors.New("a record can't be read")

// UnreadableError names the record that can't be read. errors.Is finds ErrUnreadable in it.
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

// What was being done when a record could not be read.
const (
	opAccept = "accept"
	opLookup = "look up"
	opCancel = "cancel"
)

// refusedError says that nothing was done because ctx has ended.
func refusedError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrRefused, ctx.Err())
}

// unknownError says that ctx has ended while a transaction may be under way.
func unknownError(ctx context.Context) error {
	return fmt.Errorf("%w: %w", kvstore.ErrOutcomeUnknown, ctx.Err())
}

// errTooManyConflicts says that others have changed the same records again and again.
var errTooManyConflicts = fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)

// errStopped says that the store no longer commits anything.
var errStopped = fmt.Errorf("%w: shutting down", kvstore.ErrRefused)

// conflictsWithJob reports whether a transaction failed because a job has a key of its own or is over.
func conflictsWithJob(c *kvstore.ConflictError, id string) bool {
	return slices.Contains(c.FailedKeys, JobKey(id)) || slices.Contains(c.FailedKeys, FinalKey(id))
}
