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
	// endReaders is how many such requests there are at once: one that is not
	// answered keeps only those waiting that it was sent for.
	endReaders = 2
	// fewEnds is below how many lookups each is read by itself.
	fewEnds = 3
	// A request covers as many keys as pay: between the least and the most, such
	// that at least one of each wasted is asked for.
	spanLeast, spanMost = 16, 500
	wasted              = 32
	endWait             = 2 * time.Second
	// endsKept is how many of the first are read although nobody waits any more:
	// what is read of a job that is over is kept, and its user asks again.
	endsKept = 64
)

// endAsk waits for a final record.
type endAsk struct {
	ctx   context.Context
	id    string
	order float64
	done  chan endAnswer
}

type endAnswer struct {
	rec   JobRecord
	found bool
	err   error
}

// ends are the lookups that wait.
type ends struct {
	waiting []*endAsk
	span    int
	kick    chan struct{}
}

// end reads a job's final record as of a moment after the call; found is false
// where there is none.
func (r *Store) end(ctx context.Context, id string) (rec JobRecord, found bool, err error) {
	a := &endAsk{ctx: ctx, id: id, done: make(chan endAnswer, 1)}
	if r.Order != nil {
		a.order = r.Order(id)
	}
	r.mu.Lock()
	r.ends.waiting = append(r.ends.waiting, a)
	r.mu.Unlock()
	select {
	case r.ends.kick <- struct{}{}:
	default:
	}
	select {
	case got := <-a.done:
		return got.rec, got.found, got.err
	case <-ctx.Done():
		return JobRecord{}, false, refused(ctx)
	}
}

// tell answers a lookup, and keeps what it was told.
func (r *Store) tell(a *endAsk, e wire.Entry, err error) {
	got := endAnswer{err: err, found: err == nil && e.Version != 0}
	if got.found {
		var err error
		if got.rec, err = DecodeFinal(e.Value); err != nil {
			r.unreadable(e.Key, err)
			if got.rec = (JobRecord{State: salvageState(e.Value)}); got.rec.State == "" {
				got = endAnswer{err: fmt.Errorf("%w: how job %s ended", ErrUnreadable, a.id)}
			}
		}
	}
	if got.found {
		r.keepFinal(a.id, got.rec)
	}
	a.done <- got
}

// readEnds serves lookups until ctx ends.
func (r *Store) readEnds(ctx context.Context) {
	for {
		asks, span := r.takeEnds()
		switch {
		case len(asks) == 0:
			select {
			case <-ctx.Done():
				return
			case <-r.ends.kick:
			}
		case ctx.Err() != nil:
			for _, a := range asks {
				a.done <- endAnswer{err: refused(ctx)}
			}
		case len(asks) < fewEnds:
			r.putBack(asks[1:])
			gctx, cancel := context.WithTimeout(ctx, endWait)
			e, err := r.store.Get(gctx, FinalKey(asks[0].id))
			cancel()
			r.tell(asks[0], e, err)
		default:
			r.readSpan(ctx, asks, span)
		}
	}
}

// takeEnds takes all who wait, those first who are to be served first.
func (r *Store) takeEnds() (asks []*endAsk, span int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asks = r.ends.waiting
	r.ends.waiting = nil
	slices.SortStableFunc(asks, func(a, b *endAsk) int { return cmp.Compare(a.order, b.order) })
	if len(asks) > endsKept {
		rest := slices.DeleteFunc(asks[endsKept:], func(a *endAsk) bool { return a.ctx.Err() != nil })
		asks = asks[:endsKept+len(rest)]
	}
	return asks, max(spanLeast, r.ends.span)
}

// putBack has lookups wait for another request, before those that came since.
func (r *Store) putBack(asks []*endAsk) {
	if len(asks) == 0 {
		return
	}
	r.mu.Lock()
	r.ends.waiting = append(slices.Clone(asks), r.ends.waiting...)
	r.mu.Unlock()
	select {
	case r.ends.kick <- struct{}{}:
	default:
	}
}

// readSpan reads so many keys from the first one's on, and answers everyone whose
// key is among them or would be.
func (r *Store) readSpan(ctx context.Context, asks []*endAsk, n int) {
	rctx, cancel := context.WithTimeout(ctx, endWait)
	defer cancel()
	first := FinalKey(asks[0].id)
	after := before(first)
	page, err := r.store.ListPage(rctx, finalPrefix, after, n)
	if err != nil {
		for _, a := range asks {
			r.tell(a, wire.Entry{}, err)
		}
		return
	}
	last := ""
	found := make(map[string]wire.Entry, len(page.Items))
	for _, e := range page.Items {
		found[e.Key], last = e, e.Key
	}
	var left []*endAsk
	for _, a := range asks {
		if key := FinalKey(a.id); key > after && (!page.More || key <= last) {
			r.tell(a, found[key], nil)
		} else {
			left = append(left, a)
		}
	}
	r.keepNear(page.Items)
	covered := len(asks) - len(left)
	if covered == 0 {
		// Something else lies before the first one's key.
		e, err := r.store.Get(rctx, first)
		r.tell(asks[0], e, err)
		left = left[1:]
	}
	if covered*wasted >= n {
		n *= 2
	} else {
		n /= 2
	}
	r.mu.Lock()
	r.ends.span = min(max(n, spanLeast), spanMost)
	r.mu.Unlock()
	r.putBack(left)
}

// keepNear keeps what was read beside what was asked for: its users ask next, after a
// restart of all nodes. It takes no more than half of what is kept.
func (r *Store) keepNear(entries []wire.Entry) {
	r.mu.Lock()
	room := finalMax/2 - len(r.order)
	r.mu.Unlock()
	for _, e := range entries[:min(max(room, 0), len(entries))] {
		rec, err := DecodeFinal(e.Value)
		if id, ok := ParseFinalKey(e.Key); ok && err == nil {
			r.keepFinal(id, rec)
		}
	}
}

// before is a key that comes before another, with few between them: an id ends in
// a digit.
func before(key string) string {
	last := len(key) - 1
	return key[:last] + string(key[last]-1) + "~"
}

func refused(ctx context.Context) error { return fmt.Errorf("%w: %v", kvstore.ErrRefused, ctx.Err()) }
