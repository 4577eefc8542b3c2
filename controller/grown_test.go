package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// A grown cluster records far more placements each second than the state
// service takes changes, unless many share a key; and when all controllers have
// crashed, hundreds of workers come back at once and must be answered within
// their leases. The service refuses 25 changes a second and more, and values
// and transactions over their limits.
func TestAGrownClusterOutlivesACrashOfAllNodes(t *testing.T) {
	const machines, jobs = 300, 60
	story(t, fake.Options{Machines: machines, Capacity: machines}, func(t *testing.T, w *fake.World) {
		w.State.LimitWrites(25)
		tasks := 0
		for i := range jobs {
			j := job(i, func(j *wire.Job) {
				j.Tasks, j.EstimateS = 36, 60
				if i%3 == 0 {
					gang(j)
					j.Tasks, j.OneZone = 24, true
				}
			})
			tasks += j.Tasks
			mustSubmit(t, w, j)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(15 * time.Second)
		before := w.Started()
		if before < 1000 {
			t.Fatalf("only %d tasks run on %d machines", before, machines)
		}
		if n := len(w.State.Keys("w/p/")); n == 0 || n > jobs/3 {
			t.Errorf("%d keys hold the placements of %d jobs", n, jobs)
		}
		for i := range 3 {
			w.KillNode(i)
		}
		time.Sleep(4 * time.Second)
		for i := range 3 {
			w.StartNode(i)
		}
		for i := range jobs {
			mustReach(t, w, fmt.Sprintf("wk-%06d", i), wire.JobDone, 5*time.Minute)
		}
		if n := w.Started(); n != tasks {
			t.Errorf("%d starts of %d tasks: some were lost in the crash", n, tasks)
		}
	})
}
