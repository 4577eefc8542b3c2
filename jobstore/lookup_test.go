// Tests of lookups: final records, the listing of active records, and damaged records.

package jobstore_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

func mustMarshal(t *testing.T, v any) wire.Raw {
	t.Helper()
	raw, err := wire.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// jobRecord returns a job's final record, or its active record if state is "".
func jobRecord(j wire.Job, state string) jobstore.JobRecord {
	return jobstore.JobRecord{Job: j, AcceptedAtMs: 1, State: state}
}

// After a restart, thousands of users look up jobs that are over, and some that were never submitted. All
// must get the right answer. Lookups of close keys must share requests. Lookups of distant keys may take
// about one request each.
func TestFinalRecordsAreReadInRanges(t *testing.T) {
	for _, c := range []struct {
		name                         string
		finals, lookups, maxRequests int
	}{
		{"dense", 6000, 3000, 120}, {"few of many", 6000, 40, 60}, {"one", 6000, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore(1)
				states := []string{wire.JobDone, wire.JobCancelled}
				for n := range c.finals {
					if n%5 > 0 {
						s.overwrite(jobstore.FinalKey(job(n).ID), mustMarshal(t, jobRecord(job(n), states[n%2])))
					}
				}
				order := func(id string) float64 { return float64(id[len(id)-1]) }
				runStoresWith(t, 1, s, jobstore.Config{Limits: limits, FinalReadOrder: order}, func(stores []*jobstore.Store) {
					var wg sync.WaitGroup
					for i := range c.lookups {
						wg.Go(func() {
							n := i * (c.finals / c.lookups)
							v, found, err := stores[0].Lookup(t.Context(), job(n).ID)
							if err != nil || found != (n%5 > 0) || found && (v.Record.State != states[n%2] || v.Version != 0) {
								t.Errorf("job %d is %q, found %v, %v", n, v.Record.State, found, err)
							}
						})
					}
					wg.Wait()
				})
				t.Logf("%d requests for %d lookups", s.requests, c.lookups)
				if s.requests > c.maxRequests {
					t.Errorf("%d requests for %d lookups, want at most %d", s.requests, c.lookups, c.maxRequests)
				}
			})
		})
	}
}

// All controllers start with an empty index, and the listing of the records takes longer than the timeout
// of a barrier. Each barrier must resume the listing of the previous one, and changes made in between must
// be applied.
func TestInterruptedListingResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.listLatency = 600 * time.Millisecond
		const jobs = 6000
		for n := range jobs {
			s.overwrite(jobstore.JobKey(job(n).ID), mustMarshal(t, jobRecord(job(n), "")))
		}
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			time.AfterFunc(5*time.Second, func() { s.finishJob(job(0).ID) })
			for i, r := range stores {
				start := time.Now()
				var err error
				var v jobstore.JobStatus
				found := false
				for time.Since(start) < time.Minute && (!found || v.Version != 0) {
					ctx, cancel := context.WithTimeout(t.Context(), 1700*time.Millisecond)
					v, found, err = r.Lookup(ctx, job(0).ID)
					cancel()
				}
				if took := time.Since(start); !found || took > 20*time.Second || v.Record.State != wire.JobDone {
					t.Errorf("node %d: found %v, state %q after %v, %v; want %q within 20s", i, found, v.Record.State, took, err, wire.JobDone)
				}
			}
		})
	})
}

