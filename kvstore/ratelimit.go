package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiter paces what a client sends.
type limiter interface {
	// WaitN waits until n may be sent.
	WaitN(ctx context.Context, n int) error
	// available reports whether n may be sent without waiting.
	available(n int) bool
	// currentRate is how many may be sent a second, now.
	currentRate() float64
	// rateLimited takes note that the store has refused for too many requests.
	rateLimited()
}

// fixedLimiter is a limiter whose rate does not change.
type fixedLimiter struct{ *rate.Limiter }

func newFixedLimiter(perSecond float64) limiter {
	return fixedLimiter{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (f fixedLimiter) available(n int) bool { return f.Tokens() >= float64(n) }

func (f fixedLimiter) currentRate() float64 { return float64(f.Limit()) }

func (fixedLimiter) rateLimited() {}

const (
	decreaseFactor   = 0.5                    // of the rate is kept after a refusal
	decreaseInterval = 250 * time.Millisecond // between two cuts: refusals come in volleys
	rampUpTime       = 30 * time.Second       // from nothing to the maximum
	// increaseInterval is the least time between two increases, and maxIncreaseStep the
	// time that one of them makes up for at most.
	increaseInterval = 100 * time.Millisecond
	maxIncreaseStep  = time.Second
	// minBurst is how many may be sent at once at any rate.
	minBurst = 4
)

// adaptiveLimiter gives way to the other nodes: additive increase, multiplicative
// decrease (AIMD). With fixed limits whose sum is more than the store takes, a few
// hundred users' polls kept it refusing nearly everything, the leader's renewals
// included, for good: what is refused is asked again at once.
type adaptiveLimiter struct {
	maxRate, minRate float64

	mu      sync.Mutex // guards what follows
	bucket  *rate.Limiter
	rate    float64
	updated time.Time // of the last cut or increase
	lastCut time.Time
}

func newAdaptiveLimiter(maxRate, minRate float64) *adaptiveLimiter {
	return &adaptiveLimiter{maxRate: maxRate, minRate: min(maxRate, minRate), rate: maxRate, updated: time.Now(),
		bucket: rate.NewLimiter(rate.Limit(maxRate), max(1, int(maxRate)))}
}

// currentRate returns the rate after the increase that is due.
func (a *adaptiveLimiter) currentRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if step := min(now.Sub(a.updated), maxIncreaseStep); step > increaseInterval {
		a.setRate(a.rate+a.maxRate*float64(step)/float64(rampUpTime), now)
	}
	return a.rate
}

// setRate changes the rate. The burst shrinks along, so that a node that was quiet for
// long does not join a crowd with a volley. Called with mu held.
func (a *adaptiveLimiter) setRate(perSecond float64, now time.Time) {
	a.rate, a.updated = max(a.minRate, min(a.maxRate, perSecond)), now
	a.bucket.SetLimitAt(now, rate.Limit(a.rate))
	a.bucket.SetBurstAt(now, max(minBurst, int(a.rate)))
}

func (a *adaptiveLimiter) rateLimited() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := time.Now(); now.Sub(a.lastCut) > decreaseInterval {
		a.lastCut = now
		a.setRate(a.rate*decreaseFactor, now)
	}
}

// WaitN waits until n may be sent at the current rate.
func (a *adaptiveLimiter) WaitN(ctx context.Context, n int) error {
	a.currentRate()
	return a.bucket.WaitN(ctx, n)
}

func (a *adaptiveLimiter) available(n int) bool {
	a.currentRate()
	return a.bucket.Tokens() >= float64(n)
}
