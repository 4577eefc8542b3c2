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

// ending waits for its job to be ended.
type ending struct {
	id, home string // where the job stood when it was looked up
	over     JobRecord
	done     chan error
}

// cancelOnPage ends a job whose record shares a page with others.
func (r *Store) cancelOnPage(ctx context.Context, id, home string, over JobRecord) error {
	e := &ending{id: id, home: home, over: over, done: make(chan error, 1)}
	r.mu.Lock()
	if r.ctx == nil || r.ended {
		r.mu.Unlock()
		return fmt.Errorf("%w: shutting down", kvstore.ErrRefused)
	}
	bucket := r.form.Bucket(id)
	q := r.queue(bucket)
	q.ending = append(q.ending, e)
	r.write(bucket, q)
	r.mu.Unlock()
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		r.mu.Lock()
		q.ending = slices.DeleteFunc(q.ending, func(o *ending) bool { return o == e })
		r.mu.Unlock()
		return fmt.Errorf("%w: %v", kvstore.ErrOutcomeUnknown, ctx.Err()) // it may be under way
	}
}

// takeEnding takes those that fit into a transaction off a queue, all of the page
// for which the first one waits; the lock is held.
func (r *Store) takeEnding(q *queue) (taken []*ending) {
	if len(q.ending) == 0 {
		return nil
	}
	home, most, bytes := q.ending[0].home, r.Limits.TxnOps-1, 0
	if r.Limits.TxnOps <= 0 {
		most = 11
	}
	q.ending = slices.DeleteFunc(q.ending, func(e *ending) bool {
		if e.home != home || len(taken) >= most {
			return false
		}
		raw, err := wire.Marshal(e.over)
		size := wire.JSONSize(raw) + 64
		if len(taken) > 0 && (err != nil || bytes+size > 2*r.Limits.bytes()) {
			return false
		}
		bytes += size
		taken = append(taken, e)
		return true
	})
	return taken
}

// commitEnding ends jobs of one page, and tells each. What has become of one whose
// transaction failed, or was not answered, its caller looks up.
func (r *Store) commitEnding(ctx context.Context, ends []*ending) {
	home := ends[0].home
	r.mu.Lock()
	var stand []*ending
	ids := map[string]bool{}
	p := r.intake[home]
	for _, e := range ends {
		if p == nil || !slices.ContainsFunc(p.rec.Entries, func(o JobPageEntry) bool { return o.ID == e.id }) || ids[e.id] {
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
	rec, version := p.rec.Without(ids), p.version
	r.mu.Unlock()
	guards, ops := []wire.Guard{{Key: home, Version: version}}, []wire.Op{{Put: home, Value: rec}}
	if len(rec.Entries) == 0 && !IsHeadPageKey(home) {
		ops[0] = wire.Op{Delete: home}
	}
	for _, e := range stand {
		guards = append(guards, wire.Guard{Key: FinalKey(e.id)})
		ops = append(ops, wire.Op{Put: FinalKey(e.id), Value: e.over})
	}
	rev, err := r.store.CompareAndSwap(ctx, guards, ops)
	if err == nil {
		r.wrote(ops, rev)
	}
	for _, e := range stand {
		e.done <- err
	}
}
