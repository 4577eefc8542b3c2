package controller

import (
	"context"
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
)

// This file runs the scheduling passes of a leader.

const (
	// passInterval is the time between passes without an event: decisions also depend on
	// time alone, through leases and deadlines.
	passInterval = 500 * time.Millisecond
	// minPassDelay is the least pause after a pass, so that a burst of changes is
	// served by one.
	minPassDelay = 40 * time.Millisecond
)

// runScheduler runs a pass at once when something has changed, and each
// passInterval otherwise, until ctx ends or the leader resigns.
func (l *leadership) runScheduler(ctx context.Context) {
	tick := time.NewTicker(passInterval)
	defer tick.Stop()
	lastRebalance := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-l.schedulerWake:
		}
		delay := minPassDelay
		if l.lease.Valid() {
			pass, ok := l.runPass(&lastRebalance)
			if !ok {
				l.log.Info("no heartbeats reach this leader, resigning")
				l.node.elector.Abstain(abstainAfterIsolation)
				l.lease.Resign()
				return
			}
			delay = pass.delay
			l.dispatch(ctx, pass)
		}
		if !call.Pause(ctx, delay) {
			return
		}
	}
}

// passResult is what a scheduling pass leaves to be done without the lock.
type passResult struct {
	moves map[string]jobstore.RebalanceCycle // by group; to be recorded, then begun
	delay time.Duration                      // until the next pass may begin
}

// runPass advances the model to now and decides what is placed, stopped, moved and
// rented. ok is false, and nothing was decided, where no worker reaches this node.
func (l *leadership) runPass(lastRebalance *time.Time) (result passResult, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.node.stallDetector.Observe(now)
	l.model.ResumeAfterStall(l.node.stallDetector.LastStall())
	if l.workersUnreachable(now) {
		return passResult{}, false
	}
	l.model.Tick(now)
	rentalsInProgress := 0
	if l.scalingOut {
		rentalsInProgress = math.MaxInt32 // their outcome is not known yet, so request no more
	}
	decision := l.model.Schedule(now, rentalsInProgress)
	l.passCount++
	l.broadcastProgress()
	if !l.scalingOut {
		l.wantedMachines = decision.ScaleOut
	}
	if now.Sub(*lastRebalance) >= config.Seconds(l.node.tuning.Rebalance.EveryS) {
		*lastRebalance = now
		result.moves = l.model.PlanMoves(decision.Unplaced, now)
		l.model.LogUtilization(decision.Unplaced, now)
	}
	// Passes take longer in larger clusters. A delay in proportion leaves most of the
	// CPU time to heartbeats, lease renewals and users' requests.
	took := time.Since(now)
	l.node.metrics.ObserveSchedulingPass(took.Seconds())
	result.delay = max(minPassDelay+time.Duration(len(l.model.Machines))*passDelayPerMachine, passIdleFactor*took)
	return result, true
}

// dispatch begins what a pass has decided: moves, stops, launches and writes.
func (l *leadership) dispatch(ctx context.Context, pass passResult) {
	for group, cycle := range pass.moves {
		l.startRebalancing(ctx, group, cycle)
	}
	l.sendDirectStops(ctx)
	l.wakeWorkers(ctx)
	wake(l.committerWake)
	wake(l.planCheckWake)
}

const (
	// passIdleFactor is the least delay after a pass, as a multiple of the pass's duration.
	passIdleFactor = 3
	// passDelayPerMachine is the part of the least delay that grows with the number of
	// machines. It bounds the cost of passes in a large cluster whatever the speed of the
	// CPU (at 2,000 machines, 25 passes a second took a quarter of a core), where a tenth of
	// a second more does not matter.
	passDelayPerMachine = 50 * time.Microsecond
)

// abstainAfterIsolation is how long a leader that workers could not reach stays out of the
// election.
const abstainAfterIsolation = 20 * time.Second

// workersUnreachable reports whether no worker's heartbeat has reached this node for so
// long, although some are expected, that another node should lead. The caller holds l.mu.
func (l *leadership) workersUnreachable(now time.Time) bool {
	w := l.node.cfg.Cluster.Workers
	quiet := config.Seconds(max(3*w.HeartbeatS, w.LeaseS/4) + 2)
	since := l.lastDirectHeartbeat
	if since.Before(l.model.ElectedAt) {
		since = l.model.ElectedAt
	}
	// After a pause of the process, heartbeats that arrived during it are still unread.
	if resumed, _ := l.node.stallDetector.LastStall(); since.Before(resumed) {
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
		l.handleRebalanceCommitFailure(ctx, group, err)
		return
	}
	l.log.Info("rebalancing", "group", group, "moves", len(rec.Moves))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.BeginMoves(group, rec, time.Now())
}
