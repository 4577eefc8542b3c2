package controller

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has the plan compared before tasks are stopped by it.

const (
	// compareAfter is for how long stops wait for a transaction that is committed
	// anyhow: it carries their condition without a request of its own.
	compareAfter = 60 * time.Millisecond
	// compareShare is the share of the state service's requests that comparing may
	// take.
	compareShare = 0.03
)

// compareStops sends out the stops that rest on the plan once the state service has
// said that the plan by which they were decided is in force. All that wait go with
// one request.
func (l *leadership) compareStops(ctx context.Context) {
	share := rate.NewLimiter(rate.Limit(min(max(2, compareShare*l.n.cfg.Cluster.State.RPS), 10)), 2)
	for {
		l.mu.Lock()
		wait, anyhow := l.m.Holding(), l.writing || l.m.Pending() > 0
		l.mu.Unlock()
		if !wait {
			select {
			case <-ctx.Done():
				return
			case <-l.stopKick:
			}
			continue
		}
		if anyhow && !call.Pause(ctx, compareAfter) || share.Wait(ctx) != nil {
			return
		}
		if !l.term.Valid() {
			if !call.Pause(ctx, compareAfter) {
				return
			}
			continue
		}
		l.mu.Lock()
		b := l.m.CompareBatch()
		l.mu.Unlock()
		if b == nil {
			continue // a transaction took them along
		}
		rev, err := l.n.state.Commit(ctx, append([]wire.Guard{l.guard()}, b.Guards...), nil)
		if err == nil {
			l.mu.Lock()
			b.Committed(rev, time.Now())
			l.mu.Unlock()
			l.pushStops(ctx)
			continue
		}
		l.settle(ctx, b, err)
		if !call.Pause(ctx, time.Duration(50+rand.IntN(150))*time.Millisecond) {
			return
		}
	}
}

// otherPlan is for a leader that has learnt that another plan is in force than the
// one it decides by: nobody is stopped by that one, and the newer is read.
func (l *leadership) otherPlan(ctx context.Context) {
	l.mu.Lock()
	l.m.DropStops()
	l.mu.Unlock()
	l.rereadPlan(ctx)
}

// failedFor says whether a transaction failed for a key.
func failedFor(err error, key string) bool {
	var c *kvstore.Conflict
	return errors.As(err, &c) && slices.Contains(c.Failed, key)
}

// movesRefused is for a record of moves that was not committed.
func (l *leadership) movesRefused(ctx context.Context, group string, err error) {
	l.log.Debug("cycle record", "group", group, "err", err)
	if failedFor(err, jobstore.PlanHeadKey) {
		l.otherPlan(ctx)
	}
}
