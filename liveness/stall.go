package liveness

import (
	"sync"
	"time"
)

// StallThreshold is how long nothing must have run in the process for it to count
// as stalled. A starved processor makes gaps of some hundred milliseconds, which
// must not count.
const StallThreshold = 2 * time.Second

// StallDetector notices that the process was paused while its clocks ran on, from
// the gap between two observations. It is as good as it is observed often: several
// times within StallThreshold. Safe for concurrent use.
type StallDetector struct {
	mu           sync.Mutex // guards all that follows
	lastObserved time.Time
	resumed      time.Time
	duration     time.Duration
}

// Observe records that the process runs now. It returns for how long the process
// has just been stalled, 0 if it has not. Each stall is reported once, to
// whichever caller observes first after it.
func (d *StallDetector) Observe(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	gap := now.Sub(d.lastObserved)
	first := d.lastObserved.IsZero()
	d.lastObserved = now
	if first || gap < StallThreshold {
		return 0
	}
	d.resumed, d.duration = now, gap
	return gap
}

// LastStall returns when the process last resumed after a stall, and how long
// that stall was; zero values if there was none.
func (d *StallDetector) LastStall() (resumed time.Time, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumed, d.duration
}
