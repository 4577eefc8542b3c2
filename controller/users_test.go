package controller_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/tell"
	"github.com/umberdeal/umberdeal/ledger"
	"github.com/umberdeal/umberdeal/wire"
)

// Stories in which troubles meet at the users' door. Each sees to it that they do
// meet: one in which they miss one another fails. docs/meetings-U.md lists them with
// the guards that keep the rules.

// meetings plays a story for a few seeds, or for as many as STORY_SEEDS says. It
// returns how often its troubles met.
func meetings(t *testing.T, seeds uint64, o fake.Options, play func(t *testing.T, w *fake.World, rnd *rand.Rand) int) {
	t.Helper()
	if n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64); err == nil {
		seeds = n
	} else if tell.UnderRace {
		seeds = 1
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o := o
			o.Seed = seed
			story(t, o, func(t *testing.T, w *fake.World) {
				met := play(t, w, rand.New(rand.NewPCG(seed, 29)))
				if met == 0 {
					t.Error("the troubles missed one another")
				}
				t.Logf("they met %d times", met)
			})
		})
	}
}

// quick is a job of one task of 2 s.
func quick(n int) wire.Job {
	return job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = 1, 1, 2, 0.1 })
}

// when waits for what will be so at any moment, and says whether it was.
func when(within time.Duration, ok func() bool) bool {
	return tell.Until(within, time.Millisecond, ok)
}

func exists(w *fake.World, key string) bool {
	return w.State.Value(key) != nil
}

// Users look at all nodes within milliseconds, and submit once more, just after
// their job was accepted, was done or was cancelled. One node is refused by the state
// service and asks the others, and nodes stand still for a moment again and again. No
// answer is older than one that the user had before asking.
func TestAllNodesAreAskedAtOnce(t *testing.T) {
	meetings(t, 3, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) int {
		w.State.Slow(time.Duration(rnd.IntN(40)) * time.Millisecond)
		refused := rnd.IntN(3)
		w.State.Refuse(w.Nodes()[refused], true)
		time.Sleep(6 * time.Second) // it may have led
		over := make(chan struct{})
		var stands, wg sync.WaitGroup
		stands.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(300 * time.Millisecond):
				}
				w.Stop((refused+1+i%2)%3, true)
				time.Sleep(time.Duration(100+100*(i%4)) * time.Millisecond)
				w.Stop((refused+1+i%2)%3, false)
			}
		})
		var byWay, looks atomic.Int64
		look := func(id string) {
			told := w.CloseLooks(id, 2)
			byWay.Add(int64(told[refused]))
			for _, n := range told {
				looks.Add(int64(n))
			}
		}
		for n := range 15 {
			j, cancels, at, wait := quick(n+1), rnd.IntN(3), rnd.IntN(3), time.Duration(rnd.IntN(800))*time.Millisecond
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
						if w.CancelAt(w.Bind(at), j.ID) != "" {
							break
						}
					}
				} else if !tell.Until(time.Minute, 50*time.Millisecond, func() bool { return w.Poll(w.Bind(at), j.ID) == wire.JobDone }) {
					t.Errorf("%s is not done", j.ID)
				}
				look(j.ID)
			})
		}
		wg.Wait()
		close(over)
		stands.Wait()
		w.State.Refuse(w.Nodes()[refused], false)
		if looks.Load() < 100 {
			t.Errorf("%d answers in all", looks.Load())
		}
		return int(byWay.Load())
	})
}

