// Tests of submissions: idempotence, shared transactions, schema changes and damaged records.

package jobstore_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// closePageAfter is how long head pages stay open after concurrent submissions (see batch.go).
const closePageAfter = 5 * time.Second

var limits = jobstore.Limits{TxnOps: 12, ValueKB: 16}

func job(n int) wire.Job {
	return wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "tile-rebuild", Team: "core", Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: 2, CPUs: 2.5, MemoryGB: 4, Image: "img-1", ImageGB: 1.25, EstimateS: 20, Types: []string{"g8", "g16"}}
}

// runStores calls play with n running stores that share the key-value store s.
func runStores(t *testing.T, n int, s *fakeStore, play func(stores []*jobstore.Store)) {
	t.Helper()
	runStoresWith(t, n, s, jobstore.Config{Limits: limits}, play)
}

// runStoresWith is runStores with the stores' configuration.
func runStoresWith(t *testing.T, n int, s *fakeStore, config jobstore.Config, play func(stores []*jobstore.Store)) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var stores []*jobstore.Store
	for range n {
		r := jobstore.New(s, config)
		stores = append(stores, r)
		wg.Go(func() { r.Run(ctx) })
	}
	play(stores)
	cancel()
	wg.Wait()
	s.wg.Wait()
}

// submit submits a job, and retries every second for up to 60 attempts. known is true if the id was
// accepted before. ok is false if all attempts failed.
func submit(ctx context.Context, r *jobstore.Store, j wire.Job) (known, ok bool) {
	for range 60 {
		actx, cancel := context.WithTimeout(ctx, 3500*time.Millisecond)
		known, err := r.Accept(actx, j, time.Now())
		cancel()
		if err == nil {
			return known, true
		}
		time.Sleep(time.Second)
	}
	return false, false
}

// The same ids are submitted to seven controllers at once, repeatedly. Meanwhile responses are lost,
// transactions are applied up to two minutes late, and jobs complete and are cancelled. Each accepted id
// must be on exactly one key at any moment, and a reported final state must never change.
func TestAcceptIsIdempotentAcrossControllers(t *testing.T) {
	seeds := uint64(10)
	if scenario.UnderRace {
		seeds = 2
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeStore(seed)
			s.lostShare, s.lateShare, s.maxDelay, s.maxLatency = 0.1, 0.15, 2*time.Minute, 50*time.Millisecond
			const jobs, singles = 90, 30
			finals := map[string]string{} // reported final states
			accepted := map[string]bool{} // by any controller
			s.afterChange = func() {
				for n := range jobs {
					id := job(n).ID
					keys := s.keysOf(id)
					if len(keys) > 1 {
						t.Errorf("seed %d: %s is on several keys: %v", seed, id, keys)
					}
					if accepted[id] && len(keys) == 0 {
						t.Errorf("seed %d: %s was accepted, but is on no key", seed, id)
					}
					if finals[id] != "" && (len(keys) != 1 || keys[0] != jobstore.FinalKey(id)) {
						t.Errorf("seed %d: %s was reported as %s, but is on the keys %v", seed, id, finals[id], keys)
					}
				}
			}
			reportFinal := func(id, state string) {
				s.mu.Lock()
				defer s.mu.Unlock()
				if before := finals[id]; before != "" && before != state {
					t.Errorf("seed %d: %s was reported as %s, and now as %s", seed, id, before, state)
				}
				finals[id] = state
			}
			runStores(t, 7, s, func(stores []*jobstore.Store) {
				rnd := rand.New(rand.NewPCG(seed, 9))
				var wg sync.WaitGroup
				for n := range jobs {
					for i, r := range stores {
						repeats, j := rnd.IntN(3), job(n)
						if n%4 == 0 && i%2 == 0 { // the same id, with a record too large for a job page
							j.Types = []string{strings.Repeat("x", 5000)}
						}
						wg.Go(func() {
							for range repeats + 1 {
								if _, ok := submit(t.Context(), r, j); !ok {
									t.Errorf("seed %d: job %d was never accepted", seed, n)
								}
								s.mu.Lock()
								accepted[j.ID] = true
								s.mu.Unlock()
								time.Sleep(20 * time.Second)
							}
						})
					}
					delay, r := time.Duration(rnd.IntN(60))*time.Second, stores[rnd.IntN(len(stores))]
					if n%3 == 0 {
						wg.Go(func() {
							time.Sleep(delay)
							if s.finishJob(job(n).ID) {
								reportFinal(job(n).ID, wire.JobDone)
							}
						})
					}
					if n%2 == 0 {
						wg.Go(func() {
							time.Sleep(delay)
							final, found, err := r.Cancel(t.Context(), job(n).ID)
							if err == nil && found {
								reportFinal(job(n).ID, final)
							}
						})
					}
					if n == singles/3 {
						s.setSchema(2) // raise the schema while submissions are in flight
					}
					// Sparse submissions at first and in the middle close head pages. Dense submissions in
					// between and at the end open them.
					maxGapMillis := 4
					if n < singles/2 || n >= jobs/2 && n < jobs/2+singles/2 {
						maxGapMillis = 4000
					}
					time.Sleep(time.Duration(rnd.IntN(maxGapMillis)) * time.Millisecond)
				}
				wg.Wait()
				time.Sleep(2 * time.Minute)
				for n := range jobs {
					for i, r := range stores {
						v, found, err := r.Lookup(t.Context(), job(n).ID)
						if err != nil || !found {
							t.Errorf("seed %d: lookup of job %d at node %d: found %v, %v", seed, n, i, found, err)
						}
						if want := finals[job(n).ID]; want != "" && (v.Version != 0 || v.Record.State != want) {
							t.Errorf("seed %d: job %d at node %d is %q, want the reported %q", seed, n, i, v.Record.State, want)
						}
					}
				}
			})
		})
	}
}

