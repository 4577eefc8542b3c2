package controller

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file writes the leader's records behind the model, each under the fencing token.

// leaderGuard is a condition of every write: that this leadership has not ended.
func (l *leadership) leaderGuard() wire.Guard {
	return wire.Guard{Key: election.LeaderKey, Version: l.lease.FencingToken}
}

// putOwnRecord writes a record that only leaders write, conditional on its version as well
// as on the fencing token. The token alone would not stop an earlier write of the same
// leadership that got no response and is applied late: it would overwrite a newer record,
// and the next leader would load it. Such records are never deleted, so that no version
// number recurs; an unexpected version is from a write of this leader's whose response was
// lost.
func (l *leadership) putOwnRecord(ctx context.Context, key string, rec any, guards ...wire.Guard) error {
	l.mu.Lock()
	version, known := l.ownVersions[key]
	l.mu.Unlock()
	if !known {
		e, err := l.node.kv.Get(ctx, key)
		if err != nil {
			return err
		}
		version = e.Version
	}
	rev, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard(), {Key: key, Version: version}}, guards...), []wire.Op{{Put: key, Value: rec}})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.ownVersions[key] = rev
	} else if conflictsOn(err, key) {
		delete(l.ownVersions, key) // reread before the next write
	} else if !known {
		l.ownVersions[key] = version // also for what has no answer: it may yet come
	}
	return err
}

// initialCommitRateShare is the share of the key-value store's writes that bookkeeping
// begins with, before bookkeepingRate is known.
const initialCommitRateShare = 0.7

// minBatchChanges is the least size of a batch, however often larger ones were refused: enough for the end
// of a job and a page of placements, so that neither holds up the other.
const minBatchChanges = 3

// runCommitter writes changed records to the store until ctx ends. It waits for the rate
// limit before it collects a batch, so that the batch includes what changed during the
// wait.
func (l *leadership) runCommitter(ctx context.Context) {
	store := l.node.cfg.Cluster.State
	burst := max(minBatchChanges, min(store.TxnOps, int(store.WriteRPS*initialCommitRateShare)))
	limiter := rate.NewLimiter(rate.Limit(store.WriteRPS*initialCommitRateShare), burst)
	size := kvstore.NewBatchSize(minBatchChanges, burst)
	for {
		want := min(l.pendingWrites(), size.Limit())
		if want == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.committerWake:
			}
			continue
		}
		limiter.SetLimit(l.bookkeepingRate())
		if err := limiter.WaitN(ctx, want); err != nil {
			return
		}
		batch := l.nextBatch(want)
		if batch == nil {
			continue
		}
		err := l.commitBatch(ctx, batch)
		size.Record(len(batch.Ops), err)
		if err != nil {
			if !kvstore.PauseBeforeRetry(ctx) {
				return
			}
			continue
		}
		if batch.HeldStops > 0 {
			l.sendDirectStops(ctx)
		}
		l.wakeWorkers(ctx)
	}
}

// pendingWrites returns how many records are to be written. If there are none, it wakes
// whoever waits for a commit, since no commit follows.
func (l *leadership) pendingWrites() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := l.model.PendingWrites()
	if pending == 0 {
		l.committing = false
		l.broadcastProgress()
	}
	return pending
}

// nextBatch collects at most so many writes, nil where nothing is left to be written.
func (l *leadership) nextBatch(most int) *cluster.WriteBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.SetCompletionTime(time.Now())
	batch := l.model.NextBatch(most)
	l.committing = batch != nil
	l.broadcastProgress()
	return batch
}

// commitBatch commits a batch under the fencing token and tells the model the
// result, one way or the other.
func (l *leadership) commitBatch(ctx context.Context, batch *cluster.WriteBatch) error {
	rev, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard()}, batch.Guards...), batch.Ops)
	if err != nil {
		l.handleCommitFailure(ctx, batch, err)
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	batch.OnCommit(rev, time.Now())
	return nil
}

// userChangeWindowS is over how many seconds users' changes are averaged.
const userChangeWindowS = 5

// bookkeepingRate is how many changes a second are left for the leader's bookkeeping:
// users' submissions and cancellations come first.
func (l *leadership) bookkeepingRate() rate.Limit {
	w := l.node.cfg.Cluster.State.WriteRPS
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recentUserChanges[:0]
	for _, at := range l.recentUserChanges {
		if time.Since(at) < userChangeWindowS*time.Second {
			recent = append(recent, at)
		}
	}
	l.recentUserChanges = recent
	return rate.Limit(max(0.4*w, 0.9*w-1.5*float64(len(recent))/userChangeWindowS))
}

// handleCommitFailure finds out why a batch was not committed, brings the model up to
// date with what conflicted, and gives the batch's changes back to be written again.
func (l *leadership) handleCommitFailure(ctx context.Context, b *cluster.WriteBatch, err error) {
	l.log.Debug("commit failed", "err", err, "ops", len(b.Ops))
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		l.resolveConflicts(ctx, b, conflict.FailedKeys)
	case errors.Is(err, kvstore.ErrInvalidRequest):
		l.log.Error("key-value store rejected a transaction as malformed", "err", err, "ops", len(b.Ops))
	}
	l.mu.Lock()
	l.model.RequeueBatch(b)
	l.mu.Unlock()
}

// resolveConflicts rereads what others have changed. A lost leader key ends the
// leadership.
func (l *leadership) resolveConflicts(ctx context.Context, b *cluster.WriteBatch, keys []string) {
	for _, key := range keys {
		if key == election.LeaderKey {
			l.lease.Resign()
			break
		}
		if jobstore.IsActiveJobKey(key) {
			continue // the watch delivers the change of the job
		}
		if key == jobstore.PlanHeadKey {
			l.dropSupersededPlan(ctx)
			continue
		}
		if e, err := l.node.kv.Get(ctx, key); err == nil {
			l.mu.Lock()
			l.model.ResolveConflict(b, key, e.Version)
			l.mu.Unlock()
		}
	}
	if err := l.barrier(ctx); err != nil {
		l.log.Debug("read barrier failed", "err", err)
	}
}
