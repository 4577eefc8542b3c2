// Test of the memory that the index retains.

package jobstore_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
)

// Four jobs a second are submitted for minutes, with occasional bursts. Some are cancelled, all end, and
// users poll. The memory that a store retains must not grow with the number of past jobs.
func TestRetainedMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(3)
		s.setSchema(3)
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			rnd := rand.New(rand.NewPCG(3, 31))
			var wg sync.WaitGroup
			n, maxJobs := 0, 0
			submitNext := func() {
				n++
				j, r, isCancelled, extra := job(n), stores[n%3], rnd.IntN(4) == 0, time.Duration(rnd.IntN(4000))*time.Millisecond
				wg.Go(func() {
					if _, ok := submit(t.Context(), r, j); !ok {
						t.Errorf("%s was not accepted", j.ID)
					}
					time.Sleep(2*time.Second + extra)
					if isCancelled {
						if _, found, err := r.Cancel(t.Context(), j.ID); err != nil || !found {
							t.Errorf("cancellation of %s: found %v, %v", j.ID, found, err)
						}
					} else {
						for !s.finishJob(j.ID) {
							time.Sleep(100 * time.Millisecond)
						}
					}
					for _, o := range stores {
						if _, found, err := o.Lookup(t.Context(), j.ID); err != nil || !found {
							t.Errorf("lookup of %s, which is over: found %v, %v", j.ID, found, err)
						}
					}
				})
			}
			maxSealed := 0 // highest number of sealed pages at once
			for i := range 4 * 180 {
				submitNext()
				for range i / 200 % 2 * 10 {
					submitNext()
				}
				if i%200 == 99 { // a burst, whose jobs share pages
					for range 60 {
						submitNext()
					}
				}
				time.Sleep(250 * time.Millisecond)
				for _, r := range stores {
					maxJobs = max(maxJobs, r.Retained()["jobs"])
					maxSealed = max(maxSealed, r.Retained()["job pages"]-3)
				}
			}
			wg.Wait()
			if maxJobs < 20 || maxJobs > 400 || maxSealed < 1 {
				t.Errorf("at most %d unfinished jobs, want 20 to 400; at most %d sealed pages, want 1 or more", maxJobs, maxSealed)
			}
			for i, r := range stores {
				for range 2 { // read barriers to apply the changes of the other stores
					_, _, _ = r.Lookup(t.Context(), "wk-999999")
				}
				kept := r.Retained()
				for kind, bound := range map[string]int{
					"jobs": 0, "placement pages": 0, "job pages": 3, "unreadable pages": 0, "unreadable placements": 0,
					"queues": 3, "submissions": 0, "final reads": 0,
				} {
					if kept[kind] > bound {
						t.Errorf("node %d retains %d %s after %d jobs, want at most %d", i, kept[kind], kind, n, bound)
					}
				}
				for k := range jobstore.MaxCachedFinals + 100 {
					r.RememberFinal(fmt.Sprintf("wk-7%06d", k))
				}
				if kept := r.Retained(); kept["finals"] != jobstore.MaxCachedFinals || kept["final order"] != jobstore.MaxCachedFinals {
					t.Errorf("node %d retains %d final records and an order of %d, want %d of each", i, kept["finals"], kept["final order"], jobstore.MaxCachedFinals)
				}
			}
			t.Log(n, "jobs, at most", maxJobs, "unfinished and", maxSealed, "sealed pages at once")
		})
	})
}
