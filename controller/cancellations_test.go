package controller_test

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// A cancellation, a status query or a repeated submission arrives after a job's last task has
// completed and before the completion is committed. Nodes could then answer with different
// outcomes. The outcome that is committed first must hold at all nodes from then on.
func TestCancellationRacesWithTheLastCompletion(t *testing.T) {
	t.Run("the job has a key of its own", cancelDuringCompletionOfOneJob)
	t.Run("the job is on a page with others", cancelDuringCompletionsOnSharedPages)
}

// cancelDuringCompletionOfOneJob runs jobs one by one, each with a key of its own.
func cancelDuringCompletionOfOneJob(t *testing.T) {
	ends := map[string]int{}
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
		w.Store.SetLatency(time.Duration(rnd.IntN(40)) * time.Millisecond)
		for n := range 24 {
			j := shortJob(n + 1)
			mustSubmit(t, w, j)
			if !eventually(time.Minute, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
				t.Fatalf("%s does not complete", j.ID)
			}
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			uncommitted := w.FinishedTasks(j.ID) == 1 && !keyExists(w, jobstore.FinalKey(j.ID))
			var queries sync.WaitGroup
			queries.Go(func() { w.QueryConcurrently(j.ID, 3) })
			got := ""
			for try := 0; got == "" && try < 20; try++ {
				got = w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID)
			}
			if uncommitted {
				interactions++
				ends[got]++
			}
			queries.Wait()
			w.QueryConcurrently(j.ID, 1)
		}
		time.Sleep(3 * time.Second)
		for n := range 24 {
			w.QueryConcurrently(shortJob(n+1).ID, 1)
		}
		if keys := w.Store.JobKeys(); len(keys) > 0 {
			t.Errorf("records of finished jobs remain: %v", keys)
		}
		return interactions
	}, bothOutcomesOccurred(ends))
	if !bothOutcomesOccurred(ends)() {
		t.Errorf("of the cancellations that raced with a completion, one side always won: %v", ends)
	}
	t.Log("outcomes of the races:", ends)
}

// jobPageOf returns the key of the page of accepted jobs that has an entry for a job, or "" if no
// page has one.
func jobPageOf(w *fake.Cluster, id string) string {
	for _, key := range w.Store.Keys(jobstore.JobPrefix) {
		if !jobstore.IsJobPageKey(key) {
			continue
		}
		page, err := jobstore.DecodeJobPage(w.Store.Value(key))
		if err == nil && slices.ContainsFunc(page.Entries, func(e jobstore.JobPageEntry) bool { return e.ID == id }) {
			return key
		}
	}
	return ""
}

// headPageOpen reports whether the head page of a page's bucket is open. Jobs are added to open
// head pages only.
func headPageOpen(w *fake.Cluster, page string) bool {
	bucket, _, ok := jobstore.ParseJobPageKey(page)
	head, err := jobstore.DecodeJobPage(w.Store.Value(jobstore.HeadPageKey(bucket)))
	return ok && err == nil && !head.Closed
}

// submitConcurrently submits jobs at once at one node, and waits until they are accepted. With many
// jobs, head pages are opened and later jobs share pages.
func submitConcurrently(t *testing.T, w *fake.Cluster, node int, jobs []wire.Job) {
	t.Helper()
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			for try := 0; try < 20; try++ {
				if status, _ := w.SubmitTo(node, j); status == http.StatusOK || status == http.StatusCreated {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
			t.Errorf("%s was not accepted", j.ID)
		})
	}
	wg.Wait()
}

