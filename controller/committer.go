// Asynchronous writes of the leader's records, each conditional on the fencing token.

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

// leaderGuard returns the condition that this leadership has not ended. Every write of a
// leader includes it.
func (l *leadership) leaderGuard() wire.Guard {
	return wire.Guard{Key: election.LeaderKey, Version: l.lease.FencingToken}
}

// putOwnRecord writes a record that only leaders write. The write is conditional on the
// record's version, on the fencing token and on guards. The token alone is not enough: a
// write of the same leadership whose response was lost may be applied late, overwrite a
// newer record and be loaded by the next leader. These records are never deleted, so a
// version never occurs twice. An unexpected version comes from an earlier write of this
// leader whose response was lost.
func (l *leadership) putOwnRecord(ctx context.Context, key string, record any, guards ...wire.Guard) error {
	l.mu.Lock()
	version, known := l.ownVersions[key]
	l.mu.Unlock()
	if !known {
		entry, err := l.node.kv.Get(ctx, key)
		if err != nil {
			return err
		}
		version = entry.Version
	}
	revision, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard(), {Key: key, Version: version}}, guards...), []wire.Op{{Put: key, Value: record}})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.ownVersions[key] = revision
	} else if conflictsOn(err, key) {
		delete(l.ownVersions, key) // read the version again before the next write
	} else if !known {
		l.ownVersions[key] = version // a write without a response may still be applied
	}
	return err
}

// initialCommitRateShare is the share of the key-value store's write rate that the
// committer may use before its rate is first set to bookkeepingRate. It also bounds the
// size of a batch.
const initialCommitRateShare = 0.7

// minBatchChanges is the least limit on the size of a batch, even if larger batches keep
// being refused. It fits the end of a job together with a page of placements, so that
// neither delays the other.
const minBatchChanges = 3

// runCommitter writes changed records to the key-value store until ctx ends. It waits for
// the rate limit before it collects a batch, so that the batch includes the changes made
// during the wait.
func (l *leadership) runCommitter(ctx context.Context) {
	limits := l.node.cfg.Cluster.State
	burst := max(minBatchChanges, min(limits.TxnOps, int(limits.WriteRPS*initialCommitRateShare)))
	limiter := rate.NewLimiter(rate.Limit(limits.WriteRPS*initialCommitRateShare), burst)
	batchSize := kvstore.NewBatchSize(minBatchChanges, burst)
	for {
		count := min(l.pendingWrites(), batchSize.Limit())
		if count == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.committerWake:
			case <-time.After(cluster.RejectedWriteRetry):
			}
			continue
		}
		limiter.SetLimit(l.bookkeepingRate())
		if err := limiter.WaitN(ctx, count); err != nil {
			return
		}
		batch := l.nextBatch(count)
		if batch == nil {
			continue
		}
		err := l.commitBatch(ctx, batch)
		batchSize.Record(len(batch.Ops), err)
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
// the goroutines that wait for a commit, because no commit follows.
func (l *leadership) pendingWrites() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.RetryRejectedWrites(time.Now())
	pending := l.model.PendingWrites()
	if pending == 0 {
		l.committing = false
		l.broadcastProgress()
	}
	return pending
}

// nextBatch collects at most maxWrites writes. It returns nil if there is nothing to write.
func (l *leadership) nextBatch(maxWrites int) *cluster.WriteBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.SetCompletionTime(time.Now())
	batch := l.model.NextBatch(maxWrites)
	l.committing = batch != nil
	l.broadcastProgress()
	return batch
}

// commitBatch commits a batch under the fencing token. It informs the model of the result,
// both on success and on failure.
func (l *leadership) commitBatch(ctx context.Context, batch *cluster.WriteBatch) error {
	revision, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard()}, batch.Guards...), batch.Ops)
	if err != nil {
		l.handleCommitFailure(ctx, batch, err)
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	batch.OnCommit(revision, time.Now())
	return nil
}

// userChangeWindowS is the window in seconds over which the rate of users' changes is
// averaged.
const userChangeWindowS = 5

const (
	// maxBookkeepingShare is the share of the key-value store's write rate for the leader's
	// own records while users change nothing.
	maxBookkeepingShare = 0.9
	// minBookkeepingShare is the share that is left for them under any number of users'
	// changes.
	minBookkeepingShare = 0.4
	// writesPerUserChange is how much of the write rate is reserved for each change by users.
	writesPerUserChange = 1.5
)

// bookkeepingRate returns how many changes per second the leader's own records may take.
// Users' submissions and cancellations take precedence.
func (l *leadership) bookkeepingRate() rate.Limit {
	writeRPS := l.node.cfg.Cluster.State.WriteRPS
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recentUserChanges[:0]
	for _, at := range l.recentUserChanges {
		if time.Since(at) < userChangeWindowS*time.Second {
			recent = append(recent, at)
		}
	}
	l.recentUserChanges = recent
	return rate.Limit(max(minBookkeepingShare*writeRPS, maxBookkeepingShare*writeRPS-writesPerUserChange*float64(len(recent))/userChangeWindowS))
}

// handleCommitFailure updates the model with the changes that a batch conflicted with, and
// requeues the changes of the batch.
func (l *leadership) handleCommitFailure(ctx context.Context, batch *cluster.WriteBatch, err error) {
	l.log.Debug("commit failed", "err", err, "ops", len(batch.Ops))
	var conflict *kvstore.ConflictError
	switch {
	case errors.As(err, &conflict):
		l.resolveConflicts(ctx, batch, conflict.FailedKeys)
	case kvstore.IsRejected(err):
		l.log.Error("key-value store rejected a transaction as malformed", "err", err, "ops", len(batch.Ops), "bytes", batch.Size(), "keys", batch.Keys())
		l.mu.Lock()
		l.model.RejectBatch(batch, time.Now())
		l.mu.Unlock()
	}
	l.mu.Lock()
	l.model.RequeueBatch(batch)
	l.mu.Unlock()
}

// resolveConflicts updates the model with the current versions of the keys that made a
// batch fail. It resigns if one of them is the leader key.
func (l *leadership) resolveConflicts(ctx context.Context, batch *cluster.WriteBatch, keys []string) {
	for _, key := range keys {
		if key == election.LeaderKey {
			l.lease.Resign()
			break
		}
		if jobstore.IsActiveJobKey(key) {
			continue // the watch delivers the change
		}
		if key == jobstore.PlanHeadKey {
			l.dropSupersededPlan(ctx)
			continue
		}
		if entry, err := l.node.kv.Get(ctx, key); err == nil {
			l.mu.Lock()
			l.model.ResolveConflict(batch, key, entry.Version)
			l.mu.Unlock()
		}
	}
	if err := l.barrier(ctx); err != nil {
		l.log.Debug("read barrier failed", "err", err)
	}
}
