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
	// recordRefusal records that the store refused n, which had been granted, with status 429.
	recordRefusal(n int)
	// await blocks until n may be sent, which the next WaitN then does not wait for.
	await(ctx context.Context, n int) error
	// setWaiting records how many writes the caller has waiting.
	setWaiting(writes int)
}

// fixedLimiter is a limiter whose rate does not change.
type fixedLimiter struct{ *rate.Limiter }

func newFixedLimiter(perSecond float64) limiter {
	return fixedLimiter{rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

func (f fixedLimiter) available(n int) bool { return f.Tokens() >= float64(n) }

func (f fixedLimiter) burst() int { return f.Burst() }

func (f fixedLimiter) currentRate() float64 { return float64(f.Limit()) }

func (fixedLimiter) recordRefusal(int) {}

func (fixedLimiter) await(context.Context, int) error { return nil } // WaitN waits

func (fixedLimiter) setWaiting(int) {}

const (
	maxDecreaseShare = 0.5                    // by which the rate is reduced after a refusal of one
	decreaseInterval = 250 * time.Millisecond // minimum time between decreases: refusals come in bursts
	rampUpTime       = 30 * time.Second       // to rise from zero to the maximum rate
	// increaseInterval is the minimum time between increases. One increase covers at most
	// maxIncreaseStep of elapsed time, so that the rate does not jump after an idle period.
	increaseInterval = 100 * time.Millisecond
	maxIncreaseStep  = time.Second
	// minBurst is the minimum burst size, however low the rate, unless the maximum rate is lower.
	minBurst = 4
	// maxWeight is the largest number of flows that a node counts as.
	maxWeight = 4
)

// adaptiveLimiter shares the store's capacity with the other nodes by additive increase
// and multiplicative decrease (AIMD). With fixed limits whose sum exceeds that capacity,
// a sustained overload by users' polls never ends, since refused requests are retried at
// once; the store then refuses most requests, the leader's lease renewals included, and
// the cluster loses its leader.
//
// A node with many writes waiting counts as several flows, one for each burst of them: its rate increases
// as many times as fast, and is reduced by as many times less. With equal weights, the node whose users
// wait sends the largest transactions, is refused most often, and ends with the lowest rate, beside
// nodes that have nothing waiting.
type adaptiveLimiter struct {
	maxRate, minRate float64

	mu             sync.Mutex // guards the fields below
	bucket         *rate.Limiter
	rate           float64
	rateChangedAt  time.Time // last decrease or increase
	lastDecreaseAt time.Time // last decrease
	unusedGrants   int       // granted, but refused by the store or not used yet: to be granted without waiting
	weight         float64   // how many flows this node counts as
}

func newAdaptiveLimiter(maxRate, minRate float64) *adaptiveLimiter {
	return &adaptiveLimiter{maxRate: maxRate, minRate: min(maxRate, minRate), rate: maxRate, rateChangedAt: time.Now(), weight: 1,
		bucket: rate.NewLimiter(rate.Limit(maxRate), max(1, int(maxRate)))}
}

// currentRate applies the increase that is due, if any, and returns the rate.
func (a *adaptiveLimiter) currentRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if step := min(now.Sub(a.rateChangedAt), maxIncreaseStep); step > increaseInterval {
		a.setRate(a.rate+a.weight*a.maxRate*float64(step)/float64(rampUpTime), now)
	}
	return a.rate
}

// setRate changes the rate, within its limits, and sets the burst to match: with the
// original burst, a node that was idle would add a large burst to an overloaded store.
// The caller holds mu.
func (a *adaptiveLimiter) setRate(perSecond float64, now time.Time) {
	a.rate, a.rateChangedAt = max(a.minRate, min(a.maxRate, perSecond)), now
	a.bucket.SetLimitAt(now, rate.Limit(a.rate))
	a.bucket.SetBurstAt(now, max(1, min(minBurst, int(a.maxRate)), int(a.rate)))
}

// recordRefusal reduces the rate. The more changes a transaction has, the less its refusal says about the
// load, since the store refuses it while it still takes smaller ones: without that, whoever writes the
// large transactions gets the lowest rate. All but one of what was refused need not be waited for a second
// time, since it did not use the store's capacity; one is the price of an attempt.
func (a *adaptiveLimiter) recordRefusal(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unusedGrants = min(a.unusedGrants+n-1, a.bucket.Burst())
	if now := time.Now(); now.Sub(a.lastDecreaseAt) > decreaseInterval {
		a.lastDecreaseAt = now
		a.setRate(a.rate*(1-maxDecreaseShare/(float64(n)*a.weight)), now)
	}
}

// setWaiting sets the weight by the number of writes that wait.
func (a *adaptiveLimiter) setWaiting(writes int) {
	a.currentRate() // applies the increase that is due with the weight so far
	a.mu.Lock()
	defer a.mu.Unlock()
	a.weight = max(1, min(maxWeight, float64(writes)/minBurst))
}

func (a *adaptiveLimiter) await(ctx context.Context, n int) error {
	err := a.WaitN(ctx, n)
	if err == nil {
		a.returnUnused(n)
	}
	return err
}

// WaitN blocks until n may be sent at the current rate.
func (a *adaptiveLimiter) WaitN(ctx context.Context, n int) error {
	a.currentRate()
	fromUnused := a.takeUnused(n)
	err := a.bucket.WaitN(ctx, n-fromUnused)
	if err != nil {
		a.returnUnused(fromUnused)
	}
	return err
}

// takeUnused takes up to n of what was granted before and has not used the store's capacity.
func (a *adaptiveLimiter) takeUnused(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	fromUnused := min(a.unusedGrants, n)
	a.unusedGrants -= fromUnused
	return fromUnused
}

// returnUnused has up to n, which were granted and are not used now, granted again without waiting.
func (a *adaptiveLimiter) returnUnused(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unusedGrants = min(a.unusedGrants+n, a.bucket.Burst())
}

func (a *adaptiveLimiter) available(n int) bool {
	a.currentRate()
	return a.bucket.Tokens() >= float64(n)
}

func (a *adaptiveLimiter) burst() int {
	a.currentRate()
	return a.bucket.Burst()
}
