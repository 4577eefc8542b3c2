// The scheduling loop of a leader.

package controller

import (
	"context"
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
)

const (
	// passInterval is the time between passes without an event. Leases and deadlines
	// require passes even if nothing changes.
	passInterval = 500 * time.Millisecond
	// minPassDelay is the least pause after a pass, so that one pass handles a burst of
	// changes.
	minPassDelay = 40 * time.Millisecond
)

// runScheduler runs a scheduling pass after each wake-up signal, and otherwise every
// passInterval. It returns when ctx ends or after it has resigned.
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

// passResult holds the results of a scheduling pass that are processed after l.mu is
// released.
type passResult struct {
	moves map[string]jobstore.RebalanceCycle // by group; recorded before they begin
	delay time.Duration                      // least time until the next pass
}

// runPass advances the model to the current time, and decides which tasks to place, stop
// and move and which machines to rent. If workers can't reach this node, it decides nothing
// and returns false.
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
		rentalsInProgress = math.MaxInt32 // the outcome of these rentals is unknown, so request no more
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
	// Passes take longer in larger clusters. A delay proportional to the duration of the
	// pass leaves most of the CPU time for heartbeats, lease renewals and users' requests.
	took := time.Since(now)
	l.node.metrics.ObserveSchedulingPass(took.Seconds())
	result.delay = max(minPassDelay+time.Duration(len(l.model.Machines))*passDelayPerMachine, passIdleFactor*took)
	return result, true
}

// dispatch starts the moves, stops, launches and writes that a pass has decided.
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
	// passDelayPerMachine increases the least delay with the number of machines. It bounds
	// the CPU time of passes in a large cluster on any CPU. At 2,000 machines, 25 passes a
	// second took a quarter of a core. There, another tenth of a second does no harm.
	passDelayPerMachine = 50 * time.Microsecond
)

// abstainAfterIsolation is how long a leader that workers could not reach does not stand
// for election.
const abstainAfterIsolation = 20 * time.Second

// workersUnreachable reports whether this node has received no heartbeat directly from a
// worker for so long that another node should lead. It returns false if the cluster has no
// other node or fewer than two machines are expected. The caller holds l.mu.
func (l *leadership) workersUnreachable(now time.Time) bool {
	workers := l.node.cfg.Cluster.Workers
	maxSilence := config.Seconds(max(3*workers.HeartbeatS, workers.LeaseS/4) + 2)
	lastContact := l.lastDirectHeartbeat
	if lastContact.Before(l.model.ElectedAt) {
		lastContact = l.model.ElectedAt
	}
	// After a pause of the process, heartbeats that arrived during it are still unread.
	if resumed, _ := l.node.stallDetector.LastStall(); lastContact.Before(resumed) {
		lastContact = resumed
	}
	return len(l.node.peers) > 0 && l.model.ExpectedMachines(now) >= 2 && now.Sub(lastContact) > maxSilence
}

// startRebalancing commits a cycle's record, so that a new leader knows the moves, and then
// begins the moves.
func (l *leadership) startRebalancing(ctx context.Context, group string, cycle jobstore.RebalanceCycle) {
	l.mu.Lock()
	guards := l.model.RebalanceGuards()
	l.mu.Unlock()
	if err := l.putOwnRecord(ctx, jobstore.RebalanceCyclePrefix+group, cycle, guards...); err != nil {
		l.handleRebalanceCommitFailure(ctx, group, err)
		return
	}
	l.log.Info("rebalancing", "group", group, "moves", len(cycle.Moves))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.BeginMoves(group, cycle, time.Now())
}
