package jobstore_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// The fault that these tests are about: with the key-value store's write rate used up, its single
// changes went to whoever asked, and a transaction with the cancellations of a whole job page was
// refused, again and again. Its users were sent away, came back together a second later, and shared a
// transaction as large as the one before, for up to 20 s. It showed as `transaction ended` with
// changes=5 to 12 and a refusal, and as `queued write ended` with result=refused for all of them at once.

// userTimeout is how long a controller lets a user's write take.
const userTimeout = 3500 * time.Millisecond

// runOnePage calls play with a running store, after jobs 0 to n-1 have been accepted on one head page.
func runOnePage(t *testing.T, s *fakeStore, n int, play func(t *testing.T, r *jobstore.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			acceptAtOnce(t, stores[0], 1000, 1010) // opens the head page
			acceptAtOnce(t, stores[0], 0, n)
			for i := range n {
				if at := s.keysOf(job(i).ID); len(at) != 1 || at[0] != jobstore.HeadPageKey(0) {
					t.Fatalf("job %d is at %v", i, at)
				}
			}
			play(t, stores[0])
		})
	})
}

// acceptAtOnce has jobs of some numbers accepted concurrently.
func acceptAtOnce(t *testing.T, r *jobstore.Store, from, to int) {
	t.Helper()
	var wg sync.WaitGroup
	for n := from; n < to; n++ {
		wg.Go(func() {
			if _, ok := submit(t.Context(), r, job(n)); !ok {
				t.Errorf("job %d was not accepted", n)
			}
		})
	}
	wg.Wait()
}

// cancelsJobs reports whether a transaction has final records.
func cancelsJobs(ops []wire.Op) bool {
	return slices.ContainsFunc(ops, func(op wire.Op) bool { return strings.HasPrefix(op.Put, "f/") })
}

// cancelWithin cancels a job as a controller does for a user.
func cancelWithin(t *testing.T, r *jobstore.Store, n int, timeout time.Duration) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, _, err := r.Cancel(ctx, job(n).ID)
	return err
}

// The store refuses every transaction of more than two changes, as a saturated one does. Cancellations
// of 12 jobs of a page arrive at once: each must be committed within its first request.
func TestCancellationsAreDividedAfterARefusal(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 12, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func(ops []wire.Op) error {
			if len(ops) > 2 {
				return kvstore.ErrRateLimited
			}
			return nil
		})
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() {
				if err := cancelWithin(t, r, n, userTimeout); err != nil {
					t.Errorf("job %d: %v", n, err)
				}
			})
		}
		wg.Wait()
	})
}

// The store refuses all cancellations for as long as they come. Submissions that wait beside them must
// be committed, each behind at most two transactions of cancellations.
func TestRefusedCancellationsDoNotStarveSubmissions(t *testing.T) {
	const turns = 2
	s := newFakeStore(1)
	runOnePage(t, s, 10, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		refusedInARow, waiting := 0, 0
		s.setRefuse(func(ops []wire.Op) error {
			if !cancelsJobs(ops) {
				refusedInARow = 0
				return nil
			}
			if refusedInARow++; refusedInARow > turns && waiting > 0 {
				t.Errorf("%d transactions of cancellations while submissions wait", refusedInARow)
			}
			return kvstore.ErrRateLimited
		})
		var wg sync.WaitGroup
		for n := range 10 {
			wg.Go(func() { _ = cancelWithin(t, r, n, userTimeout) })
		}
		time.Sleep(50 * time.Millisecond)
		for n := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 100 * time.Millisecond)
				s.mu.Lock()
				if waiting++; waiting == 1 {
					refusedInARow = -1 // one may be in flight
				}
				s.mu.Unlock()
				ctx, cancel := context.WithTimeout(t.Context(), userTimeout)
				defer cancel()
				if _, err := r.Accept(ctx, job(100+n), time.Now()); err != nil {
					t.Errorf("submission %d: %v", n, err)
				}
				s.mu.Lock()
				waiting--
				s.mu.Unlock()
			})
		}
		wg.Wait()
	})
}

