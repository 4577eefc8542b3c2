// Results of transactions, as reported to metrics and logs.

package kvstore

import (
	"errors"
	"net/http"
	"time"
)

// Result is how a compare-and-swap ended.
type Result int

// Results of a compare-and-swap. All results but ResultUnknown imply whether the transaction was executed.
const (
	ResultCommitted      Result = iota
	ResultConflict              // a guard did not hold
	ResultLimiterTimeout        // the context ended, or would have ended, before this client's rate limit allowed it
	ResultStoreBusy             // the store answered 429
	ResultUnavailable           // the store answered 503
	ResultUnknown               // no usable response
	ResultInvalid               // rejected as malformed, or because its lease does not exist
	resultCount
)

var resultNames = [resultCount]string{"committed", "conflict", "limiter timeout", "store busy", "unavailable", "unknown", "invalid"}

// String returns the result as logs and metrics show it.
func (r Result) String() string { return resultNames[r] }

// Transaction describes a compare-and-swap that has ended, for metrics and logs.
type Transaction struct {
	Key          string // the first key that it changes
	Changes      int
	LimiterWait  time.Duration // how long the limit on changes delayed it
	ResponseTime time.Duration // from then to the store's response, including the limit on requests; 0 if not sent
	Result       Result
	WriteRate    float64 // changes per second that this client may make afterwards
}

// WithObserver returns a client that shares this client's limits. It calls observe after each
// compare-and-swap that has at least one change. observe must not block.
func (c *Client) WithObserver(observe func(Transaction)) *Client {
	observed := *c
	observed.observe = observe
	return &observed
}

// resultOf classifies the error of a compare-and-swap. status is the response's status, or 0 if no response
// arrived.
func resultOf(err error, status int) Result {
	var conflict *ConflictError
	switch {
	case err == nil:
		return ResultCommitted
	case errors.As(err, &conflict):
		return ResultConflict
	case errors.Is(err, ErrOutcomeUnknown):
		return ResultUnknown
	case status == http.StatusTooManyRequests:
		return ResultStoreBusy
	case errors.Is(err, ErrRateLimited):
		return ResultLimiterTimeout
	case errors.Is(err, ErrRefused):
		return ResultUnavailable
	}
	return ResultInvalid
}
