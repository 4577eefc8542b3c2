package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Scenarios of faults that interact in what users see: submissions, status queries and
// cancellations. Each asserts that the faults overlapped, and fails if not.
// docs/fault-interactions.md lists them with the guards that keep the rules.

// runInteraction runs a scenario for a few seeds, or for as many as STORY_SEEDS says, and logs how
// often its faults interacted. Where both sides of a race must win now and then, it goes on until
// they have: in a single seed one of them may be missing by chance.
func runInteraction(t *testing.T, seeds uint64, o fake.Options, play func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int, both ...func() bool) {
	t.Helper()
	if n, many := seedCount(); many {
		seeds = n
	} else if scenario.UnderRace {
		seeds = 1
	}
	const moreSeeds = 8
	oneSided := func() bool { return slices.ContainsFunc(both, func(won func() bool) bool { return !won() }) }
	for seed := uint64(1); seed <= seeds || seed <= seeds+moreSeeds && oneSided(); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := o
			o.Seed = seed
			runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
				met := play(t, w, rand.New(rand.NewPCG(seed, 29)))
				if met == 0 {
					t.Error("the troubles missed one another")
				}
				t.Logf("they met %d times", met)
			})
		})
	}
}

// bothOutcomesOccurred returns a function that reports whether some jobs ended as done and some as
// cancelled.
func bothOutcomesOccurred(ends map[string]int) func() bool {
	return func() bool { return ends[wire.JobDone] > 0 && ends[wire.JobCancelled] > 0 }
}

// shortJob returns a job of one task of 2 s.
func shortJob(n int) wire.Job {
	return job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 2, 0.1 })
}

// eventually waits for a condition that may hold for a moment only, checking every millisecond, and
// reports whether it held.
func eventually(within time.Duration, ok func() bool) bool {
	return scenario.Eventually(within, time.Millisecond, ok)
}

func keyExists(w *fake.Cluster, key string) bool {
	return w.Store.Value(key) != nil
}

// Clients query all nodes within milliseconds, and submit once more, just after their job was
// accepted, was done or was cancelled. The key-value store refuses one node, which asks the others,
// and nodes are paused for a moment again and again. No answer is older than one that the client
// had before it asked.
func TestAllPeersAreQueriedConcurrently(t *testing.T) {
	runInteraction(t, 3, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		w.Store.SetLatency(time.Duration(rnd.IntN(40)) * time.Millisecond)
		refused := rnd.IntN(3)
		w.Store.RefuseNode(w.Nodes()[refused])
		time.Sleep(6 * time.Second) // it may have been the leader
		over := make(chan struct{})
		var stands, wg sync.WaitGroup
		stands.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(300 * time.Millisecond):
				}
				w.PauseNode((refused + 1 + i%2) % 3)
				time.Sleep(time.Duration(100+100*(i%4)) * time.Millisecond)
				w.ResumeNode((refused + 1 + i%2) % 3)
			}
		})
		var byWay, looks atomic.Int64
		look := func(id string) {
			told := w.QueryConcurrently(id, 2)
			byWay.Add(int64(told[refused]))
			for _, n := range told {
				looks.Add(int64(n))
			}
		}
		for n := range 15 {
			j, cancels, at, wait := shortJob(n+1), rnd.IntN(3), rnd.IntN(3), time.Duration(rnd.IntN(800))*time.Millisecond
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 700 * time.Millisecond)
				if !w.Submit(j) {
					t.Errorf("%s was not accepted", j.ID)
					return
				}
				if cancels != 0 {
					look(j.ID)
				}
				if cancels <= 1 {
					time.Sleep(time.Duration(cancels) * wait)
					for range 30 {
						if w.CancelAt(w.NodeAddr(at), j.ID) != "" {
							break
						}
					}
				} else if !scenario.Eventually(time.Minute, 50*time.Millisecond, func() bool { return w.PollState(w.NodeAddr(at), j.ID) == wire.JobDone }) {
					t.Errorf("%s is not done", j.ID)
				}
				look(j.ID)
			})
		}
		wg.Wait()
		close(over)
		stands.Wait()
		w.Store.AcceptNode(w.Nodes()[refused])
		if looks.Load() < 100 {
			t.Errorf("%d answers in all", looks.Load())
		}
		return int(byWay.Load())
	})
}

