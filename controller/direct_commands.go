package controller

import (
	"context"
	"time"
)

// sendDirectStops sends stops to the workers' own addresses, so that they arrive before
// the response to the next heartbeat. A direct command may be executed late, which is
// safe for a stop.
func (l *leadership) sendDirectStops(ctx context.Context) {
	if !l.lease.Valid() {
		return
	}
	l.mu.Lock()
	batch := l.model.StopPushes(time.Now())
	l.mu.Unlock()
	for _, d := range batch {
		select {
		case l.stopSlots <- struct{}{}:
		default:
			continue // the response to the next heartbeat carries them
		}
		l.node.directCommands.Go(func() {
			defer func() { <-l.stopSlots }()
			r, done, err := l.node.workerClient.Command(ctx, d.Addr, d.Commands)
			if err != nil {
				l.log.Debug("direct stop failed", "machine", d.Machine, "err", err)
				return
			}
			l.log.Debug("direct stop sent", "machine", d.Machine, "executed", done, "seq", r.Seq)
		})
	}
}

// wakeUpTimeout is how long a worker may take to answer a wake-up. A worker that hangs
// must not occupy a slot for long; a wake-up that is executed later does no harm.
const wakeUpTimeout = time.Second

// wakeWorkers makes workers for which launches are ready send a heartbeat now, since
// launches travel only in responses to heartbeats. The number in progress is bounded by
// wakeUpSlots; each one that ends starts the next, because dropping the excess would
// leave much of a large burst waiting for regular heartbeats.
func (l *leadership) wakeWorkers(ctx context.Context) {
	if !l.lease.Valid() {
		return
	}
	// Where wake-ups are disabled the model is still asked, for none, because asking
	// removes launched tasks from its list.
	most := 0
	l.mu.Lock()
	if l.node.tuning.Launches.WakeWorkers {
		most = cap(l.wakeUpSlots) - len(l.wakeUpSlots)
	}
	batch := l.model.WakeUps(most, time.Now())
	for range batch {
		// Never blocks: slots are taken under l.mu only, and len(batch) were free
		// above. Taken outside the lock, two callers could count on the same slots,
		// and the wake-ups left without one would wait for the model's retry delay.
		l.wakeUpSlots <- struct{}{}
	}
	l.mu.Unlock()
	for _, d := range batch {
		l.node.directCommands.Go(func() {
			within, cancel := context.WithTimeout(ctx, wakeUpTimeout)
			defer cancel()
			if _, done, err := l.node.workerClient.Command(within, d.Addr, d.Commands); err != nil || !done {
				l.log.Debug("wake-up not executed", "machine", d.Machine, "executed", done, "err", err)
			}
			<-l.wakeUpSlots
			l.wakeWorkers(ctx)
		})
	}
}
