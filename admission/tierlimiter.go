package admission

import (
	"math"
	"sync"
)

// TierLimiter bounds how many requests of each priority tier run at once, where there
// are more than a node can take. Later tiers leave room for earlier ones, and the
// earlier ones never take all: whoever is refused has a part of the places to try for
// again.
type TierLimiter struct {
	capacity int

	mu    sync.Mutex // guards what follows
	held  []int      // places, by tier
	total int
}

const (
	// reservedShare of the places is kept in equal parts, one for each tier.
	reservedShare = 0.25
	// headroomShare of the other places is left by each tier to those before it.
	headroomShare = 0.25
	// minTierCapacity is the least capacity of a TierLimiter.
	minTierCapacity = 8
)

// NewTierLimiter makes a TierLimiter for so many requests at once.
func NewTierLimiter(capacity int) *TierLimiter {
	return &TierLimiter{capacity: max(minTierCapacity, capacity)}
}

// TryAcquire reports whether a request of a tier may run; tiers is how many there are.
// After true, Release must be called with the same arguments.
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

// clampTier counts a tier that is not known as the nearest one.
func clampTier(tier, tiers int) int { return max(0, min(tier, tiers-1)) }

// mayBorrow says whether a tier that has what is reserved for it may have another one
// of the shared places. Called with mu held.
func (l *TierLimiter) mayBorrow(tier, shared, reserved int) bool {
	borrowed := 0 // shared places that tiers have, from one tier on
	for i := len(l.held) - 1; i >= 0; i-- {
		borrowed += max(0, l.held[i]-reserved)
		if i <= tier && float64(borrowed) >= float64(shared)*math.Pow(1-headroomShare, float64(i)) {
			return false
		}
	}
	return true
}

// Release gives a request's place back.
func (l *TierLimiter) Release(tier, tiers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[clampTier(tier, tiers)]--
	l.total--
}