// Head pages are sealed while two controllers write and a third one reads. A controller that did not
// accept a job must find it as soon as it is accepted.
func TestLookupFindsAcceptedJobsWhilePagesAreSealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			var wg sync.WaitGroup
			for k := range 2 {
				for n := range 150 {
					wg.Go(func() {
						time.Sleep(time.Duration(n/6+k) * time.Millisecond)
						j := job(1000*k + n)
						if known, ok := submit(t.Context(), stores[k], j); !ok || known {
							t.Errorf("%s: known %v, accepted %v", j.ID, known, ok)
						}
						v, found, err := stores[2].Lookup(t.Context(), j.ID)
						if err != nil || !found || v.Record.Job.ID != j.ID || v.Record.Job.CPUs != j.CPUs {
							t.Errorf("%s: found %v, %v, %v", j.ID, found, v.Record, err)
						}
					})
				}
			}
			wg.Wait()
			if n := len(s.keysOf("")); n != 0 {
				t.Error("a job with an empty id is stored")
			}
		})
		sealed := 0
		for k := range s.keys {
			if jobstore.IsJobPageKey(k) && !jobstore.IsHeadPageKey(k) {
				sealed++
			}
		}
		if sealed < 5 {
			t.Errorf("only %d pages were sealed", sealed)
		}
	})
}

// A burst of 500 submissions must share transactions, and may cost at most 75 changes. Each transaction
// must take as many jobs as its guards allow.
func TestBurstOfSubmissionsSharesTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			if known, ok := submit(t.Context(), stores[0], job(9999)); known || !ok {
				t.Fatal("the first job was not accepted")
			}
			s.changes = 0
			var wg sync.WaitGroup
			start := time.Now()
			for n := range 500 {
				wg.Go(func() { submit(t.Context(), stores[0], job(n)) })
			}
			wg.Wait()
			t.Logf("500 jobs: %d changes, %v", s.changes, time.Since(start))
			if s.changes > 75 {
				t.Errorf("500 jobs took %d changes, want at most 75", s.changes)
			}
		})
	})
}

