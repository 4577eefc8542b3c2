package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file copies heartbeats of workers and holds them back.

// maxDuplicates bounds the copies of heartbeats on their way.
const maxDuplicates = 100

// DuplicateHeartbeats makes the network copy one in so many heartbeats, to arrive at any
// node 1 s to 5 leases later, whatever becomes of the machine; 0 ends that.
func (w *Cluster) DuplicateHeartbeats(oneIn int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicateOneIn = oneIn
}

// maybeDuplicate copies a report if it is its turn; the lock is held.
func (w *Cluster) maybeDuplicate(r wire.Heartbeat) {
	if w.duplicateOneIn == 0 || w.duplicatesInFlight >= maxDuplicates || w.pick(w.duplicateOneIn) > 0 {
		return
	}
	w.duplicatesInFlight++
	maxDelayMs := int(5 * w.Settings.Cluster.Workers.LeaseS * 1000)
	delay, to := time.Duration(1000+w.pick(maxDelayMs-1000))*time.Millisecond, w.pick(len(w.nodes))
	w.wg.Go(func() {
		if call.Pause(w.ctx, delay) {
			w.post(w.nodes[to].addr, wire.PathHeartbeat, r)
		}
		w.mu.Lock()
		w.duplicatesInFlight--
		w.mu.Unlock()
	})
}

// CaptureHeartbeat remembers a worker's heartbeat of this moment; ReplayHeartbeat sends it
// to a node as if a cut had held it back.
func (w *Cluster) CaptureHeartbeat(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capturedHeartbeats[name], _ = wire.Marshal(m.heartbeat())
}

// ReplayHeartbeat sends what CaptureHeartbeat kept.
func (w *Cluster) ReplayHeartbeat(name string, node int) (status int) {
	w.mu.Lock()
	var r wire.Heartbeat
	_ = wire.Unmarshal(w.capturedHeartbeats[name], &r)
	w.mu.Unlock()
	status, _ = w.post(w.nodes[node].addr, wire.PathHeartbeat, r)
	return status
}
