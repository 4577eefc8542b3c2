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
// completed and before the completion is committed. Whichever outcome is committed first holds, at
// all nodes and for good.
func TestCancellationRacesWithTheLastCompletion(t *testing.T) {
	t.Run("the job has a key of its own", cancelDuringCompletionOfOneJob)
	t.Run("the job is on a page with others", cancelDuringCompletionsOnSharedPages)
}

func cancelDuringCompletionOfOneJob(t *testing.T) {
	ends := map[string]int{}
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
		w.Store.SetLatency(time.Duration(rnd.IntN(40)) * time.Millisecond)
		for n := range 24 {
			j := shortJob(n + 1)
			mustSubmit(t, w, j)
			if !eventually(time.Minute, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
				t.Fatalf("%s does not run", j.ID)
			}
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			between := w.FinishedTasks(j.ID) == 1 && !keyExists(w, jobstore.FinalKey(j.ID))
			var looks sync.WaitGroup
			looks.Go(func() { w.QueryConcurrently(j.ID, 3) })
			got := ""
			for try := 0; got == "" && try < 20; try++ {
				got = w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID)
			}
			if between {
				met++
				ends[got]++
			}
			looks.Wait()
			w.QueryConcurrently(j.ID, 1)
		}
		time.Sleep(3 * time.Second)
		for n := range 24 {
			w.QueryConcurrently(shortJob(n+1).ID, 1)
		}
		if keys := w.Store.JobKeys(); len(keys) > 0 {
			t.Errorf("left of jobs that are over: %v", keys)
		}
		return met
	}, bothOutcomesOccurred(ends))
	if !bothOutcomesOccurred(ends)() {
		t.Errorf("of those that met, one side always won: %v", ends)
	}
	t.Log("ends:", ends)
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

// headPageOpen reports whether the head page of a page's bucket is open, so that jobs are still
// added to it.
func headPageOpen(w *fake.Cluster, page string) bool {
	bucket, _, ok := jobstore.ParseJobPageKey(page)
	head, err := jobstore.DecodeJobPage(w.Store.Value(jobstore.HeadPageKey(bucket)))
	return ok && err == nil && !head.Closed
}

// submitConcurrently submits so many jobs at once at one node that head pages are opened, and the
// jobs that follow share pages.
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

// The jobs of several rounds share pages. Completions, cancellations and submissions change these
// pages all the time, each by a compare-and-swap that fails if the page has changed in between.
func cancelDuringCompletionsOnSharedPages(t *testing.T) {
	ends := map[string]int{}
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
		w.Store.SetLatency(time.Duration(5+rnd.IntN(40)) * time.Millisecond)
		const first, round, rounds = 30, 16, 4
		n, alone := 0, 0
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
						t.Errorf("%s does not run", j.ID)
						return
					}
					time.Sleep(after)
					page := jobPageOf(w, j.ID)
					between := page != "" && !keyExists(w, jobstore.FinalKey(j.ID))
					var looks sync.WaitGroup
					looks.Go(func() { w.QueryConcurrently(j.ID, 2) })
					got := ""
					for try := 0; got == "" && try < 20; try++ {
						got = w.CancelAt(w.NodeAddr(at), j.ID)
					}
					looks.Wait()
					w.QueryConcurrently(j.ID, 1)
					mu.Lock()
					defer mu.Unlock()
					if between {
						met++
						ends[got]++
					} else if page == "" {
						alone++
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
			t.Errorf("left of jobs that are over: %v", keys)
		}
		t.Logf("%d of %d met on a page, %d were on none or over", met, n, alone)
		return met
	}, bothOutcomesOccurred(ends))
	if !bothOutcomesOccurred(ends)() {
		t.Errorf("of those that met, one side always won: %v", ends)
	}
	t.Log("ends:", ends)
}

// Jobs are cancelled during a failover: just before it, while there is no leader, and while the
// next leader loads the model. Some of the jobs' tasks run, some are being launched and some are
// just being placed. All are gone within cancel_s, and stay so when the former leader comes back.
func TestCancellationsDuringFailover(t *testing.T) {
	for way, name := range []string{"it dies", "it stands still", "the state service refuses it", "it keeps only its workers"} {
		t.Run(name, func(t *testing.T) { cancelDuringFailover(t, way, false) })
		t.Run(name+", with open heads", func(t *testing.T) { cancelDuringFailover(t, way, true) })
	}
}

