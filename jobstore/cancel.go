package jobstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// maxCancelAttempts bounds the tries of a cancellation that concurrent changes make fail.
const maxCancelAttempts = 8

// Cancel ends a job unless it is over already, and returns its final state, which is wire.JobDone if it
// completed first. found is false if the id was never accepted.
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

// commitCancellation replaces a job's active record, whose place status gives, by its final record. It
// fails with a conflict if the job has changed since the lookup.
func (s *Store) commitCancellation(ctx context.Context, id string, status JobStatus, record JobRecord) error {
	guards := []wire.Guard{{Key: JobKey(id), Version: status.Version}, {Key: FinalKey(id)}}
	ops := []wire.Op{{Delete: JobKey(id)}, {Put: FinalKey(id), Value: record}}
	if version, quarantined := s.unreadableVersion(status.pageKey); version != 0 {
		if !quarantined {
			// A controller that did decode this version of the page would go on reporting the job as
			// unfinished, since it reads no final record for it. That controller can cancel the job; this
			// one can once a leader has quarantined the page, a change that every controller reads.
			return &UnreadableError{Op: opCancel, Job: id, Key: status.pageKey}
		}
		// The page stays as it is; for jobs on a quarantined page, Lookup prefers the final record.
		guards = []wire.Guard{{Key: status.pageKey, Version: version}, {Key: JobKey(id)}, {Key: FinalKey(id)}}
		ops = ops[1:]
	} else if status.pageKey != "" {
		return s.cancelOnPage(ctx, id, status.pageKey, record)
	}
	_, err := s.kv.CompareAndSwap(ctx, guards, ops)
	return err
}

// unreadableVersion returns the version of a job page that can't be decoded, 0 if it can, and whether
// it is quarantined.
func (s *Store) unreadableVersion(key string) (version uint64, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unreadablePages[key]
	return u.version, u.quarantined
}

// The rest of this file cancels jobs whose records are on job pages. A cancellation changes its page on
// condition that the page's version is unchanged. With a transaction for each, concurrent submissions
// to the same page made some cancellations conflict for most of a minute. So the cancellations that
// wait for a page share a transaction, and the bucket's writer alternates them with submissions.

// cancellation is a queued request to cancel a job on a job page.
type cancellation struct {
	id      string
	pageKey string // the job's page at the time of the lookup
	final   JobRecord
	ticket  queueTicket
	done    chan error
}

// cancelOnPage cancels a job whose record is on a job page.
func (s *Store) cancelOnPage(ctx context.Context, id, pageKey string, final JobRecord) error {
	c := &cancellation{id: id, pageKey: pageKey, final: final, ticket: queueTicket{queuedAt: time.Now()}, done: make(chan error, 1)}
	q, err := s.enqueueCancellation(c)
	if err != nil {
		return err
	}
	select {
	case err := <-c.done:
		s.observeQueuedWrite(WriteCancellation, id, c.ticket, writeResultOf(err))
		return err
	case <-ctx.Done():
		s.mu.Lock()
		q.cancellations = slices.DeleteFunc(q.cancellations, func(o *cancellation) bool { return o == c })
		ticket := c.ticket
		s.mu.Unlock()
		s.observeQueuedWrite(WriteCancellation, id, ticket, WriteAbandoned)
		return unknownError(ctx) // its transaction may be in flight
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

// takeCancellations takes the cancellations that fit into a transaction off a queue: those of the same
// page as the first.
func (s *Store) takeCancellations(q *bucketQueue) (taken []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q.cancellations) == 0 {
		return nil
	}
	const opOverhead = 64 // size of a put without its value
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

// commitCancellations cancels jobs of one page, and sends each its result. If the transaction failed or
// its outcome is unknown, Cancel looks the job up again.
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

// withoutCancelled returns a job page without the jobs to be cancelled, and the cancellations whose jobs
// are on it. The other cancellations, and repeated ones, are sent ErrOutcomeUnknown so that Cancel looks
// the job up again.
func (s *Store) withoutCancelled(pageKey string, batch []*cancellation) (page JobPage, version uint64, present []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[string]bool{}
	p := s.jobPages[pageKey]
	for _, c := range batch {
		if p == nil || !p.page.has(c.id) || ids[c.id] {
			c.done <- errJobMoved
			continue
		}
		ids[c.id] = true
		present = append(present, c)
	}
	if len(present) == 0 {
		return JobPage{}, 0, nil
	}
	for _, c := range present {
		c.ticket.joined(len(present))
	}
	return p.page.Without(ids), p.version, present
}
