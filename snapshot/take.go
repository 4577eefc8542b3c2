// The export of all records as of one revision.

package snapshot

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Source is the part of the key-value store's client that Take uses.
type Source interface {
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

const (
	// maxAttempts bounds the attempts of a request that the key-value store rejects or does not answer.
	maxAttempts = 20
	// listPageSize is the number of keys in one page of the listing.
	listPageSize = 500
	// retryStep is the delay before the first retry, and the increase of each further delay.
	retryStep = 100 * time.Millisecond
)

// retry calls f up to maxAttempts times, until it returns nil or an error that is neither
// kvstore.ErrRefused nor kvstore.ErrOutcomeUnknown. f must be safe to repeat after an unknown outcome.
func retry(ctx context.Context, f func() error) error {
	for attempt := 1; ; attempt++ {
		err := f()
		if err == nil || attempt == maxAttempts || !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return err
		}
		if !call.Pause(ctx, time.Duration(attempt)*retryStep) {
			return ctx.Err()
		}
	}
}

// Take reads all records as of one revision, with up to rps requests per second, and writes them to w. It
// returns the header and the number of keys. by is the program's version for the header. Take omits the
// leader key.
//
// The pages of the listing are from different revisions. After each page, Take therefore reads and applies
// the changes since the previous page. At the end of the listing, the key-value store might already have
// compacted them.
func Take(ctx context.Context, src Source, rps float64, w io.Writer, by string) (Header, int, error) {
	l := &lister{
		source: src, limiter: rate.NewLimiter(rate.Limit(rps), 1),
		values: map[string]wire.Raw{}, versions: map[string]uint64{},
	}
	for more := true; more; {
		var err error
		if more, err = l.readPage(ctx); err != nil {
			return Header{}, 0, fmt.Errorf("snapshot: after %q: %w", l.lastKey, err)
		}
		if err := l.readChanges(ctx); err != nil {
			return Header{}, 0, fmt.Errorf("snapshot: changes after revision %d: %w", l.revision, err)
		}
	}
	delete(l.values, election.LeaderKey) // the current leader is no longer valid at an import
	h := Header{Revision: l.revision, AtMs: time.Now().UnixMilli(), By: by}
	if err := write(w, h, l.values); err != nil {
		return h, 0, err
	}
	return h, len(l.values), nil
}

// write writes entries as a snapshot, in the order of their keys.
func write(w io.Writer, h Header, values map[string]wire.Raw) error {
	s, err := NewWriter(w, h)
	if err != nil {
		return err
	}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		if err := s.Add(KeyValue{Key: key, Value: values[key]}); err != nil {
			return err
		}
	}
	return s.Close()
}

// lister reads all entries of a key-value store as of one revision.
type lister struct {
	source  Source
	limiter *rate.Limiter

	values   map[string]wire.Raw
	versions map[string]uint64 // by key; includes keys that were deleted after the listing began
	revision uint64            // all changes up to this revision are applied; 0 before the first page
	lastKey  string            // the last listed key
}

// readPage reads the next page of the listing. more is false after the last page.
func (l *lister) readPage(ctx context.Context) (more bool, err error) {
	var page wire.Listing
	err = retry(ctx, func() (err error) {
		if err := l.limiter.Wait(ctx); err != nil {
			return err
		}
		page, err = l.source.ListPage(ctx, "", l.lastKey, listPageSize)
		if l.revision == 0 {
			l.revision = page.Revision
		}
		return err
	})
	if err != nil {
		return false, err
	}
	for _, e := range page.Items {
		l.values[e.Key], l.versions[e.Key] = e.Value, e.Version
		l.lastKey = e.Key
	}
	return page.More, nil
}

// readChanges reads and applies the changes since l.revision. They may include keys that the listing has
// not reached. The listing later reads these keys again in the same or a later version.
func (l *lister) readChanges(ctx context.Context) error {
	return retry(ctx, func() error {
		if err := l.limiter.Wait(ctx); err != nil {
			return err
		}
		events, err := l.source.Watch(ctx, "", l.revision, 0)
		if err != nil {
			return err
		}
		for _, e := range events.Log {
			l.apply(e)
		}
		l.revision = max(l.revision, events.Revision)
		return nil
	})
}

// apply applies a change unless the lister already has the same or a later version of the key.
func (l *lister) apply(e wire.Event) {
	key := e.Put + e.Delete // one of them is empty
	if e.Version <= l.versions[key] {
		return
	}
	l.versions[key] = e.Version
	if e.Delete != "" {
		delete(l.values, key)
	} else {
		l.values[key] = e.Value
	}
}
