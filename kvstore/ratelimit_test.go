package kvstore

import (
	"testing"
	"testing/synctest"
	"time"
)

// A writer whose transactions are refused makes them smaller, down to what it can't divide, and larger
// again once they are committed.
func TestBatchSizeFollowsRefusals(t *testing.T) {
	size := NewBatchSize(2, 12)
	for step, c := range []struct {
		changes int
		err     error
		want    int
	}{
		{12, ErrRateLimited, 6},
		{6, ErrRateLimited, 3},
		{3, ErrRateLimited, 2},
		{2, ErrRateLimited, 2},
		{2, ErrRefused, 2}, // an outage says nothing about the size
		{2, &ConflictError{}, 2},
		{1, nil, 2}, // half of what it might have been: says nothing either
		{2, nil, 4},
		{4, nil, 8},
		{8, ErrOutcomeUnknown, 8},
		{4, nil, 8},
		{5, nil, 12}, // the rest of the limit was too little for what can't be divided
		{12, nil, 12},
		{5, ErrRateLimited, 2}, // half of what was refused, not of the limit
	} {
		size.Record(c.changes, c.err)
		if size.Limit() != c.want {
			t.Errorf("step %d: after %d changes with %v the limit is %d, not %d", step, c.changes, c.err, size.Limit(), c.want)
		}
	}
}

// The refusal of a large transaction must cost its writer's rate less than that of a single change:
// otherwise whoever writes large transactions ends with the lowest rate, beside writers of single
// changes that are never refused.
func TestLargeTransactionsDoNotLoseTheRateToSingleChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		large, single := newAdaptiveLimiter(24, 1), newAdaptiveLimiter(24, 1)
		for range 5 {
			time.Sleep(time.Second)
			large.rateLimited(8)
			single.rateLimited(1)
		}
		if l, s := large.currentRate(), single.currentRate(); l < 16 || s > 4 {
			t.Errorf("after five refusals of eight changes each the rate is %v, of one change each %v", l, s)
		}
	})
}

// What the store refused did not use its capacity: but for one change, the next transaction does not
// wait for it again. That never adds up to more than a burst.
func TestRefusedChangesAreNotWaitedForTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newAdaptiveLimiter(10, 5)
		wait := func(n int) time.Duration {
			began := time.Now()
			if err := a.WaitN(t.Context(), n); err != nil {
				t.Fatal(err)
			}
			return time.Since(began)
		}
		if took := wait(10); took != 0 {
			t.Fatalf("the burst took %v", took)
		}
		a.rateLimited(8)
		if took := wait(7); took != 0 {
			t.Errorf("what was refused took %v", took)
		}
		if took := wait(1); took == 0 {
			t.Error("one more did not wait")
		}
		for range 10 {
			a.rateLimited(8)
		}
		if took := wait(a.burst() + 1); took == 0 {
			t.Error("refusals added up to more than a burst")
		}
	})
}
