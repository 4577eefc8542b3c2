package admission

import (
	"math"
	"sync"
)

// TierLimiter bounds how many requests of each priority tier run concurrently. Under
// overload, later tiers leave slots to earlier ones. Every tier has some reserved slots,
// so that a refused request of any tier has a chance when it is retried. It is safe for
// concurrent use.
type TierLimiter struct {
	capacity int

	mu    sync.Mutex // guards the fields below
	held  []int      // slots in use, by tier
	total int
}

const (
	// reservedShare is the share of the slots that is reserved, in equal parts for the tiers.
	reservedShare = 0.25
	// headroomShare is the share of the shared slots that each tier leaves to earlier ones.
	// Tier i and all later ones together use at most the share (1-headroomShare)^i of them,
	// rounded up.
	headroomShare = 0.25
	// minTierCapacity is the smallest capacity of a TierLimiter.
	minTierCapacity = 8
)

// NewTierLimiter returns a TierLimiter with the given number of slots, but at least
// minTierCapacity.
func NewTierLimiter(capacity int) *TierLimiter {
	return &TierLimiter{capacity: max(minTierCapacity, capacity)}
}

// TryAcquire takes a slot for a request of the given tier, and reports whether one was
// available. It does not wait. Tiers are numbered from 0, the most important, to tiers-1.
// A tier outside that range counts as the nearest one in it. If TryAcquire returns true, the
// caller must call Release with the same arguments.
func (l *TierLimiter) TryAcquire(tier, tiers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.held) < tiers {
		l.held = append(l.held, 0)
	}
	tier = clampTier(tier, tiers)
	reserved := max(1, int(reservedShare*float64(l.capacity)/float64(tiers)))
	if l.total >= l.capacity {
		return false
	}
	if l.held[tier] >= reserved && !l.mayBorrow(tier, l.capacity-tiers*reserved, reserved) {
		return false
	}
	l.held[tier]++
	l.total++
	return true
}

// clampTier maps a tier outside the valid range to the nearest valid one.
func clampTier(tier, tiers int) int { return max(0, min(tier, tiers-1)) }

// mayBorrow reports whether a tier that uses all slots reserved for it may take one of
// the shared slots. The caller holds mu.
func (l *TierLimiter) mayBorrow(tier, shared, reserved int) bool {
	borrowed := 0 // shared slots that tier i and later ones use
	for i := len(l.held) - 1; i >= 0; i-- {
		borrowed += max(0, l.held[i]-reserved)
		if i <= tier && float64(borrowed) >= float64(shared)*math.Pow(1-headroomShare, float64(i)) {
			return false
		}
	}
	return true
}

// Release frees the slot of a request. The arguments must be those of TryAcquire.
func (l *TierLimiter) Release(tier, tiers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[clampTier(tier, tiers)]--
	l.total--
}