// cancelDuringCompletionsOnSharedPages runs several rounds of jobs that share pages. Completions,
// cancellations and submissions change these pages all the time, each by a compare-and-swap that
// fails if the page has changed in between.
func cancelDuringCompletionsOnSharedPages(t *testing.T) {
	ends := map[string]int{}
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
		w.Store.SetLatency(time.Duration(5+rnd.IntN(40)) * time.Millisecond)
		const first, round, rounds = 30, 16, 4
		n, withoutPage := 0, 0
		var mu sync.Mutex
		for r := range rounds {
			var jobs []wire.Job
			for range map[bool]int{true: first, false: round}[r == 0] {
				n++
				jobs = append(jobs, shortJob(n))
			}
			var wg sync.WaitGroup
			node := rnd.IntN(3)
			wg.Go(func() { submitConcurrently(t, w, node, jobs) })
			for _, j := range jobs {
				at, after := rnd.IntN(3), time.Duration(rnd.IntN(900))*time.Millisecond
				wg.Go(func() {
					if !scenario.Eventually(time.Minute, 5*time.Millisecond, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
						t.Errorf("%s does not complete", j.ID)
						return
					}
					time.Sleep(after)
					page := jobPageOf(w, j.ID)
					uncommitted := page != "" && !keyExists(w, jobstore.FinalKey(j.ID))
					var queries sync.WaitGroup
					queries.Go(func() { w.QueryConcurrently(j.ID, 2) })
					got := ""
					for try := 0; got == "" && try < 20; try++ {
						got = w.CancelAt(w.NodeAddr(at), j.ID)
					}
					queries.Wait()
					w.QueryConcurrently(j.ID, 1)
					mu.Lock()
					defer mu.Unlock()
					if uncommitted {
						interactions++
						ends[got]++
					} else if page == "" {
						withoutPage++
					}
				})
			}
			wg.Wait()
		}
		time.Sleep(3 * time.Second)
		for i := range n {
			w.QueryConcurrently(shortJob(i+1).ID, 1)
		}
		if keys := w.Store.JobKeys(); len(keys) > 0 {
			t.Errorf("records of finished jobs remain: %v", keys)
		}
		t.Logf("%d of %d cancellations raced with a completion on a page, %d jobs were on no page or finished", interactions, n, withoutPage)
		return interactions
	}, bothOutcomesOccurred(ends))
	if !bothOutcomesOccurred(ends)() {
		t.Errorf("of the cancellations that raced with a completion, one side always won: %v", ends)
	}
	t.Log("outcomes of the races:", ends)
}

// Jobs are cancelled just before a failover, while there is no leader, and while the next leader
// loads the model. Some of their tasks run, some are being launched and some are being placed. A
// leader that misses a cancellation would keep or start such tasks. All must be gone within
// cancel_s, and must not come back with the former leader.
func TestCancellationsDuringFailover(t *testing.T) {
	for way, name := range []string{"it dies", "it stands still", "the state service refuses it", "it keeps only its workers"} {
		t.Run(name, func(t *testing.T) { cancelDuringFailover(t, way, false) })
		t.Run(name+", with open heads", func(t *testing.T) { cancelDuringFailover(t, way, true) })
	}
}