// A single submission is not delayed and costs one transaction at any controller. This must also hold
// after a burst, once the head pages have been closed again.
func TestSingleSubmissionTakesOneTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(3)
		runStores(t, 3, s, func(stores []*jobstore.Store) {
			var wg sync.WaitGroup
			for n := range 90 {
				wg.Go(func() { submit(t.Context(), stores[n%3], job(1000+n)) })
			}
			wg.Wait()
			time.Sleep(2 * closePageAfter)
			for n := range 60 { // enough for each bucket's head page to be closed
				submit(t.Context(), stores[n%3], job(2000+n))
				time.Sleep(time.Second)
			}
			for _, r := range stores {
				if _, _, err := r.Lookup(t.Context(), "wk-999999"); err != nil {
					t.Fatal(err)
				}
			}
			s.changes = 0
			for n := range 30 {
				start := time.Now()
				if _, ok := submit(t.Context(), stores[n%3], job(n)); !ok || time.Since(start) > 4*time.Millisecond {
					t.Errorf("job %d: accepted %v after %v, want true within 4ms", n, ok, time.Since(start))
				}
				time.Sleep(time.Second)
			}
			if s.changes != 30 {
				t.Errorf("%d changes for 30 jobs, want 30", s.changes)
			}
		})
	})
}

// Until the schema is raised, every job has a key of its own, as earlier program versions expect. After
// that, a controller that has not read the new schema yet must not commit in the old one.
func TestAcceptAfterSchemaWasRaisedUnnoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		runStores(t, 2, s, func(stores []*jobstore.Store) {
			submit(t.Context(), stores[0], job(1))
			submit(t.Context(), stores[1], job(2))
			for _, n := range []int{1, 2} {
				if keys := s.keysOf(job(n).ID); len(keys) != 1 || keys[0] != jobstore.JobKey(job(n).ID) {
					t.Errorf("old schema: job %d is on the keys %v, want only its own key", n, keys)
				}
			}
			s.setSchema(3)
			for i, r := range stores {
				shared := 0
				submitBurst(t, r, 100*i+100)
				for n := range 40 {
					keys := s.keysOf(job(100*i + 100 + n).ID)
					if len(keys) != 1 {
						t.Errorf("new schema: job %d is on the keys %v, want one key", 100*i+100+n, keys)
					} else if jobstore.IsJobPageKey(keys[0]) {
						shared++
					}
				}
				if shared < 20 {
					t.Errorf("only %d of 40 jobs share pages", shared)
				}
				if known, ok := submit(t.Context(), r, job(1)); !known || !ok {
					t.Error("a job that was accepted in the old schema is not known")
				}
			}
			large := job(20)
			large.Types = []string{strings.Repeat("x", 5000)}
			if known, ok := submit(t.Context(), stores[0], large); known || !ok {
				t.Errorf("large job: known %v, accepted %v; want false, true", known, ok)
			}
			if known, ok := submit(t.Context(), stores[1], large); !known || !ok {
				t.Errorf("large job, second submission: known %v, accepted %v; want true, true", known, ok)
			}
			if keys := s.keysOf(large.ID); len(keys) != 1 || keys[0] != jobstore.JobKey(large.ID) {
				t.Errorf("the large job is on the keys %v, want only its own key", keys)
			}
		})
	})
}

// submitBurst submits 40 jobs at once, which opens a bucket's head page.
func submitBurst(t *testing.T, r *jobstore.Store, from int) {
	t.Helper()
	var wg sync.WaitGroup
	for n := range 40 {
		wg.Go(func() { submit(t.Context(), r, job(from+n)) })
	}
	wg.Wait()
}

// A job too large for a page gets a key of its own although the head page is open. If a smaller job with
// the same id is then submitted to the same controller before its next barrier, the controller must
// recognize it as a duplicate.
func TestLargeJobIsKnownBeforeNextBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			submitBurst(t, stores[0], 100)
			large := job(1)
			large.Types = []string{strings.Repeat("x", 5000)}
			if known, ok := submit(t.Context(), stores[0], large); known || !ok {
				t.Error("the large job was not accepted")
			}
			submitBurst(t, stores[0], 200)
			if known, ok := submit(t.Context(), stores[0], job(1)); !known || !ok {
				t.Error("the smaller job was accepted as well")
			}
			if keys := s.keysOf(job(1).ID); len(keys) != 1 {
				t.Errorf("the job is on the keys %v, want one key", keys)
			}
		})
	})
}

