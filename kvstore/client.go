// Package kvstore is the client of the consensus-backed key-value store.
//
// The store keeps keys with versions, applies compare-and-swap transactions, grants
// leases and serves watches. Every package that keeps something reaches it through a
// Client: the election, the job store, the controllers, snapshots and the command line.
//
// A Client owns no data. It guarantees two things: it stays within the request rates
// that it was given (New, WithAdaptiveLimits), and its errors tell apart what was
// refused, what was executed and what is unknown (ErrRefused, ConflictError,
// ErrOutcomeUnknown). It never repeats a request: only the caller knows whether that
// is safe.
package kvstore

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	requestTimeout = 2 * time.Second
	// maxConns bounds the connections to the store.
	maxConns = 16
	// maxResponseBytes bounds a response, and maxEventsBytes that of a watch.
	maxResponseBytes = 1 << 20
	maxEventsBytes   = 16 << 20
	// listPageSize is how many keys List asks for at once.
	listPageSize = 500
)

// Client sends requests to the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	requests   limiter
	writes     limiter   // counts changed keys
	outcomes   *outcomes // shared by the clients that WithAdaptiveLimits makes
}

// outcomes are the times at which requests last succeeded and failed.
type outcomes struct {
	lastSuccess atomic.Int64 // unix nanoseconds
	lastFailure atomic.Int64
}

// New makes a client that sends at most rps requests and changes at most wps keys a
// second.
func New(dial call.DialFunc, addr string, rps, wps float64) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: call.NewClient(dial, maxConns, maxConns),
		requests:   newFixedLimiter(rps),
		writes:     newFixedLimiter(wps),
		outcomes:   &outcomes{},
	}
}

// WithAdaptiveLimits returns a client for what all nodes do at once, users' requests
// above all: the store counts the nodes' requests together. It starts at rps and wps
// and, when the store refuses for too many requests, goes down towards the given share
// of them, from which it climbs again slowly.
func (c *Client) WithAdaptiveLimits(rps, wps, share float64) *Client {
	adaptive := *c
	adaptive.requests = newAdaptiveLimiter(rps, rps*share)
	adaptive.writes = newAdaptiveLimiter(wps, wps*share)
	return &adaptive
}

// RequestRate is how many requests a second this client may send now.
func (c *Client) RequestRate() float64 { return c.requests.currentRate() }

// HasWriteCapacity reports whether this client may change n keys now without waiting.
func (c *Client) HasWriteCapacity(n int) bool { return c.writes.available(n) }

// LastOutcomes returns when a request last succeeded, and when one last failed because
// the store did not answer or was not available.
func (c *Client) LastOutcomes() (success, failure time.Time) {
	return time.Unix(0, c.outcomes.lastSuccess.Load()), time.Unix(0, c.outcomes.lastFailure.Load())
}

// Get reads one key. The entry's Version is 0 where the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.Entry, error) {
	entry, err := c.readEntry(ctx, key)
	return entry, opError("get", key, err)
}

func (c *Client) readEntry(ctx context.Context, key string) (wire.Entry, error) {
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/kv/" + key})
	if err != nil {
		return wire.Entry{}, err
	}
	var entry wire.Entry
	if resp.status == http.StatusNotFound {
		if err := wire.Unmarshal(resp.body, &entry); err != nil {
			return wire.Entry{}, err
		}
		return wire.Entry{Revision: entry.Revision}, nil
	}
	err = resp.decode(&entry)
	return entry, err
}

// ListPage reads at most limit keys with a prefix that come after the given key, in
// their order. More in the result says that there are others.
func (c *Client) ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error) {
	q := url.Values{"prefix": {prefix}, "page": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/kv?" + q.Encode()})
	if err != nil {
		return wire.Listing{}, opError("list", prefix, err)
	}
	var page wire.Listing
	if err := resp.decode(&page); err != nil {
		return wire.Listing{}, opError("list", prefix, err)
	}
	page.More = page.More && len(page.Items) > 0
	return page, nil
}

// List reads all keys with a prefix. The revision is that of the first page: a watch
// from there sees every change that the pages may have missed.
func (c *Client) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	var all []wire.Entry
	var firstRevision uint64
	after := ""
	for {
		page, err := c.ListPage(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, 0, err
		}
		if firstRevision == 0 {
			firstRevision = page.Revision
		}
		all = append(all, page.Items...)
		if !page.More {
			return all, firstRevision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// CompareAndSwap applies the operations as one transaction if all guards hold, and
// returns its revision. The error is nil, a *ConflictError where a guard does not hold,
// or one of this package's.
func (c *Client) CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	revision, err := c.commit(ctx, guards, ops)
	return revision, opError("compare-and-swap", firstKey(guards, ops), err)
}

func (c *Client) commit(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	if n := len(ops); n > 0 {
		if err := c.writes.WaitN(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: %w", ErrRateLimited, err)
		}
	}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/commit", body: wire.Txn{If: guards, Then: ops}})
	if err != nil {
		if resp.status == http.StatusTooManyRequests && len(ops) > 0 {
			c.writes.rateLimited()
		}
		return 0, err
	}
	var answer wire.TxnAnswer
	if err := wire.Unmarshal(resp.body, &answer); err != nil {
		return 0, fmt.Errorf("%w: status %d: %w", ErrInvalidRequest, resp.status, err)
	}
	switch {
	case resp.status == http.StatusOK:
		return answer.Revision, nil
	case resp.status == http.StatusConflict:
		return 0, &ConflictError{FailedKeys: answer.Failed, Revision: answer.Revision}
	case answer.Error == "no such lease":
		return 0, ErrLeaseNotFound
	}
	return 0, fmt.Errorf("%w: status %d: %s", ErrInvalidRequest, resp.status, answer.Error)
}

// firstKey names a transaction in errors.
func firstKey(guards []wire.Guard, ops []wire.Op) string {
	switch {
	case len(ops) > 0:
		return ops[0].Put + ops[0].Delete
	case len(guards) > 0:
		return guards[0].Key
	}
	return ""
}

// Watch waits up to block for changes of keys with the prefix after a revision. With
// block 0 it is a barrier: what it returns is current. ErrCompacted says that the
// revision is too old to watch from.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	events, err := c.readEvents(ctx, prefix, after, block)
	return events, opError("watch", prefix, err)
}

func (c *Client) readEvents(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/follow?" + q.Encode(), maxBytes: maxEventsBytes, block: block})
	if err != nil {
		return wire.Events{}, err
	}
	if resp.status == http.StatusGone {
		return wire.Events{}, ErrCompacted
	}
	var events wire.Events
	err = resp.decode(&events)
	return events, err
}