// cancelDuringFailover cancels jobs during a failover that is brought about in the given way: the
// leader is killed, paused, refused by the key-value store, or isolated from all but its workers.
// With heads set, most of the jobs share pages whose bucket's head page stays open because other
// jobs keep coming; those submissions and the cancellations change the same pages.
//
//nolint:revive // flag-parameter: the variants of the test differ in it
func cancelDuringFailover(t *testing.T, way int, heads bool) {
	t.Helper()
	machines := 6
	if heads {
		machines = 12 // room for the jobs that keep coming as well
	}
	runInteraction(t, 2, fake.Options{Machines: machines, Capacity: machines}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		rnd = rand.New(rand.NewPCG(rnd.Uint64(), uint64(way)))
		jobs := 16
		if heads {
			jobs = 32
			w.Store.SetLatency(20 * time.Millisecond)
			var opens []wire.Job
			for n := range 48 {
				opens = append(opens, shortJob(200+n))
			}
			submitConcurrently(t, w, rnd.IntN(3), opens)
		}
		var coming sync.WaitGroup
		over, come := make(chan struct{}), 0
		if heads {
			coming.Go(func() {
				var each sync.WaitGroup
				defer each.Wait()
				for ; ; come += 24 {
					select {
					case <-over:
						return
					case <-time.After(1500 * time.Millisecond):
					}
					for k := range 24 {
						j := shortJob(300 + come + k)
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
			if heads {
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
			t.Fatal("nobody leads")
		}
		before := w.Store.Versions("ctl/leader")["ctl/leader"]
		var mu sync.Mutex
		var between, late, onPages int
		var began atomic.Bool
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
				case began.Load() && (sent == 0 || sent == before):
					between++ // the leader that placed its tasks has failed, and no other has taken over yet
					if open {
						onPages++
					}
				case now != before:
					late++
				}
			})
		}
		time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		began.Store(true)
		switch way {
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
		close(over)
		switch way {
		case 0:
			w.StartNode(leader)
		case 1:
			w.ResumeNode(leader)
		case 2:
			w.Store.AcceptNode(w.Nodes()[leader])
		case 3:
			w.HealNodeIsolation(leader)
		}
		coming.Wait()
		time.Sleep(45 * time.Second) // the checker of fake.Cluster reports tasks that outlast cancel_s
		for n := range come {        // jobs accepted meanwhile are not lost
			mustReach(t, w, shortJob(300+n).ID, wire.JobDone, 2*time.Minute)
		}
		for n := range jobs {
			j := spec(n + 1)
			if got := final[j.ID]; got != "" {
				for i := range j.Tasks {
					if on := w.MachinesRunning(wire.TaskName(j.ID, i)); len(on) > 0 {
						t.Errorf("%s/%d, of a job that is %s, is on %v", j.ID, i, got, on)
					}
				}
			} else if j.Kind == wire.KindArray {
				mustReach(t, w, j.ID, wire.JobDone, 2*time.Minute)
			}
			w.QueryConcurrently(j.ID, 1)
		}
		t.Log("between", between, "of them on pages with open heads", onPages, "after", late, "of", len(final), "while", come, "came")
		switch {
		case !changed:
			return 0
		case heads:
			return min(onPages, come)
		}
		return between
	})
}

// Submissions at every node are so many that jobs share pages and the limit on writes to the
// key-value store (25 a second) is used up. Cancellations, each of which changes a page by a
// compare-and-swap that fails if anybody else has changed it, must still be committed in time.
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
				alone := keyExists(w, jobstore.JobKey(j.ID))
				at := time.Now()
				got := w.Cancel(j.ID)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, time.Since(at))
				if got == wire.JobCancelled {
					cancelled++
					if !alone {
						onPages++
					}
				}
			})
			time.Sleep(time.Duration(rnd.IntN(100)) * time.Millisecond)
		}
		wg.Wait()
		for k := range n { // every accepted job is still known, whatever has become of it
			if status := w.QueryStatus(k%3, shortJob(k+1).ID); status == http.StatusNotFound {
				t.Errorf("%s, which was accepted, is not known", shortJob(k+1).ID)
			}
		}
		t.Logf("%d jobs, %d cancelled, %d of them on a page; the slowest took %v", n, cancelled, onPages, slowest)
		if slowest > 10*time.Second {
			t.Errorf("a cancellation took %v", slowest)
		}
		return onPages
	})
}
