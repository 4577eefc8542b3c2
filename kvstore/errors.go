package kvstore

import (
	"errors"
	"fmt"
)

// Errors of requests, beside *ConflictError. Callers distinguish them with errors.Is,
// because whether a request may be retried depends on whether it was executed.
var (
	// ErrRefused means that the request was not executed: the store answered 503 or 429,
	// or the request did not pass this client's rate limit before its context ended.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrRateLimited is the ErrRefused of a rate limit, the store's or this client's.
	// Other nodes use the same store, so retrying through another node only adds load.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown means that no usable response arrived: the request may have been
	// executed, or may still be.
	ErrOutcomeUnknown = errors.New("no answer from the key-value store")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that the store has discarded the changes since that revision.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalidRequest means that the store rejected the request as malformed, or that
	// the status or body of its response was not one that this client expects.
	ErrInvalidRequest = errors.New("key-value store called the request invalid")
)

// IsRateLimited reports whether a request was not executed because of a rate limit: it can be repeated,
// and may succeed once there is capacity.
func IsRateLimited(err error) bool { return errors.Is(err, ErrRateLimited) }

// ConflictError reports that a compare-and-swap was not applied because guards failed,
// on which keys, and the store's revision at that time.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.FailedKeys) }

// OpError records which operation failed, on which key, and why.
type OpError struct {
	Op  string
	Key string // or prefix, or lease ID; "" if there is none
	Err error
}

func (e *OpError) Error() string { return fmt.Sprintf("%s %q: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *OpError) Unwrap() error { return e.Err }
