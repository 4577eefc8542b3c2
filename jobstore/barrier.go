// Read barriers. A read barrier brings the index up to a revision that is current at some moment after
// the call. It is a watch that does not block and returns all changes since the last barrier. Concurrent
// callers share one barrier.

package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// barrierQueue is how many requests for a barrier are buffered.
	barrierQueue = 256
	// barrierShare is the largest number of callers that share a barrier.
	barrierShare   = 512
	barrierTimeout = 2500 * time.Millisecond
	// listPageSize is how many keys are listed with one request.
	listPageSize = 500
)

// serveBarriers serves read barriers until ctx ends.
func (s *Store) serveBarriers(ctx context.Context) {
	for {
		var first chan error
		select {
		case <-ctx.Done():
			return
		case first = <-s.barrierRequests:
		}
		waiting := append([]chan error{first}, s.waitingForBarrier()...)
		started := time.Now()
		err := s.refresh(ctx)
		for _, w := range waiting {
			w <- err
		}
		// Callers that arrive during the pause share the next barrier. With hundreds of polling users,
		// back-to-back barriers of every controller would exceed the key-value store's request rate.
		if s.config.BarrierInterval != nil {
			call.Pause(ctx, s.config.BarrierInterval()-time.Since(started))
		}
	}
}

// waitingForBarrier returns the callers that are already waiting, in addition to the first one.
func (s *Store) waitingForBarrier() []chan error {
	var waiting []chan error
	for len(waiting) < barrierShare-1 {
		select {
		case w := <-s.barrierRequests:
			waiting = append(waiting, w)
		default:
			return waiting
		}
	}
	return waiting
}

// readBarrier waits for a barrier that starts after the call. It returns an error that wraps
// kvstore.ErrRefused if ctx ends first.
func (s *Store) readBarrier(ctx context.Context) error {
	done := make(chan error, 1)
	select {
	case s.barrierRequests <- done:
	case <-ctx.Done():
		return refusedError(ctx)
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return refusedError(ctx)
	}
}

// refresh applies the changes since the last refresh to the index. It lists all records the first time,
// and when the changes have been compacted.
func (s *Store) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	s.mu.Lock()
	loaded, revision := s.loaded, s.revision
	s.mu.Unlock()
	if loaded {
		events, err := s.kv.Watch(ctx, ActivePrefix, revision, 0)
		if err == nil {
			return s.apply(events)
		}
		if !errors.Is(err, kvstore.ErrCompacted) {
			return err
		}
	}
	return s.reload(ctx)
}

// reload rebuilds the index from a listing of all records.
func (s *Store) reload(ctx context.Context) error {
	if err := s.listActive(ctx); err != nil {
		return err
	}
	// The pages of the listing have different revisions. Applying all changes since the first page's
	// revision makes them consistent.
	events, err := s.kv.Watch(ctx, ActivePrefix, s.partial.revision, 0)
	if err != nil {
		if errors.Is(err, kvstore.ErrCompacted) {
			s.partial = listing{}
		}
		return err
	}
	s.mu.Lock()
	s.reset(s.partial.entries, s.partial.revision)
	s.mu.Unlock()
	s.partial = listing{}
	return s.apply(events)
}

// apply applies changes to the index. It returns ErrNewerSchema if the records have a newer schema than
// this program supports.
func (s *Store) apply(events wire.Events) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvents(events)
	if s.schema.Version > LatestSchema {
		return ErrNewerSchema
	}
	return nil
}

// listing is a possibly incomplete listing of all active records.
type listing struct {
	entries  []wire.Entry
	revision uint64 // of the first page
	lastKey  string
	complete bool
}

// listActive reads all active records into s.partial. If ctx ends first, the next barrier resumes the
// listing. After a restart of all controllers at once, the key-value store's rate limits leave a
// controller too few requests to list everything within one barrier's timeout.
func (s *Store) listActive(ctx context.Context) error {
	l := &s.partial
	for !l.complete {
		page, err := s.kv.ListPage(ctx, ActivePrefix, l.lastKey, listPageSize)
		if err != nil {
			return err
		}
		if l.lastKey == "" {
			l.revision = page.Revision
		}
		l.entries = append(l.entries, page.Items...)
		l.complete = !page.More || len(page.Items) == 0
		if n := len(page.Items); n > 0 {
			l.lastKey = page.Items[n-1].Key
		}
	}
	return nil
}