// A requester whose time runs out while its cancellation waits in the queue is told that nothing was
// done, and nothing is done later either. One whose transaction is in flight is told that the outcome is
// unknown.
func TestAbandonedCancellations(t *testing.T) {
	t.Run("in the queue", func(t *testing.T) {
		s := newFakeStore(1)
		runOnePage(t, s, 2, func(t *testing.T, r *jobstore.Store) {
			t.Helper()
			s.setRefuse(func([]wire.Op) error { return kvstore.ErrRateLimited })
			err := cancelWithin(t, r, 0, userTimeout)
			time.Sleep(time.Second)
			s.setRefuse(nil)
			if !errors.Is(err, kvstore.ErrRateLimited) && !errors.Is(err, kvstore.ErrOutcomeUnknown) {
				t.Errorf("a cancellation that was never executed: %v", err)
			}
			time.Sleep(10 * time.Second)
			if status, found, err := r.Lookup(t.Context(), job(0).ID); err != nil || !found || status.Version == 0 {
				t.Errorf("a job whose cancellation was refused: %+v, found %v, %v", status, found, err)
			}
		})
	})
	t.Run("in flight", func(t *testing.T) {
		s := newFakeStore(1)
		runOnePage(t, s, 2, func(t *testing.T, r *jobstore.Store) {
			t.Helper()
			s.beforeAnswer = func([]wire.Op) { time.Sleep(time.Second) }
			if err := cancelWithin(t, r, 0, 500*time.Millisecond); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
				t.Errorf("a cancellation that is in flight: %v", err)
			}
		})
	})
}

// A store that is out (503) is not waited for: the requester learns it at once and can ask elsewhere.
func TestCancellationsDoNotWaitForAStoreThatIsOut(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 2, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func([]wire.Op) error { return kvstore.ErrRefused })
		began := time.Now()
		if err := cancelWithin(t, r, 0, userTimeout); !errors.Is(err, kvstore.ErrRefused) || time.Since(began) > 500*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}

// A user who is sent away and comes back is served before those who came in the meantime.
func TestReturningCancellationsKeepTheirTurn(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 9, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func([]wire.Op) error { return kvstore.ErrRateLimited })
		if err := cancelWithin(t, r, 0, time.Second); err == nil {
			t.Fatal("a refused cancellation succeeded")
		}
		var wg sync.WaitGroup
		for n := 1; n < 9; n++ {
			wg.Go(func() { _ = cancelWithin(t, r, n, userTimeout) })
		}
		time.Sleep(time.Second)
		var order []string
		s.setRefuse(func(ops []wire.Op) error {
			if len(ops) > 2 {
				return kvstore.ErrRateLimited
			}
			order = append(order, ops[1].Put)
			return nil
		})
		wg.Go(func() {
			if err := cancelWithin(t, r, 0, userTimeout); err != nil {
				t.Errorf("the one that came back: %v", err)
			}
		})
		wg.Wait()
		if at := slices.Index(order, jobstore.FinalKey(job(0).ID)); at < 0 || at > 1 { // one may be in flight when it returns
			t.Errorf("the one that came back is at %d of %v", at, order)
		}
	})
}

// Jobs with keys of their own are cancelled by transactions of their own. Refused ones wait in the queue
// too, so that their users are not sent away.
func TestRefusedCancellationsOfSingleJobsAreRepeated(t *testing.T) {
	s := newFakeStore(1)
	synctest.Test(t, func(t *testing.T) {
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			if _, ok := submit(t.Context(), stores[0], job(0)); !ok {
				t.Fatal("not accepted")
			}
			refusals := 0
			s.setRefuse(func([]wire.Op) error {
				if refusals++; refusals > 5 {
					return nil
				}
				return kvstore.ErrRateLimited
			})
			if err := cancelWithin(t, stores[0], 0, userTimeout); err != nil {
				t.Errorf("after %d refusals: %v", refusals, err)
			}
		})
	})
}

// The write limiter grants nothing for a second, as it does while the store refuses changes. A
// cancellation waits for it, and meanwhile the leader ends another job of its page. The writer had
// composed the transaction before it waited, so that the page's version was out of date: `transaction
// ended` with result=conflict after a limiter_wait of up to 0.4 s, and again after the next wait.
func TestTransactionIsComposedAfterTheWaitForTheRateLimit(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 10, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		before := s.conflicts // while the page was opened
		s.withholdCapacity(time.Second)
		var wg sync.WaitGroup
		wg.Go(func() {
			if err := cancelWithin(t, r, 0, userTimeout); err != nil {
				t.Errorf("job 0: %v", err)
			}
		})
		time.Sleep(400 * time.Millisecond)
		if !s.finishJob(job(1).ID) {
			t.Error("job 1 was not ended")
		}
		if _, _, err := r.Lookup(t.Context(), job(1).ID); err != nil { // reads what has changed
			t.Error(err)
		}
		wg.Wait()
		if n := s.conflicts - before; n > 0 {
			t.Errorf("%d transactions conflicted with the leader's", n)
		}
	})
}