// cancelDuringFailover cancels jobs during a failover with the given cause: the leader is killed
// (0), paused (1), refused by the key-value store (2), or isolated from all but its workers (3).
// With keepHeadsOpen set, most of the jobs share pages whose bucket's head page stays open because
// other jobs are submitted all the time. Those submissions and the cancellations change the same
// pages.
//
//nolint:revive // flag-parameter: the variants of the test differ in it
func cancelDuringFailover(t *testing.T, cause int, keepHeadsOpen bool) {
	t.Helper()
	machines := 6
	if keepHeadsOpen {
		machines = 12 // the jobs submitted meanwhile need room too
	}
	runInteraction(t, 2, fake.Options{Machines: machines, Capacity: machines}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		rnd = rand.New(rand.NewPCG(rnd.Uint64(), uint64(cause)))
		jobs := 16
		if keepHeadsOpen {
			jobs = 32
			w.Store.SetLatency(20 * time.Millisecond)
			var openers []wire.Job
			for n := range 48 {
				openers = append(openers, shortJob(200+n))
			}
			submitConcurrently(t, w, rnd.IntN(3), openers)
		}
		var background sync.WaitGroup
		failoverDone, submittedMeanwhile := make(chan struct{}), 0
		if keepHeadsOpen {
			background.Go(func() {
				var each sync.WaitGroup
				defer each.Wait()
				for ; ; submittedMeanwhile += 24 {
					select {
					case <-failoverDone:
						return
					case <-time.After(1500 * time.Millisecond):
					}
					for k := range 24 {
						j := shortJob(300 + submittedMeanwhile + k)
						each.Go(func() {
							if !w.Submit(j) {
								t.Errorf("%s was not accepted", j.ID)
							}
						})
					}
				}
			})
		}
		spec := func(n int) wire.Job {
			return job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.ImageGB = 1+n%2, 1, 0.1
				if n%3 == 0 {
					j.EstimateS = 15
				} else {
					j.Kind, j.EstimateS = wire.KindService, 0
				}
			})
		}
		submit := func(from, to int) {
			var all []wire.Job
			for n := from; n < to; n++ {
				all = append(all, spec(n+1))
			}
			if keepHeadsOpen {
				submitConcurrently(t, w, rnd.IntN(3), all)
			} else {
				mustSubmit(t, w, all...)
			}
		}
		submit(0, jobs/2)
		time.Sleep(time.Duration(3000+rnd.IntN(5000)) * time.Millisecond)
		submit(jobs/2, jobs)
		leader := w.Leader()
		if leader < 0 {
			t.Fatal("no node leads")
		}
		before := w.Store.Versions("ctl/leader")["ctl/leader"]
		var mu sync.Mutex
		var withoutLeader, afterFailover, onOpenPages int
		var failoverBegan atomic.Bool
		var wg sync.WaitGroup
		final := map[string]string{}
		for n := range jobs {
			id, after, cancels := spec(n+1).ID, time.Duration(rnd.IntN(12000))*time.Millisecond, rnd.IntN(4) > 0
			if n%4 == 0 {
				after = time.Duration(rnd.IntN(200)) * time.Millisecond
			}
			if !cancels {
				continue
			}
			wg.Go(func() {
				time.Sleep(after)
				sent := w.Store.Versions("ctl/leader")["ctl/leader"]
				page := jobPageOf(w, id)
				open := page != "" && headPageOpen(w, page)
				got := w.Cancel(id)
				now := w.Store.Versions("ctl/leader")["ctl/leader"]
				mu.Lock()
				defer mu.Unlock()
				final[id] = got
				switch {
				case got != wire.JobCancelled:
				case failoverBegan.Load() && (sent == 0 || sent == before):
					withoutLeader++ // the leader that placed its tasks has failed, and no other has taken over yet
					if open {
						onOpenPages++
					}
				case now != before:
					afterFailover++
				}
			})
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		failoverBegan.Store(true)
		switch cause {
		case 0:
			w.KillNode(leader)
		case 1:
			w.PauseNode(leader)
		case 2:
			w.Store.RefuseNode(w.Nodes()[leader])
		case 3:
			w.IsolateToWorkers(leader)
		}
		wg.Wait()
		changed := scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool {
			v := w.Store.Versions("ctl/leader")["ctl/leader"]
			return v != 0 && v != before
		})
		close(failoverDone)
		switch cause {
		case 0:
			w.StartNode(leader)
		case 1:
			w.ResumeNode(leader)
		case 2:
			w.Store.AcceptNode(w.Nodes()[leader])
		case 3:
			w.HealNodeIsolation(leader)
		}
		background.Wait()
		time.Sleep(45 * time.Second)        // the checker of fake.Cluster reports tasks that outlast cancel_s
		for n := range submittedMeanwhile { // jobs accepted meanwhile are not lost
			mustReach(t, w, shortJob(300+n).ID, wire.JobDone, 2*time.Minute)
		}
		for n := range jobs {
			j := spec(n + 1)
			if got := final[j.ID]; got != "" {
				for i := range j.Tasks {
					if on := w.MachinesRunning(wire.TaskName(j.ID, i)); len(on) > 0 {
						t.Errorf("task %s/%d of a job that is %s still runs on %v", j.ID, i, got, on)
					}
				}
			} else if j.Kind == wire.KindArray {
				mustReach(t, w, j.ID, wire.JobDone, 2*time.Minute)
			}
			w.QueryConcurrently(j.ID, 1)
		}
		t.Log("cancelled without a leader", withoutLeader, "of them on pages with open heads", onOpenPages, "after the failover", afterFailover, "of", len(final), "submitted meanwhile", submittedMeanwhile)
		switch {
		case !changed:
			return 0
		case keepHeadsOpen:
			return min(onOpenPages, submittedMeanwhile)
		}
		return withoutLeader
	})
}

// So many jobs are submitted at every node that they share pages and use up the limit on writes to
// the key-value store (25 a second). A cancellation changes a page by a compare-and-swap, which
// fails if another writer has changed the page. Cancellations must still be committed in time.
func TestManySubmissionsDoNotDelayCancellations(t *testing.T) {
	runInteraction(t, 2, fake.Options{Machines: 6, Capacity: 6, StateRPS: 200, StateWPS: 25}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var slowest time.Duration
		cancelled, onPages := 0, 0
		n := 0
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); n++ {
			j, cancels, after := shortJob(n+1), rnd.IntN(4) == 0, time.Duration(rnd.IntN(1000))*time.Millisecond
			wg.Go(func() {
				if !w.Submit(j) || !cancels {
					return
				}
				time.Sleep(after)
				hasOwnKey := keyExists(w, jobstore.JobKey(j.ID))
				at := time.Now()
				got := w.Cancel(j.ID)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(at))
				if got == wire.JobCancelled {
					cancelled++
					if !hasOwnKey {
						onPages++
					}
				}
			})
			time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		}
		wg.Wait()
		for k := range n { // every accepted job is still known, also if it is done or cancelled
			if status := w.QueryStatus(k%3, shortJob(k+1).ID); status == http.StatusNotFound {
				t.Errorf("%s was accepted and is now unknown", shortJob(k+1).ID)
			}
		}
		t.Logf("%d jobs, %d cancelled, %d of them on a page; the slowest took %v", n, cancelled, onPages, slowest)
		if slowest > 10*time.Second {
			t.Errorf("a cancellation took %v", slowest)
		}
		return onPages
	})
}
