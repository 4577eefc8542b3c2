// Scenarios of changes of the schema version, of job pages under many submissions, and of records
// that can't be decoded.

package controller_test

import (
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/snapshot"
	"github.com/umberdeal/umberdeal/wire"
)

// countOwnAndSharedRecords returns the number of unfinished jobs that have a record of their own,
// and of those that share a page with others.
func countOwnAndSharedRecords(w *fake.Cluster) (own, shared int) {
	for _, k := range w.Store.Keys(jobstore.JobPrefix) {
		var page jobstore.JobPage
		if !jobstore.IsJobPageKey(k) {
			own++
		} else if wire.Unmarshal(w.Store.Value(k), &page) == nil {
			shared += len(page.Entries)
		}
	}
	return own, shared
}

// One node reads only the previous schema version. Records that it can't read would be lost if it
// led. So every leader must write records in that version. Once the node has been restarted with
// the newer version, jobs must share pages, and jobs with keys of their own must go on.
func TestRollingRestartRaisesTheSchemaVersionAtItsEnd(t *testing.T) {
	for older := range 3 {
		runScenario(t, fake.Options{Machines: 4, OlderSchema: []int{older}}, func(t *testing.T, w *fake.Cluster) {
			long := func(j *wire.Job) { j.EstimateS = 90 }
			mustSubmit(t, w, job(1, long), job(2, nil))
			// Two failovers, so that leadership moves in both directions between the nodes.
			for n := range 2 {
				l := w.Leader()
				w.KillNode(l)
				time.Sleep(9 * time.Second)
				w.StartNode(l)
				time.Sleep(3 * time.Second)
				mustSubmit(t, w, job(10+n, long))
			}
			if own, shared := countOwnAndSharedRecords(w); own < 3 || shared != 0 || len(w.Store.Keys(jobstore.SchemaKey)) != 0 {
				t.Errorf("before the restart: %d jobs with keys of their own, %d on pages", own, shared)
			}
			w.KillNode(older)
			w.UpgradeSchema(older)
			time.Sleep(time.Second)
			w.StartNode(older)
			time.Sleep(20 * time.Second)
			var wg sync.WaitGroup
			w.Store.LimitWrites(25)
			for n := range 90 {
				wg.Go(func() {
					if !w.Submit(job(100+n, func(j *wire.Job) { j.EstimateS, j.Tasks = 3, 1 })) {
						t.Errorf("%d was not accepted", n)
					}
				})
			}
			wg.Wait()
			if own, shared := countOwnAndSharedRecords(w); own < 1 || shared < 20 {
				t.Errorf("after the restart: %d jobs with keys of their own, %d on pages", own, shared)
			}
			w.KillNode(w.Leader())
			for _, n := range []int{1, 2, 10, 11, 100, 140, 189} {
				mustReach(t, w, job(n, nil).ID, wire.JobDone, 4*time.Minute)
			}
		})
	}
}

