// Package kvstore is the client of the consensus-backed key-value store.
//
// The store holds versioned keys, applies compare-and-swap transactions, grants leases
// and serves watches. Every package that persists state uses it through a Client: the
// election, the job store, the controllers, snapshots and the command line.
//
// A Client caches nothing. It stays within its rate limits (New, WithAdaptiveLimits).
// Its errors distinguish a request that was not executed (ErrRefused), a transaction
// that was not applied because a guard failed (ConflictError) and a request whose
// outcome is unknown (ErrOutcomeUnknown). It never retries a request, because only the
// caller knows whether a retry is safe.
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

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	requestTimeout = 2 * time.Second
	// maxConns bounds the connections to the store.
	maxConns = 16
	// maxResponseBytes bounds the size of a response, maxEventsBytes that of a watch.
	maxResponseBytes = 1 << 20
	maxEventsBytes   = 16 << 20
	// listPageSize is how many keys List requests per page.
	listPageSize = 500
)

// Client sends requests to the key-value store. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	requests   limiter
	writes     limiter           // counts changed keys, not transactions
	outcomes   *outcomes         // shared with the clients that WithAdaptiveLimits and WithObserver derive
	observe    func(Transaction) // see WithObserver
}

// outcomes holds the times at which a request last succeeded and last failed.
type outcomes struct {
	lastSuccess atomic.Int64 // Unix nanoseconds
	lastFailure atomic.Int64 // Unix nanoseconds
}

// New returns a client of the store at addr, a host and port. The client sends at most
// requestsPerSecond requests and changes at most writesPerSecond keys per second.
// Requests over a limit wait.
func New(dial call.DialFunc, addr string, requestsPerSecond, writesPerSecond float64) *Client {
	return &Client{
		baseURL:    "http://" + addr,
		httpClient: call.NewClient(dial, maxConns, maxConns),
		requests:   newFixedLimiter(requestsPerSecond),
		writes:     newFixedLimiter(writesPerSecond),
		outcomes:   &outcomes{},
		observe:    func(Transaction) {},
	}
}

// WithAdaptiveLimits returns a client of the same store with rate limits of its own that
// adapt to load. It is meant for requests that all nodes send at once, mainly those of
// users. The store limits the total of all nodes, which no single node can observe.
//
// The limits start at requestsPerSecond and writesPerSecond. They are reduced when the
// store refuses a request with status 429, but never below minShare (from 0 to 1) of
// their start values, and recover gradually.
func (c *Client) WithAdaptiveLimits(requestsPerSecond, writesPerSecond, minShare float64) *Client {
	adaptive := *c
	adaptive.requests = newAdaptiveLimiter(requestsPerSecond, requestsPerSecond*minShare)
	adaptive.writes = newAdaptiveLimiter(writesPerSecond, writesPerSecond*minShare)
	return &adaptive
}

// RequestRate returns how many requests per second this client may send at present.
func (c *Client) RequestRate() float64 { return c.requests.currentRate() }

// HasWriteCapacity reports whether this client may change n keys now with no wait.
func (c *Client) HasWriteCapacity(n int) bool { return c.writes.available(n) }

// WriteBurst returns how many changes this client's rate limit grants at once at present.
// Larger transactions wait longer, and the store is more likely to refuse them.
func (c *Client) WriteBurst() int { return c.writes.burst() }

// AwaitWriteCapacity blocks until this client may change n keys, at most WriteBurst, with
// no further wait. A caller that composes its transaction afterwards avoids guards that
// are out of date when the transaction is sent. A client with fixed limits returns at once,
// and waits in CompareAndSwap. The error wraps ErrRateLimited if ctx ends first.
func (c *Client) AwaitWriteCapacity(ctx context.Context, n int) error {
	if err := c.writes.await(ctx, min(n, c.writes.burst())); err != nil {
		return fmt.Errorf("%w: %w", ErrRateLimited, err)
	}
	return nil
}

// SetWaitingWrites sets how many writes of this node's users wait. The more writes wait,
// the larger is the node's share of the store's capacity. It has no effect on a client
// with fixed limits.
func (c *Client) SetWaitingWrites(n int) { c.writes.setWaiting(n) }

