package jobstore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file reads the records of jobs that are over for lookups, several with one
// request. After a restart of all nodes nobody remembers any, and thousands of
// users ask: with a request each, some job's was refused for minutes, and the
// barriers waited behind them.

const (
	// finalReaders is how many such requests there are at once: one that is not
	// answered keeps only those waiting that it was sent for.
	finalReaders = 2
	// minRangeReads is below how many lookups each is read by itself.
	minRangeReads = 3
	// A request covers as many keys as pay: between the least and the most, such
	// that at least one of each wasted is asked for.
	minRange, maxRange = 16, 500
	maxWastePerHit     = 32
	finalReadTimeout   = 2 * time.Second
	// readsKept is how many of the first are read although nobody waits any more:
	// what is read of a job that is over is kept, and its user asks again.
	readsKept = 64
)

// finalRead waits for a final record.
type finalRead struct {
	ctx   context.Context
	id    string
	order float64
	done  chan finalResult
}

type finalResult struct {
	rec   JobRecord
	found bool
	err   error
}

// finalReadQueue are the lookups that wait.
type finalReadQueue struct {
	waiting []*finalRead
	span    int
	wake    chan struct{}
}

// readFinal reads a job's final record as of a moment after the call; found is false
// where there is none.
func (r *Store) readFinal(ctx context.Context, id string) (rec JobRecord, found bool, err error) {
	a := &finalRead{ctx: ctx, id: id, done: make(chan finalResult, 1)}
	if r.Order != nil {
		a.order = r.Order(id)
	}
	r.mu.Lock()
	r.finalReads.waiting = append(r.finalReads.waiting, a)
	r.mu.Unlock()
	select {
	case r.finalReads.wake <- struct{}{}:
	default:
	}
	select {
	case got := <-a.done:
		return got.rec, got.found, got.err
	case <-ctx.Done():
		return JobRecord{}, false, refusedError(ctx)
	}
}

// deliverFinal answers a lookup, and keeps what it was told.
func (r *Store) deliverFinal(a *finalRead, e wire.Entry, err error) {
	got := finalResult{err: err, found: err == nil && e.Version != 0}
	if got.found {
		var err error
		if got.rec, err = DecodeFinal(e.Value); err != nil {
			r.logUnreadable(e.Key, err)
			if got.rec = (JobRecord{State: salvageState(e.Value)}); got.rec.State == "" {
				got = finalResult{err: fmt.Errorf("%w: how job %s ended", ErrUnreadable, a.id)}
			}
		}
	}
	if got.found {
		r.cacheFinal(a.id, got.rec)
	}
	a.done <- got
}

// serveFinalReads serves lookups until ctx ends.
func (r *Store) serveFinalReads(ctx context.Context) {
	for {
		asks, span := r.takeFinalReads()
		switch {
		case len(asks) == 0:
			select {
			case <-ctx.Done():
				return
			case <-r.finalReads.wake:
			}
		case ctx.Err() != nil:
			for _, a := range asks {
				a.done <- finalResult{err: refusedError(ctx)}
			}
		case len(asks) < minRangeReads:
			r.requeueFinalReads(asks[1:])
			gctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
			e, err := r.kv.Get(gctx, FinalKey(asks[0].id))
			cancel()
			r.deliverFinal(asks[0], e, err)
		default:
			r.readFinalRange(ctx, asks, span)
		}
	}
}

// takeFinalReads takes all who wait, those first who are to be served first.
func (r *Store) takeFinalReads() (asks []*finalRead, span int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asks = r.finalReads.waiting
	r.finalReads.waiting = nil
	slices.SortStableFunc(asks, func(a, b *finalRead) int { return cmp.Compare(a.order, b.order) })
	if len(asks) > readsKept {
		rest := slices.DeleteFunc(asks[readsKept:], func(a *finalRead) bool { return a.ctx.Err() != nil })
		asks = asks[:readsKept+len(rest)]
	}
	return asks, max(minRange, r.finalReads.span)
}

// requeueFinalReads has lookups wait for another request, before those that came since.
func (r *Store) requeueFinalReads(asks []*finalRead) {
	if len(asks) == 0 {
		return
	}
	r.mu.Lock()
	r.finalReads.waiting = append(slices.Clone(asks), r.finalReads.waiting...)
	r.mu.Unlock()
	select {
	case r.finalReads.wake <- struct{}{}:
	default:
	}
}

// readFinalRange reads so many keys from the first one's on, and answers everyone whose
// key is among them or would be.
func (r *Store) readFinalRange(ctx context.Context, asks []*finalRead, n int) {
	rctx, cancel := context.WithTimeout(ctx, finalReadTimeout)
	defer cancel()
	first := FinalKey(asks[0].id)
	after := keyBefore(first)
	page, err := r.kv.ListPage(rctx, finalPrefix, after, n)
	if err != nil {
		for _, a := range asks {
			r.deliverFinal(a, wire.Entry{}, err)
		}
		return
	}
	last := ""
	found := make(map[string]wire.Entry, len(page.Items))
	for _, e := range page.Items {
		found[e.Key], last = e, e.Key
	}
	var left []*finalRead
	for _, a := range asks {
		if key := FinalKey(a.id); key > after && (!page.More || key <= last) {
			r.deliverFinal(a, found[key], nil)
		} else {
			left = append(left, a)
		}
	}
	r.cacheNeighbours(page.Items)
	covered := len(asks) - len(left)
	if covered == 0 {
		// Something else lies before the first one's key.
		e, err := r.kv.Get(rctx, first)
		r.deliverFinal(asks[0], e, err)
		left = left[1:]
	}
	if covered*maxWastePerHit >= n {
		n *= 2
	} else {
		n /= 2
	}
	r.mu.Lock()
	r.finalReads.span = min(max(n, minRange), maxRange)
	r.mu.Unlock()
	r.requeueFinalReads(left)
}

// cacheNeighbours keeps what was read beside what was asked for: its users ask next, after a
// restart of all nodes. It takes no more than half of what is kept.
func (r *Store) cacheNeighbours(entries []wire.Entry) {
	r.mu.Lock()
	room := maxCachedFinals/2 - len(r.finalOrder)
	r.mu.Unlock()
	for _, e := range entries[:min(max(room, 0), len(entries))] {
		rec, err := DecodeFinal(e.Value)
		if id, ok := ParseFinalKey(e.Key); ok && err == nil {
			r.cacheFinal(id, rec)
		}
	}
}

// keyBefore is a key that comes before another, with few between them: an id ends in
// a digit.
func keyBefore(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

func refusedError(ctx context.Context) error {
	return fmt.Errorf("%w: %v", kvstore.ErrRefused, ctx.Err())
}
