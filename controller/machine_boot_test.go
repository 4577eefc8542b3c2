package controller_test

import (
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// A machine may send its first heartbeat before the reply to its rental arrives, and long before
// the cloud lists it. If the leader took it for an unknown machine, it would rent more machines. It
// must take it for the machine that was rented.
func TestMachinesThatBootAtOnceAreTakenAsRented(t *testing.T) {
	runScenario(t, fake.Options{Machines: 0, Capacity: 6}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		w.Cloud.SetBootTimes(func(int) time.Duration { return 200 * time.Millisecond })
		w.Cloud.SetReplyDelay(3 * time.Second)
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 6, 90 }))
		mustReach(t, w, "wk-000001", wire.JobRunning, 20*time.Second)
		time.Sleep(40 * time.Second)
		if got := w.Cloud.RentedMachines(); got > 4 { // two for the tasks, two for headroom
			t.Errorf("%d machines rented for two tasks, want at most 4", got)
		}
		if left := len(w.Cloud.Machines()); left != w.Cloud.RentedMachines() {
			t.Errorf("%d of %d rented machines remain while the tasks run, want all", left, w.Cloud.RentedMachines())
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
	})
}

// Rented machines never boot. They must be deleted and replaced, and waiting jobs must not be held
// for them until then.
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
		// The capacity is three machines, and none of them boots. Others can be rented only after
		// their deletion.
		mustReach(t, w, "wk-000001", wire.JobDone, 3*time.Minute)
		for _, n := range w.Cloud.Machines() {
			if n < "host-000003" {
				t.Errorf("%s never booted and is still paid for", n)
			}
		}
	})
}