// A node's transaction is carried out at once and only its reply is lost: other nodes read the
// change, and act on it, before its sender knows of it. What the sender answers then must not be
// older than what they have answered.
func TestPeersReadCommitsUnknownToTheirSender(t *testing.T) {
	lose := func(w *fake.Cluster, rnd *rand.Rand, key string) bool {
		w.Store.DropReplies(0, 1, rnd.Uint64())
		met := eventually(5*time.Second, func() bool { return keyExists(w, key) })
		w.Store.DropReplies(0, 0, 0)
		return met
	}
	t.Run("a submission", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, a := shortJob(n+1), rnd.IntN(3)
				b := (a + 1 + rnd.IntN(2)) % 3
				var knows atomic.Bool
				var wg sync.WaitGroup
				var status int
				var state string
				wg.Go(func() { status, state = w.SubmitTo(a, j); knows.Store(true) })
				if !lose(w, rnd, jobstore.JobKey(j.ID)) {
					t.Errorf("%s is not in the store", j.ID)
				}
				read := w.PollState(w.NodeAddr(b), j.ID) != "" && !knows.Load()
				want := ""
				if rnd.IntN(2) == 0 {
					time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					want = w.CancelAt(w.NodeAddr(b), j.ID)
					read = read && want != "" && !knows.Load()
				}
				w.QueryConcurrently(j.ID, 1)
				wg.Wait()
				if read {
					met++
				}
				if status != http.StatusOK || read && want != "" && state != want {
					t.Errorf("%s: the sender says %d, %q, others %q", j.ID, status, state, want)
				}
				w.QueryConcurrently(j.ID, 1)
			}
			return met
		})
	})
	t.Run("a cancellation", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, a := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 }), rnd.IntN(3)
				mustSubmit(t, w, j)
				time.Sleep(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				var knows atomic.Bool
				var wg sync.WaitGroup
				var state string
				wg.Go(func() { state = w.CancelAt(w.NodeAddr(a), j.ID); knows.Store(true) })
				if !lose(w, rnd, jobstore.FinalKey(j.ID)) {
					t.Errorf("%s is not cancelled in the store", j.ID)
				}
				if w.PollState(w.NodeAddr((a+1)%3), j.ID) == wire.JobCancelled && !knows.Load() {
					met++
				}
				w.QueryConcurrently(j.ID, 1)
				wg.Wait()
				if state != wire.JobCancelled {
					t.Errorf("%s: the sender says %q", j.ID, state)
				}
				w.QueryConcurrently(j.ID, 1)
			}
			return met
		})
	})
	t.Run("an end", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j := shortJob(n + 1)
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				started := w.Started()
				if !lose(w, rnd, jobstore.FinalKey(j.ID)) {
					t.Errorf("%s is not over in the store", j.ID)
				}
				if sent, _ := w.Store.UnansweredTransactions(); sent > met {
					met++
				}
				// The leader gets no reply for 2 s.
				if got := w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID); got != wire.JobDone {
					t.Errorf("cancelling %s, which is done, is answered %q", j.ID, got)
				}
				w.QueryConcurrently(j.ID, 2)
				time.Sleep(10 * time.Second)
				if n := w.Started() - started; n > 0 {
					t.Errorf("%d tasks of %s started again", n, j.ID)
				}
			}
			return met
		})
	})
	t.Run("a placement", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 })
				had, _ := w.Store.UnansweredTransactions()
				mustSubmit(t, w, j)
				w.Store.DropReplies(0, 1, rnd.Uint64())
				eventually(5*time.Second, func() bool { sent, _ := w.Store.UnansweredTransactions(); return sent > had })
				w.Store.DropReplies(0, 0, 0)
				started := w.Started()
				if got := w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID); got != wire.JobCancelled {
					t.Errorf("cancelling %s is answered %q", j.ID, got)
				}
				// The placement is committed, and the leader doesn't know it.
				if sent, done := w.Store.UnansweredTransactions(); sent > had && done == sent && len(w.Store.Keys(strings.TrimSuffix(jobstore.PlacementPageKey(0), "0"))) > 0 {
					met++
				}
				w.QueryConcurrently(j.ID, 1)
				time.Sleep(8 * time.Second)
				if n := w.Started() - started; n > 0 || len(w.MachinesRunning(j.ID+"/0")) > 0 {
					t.Errorf("%s, which is cancelled, was started %d times", j.ID, n)
				}
			}
			return met
		})
	})
}