// LastOutcomes returns when the store last answered a request with a status other than
// 503, and when a request last failed because the store did not answer or answered 503.
// A time is the Unix epoch if the event has never happened.
func (c *Client) LastOutcomes() (success, failure time.Time) {
	return time.Unix(0, c.outcomes.lastSuccess.Load()), time.Unix(0, c.outcomes.lastFailure.Load())
}

// Get reads one key. If the key does not exist, the entry's Version is 0 and its
// Revision is the store's.
func (c *Client) Get(ctx context.Context, key string) (wire.Entry, error) {
	entry, err := c.readEntry(ctx, key)
	return entry, opError("get", key, err)
}

// readEntry is Get, but returns errors that are not wrapped in an OpError.
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

// ListPage reads, in key order, at most limit keys that have the prefix and sort after
// the key named by after, which is "" for the first page. The result's More field reports
// whether further keys follow. It is never set on an empty page, so that callers can't
// loop forever.
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

// List reads all keys with a prefix, page by page, and returns the revision of the first
// page. Later pages may be newer. A watch from the returned revision delivers every change
// that the pages missed.
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
// returns the transaction's revision. If a guard does not hold, the error is a
// *ConflictError. Any other error is one of this package's. All errors are wrapped in an
// *OpError, which names only the first key.
func (c *Client) CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	t := Transaction{Key: firstKey(guards, ops), Changes: len(ops)}
	revision, err := c.commit(ctx, guards, ops, &t)
	if t.Changes > 0 {
		t.WriteRate = c.writes.currentRate()
		c.observe(t)
	}
	return revision, opError("compare-and-swap", t.Key, err)
}

// commit executes a transaction, and completes its description t.
func (c *Client) commit(ctx context.Context, guards []wire.Guard, ops []wire.Op, t *Transaction) (uint64, error) {
	began := time.Now()
	if err := c.awaitWrites(ctx, t.Changes); err != nil {
		t.LimiterWait, t.Result = time.Since(began), resultOf(err, 0)
		return 0, err
	}
	sent := time.Now()
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/commit", body: wire.Txn{If: guards, Then: ops}})
	var revision uint64
	if err == nil {
		revision, err = decodeCommit(resp)
	} else if resp.status == http.StatusTooManyRequests && t.Changes > 0 {
		c.writes.recordRefusal(t.Changes)
	}
	t.LimiterWait, t.ResponseTime, t.Result = sent.Sub(began), time.Since(sent), resultOf(err, resp.status)
	return revision, err
}

// awaitWrites waits until this client's rate limit allows a number of changes. If the limit
// can't grant all of them at once, it grants them in parts. A transaction larger than the
// burst could otherwise never be sent.
func (c *Client) awaitWrites(ctx context.Context, changes int) error {
	for changes > 0 {
		part := min(changes, c.writes.burst())
		if err := c.writes.WaitN(ctx, part); err != nil {
			return fmt.Errorf("%w: %w", ErrRateLimited, err)
		}
		changes -= part
	}
	return nil
}

// decodeCommit returns the revision of a committed transaction, or the reason why it was
// not committed.
func decodeCommit(resp response) (uint64, error) {
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

// firstKey returns the key that identifies a transaction in error messages.
func firstKey(guards []wire.Guard, ops []wire.Op) string {
	switch {
	case len(ops) > 0:
		return ops[0].Put + ops[0].Delete
	case len(guards) > 0:
		return guards[0].Key
	}
	return ""
}

// Watch waits up to block for changes, after the given revision, of keys with the
// prefix. With block 0 it returns at once and serves as a read barrier, because the result
// includes every change that was committed before the call. The error is ErrCompacted if
// the store no longer has the changes since that revision, or they are too large to be read.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	events, err := c.readEvents(ctx, prefix, after, block)
	return events, opError("watch", prefix, err)
}

// readEvents is Watch, but returns errors that are not wrapped in an OpError.
func (c *Client) readEvents(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/follow?" + q.Encode(), maxBytes: maxEventsBytes, block: block})
	if errors.Is(err, call.ErrResponseTooLarge) {
		return wire.Events{}, fmt.Errorf("%w: more than %d bytes of changes", ErrCompacted, maxEventsBytes)
	}
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
