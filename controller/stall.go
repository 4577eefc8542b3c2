package controller

import (
	"context"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

const (
	stallCheckInterval = 250 * time.Millisecond
	// stallThreshold is how long nothing must have happened in the process for it to
	// have stood still. A starved processor makes gaps of some hundred
	// milliseconds.
	stallThreshold = 2 * time.Second
)

// stallDetector notices that the process has stood still while its clocks ran on: a
// paused virtual machine, a stopped process. Whatever has come of age meanwhile
// says nothing of others: what they have sent waits in the sockets.
type stallDetector struct {
	mu           sync.Mutex
	lastObserved time.Time
	resumed      time.Time
	duration     time.Duration
}

// Observe is called often. It says for how long the process has just stood still,
// if it has.
func (p *stallDetector) Observe(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	gap := now.Sub(p.lastObserved)
	began := p.lastObserved.IsZero()
	p.lastObserved = now
	if began || gap < stallThreshold {
		return 0
	}
	p.resumed, p.duration = now, gap
	return gap
}

// LastStall says when the process last went on after standing still, and for how
// long it had stood.
func (p *stallDetector) LastStall() (resumed time.Time, stood time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumed, p.duration
}

// monitorStalls tells the operator.
func (n *Node) monitorStalls(ctx context.Context) {
	var told time.Time
	for {
		n.stalls.Observe(time.Now())
		if at, stood := n.stalls.LastStall(); at.After(told) {
			told = at
			n.log.Info("this process stood still", "seconds", stood.Round(time.Millisecond).Seconds(), "leading", n.activeLeadership() != nil)
		}
		if !call.Pause(ctx, stallCheckInterval) {
			return
		}
	}
}
