// Tests of the queue of submissions and cancellations while the key-value store refuses writes.
//
// The fault: with the key-value store's write rate used up, single changes of other writers took the
// capacity, and a transaction with the cancellations of a whole job page was refused again and again. Its
// users were rejected, retried together a second later, and shared a transaction as large as the one
// before, for up to 20 s. The logs showed `transaction ended` with changes=5 to 12 and a refusal, and
// `queued write ended` with result=refused for all of the cancellations at once.

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

	"github.com/umberdeal/umberdeal/internal/golden"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// userTimeout is a controller's timeout for a user's write.
const userTimeout = 3500 * time.Millisecond

// runOnePage calls play with a running store, after jobs 0 to n-1 have been accepted on one head page.
func runOnePage(t *testing.T, s *fakeStore, n int, play func(t *testing.T, r *jobstore.Store)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			acceptConcurrently(t, stores[0], 1000, 1010) // opens the head page
			acceptConcurrently(t, stores[0], 0, n)
			for i := range n {
				if keys := s.keysOf(job(i).ID); len(keys) != 1 || keys[0] != jobstore.HeadPageKey(0) {
					t.Fatalf("job %d is on the keys %v, want only the head page", i, keys)
				}
			}
			play(t, stores[0])
		})
	})
}

// acceptConcurrently submits the jobs from number from to to-1 concurrently, until all are accepted.
func acceptConcurrently(t *testing.T, r *jobstore.Store, from, to int) {
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

// cancelsJobs reports whether a transaction writes final records.
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

// The store refuses every transaction of more than two changes, as a saturated store does. Cancellations
// of 12 jobs of a page arrive at once. Each must be committed within its first request.
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

// The store refuses all cancellations. Submissions that wait at the same time must be committed, each after
// at most two transactions of cancellations.
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
				t.Errorf("%d transactions of cancellations in a row while submissions wait, want at most %d", refusedInARow, turns)
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
					t.Errorf("submission of job %d: %v", 100+n, err)
				}
				s.mu.Lock()
				waiting--
				s.mu.Unlock()
			})
		}
		wg.Wait()
	})
}

// A requester's context ends while its cancellation waits in the queue. The error must say that nothing was
// executed, and nothing may be executed later. If the context ends while the transaction is in flight, the
// error must say that the outcome is unknown.
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
				t.Errorf("cancellation that was never executed: %v", err)
			}
			time.Sleep(10 * time.Second)
			if status, found, err := r.Lookup(t.Context(), job(0).ID); err != nil || !found || status.Version == 0 {
				t.Errorf("job whose cancellation was refused: %+v, found %v, %v; want it unfinished", status, found, err)
			}
		})
	})
	t.Run("in flight", func(t *testing.T) {
		s := newFakeStore(1)
		runOnePage(t, s, 2, func(t *testing.T, r *jobstore.Store) {
			t.Helper()
			s.beforeAnswer = func([]wire.Op) { time.Sleep(time.Second) }
			if err := cancelWithin(t, r, 0, 500*time.Millisecond); !errors.Is(err, kvstore.ErrOutcomeUnknown) {
				t.Errorf("cancellation that is in flight: %v, want ErrOutcomeUnknown", err)
			}
		})
	})
}

// The store is unavailable (503). The cancellation must not wait for it. The requester gets the error at
// once and can retry at another controller.
func TestCancellationsDoNotWaitForAStoreThatIsOut(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 2, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func([]wire.Op) error { return kvstore.ErrRefused })
		start := time.Now()
		if err := cancelWithin(t, r, 0, userTimeout); !errors.Is(err, kvstore.ErrRefused) || time.Since(start) > 500*time.Millisecond {
			t.Errorf("%v after %v, want ErrRefused within 500ms", err, time.Since(start))
		}
	})
}

// A user's cancellation is refused, and the user retries. It must be served before those that were first
// requested in the meantime.
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
				t.Errorf("retried cancellation: %v", err)
			}
		})
		wg.Wait()
		if at := slices.Index(order, jobstore.FinalKey(job(0).ID)); at < 0 || at > 1 { // one may be in flight at the retry
			t.Errorf("the retried cancellation is at %d of %v, want 0 or 1", at, order)
		}
	})
}

// A job with a key of its own is cancelled in a transaction of its own. If this transaction is refused, it
// must also wait in the queue, so that the user's request does not fail.
func TestRefusedCancellationsOfSingleJobsAreRepeated(t *testing.T) {
	s := newFakeStore(1)
	synctest.Test(t, func(t *testing.T) {
		s.setSchema(1)
		runStores(t, 1, s, func(stores []*jobstore.Store) {
			if _, ok := submit(t.Context(), stores[0], job(0)); !ok {
				t.Fatal("job 0 was not accepted")
			}
			refusals := 0
			s.setRefuse(func([]wire.Op) error {
				if refusals++; refusals > 5 {
					return nil
				}
				return kvstore.ErrRateLimited
			})
			if err := cancelWithin(t, stores[0], 0, userTimeout); err != nil {
				t.Errorf("cancellation after %d refusals: %v", refusals, err)
			}
		})
	})
}

