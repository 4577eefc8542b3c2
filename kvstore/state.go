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
	// ErrBusy is an ErrRefused for too many requests: another node would be
	// refused as well.
	ErrBusy = fmt.Errorf("%w: too many requests", ErrRefused)
	// ErrUnknown: the request may have been executed, or may yet be.
	ErrUnknown = errors.New("no answer from the state service")
	// ErrNoLease: the lease has ended.
	ErrNoLease = errors.New("no such lease")
	// ErrTooOld: the watch's revision is no longer kept.
	ErrTooOld = errors.New("revision too old")
	// ErrInvalid: the service called the request malformed.
	ErrInvalid = errors.New("state service called the request invalid")
)

// Conflict says which conditions of a transaction failed.
type Conflict struct {
	Failed   []string
	Revision uint64
}

func (c *Conflict) Error() string { return fmt.Sprintf("conditions failed: %v", c.Failed) }

const (
	answerMax = 1 << 20
	eventsMax = 16 << 20
)

// Client talks to the state service.
type Client struct {
	base    string
	hc      *http.Client
	reqs    limit
	writes  limit
	timeout time.Duration
	served  *served
}

// served is shared by a node's clients.
type served struct {
	lastOK  atomic.Int64 // unix nanoseconds of the last request that was served
	lastBad atomic.Int64
}

// limit paces what a client asks for.
type limit interface {
	WaitN(ctx context.Context, n int) error
	busy() // the service has refused for too many requests
	spare(n int) bool
}

// fixed is a limit that stays as it is.
type fixed struct{ *rate.Limiter }

func (fixed) busy() {}

func (f fixed) spare(n int) bool { return f.Tokens() >= float64(n) }

func newFixed(per float64) limit {
	return fixed{rate.NewLimiter(rate.Limit(per), max(1, int(per)))}
}

// New makes a client that asks for at most rps requests and wps changes a
// second.
func New(dial call.DialFunc, addr string, rps, wps float64) *Client {
	return &Client{
		base:    "http://" + addr,
		hc:      call.NewClient(dial, 16, 16),
		reqs:    newFixed(rps),
		writes:  newFixed(wps),
		timeout: 2 * time.Second,
		served:  &served{},
	}
}

// Sharing is a client for what all nodes do at once, users' requests above
// all: the service counts the nodes' requests together. It begins with the most
// that it may ask for and, told that there are too many, goes down towards its
// share, from which it climbs again slowly.
func (c *Client) Sharing(rps, wps, share float64) *Client {
	s := *c
	s.reqs, s.writes = newYielding(rps, rps*share), newYielding(wps, wps*share)
	return &s
}

// Rate is how many requests a second this client may send now.
func (c *Client) Rate() float64 {
	if y, ok := c.reqs.(*yielding); ok {
		return y.now()
	}
	return float64(c.reqs.(fixed).Limit())
}

// Spare says whether this client may change n keys now without waiting.
func (c *Client) Spare(n int) bool { return c.writes.spare(n) }

// Served says when a request was last served, and when one last failed.
func (c *Client) Served() (ok, bad time.Time) {
	return time.Unix(0, c.served.lastOK.Load()), time.Unix(0, c.served.lastBad.Load())
}

