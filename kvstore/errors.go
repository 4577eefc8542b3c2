// Errors of requests to the store.

package kvstore

import (
	"errors"
	"fmt"
)

// Errors of requests, in addition to *ConflictError. Callers distinguish them with
// errors.Is to decide on a retry, which depends on whether the request was executed.
var (
	// ErrRefused means that the request was not executed. Either the store answered 503 or
	// 429, or this client's rate limit did not allow the request before its context ended.
	ErrRefused = errors.New("key-value store refused the request")
	// ErrRateLimited wraps ErrRefused. It means that a rate limit, the store's or this
	// client's, refused the request. Other nodes use the same store, so a retry through
	// another node only adds load.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown means that no usable response arrived. The request may have been
	// executed, or may be executed later.
	ErrOutcomeUnknown = errors.New("no response from the key-value store")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted means that the store has discarded the changes after the revision at
	// which a watch was to start, or that they are larger than a client reads. The caller
	// must list the keys instead.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalidRequest means that the store rejected the request as malformed, or that
	// this client did not expect the status or body of the response.
	ErrInvalidRequest = errors.New("key-value store rejected the request as invalid")
)

// IsRateLimited reports whether a request was not executed because of a rate limit. It can
// be repeated, and may succeed once there is capacity.
func IsRateLimited(err error) bool { return errors.Is(err, ErrRateLimited) }

// IsRejected reports whether the store rejected a request as invalid, for example because a value or the
// transaction is too large. The request was not executed. Repeated unchanged it is rejected again.
func IsRejected(err error) bool { return errors.Is(err, ErrInvalidRequest) }

// ConflictError means that a compare-and-swap was not applied because guards failed.
type ConflictError struct {
	FailedKeys []string // the keys of the failed guards
	Revision   uint64   // the store's revision at that time
}

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.FailedKeys) }

// OpError is the error of an operation of a Client.
type OpError struct {
	Op  string // the operation, such as "get"
	Key string // the key, prefix or lease ID; "" if there is none
	Err error  // the cause
}

func (e *OpError) Error() string { return fmt.Sprintf("%s %q: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *OpError) Unwrap() error { return e.Err }
