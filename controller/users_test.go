// Scenarios of faults that interact in requests of users: submissions, status queries and
// cancellations. Each scenario fails if its faults didn't overlap. docs/fault-interactions.md lists
// the scenarios, and the guards in the code that make them pass.

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

// runInteraction runs a scenario with the given number of seeds, or with as many as STORY_SEEDS
// sets. play returns how often the faults interacted, which must not be 0. The functions in bothWon
// report whether each side of a race has won so far. Up to eight more seeds are run until all of
// them do, since one side may never win in a single seed by chance.
func runInteraction(t *testing.T, seeds uint64, o fake.Options, play func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int, bothWon ...func() bool) {
	t.Helper()
	if n, many := seedCount(); many {
		seeds = n
	} else if scenario.UnderRace {
		seeds = 1
	}
	const moreSeeds = 8
	oneSided := func() bool { return slices.ContainsFunc(bothWon, func(won func() bool) bool { return !won() }) }
	for seed := uint64(1); seed <= seeds || seed <= seeds+moreSeeds && oneSided(); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := o
			o.Seed = seed
			runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
				interactions := play(t, w, rand.New(rand.NewPCG(seed, 29)))
				if interactions == 0 {
					t.Error("the faults did not interact")
				}
				t.Logf("the faults interacted %d times", interactions)
			})
		})
	}
}

// bothOutcomesOccurred returns a function for runInteraction. It reports whether some jobs ended as
// done and some as cancelled.
func bothOutcomesOccurred(ends map[string]int) func() bool {
	return func() bool { return ends[wire.JobDone] > 0 && ends[wire.JobCancelled] > 0 }
}

// shortJob returns a job of one task of 2 s.
func shortJob(n int) wire.Job {
	return job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 2, 0.1 })
}

// eventually waits for a condition that may hold for a moment only. It checks every millisecond,
// and reports whether the condition held.
func eventually(within time.Duration, ok func() bool) bool {
	return scenario.Eventually(within, time.Millisecond, ok)
}

func keyExists(w *fake.Cluster, key string) bool {
	return w.Store.Value(key) != nil
}

// Clients query all nodes within milliseconds, and submit once more, just after their job was
// accepted, done or cancelled. The key-value store refuses one node, which asks the others instead.
// Nodes are paused repeatedly for a moment. A node with an old view could answer with an older
// state than the client has already seen. The checker reports such answers.
func TestAllPeersAreQueriedConcurrently(t *testing.T) {
	runInteraction(t, 3, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
		w.Store.SetLatency(time.Duration(rnd.IntN(40)) * time.Millisecond)
		refused := rnd.IntN(3)
		w.Store.RefuseNode(w.Nodes()[refused])
		time.Sleep(6 * time.Second) // it may have been the leader
		done := make(chan struct{})
		var pauses, wg sync.WaitGroup
		pauses.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-time.After(300 * time.Millisecond):
				}
				w.PauseNode((refused + 1 + i%2) % 3)
				time.Sleep(time.Duration(100+100*(i%4)) * time.Millisecond)
				w.ResumeNode((refused + 1 + i%2) % 3)
			}
		})
		var answersOfRefused, answers atomic.Int64
		query := func(id string) {
			counts := w.QueryConcurrently(id, 2)
			answersOfRefused.Add(int64(counts[refused]))
			for _, n := range counts {
				answers.Add(int64(n))
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
					query(j.ID)
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
				query(j.ID)
			})
		}
		wg.Wait()
		close(done)
		pauses.Wait()
		w.Store.AcceptNode(w.Nodes()[refused])
		if answers.Load() < 100 {
			t.Errorf("%d answers in total, want at least 100", answers.Load())
		}
		return int(answersOfRefused.Load())
	})
}

