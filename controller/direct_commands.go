// Commands that the leader sends directly to workers, between their heartbeats.

package controller

import (
	"context"
	"time"
)

// sendDirectStops sends stops to the workers' own addresses, so that they arrive before the
// response to the next heartbeat. A direct command may be executed late. For a stop this is
// safe.
func (l *leadership) sendDirectStops(ctx context.Context) {
	if !l.lease.Valid() {
		return
	}
	l.mu.Lock()
	batch := l.model.StopPushes(time.Now())
	l.mu.Unlock()
	for _, push := range batch {
		select {
		case l.stopSlots <- struct{}{}:
		default:
			continue // the response to the next heartbeat carries the stops
		}
		l.node.directCommands.Go(func() {
			defer func() { <-l.stopSlots }()
			result, executed, err := l.node.workerClient.Command(ctx, push.Addr, push.Commands)
			if err != nil {
				l.log.Debug("direct stop failed", "machine", push.Machine, "err", err)
				return
			}
			l.log.Debug("direct stop sent", "machine", push.Machine, "executed", executed, "seq", result.Seq)
		})
	}
}

// wakeUpTimeout is how long a worker may take to answer a wake-up, so that a worker that hangs
// does not occupy a slot for long. A wake-up that is executed later does no harm.
const wakeUpTimeout = time.Second

// wakeWorkers makes workers for which launches are ready send a heartbeat now, because
// launches are only sent in responses to heartbeats. wakeUpSlots bounds the wake-ups in
// progress. When one ends, it starts others that are due. If the excess was dropped instead,
// much of a large burst would wait for regular heartbeats.
func (l *leadership) wakeWorkers(ctx context.Context) {
	if !l.lease.Valid() {
		return
	}
	// If wake-ups are disabled, the model is still called with a maximum of 0, because the
	// call removes launched tasks from its list.
	maxWakeUps := 0
	l.mu.Lock()
	if l.node.tuning.Launches.WakeWorkers {
		maxWakeUps = cap(l.wakeUpSlots) - len(l.wakeUpSlots)
	}
	batch := l.model.WakeUps(maxWakeUps, time.Now())
	for range batch {
		// This never blocks. Slots are only acquired under l.mu, and len(batch) were
		// free above. Without the lock, two callers could count the same free slots.
		// The wake-ups left without a slot would wait for the model's retry delay.
		l.wakeUpSlots <- struct{}{}
	}
	l.mu.Unlock()
	for _, wakeUp := range batch {
		l.node.directCommands.Go(func() {
			wakeUpCtx, cancel := context.WithTimeout(ctx, wakeUpTimeout)
			defer cancel()
			if _, executed, err := l.node.workerClient.Command(wakeUpCtx, wakeUp.Addr, wakeUp.Commands); err != nil || !executed {
				l.log.Debug("wake-up not executed", "machine", wakeUp.Machine, "executed", executed, "err", err)
			}
			<-l.wakeUpSlots
			l.wakeWorkers(ctx)
		})
	}
}