// Before the response of a transaction arrives, a barrier reads the transaction's changes and later
// changes that end its jobs. The response is then older than the index, and must not restore the jobs.
func TestLateCommitAnswerIsIgnoredAfterBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			submitBurst(t, stores[0], 100)
			over := map[string]bool{}
			s.beforeAnswer = func(ops []wire.Op) {
				for _, op := range ops {
					page, ok := op.Value.(jobstore.JobPage)
					if !ok || jobstore.IsHeadPageKey(op.Put) {
						continue
					}
					for _, e := range page.Entries {
						over[e.ID] = s.finishJob(e.ID)
					}
				}
				if _, _, err := stores[0].Lookup(t.Context(), "wk-999999"); err != nil {
					t.Error(err)
				}
			}
			for n := range 6 {
				submitBurst(t, stores[0], 1000+100*n)
			}
			s.beforeAnswer = nil
			if len(over) < 20 {
				t.Errorf("only %d jobs were ended before the response", len(over))
			}
			for id := range over {
				if v, found, err := stores[0].Lookup(t.Context(), id); err != nil || !found || v.Record.State != wire.JobDone {
					t.Errorf("%s: found %v, state %q, %v; want state %q", id, found, v.Record.State, err, wire.JobDone)
				}
			}
		})
	})
}

// A schema newer than this program supports is refused with ErrNewerSchema, and nothing is written.
func TestNewerSchemaIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		_, _ = s.apply(nil, []wire.Op{{Put: jobstore.SchemaKey, Value: jobstore.SchemaRecord{Version: jobstore.LatestSchema + 1, Buckets: 3}}})
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			if _, _, err := stores[0].Lookup(t.Context(), "wk-000001"); !errors.Is(err, jobstore.ErrNewerSchema) {
				t.Errorf("lookup: %v", err)
			}
			if _, err := stores[0].Accept(t.Context(), job(1), time.Now()); err == nil || errors.Is(err, kvstore.ErrOutcomeUnknown) {
				t.Errorf("accept: %v", err)
			}
			if len(s.keysOf("wk-000001")) != 0 {
				t.Error("the job was written in spite of the newer schema")
			}
		})
	})
}

// A damaged record is logged and still counts as accepted. The other records of its page are not affected.
func TestUnreadableEntryIsLoggedAndOthersAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		good, err := wire.Marshal(jobstore.JobRecord{Job: job(1)})
		if err != nil {
			t.Fatal(err)
		}
		s.setSchema(1)
		_, _ = s.apply(nil, []wire.Op{{Put: jobstore.HeadPageKey(0), Value: jobstore.JobPage{Entries: []jobstore.JobPageEntry{
			{ID: job(1).ID, Record: good}, {ID: job(2).ID, Record: good}, {ID: job(3).ID, Record: wire.Raw{0xc0}}}}}})
		var log bytes.Buffer
		config := jobstore.Config{Limits: limits, Log: slog.New(slog.NewTextHandler(&log, nil))}
		runStoresWith(t, 1, s, config, func(stores []*jobstore.Store) {
			if v, found, err := stores[0].Lookup(t.Context(), job(1).ID); err != nil || !found || v.Record.Job.CPUs != 2.5 {
				t.Errorf("intact record: %v, found %v, %v", v, found, err)
			}
			for _, n := range []int{2, 3} {
				if known, ok := submit(t.Context(), stores[0], job(n)); !known || !ok {
					t.Errorf("job %d, whose record is damaged: known %v, accepted %v; want true, true", n, known, ok)
				}
			}
			if _, ok := submit(t.Context(), stores[0], job(4)); !ok {
				t.Error("a new job is not accepted on a page with damaged records")
			}
		})
		for _, n := range []int{2, 3} {
			if !strings.Contains(log.String(), job(n).ID) {
				t.Errorf("%s is not named in the log: %q", job(n).ID, log.String())
			}
			if keys := s.keysOf(job(n).ID); len(keys) != 1 {
				t.Errorf("%s is on the keys %v, want one key", job(n).ID, keys)
			}
		}
	})
}