// A node's transaction is carried out at once and only its reply is lost. Other nodes read the
// change and act on it before the sender knows of it. The sender's answer to its client must not be
// older than the answers of the other nodes.
func TestPeersReadCommitsUnknownToTheirSender(t *testing.T) {
	loseReply := func(w *fake.Cluster, rnd *rand.Rand, key string) bool {
		w.Store.DropReplies(0, 1, rnd.Uint64())
		stored := eventually(5*time.Second, func() bool { return keyExists(w, key) })
		w.Store.DropReplies(0, 0, 0)
		return stored
	}
	t.Run("a submission", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j, sender := shortJob(n+1), rnd.IntN(3)
				reader := (sender + 1 + rnd.IntN(2)) % 3
				var answered atomic.Bool
				var wg sync.WaitGroup
				var status int
				var state string
				wg.Go(func() { status, state = w.SubmitTo(sender, j); answered.Store(true) })
				if !loseReply(w, rnd, jobstore.JobKey(j.ID)) {
					t.Errorf("%s is not in the store", j.ID)
				}
				read := w.PollState(w.NodeAddr(reader), j.ID) != "" && !answered.Load()
				want := ""
				if rnd.IntN(2) == 0 {
					time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					want = w.CancelAt(w.NodeAddr(reader), j.ID)
					read = read && want != "" && !answered.Load()
				}
				w.QueryConcurrently(j.ID, 1)
				wg.Wait()
				if read {
					interactions++
				}
				if status != http.StatusOK || read && want != "" && state != want {
					t.Errorf("%s: the sender answered %d, %q, another node %q", j.ID, status, state, want)
				}
				w.QueryConcurrently(j.ID, 1)
			}
			return interactions
		})
	})
	t.Run("a cancellation", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j, sender := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 }), rnd.IntN(3)
				mustSubmit(t, w, j)
				time.Sleep(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				var answered atomic.Bool
				var wg sync.WaitGroup
				var state string
				wg.Go(func() { state = w.CancelAt(w.NodeAddr(sender), j.ID); answered.Store(true) })
				if !loseReply(w, rnd, jobstore.FinalKey(j.ID)) {
					t.Errorf("%s is not cancelled in the store", j.ID)
				}
				if w.PollState(w.NodeAddr((sender+1)%3), j.ID) == wire.JobCancelled && !answered.Load() {
					interactions++
				}
				w.QueryConcurrently(j.ID, 1)
				wg.Wait()
				if state != wire.JobCancelled {
					t.Errorf("%s: the sender answered %q", j.ID, state)
				}
				w.QueryConcurrently(j.ID, 1)
			}
			return interactions
		})
	})
	t.Run("an end", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j := shortJob(n + 1)
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return w.FinishedTasks(j.ID) == 1 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				started := w.Started()
				if !loseReply(w, rnd, jobstore.FinalKey(j.ID)) {
					t.Errorf("%s has no final record in the store", j.ID)
				}
				if sent, _ := w.Store.UnansweredTransactions(); sent > interactions {
					interactions++
				}
				// The leader gets no reply for 2 s.
				if got := w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID); got != wire.JobDone {
					t.Errorf("cancelling %s, which is done, returned %q", j.ID, got)
				}
				w.QueryConcurrently(j.ID, 2)
				time.Sleep(10 * time.Second)
				if n := w.Started() - started; n > 0 {
					t.Errorf("%d tasks of %s started again", n, j.ID)
				}
			}
			return interactions
		})
	})
	t.Run("a placement", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 })
				had, _ := w.Store.UnansweredTransactions()
				mustSubmit(t, w, j)
				w.Store.DropReplies(0, 1, rnd.Uint64())
				eventually(5*time.Second, func() bool { sent, _ := w.Store.UnansweredTransactions(); return sent > had })
				w.Store.DropReplies(0, 0, 0)
				started := w.Started()
				if got := w.CancelAt(w.NodeAddr(rnd.IntN(3)), j.ID); got != wire.JobCancelled {
					t.Errorf("cancelling %s returned %q", j.ID, got)
				}
				// The placement is committed, and the leader got no reply.
				if sent, done := w.Store.UnansweredTransactions(); sent > had && done == sent && len(w.Store.Keys(strings.TrimSuffix(jobstore.PlacementPageKey(0), "0"))) > 0 {
					interactions++
				}
				w.QueryConcurrently(j.ID, 1)
				time.Sleep(8 * time.Second)
				if n := w.Started() - started; n > 0 || len(w.MachinesRunning(j.ID+"/0")) > 0 {
					t.Errorf("%s is cancelled and was started %d times", j.ID, n)
				}
			}
			return interactions
		})
	})
}

