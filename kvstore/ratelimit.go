package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiter limits the rate of a client's requests or writes.
type limiter interface {
	// WaitN blocks until n may be sent, or fails if ctx ends or its deadline is too near.
	WaitN(ctx context.Context, n int) error
	// available reports whether n may be sent without waiting.
	available(n int) bool
	// burst returns the largest n that WaitN can grant at present.
	burst() int
	// currentRate returns how many may be sent per second at present.
	currentRate() float64
	// rateLimited records that the store refused n, which had been granted, with status 429.
	rateLimited(n int)
}

// fixedLimiter is a limiter whose rate does not change.
type fixedLimiter struct{ *rate.Limiter }

func newFixedLimiter(perSecond float64) limiter {
	return fixedLimiter{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (f fixedLimiter) available(n int) bool { return f.Tokens() >= float64(n) }

func (f fixedLimiter) burst() int { return f.Burst() }

func (f fixedLimiter) currentRate() float64 { return float64(f.Limit()) }

func (fixedLimiter) rateLimited(int) {}

const (
	decreaseShare    = 0.5                    // by which the rate is reduced after a refusal of one
	decreaseInterval = 250 * time.Millisecond // minimum time between decreases: refusals come in bursts
	rampUpTime       = 30 * time.Second       // to rise from zero to the maximum rate
	// increaseInterval is the minimum time between increases. One increase covers at most
	// maxIncreaseStep of elapsed time, so that the rate does not jump after an idle period.
	increaseInterval = 100 * time.Millisecond
	maxIncreaseStep  = time.Second
	// minBurst is the minimum burst size, however low the rate, unless the maximum rate is lower.
	minBurst = 4
)

// adaptiveLimiter shares the store's capacity with the other nodes by additive increase
// and multiplicative decrease (AIMD). With fixed limits whose sum exceeds that capacity,
// a sustained overload by users' polls never ends, since refused requests are retried at
// once; the store then refuses most requests, the leader's lease renewals included, and
// the cluster loses its leader.
type adaptiveLimiter struct {
	maxRate, minRate float64

	mu      sync.Mutex // guards the fields below
	bucket  *rate.Limiter
	rate    float64
	updated time.Time // last decrease or increase
	lastCut time.Time // last decrease
	unused  int       // granted, but refused by the store: to be granted again without waiting
}

func newAdaptiveLimiter(maxRate, minRate float64) *adaptiveLimiter {
	return &adaptiveLimiter{maxRate: maxRate, minRate: min(maxRate, minRate), rate: maxRate, updated: time.Now(),
		bucket: rate.NewLimiter(rate.Limit(maxRate), max(1, int(maxRate)))}
}

// currentRate applies the increase that is due, if any, and returns the rate.
func (a *adaptiveLimiter) currentRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if step := min(now.Sub(a.updated), maxIncreaseStep); step > increaseInterval {
		a.setRate(a.rate+a.maxRate*float64(step)/float64(rampUpTime), now)
	}
	return a.rate
}

// setRate changes the rate, within its limits, and sets the burst to match: with the
// original burst, a node that was idle would add a large burst to an overloaded store.
// The caller holds mu.
func (a *adaptiveLimiter) setRate(perSecond float64, now time.Time) {
	a.rate, a.updated = max(a.minRate, min(a.maxRate, perSecond)), now
	a.bucket.SetLimitAt(now, rate.Limit(a.rate))
	a.bucket.SetBurstAt(now, max(1, min(minBurst, int(a.maxRate)), int(a.rate)))
}

// rateLimited reduces the rate. The more changes a transaction has, the less its refusal says about the
// load, since the store refuses it while it still takes smaller ones: without that, whoever writes the
// large transactions gets the lowest rate. All but one of what was refused need not be waited for a second
// time, since it did not use the store's capacity; one is the price of an attempt.
func (a *adaptiveLimiter) rateLimited(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unused = min(a.unused+n-1, a.bucket.Burst())
	if now := time.Now(); now.Sub(a.lastCut) > decreaseInterval {
		a.lastCut = now
		a.setRate(a.rate*(1-decreaseShare/float64(n)), now)
	}
}

// WaitN blocks until n may be sent at the current rate.
func (a *adaptiveLimiter) WaitN(ctx context.Context, n int) error {
	a.currentRate()
	again := a.takeUnused(n)
	err := a.bucket.WaitN(ctx, n-again)
	if err != nil {
		a.returnUnused(again)
	}
	return err
}

// takeUnused takes up to n of what was granted before and refused.
func (a *adaptiveLimiter) takeUnused(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	again := min(a.unused, n)
	a.unused -= again
	return again
}

// returnUnused returns what takeUnused has taken.
func (a *adaptiveLimiter) returnUnused(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unused = min(a.unused+n, a.bucket.Burst())
}

func (a *adaptiveLimiter) available(n int) bool {
	a.currentRate()
	return a.bucket.Tokens() >= float64(n)
}

func (a *adaptiveLimiter) burst() int {
	a.currentRate()
	return a.bucket.Burst()
}