// A node's transaction is carried out at once and only its answer is lost: others
// read it, and act on it, before its sender knows. Whatever the sender says then is
// not older than what they have said.
func TestOthersReadWhatItsSenderDoesNotKnow(t *testing.T) {
	lose := func(w *fake.World, rnd *rand.Rand, key string) bool {
		w.State.LoseAnswers(0, 1, rnd.Uint64())
		met := when(5*time.Second, func() bool { return exists(w, key) })
		w.State.LoseAnswers(0, 0, 0)
		return met
	}
	t.Run("a submission", func(t *testing.T) {
		meetings(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, a := quick(n+1), rnd.IntN(3)
				b := (a + 1 + rnd.IntN(2)) % 3
				var knows atomic.Bool
				var wg sync.WaitGroup
				var status int
				var state string
				wg.Go(func() { status, state = w.SubmitAt(a, j); knows.Store(true) })
				if !lose(w, rnd, ledger.JobKey(j.ID)) {
					t.Errorf("%s is not in the store", j.ID)
				}
				read := w.Poll(w.Bind(b), j.ID) != "" && !knows.Load()
				want := ""
				if rnd.IntN(2) == 0 {
					time.Sleep(time.Duration(rnd.IntN(1500)) * time.Millisecond)
					want = w.CancelAt(w.Bind(b), j.ID)
					read = read && want != "" && !knows.Load()
				}
				w.CloseLooks(j.ID, 1)
				wg.Wait()
				if read {
					met++
				}
				if status != http.StatusOK || read && want != "" && state != want {
					t.Errorf("%s: the sender says %d, %q, others %q", j.ID, status, state, want)
				}
				w.CloseLooks(j.ID, 1)
			}
			return met
		})
	})
	t.Run("a cancellation", func(t *testing.T) {
		meetings(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j, a := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 }), rnd.IntN(3)
				mustSubmit(t, w, j)
				time.Sleep(time.Duration(rnd.IntN(6000)) * time.Millisecond)
				var knows atomic.Bool
				var wg sync.WaitGroup
				var state string
				wg.Go(func() { state = w.CancelAt(w.Bind(a), j.ID); knows.Store(true) })
				if !lose(w, rnd, ledger.FinalKey(j.ID)) {
					t.Errorf("%s is not cancelled in the store", j.ID)
				}
				if w.Poll(w.Bind((a+1)%3), j.ID) == wire.JobCancelled && !knows.Load() {
					met++
				}
				w.CloseLooks(j.ID, 1)
				wg.Wait()
				if state != wire.JobCancelled {
					t.Errorf("%s: the sender says %q", j.ID, state)
				}
				w.CloseLooks(j.ID, 1)
			}
			return met
		})
	})
	t.Run("an end", func(t *testing.T) {
		meetings(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j := quick(n + 1)
				mustSubmit(t, w, j)
				if !when(time.Minute, func() bool { return w.Finished(j.ID) == 1 }) {
					t.Fatalf("%s does not run", j.ID)
				}
				started := w.Started()
				if !lose(w, rnd, ledger.FinalKey(j.ID)) {
					t.Errorf("%s is not over in the store", j.ID)
				}
				if sent, _ := w.State.Unanswered(); sent > met {
					met++
				}
				// Its leader has no answer for 2 s.
				if got := w.CancelAt(w.Bind(rnd.IntN(3)), j.ID); got != wire.JobDone {
					t.Errorf("cancelling %s, which is done, is answered %q", j.ID, got)
				}
				w.CloseLooks(j.ID, 2)
				time.Sleep(10 * time.Second)
				if n := w.Started() - started; n > 0 {
					t.Errorf("%d tasks of %s started again", n, j.ID)
				}
			}
			return met
		})
	})
	t.Run("a placement", func(t *testing.T) {
		meetings(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) (met int) {
			for n := range 6 {
				j := job(n+1, func(j *wire.Job) { j.Tasks, j.EstimateS = 1, 60 })
				had, _ := w.State.Unanswered()
				mustSubmit(t, w, j)
				w.State.LoseAnswers(0, 1, rnd.Uint64())
				when(5*time.Second, func() bool { sent, _ := w.State.Unanswered(); return sent > had })
				w.State.LoseAnswers(0, 0, 0)
				started := w.Started()
				if got := w.CancelAt(w.Bind(rnd.IntN(3)), j.ID); got != wire.JobCancelled {
					t.Errorf("cancelling %s is answered %q", j.ID, got)
				}
				// The placement is in the store, and the leader does not know it.
				if sent, done := w.State.Unanswered(); sent > had && done == sent && len(w.State.Keys(strings.TrimSuffix(ledger.PageKey(0), "0"))) > 0 {
					met++
				}
				w.CloseLooks(j.ID, 1)
				time.Sleep(8 * time.Second)
				if n := w.Started() - started; n > 0 || len(w.On(j.ID+"/0")) > 0 {
					t.Errorf("%s, which is cancelled, was started %d times", j.ID, n)
				}
			}
			return met
		})
	})
}

// A cancellation, a question or a submission that is repeated comes after a job's
// last task has completed and before that is recorded. The first to be committed
// holds, at all nodes and for good.
func TestACancellationMeetsTheEndOfTheLastTask(t *testing.T) {
	ends := map[string]int{}
	meetings(t, 4, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.World, rnd *rand.Rand) (met int) {
		w.State.Slow(time.Duration(rnd.IntN(40)) * time.Millisecond)
		for n := range 24 {
			j := quick(n + 1)
			mustSubmit(t, w, j)
			if !when(time.Minute, func() bool { return w.Finished(j.ID) == 1 }) {
				t.Fatalf("%s does not run", j.ID)
			}
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Millisecond)
			between := w.Finished(j.ID) == 1 && !exists(w, ledger.FinalKey(j.ID))
			var looks sync.WaitGroup
			looks.Go(func() { w.CloseLooks(j.ID, 3) })
			got := ""
			for try := 0; got == "" && try < 20; try++ {
				got = w.CancelAt(w.Bind(rnd.IntN(3)), j.ID)
			}
			if between {
				met++
				ends[got]++
			}
			looks.Wait()
			w.CloseLooks(j.ID, 1)
		}
		time.Sleep(3 * time.Second)
		for n := range 24 {
			w.CloseLooks(quick(n+1).ID, 1)
		}
		if keys := w.State.JobKeys(); len(keys) > 0 {
			t.Errorf("left of jobs that are over: %v", keys)
		}
		return met
	})
	if ends[wire.JobDone] == 0 || ends[wire.JobCancelled] == 0 {
		t.Errorf("of those that met, one side always won: %v", ends)
	}
	t.Log("ends:", ends)
}
