package liveness

import (
	"sync"
	"time"
)

// StallThreshold is the smallest gap between two observations that counts as a stall. It
// is well above the gaps of a few hundred milliseconds that an overloaded CPU causes.
const StallThreshold = 2 * time.Second

// StallDetector detects that the process was paused, from the gap between two calls of
// Observe. Observe must be called several times per StallThreshold. With fewer calls it
// reports stalls that did not happen. The zero value is ready for use. It is safe for
// concurrent use.
type StallDetector struct {
	mu           sync.Mutex // guards the fields below
	lastObserved time.Time
	resumed      time.Time
	duration     time.Duration
}

// Observe records that the process is running. It returns how long the process was
// stalled before this call, or 0 if it was not. Each stall is reported only once, to the
// first caller after it.
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

// LastStall returns when the process last resumed after a stall and how long that stall
// lasted, or zero values if there was none.
func (d *StallDetector) LastStall() (resumed time.Time, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.resumed, d.duration
}
