// Fixed and adaptive limits on the rates of requests and writes.

package kvstore

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// limiter limits the rate of a client's requests or writes. It is safe for concurrent use.
type limiter interface {
	// WaitN blocks until n may be sent, or fails if ctx ends or its deadline is too near.
	WaitN(ctx context.Context, n int) error
	// available reports whether n may be sent with no wait.
	available(n int) bool
	// burst returns the largest n that WaitN can grant at present.
	burst() int
	// currentRate returns how many may be sent per second at present.
	currentRate() float64
	// recordRefusal records that the store refused, with status 429, n that had been granted.
	recordRefusal(n int)
	// await blocks until n may be sent. The next WaitN grants these n with no further wait.
	await(ctx context.Context, n int) error
	// setWaiting sets how many writes of this node wait.
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
	maxDecreaseShare = 0.5                    // share of the rate that the refusal of a single change takes off
	decreaseInterval = 250 * time.Millisecond // minimum time between decreases, because refusals come in bursts
	rampUpTime       = 30 * time.Second       // time of a rise from zero to the maximum rate, at weight 1
	// increaseInterval is the minimum time between increases. One increase covers at most
	// maxIncreaseStep of elapsed time, so that the rate does not jump after an idle period.
	increaseInterval = 100 * time.Millisecond
	maxIncreaseStep  = time.Second
	// minBurst is the minimum burst size at any rate, unless the maximum rate is lower.
	minBurst = 4
	// maxWeight is the largest number of flows that a node counts as.
	maxWeight = 4
)

// adaptiveLimiter shares the store's capacity with the other nodes by additive increase
// and multiplicative decrease (AIMD). With fixed limits whose sum exceeds the capacity, an
// overload by users' polls never ends, because refused requests are retried at once. The
// store then refuses most requests, including the leader's lease renewals, and the cluster
// loses its leader.
//
// A node with many waiting writes counts as several flows, one for each minBurst of waiting
// writes, up to maxWeight. With weight w, the node's rate increases w times as fast, and each
// decrease is w times smaller. With equal weights, the node whose users wait would send the
// largest transactions, be refused most often, and end with the lowest rate, while other
// nodes have no waiting writes.
type adaptiveLimiter struct {
	maxRate, minRate float64 // per second

	mu             sync.Mutex // guards the fields below
	bucket         *rate.Limiter
	rate           float64   // per second
	rateChangedAt  time.Time // time of the last decrease or increase
	lastDecreaseAt time.Time
	unusedGrants   int     // granted, then refused by the store or not used yet; granted again with no wait
	weight         float64 // how many flows this node counts as
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

// setRate changes the rate, within its limits, and sets the burst to match. With the
// original burst, a node that was idle would add a large burst to an overloaded store.
// The caller holds mu.
func (a *adaptiveLimiter) setRate(perSecond float64, now time.Time) {
	a.rate, a.rateChangedAt = max(a.minRate, min(a.maxRate, perSecond)), now
	a.bucket.SetLimitAt(now, rate.Limit(a.rate))
	a.bucket.SetBurstAt(now, max(1, min(minBurst, int(a.maxRate)), int(a.rate)))
}

// recordRefusal reduces the rate after the refusal of a transaction of n changes. The larger n is, the
// smaller is the decrease, because the store refuses a large transaction while it still accepts smaller
// ones. With equal decreases, the node that writes the largest transactions would get the lowest rate.
// All but one of the refused changes are granted again with no wait, because they used none of the
// store's capacity. The attempt itself costs one change.
func (a *adaptiveLimiter) recordRefusal(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unusedGrants = min(a.unusedGrants+n-1, a.bucket.Burst())
	if now := time.Now(); now.Sub(a.lastDecreaseAt) > decreaseInterval {
		a.lastDecreaseAt = now
		a.setRate(a.rate*(1-maxDecreaseShare/(float64(n)*a.weight)), now)
	}
}

// setWaiting sets the weight according to the number of waiting writes.
func (a *adaptiveLimiter) setWaiting(writes int) {
	a.currentRate() // apply the increase that is due with the old weight
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

// takeUnused removes up to n from unusedGrants, and returns how many it removed.
func (a *adaptiveLimiter) takeUnused(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	fromUnused := min(a.unusedGrants, n)
	a.unusedGrants -= fromUnused
	return fromUnused
}

// returnUnused adds n granted but unused changes to unusedGrants, up to a burst in total.
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
