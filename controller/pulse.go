package controller

import (
	"context"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

const (
	pulseEvery = 250 * time.Millisecond
	// stillFor is how long nothing must have happened in the process for it to
	// have stood still. A starved processor makes gaps of some hundred
	// milliseconds.
	stillFor = 2 * time.Second
)

// pulse notices that the process has stood still while its clocks ran on: a
// paused virtual machine, a stopped process. Whatever has come of age meanwhile
// says nothing of others: what they have sent waits in the sockets.
type pulse struct {
	mu      sync.Mutex
	last    time.Time
	resumed time.Time
	stood   time.Duration
}

// beat is called often. It says for how long the process has just stood still,
// if it has.
func (p *pulse) beat(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := now.Sub(p.last)
	began := p.last.IsZero()
	p.last = now
	if began || gap < stillFor {
		return 0
	}
	p.resumed, p.stood = now, gap
	return gap
}

// lastStop says when the process last went on after standing still, and for how
// long it had stood.
func (p *pulse) lastStop() (resumed time.Time, stood time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed, p.stood
}

// watchPulse tells the operator.
func (n *Node) watchPulse(ctx context.Context) {
	var told time.Time
	for {
		n.pulse.beat(time.Now())
		if at, stood := n.pulse.lastStop(); at.After(told) {
			told = at
			n.log.Info("this process stood still", "seconds", stood.Round(time.Millisecond).Seconds(), "leading", n.leadership() != nil)
		}
		if !call.Pause(ctx, pulseEvery) {
			return
		}
	}
}
