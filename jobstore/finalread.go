package jobstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file reads final records for lookups, several with one request. After a restart of all
// controllers nobody remembers any, and thousands of users ask: with a request each, some job's was
// refused for minutes, and the barriers waited behind them.

const (
	// finalReaders is how many requests there are at once: one that is not answered keeps only those
	// waiting that it was sent for.
	finalReaders = 2
	// minRangeReads is below how many reads each is served by itself.
	minRangeReads = 3
	// A request covers as many keys as pay: between minRange and maxRange, such that at least one in
	// maxKeysPerHit is asked for.
	minRange, maxRange = 16, 500
	maxKeysPerHit      = 32
	finalReadTimeout   = 2 * time.Second
	// readsKept is how many of the first reads are served although nobody waits any more: what is read
	// is cached, and the user asks again.
	readsKept = 64
)

// finalRead waits for a final record.
type finalRead struct {
	ctx   context.Context
	id    string
	order float64 // the smallest is served first
	done  chan finalResult
}

type finalResult struct {
	record JobRecord
	found  bool
	err    error
}

// finalReadQueue is the reads that wait.
type finalReadQueue struct {
	waiting  []*finalRead
	rangeLen int // how many keys the next request covers
	wake     chan struct{}
}

// readFinal reads a job's final record as of a moment after the call; found is false where there is
// none.
func (s *Store) readFinal(ctx context.Context, id string) (record JobRecord, found bool, err error) {
	read := &finalRead{ctx: ctx, id: id, done: make(chan finalResult, 1)}
	if s.config.FinalReadOrder != nil {
		read.order = s.config.FinalReadOrder(id)
	}
	s.mu.Lock()
	s.finalReads.waiting = append(s.finalReads.waiting, read)
	s.mu.Unlock()
	s.wakeFinalReader()
	select {
	case r := <-read.done:
		return r.record, r.found, r.err
	case <-ctx.Done():
		return JobRecord{}, false, refusedError(ctx)
	}
}

func (s *Store) wakeFinalReader() {
	select {
	case s.finalReads.wake <- struct{}{}:
	default:
	}
}

// deliver answers a read with what the key-value store has returned for its key, and caches that.
func (s *Store) deliver(read *finalRead, e wire.Entry, err error) {
	if err != nil {
		read.done <- finalResult{err: err}
		return
	}
	if e.Version == 0 {
		read.done <- finalResult{}
		return
	}
	record, err := s.decodeFinal(read.id, e)
	if err != nil {
		read.done <- finalResult{err: err}
		return
	}
	s.cacheFinal(read.id, record)
	read.done <- finalResult{record: record, found: true}
}

// decodeFinal decodes a final record; where it can't be read, its state may still stand there.
func (s *Store) decodeFinal(id string, e wire.Entry) (JobRecord, error) {
	record, err := DecodeFinal(e.Value)
	if err == nil {
		return record, nil
	}
	s.logUnreadable(e.Key, err)
	record = JobRecord{State: salvageState(e.Value)}
	if record.State == "" {
		return JobRecord{}, &UnreadableError{Op: opLookup, Job: id, Key: FinalKey(id)}
	}
	return record, nil
}

// serveFinalReads serves reads until ctx ends.
func (s *Store) serveFinalReads(ctx context.Context) {
	for {
		reads, rangeLen := s.takeFinalReads()
		switch {
		case len(reads) == 0:
			select {
			case <-ctx.Done():
				return
			case <-s.finalReads.wake:
			}
		case ctx.Err() != nil:
			for _, read := range reads {
				read.done <- finalResult{err: refusedError(ctx)}
			}
		case len(reads) < minRangeReads:
			s.requeueFinalReads(reads[1:])
			s.serveFinalRead(ctx, reads[0])
		default:
			s.readFinalRange(ctx, reads, rangeLen)
		}
	}
}

// takeFinalReads takes all reads that wait, those first that are to be served first.
func (s *Store) takeFinalReads() (reads []*finalRead, rangeLen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads = s.finalReads.waiting
	s.finalReads.waiting = nil
	slices.SortStableFunc(reads, func(a, b *finalRead) int { return cmp.Compare(a.order, b.order) })
	if len(reads) > readsKept {
		rest := slices.DeleteFunc(reads[readsKept:], func(r *finalRead) bool { return r.ctx.Err() != nil })
		reads = reads[:readsKept+len(rest)]
	}
	return reads, max(minRange, s.finalReads.rangeLen)
}

// requeueFinalReads has reads wait for another request, before those that came since.
func (s *Store) requeueFinalReads(reads []*finalRead) {
	if len(reads) == 0 {
		return
	}
	s.mu.Lock()
	s.finalReads.waiting = append(slices.Clone(reads), s.finalReads.waiting...)
	s.mu.Unlock()
	s.wakeFinalReader()
}

// serveFinalRead reads one key.
func (s *Store) serveFinalRead(ctx context.Context, read *finalRead) {
	ctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	e, err := s.kv.Get(ctx, FinalKey(read.id))
	s.deliver(read, e, err)
}

// readFinalRange reads n keys from the first read's on, and answers every read whose key is among them
// or would be.
func (s *Store) readFinalRange(ctx context.Context, reads []*finalRead, n int) {
	ctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	first := FinalKey(reads[0].id)
	after := keyBefore(first)
	page, err := s.kv.ListPage(ctx, finalPrefix, after, n)
	if err != nil {
		for _, read := range reads {
			s.deliver(read, wire.Entry{}, err)
		}
		return
	}
	last := ""
	found := make(map[string]wire.Entry, len(page.Items))
	for _, e := range page.Items {
		found[e.Key], last = e, e.Key
	}
	var left []*finalRead
	for _, read := range reads {
		if key := FinalKey(read.id); key > after && (!page.More || key <= last) {
			s.deliver(read, found[key], nil)
		} else {
			left = append(left, read)
		}
	}
	s.cacheNeighbours(page.Items)
	covered := len(reads) - len(left)
	if covered == 0 {
		// Something else lies before the first read's key.
		e, err := s.kv.Get(ctx, first)
		s.deliver(reads[0], e, err)
		left = left[1:]
	}
	s.adaptRange(n, covered)
	s.requeueFinalReads(left)
}

// adaptRange has requests cover more keys where enough of n were asked for, and fewer where not.
func (s *Store) adaptRange(n, covered int) {
	if covered*maxKeysPerHit >= n {
		n *= 2
	} else {
		n /= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finalReads.rangeLen = min(max(n, minRange), maxRange)
}

// cacheNeighbours caches what was read beside what was asked for: after a restart of all controllers
// its users ask next. It takes no more than half of the cache.
func (s *Store) cacheNeighbours(entries []wire.Entry) {
	s.mu.Lock()
	room := maxCachedFinals/2 - len(s.finals.order)
	s.mu.Unlock()
	for _, e := range entries[:min(max(room, 0), len(entries))] {
		record, err := DecodeFinal(e.Value)
		if id, ok := ParseFinalKey(e.Key); ok && err == nil {
			s.cacheFinal(id, record)
		}
	}
}

// keyBefore is a key that comes before another, with few between them: an id ends in a digit.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
