// Cancellation of jobs.
//
// A cancellation of a job on a job page changes the page, and its guard requires that the page's version
// is unchanged. With one transaction for each cancellation, concurrent submissions to the same page made
// some cancellations conflict for most of a minute. So cancellations that wait for the same page share
// transactions of their bucket's writer. A job with a key of its own is cancelled in a transaction of
// its own. This transaction is queued only after a rate limit has refused it.

package jobstore

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// maxCancelAttempts bounds the attempts of a cancellation that fails because of concurrent changes.
const maxCancelAttempts = 8

// Cancel ends a job unless it is already over, and returns its final state: wire.JobCancelled, or
// wire.JobDone if the job completed first. found is false if the id was never accepted. After an error
// that wraps kvstore.ErrOutcomeUnknown the job may have been cancelled.
func (s *Store) Cancel(ctx context.Context, id string) (final string, found bool, err error) {
	requestedAt := s.cancellationRequestedAt(id)
	var unknown error // error of an attempt that may still be executed
	for range maxCancelAttempts {
		status, found, err := s.Lookup(ctx, id)
		if err != nil {
			return "", found, cmp.Or(unknown, err)
		}
		if !found || status.Version == 0 {
			s.forgetCancellationTime(id)
			return status.Record.State, found, nil
		}
		record := status.Record
		record.State = wire.JobCancelled
		record = s.config.Limits.FitFinal(record)
		err = s.commitCancellation(ctx, status, &cancellation{id: id, requestedAt: requestedAt, pageKey: status.pageKey, final: record})
		if err == nil {
			s.cacheFinal(id, record)
			s.forgetCancellationTime(id)
			return record.State, true, nil
		}
		var conflict *kvstore.ConflictError
		switch {
		case errors.As(err, &conflict), errors.Is(err, errJobMoved):
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			unknown = err
		default:
			return "", true, cmp.Or(unknown, err)
		}
	}
	return "", true, errTooManyConflicts
}

// commitCancellation replaces a job's active record, which status locates, by its final record. It
// fails with a conflict or errJobMoved if the job has changed since the lookup.
func (s *Store) commitCancellation(ctx context.Context, status JobStatus, c *cancellation) error {
	id, record := c.id, c.final
	guards := []wire.Guard{{Key: JobKey(id), Version: status.Version}, {Key: FinalKey(id)}}
	ops := []wire.Op{{Delete: JobKey(id)}, {Put: FinalKey(id), Value: record}}
	if version, quarantined := s.unreadableVersion(status.pageKey); version != 0 {
		if !quarantined {
			// A controller that can decode this version of the page would continue to report the job as
			// unfinished, because it reads no final record for it. Such a controller can cancel the job.
			// This controller can do so once a leader has quarantined the page, because every controller
			// reads that change.
			return &UnreadableError{Op: opCancel, Job: id, Key: status.pageKey}
		}
		// The page is not changed. For jobs on a quarantined page, Lookup prefers the final record.
		guards = []wire.Guard{{Key: status.pageKey, Version: version}, {Key: JobKey(id)}, {Key: FinalKey(id)}}
		ops = ops[1:]
	} else if status.pageKey != "" {
		return s.cancelQueued(ctx, c)
	}
	_, err := s.kv.CompareAndSwap(ctx, guards, ops)
	if kvstore.IsRateLimited(err) {
		c.guards, c.ops = guards, ops
		return s.cancelQueued(ctx, c)
	}
	return err
}

// unreadableVersion returns the version of a job page that can't be decoded, and whether the page is
// quarantined. The version is 0 if the page can be decoded.
func (s *Store) unreadableVersion(key string) (version uint64, quarantined bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.unreadablePages[key]
	return u.version, u.quarantined
}

// cancellation is a request to cancel a job.
type cancellation struct {
	id          string
	requestedAt time.Time // when the cancellation of this job was first requested
	pageKey     string    // the job's page as last seen; "" for a job with a key of its own
	final       JobRecord
	ticket      queueTicket
	done        chan error // receives the result

	// The transaction of a job that has a key of its own or is on a quarantined page. Nil for other jobs.
	guards []wire.Guard
	ops    []wire.Op
}

// cancelQueued queues a cancellation for its bucket's writer, and waits for the result.
func (s *Store) cancelQueued(ctx context.Context, c *cancellation) error {
	c.done = make(chan error, 1)
	q, err := s.enqueueCancellation(c)
	if err != nil {
		return err
	}
	select {
	case err := <-c.done:
		s.observeQueuedWrite(WriteCancellation, c.id, c.ticket, writeResultOf(err))
		return err
	case <-ctx.Done():
		s.mu.Lock()
		q.cancellations = slices.DeleteFunc(q.cancellations, func(other *cancellation) bool { return other == c })
		err := c.ticket.abandon(ctx)
		ticket := c.ticket
		s.mu.Unlock()
		s.observeQueuedWrite(WriteCancellation, c.id, ticket, WriteAbandoned)
		return err
	}
}