// The snapshot holds records exactly as the previous version of the program wrote them. A change of
// the encoding could make them unreadable. Its jobs must run, its finished jobs stay finished, and
// repeated submissions be recognized.
func TestRecordsOfThePreviousSchemaAreRead(t *testing.T) {
	f, err := os.Open("testdata/form1.snapshot")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	r, err := snapshot.NewReader(f)
	if err != nil {
		t.Fatal(err)
	}
	all, err := r.All()
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 4})
		defer w.Close()
		w.KillAll()
		time.Sleep(20 * time.Second)
		w.Store.Clear()
		client := kvstore.New(w.Network.Dial("ops"), "state:1", 200, 200)
		if _, err := snapshot.Restore(t.Context(), client, r.Header, all, 12); err != nil {
			t.Fatal(err)
		}
		jobs := map[string]jobstore.JobRecord{}
		for k, v := range all {
			var rec jobstore.JobRecord
			_, active := jobstore.ParseJobKey(k)
			_, finished := jobstore.ParseFinalKey(k)
			if (active || finished) && wire.Unmarshal(v, &rec) == nil {
				jobs[rec.Job.ID] = rec
				w.RegisterJob(rec.Job)
			}
		}
		if len(jobs) != 6 {
			t.Fatalf("the snapshot has %d jobs, want 6", len(jobs))
		}
		w.StartAll()
		time.Sleep(15 * time.Second)
		mustReach(t, w, "wk-000503", wire.JobDone, 3*time.Minute)
		mustReach(t, w, "wk-000504", wire.JobDone, 3*time.Minute)
		w.Cancel("wk-000505")
		mustReach(t, w, "wk-000505", wire.JobCancelled, 5*time.Second)
		for id, rec := range jobs {
			if got := w.PostSubmission(1, rec.Job); got != 200 {
				t.Errorf("%s submitted again: status %d, want 200", id, got)
			}
		}
		mustReach(t, w, "wk-000506", wire.JobCancelled, 5*time.Second)
		mustReach(t, w, "wk-000501", wire.JobDone, 5*time.Second)
		time.Sleep(30 * time.Second)
		if keys := w.Store.JobKeys(); len(keys) > 0 {
			t.Errorf("records of finished jobs remain: %v", keys)
		}
		// Jobs that are finished in the snapshot were never run by a machine of this cluster. The
		// checker reports that as a violation.
		broken := slices.DeleteFunc(w.Violations(), func(b string) bool {
			return strings.Contains(b, "wk-000501") || strings.Contains(b, "wk-000502") || strings.Contains(b, "wk-000506")
		})
		if len(broken) > 0 {
			t.Errorf("rules broken: %v", broken)
		}
	})
}

// A burst of submissions arrives while the store takes only 25 changes a second and all nodes are
// restarted. With one change for each job, clients would give up. All submissions must be accepted
// within the minute for which clients wait, in few changes, and none may be lost.
func TestBurstOfJobsWhileAllNodesRestart(t *testing.T) {
	burst := 2000
	if scenario.UnderRace {
		burst = 150
	}
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
		w.Store.LimitWrites(25)
		time.Sleep(5 * time.Second)
		before := w.Store.Changes()
		var wg sync.WaitGroup
		var accepted atomic.Int64
		for n := range burst {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 10 * time.Second / time.Duration(burst))
				if w.Submit(job(1000+n, func(j *wire.Job) { j.CPUs, j.Tasks = 8, 1 })) {
					accepted.Add(1)
				}
			})
		}
		wg.Go(func() {
			time.Sleep(4 * time.Second)
			w.KillAll()
			time.Sleep(3 * time.Second)
			w.StartAll()
		})
		wg.Wait()
		changes := w.Store.Changes() - before
		t.Logf("%d of %d accepted, %d changes in total", accepted.Load(), burst, changes)
		if accepted.Load() != int64(burst) {
			t.Errorf("%d of %d accepted", accepted.Load(), burst)
		}
		if changes > burst/2+400 {
			t.Errorf("%d changes for %d jobs, want at most one for two jobs and 400 more", changes, burst)
		}
		for n := 0; n < burst; n += 1 + burst/60 {
			if got := w.PollState(w.AnyNodeAddr(), job(1000+n, nil).ID); got == "" {
				t.Errorf("no answer for job %d", n)
			}
		}
	})
}

