package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// When many workers return at once, requests with the least remaining lease time run first. If the
// queue overflows, those with the most time left are refused.
func TestPriorityLimiterAdmitsMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewPriorityLimiter(1, 3)
		if err := limiter.Acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []float64
		refused := 0
		for _, left := range []float64{20, 3, 11, 7, 25} {
			go func() {
				err := limiter.Acquire(t.Context(), left)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrQueueFull) {
					refused++
					return
				}
				order = append(order, left)
				limiter.Release()
			}()
			synctest.Wait()
		}
		if limiter.Waiting() != 3 || limiter.Rejected() != 2 || refused != 2 {
			t.Errorf("%d waiting, %d rejected, %d refused; want 3, 2, 2", limiter.Waiting(), limiter.Rejected(), refused)
		}
		limiter.Release()
		synctest.Wait()
		if len(order) != 3 || order[0] != 3 || order[1] != 7 || order[2] != 11 {
			t.Errorf("requests ran in the order %v, want 3, 7, 11", order)
		}
	})
}

// A cancelled request must leave the queue. If it gets a slot at the moment of its cancellation, the
// slot must pass to the next request. Otherwise slots leak until no request runs.
func TestCancelledWaiterTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limiter := NewPriorityLimiter(2, 100)
		for i := range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Millisecond)
			defer cancel()
			go func() {
				if limiter.Acquire(ctx, float64(i%13)) == nil {
					time.Sleep(time.Duration(1+i%3) * time.Millisecond)
					limiter.Release()
				}
			}()
		}
		time.Sleep(time.Second)
		if limiter.Waiting() != 0 || limiter.available != 2 {
			t.Errorf("%d waiting, %d of 2 slots free; want 0, 2", limiter.Waiting(), limiter.available)
		}
	})
}
