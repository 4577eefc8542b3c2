package controller

import (
	"context"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
)

// stallCheckInterval is how often the process is observed: several times within
// liveness.StallThreshold, so that no stall goes unnoticed.
const stallCheckInterval = 250 * time.Millisecond

// monitorStalls observes the process until ctx ends, and tells the operator of each
// stall. The scheduler and the scaler observe as well, before they act on timeouts,
// so that none of them acts between a stall and the next tick here.
func (n *Node) monitorStalls(ctx context.Context) {
	var reported time.Time
	for {
		n.stalls.Observe(time.Now())
		if resumed, duration := n.stalls.LastStall(); resumed.After(reported) {
			reported = resumed
			n.log.Info("process stalled", "seconds", duration.Round(time.Millisecond).Seconds(), "leading", n.activeLeadership() != nil)
		}
		if !call.Pause(ctx, stallCheckInterval) {
			return
		}
	}
}