func (c *Client) do(ctx context.Context, method, path string, in any, max int64, timeout time.Duration) (int, []byte, error) {
	if err := c.reqs.WaitN(ctx, 1); err != nil {
		return 0, nil, fmt.Errorf("%w: %v", ErrBusy, err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body, err := call.Do(ctx, c.hc, method, c.base+path, in, max)
	if err != nil {
		c.served.lastBad.Store(time.Now().UnixNano())
		return 0, nil, fmt.Errorf("%w: %v", ErrUnknown, err)
	}
	if status == http.StatusServiceUnavailable {
		c.served.lastBad.Store(time.Now().UnixNano())
		return status, nil, fmt.Errorf("%w: status 503", ErrRefused)
	}
	c.served.lastOK.Store(time.Now().UnixNano())
	if status == http.StatusTooManyRequests {
		c.reqs.busy()
		return status, nil, fmt.Errorf("%w: status 429", ErrBusy)
	}
	return status, body, nil
}

func decode(status int, body []byte, out any) error {
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return wire.Unmarshal(body, out)
}

// Get reads one key. Version is 0 where the key does not exist.
func (c *Client) Get(ctx context.Context, key string) (wire.Entry, error) {
	var e wire.Entry
	status, body, err := c.do(ctx, http.MethodGet, "/kv/"+key, nil, answerMax, c.timeout)
	if err != nil {
		return e, err
	}
	if status == http.StatusNotFound {
		if err := wire.Unmarshal(body, &e); err != nil {
			return e, err
		}
		return wire.Entry{Revision: e.Revision}, nil
	}
	err = decode(status, body, &e)
	return e, err
}

// listPage is how many keys are asked for at once.
const listPage = 500

// Page reads the keys with a prefix that come after a key, in their order: some of
// them. more says that there are others.
func (c *Client) Page(ctx context.Context, prefix, after string) (entries []wire.Entry, more bool, rev uint64, err error) {
	return c.Span(ctx, prefix, after, listPage)
}

// Span is a Page of so many keys at most.
func (c *Client) Span(ctx context.Context, prefix, after string, most int) (entries []wire.Entry, more bool, rev uint64, err error) {
	q := url.Values{"prefix": {prefix}, "page": {strconv.Itoa(most)}}
	if after != "" {
		q.Set("after", after)
	}
	status, body, err := c.do(ctx, http.MethodGet, "/kv?"+q.Encode(), nil, answerMax, c.timeout)
	if err != nil {
		return nil, false, 0, err
	}
	var l wire.Listing
	if err := decode(status, body, &l); err != nil {
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

// Commit runs a transaction. The error is nil, a *Conflict, or one of this
// package's.
func (c *Client) Commit(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	if n := len(ops); n > 0 {
		if err := c.writes.WaitN(ctx, n); err != nil {
			return 0, fmt.Errorf("%w: %v", ErrBusy, err)
		}
	}
	status, body, err := c.do(ctx, http.MethodPost, "/commit", wire.Txn{If: guards, Then: ops}, answerMax, c.timeout)
	if err != nil {
		if status == http.StatusTooManyRequests && len(ops) > 0 {
			c.writes.busy()
		}
		return 0, err
	}
	var a wire.TxnAnswer
	if err := wire.Unmarshal(body, &a); err != nil {
		return 0, fmt.Errorf("%w: status %d: %v", ErrInvalid, status, err)
	}
	switch {
	case status == http.StatusOK:
		return a.Revision, nil
	case status == http.StatusConflict:
		return 0, &Conflict{Failed: a.Failed, Revision: a.Revision}
	case a.Error == "no such lease":
		return 0, ErrNoLease
	}
	return 0, fmt.Errorf("%w: status %d: %s", ErrInvalid, status, a.Error)
}

// Hold takes a lease.
func (c *Client) Hold(ctx context.Context, ttl time.Duration) (uint64, error) {
	var a wire.LeaseAnswer
	status, body, err := c.do(ctx, http.MethodPost, "/holds", wire.NewLease{TTLMs: ttl.Milliseconds()}, answerMax, c.timeout)
	if err != nil {
		return 0, err
	}
	err = decode(status, body, &a)
	return a.Lease, err
}

// Touch renews a lease; ErrNoLease says that it has ended.
func (c *Client) Touch(ctx context.Context, lease uint64) error {
	status, _, err := c.do(ctx, http.MethodPost, "/holds/"+strconv.FormatUint(lease, 10)+"/touch", nil, answerMax, c.timeout)
	return leaseResult(status, err)
}

// Release ends a lease at once.
func (c *Client) Release(ctx context.Context, lease uint64) error {
	status, _, err := c.do(ctx, http.MethodDelete, "/holds/"+strconv.FormatUint(lease, 10), nil, answerMax, c.timeout)
	return leaseResult(status, err)
}

func leaseResult(status int, err error) error {
	switch {
	case err != nil:
		return err
	case status == http.StatusNotFound:
		return ErrNoLease
	case status/100 != 2:
		return fmt.Errorf("%w: status %d", ErrInvalid, status)
	}
	return nil
}

// Follow waits up to block for changes of keys with the prefix after a
// revision. With block 0 it is a barrier: what it returns is current.
func (c *Client) Follow(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error) {
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatUint(after, 10)},
		"blockMs": {strconv.FormatInt(block.Milliseconds(), 10)},
	}
	var ev wire.Events
	status, body, err := c.do(ctx, http.MethodGet, "/follow?"+q.Encode(), nil, eventsMax, c.timeout+block)
	if err != nil {
		return ev, err
	}
	if status == http.StatusGone {
		return ev, ErrTooOld
	}
	err = decode(status, body, &ev)
	return ev, err
}
