// Submission of a single job: Accept, and jobs that get a key of their own.

package jobstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// openPageThreshold is the number of transactions in flight, for jobs of a bucket with keys of their
	// own, at which a controller opens the bucket's head page. Jobs on the page share transactions. One
	// write for each job would exceed the key-value store's write rate.
	openPageThreshold = 4
	// maxAcceptAttempts bounds the attempts of a submission that fails because of concurrent changes.
	maxAcceptAttempts = 6
	// maxEntryShare limits entries to 1/maxEntryShare of a page. A larger job gets a key of its own.
	maxEntryShare = 4
)

// submission is a job to be accepted.
type submission struct {
	entry  JobPageEntry
	tier   int // priority tier; the lowest number goes first
	ticket queueTicket
	done   chan acceptResult // receives the result if a bucket's writer commits it
}

type acceptResult struct {
	duplicate bool // the id was accepted before
	err       error
}

// Accept commits a submission that arrived at the given time. It is idempotent: duplicate is true if the
// id was accepted before, which includes an earlier attempt of the same call whose response was lost.
// After an error that wraps kvstore.ErrOutcomeUnknown the job may have been accepted. Repeat the call to
// find out.
func (s *Store) Accept(ctx context.Context, job wire.Job, at time.Time) (duplicate bool, err error) {
	record := JobRecord{Job: job, AcceptedAtMs: at.UnixMilli()}
	raw, err := wire.Marshal(record)
	if err != nil {
		return false, fmt.Errorf("accept job %s: %w", job.ID, err)
	}
	sub := &submission{entry: JobPageEntry{ID: job.ID, Record: raw}, done: make(chan acceptResult, 1)}
	for range maxAcceptAttempts {
		if err := s.ensureLoaded(ctx); err != nil {
			return false, err
		}
		attempt, err := s.beginAccept(sub, record)
		if err != nil {
			return false, err
		}
		outcome := attempt.outcome
		switch outcome {
		case acceptQueued:
			return s.awaitAcceptance(ctx, attempt.queue, sub)
		case acceptPending:
			if outcome, err = s.commitIndividually(ctx, attempt, sub); err != nil {
				return false, err
			}
		}
		switch outcome {
		case acceptCommitted:
			return false, nil
		case acceptDuplicate:
			return true, nil
		}
		if err := s.readBarrier(ctx); err != nil {
			return false, err
		}
	}
	return false, errTooManyConflicts
}

// ensureLoaded loads the index if it has not been loaded yet.
func (s *Store) ensureLoaded(ctx context.Context) error {
	s.mu.Lock()
	loaded := s.loaded
	s.mu.Unlock()
	if loaded {
		return nil
	}
	return s.readBarrier(ctx)
}

// acceptOutcome is the state of an attempt to accept a job.
type acceptOutcome int

const (
	acceptPending    acceptOutcome = iota // the job's own transaction must still be committed
	acceptQueued                          // queued for a transaction shared with other submissions
	acceptCommitted                       // accepted
	acceptDuplicate                       // accepted before
	acceptConflicted                      // the index was stale: read a barrier, then retry
)

// acceptAttempt is an attempt to accept a job. guards and ops are the job's own transaction.
type acceptAttempt struct {
	outcome acceptOutcome
	queue   *bucketQueue // the queue of the job's bucket; nil in schemas older than SchemaJobPages
	guards  []wire.Guard
	ops     []wire.Op
}

// beginAccept decides how to commit a job. The job either gets a transaction of its own, or the writer of
// its bucket commits it in a transaction shared with others.
func (s *Store) beginAccept(sub *submission, record JobRecord) (acceptAttempt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := sub.entry.ID
	if s.schema.Version > LatestSchema {
		return acceptAttempt{}, ErrNewerSchema
	}
	if s.isKnown(id) {
		return acceptAttempt{outcome: acceptDuplicate}, nil
	}
	if err := s.checkAdmissible(id); err != nil {
		return acceptAttempt{}, err
	}
	attempt := acceptAttempt{
		guards: []wire.Guard{{Key: JobKey(id)}, {Key: FinalKey(id)}, {Key: SchemaKey, Version: s.schemaVersion}},
		ops:    []wire.Op{{Put: JobKey(id), Value: record}},
	}
	if s.schema.Version < SchemaJobPages {
		return attempt, nil
	}
	bucket := s.schema.Bucket(id)
	q := s.bucketQueue(bucket)
	attempt.queue = q
	headKey := HeadPageKey(bucket)
	head := s.jobPages[headKey]
	// Without write capacity, the job's own transaction would wait for the limiter and delay the
	// submissions behind it, which could all share one transaction.
	contended := q.individualInFlight >= openPageThreshold || !s.kv.HasWriteCapacity(1)
	large := sub.entry.size() > s.config.Limits.pageBytes()/maxEntryShare
	if !large && (!head.isClosed() || q.isWriterRunning || contended) {
		if contended {
			q.lastContendedAt = time.Now()
		}
		attempt.outcome = acceptQueued
		return attempt, s.enqueueSubmission(q, sub, &record.Job)
	}
	attempt.guards = append(attempt.guards, wire.Guard{Key: headKey, Version: s.headPageVersion(headKey)})
	if !head.isClosed() {
		// Rewrite the open head page unchanged to change its version. Controllers that add to an open
		// page guard only this version, and not the key that each job might have (see guardsPerJob).
		attempt.ops = append(attempt.ops, wire.Op{Put: headKey, Value: head.page})
	}
	q.individualInFlight++
	return attempt, nil
}

// commitIndividually commits the transaction of a job that gets a key of its own. The outcome is
// meaningful only if the error is nil.
func (s *Store) commitIndividually(ctx context.Context, attempt acceptAttempt, sub *submission) (acceptOutcome, error) {
	rev, err := s.kv.CompareAndSwap(ctx, attempt.guards, attempt.ops)
	if q := attempt.queue; q != nil {
		s.mu.Lock()
		q.individualInFlight--
		s.mu.Unlock()
	}
	if err == nil {
		s.applyOwnPages(attempt.ops, rev)
		s.applyOwnJob(sub.entry, rev)
		return acceptCommitted, nil
	}
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		return acceptPending, err
	}
	if conflictsWithJob(conflict, sub.entry.ID) {
		return acceptDuplicate, nil
	}
	return acceptConflicted, nil
}

// applyOwnJob adds a job to the index that this controller has committed under a key of its own at
// revision rev. The job is then known before the next barrier.
func (s *Store) applyOwnJob(e JobPageEntry, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && rev > s.revision {
		s.applyPut(JobKey(e.ID), e.Record, rev)
	}
}

// applyOwnPages applies the job page changes of a transaction, committed at revision rev, to the index,
// so that they are known before the next barrier. If a barrier has already read up to rev, it applies
// nothing: the index may include later changes, and the old ones could restore a page deleted since.
func (s *Store) applyOwnPages(ops []wire.Op, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || rev <= s.revision {
		return
	}
	for _, op := range ops {
		if page, ok := op.Value.(JobPage); ok && op.Put != "" {
			s.setJobPage(op.Put, page, rev)
		} else if IsJobPageKey(op.Delete) {
			s.setJobPage(op.Delete, JobPage{}, rev) // the empty page stays until the barrier that reads the deletion
		}
	}
}