// A transaction has no reply because it is still in flight. It is carried out long after its sender
// has given up on it. A sender that takes it for carried out before then gives wrong answers.
func TestUnansweredRequestsWereNotExecuted(t *testing.T) {
	t.Run("a cancellation", func(t *testing.T) {
		ends := map[string]int{}
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j, sender := shortJob(n+1), rnd.IntN(3)
				if n%3 == 2 {
					j.EstimateS = 60
				}
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return len(w.MachinesRunning(j.ID+"/0")) > 0 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				time.Sleep(randomDuration(rnd, 500*time.Millisecond, 1500*time.Millisecond))
				deliver := w.Store.HoldNextTransactionOn(jobstore.FinalKey(j.ID))
				defer deliver()
				var answered atomic.Bool
				var wg sync.WaitGroup
				var state string
				wg.Go(func() { state = w.CancelAt(w.NodeAddr(sender), j.ID); answered.Store(true) })
				inFlight := eventually(time.Second, func() bool { return w.Store.PendingTransactions() > 0 })
				// The sender reads the store again after 2 s. The job may have ended by then.
				ended := eventually(10*time.Second, func() bool { return answered.Load() || keyExists(w, jobstore.FinalKey(j.ID)) })
				if inFlight && ended && !answered.Load() {
					interactions++
				}
				wg.Wait()
				if want := w.PollState(w.AnyNodeAddr(), j.ID); state != want {
					t.Errorf("%s: the sender answered %q, the job is %q", j.ID, state, want)
				}
				ends[state]++
				w.QueryConcurrently(j.ID, 1)
				deliver()
				time.Sleep(time.Second)
				w.QueryConcurrently(j.ID, 1)
			}
			return interactions
		}, bothOutcomesOccurred(ends))
		if !bothOutcomesOccurred(ends)() {
			t.Errorf("one outcome always won: %v", ends)
		}
		t.Log("ends:", ends)
	})
	t.Run("an end", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 6 {
				j, cancels := shortJob(n+1), rnd.IntN(2) == 0
				deliver := w.Store.HoldNextTransactionOn(jobstore.FinalKey(j.ID))
				defer deliver()
				mustSubmit(t, w, j)
				if !eventually(time.Minute, func() bool { return w.Store.PendingTransactions() > 0 }) {
					t.Fatalf("no transaction with the final record of %s is in flight", j.ID)
				}
				if w.FinishedTasks(j.ID) == 1 && !keyExists(w, jobstore.FinalKey(j.ID)) {
					interactions++
				}
				want := wire.JobDone
				if cancels {
					time.Sleep(randomDuration(rnd, 0, 3*time.Second))
					want = w.Cancel(j.ID)
				}
				if !eventually(10*time.Second, func() bool { return keyExists(w, jobstore.FinalKey(j.ID)) }) {
					t.Errorf("%s is done and has no final record", j.ID)
				}
				w.QueryConcurrently(j.ID, 1)
				deliver()
				time.Sleep(randomDuration(rnd, 0, time.Second))
				if got := w.PollState(w.AnyNodeAddr(), j.ID); got != want {
					t.Errorf("%s is %q, and was %q before", j.ID, got, want)
				}
			}
			if !scenario.Eventually(10*time.Second, 100*time.Millisecond, func() bool { return len(w.Store.JobKeys()) == 0 }) {
				t.Errorf("records of finished jobs remain: %v", w.Store.JobKeys())
			}
			return interactions
		})
	})
	t.Run("a placement", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			for n := range 4 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 20, 0.1 })
				deliver := w.Store.HoldNextTransactionOn(pageKeys)
				defer deliver()
				started := w.Started()
				mustSubmit(t, w, j)
				if !eventually(20*time.Second, func() bool { return len(w.MachinesRunning(j.ID+"/0")) > 0 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				if w.Store.PendingTransactions() > 0 {
					interactions++
				}
				// The next leader knows only what is in the store.
				l := awaitLeader(t, w, 10*time.Second, anyNode)
				w.KillNode(l)
				awaitLeader(t, w, 20*time.Second, func(i int) bool { return i != l })
				time.Sleep(randomDuration(rnd, 0, 5*time.Second))
				deliver()
				w.StartNode(l)
				mustFinish(t, w, time.Minute, n+1)
				if n := w.Started() - started; n != 1 {
					t.Errorf("%s has one task and was started %d times", j.ID, n)
				}
			}
			return interactions
		})
	})
	t.Run("a placement of a job that is cancelled meanwhile", func(t *testing.T) {
		runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
			time.Sleep(3 * time.Second)
			for n := range 8 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 60, 0.1 })
				deliver := w.Store.HoldNextTransactionOn(pageKeys)
				defer deliver()
				mustSubmit(t, w, j)
				// Without watches the leader learns of changes only by the read barriers of its
				// renewals.
				node := w.Nodes()[awaitLeader(t, w, 10*time.Second, anyNode)]
				w.Store.SilenceWatches(node)
				inFlight := eventually(10*time.Second, func() bool { return w.Store.PendingTransactions() > 0 })
				started := w.Started()
				got := w.CancelAt(w.AnyNodeAddr(), j.ID)
				if inFlight && got == wire.JobCancelled && w.Store.PendingTransactions() > 0 {
					interactions++
				}
				deliver()
				time.Sleep(randomDuration(rnd, 4*time.Second, 6*time.Second))
				w.Store.ResumeWatches(node)
				if n := w.Started() - started; n > 0 || len(w.MachinesRunning(j.ID+"/0")) > 0 {
					t.Errorf("%s is cancelled and was started %d times", j.ID, n)
				}
			}
			return interactions
		})
	})
}

