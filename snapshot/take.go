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

// Source is what taking a snapshot needs of the state service.
type Source interface {
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

// Target is what filling a state service needs of it.
type Target interface {
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	Get(ctx context.Context, key string) (wire.Entry, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
}

// listPageSize is how many keys are read at once.
const listPageSize = 500

// maxAttempts is how often a request is repeated that the state service refuses.
const maxAttempts = 20

// retryRefused repeats f while the state service refuses or does not answer.
func retryRefused(ctx context.Context, f func() error) error {
	for try := 1; ; try++ {
		err := f()
		if err == nil || try == maxAttempts || !errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return err
		}
		if !call.Pause(ctx, time.Duration(try)*100*time.Millisecond) {
			return ctx.Err()
		}
	}
}

// Take reads everything there is, as of one revision, at no more than per
// requests a second, and writes it to w. The pages of a listing are of different
// moments: the changes between them are read after each, before the service
// forgets them, and a last time at the end.
func Take(ctx context.Context, src Source, per float64, w io.Writer, by string) (Header, int, error) {
	pace := rate.NewLimiter(rate.Limit(per), 1)
	all := map[string]wire.Raw{}
	versions := map[string]uint64{}
	var rev uint64
	after, more := "", true
	for more {
		var page wire.Listing
		err := retryRefused(ctx, func() (err error) {
			if err := pace.Wait(ctx); err != nil {
				return err
			}
			page, err = src.ListPage(ctx, "", after, listPageSize)
			if rev == 0 {
				rev = page.Revision
			}
			return err
		})
		if err != nil {
			return Header{}, 0, fmt.Errorf("snapshot: after %q: %w", after, err)
		}
		more = page.More
		for _, it := range page.Items {
			all[it.Key], versions[it.Key] = it.Value, it.Version
			after = it.Key
		}
		// Changes of keys that the listing has not come to yet are read again with
		// it, and known by their version.
		err = retryRefused(ctx, func() error {
			if err := pace.Wait(ctx); err != nil {
				return err
			}
			ev, err := src.Watch(ctx, "", rev, 0)
			if err != nil {
				return err
			}
			for _, e := range ev.Log {
				key := e.Put + e.Delete
				if e.Version <= versions[key] {
					continue
				}
				versions[key] = e.Version
				if e.Delete != "" {
					delete(all, key)
				} else {
					all[key] = e.Value
				}
			}
			rev = max(rev, ev.Revision)
			return nil
		})
		if err != nil {
			return Header{}, 0, fmt.Errorf("snapshot: changes after revision %d: %w", rev, err)
		}
	}
	delete(all, election.LeaderKey) // whoever leads now
	h := Header{Revision: rev, AtMs: time.Now().UnixMilli(), By: by}
	s, err := NewWriter(w, h)
	if err != nil {
		return h, 0, err
	}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if err := s.Add(KeyValue{Key: key, Value: all[key]}); err != nil {
			return h, 0, err
		}
	}
	return h, len(all), s.Close()
}

// importMarkKey stands in a state service while it is being filled.
const importMarkKey = "ctl/import"

// ErrNotEmpty says that a state service holds something already.
var ErrNotEmpty = errors.New("the state service is not empty")

// Restore fills an empty state service, ops changes and 48 KiB a transaction. One
// that was cut off goes on where it stopped, if it is the same snapshot again.
// The file is read to its end first: what is damaged is refused before anything
// is written.
func Restore(ctx context.Context, to Target, h Header, all map[string]wire.Raw, ops int) (int, error) {
	mark := Header{Revision: h.Revision, AtMs: h.AtMs, By: h.By}
	entry, err := to.Get(ctx, importMarkKey)
	if err != nil {
		return 0, fmt.Errorf("import: %w", err)
	}
	begun := entry.Version != 0
	if begun {
		var was Header
		if err := wire.Unmarshal(entry.Value, &was); err != nil || was != mark {
			return 0, fmt.Errorf("%w: another import was begun there", ErrNotEmpty)
		}
	} else {
		page, err := to.ListPage(ctx, "", "", listPageSize)
		if err != nil {
			return 0, fmt.Errorf("import: %w", err)
		}
		if len(page.Items) > 0 {
			return 0, fmt.Errorf("%w: it has %q", ErrNotEmpty, page.Items[0].Key)
		}
		rev, err := to.CompareAndSwap(ctx, []wire.Guard{{Key: importMarkKey}}, []wire.Op{{Put: importMarkKey, Value: mark}})
		if err != nil {
			return 0, fmt.Errorf("import: %w", err)
		}
		entry.Version = rev
	}
	written := 0
	keys := slices.Sorted(maps.Keys(all))
	for len(keys) > 0 {
		n, bytes := 0, 0
		guards := []wire.Guard{{Key: importMarkKey, Version: entry.Version}}
		var puts []wire.Op
		for n < len(keys) && n < ops && (n == 0 || bytes+2*len(all[keys[n]]) < 48<<10) {
			guards = append(guards, wire.Guard{Key: keys[n]})
			puts = append(puts, wire.Op{Put: keys[n], Value: all[keys[n]]})
			bytes += 2 * len(all[keys[n]])
			n++
		}
		var c *kvstore.ConflictError
		err := retryRefused(ctx, func() error {
			_, err := to.CompareAndSwap(ctx, guards, puts)
			return err
		})
		switch {
		case errors.As(err, &c) && !slices.Contains(c.FailedKeys, importMarkKey):
			// Written before, by this import: its answer was lost, or it was cut off.
			// With other limits it may have been written in other pieces.
			for i := range puts {
				err := retryRefused(ctx, func() error {
					_, err := to.CompareAndSwap(ctx, []wire.Guard{guards[0], guards[i+1]}, puts[i:i+1])
					return err
				})
				if err == nil {
					written++
				} else if !errors.As(err, &c) || slices.Contains(c.FailedKeys, importMarkKey) {
					return written, fmt.Errorf("import: at %q: %w", keys[i], err)
				}
			}
		case err != nil:
			return written, fmt.Errorf("import: at %q: %w", keys[0], err)
		default:
			written += n
		}
		keys = keys[n:]
	}
	err = retryRefused(ctx, func() error {
		_, err := to.CompareAndSwap(ctx, []wire.Guard{{Key: importMarkKey, Version: entry.Version}}, []wire.Op{{Delete: importMarkKey}})
		return err
	})
	if err != nil {
		return written, fmt.Errorf("import: %w", err)
	}
	return written, nil
}