// The write limiter grants nothing for a second, as it does while the store refuses changes. A cancellation
// waits for it, and meanwhile the leader ends another job of the page. Formerly the writer composed the
// transaction before the wait, so the guard on the page's version was out of date. The logs showed
// `transaction ended` with result=conflict after a limiter_wait of up to 0.4 s, and again after the next
// wait.
func TestTransactionIsComposedAfterTheWaitForTheRateLimit(t *testing.T) {
	s := newFakeStore(1)
	runOnePage(t, s, 10, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		before := s.conflicts // conflicts during the setup
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
		if _, _, err := r.Lookup(t.Context(), job(1).ID); err != nil { // a barrier reads the change
			t.Error(err)
		}
		wg.Wait()
		if n := s.conflicts - before; n > 0 {
			t.Errorf("%d transactions conflicted with the leader's", n)
		}
	})
}

// rejectLargeValues rejects transactions like the key-value store: with a value above the limit, or too
// large in total.
func rejectLargeValues(t *testing.T) func(ops []wire.Op) error {
	t.Helper()
	return func(ops []wire.Op) error {
		total := 0
		for _, op := range ops {
			size := golden.JSONSize(t, wire.Marshal, op.Value)
			if total += size; size > limits.ValueBytes() || total > wire.MaxBody {
				return kvstore.ErrInvalidRequest
			}
		}
		return nil
	}
}

// The final record of a job is larger than its active one. A job whose active record is as large as a
// value may be must be cancelled all the same, and stay cancelled for a controller that reads the record.
func TestJobWithTheLargestRecordIsCancelled(t *testing.T) {
	s := newFakeStore(1)
	s.refuse = rejectLargeValues(t)
	synctest.Test(t, func(t *testing.T) {
		s.setSchema(1)
		runStores(t, 2, s, func(stores []*jobstore.Store) {
			large := job(0)
			large.Types = []string{""}
			empty := golden.JSONSize(t, wire.Marshal, jobstore.JobRecord{Job: large, AcceptedAtMs: time.Now().UnixMilli()})
			large.Types[0] = strings.Repeat("x", limits.ValueBytes()-empty)
			if _, ok := submit(t.Context(), stores[0], large); !ok {
				t.Fatal("the job was not accepted")
			}
			if err := cancelWithin(t, stores[0], 0, userTimeout); err != nil {
				t.Fatalf("cancel: %v", err)
			}
			status, found, err := stores[1].Lookup(t.Context(), large.ID)
			if err != nil || !found || status.Record.State != wire.JobCancelled || status.Record.Job.Tasks != large.Tasks {
				t.Errorf("got %q with %d tasks, found %v, error %v, want cancelled", status.Record.State, status.Record.Job.Tasks, found, err)
			}
		})
	})
}

// The store rejects every transaction that cancels one of twelve jobs of a page. The cancellations arrive at
// once and share a transaction. The others must be committed within their first requests.
func TestRejectedCancellationFailsAlone(t *testing.T) {
	const rejected = 5
	s := newFakeStore(1)
	runOnePage(t, s, 12, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func(ops []wire.Op) error {
			if slices.ContainsFunc(ops, func(op wire.Op) bool { return op.Put == jobstore.FinalKey(job(rejected).ID) }) {
				return kvstore.ErrInvalidRequest
			}
			return nil
		})
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() {
				err := cancelWithin(t, r, n, userTimeout)
				if n == rejected && !kvstore.IsRejected(err) || n != rejected && err != nil {
					t.Errorf("job %d: %v", n, err)
				}
			})
		}
		wg.Wait()
	})
}

// The store rejects every transaction that adds one of twelve jobs to a page. The submissions arrive at once
// and share transactions. The others must be accepted at their first request.
func TestRejectedSubmissionFailsAlone(t *testing.T) {
	const rejected = 5
	s := newFakeStore(1)
	runOnePage(t, s, 0, func(t *testing.T, r *jobstore.Store) {
		t.Helper()
		s.setRefuse(func(ops []wire.Op) error {
			for _, op := range ops {
				page, ok := op.Value.(jobstore.JobPage)
				if ok && slices.ContainsFunc(page.Entries, func(e jobstore.JobPageEntry) bool { return e.ID == job(rejected).ID }) {
					return kvstore.ErrInvalidRequest
				}
			}
			return nil
		})
		var wg sync.WaitGroup
		for n := range 12 {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), userTimeout)
				defer cancel()
				_, err := r.Accept(ctx, job(n), time.Now())
				if n == rejected && !kvstore.IsRejected(err) || n != rejected && err != nil {
					t.Errorf("job %d: %v", n, err)
				}
			})
		}
		wg.Wait()
	})
}
