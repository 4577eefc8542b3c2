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

func finalRecord(j wire.Job, how string) jobstore.JobRecord {
	return jobstore.JobRecord{Job: j, AcceptedAtMs: 1, State: how}
}

// After a restart thousands of users look up jobs that are over, and some that were never submitted. All
// get the right answer, with few requests if the keys are close together, and with about one request for
// each lookup if they are far apart.
func TestFinalRecordsAreReadInRanges(t *testing.T) {
	for _, c := range []struct {
		name              string
		over, asked, most int
	}{
		{"dense", 6000, 3000, 120}, {"few of many", 6000, 40, 60}, {"one", 6000, 1, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore(1)
				ends := []string{wire.JobDone, wire.JobCancelled}
				for n := range c.over {
					if n%5 > 0 {
						s.overwrite(jobstore.FinalKey(job(n).ID), mustMarshal(t, finalRecord(job(n), ends[n%2])))
					}
				}
				order := func(id string) float64 { return float64(id[len(id)-1]) }
				runStoresWith(t, 1, s, jobstore.Config{Limits: limits, FinalReadOrder: order}, func(stores []*jobstore.Store) {
					var wg sync.WaitGroup
					for i := range c.asked {
						wg.Go(func() {
							n := i * (c.over / c.asked)
							v, found, err := stores[0].Lookup(t.Context(), job(n).ID)
							if err != nil || found != (n%5 > 0) || found && (v.Record.State != ends[n%2] || v.Version != 0) {
								t.Errorf("%d is %q, found %v, %v", n, v.Record.State, found, err)
							}
						})
					}
					wg.Wait()
				})
				t.Logf("%d requests for %d lookups", s.requests, c.asked)
				if s.requests > c.most {
					t.Errorf("%d requests for %d lookups", s.requests, c.asked)
				}
			})
		})
	}
}

// All controllers start with an empty index, and listing the records takes longer than the timeout of a
// barrier: each barrier resumes the listing of the one before, and changes made in between are applied.
func TestInterruptedListingResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.listLatency = 600 * time.Millisecond
		const jobs = 6000
		for n := range jobs {
			s.overwrite(jobstore.JobKey(job(n).ID), mustMarshal(t, finalRecord(job(n), "")))
		}
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			time.AfterFunc(5*time.Second, func() { s.finishJob(job(0).ID) })
			for i, r := range stores {
				at := time.Now()
				var err error
				var v jobstore.JobStatus
				found := false
				for time.Since(at) < time.Minute && (!found || v.Version != 0) {
					ctx, cancel := context.WithTimeout(t.Context(), 1700*time.Millisecond)
					v, found, err = r.Lookup(ctx, job(0).ID)
					cancel()
				}
				if took := time.Since(at); !found || took > 20*time.Second || v.Record.State != wire.JobDone {
					t.Errorf("node %d: found %v as %q after %v: %v", i, found, v.Record.State, took, err)
				}
			}
		})
	})
}

