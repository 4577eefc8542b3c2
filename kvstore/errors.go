package kvstore

import (
	"errors"
	"fmt"
)

// What a request can end with, beside a *ConflictError. Callers tell them apart with
// errors.Is: whether a request may be repeated depends on whether it was executed.
var (
	// ErrRefused: the request was not executed (503 or 429).
	ErrRefused = errors.New("key-value store refused the request")
	// ErrRateLimited is an ErrRefused for too many requests: another node would be
	// refused as well.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrOutcomeUnknown: the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("no answer from the key-value store")
	// ErrLeaseNotFound: the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrCompacted: the revision to watch from is no longer kept.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalidRequest: the store called the request malformed.
	ErrInvalidRequest = errors.New("key-value store called the request invalid")
)

// ConflictError says that a compare-and-swap was not applied, and which of its
// conditions failed.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.FailedKeys) }

// OpError says which operation failed, and on which key or prefix.
type OpError struct {
	Op  string
	Key string // or prefix, or lease
	Err error
}

func (e *OpError) Error() string { return fmt.Sprintf("%s %q: %v", e.Op, e.Key, e.Err) }

// Unwrap returns the cause.
func (e *OpError) Unwrap() error { return e.Err }