// enqueueCancellation passes a cancellation to the writer of its bucket.
func (s *Store) enqueueCancellation(c *cancellation) (*bucketQueue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runContext == nil || s.stopped {
		return nil, errStopped
	}
	q := s.bucketQueue(s.schema.Bucket(c.id))
	c.ticket = queueTicket{queuedAt: time.Now()}
	q.insertCancellation(c)
	s.startWriter(q)
	return q, nil
}

// takeCancellations removes up to maxCount cancellations that fit into a transaction from a queue. It
// takes only the first one if that has a transaction of its own. Otherwise it takes those of the same
// page as the first one. A repeated cancellation stays for a later transaction, when the job has left
// the page. The caller holds s.mu.
func (s *Store) takeCancellations(q *bucketQueue, maxCount int) (taken []*cancellation) {
	const opOverhead = 64 // bytes of a put without its value
	first := q.cancellations[0]
	if first.ops != nil {
		q.cancellations = slices.Delete(q.cancellations, 0, 1)
		first.ticket.inFlight = true
		return []*cancellation{first}
	}
	s.locateOnPages(q.cancellations)
	bytes := 0
	ids := map[string]bool{}
	q.cancellations = slices.DeleteFunc(q.cancellations, func(c *cancellation) bool {
		if c.ops != nil || c.pageKey != first.pageKey || len(taken) >= maxCount || ids[c.id] {
			return false
		}
		raw, err := wire.Marshal(c.final)
		size := wire.JSONSize(raw) + opOverhead
		if len(taken) > 0 && (err != nil || bytes+size > maxBatchPages*s.config.Limits.pageBytes()) {
			return false
		}
		ids[c.id] = true
		bytes += size
		c.ticket.inFlight = true
		taken = append(taken, c)
		return true
	})
	return taken
}

// locateOnPages updates the pages of cancellations whose jobs moved when a head page was sealed. A
// cancellation whose job has left all pages keeps its old page. It fails with errJobMoved when its
// transaction is composed. The caller holds s.mu.
func (s *Store) locateOnPages(cancellations []*cancellation) {
	for _, c := range cancellations {
		if j := s.jobs[c.id]; j != nil && j.pageKey != "" && c.ops == nil {
			c.pageKey = j.pageKey
		}
	}
}

// commitCancellations cancels jobs in one transaction, and sends each cancellation its result. After a
// conflict or an unknown outcome, Cancel looks the job up again. If a rate limit refused the transaction,
// refused is true and the cancellations are queued again. If the store rejected it as invalid, each half of
// the cancellations is committed separately, so that one that can't be committed fails alone.
func (s *Store) commitCancellations(ctx context.Context, q *bucketQueue, batch []*cancellation) (refused bool) {
	guards, ops, present := s.cancellationTransaction(batch)
	if len(present) == 0 {
		return false
	}
	rev, err := s.kv.CompareAndSwap(ctx, guards, ops)
	q.cancellationSize.Record(len(ops), err)
	if kvstore.IsRateLimited(err) {
		s.countRetry(WriteCancellation)
		s.mu.Lock()
		defer s.mu.Unlock()
		q.requeueCancellations(present)
		return true
	}
	if kvstore.IsRejected(err) && len(present) > 1 {
		half := len(present) / 2
		firstRefused := s.commitCancellations(ctx, q, present[:half])
		return s.commitCancellations(ctx, q, present[half:]) || firstRefused
	}
	if err == nil {
		s.applyOwnPages(ops, rev)
	}
	for _, c := range present {
		c.done <- err
	}
	return false
}

// cancellationTransaction returns the transaction of cancellations that were taken together, and the
// cancellations that are part of it. It sends errJobMoved to the others, so that Cancel looks their jobs
// up again.
func (s *Store) cancellationTransaction(batch []*cancellation) (guards []wire.Guard, ops []wire.Op, present []*cancellation) {
	if c := batch[0]; c.ops != nil {
		s.recordTransaction(batch)
		return c.guards, c.ops, batch
	}
	pageKey := batch[0].pageKey
	page, version, present := s.pageWithoutCancelled(pageKey, batch)
	s.recordTransaction(present)
	guards, ops = []wire.Guard{{Key: pageKey, Version: version}}, []wire.Op{{Put: pageKey, Value: page}}
	if len(page.Entries) == 0 && !IsHeadPageKey(pageKey) {
		ops[0] = wire.Op{Delete: pageKey}
	}
	for _, c := range present {
		guards = append(guards, wire.Guard{Key: FinalKey(c.id)})
		ops = append(ops, wire.Op{Put: FinalKey(c.id), Value: c.final})
	}
	return guards, ops, present
}

// recordTransaction records that cancellations share a transaction.
func (s *Store) recordTransaction(cancellations []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range cancellations {
		c.ticket.recordTransaction(len(cancellations))
	}
}

// pageWithoutCancelled returns a job page without the jobs to be cancelled, and the cancellations whose
// jobs are on the page. It sends errJobMoved to the others, so that Cancel looks their jobs up again.
func (s *Store) pageWithoutCancelled(pageKey string, batch []*cancellation) (page JobPage, version uint64, present []*cancellation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[string]bool{}
	p := s.jobPages[pageKey]
	for _, c := range batch {
		if p == nil || !p.page.has(c.id) {
			c.done <- errJobMoved
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
