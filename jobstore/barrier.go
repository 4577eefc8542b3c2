package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A read barrier brings the index up to a revision current at some moment after the call: it is a watch
// that does not block and returns every change so far. Concurrent callers share one.

const (
	// barrierQueue is how many requests for a barrier are buffered.
	barrierQueue = 256
	// barrierShare is the most callers that share a barrier.
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

// waitingForBarrier takes the callers that are already waiting, in addition to the first one.
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

// readBarrier waits for a barrier that starts after the call.
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

// refresh brings the index up to date with the changes since the last refresh. The first time, and if
// those changes have been compacted, it lists all records.
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
	// Each page of the listing is of a different revision: applying all changes since the first page's
	// makes them consistent.
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

// apply applies changes to the index. It returns ErrNewerSchema if this program can't read the records.
func (s *Store) apply(events wire.Events) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvents(events)
	if s.schema.Version > LatestSchema {
		return ErrNewerSchema
	}
	return nil
}

// listing is a listing of all active records, as far as it has been read.
type listing struct {
	entries  []wire.Entry
	revision uint64 // of the first page
	lastKey  string
	complete bool
}

// listActive reads all active records. If ctx ends first, the next barrier resumes where it stopped:
// after a restart of all controllers at once, the key-value store's rate limits leave too few requests
// for a controller to list everything within one barrier's timeout.
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
