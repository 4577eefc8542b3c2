// Reads of final records for lookups. One request serves several reads. After a restart of all
// controllers their caches are empty while thousands of users poll. With one request for each lookup,
// some lookups were refused for minutes, and read barriers waited behind them.

package jobstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

const (
	// finalReaders is how many requests may be in flight at once. A request that gets no response then
	// delays only the lookups that it serves.
	finalReaders = 2
	// minRangeReads is the smallest number of waiting reads that are served by listing a range of keys.
	// Fewer reads are served one by one.
	minRangeReads = 3
	// A listing covers minRangeKeys to maxRangeKeys. The number of keys is doubled if a read waits for at
	// least one in maxKeysPerRead of them, and halved otherwise.
	minRangeKeys, maxRangeKeys = 16, 500
	maxKeysPerRead             = 32
	finalReadTimeout           = 2 * time.Second
	// keptReads is how many reads at the front of the queue are served even if their callers have given
	// up. The result is cached, and the users are expected to poll again.
	keptReads = 64
)

// finalRead is a queued read of a final record.
type finalRead struct {
	ctx  context.Context
	id   string
	rank float64 // see Config.FinalReadOrder; the smallest is served first
	done chan finalResult
}

type finalResult struct {
	record JobRecord
	found  bool
	err    error
}

// finalReadQueue holds the waiting reads of final records. The Store's lock guards it, except for wake.
type finalReadQueue struct {
	waiting   []*finalRead
	rangeKeys int           // how many keys the next listing covers
	wake      chan struct{} // signals a reader goroutine that reads wait
}

// readFinal reads a job's final record, as of some moment after the call. found is false if the job has
// none.
func (s *Store) readFinal(ctx context.Context, id string) (record JobRecord, found bool, err error) {
	read := &finalRead{ctx: ctx, id: id, done: make(chan finalResult, 1)}
	if s.config.FinalReadOrder != nil {
		read.rank = s.config.FinalReadOrder(id)
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

// wakeFinalReader wakes a reader goroutine. It does not block.
func (s *Store) wakeFinalReader() {
	select {
	case s.finalReads.wake <- struct{}{}:
	default:
	}
}

// completeFinalRead completes a read with the entry or the error that the key-value store returned, and
// caches the record.
func (s *Store) completeFinalRead(read *finalRead, e wire.Entry, err error) {
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

// decodeFinal decodes a final record. From a damaged record it recovers only the state, if that is intact.
// Otherwise it returns an UnreadableError.
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

// serveFinalReads serves queued reads until ctx ends.
func (s *Store) serveFinalReads(ctx context.Context) {
	for {
		reads, rangeKeys := s.takeFinalReads()
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
			s.readFinalRange(ctx, reads, rangeKeys)
		}
	}
}

// takeFinalReads removes all reads from the queue and returns them in the order in which they are served.
// It drops the reads after the first keptReads whose callers have given up. rangeKeys is how many keys a
// listing should cover.
func (s *Store) takeFinalReads() (reads []*finalRead, rangeKeys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads = s.finalReads.waiting
	s.finalReads.waiting = nil
	slices.SortStableFunc(reads, func(a, b *finalRead) int { return cmp.Compare(a.rank, b.rank) })
	if len(reads) > keptReads {
		rest := slices.DeleteFunc(reads[keptReads:], func(r *finalRead) bool { return r.ctx.Err() != nil })
		reads = reads[:keptReads+len(rest)]
	}
	return reads, max(minRangeKeys, s.finalReads.rangeKeys)
}

// requeueFinalReads puts reads back at the front of the queue.
func (s *Store) requeueFinalReads(reads []*finalRead) {
	if len(reads) == 0 {
		return
	}
	s.mu.Lock()
	s.finalReads.waiting = append(slices.Clone(reads), s.finalReads.waiting...)
	s.mu.Unlock()
	s.wakeFinalReader()
}

// serveFinalRead serves one read with one request.
func (s *Store) serveFinalRead(ctx context.Context, read *finalRead) {
	ctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	e, err := s.kv.Get(ctx, FinalKey(read.id))
	s.completeFinalRead(read, e, err)
}

// readFinalRange lists n keys from just before the key of the first read. It completes each read whose
// key is in the listed range, whether or not the key exists, and queues the others again.
func (s *Store) readFinalRange(ctx context.Context, reads []*finalRead, n int) {
	ctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	first := FinalKey(reads[0].id)
	after := keyBefore(first)
	page, err := s.kv.ListPage(ctx, finalPrefix, after, n)
	if err != nil {
		for _, read := range reads {
			s.completeFinalRead(read, wire.Entry{}, err)
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
			s.completeFinalRead(read, found[key], nil)
		} else {
			left = append(left, read)
		}
	}
	s.cacheListed(page.Items)
	covered := len(reads) - len(left)
	if covered == 0 {
		// The listing ended before the first read's key. Read this key alone to make progress.
		e, err := s.kv.Get(ctx, first)
		s.completeFinalRead(reads[0], e, err)
		left = left[1:]
	}
	s.adaptRange(n, covered)
	s.requeueFinalReads(left)
}

// adaptRange sets the length of the next listing, after a listing of n keys completed a number of reads.
func (s *Store) adaptRange(n, covered int) {
	if covered*maxKeysPerRead >= n {
		n *= 2
	} else {
		n /= 2
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finalReads.rangeKeys = min(max(n, minRangeKeys), maxRangeKeys)
}

// cacheListed caches the records of a listing, requested or not. After a restart of all controllers, users
// are likely to request the others next. It fills at most half of the cache.
func (s *Store) cacheListed(entries []wire.Entry) {
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

// keyBefore returns a key that sorts just before the given one, with few possible keys in between. It
// decrements the last character, which is a digit in a job id.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}