// JobPage.Size is never less than the JSON size that the key-value store counts.
func TestPageSizeIsAnUpperBound(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		j := job(rnd.IntN(1e6))
		j.CPUs, j.EstimateS = rnd.ExpFloat64()*1e3, rnd.Float64()*1e-7
		j.Class = strings.Repeat(`"é<`, rnd.IntN(20))
		checkPageSize(t, jobstore.JobRecord{Job: j, AcceptedAtMs: rnd.Int64()})
	}
}

func checkPageSize(t *testing.T, rec jobstore.JobRecord) {
	t.Helper()
	raw, err := wire.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	page := jobstore.JobPage{LastSealed: 1 << 40, Entries: []jobstore.JobPageEntry{{ID: rec.Job.ID, Record: raw}, {ID: rec.Job.ID, Record: raw}}}
	whole, err := wire.Marshal(page)
	if err != nil {
		t.Fatal(err)
	}
	var v any
	if err := msgpack.Unmarshal(whole, &v); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if got := page.Size(); got < len(text) || got > 2*len(text)+200 {
		t.Errorf("Size is %d for %d bytes of JSON: %s", got, len(text), text)
	}
}

// Decoding terminates for any value, and an entry that decodes has the id of its record.
func FuzzJobPage(f *testing.F) {
	raw, err := wire.Marshal(jobstore.JobRecord{Job: job(1)})
	if err != nil {
		f.Fatal(err)
	}
	whole, err := wire.Marshal(jobstore.JobPage{LastSealed: 3, Entries: []jobstore.JobPageEntry{{ID: job(1).ID, Record: raw}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add([]byte{0x82, 0xa1, 's', 0xcf, 0xff})
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		var rec jobstore.JobPage
		if wire.Unmarshal(b, &rec) != nil {
			return
		}
		if n := rec.Size(); n < 40 {
			t.Errorf("size %d", n)
		}
		for _, e := range rec.Entries {
			if got, err := e.Decode(); err == nil && got.Job.ID != e.ID {
				t.Errorf("the record of %q decodes in the entry of %q", got.Job.ID, e.ID)
			}
		}
	})
}

// If more submissions wait than fit into a transaction, those of the lowest tier number go into the next
// one although they arrived last. Each transaction also takes some of the other submissions.
func TestLowerTierSubmissionsOvertake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore(1)
		s.setSchema(1)
		s.maxLatency = 200 * time.Millisecond
		tierOf := func(_, class string) int {
			if class == "clinic" {
				return 0
			}
			return 1
		}
		runStoresWith(t, 1, s, jobstore.Config{Limits: limits, SubmissionTier: tierOf}, func(stores []*jobstore.Store) {
			var mu sync.Mutex
			var order []string
			var wg sync.WaitGroup
			submitClass := func(n int, class string) {
				wg.Go(func() {
					j := job(n)
					j.Class = class
					if _, ok := submit(t.Context(), stores[0], j); ok {
						mu.Lock()
						order = append(order, class)
						mu.Unlock()
					}
				})
				time.Sleep(time.Millisecond)
			}
			if _, _, err := stores[0].Lookup(t.Context(), "wk-000001"); err != nil {
				t.Fatal(err)
			}
			for n := range 120 {
				submitClass(n, "craft")
			}
			mu.Lock()
			before := len(order)
			mu.Unlock()
			for n := range 4 {
				submitClass(1000+n, "clinic")
			}
			wg.Wait()
			last := 0
			for i, c := range order {
				if c == "clinic" {
					last = i
				}
			}
			t.Logf("%d jobs were accepted before the clinic submissions arrived; the last clinic job was number %d of %d", before, last, len(order))
			if len(order) != 124 || last-before > 60 {
				t.Errorf("%d jobs accepted, want 124; %d accepted before the clinic submissions arrived, %d before the last clinic job, want at most 60 more", len(order), before, last)
			}
		})
	})
}
