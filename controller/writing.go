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

// guard is the condition of every write: this leadership still stands.
func (l *leadership) guard() wire.Guard {
	return wire.Guard{Key: election.Key, Version: l.term.Token}
}

// put writes a record that leaders alone write, and each in one place, on condition
// of its version. The token does not stop a transaction of this same term that had
// no answer and comes late: put over a newer record, it would be what the next
// leader reads. Such a record is never deleted, so that no version of it comes back;
// an unexpected one is that of an own transaction whose answer was lost.
func (l *leadership) put(ctx context.Context, key string, rec any, guards ...wire.Guard) error {
	l.mu.Lock()
	version, known := l.own[key]
	l.mu.Unlock()
	if !known {
		e, err := l.n.state.Get(ctx, key)
		if err != nil {
			return err
		}
		version = e.Version
	}
	rev, err := l.n.state.Commit(ctx, append([]wire.Guard{l.guard(), {Key: key, Version: version}}, guards...), []wire.Op{{Put: key, Value: rec}})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.own[key] = rev
	} else if failedFor(err, key) {
		delete(l.own, key) // read again the next time
	} else if !known {
		l.own[key] = version // also for what has no answer: it may yet come
	}
	return err
}

// flush writes changed records, and resigns where the leader key is lost. It
// waits for its share of the state service's changes first and collects then,
// so that whatever has changed meanwhile goes along.
func (l *leadership) flush(ctx context.Context) {
	sl := l.n.cfg.Cluster.State
	burst := max(3, min(sl.TxnOps, int(sl.WriteRPS*0.7)))
	share := rate.NewLimiter(rate.Limit(sl.WriteRPS*0.7), burst)
	for {
		l.mu.Lock()
		want := min(l.m.Pending(), burst)
		if want == 0 {
			l.writing = false
			l.turn()
		}
		l.mu.Unlock()
		if want == 0 {
			select {
			case <-ctx.Done():
				return
			case <-l.flushKick:
			}
			continue
		}
		share.SetLimit(l.share())
		if err := share.WaitN(ctx, want); err != nil {
			return
		}
		l.mu.Lock()
		l.m.EndsAt(time.Now())
		b := l.m.NextBatch(want)
		l.writing = b != nil
		l.turn()
		l.mu.Unlock()
		if b == nil {
			continue
		}
		rev, err := l.n.state.Commit(ctx, append([]wire.Guard{l.guard()}, b.Guards...), b.Ops)
		if err == nil {
			l.mu.Lock()
			b.Committed(rev, time.Now())
			l.mu.Unlock()
			if b.Stops > 0 {
				l.pushStops(ctx)
			}
			l.summon(ctx)
			continue
		}
		l.settle(ctx, b, err)
		if !call.Pause(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
			return
		}
	}
}

// usersOver is over how many seconds users' changes are averaged.
const usersOver = 5

// share is how many changes a second are left for the leader's bookkeeping:
// users' submissions and cancellations come first.
func (l *leadership) share() rate.Limit {
	w := l.n.cfg.Cluster.State.WriteRPS
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.userOps[:0]
	for _, at := range l.userOps {
		if time.Since(at) < usersOver*time.Second {
			recent = append(recent, at)
		}
	}
	l.userOps = recent
	return rate.Limit(max(0.4*w, 0.9*w-1.5*float64(len(recent))/usersOver))
}

// settle finds out why a batch was not committed.
func (l *leadership) settle(ctx context.Context, b *cluster.Batch, err error) {
	l.log.Debug("commit", "err", err, "ops", len(b.Ops))
	var c *kvstore.Conflict
	if errors.As(err, &c) {
		for _, key := range c.Failed {
			if key == election.Key {
				l.term.Resign()
				break
			}
			if b.IsJob(key) {
				continue // the watch tells what happened to it
			}
			if key == jobstore.PlanHeadKey {
				l.otherPlan(ctx)
				continue
			}
			if e, gerr := l.n.state.Get(ctx, key); gerr == nil {
				l.mu.Lock()
				l.m.Reread(b, key, e.Version)
				l.mu.Unlock()
			}
		}
		if berr := l.barrier(ctx); berr != nil {
			l.log.Debug("barrier", "err", berr)
		}
	} else if errors.Is(err, kvstore.ErrInvalid) {
		l.log.Error("the state service refuses a transaction as malformed", "err", err, "ops", len(b.Ops))
	}
	l.mu.Lock()
	l.m.Failed(b)
	l.mu.Unlock()
}