// A transaction has no reply because it is still in flight, and is carried out long after its
// sender has given up on it: taking it for carried out before then is wrong.
func TestUnansweredRequestsWereNotExecuted(t *testing.T) {
	t.Run("a cancellation", func(t *testing.T) {
		ends := map[string]int{}
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, a := shortJob(n+1), rnd.IntN(3)
				if n%3 == 2 {
					j.EstimateS = 60
				}
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return len(w.MachinesRunning(j.ID+"/0")) > 0 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				time.Sleep(randomDuration(rnd, 500*time.Millisecond, 1500*time.Millisecond))
				come := w.Store.HoldNextTransactionOn(jobstore.FinalKey(j.ID))
				defer come()
				var knows atomic.Bool
				var wg sync.WaitGroup
				var state string
				wg.Go(func() { state = w.CancelAt(w.NodeAddr(a), j.ID); knows.Store(true) })
				onItsWay := eventually(time.Second, func() bool { return w.Store.PendingTransactions() > 0 })
				// Its sender reads the store again after 2 s: by then the job may have ended.
				ended := eventually(10*time.Second, func() bool { return knows.Load() || keyExists(w, jobstore.FinalKey(j.ID)) })
				if onItsWay && ended && !knows.Load() {
					met++
				}
				wg.Wait()
				if want := w.PollState(w.AnyNodeAddr(), j.ID); state != want {
					t.Errorf("%s: the sender says %q, and it is %q", j.ID, state, want)
				}
				ends[state]++
				w.QueryConcurrently(j.ID, 1)
				come()
				time.Sleep(time.Second)
				w.QueryConcurrently(j.ID, 1)
			}
			return met
		}, bothOutcomesOccurred(ends))
		if !bothOutcomesOccurred(ends)() {
			t.Errorf("one side always won: %v", ends)
		}
		t.Log("ends:", ends)
	})
	t.Run("an end", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, cancels := shortJob(n+1), rnd.IntN(2) == 0
				come := w.Store.HoldNextTransactionOn(jobstore.FinalKey(j.ID))
				defer come()
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return w.Store.PendingTransactions() > 0 }) {
					t.Fatalf("no end of %s is on its way", j.ID)
				}
				if w.FinishedTasks(j.ID) == 1 && !keyExists(w, jobstore.FinalKey(j.ID)) {
					met++
				}
				want := wire.JobDone
				if cancels {
					time.Sleep(randomDuration(rnd, 0, 3*time.Second))
					want = w.Cancel(j.ID)
				}
				if !eventually(10*time.Second, func() bool { return keyExists(w, jobstore.FinalKey(j.ID)) }) {
					t.Errorf("%s, which is done, is not recorded as such", j.ID)
				}
				w.QueryConcurrently(j.ID, 1)
				come()
				time.Sleep(randomDuration(rnd, 0, time.Second))
				if got := w.PollState(w.AnyNodeAddr(), j.ID); got != want {
					t.Errorf("%s is %q, and was %q", j.ID, got, want)
				}
			}
			if !scenario.Eventually(10*time.Second, 100*time.Millisecond, func() bool { return len(w.Store.JobKeys()) == 0 }) {
				t.Errorf("left of jobs that are over: %v", w.Store.JobKeys())
			}
			return met
		})
	})
	t.Run("a placement", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			for n := range 4 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 20, 0.1 })
				come := w.Store.HoldNextTransactionOn(pageKeys)
				defer come()
				started := w.Started()
				mustSubmit(t, w, j)
				if !eventually(20*time.Second, func() bool { return len(w.MachinesRunning(j.ID+"/0")) > 0 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				if w.Store.PendingTransactions() > 0 {
					met++
				}
				// The next leader knows only what the store says.
				l := awaitLeader(t, w, 10*time.Second, anyNode)
				w.KillNode(l)
				awaitLeader(t, w, 20*time.Second, func(i int) bool { return i != l })
				time.Sleep(randomDuration(rnd, 0, 5*time.Second))
				come()
				w.StartNode(l)
				mustFinish(t, w, time.Minute, n+1)
				if n := w.Started() - started; n != 1 {
					t.Errorf("%s, of one task, was started %d times", j.ID, n)
				}
			}
			return met
		})
	})
	t.Run("a placement of a job that is cancelled meanwhile", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
			time.Sleep(3 * time.Second)
			for n := range 8 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 60, 0.1 })
				come := w.Store.HoldNextTransactionOn(pageKeys)
				defer come()
				mustSubmit(t, w, j)
				// The leader learns of changes only by the read barriers of its renewals.
				node := w.Nodes()[awaitLeader(t, w, 10*time.Second, anyNode)]
				w.Store.SilenceWatches(node)
				onItsWay := eventually(10*time.Second, func() bool { return w.Store.PendingTransactions() > 0 })
				started := w.Started()
				got := w.CancelAt(w.AnyNodeAddr(), j.ID)
				if onItsWay && got == wire.JobCancelled && w.Store.PendingTransactions() > 0 {
					met++
				}
				come()
				time.Sleep(randomDuration(rnd, 4*time.Second, 6*time.Second))
				w.Store.ResumeWatches(node)
				if n := w.Started() - started; n > 0 || len(w.MachinesRunning(j.ID+"/0")) > 0 {
					t.Errorf("%s, which is cancelled, was started %d times", j.ID, n)
				}
			}
			return met
		})
	})
}