// However a job page is damaged, a controller without a copy of it reports none of its jobs as unknown,
// and no other job as known. Jobs whose ids are still legible are found, can be cancelled once the page
// is quarantined, and stay cancelled when the page is intact again.
func TestJobsOnUnreadablePageStayKnown(t *testing.T) {
	const jobs, strangers = 30, 30
	known := 0
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(seed)
			s.setSchema(1)
			page := jobstore.JobPage{LastSealed: 1}
			for n := range jobs {
				page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: job(n).ID, Record: mustMarshal(t, finalRecord(job(n), ""))})
			}
			key, whole := jobstore.HeadPageKey(0), mustMarshal(t, page)
			placed := job(jobs - 1).ID
			s.overwrite(jobstore.PlacementPageKey(0), mustMarshal(t, jobstore.PlacementPage{Chunks: []jobstore.PlacementChunk{{Job: placed,
				Placements: []jobstore.Placement{{Task: 0, Attempt: 1, Machine: "host-1"}}}}}))
			rnd := rand.New(rand.NewPCG(seed, 4))
			bad := slices.Clone(whole)
			from := rnd.IntN(len(bad))
			for i := range bad[from:min(len(bad), from+1+rnd.IntN(400))] {
				bad[from+i] = byte(rnd.Uint32())
			}
			if seed%3 == 0 {
				bad = bad[:from+1]
			}
			bad[0] = 0xc1 // a byte that starts no MessagePack value
			s.overwrite(key, bad)
			runStores(t, 1, s, func(stores []*jobstore.Store) {
				r, cancelled := stores[0], ""
				for n := range jobs + strangers {
					v, found, err := r.Lookup(t.Context(), job(n).ID)
					switch {
					case n >= jobs && found:
						t.Errorf("seed %d: %d, which nobody has submitted, is known", seed, n)
					case n < jobs && !found && !errors.Is(err, jobstore.ErrUnreadable):
						t.Errorf("seed %d: %d is forgotten: %v", seed, n, err)
					case found && (v.Version == 0 || v.Record.State != ""):
						t.Errorf("seed %d: %d is called over", seed, n)
					case found:
						known++
						cancelled = job(n).ID
					}
					if job(n).ID == placed && v.PlacedTasks != 1 {
						t.Errorf("seed %d: of the job that is placed %d tasks are, found %v", seed, v.PlacedTasks, found)
					}
				}
				if _, _, err := r.Cancel(t.Context(), cancelled); !errors.Is(err, jobstore.ErrUnreadable) {
					t.Errorf("seed %d: cancelled while a node may remember the page: %v", seed, err)
				}
				s.overwrite(key, mustMarshal(t, jobstore.NewQuarantinedPage(key, s.keys[key].Version, 0, bad, limits)))
				if final, found, err := r.Cancel(t.Context(), cancelled); final != wire.JobCancelled || !found || err != nil {
					t.Errorf("seed %d: cancel of %s: %q, %v, %v", seed, cancelled, final, found, err)
				}
				s.overwrite(key, whole)
				for n := range jobs + strangers {
					v, found, err := r.Lookup(t.Context(), job(n).ID)
					if err != nil || found != (n < jobs) || found && job(n).ID != cancelled && v.Record.Job.Tasks != 2 {
						t.Errorf("seed %d: read again, %d is found %v, %v", seed, n, found, err)
					}
					if job(n).ID == cancelled && v.Record.State != wire.JobCancelled {
						t.Errorf("seed %d: %d was cancelled, and is %q", seed, n, v.Record.State)
					}
				}
			})
		})
	}
	if known < 40*jobs/3 {
		t.Errorf("%d of %d jobs were known in spite of the damage", known, 40*jobs)
	}
}

// From a damaged final record the state is recovered if it is legible, and never guessed.
func TestUnreadableFinalStateIsNotGuessed(t *testing.T) {
	read := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			s, rnd := newFakeStore(seed), rand.New(rand.NewPCG(seed, 4))
			how := []string{wire.JobDone, wire.JobCancelled}[seed%2]
			raw := mustMarshal(t, finalRecord(job(1), how))
			from := rnd.IntN(len(raw))
			for i := range raw[from:min(len(raw), from+60)] {
				raw[from+i] = byte(rnd.Uint32())
			}
			raw[0] = 0xc1
			s.overwrite(jobstore.FinalKey(job(1).ID), raw)
			runStores(t, 1, s, func(stores []*jobstore.Store) {
				v, found, err := stores[0].Lookup(t.Context(), job(1).ID)
				switch {
				case found && v.Record.State == how && v.Version == 0:
					read++
				case found || !errors.Is(err, jobstore.ErrUnreadable):
					t.Errorf("seed %d: it was %s, and is %q, found %v, %v", seed, how, v.Record.State, found, err)
				}
			})
		})
	}
	if read < 20 || read == 60 {
		t.Errorf("%d of 60 states were read", read)
	}
}