// Unusual requests arrive at every node without faults, while many jobs are submitted, while the
// key-value store refuses one node, during an outage of the store, and after all nodes have been
// restarted. A node that is not ready could answer them wrongly. Each must get its proper answer or
// a temporary refusal.
func TestUnusualRequestsDuringFaults(t *testing.T) {
	teams := []config.Team{{Name: "core", CPUsMax: 20}, {Name: "edge"}}
	runInteraction(t, 3, fake.Options{Machines: 4, Capacity: 4, Teams: teams}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
		for n := range 6 {
			mustSubmit(t, w, shortJob(n+1), job(100+n, func(j *wire.Job) { j.Team, j.Kind, j.EstimateS = "edge", wire.KindService, 0 }))
		}
		mustFinish(t, w, time.Minute, 1, 2, 3, 4, 5, 6)
		sendUnusual := func(when string, least int) {
			answers := w.SendUnusualRequests(20)
			t.Log(when, answers)
			if answers.Known < least || answers.Refused < least || answers.Unknown < least {
				t.Errorf("%s: only %+v were answered", when, answers)
			}
			interactions += answers.Known
		}
		sendUnusual("no faults", 3)
		stop, load := make(chan struct{}), sync.WaitGroup{}
		load.Go(func() {
			var wg sync.WaitGroup
			defer wg.Wait()
			for n := range 500 {
				select {
				case <-stop:
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
			t.Error("no head page is open: the load is too small")
		}
		sendUnusual("many submissions", 3)
		close(stop)
		load.Wait()
		refused := rnd.IntN(3)
		w.Store.RefuseNode(w.Nodes()[refused])
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		sendUnusual("one node is refused", 3)
		w.Store.AcceptNode(w.Nodes()[refused])
		w.Store.SetOutage(true)
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
		sendUnusual("an outage", 0)
		w.KillAll()
		w.Store.SetOutage(false)
		w.Cloud.SetOutage(true)
		w.StartAll()
		time.Sleep(time.Duration(300+rnd.IntN(3000)) * time.Millisecond)
		sendUnusual("all nodes restarted", 0)
		w.Cloud.SetOutage(false)
		time.Sleep(10 * time.Second)
		sendUnusual("no faults any more", 3)
		return interactions
	})
}

// The transaction that accepts a job hangs, so that no node knows whether it will be carried out.
// Meanwhile the other nodes answer at once that the job is unknown. The transaction is carried out
// late, beside the client's next submission or instead of it. The job could be accepted twice then.
// It must be accepted once.
func TestAcceptanceIsNeverConfirmedToItsUser(t *testing.T) {
	runInteraction(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) (interactions int) {
		for n := range 6 {
			j, receiver := shortJob(n+1), rnd.IntN(3)
			w.Store.DelayNextTransaction(time.Duration(3000+rnd.IntN(9000)) * time.Millisecond)
			var wg sync.WaitGroup
			var status int
			killReceiver := rnd.IntN(2) == 0
			wg.Go(func() { status, _ = w.SubmitTo(receiver, j) })
			time.Sleep(time.Duration(20+rnd.IntN(1500)) * time.Millisecond)
			for node := range 3 {
				if w.QueryStatus(node, j.ID) == http.StatusNotFound && !keyExists(w, jobstore.JobKey(j.ID)) {
					interactions++
				} else {
					t.Errorf("%s: node %d did not answer that the job is unknown", j.ID, node)
				}
			}
			if killReceiver {
				w.KillNode(receiver)
			}
			wg.Wait()
			resubmit := rnd.IntN(2) == 0 || !killReceiver
			if resubmit && !w.Submit(j) {
				t.Errorf("%s is not accepted again after status %d", j.ID, status)
			}
			w.StartNode(receiver)
			time.Sleep(10 * time.Second)
			if resubmit {
				mustReach(t, w, j.ID, wire.JobDone, time.Minute)
			}
			w.QueryConcurrently(j.ID, 1)
		}
		return interactions
	})
}

// Four single-task jobs a second are submitted for minutes, a quarter of them is cancelled, and
// clients poll meanwhile. Records could pile up, or users could wait behind the leader's writes.
// Submissions and cancellations must be answered, final records written as fast as jobs end, and no
// record may remain. If the key-value store takes fewer changes than needed, the leader's own
// writes wait and users don't.
func TestManySmallJobsForMinutes(t *testing.T) {
	t.Run("enough changes a second", func(t *testing.T) {
		manySmallJobs(t, 3*time.Minute, 25, 60, 2*time.Second, 2*time.Second, 3*time.Second)
	})
	t.Run("too few", func(t *testing.T) {
		manySmallJobs(t, time.Minute, 15, 100, 300*time.Millisecond, 500*time.Millisecond, 30*time.Second)
	})
}

// manySmallJobs submits jobs while the key-value store takes the given number of changes a second.
// It asserts that there are at most maxKeys keys of unfinished jobs at once, and that no
// acceptance, cancellation or final record takes longer than its bound.
//
//nolint:revive // argument-limit: each is a bound of the variant, read at its call
func manySmallJobs(t *testing.T, during time.Duration, changesPerSecond float64, maxKeys int, maxAccept, maxCancel, maxFinal time.Duration) {
	t.Helper()
	if scenario.UnderRace {
		during = 30 * time.Second
	}
	runInteraction(t, 2, fake.Options{Machines: 10, Capacity: 10, StateRPS: 120, StateWPS: changesPerSecond}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) int {
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
		if slowestAccept > maxAccept || slowestCancel > maxCancel || slowestEnd > maxFinal {
			t.Errorf("slower than a bound of this variant: accepted %v, cancelled %v, done %v", slowestAccept, slowestCancel, slowestEnd)
		}
		if most > maxKeys {
			t.Errorf("%d keys of unfinished jobs at once, want at most %d", most, maxKeys)
		}
		time.Sleep(10 * time.Second)
		if left := w.Store.JobKeys(); len(left) > 0 {
			t.Errorf("records of finished jobs remain: %v", left)
		}
		if got := len(w.Store.Keys(jobstore.FinalKey(""))); got != n {
			t.Errorf("%d final records of %d jobs", got, n)
		}
		return cancelled
	})
}
