package controller

import (
	"context"
	"time"
)

// sendDirectStops sends stops to the workers' own addresses: there they arrive at
// once, and may safely be executed late.
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

// wakeUpTimeout is how long a worker may take to answer a wake-up. One that hangs
// must not keep the others waiting for long; executed later, it does no harm.
const wakeUpTimeout = time.Second

// wakeWorkers makes the workers send a heartbeat for which launches are ready, as many
// at once as there are sockets for. The others follow as these have answered: with
// those left out instead, a quarter of a burst of 2,900 tasks waited for heartbeats.
func (l *leadership) wakeWorkers(ctx context.Context) {
	if !l.lease.Valid() {
		return
	}
	most := 0 // switched off: the model is asked all the same, and forgets what was launched
	l.mu.Lock()
	if l.node.tuning.Launching.Summon {
		most = cap(l.wakeUpSlots) - len(l.wakeUpSlots)
	}
	batch := l.model.WakeUps(most, time.Now())
	for range batch {
		// Taken under the lock, the places are there. In a burst, wake-ups that
		// two had asked for at the same time were given up for want of a place,
		// and repeated only after a second and a half.
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
