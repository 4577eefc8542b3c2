package controller_test

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// A machine may report before its rental is answered and long before the list
// shows it: it is the one that was ordered.
func TestMachinesThatBootAtOnceAreTakenAsRented(t *testing.T) {
	runScenario(t, fake.Options{Machines: 0, Capacity: 6}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		w.Cloud.SetBootTimes(func(int) time.Duration { return 200 * time.Millisecond })
		w.Cloud.SetReplyDelay(3 * time.Second)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 6, 90 }))
		mustReach(t, w, "wk-000001", wire.JobRunning, 20*time.Second)
		time.Sleep(40 * time.Second)
		if got := w.Cloud.RentedMachines(); got > 4 { // two, and room kept for what may come
			t.Errorf("%d machines rented for two tasks", got)
		}
		if left := len(w.Cloud.Machines()); left != w.Cloud.RentedMachines() {
			t.Errorf("%d of %d machines are left while the tasks run", left, w.Cloud.RentedMachines())
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
	})
}

// One that never comes up ends in a deletion and another order; what waits is
// not held for it until then.
func TestPoolMachineThatNeverBootsIsReplaced(t *testing.T) {
	runScenario(t, fake.Options{Machines: 0, Capacity: 3}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		w.Cloud.SetBootTimes(func(n int) time.Duration {
			if n < 3 {
				return -1
			}
			return 8 * time.Second
		})
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs = 3, 6 }))
		// All three that there can be are lost: only their return makes room.
		mustReach(t, w, "wk-000001", wire.JobDone, 3*time.Minute)
		for _, n := range w.Cloud.Machines() {
			if n < "host-000003" {
				t.Errorf("%s, which never came up, is still paid for", n)
			}
		}
	})
}
