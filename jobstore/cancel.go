package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// maxCancelAttempts bounds how often a cancellation finds that things have changed.
const maxCancelAttempts = 8

// Cancel ends a job unless it is over, and returns its final state; found is false where it was never
// accepted.
func (s *Store) Cancel(ctx context.Context, id string) (final string, found bool, err error) {
	for range maxCancelAttempts {
		status, found, err := s.Lookup(ctx, id)
		if err != nil || !found {
			return "", found, err
		}
		if status.Version == 0 {
			return status.Record.State, true, nil
		}
		record := status.Record
		record.State = wire.JobCancelled
		err = s.commitCancellation(ctx, id, status, record)
		if err == nil {
			s.cacheFinal(id, record)
			return record.State, true, nil
		}
		var conflict *kvstore.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
			return "", true, err
		}
	}
	return "", true, errTooManyConflicts
}

// commitCancellation moves a job from where its status says that it stands to its final record.
func (s *Store) commitCancellation(ctx context.Context, id string, status JobStatus, record JobRecord) error {
	guards := []wire.Guard{{Key: JobKey(id), Version: status.Version}, {Key: FinalKey(id)}}
	ops := []wire.Op{{Delete: JobKey(id)}, {Put: FinalKey(id), Value: record}}
	if version, quarantined := s.unreadableVersion(status.pageKey); version != 0 {
		if !quarantined {
			// A controller that remembers the page would go on calling the job unfinished: that one may
			// cancel it, or a leader quarantines the page, of which all controllers hear.
			return &UnreadableError{Op: opCancel, Job: id, Key: status.pageKey}
		}
		// The page stays as it is, and the final record takes precedence over it.
		guards = []wire.Guard{{Key: status.pageKey, Version: version}, {Key: JobKey(id)}, {Key: FinalKey(id)}}
		ops = ops[1:]
	} else if status.pageKey != "" {
		return s.cancelOnPage(ctx, id, status.pageKey, record)
	}
	_, err := s.kv.CompareAndSwap(ctx, guards, ops)
	return err
}

// unreadableVersion is the version of a job page that can't be read, 0 if it can, and whether it is
// quarantined.
func (s *Store) unreadableVersion(key string) (version uint64, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unreadablePages[key]
	return u.version, u.quarantined
}

// What follows cancels jobs whose records share pages with others. Each cancellation changes a page on
// condition that nobody else has: with one transaction for each, beside submissions that change the
// same page all the time, some were refused for most of a minute. So those that wait for a page share a
// transaction, and a bucket's writer commits them and the submissions in turn.

// cancellation waits for its job to be ended.
type cancellation struct {
	id      string
	pageKey string // where the job stood when it was looked up
	final   JobRecord
	done    chan error
}

// cancelOnPage ends a job whose record shares a page with others.
func (s *Store) cancelOnPage(ctx context.Context, id, pageKey string, final JobRecord) error {
	c := &cancellation{id: id, pageKey: pageKey, final: final, done: make(chan error, 1)}
	q, err := s.enqueueCancellation(c)
	if err != nil {
		return err
	}
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		s.mu.Lock()
		q.cancellations = slices.DeleteFunc(q.cancellations, func(o *cancellation) bool { return o == c })
		s.mu.Unlock()
		return unknownError(ctx) // it may be under way
	}
}

// enqueueCancellation hands a cancellation to the writer of its bucket.
func (s *Store) enqueueCancellation(c *cancellation) (*bucketQueue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runContext == nil || s.stopped {
		return nil, errStopped
	}
	q := s.bucketQueue(s.schema.Bucket(c.id))
	q.cancellations = append(q.cancellations, c)
	s.startWriter(q)
	return q, nil
}

// takeCancellations takes those that fit into a transaction off a queue, all of the page for which the
// first one waits.
func (s *Store) takeCancellations(q *bucketQueue) (taken []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q.cancellations) == 0 {
		return nil
	}
	const opOverhead = 64 // of a put beside its value
	pageKey, most, bytes := q.cancellations[0].pageKey, s.config.Limits.txnOps()-1, 0
	q.cancellations = slices.DeleteFunc(q.cancellations, func(c *cancellation) bool {
		if c.pageKey != pageKey || len(taken) >= most {
			return false
		}
		raw, err := wire.Marshal(c.final)
		size := wire.JSONSize(raw) + opOverhead
		if len(taken) > 0 && (err != nil || bytes+size > maxBatchPages*s.config.Limits.pageBytes()) {
			return false
		}
		bytes += size
		taken = append(taken, c)
		return true
	})
	return taken
}

// commitCancellations ends jobs of one page, and answers each. What has become of one whose transaction
// failed, or was not answered, its caller looks up.
func (s *Store) commitCancellations(ctx context.Context, batch []*cancellation) {
	pageKey := batch[0].pageKey
	page, version, present := s.withoutCancelled(pageKey, batch)
	if len(present) == 0 {
		return
	}
	guards, ops := []wire.Guard{{Key: pageKey, Version: version}}, []wire.Op{{Put: pageKey, Value: page}}
	if len(page.Entries) == 0 && !IsHeadPageKey(pageKey) {
		ops[0] = wire.Op{Delete: pageKey}
	}
	for _, c := range present {
		guards = append(guards, wire.Guard{Key: FinalKey(c.id)})
		ops = append(ops, wire.Op{Put: FinalKey(c.id), Value: c.final})
	}
	rev, err := s.kv.CompareAndSwap(ctx, guards, ops)
	if err == nil {
		s.applyOwnPages(ops, rev)
	}
	for _, c := range present {
		c.done <- err
	}
}

// withoutCancelled is a job page without the jobs that are to be cancelled, and those of them that
// stand on it. The others, and repeats, are answered.
func (s *Store) withoutCancelled(pageKey string, batch []*cancellation) (page JobPage, version uint64, present []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[string]bool{}
	p := s.jobPages[pageKey]
	for _, c := range batch {
		if p == nil || !p.page.has(c.id) || ids[c.id] {
			c.done <- fmt.Errorf("%w: the job has moved", kvstore.ErrOutcomeUnknown)
			continue
		}
		ids[c.id] = true
		present = append(present, c)
	}
	if len(present) == 0 {
		return JobPage{}, 0, nil
	}
	return p.page.Without(ids), p.version, present
}
