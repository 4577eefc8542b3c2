// Package state is the client of the state service. It decides nothing: it
// keeps to the rate limits and tells apart what was refused, what was executed
// and what is unknown.
package kvstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

var (
	// ErrRefused: the request was not executed (503 or 429).
	ErrRefused = errors.New("state service refused the request")
	// ErrRateLimited is an ErrRefused for too many requests: another node would be
	// refused as well.
	ErrRateLimited = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrUnknown: the request may have been executed, or may yet be.
	ErrOutcomeUnknown = errors.New("no answer from the state service")
	// ErrNoLease: the lease has ended.
	ErrLeaseNotFound = errors.New("no such lease")
	// ErrTooOld: the watch's revision is no longer kept.
	ErrCompacted = errors.New("revision too old")
	// ErrInvalid: the service called the request malformed.
	ErrInvalidRequest = errors.New("state service called the request invalid")
)

// ConflictError says which conditions of a transaction failed.
type ConflictError struct {
	FailedKeys []string
	Revision   uint64
}

func (c *ConflictError) Error() string { return fmt.Sprintf("conditions failed: %v", c.FailedKeys) }

const (
	maxResponseBytes = 1 << 20
	maxEventsBytes   = 16 << 20
)

// Client talks to the state service.
type Client struct {
	baseURL    string
	httpClient *http.Client
	requests   limiter
	writes     limiter
	timeout    time.Duration
	outcomes   *outcomes
}

// outcomes is shared by a node's clients.
type outcomes struct {
	lastSuccess atomic.Int64 // unix nanoseconds of the last request that was served
	lastFailure atomic.Int64
}

// limiter paces what a client asks for.
type limiter interface {
	WaitN(ctx context.Context, n int) error
	rateLimited() // the service has refused for too many requests
	available(n int) bool
}

// fixedLimiter is a limit that stays as it is.
type fixedLimiter struct{ *rate.Limiter }

func (fixedLimiter) rateLimited() {}

func (f fixedLimiter) available(n int) bool { return f.Tokens() >= float64(n) }

func newFixedLimiter(per float64) limiter {
	return fixedLimiter{rate.NewLimiter(rate.Limit(per), max(1, int(per)))}
}

// NewPlan makes a client that asks for at most rps requests and wps changes a
// second.
func New(dial call.DialFunc, addr string, rps, wps float64) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: call.NewClient(dial, 16, 16),
		requests:   newFixedLimiter(rps),
		writes:     newFixedLimiter(wps),
		timeout:    2 * time.Second,
		outcomes:   &outcomes{},
	}
}

// WithAdaptiveLimits is a client for what all nodes do at once, users' requests above
// all: the service counts the nodes' requests together. It begins with the most
// that it may ask for and, told that there are too many, goes down towards its
// share, from which it climbs again slowly.
func (c *Client) WithAdaptiveLimits(rps, wps, share float64) *Client {
	s := *c
	s.requests, s.writes = newAdaptiveLimiter(rps, rps*share), newAdaptiveLimiter(wps, wps*share)
	return &s
}

// RequestRate is how many requests a second this client may send now.
func (c *Client) RequestRate() float64 {
	if y, ok := c.requests.(*adaptiveLimiter); ok {
		return y.currentRate()
	}
	return float64(c.requests.(fixedLimiter).Limit())
}

// HasWriteCapacity says whether this client may change n keys now without waiting.
func (c *Client) HasWriteCapacity(n int) bool { return c.writes.available(n) }

// LastOutcomes says when a request was last served, and when one last failed.
func (c *Client) LastOutcomes() (ok, bad time.Time) {
	return time.Unix(0, c.outcomes.lastSuccess.Load()), time.Unix(0, c.outcomes.lastFailure.Load())
}

func (c *Client) do(ctx context.Context, method, path string, in any, max int64, timeout time.Duration) (int, []byte, error) {
	if err := c.requests.WaitN(ctx, 1); err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrRateLimited, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := call.Do(ctx, c.httpClient, method, c.baseURL+path, in, max)
	if err != nil {
		c.outcomes.lastFailure.Store(time.Now().UnixNano())
		return 0, nil, fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	if status == http.StatusServiceUnavailable {
		c.outcomes.lastFailure.Store(time.Now().UnixNano())
		return status, nil, fmt.Errorf("%w: status 503", ErrRefused)
	}
	c.outcomes.lastSuccess.Store(time.Now().UnixNano())
	if status == http.StatusTooManyRequests {
		c.requests.rateLimited()
		return status, nil, fmt.Errorf("%w: status 429", ErrRateLimited)
	}
	return status, body, nil
}

func decodeOK(status int, body []byte, out any) error {
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrInvalidRequest, status)
	}
	return wire.Unmarshal(body, out)
}

