package admission

import (
	"math"
	"sync"
)

// TierLimiter bounds how much of a node's places each tier of requests holds at once,
// where there are more than it can take. Later tiers leave room for earlier ones,
// and the earlier ones never take all: whoever is refused has a part of the places
// to try for again.
type TierLimiter struct {
	capacity int

	mu    sync.Mutex
	held  []int
	total int
}

// A quarter of the places is kept in equal parts, one for each tier. Of the others
// each tier leaves a quarter to those before it.
const (
	reservedShare = 0.25
	headroomShare = 0.25
)

// NewTierLimiter makes bounds on so many places.
func NewTierLimiter(most int) *TierLimiter { return &TierLimiter{capacity: max(8, most)} }

// Acquire says whether a request of a tier, of so many tiers, may go on. After true,
// Release must be called.
func (t *TierLimiter) TryAcquire(tier, of int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.held) < of {
		t.held = append(t.held, 0)
	}
	tier = max(0, min(tier, of-1))
	least := max(1, int(reservedShare*float64(t.capacity)/float64(of)))
	if t.total >= t.capacity || t.held[tier] >= least && !t.mayBorrow(tier, t.capacity-of*least, least) {
		return false
	}
	t.held[tier]++
	t.total++
	return true
}

// mayBorrow says whether a tier that has what is kept for it may have another of the
// other places.
func (t *TierLimiter) mayBorrow(tier, others, least int) bool {
	from := 0 // what tiers have of the others, from one tier on
	for i := len(t.held) - 1; i >= 0; i-- {
		from += max(0, t.held[i]-least)
		if i <= tier && float64(from) >= float64(others)*math.Pow(1-headroomShare, float64(i)) {
			return false
		}
	}
	return true
}

// Release gives a request's place back.
func (t *TierLimiter) Release(tier, of int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held[max(0, min(tier, of-1))]--
	t.total--
}