// Unusual requests arrive at every node while all is well, while many jobs are submitted, while the
// key-value store refuses one node, while it is out, and after all nodes have been restarted: each
// gets its proper answer, or a temporary refusal.
func TestUnusualRequestsDuringFaults(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 20}, {Name: "edge"}}
	runInteraction(t, 3, fake.Options{Machines: 4, Capacity: 4, Teams: teams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
		for n := range 6 {
			mustSubmit(t, w, shortJob(n+1), job(100+n, func(j *wire.Job) { j.Team, j.Kind, j.EstimateS = "edge", wire.KindService, 0 }))
		}
		mustFinish(t, w, time.Minute, 1, 2, 3, 4, 5, 6)
		odd := func(when string, least int) {
			all := w.SendUnusualRequests(20)
			t.Log(when, all)
			if all.Known < least || all.Refused < least || all.Unknown < least {
				t.Errorf("%s: only %+v were answered", when, all)
			}
			met += all.Known
		}
		odd("quiet", 3)
		over, calm := make(chan struct{}), sync.WaitGroup{}
		calm.Go(func() {
			var wg sync.WaitGroup
			defer wg.Wait()
			for n := range 500 {
				select {
				case <-over:
					return
				case <-time.After(10 * time.Millisecond):
				}
				for k := range 15 {
					wg.Go(func() { w.Submit(shortJob(200 + 15*n + k)) })
				}
			}
		})
		time.Sleep(300 * time.Millisecond)
		if !slices.ContainsFunc(w.Store.Keys(jobstore.HeadPageKey(0)[:len(jobstore.HeadPageKey(0))-1]), func(key string) bool {
			head, err := jobstore.DecodeJobPage(w.Store.Value(key))
			return jobstore.IsHeadPageKey(key) && err == nil && !head.Closed
		}) {
			t.Error("no head is open: there is no crowd")
		}
		odd("a crowd", 3)
		close(over)
		calm.Wait()
		refused := rnd.IntN(3)
		w.Store.RefuseNode(w.Nodes()[refused])
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		odd("one node is refused", 3)
		w.Store.AcceptNode(w.Nodes()[refused])
		w.Store.SetOutage(true)
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		odd("an outage", 0)
		w.KillAll()
		w.Store.SetOutage(false)
		w.Cloud.SetOutage(true)
		w.StartAll()
		time.Sleep(time.Duration(300+rnd.IntN(3000)) * time.Millisecond)
		odd("all begin anew", 0)
		w.Cloud.SetOutage(false)
		time.Sleep(10 * time.Second)
		odd("quiet again", 3)
		return met
	})
}

// The transaction that accepts a job hangs, and nobody knows whether it will be carried out:
// meanwhile the other nodes don't know the job and say so at once. It is carried out late, beside
// the client's next submission or instead of it, and the job is accepted once.
func TestAcceptanceIsNeverConfirmedToItsUser(t *testing.T) {
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (met int) {
		for n := range 6 {
			j, a := shortJob(n+1), rnd.IntN(3)
			w.Store.DelayNextTransaction(time.Duration(3000+rnd.IntN(9000)) * time.Millisecond)
			var wg sync.WaitGroup
			var status int
			kills := rnd.IntN(2) == 0
			wg.Go(func() { status, _ = w.SubmitTo(a, j) })
			time.Sleep(time.Duration(20+rnd.IntN(1500)) * time.Millisecond)
			for b := range 3 {
				if w.QueryStatus(b, j.ID) == http.StatusNotFound && !keyExists(w, jobstore.JobKey(j.ID)) {
					met++
				} else {
					t.Errorf("%s is known, or not told to be unknown, at node %d", j.ID, b)
				}
			}
			if kills {
				w.KillNode(a)
			}
			wg.Wait()
			again := rnd.IntN(2) == 0 || !kills
			if again && !w.Submit(j) {
				t.Errorf("%s is not accepted, after %d", j.ID, status)
			}
			w.StartNode(a)
			time.Sleep(10 * time.Second)
			if again {
				mustReach(t, w, j.ID, wire.JobDone, time.Minute)
			}
			w.QueryConcurrently(j.ID, 1)
		}
		return met
	})
}

