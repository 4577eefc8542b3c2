package controller_test

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Scenarios of writers that meet at the key-value store's write limit of 25 changes a second, beside
// TestManySubmissionsDoNotDelayCancellations. What happened there: a transaction that is large because
// many wait for it was refused as a whole while single changes of others got through, and was repeated
// as large as before (docs/incidents/cancellations-at-the-write-limit.md). Any writer of more than one
// change can meet that, so each meets it here.

const (
	// writeLimitFor is for how long jobs are submitted.
	writeLimitFor = 20 * time.Second
	// cancelledWithin is the longest that a cancellation may take.
	cancelledWithin = 10 * time.Second
	// answeredWithin is how long after the load each job that goes on must be done.
	answeredWithin = 75 * time.Second
)

// writeLoad is what users do in a scenario at the write limit.
type writeLoad struct {
	interval       time.Duration                       // between submissions, on average
	cancelOneIn    int                                 // which share of the jobs is cancelled
	cancelledAfter time.Duration                       // at most, after acceptance
	change         func(j *wire.Job)                   // what the jobs are like; nil: short
	meanwhile      func(t *testing.T, w *fake.Cluster) // beside the load, for its time
}

// writeLoadResult is what came of a load.
type writeLoadResult struct {
	mu                  sync.Mutex
	jobs                int
	slowestCancellation time.Duration
	cancelled           []string // ids
	onPages             int      // of them
	pages               map[string]bool
	notAccepted         int
}

// runWriteLoad submits and cancels jobs, and waits for all answers.
func runWriteLoad(t *testing.T, w *fake.Cluster, rnd *rand.Rand, load writeLoad) *writeLoadResult {
	t.Helper()
	r := &writeLoadResult{pages: map[string]bool{}}
	var wg sync.WaitGroup
	if load.meanwhile != nil {
		wg.Go(func() { load.meanwhile(t, w) })
	}
	for end := time.Now().Add(writeLimitFor); time.Now().Before(end); r.jobs++ {
		j := shortJob(r.jobs + 1)
		if load.change != nil {
			load.change(&j)
		}
		cancelled, after := rnd.IntN(load.cancelOneIn) == 0, time.Duration(rnd.Int64N(int64(load.cancelledAfter)))
		wg.Go(func() {
			switch {
			case !w.Submit(j):
				r.countRejected()
			case cancelled:
				time.Sleep(after)
				r.cancel(w, j.ID)
			}
		})
		time.Sleep(time.Duration(rnd.Int64N(int64(2 * load.interval))))
	}
	wg.Wait()
	return r
}

// countRejected counts a job that was not accepted.
func (r *writeLoadResult) countRejected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notAccepted++
}

// cancel cancels a job, and records how long that took.
func (r *writeLoadResult) cancel(w *fake.Cluster, id string) {
	page := pageOf(w, id)
	at := time.Now()
	got := w.Cancel(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowestCancellation = max(r.slowestCancellation, time.Since(at))
	if got != wire.JobCancelled {
		return
	}
	r.cancelled = append(r.cancelled, id)
	if page != "" {
		r.onPages++
		r.pages[page] = true
	}
}

// pageOf returns the key of the job page that a job is on, "" if it is on none.
func pageOf(w *fake.Cluster, id string) string {
	for key := range w.Store.Versions(jobstore.ActivePrefix) {
		var page jobstore.JobPage
		if jobstore.IsJobPageKey(key) && wire.Unmarshal(w.Store.Value(key), &page) == nil &&
			slices.ContainsFunc(page.Entries, func(e jobstore.JobPageEntry) bool { return e.ID == id }) {
			return key
		}
	}
	return ""
}

// check checks what must hold at the write limit whoever else writes: cancellations in time, every
// submission accepted within the minute for which users repeat it, and every other job done.
func (r *writeLoadResult) check(t *testing.T, w *fake.Cluster) {
	t.Helper()
	t.Logf("%d jobs, %d cancelled, %d of them on %d pages; the slowest took %v", r.jobs, len(r.cancelled), r.onPages, len(r.pages), r.slowestCancellation)
	if r.slowestCancellation > cancelledWithin {
		t.Errorf("a cancellation took %v", r.slowestCancellation)
	}
	if r.notAccepted > 0 {
		t.Errorf("%d submissions were not accepted", r.notAccepted)
	}
	end := time.Now().Add(answeredWithin)
	for n := range r.jobs {
		if id := shortJob(n + 1).ID; !slices.Contains(r.cancelled, id) && !w.Await(id, wire.JobDone, max(time.Until(end), time.Second)) {
			t.Errorf("%s was not done %v after the load", id, answeredWithin)
		}
	}
}

// atWriteLimit is a small cluster whose store takes 25 changes a second.
var atWriteLimit = fake.Options{Machines: 6, Capacity: 6, StateRPS: 200, StateWPS: 25}

// Records are so large that a page takes about ten, so that cancellations are of jobs on many pages.
func TestCancellationsOnSeveralPagesAtTheWriteLimit(t *testing.T) {
	runInteraction(t, 2, atWriteLimit, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 50 * time.Millisecond, cancelOneIn: 4, cancelledAfter: 3 * time.Second,
			change: func(j *wire.Job) { j.Types = []string{fake.DefaultType.Name, strings.Repeat("x", 1200)} }})
		r.check(t, w)
		if len(r.pages) < 3 {
			t.Errorf("only %d pages had jobs that were cancelled", len(r.pages))
		}
		return r.onPages
	})
}

