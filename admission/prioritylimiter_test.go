package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// Half a fleet comes back in one second: whose lease is nearest its end goes
// first, and where too many wait, whoever has most time is turned away.
func TestPriorityLimiterAdmitsMostUrgentFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPriorityLimiter(1, 3)
		if err := g.Acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var order []float64
		refused := 0
		for _, left := range []float64{20, 3, 11, 7, 25} {
			go func() {
				err := g.Acquire(t.Context(), left)
				mu.Lock()
				defer mu.Unlock()
				if errors.Is(err, ErrQueueFull) {
					refused++
					return
				}
				order = append(order, left)
				g.Release()
			}()
			synctest.Wait()
		}
		if g.Waiting() != 3 || g.Rejected() != 2 || refused != 2 {
			t.Errorf("%d wait, %d were shed", g.Waiting(), g.Rejected())
		}
		g.Release()
		synctest.Wait()
		if len(order) != 3 || order[0] != 3 || order[1] != 7 || order[2] != 11 {
			t.Errorf("let through in the order %v", order)
		}
	})
}

// A worker that gives up leaves no hole in the queue, and a place that is given
// to it at that very moment goes on to the next.
func TestCancelledWaiterTakesNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewPriorityLimiter(2, 100)
		for i := range 200 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(1+i%7)*time.Millisecond)
			defer cancel()
			go func() {
				if g.Acquire(ctx, float64(i%13)) == nil {
					time.Sleep(time.Duration(1+i%3) * time.Millisecond)
					g.Release()
				}
			}()
		}
		time.Sleep(time.Second)
		if g.Waiting() != 0 || g.available != 2 {
			t.Errorf("%d wait, %d of 2 places are free", g.Waiting(), g.available)
		}
	})
}
