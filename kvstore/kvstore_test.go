// Tests of the requests that a Client sends, and of the errors that it returns.

package kvstore

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/wire"
)

func body(t *testing.T, v any) []byte {
	t.Helper()
	b, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Each call must send the recorded request, and return what the recorded response contains.
func TestRequestsToTheStoreKeepTheirBytes(t *testing.T) {
	f := golden.Open(t, "requests.golden")
	entry := golden.Filled[wire.Entry]()
	ctx := t.Context()
	for label, c := range map[string]struct {
		answer any
		call   func(c *Client) (any, error)
	}{
		"get":     {entry, func(c *Client) (any, error) { return c.Get(ctx, "w/j/wk-000412") }},
		"page":    {wire.Listing{Items: []wire.Entry{entry}, More: true, Revision: 9}, func(c *Client) (any, error) { return pageOf(c.ListPage(ctx, "w/ j", "w/j/+a", listPageSize)) }},
		"first":   {wire.Listing{Items: []wire.Entry{entry}, More: true, Revision: 9}, func(c *Client) (any, error) { return pageOf(c.ListPage(ctx, "", "", 7)) }},
		"list":    {wire.Listing{Items: []wire.Entry{entry}, Revision: 9}, func(c *Client) (any, error) { return listOf(c.List(ctx, "w/")) }},
		"hold":    {wire.LeaseAnswer{Lease: 77}, func(c *Client) (any, error) { return c.GrantLease(ctx, 5*time.Second) }},
		"touch":   {nil, func(c *Client) (any, error) { return nil, c.RenewLease(ctx, 77) }},
		"release": {nil, func(c *Client) (any, error) { return nil, c.RevokeLease(ctx, 77) }},
		"follow":  {golden.Filled[wire.Events](), func(c *Client) (any, error) { return c.Watch(ctx, "w/", 12, 1500*time.Millisecond) }},
		"commit": {wire.TxnAnswer{Revision: 13}, func(c *Client) (any, error) {
			return c.CompareAndSwap(ctx, []wire.Guard{{Key: "a", Version: 4}}, []wire.Op{{Put: "b", Value: "text", Lease: 5}, {Delete: "c"}})
		}},
		"compare": {wire.TxnAnswer{Revision: 13}, func(c *Client) (any, error) { return c.CompareAndSwap(ctx, []wire.Guard{{Key: "a", Version: 4}}, nil) }},
	} {
		s := golden.Serve(t, golden.Answer{Status: http.StatusOK, Body: body(t, c.answer)})
		got, err := c.call(New(s.Dial, "state:80", 100, 100))
		f.Text(label+", request", fmt.Sprint(s.Asked()))
		f.Text(label+", answer", fmt.Sprint(got, err))
	}
}

// pageOf returns a page's fields as text for the golden file.
func pageOf(page wire.Listing, err error) (any, error) {
	return fmt.Sprint(page.Items, page.More, page.Revision), err
}

// listOf returns the result of List as text for the golden file.
func listOf(entries []wire.Entry, rev uint64, err error) (any, error) {
	return fmt.Sprint(entries, rev), err
}

// Callers decide by the error whether to retry and whether a transaction may have been executed. Each
// response of the store must lead to the right error.
func TestRefusalsOfTheStoreAreReported(t *testing.T) {
	ctx := t.Context()
	get := func(c *Client) error { _, err := c.Get(ctx, "a"); return err }
	commit := func(c *Client) error { _, err := c.CompareAndSwap(ctx, nil, []wire.Op{{Delete: "a"}}); return err }
	watch := func(c *Client) error { _, err := c.Watch(ctx, "a", 1, 0); return err }
	renew := func(c *Client) error { return c.RenewLease(ctx, 1) }
	for _, c := range []struct {
		name   string
		call   func(c *Client) error
		status int
		answer any
		is     []error
		not    []error
	}{
		{"unavailable", get, 503, nil, []error{ErrRefused}, []error{ErrRateLimited, ErrOutcomeUnknown}},
		{"too many", get, 429, nil, []error{ErrRateLimited, ErrRefused}, []error{ErrOutcomeUnknown}},
		{"too many changes", commit, 429, nil, []error{ErrRateLimited, ErrRefused}, []error{ErrOutcomeUnknown}},
		{"malformed", get, 400, nil, []error{ErrInvalidRequest}, []error{ErrRefused, ErrOutcomeUnknown}},
		{"malformed transaction", commit, 400, wire.TxnAnswer{Error: "bad"}, []error{ErrInvalidRequest}, []error{ErrLeaseNotFound}},
		{"lease of a transaction", commit, 400, wire.TxnAnswer{Error: "no such lease"}, []error{ErrLeaseNotFound}, []error{ErrInvalidRequest}},
		{"lease", renew, 404, nil, []error{ErrLeaseNotFound}, []error{ErrInvalidRequest}},
		{"lease refused", renew, 503, nil, []error{ErrRefused}, []error{ErrLeaseNotFound}},
		{"old watch", watch, 410, nil, []error{ErrCompacted}, []error{ErrInvalidRequest}},
	} {
		s := golden.Serve(t, golden.Answer{Status: c.status, Body: body(t, c.answer)})
		err := c.call(New(s.Dial, "state:80", 100, 100))
		for _, want := range c.is {
			if !errors.Is(err, want) {
				t.Errorf("%s: got %v, want an error that is %v", c.name, err, want)
			}
		}
		for _, other := range c.not {
			if errors.Is(err, other) {
				t.Errorf("%s: got %v, want an error that is not %v", c.name, err, other)
			}
		}
	}
	s := golden.Serve(t, golden.Answer{Status: 409, Body: body(t, wire.TxnAnswer{Revision: 8, Failed: []string{"a", "b"}})})
	var conflict *ConflictError
	if err := commit(New(s.Dial, "state:80", 100, 100)); !errors.As(err, &conflict) || conflict.Revision != 8 || fmt.Sprint(conflict.FailedKeys) != "[a b]" {
		t.Errorf("status 409: got %v, want a ConflictError at revision 8 on the keys a and b", err)
	}
	s = golden.Serve(t, golden.Answer{Status: 404, Body: body(t, wire.Entry{Revision: 8})})
	if e, err := New(s.Dial, "state:80", 100, 100).Get(ctx, "a"); err != nil || e.Version != 0 || e.Revision != 8 {
		t.Errorf("key that does not exist: got %+v, %v, want version 0 and revision 8", e, err)
	}
	s = golden.Serve(t)
	s.Close()
	if err := get(New(s.Dial, "state:80", 100, 100)); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("no response: got %v, want ErrOutcomeUnknown", err)
	}
}

// A controller that was away for long is behind by more changes than it reads at once. The error was that of a
// lost answer, and the same watch was repeated. It must be the one after which the keys are listed.
func TestTooManyChangesCountAsCompacted(t *testing.T) {
	log := make([]wire.Event, 1100)
	for i := range log {
		log[i] = wire.Event{Put: "a", Value: body(t, strings.Repeat("x", 16<<10)), Version: uint64(i + 2)}
	}
	s := golden.Serve(t, golden.Answer{Status: http.StatusOK, Body: body(t, wire.Events{Revision: 2000, Log: log})})
	_, err := New(s.Dial, "state:80", 100, 100).Watch(t.Context(), "a", 1, 0)
	if !errors.Is(err, ErrCompacted) || errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrCompacted", err)
	}
}
