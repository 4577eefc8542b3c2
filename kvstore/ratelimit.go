package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	decreaseFactor   = 0.5                    // of the rate is kept after a refusal
	decreaseInterval = 250 * time.Millisecond // between two cuts: refusals come in volleys
	rampUpTime       = 30 * time.Second       // from nothing to the most
)

// adaptiveLimiter is a limit that gives way to the other nodes. With fixed limits that
// are more than the service takes in all, a few hundred users' polls kept it
// refusing nearly everything, the leader's renewals included, for good: what is
// refused is asked again at once.
type adaptiveLimiter struct {
	maxRate, minRate float64

	mu      sync.Mutex
	bucket  *rate.Limiter
	rate    float64
	updated time.Time // of the last cut or climb
	lastCut time.Time
}

func newAdaptiveLimiter(most, least float64) *adaptiveLimiter {
	return &adaptiveLimiter{maxRate: most, minRate: min(most, least), rate: most, updated: time.Now(),
		bucket: rate.NewLimiter(rate.Limit(most), max(1, int(most)))}
}

// currentRate is the rate of this moment.
func (y *adaptiveLimiter) currentRate() float64 {
	y.mu.Lock()
	defer y.mu.Unlock()
	at := time.Now()
	if up := min(at.Sub(y.updated), time.Second); up > 100*time.Millisecond {
		y.setRate(y.rate+y.maxRate*float64(up)/float64(rampUpTime), at)
	}
	return y.rate
}

// setRate changes the rate; what may come at once shrinks along, so that a node
// that was quiet for long does not join a crowd with a volley.
func (y *adaptiveLimiter) setRate(per float64, at time.Time) {
	y.rate, y.updated = max(y.minRate, min(y.maxRate, per)), at
	y.bucket.SetLimitAt(at, rate.Limit(y.rate))
	y.bucket.SetBurstAt(at, max(4, int(y.rate)))
}

func (y *adaptiveLimiter) rateLimited() {
	y.mu.Lock()
	defer y.mu.Unlock()
	if at := time.Now(); at.Sub(y.lastCut) > decreaseInterval {
		y.lastCut = at
		y.setRate(y.rate*decreaseFactor, at)
	}
}

// WaitN waits for n of what the rate allows.
func (y *adaptiveLimiter) WaitN(ctx context.Context, n int) error {
	y.currentRate()
	return y.bucket.WaitN(ctx, n)
}

// available says whether n can be had without waiting.
func (y *adaptiveLimiter) available(n int) bool {
	y.currentRate()
	return y.bucket.Tokens() >= float64(n)
}