// Four single-task jobs a second are submitted for minutes, a quarter of them is cancelled, and
// clients poll meanwhile: submissions and cancellations are answered, final records are written as
// fast as jobs end, and no record is left over. Where that is more than the key-value store takes,
// the leader's own writes wait, and users don't.
func TestManySmallJobsForMinutes(t *testing.T) {
	t.Run("enough changes a second", func(t *testing.T) {
		manySmallJobs(t, 3*time.Minute, 25, 60, 2*time.Second, 2*time.Second, 3*time.Second)
	})
	t.Run("too few", func(t *testing.T) {
		manySmallJobs(t, time.Minute, 15, 100, 300*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	})
}

// manySmallJobs submits jobs while the key-value store takes the given number of changes a second,
// and asserts that there are at most so many keys of unfinished jobs at once, and that nothing
// takes longer than its bound.
//
//nolint:revive // argument-limit: each is a bound of the variant, read at its call
func manySmallJobs(t *testing.T, during time.Duration, changes float64, keys int, accept, cancel, end time.Duration) {
	t.Helper()
	if scenario.UnderRace {
		during = 30 * time.Second
	}
	runInteraction(t, 2, fake.Options{Machines: 10, Capacity: 10, StateRPS: 120, StateWPS: changes}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var slowestAccept, slowestCancel, slowestEnd time.Duration
		cancelled, most := 0, 0
		note := func(longest *time.Duration, since time.Time) {
			mu.Lock()
			*longest = max(*longest, time.Since(since))
			mu.Unlock()
		}
		n := 0
		for end := time.Now().Add(during); time.Now().Before(end); n++ {
			j, cancels, after := shortJob(n+1), rnd.IntN(4) == 0, time.Duration(rnd.IntN(3000))*time.Millisecond
			wg.Go(func() {
				at := time.Now()
				if !w.Submit(j) {
					t.Errorf("%s was not accepted", j.ID)
					return
				}
				note(&slowestAccept, at)
				if cancels {
					time.Sleep(after)
					at := time.Now()
					got := w.Cancel(j.ID)
					note(&slowestCancel, at)
					mu.Lock()
					if got == wire.JobCancelled {
						cancelled++
					}
					mu.Unlock()
					return
				}
				if !eventually(time.Minute, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
					t.Errorf("%s does not run", j.ID)
					return
				}
				at = time.Now()
				if !scenario.Eventually(time.Minute, 100*time.Millisecond, func() bool { return keyExists(w, jobstore.FinalKey(j.ID)) }) {
					t.Errorf("%s is not recorded as done", j.ID)
				}
				note(&slowestEnd, at)
				w.PollState(w.AnyNodeAddr(), j.ID)
			})
			time.Sleep(250 * time.Millisecond)
			most = max(most, len(w.Store.JobKeys()))
		}
		wg.Wait()
		t.Logf("%d jobs, %d cancelled, slowest: accepted %v, cancelled %v, done %v; at most %d keys of unfinished jobs", n, cancelled, slowestAccept, slowestCancel, slowestEnd, most)
		if slowestAccept > accept || slowestCancel > cancel || slowestEnd > end {
			t.Errorf("slowest: accepted %v, cancelled %v, done %v", slowestAccept, slowestCancel, slowestEnd)
		}
		if most > keys {
			t.Errorf("%d keys of unfinished jobs at once", most)
		}
		time.Sleep(10 * time.Second)
		if left := w.Store.JobKeys(); len(left) > 0 {
			t.Errorf("left of jobs that are over: %v", left)
		}
		if got := len(w.Store.Keys(jobstore.FinalKey(""))); got != n {
			t.Errorf("%d ends of %d jobs", got, n)
		}
		return cancelled
	})
}
