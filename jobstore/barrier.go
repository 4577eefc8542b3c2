package jobstore

import (
	"context"
	"errors"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A read barrier brings the index up to a moment after the call: a watch that does not block returns
// every change so far. Callers that come together share one.

const (
	// barrierQueue is how many callers can ask for a barrier without waiting.
	barrierQueue = 256
	// barrierShare is how many callers share a barrier at most.
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
		// Callers that come meanwhile share the next barrier: with hundreds of users who poll, one
		// barrier after another on every controller is more than the key-value store takes.
		if s.config.BarrierInterval != nil {
			call.Pause(ctx, s.config.BarrierInterval()-time.Since(started))
		}
	}
}

// waitingForBarrier takes the callers that wait beside the first one.
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

// refresh brings the index up to date: by the changes since the last refresh or, the first time and
// where these are no longer kept, by listing all records.
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

// reload replaces the index by a listing of all records.
func (s *Store) reload(ctx context.Context) error {
	if err := s.listActive(ctx); err != nil {
		return err
	}
	// The pages of the listing are of different moments: the changes since the first one make it whole.
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

// apply takes changes in.
func (s *Store) apply(events wire.Events) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvents(events)
	if s.schema.Version > LatestSchema {
		return ErrNewerSchema
	}
	return nil
}

// listing is what has been read so far of all active records.
type listing struct {
	entries  []wire.Entry
	revision uint64 // of the first page
	lastKey  string
	complete bool
}

// listActive reads all active records. What it has read when ctx ends is kept, and the next barrier
// goes on: where all controllers start at once, and the key-value store takes few requests of each,
// none would ever have read all.
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
