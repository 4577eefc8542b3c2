package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file writes the leader's records.

// leaderGuard is the condition of every write: this leadership still stands.
func (l *leadership) leaderGuard() wire.Guard {
	return wire.Guard{Key: election.LeaderKey, Version: l.lease.FencingToken}
}

// putOwnRecord writes a record that leaders alone write, and each in one place, on condition
// of its version. The token does not stop a transaction of this same term that had
// no answer and comes late: put over a newer record, it would be what the next
// leader reads. Such a record is never deleted, so that no version of it comes back;
// an unexpected one is that of an own transaction whose answer was lost.
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
		delete(l.ownVersions, key) // read again the next time
	} else if !known {
		l.ownVersions[key] = version // also for what has no answer: it may yet come
	}
	return err
}

// runCommitter writes changed records, and resigns where the leader key is lost. It
// waits for its share of the state service's changes first and collects then,
// so that whatever has changed meanwhile goes along.
func (l *leadership) runCommitter(ctx context.Context) {
	sl := l.node.cfg.Cluster.State
	burst := max(3, min(sl.TxnOps, int(sl.WriteRPS*0.7)))
	share := rate.NewLimiter(rate.Limit(sl.WriteRPS*0.7), burst)
	for {
		l.mu.Lock()
		want := min(l.model.PendingWrites(), burst)
		if want == 0 {
			l.committing = false
			l.broadcastProgress()
		}
		l.mu.Unlock()
		if want == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.committerWake:
			}
			continue
		}
		share.SetLimit(l.bookkeepingRate())
		if err := share.WaitN(ctx, want); err != nil {
			return
		}
		l.mu.Lock()
		l.model.SetCompletionTime(time.Now())
		b := l.model.NextBatch(want)
		l.committing = b != nil
		l.broadcastProgress()
		l.mu.Unlock()
		if b == nil {
			continue
		}
		rev, err := l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{l.leaderGuard()}, b.Guards...), b.Ops)
		if err == nil {
			l.mu.Lock()
			b.OnCommit(rev, time.Now())
			l.mu.Unlock()
			if b.HeldStops > 0 {
				l.sendDirectStops(ctx)
			}
			l.wakeWorkers(ctx)
			continue
		}
		l.handleCommitFailure(ctx, b, err)
		if !call.Pause(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
			return
		}
	}
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

// handleCommitFailure finds out why a batch was not committed.
func (l *leadership) handleCommitFailure(ctx context.Context, b *cluster.WriteBatch, err error) {
	l.log.Debug("commit", "err", err, "ops", len(b.Ops))
	var c *kvstore.ConflictError
	if errors.As(err, &c) {
		for _, key := range c.FailedKeys {
			if key == election.LeaderKey {
				l.lease.Resign()
				break
			}
			if b.IsJobKey(key) {
				continue // the watch tells what happened to it
			}
			if key == jobstore.PlanHeadKey {
				l.dropSupersededPlan(ctx)
				continue
			}
			if e, gerr := l.node.kv.Get(ctx, key); gerr == nil {
				l.mu.Lock()
				l.model.ResolveConflict(b, key, e.Version)
				l.mu.Unlock()
			}
		}
		if berr := l.barrier(ctx); berr != nil {
			l.log.Debug("barrier", "err", berr)
		}
	} else if errors.Is(err, kvstore.ErrInvalidRequest) {
		l.log.Error("the state service refuses a transaction as malformed", "err", err, "ops", len(b.Ops))
	}
	l.mu.Lock()
	l.model.RequeueBatch(b)
	l.mu.Unlock()
}
