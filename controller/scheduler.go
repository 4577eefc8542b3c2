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

// runScheduler places, stops and moves, at once when something has changed and
// twice a second otherwise.
func (l *leadership) runScheduler(ctx context.Context) {
	tick := time.NewTicker(500 * time.Millisecond)
	defer tick.Stop()
	cycle := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.schedulerWake:
		}
		pause := 40 * time.Millisecond
		if l.lease.Valid() {
			l.mu.Lock()
			now := time.Now()
			l.node.stalls.Observe(now)
			l.model.ResumeAfterStall(l.node.stalls.LastStall())
			if l.workersUnreachable(now) {
				l.mu.Unlock()
				l.log.Info("no worker reaches this leader: giving leadership up")
				l.node.elector.Abstain(abstainAfterIsolation)
				l.lease.Resign()
				return
			}
			l.model.Tick(now)
			renting := 0
			if l.scalingOut {
				renting = math.MaxInt32
			}
			d := l.model.Schedule(now, renting)
			l.passCount++
			l.broadcastProgress()
			if !l.scalingOut {
				l.wantedMachines = d.ScaleOut
			}
			var moves map[string]jobstore.RebalanceCycle
			if now.Sub(cycle) >= config.Seconds(l.node.tuning.Rebalance.EveryS) {
				cycle = now
				moves = l.model.PlanMoves(d.Unplaced, now)
				l.model.LogUtilization(d.Unplaced, now)
			}
			// The larger the cluster, the longer a pass: reports, renewals and
			// users get most of the processor even so.
			took := time.Since(now)
			l.node.metrics.Pass(took.Seconds())
			pause = max(pause+time.Duration(len(l.model.Machines))*passDelayPerMachine, passIdleFactor*took)
			l.mu.Unlock()
			for g, rec := range moves {
				l.startRebalancing(ctx, g, rec)
			}
			l.sendDirectStops(ctx)
			l.wakeWorkers(ctx)
			wake(l.committerWake)
			wake(l.planCheckWake)
		}
		if !call.Pause(ctx, pause) {
			return
		}
	}
}

const (
	// passIdleFactor is how many times as long as a pass the leader does other things.
	passIdleFactor = 3
	// passDelayPerMachine is how much longer it does for each machine that it knows, however
	// fast its processor is: at 2,000 machines 25 passes a second were a quarter of
	// a core, and nothing that waits minds a tenth of a second.
	passDelayPerMachine = 50 * time.Microsecond
)

// abstainAfterIsolation is for how long a leader that workers did not reach leaves the
// leadership to others.
const abstainAfterIsolation = 20 * time.Second

// workersUnreachable says whether workers that should report here do not, so that
// another node had better lead; the lock is held.
func (l *leadership) workersUnreachable(now time.Time) bool {
	w := l.node.cfg.Cluster.Workers
	quiet := config.Seconds(max(3*w.ReportS, w.LeaseS/4) + 2)
	since := l.lastDirectHeartbeat
	if since.Before(l.model.ElectedAt) {
		since = l.model.ElectedAt
	}
	// After a stop, the workers' reports are there and have not been read yet.
	if resumed, _ := l.node.stalls.LastStall(); since.Before(resumed) {
		since = resumed
	}
	return len(l.node.peers) > 0 && l.model.ExpectedMachines(now) >= 2 && now.Sub(since) > quiet
}

// startRebalancing commits a cycle's record, so that a new leader knows of the
// moves, and then begins them.
func (l *leadership) startRebalancing(ctx context.Context, group string, rec jobstore.RebalanceCycle) {
	l.mu.Lock()
	guards := l.model.RebalanceGuards()
	l.mu.Unlock()
	if err := l.putOwnRecord(ctx, jobstore.RebalanceCyclePrefix+group, rec, guards...); err != nil {
		l.rebalancingRejected(ctx, group, err)
		return
	}
	l.log.Info("rebalancing", "group", group, "moves", len(rec.Moves))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.BeginMoves(group, rec, time.Now())
}
