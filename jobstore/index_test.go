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

// Four jobs a second are submitted for minutes, with occasional bursts; some are cancelled, all end, and
// users poll. The memory that a store retains must not grow with the number of past jobs.
func TestRetainedMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(3)
		s.setSchema(3)
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			rnd := rand.New(rand.NewPCG(3, 31))
			var wg sync.WaitGroup
			n, most := 0, 0
			come := func() {
				n++
				j, r, cancels, lasts := job(n), stores[n%3], rnd.IntN(4) == 0, time.Duration(rnd.IntN(4000))*time.Millisecond
				wg.Go(func() {
					if _, ok := submit(t.Context(), r, j); !ok {
						t.Errorf("%s was not accepted", j.ID)
					}
					time.Sleep(2*time.Second + lasts)
					if cancels {
						if _, found, err := r.Cancel(t.Context(), j.ID); err != nil || !found {
							t.Errorf("%s: found %v, %v", j.ID, found, err)
						}
					} else {
						for !s.finishJob(j.ID) {
							time.Sleep(100 * time.Millisecond)
						}
					}
					for _, o := range stores {
						if _, found, err := o.Lookup(t.Context(), j.ID); err != nil || !found {
							t.Errorf("%s, which is over: found %v, %v", j.ID, found, err)
						}
					}
				})
			}
			full := 0 // highest number of sealed pages at once
			for i := range 4 * 180 {
				come()
				for range i / 200 % 2 * 10 {
					come()
				}
				if i%200 == 99 { // a burst, whose jobs share pages
					for range 60 {
						come()
					}
				}
				time.Sleep(250 * time.Millisecond)
				for _, r := range stores {
					most = max(most, r.Retained()["jobs"])
					full = max(full, r.Retained()["job pages"]-3)
				}
			}
			wg.Wait()
			if most < 20 || most > 400 || full < 1 {
				t.Errorf("at most %d unfinished jobs were known, and %d full pages", most, full)
			}
			for i, r := range stores {
				for range 2 { // read barriers, to apply what the other stores did
					_, _, _ = r.Lookup(t.Context(), "wk-999999")
				}
				kept := r.Retained()
				for kind, bound := range map[string]int{
					"jobs": 0, "placement pages": 0, "job pages": 3, "unreadable pages": 0, "unreadable placements": 0,
					"queues": 3, "submissions": 0, "final reads": 0,
				} {
					if kept[kind] > bound {
						t.Errorf("node %d keeps %d of %s after %d jobs, not %d at most", i, kept[kind], kind, n, bound)
					}
				}
				for k := range jobstore.MaxCachedFinals + 100 {
					r.RememberFinal(fmt.Sprintf("wk-7%06d", k))
				}
				if kept := r.Retained(); kept["finals"] != jobstore.MaxCachedFinals || kept["final order"] != jobstore.MaxCachedFinals {
					t.Errorf("node %d keeps %d ends, in an order of %d", i, kept["finals"], kept["final order"])
				}
			}
			t.Log(n, "jobs,", most, "at most unfinished,", full, "full pages")
		})
	})
}
