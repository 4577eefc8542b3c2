package fake

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// The goroutine that delivers copies of heartbeats reads fields of a controller while the test kills
// and starts that controller. The race detector reports a field that is read without the lock.
func TestCopiesAreDeliveredWhileNodesRestart(t *testing.T) {
	synctest.Test(t, func(_ *testing.T) {
		w := New(Options{Nodes: 3, Machines: 1, Capacity: 1})
		defer w.Close()
		time.Sleep(5 * time.Second)
		machine := w.Cloud.Machines()[0]
		w.mu.Lock()
		w.failoverCopies.copies = map[string][]wire.Heartbeat{machine: {{Machine: machine}}}
		w.mu.Unlock()
		delivering := make(chan struct{})
		w.wg.Go(func() {
			for range 500 {
				w.DeliverDelayedCopies()
				time.Sleep(time.Millisecond)
			}
			close(delivering)
		})
		for range 5 {
			w.PowerCycleNode(0, 50*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		<-delivering
	})
}