// Submissions must not wait long or get lost when there are more of them than the store takes
// changes, here 25 a second. The test measures the waits at different rates, with the previous
// schema version and with this one. -v prints the figures.
func TestSubmissionsPerSecond(t *testing.T) {
	rates := []int{1, 20, 300, 500}
	if scenario.UnderRace {
		rates = rates[:2]
	}
	for _, older := range [][]int{{0, 1, 2}, nil} {
		for _, rate := range rates {
			if older != nil && rate > 100 {
				continue // they arrive for longer than their clients wait
			}
			runScenario(t, fake.Options{Machines: 4, OlderSchema: older}, func(t *testing.T, w *fake.Cluster) {
				w.Store.LimitWrites(25)
				time.Sleep(5 * time.Second)
				before := w.Store.Changes()
				n := max(10, 8*rate)
				waits := make([]time.Duration, n)
				var wg sync.WaitGroup
				var lost atomic.Int64
				for i := range n {
					wg.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(rate))
						at := time.Now()
						if !w.Submit(job(1000+i, func(j *wire.Job) { j.CPUs, j.Tasks, j.EstimateS = 8, 1, 300 })) {
							lost.Add(1)
						}
						waits[i] = time.Since(at)
					})
				}
				begun := time.Now()
				wg.Wait()
				took := time.Since(begun)
				slices.Sort(waits)
				p50, p99 := waits[n/2], waits[n*99/100]
				t.Logf("previous schema %v, %d a second: p50 %v, p99 %v, all within %v, %.2f changes a job", older != nil, rate, p50, p99, took.Round(time.Second), float64(w.Store.Changes()-before)/float64(n))
				if lost.Load() > 0 || rate <= 20 && p99 > 100*time.Millisecond || rate > 20 && p50 > 5*time.Second {
					t.Errorf("%d submissions a second: %d lost, p50 %v, p99 %v", rate, lost.Load(), p50, p99)
				}
				if per := float64(w.Store.Changes()-before) / float64(n); rate > 20 && per > 0.4 {
					t.Errorf("%d submissions a second: %.2f changes a job, want at most 0.4", rate, per)
				}
			})
		}
	}
}

// A record can't be decoded. A leader could lose the jobs that depend on it or start them again. It
// must name the record in the log and quarantine these jobs. Users can cancel them, and the other
// jobs go on under the next leader.
func TestDamagedRecordsAreQuarantinedAndTheOthersContinue(t *testing.T) {
	for _, c := range []struct{ name, key string }{
		{"a job", jobstore.JobKey("wk-000001")}, {"a page of placements", jobstore.PlacementPageKey(0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log logBuffer
			o := fake.Options{Machines: 4, Log: slog.New(slog.NewTextHandler(&log, nil))}
			synctest.Test(t, func(t *testing.T) {
				w := fake.New(o)
				defer w.Close()
				time.Sleep(5 * time.Second)
				mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
				time.Sleep(8 * time.Second)
				w.KillAll()
				w.Store.Corrupt(c.key)
				startedBefore := w.Started()
				time.Sleep(2 * time.Second)
				w.StartAll()
				time.Sleep(10 * time.Second)
				mustSubmit(t, w, job(2, nil), job(3, nil))
				mustReach(t, w, "wk-000002", wire.JobDone, 3*time.Minute)
				mustReach(t, w, "wk-000003", wire.JobDone, 3*time.Minute)
				if got := w.Started() - startedBefore; got != 4 {
					t.Errorf("%d tasks were started, want the 4 of the two other jobs", got)
				}
				last := w.Leader()
				w.KillNode(last) // the job stays quarantined under the next leader
				time.Sleep(time.Minute)
				w.StartNode(last) // clients may use any node
				time.Sleep(5 * time.Second)
				if got := w.PollState(w.AnyNodeAddr(), "wk-000001"); got != wire.JobPending && got != wire.JobRunning {
					t.Errorf("the quarantined job has state %q, want pending or running", got)
				}
				if !strings.Contains(log.String(), "job quarantined") || !strings.Contains(log.String(), c.key) || !strings.Contains(log.String(), "wk-000001") {
					t.Error("the log does not name the quarantined job and its record")
				}
				w.Cancel("wk-000001")
				mustReach(t, w, "wk-000001", wire.JobCancelled, 5*time.Second)
				time.Sleep(45 * time.Second)
				for _, b := range w.Violations() {
					t.Errorf("rule broken: %s", b)
				}
			})
		})
	}
}

// logBuffer collects log output in memory. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
