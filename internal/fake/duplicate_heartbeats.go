// Faults that duplicate workers' heartbeats or replay them late.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// maxDuplicates limits the copies of heartbeats on their way at once.
const maxDuplicates = 100

// DuplicateHeartbeats makes the network copy one in oneIn heartbeats. The copy arrives at a random
// controller between 1 s and 5 lease durations later, even if the machine no longer exists. A value
// of 0 ends the fault.
func (w *Cluster) DuplicateHeartbeats(oneIn int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.duplicateOneIn = oneIn
}

// maybeDuplicate draws whether a heartbeat is copied, and sends the copy later. The caller holds
// the lock.
func (w *Cluster) maybeDuplicate(heartbeat wire.Heartbeat) {
	if w.duplicateOneIn == 0 || w.duplicatesInFlight >= maxDuplicates || w.pick(w.duplicateOneIn) > 0 {
		return
	}
	w.duplicatesInFlight++
	maxDelayMs := int(5 * w.Settings.Cluster.Workers.LeaseS * 1000)
	delay, to := time.Duration(1000+w.pick(maxDelayMs-1000))*time.Millisecond, w.pick(len(w.nodes))
	w.wg.Go(func() {
		if call.Pause(w.ctx, delay) {
			w.post(w.nodes[to].addr, wire.PathHeartbeat, heartbeat)
		}
		w.mu.Lock()
		w.duplicatesInFlight--
		w.mu.Unlock()
	})
}

// CaptureHeartbeat keeps a heartbeat of a machine's present state for ReplayHeartbeat.
func (w *Cluster) CaptureHeartbeat(name string) {
	m := w.Cloud.machine(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.capturedHeartbeats[name], _ = wire.Marshal(m.heartbeat())
}

// ReplayHeartbeat sends the heartbeat that CaptureHeartbeat kept to the controller with the given
// index, as if the network had delayed it. It returns the status of the answer, or 0 if there was
// none.
func (w *Cluster) ReplayHeartbeat(name string, node int) (status int) {
	w.mu.Lock()
	var heartbeat wire.Heartbeat
	_ = wire.Unmarshal(w.capturedHeartbeats[name], &heartbeat)
	w.mu.Unlock()
	status, _ = w.post(w.nodes[node].addr, wire.PathHeartbeat, heartbeat)
	return status
}