// A job page is damaged at random, and the controller has no copy of it. The controller must report none
// of the page's jobs as unknown, and no other job as known. Jobs whose ids are still legible must be found,
// can be cancelled once the page is quarantined, and must stay cancelled when the page is intact again.
func TestJobsOnUnreadablePageStayKnown(t *testing.T) {
	const jobs, unsubmitted = 30, 30
	known := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(seed)
			s.setSchema(1)
			page := jobstore.JobPage{LastSealed: 1}
			for n := range jobs {
				page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: job(n).ID, Record: mustMarshal(t, jobRecord(job(n), ""))})
			}
			key, intact := jobstore.HeadPageKey(0), mustMarshal(t, page)
			placed := job(jobs - 1).ID
			s.overwrite(jobstore.PlacementPageKey(0), mustMarshal(t, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: placed,
				Placements: []jobstore.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}}}))
			rnd := rand.New(rand.NewPCG(seed, 4))
			damaged := slices.Clone(intact)
			from := rnd.IntN(len(damaged))
			for i := range damaged[from:min(len(damaged), from+1+rnd.IntN(400))] {
				damaged[from+i] = byte(rnd.Uint32())
			}
			if seed%3 == 0 {
				damaged = damaged[:from+1]
			}
			damaged[0] = 0xc1 // a byte that starts no MessagePack value
			s.overwrite(key, damaged)
			runStores(t, 1, s, func(stores []*jobstore.Store) {
				r, cancelled := stores[0], ""
				for n := range jobs + unsubmitted {
					v, found, err := r.Lookup(t.Context(), job(n).ID)
					switch {
					case n >= jobs && found:
						t.Errorf("seed %d: job %d, which was never submitted, is found", seed, n)
					case n < jobs && !found && !errors.Is(err, jobstore.ErrUnreadable):
						t.Errorf("seed %d: job %d is not found: %v", seed, n, err)
					case found && (v.Version == 0 || v.Record.State != ""):
						t.Errorf("seed %d: job %d is reported as over", seed, n)
					case found:
						known++
						cancelled = job(n).ID
					}
					if job(n).ID == placed && v.PlacedTasks != 1 {
						t.Errorf("seed %d: the placed job has %d placed tasks, found %v; want 1", seed, v.PlacedTasks, found)
					}
				}
				if _, _, err := r.Cancel(t.Context(), cancelled); !errors.Is(err, jobstore.ErrUnreadable) {
					t.Errorf("seed %d: cancellation while a node may have a copy of the page: %v, want ErrUnreadable", seed, err)
				}
				s.overwrite(key, mustMarshal(t, jobstore.NewQuarantinedPage(key, s.keys[key].Version, 0, damaged, limits)))
				if final, found, err := r.Cancel(t.Context(), cancelled); final != wire.JobCancelled || !found || err != nil {
					t.Errorf("seed %d: cancel of %s: %q, %v, %v", seed, cancelled, final, found, err)
				}
				s.overwrite(key, intact)
				for n := range jobs + unsubmitted {
					v, found, err := r.Lookup(t.Context(), job(n).ID)
					if err != nil || found != (n < jobs) || found && job(n).ID != cancelled && v.Record.Job.Tasks != 2 {
						t.Errorf("seed %d: with the intact page again, job %d: found %v, %v", seed, n, found, err)
					}
					if job(n).ID == cancelled && v.Record.State != wire.JobCancelled {
						t.Errorf("seed %d: job %d was cancelled, but is %q", seed, n, v.Record.State)
					}
				}
			})
		})
	}
	if known < 40*jobs/3 {
		t.Errorf("%d of %d jobs were found in spite of the damage, want at least a third", known, 40*jobs)
	}
}

// The state of a damaged final record is recovered if it is legible, and never guessed.
func TestUnreadableFinalStateIsNotGuessed(t *testing.T) {
	read := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s, rnd := newFakeStore(seed), rand.New(rand.NewPCG(seed, 4))
			state := []string{wire.JobDone, wire.JobCancelled}[seed%2]
			raw := mustMarshal(t, jobRecord(job(1), state))
			from := rnd.IntN(len(raw))
			for i := range raw[from:min(len(raw), from+60)] {
				raw[from+i] = byte(rnd.Uint32())
			}
			raw[0] = 0xc1
			s.overwrite(jobstore.FinalKey(job(1).ID), raw)
			runStores(t, 1, s, func(stores []*jobstore.Store) {
				v, found, err := stores[0].Lookup(t.Context(), job(1).ID)
				switch {
				case found && v.Record.State == state && v.Version == 0:
					read++
				case found || !errors.Is(err, jobstore.ErrUnreadable):
					t.Errorf("seed %d: state %q, found %v, %v; want %q or ErrUnreadable", seed, v.Record.State, found, err, state)
				}
			})
		})
	}
	if read < 20 || read == 60 {
		t.Errorf("%d of 60 states were recovered, want 20 to 59", read)
	}
}