// Get reads one key. Version is 0 where the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.Entry, error) {
	var e wire.Entry
	status, body, err := c.do(ctx, http.MethodGet, "/kv/"+key, nil, maxResponseBytes, c.timeout)
	if err != nil {
		return e, err
	}
	if status == http.StatusNotFound {
		if err := wire.Unmarshal(body, &e); err != nil {
			return e, err
		}
		return wire.Entry{Revision: e.Revision}, nil
	}
	err = decodeOK(status, body, &e)
	return e, err
}

// listPageSize is how many keys are asked for at once.
const listPageSize = 500

// Page reads the keys with a prefix that come after a key, in their order: some of
// them. more says that there are others.
func (c *Client) Page(ctx context.Context, prefix, after string) (entries []wire.Entry, more bool, rev uint64, err error) {
	return c.ListPage(ctx, prefix, after, listPageSize)
}

// ListPage is a Page of so many keys at most.
func (c *Client) ListPage(ctx context.Context, prefix, after string, most int) (entries []wire.Entry, more bool, rev uint64, err error) {
	q := url.Values{"prefix": {prefix}, "page": {strconv.Itoa(most)}}
	if after != "" {
		q.Set("after", after)
	}
	status, body, err := c.do(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, maxResponseBytes, c.timeout)
	if err != nil {
		return nil, false, 0, err
	}
	var l wire.Listing
	if err := decodeOK(status, body, &l); err != nil {
		return nil, false, 0, err
	}
	return l.Items, l.More && len(l.Items) > 0, l.Revision, nil
}

// List reads all keys with a prefix. The revision is that of the first page:
// a watch from there sees every change that the pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var first uint64
	after := ""
	for {
		items, more, rev, err := c.Page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = rev
		}
		all = append(all, items...)
		if !more {
			return all, first, nil
		}
		after = items[len(items)-1].Key
	}
}

// CompareAndSwap runs a transaction. The error is nil, a *Conflict, or one of this
// package's.
func (c *Client) CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	if n := len(ops); n > 0 {
		if err := c.writes.WaitN(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrRateLimited, err)
		}
	}
	status, body, err := c.do(ctx, http.MethodPost, "/commit", wire.Txn{If: guards, Then: ops}, maxResponseBytes, c.timeout)
	if err != nil {
		if status == http.StatusTooManyRequests && len(ops) > 0 {
			c.writes.rateLimited()
		}
		return 0, err
	}
	var a wire.TxnAnswer
	if err := wire.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("%w: status %d: %v", ErrInvalidRequest, status, err)
	}
	switch {
	case status == http.StatusOK:
		return a.Revision, nil
	case status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: a.Failed, Revision: a.Revision}
	case a.Error == "no such lease":
		return 0, ErrLeaseNotFound
	}
	return 0, fmt.Errorf("%w: status %d: %s", ErrInvalidRequest, status, a.Error)
}

// GrantLease takes a lease.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	var a wire.LeaseAnswer
	status, body, err := c.do(ctx, http.MethodPost, "/holds", wire.NewLease{TTLMs: ttl.Milliseconds()}, maxResponseBytes, c.timeout)
	if err != nil {
		return 0, err
	}
	err = decodeOK(status, body, &a)
	return a.Lease, err
}

// RenewLease renews a lease; ErrNoLease says that it has ended.
func (c *Client) RenewLease(ctx context.Context, lease uint64) error {
	status, _, err := c.do(ctx, http.MethodPost, "/holds/"+strconv.FormatUint(lease, 10)+"/touch", nil, maxResponseBytes, c.timeout)
	return leaseError(status, err)
}

// RevokeLease ends a lease at once.
func (c *Client) RevokeLease(ctx context.Context, lease uint64) error {
	status, _, err := c.do(ctx, http.MethodDelete, "/holds/"+strconv.FormatUint(lease, 10), nil, maxResponseBytes, c.timeout)
	return leaseError(status, err)
}

func leaseError(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrLeaseNotFound
	case status/100 != 2:
		return fmt.Errorf("%w: status %d", ErrInvalidRequest, status)
	}
	return nil
}

// Watch waits up to block for changes of keys with the prefix after a
// revision. With block 0 it is a barrier: what it returns is current.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	var ev wire.Events
	status, body, err := c.do(ctx, http.MethodGet, "/follow?"+q.Encode(), nil, maxEventsBytes, c.timeout+block)
	if err != nil {
		return ev, err
	}
	if status == http.StatusGone {
		return ev, ErrCompacted
	}
	err = decodeOK(status, body, &ev)
	return ev, err
}
