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
	// openPageThreshold is how many jobs are given keys of their own at once, for each bucket and
	// controller, before the head page is opened: a change for each is more than there is.
	openPageThreshold = 4
	// maxAcceptAttempts bounds how often a submission finds that things have changed.
	maxAcceptAttempts = 6
	// maxEntryShare: an entry larger than this part of a page gets a key of its own.
	maxEntryShare = 4
)

// submission is a job that is to be accepted.
type submission struct {
	entry JobPageEntry
	tier  int
	done  chan acceptResult // of one that a bucketQueue commits
}

type acceptResult struct {
	duplicate bool // the id was accepted before
	err       error
}

// Accept commits a submission; it is idempotent. duplicate is true where the id was accepted before.
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

// ensureLoaded makes sure that the index has been read once.
func (s *Store) ensureLoaded(ctx context.Context) error {
	s.mu.Lock()
	loaded := s.loaded
	s.mu.Unlock()
	if loaded {
		return nil
	}
	return s.readBarrier(ctx)
}

// acceptOutcome is what has become of an attempt to accept a job.
type acceptOutcome int

const (
	acceptPending    acceptOutcome = iota // its own transaction is to be committed
	acceptQueued                          // it shares a transaction with others, and waits for that
	acceptCommitted                       // it is accepted
	acceptDuplicate                       // it was accepted before
	acceptConflicted                      // something has changed: read, and try again
)

// acceptAttempt is an attempt to accept a job.
type acceptAttempt struct {
	outcome acceptOutcome
	queue   *bucketQueue // of the job's bucket; nil before SchemaJobPages
	guards  []wire.Guard
	ops     []wire.Op
}

// beginAccept decides how a job is to be committed: with others, by the writer of its bucket, or by a
// transaction of its own.
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
	// One that waits for its turn would have those behind it wait as well, who could all share one
	// transaction.
	contended := q.individual >= openPageThreshold || !s.kv.HasWriteCapacity(1)
	large := sub.entry.size() > s.config.Limits.pageBytes()/maxEntryShare
	if !large && (!head.isClosed() || q.writing || contended) {
		if contended {
			q.lastShared = time.Now()
		}
		attempt.outcome = acceptQueued
		return attempt, s.enqueueSubmission(q, sub, &record.Job)
	}
	attempt.guards = append(attempt.guards, wire.Guard{Key: headKey, Version: s.headPageVersion(headKey)})
	if !head.isClosed() {
		// Whoever adds to an open head page knows by its version all jobs with keys of their own.
		attempt.ops = append(attempt.ops, wire.Op{Put: headKey, Value: head.page})
	}
	q.individual++
	return attempt, nil
}

// commitIndividually commits a job with a key of its own.
func (s *Store) commitIndividually(ctx context.Context, attempt acceptAttempt, sub *submission) (acceptOutcome, error) {
	rev, err := s.kv.CompareAndSwap(ctx, attempt.guards, attempt.ops)
	if q := attempt.queue; q != nil {
		s.mu.Lock()
		q.individual--
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

// applyOwnJob takes in a job that this controller has given a key of its own, before a barrier brings
// it.
func (s *Store) applyOwnJob(e JobPageEntry, rev uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded && rev > s.revision {
		s.applyPut(JobKey(e.ID), e.Record, rev)
	}
}

// applyOwnPages takes in what this controller has committed, before a barrier brings it. Where one has
// been faster, it may have brought what came after as well, and a page that is gone again must not come
// back.
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
			s.setJobPage(op.Delete, JobPage{}, rev) // stays until the barrier that brings the deletion
		}
	}
}