// Jobs arrive singly, so that they have keys of their own, and nearly all of them are cancelled, while
// the leader uses up what the store takes.
func TestCancellationsOfSingleJobsAtTheWriteLimit(t *testing.T) {
	o := atWriteLimit
	o.StateWPS = 8
	runInteraction(t, 2, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 600 * time.Millisecond, cancelOneIn: 2, cancelledAfter: 3 * time.Second})
		r.check(t, w)
		return len(r.cancelled)
	})
}

// A burst of submissions arrives while cancellations use up the writes: every submission is accepted. In 5 of
// 96 plays a cancellation took 10.2 s to 13.1 s: 13 to 22 waited at one controller (`queued write ended`
// with result=abandoned, transactions=0), which committed 4 changes a second, while 2 to 5 waited at each
// of the others, which committed 7 to 8. All have the same rate limit at first, and whoever has more
// waiting sends larger transactions, is refused more often, and reduces its rate each time.
func TestBurstOfSubmissionsBesideCancellationsAtTheWriteLimit(t *testing.T) {
	runInteraction(t, 2, atWriteLimit, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		const burst = 100
		accepted := make(chan bool, burst)
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 50 * time.Millisecond, cancelOneIn: 2, cancelledAfter: time.Second,
			meanwhile: func(_ *testing.T, w *fake.Cluster) {
				time.Sleep(writeLimitFor / 2)
				for n := range burst {
					go func() { accepted <- w.Submit(shortJob(10_000 + n)) }()
				}
			}})
		for range burst {
			if !<-accepted {
				t.Error("a submission of the burst was not accepted")
			}
		}
		r.check(t, w)
		return r.onPages
	})
}

// Operators apply a plan while users use up the writes. In 4 of 60 plays the command ended with
// `compare-and-swap "plan/asked": ... too many requests`: a refusal of its first transaction, one
// change, was not followed by another try, though it has a minute.
func TestPlanIsAppliedAtTheWriteLimit(t *testing.T) {
	runInteraction(t, 2, atWriteLimit, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 50 * time.Millisecond, cancelOneIn: 4, cancelledAfter: time.Second,
			meanwhile: func(t *testing.T, w *fake.Cluster) {
				time.Sleep(writeLimitFor / 4)
				if _, err := scenario.TryPlan(w, 0, "", time.Minute); err != nil {
					t.Errorf("the plan was not applied within a minute: %v", err)
				}
			}})
		r.check(t, w)
		return r.onPages
	})
}

// Controllers pause for two seconds, one after the other, so that others write to their buckets. In 3 of 80
// plays a cancellation took 10.0 s to 11.8 s. After each pause two controllers wrote to the same bucket
// for up to three seconds, and their transactions conflicted: see
// TestBucketOwnerWritesAloneOnceItAnswersAgain.
func TestBucketOwnersAlternateAtTheWriteLimit(t *testing.T) {
	runInteraction(t, 2, atWriteLimit, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 70 * time.Millisecond, cancelOneIn: 4, cancelledAfter: time.Second,
			meanwhile: func(_ *testing.T, w *fake.Cluster) {
				for i := range 4 {
					time.Sleep(3 * time.Second)
					w.PauseNode(i % 3)
					time.Sleep(2 * time.Second)
					w.ResumeNode(i % 3)
				}
			}})
		r.check(t, w)
		return r.onPages
	})
}

// The store refuses one controller alone, for half of the time. In 3 of 80 plays a cancellation took 10.7 s
// to 13.5 s: `queued write ended` with result=conflict several times for one id, at different nodes.
// While the refused node owned a bucket, every other node was told so by it, and then wrote to the
// bucket itself, so that their transactions conflicted.
func TestStoreRefusesOneNodeAtTheWriteLimit(t *testing.T) {
	runInteraction(t, 2, atWriteLimit, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		refused := w.Nodes()[rnd.IntN(3)]
		r := runWriteLoad(t, w, rnd, writeLoad{interval: 50 * time.Millisecond, cancelOneIn: 4, cancelledAfter: time.Second,
			meanwhile: func(_ *testing.T, w *fake.Cluster) {
				time.Sleep(writeLimitFor / 4)
				w.Store.RefuseNode(refused)
				time.Sleep(writeLimitFor / 2)
				w.Store.AcceptNode(refused)
			}})
		r.check(t, w)
		return r.onPages
	})
}
