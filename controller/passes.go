package controller

import (
	"context"
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
)

// This file runs the scheduling passes.

// schedule places, stops and moves, at once when something has changed and
// twice a second otherwise.
func (l *leadership) schedule(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	cycle := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.schedKick:
		}
		pause := 40 * time.Millisecond
		if l.term.Valid() {
			l.mu.Lock()
			now := time.Now()
			l.n.pulse.beat(now)
			l.m.StoodStill(l.n.pulse.lastStop())
			if l.unreached(now) {
				l.mu.Unlock()
				l.log.Info("no worker reaches this leader: giving leadership up")
				l.n.elector.Abstain(abstainFor)
				l.term.Resign()
				return
			}
			l.m.Tick(now)
			renting := 0
			if l.renting {
				renting = math.MaxInt32
			}
			d := l.m.Schedule(now, renting)
			l.passes++
			l.turn()
			if !l.renting {
				l.wants = d.Rent
			}
			var moves map[string]jobstore.CycleRecord
			if now.Sub(cycle) >= config.Seconds(l.n.tuning.Rebalance.EveryS) {
				cycle = now
				moves = l.m.PlanMoves(d.Wanted, now)
				l.m.LogRoom(d.Wanted, now)
			}
			// The larger the cluster, the longer a pass: reports, renewals and
			// users get most of the processor even so.
			took := time.Since(now)
			l.n.metrics.Pass(took.Seconds())
			pause = max(pause+time.Duration(len(l.m.Machines))*passPace, passShare*took)
			l.mu.Unlock()
			for g, rec := range moves {
				l.beginMoves(ctx, g, rec)
			}
			l.pushStops(ctx)
			l.summon(ctx)
			kick(l.flushKick)
			kick(l.stopKick)
		}
		if !call.Pause(ctx, pause) {
			return
		}
	}
}

const (
	// passShare is how many times as long as a pass the leader does other things.
	passShare = 3
	// passPace is how much longer it does for each machine that it knows, however
	// fast its processor is: at 2,000 machines 25 passes a second were a quarter of
	// a core, and nothing that waits minds a tenth of a second.
	passPace = 50 * time.Microsecond
)

// abstainFor is for how long a leader that workers did not reach leaves the
// leadership to others.
const abstainFor = 20 * time.Second

// unreached says whether workers that should report here do not, so that
// another node had better lead; the lock is held.
func (l *leadership) unreached(now time.Time) bool {
	w := l.n.cfg.Cluster.Workers
	quiet := config.Seconds(max(3*w.ReportS, w.LeaseS/4) + 2)
	since := l.lastAny
	if since.Before(l.m.Takeover) {
		since = l.m.Takeover
	}
	// After a stop, the workers' reports are there and have not been read yet.
	if resumed, _ := l.n.pulse.lastStop(); since.Before(resumed) {
		since = resumed
	}
	return len(l.n.peers) > 0 && l.m.Expecting(now) >= 2 && now.Sub(since) > quiet
}

// beginMoves commits a cycle's record, so that a new leader knows of the
// moves, and then begins them.
func (l *leadership) beginMoves(ctx context.Context, group string, rec jobstore.CycleRecord) {
	l.mu.Lock()
	guards := l.m.MoveGuards()
	l.mu.Unlock()
	if err := l.put(ctx, jobstore.Cycles+group, rec, guards...); err != nil {
		l.movesRefused(ctx, group, err)
		return
	}
	l.log.Info("rebalancing", "group", group, "moves", len(rec.Moves))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.BeginMoves(group, rec, time.Now())
}
