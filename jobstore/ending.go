package jobstore

import (
	"context"
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file cancels jobs whose records share pages with others. Each cancellation
// changes a page on condition that nobody else has: with one transaction for each,
// beside submissions that change the same page all the time, some were refused for
// most of a minute. So those that wait for a page share a transaction, and a
// bucket's writer commits them and the submissions in turn.

// cancellation waits for its job to be ended.
type cancellation struct {
	id, pageKey string // where the job stood when it was looked up
	final       JobRecord
	done        chan error
}

// cancelOnPage ends a job whose record shares a page with others.
func (r *Store) cancelOnPage(ctx context.Context, id, home string, over JobRecord) error {
	e := &cancellation{id: id, pageKey: home, final: over, done: make(chan error, 1)}
	r.mu.Lock()
	if r.ctx == nil || r.stopped {
		r.mu.Unlock()
		return fmt.Errorf("%w: shutting down", kvstore.ErrRefused)
	}
	bucket := r.schema.Bucket(id)
	q := r.bucketQueue(bucket)
	q.cancellations = append(q.cancellations, e)
	r.startWriter(bucket, q)
	r.mu.Unlock()
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		r.mu.Lock()
		q.cancellations = slices.DeleteFunc(q.cancellations, func(o *cancellation) bool { return o == e })
		r.mu.Unlock()
		return fmt.Errorf("%w: %v", kvstore.ErrOutcomeUnknown, ctx.Err()) // it may be under way
	}
}

// takeCancellations takes those that fit into a transaction off a queue, all of the page
// for which the first one waits; the lock is held.
func (r *Store) takeCancellations(q *bucketQueue) (taken []*cancellation) {
	if len(q.cancellations) == 0 {
		return nil
	}
	home, most, bytes := q.cancellations[0].pageKey, r.Limits.TxnOps-1, 0
	if r.Limits.TxnOps <= 0 {
		most = 11
	}
	q.cancellations = slices.DeleteFunc(q.cancellations, func(e *cancellation) bool {
		if e.pageKey != home || len(taken) >= most {
			return false
		}
		raw, err := wire.Marshal(e.final)
		size := wire.JSONSize(raw) + 64
		if len(taken) > 0 && (err != nil || bytes+size > 2*r.Limits.pageBytes()) {
			return false
		}
		bytes += size
		taken = append(taken, e)
		return true
	})
	return taken
}

// commitCancellations ends jobs of one page, and tells each. What has become of one whose
// transaction failed, or was not answered, its caller looks up.
func (r *Store) commitCancellations(ctx context.Context, ends []*cancellation) {
	home := ends[0].pageKey
	r.mu.Lock()
	var stand []*cancellation
	ids := map[string]bool{}
	p := r.jobPages[home]
	for _, e := range ends {
		if p == nil || !slices.ContainsFunc(p.page.Entries, func(o JobPageEntry) bool { return o.ID == e.id }) || ids[e.id] {
			e.done <- fmt.Errorf("%w: the job has moved", kvstore.ErrOutcomeUnknown)
			continue
		}
		ids[e.id] = true
		stand = append(stand, e)
	}
	if len(stand) == 0 {
		r.mu.Unlock()
		return
	}
	rec, version := p.page.Without(ids), p.version
	r.mu.Unlock()
	guards, ops := []wire.Guard{{Key: home, Version: version}}, []wire.Op{{Put: home, Value: rec}}
	if len(rec.Entries) == 0 && !IsHeadPageKey(home) {
		ops[0] = wire.Op{Delete: home}
	}
	for _, e := range stand {
		guards = append(guards, wire.Guard{Key: FinalKey(e.id)})
		ops = append(ops, wire.Op{Put: FinalKey(e.id), Value: e.final})
	}
	rev, err := r.kv.CompareAndSwap(ctx, guards, ops)
	if err == nil {
		r.applyOwnPages(ops, rev)
	}
	for _, e := range stand {
		e.done <- err
	}
}
