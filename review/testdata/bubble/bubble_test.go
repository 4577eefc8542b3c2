// Package bubble shows a fault of the Go runtime (1.26.8) that can end any test of this project which
// uses testing/synctest under the race detector. It contains none of the project's code. It is no case
// of the review (see "CI" in REPORT.md).
//
//	go test -race ./review/testdata/bubble
package bubble

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// In a bubble, a timer that is due at once is run by the goroutine that selects on its channel
// (timer.maybeRunChan). With the race detector, all goroutines of the bubble do so with the same
// detector context (bubble.timers.raceCtx, in timer.unlockAndRun), also at the same time. The detector
// allows only one thread at a time in a context. It ends the process, or crashes it.
func TestTimersThatAreDueAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		var wg sync.WaitGroup
		for range 16 {
			wg.Go(func() {
				for range 2000 {
					pause(ctx, 0)
				}
			})
		}
		wg.Wait()
	})
}

// pause does what call.Pause does.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
