package admission

import (
	"math"
	"sync"
)

// Tiers bounds how much of a node's places each tier of requests holds at once,
// where there are more than it can take. Later tiers leave room for earlier ones,
// and the earlier ones never take all: whoever is refused has a part of the places
// to try for again.
type Tiers struct {
	most int

	mu sync.Mutex
	in []int
	n  int
}

// A quarter of the places is kept in equal parts, one for each tier. Of the others
// each tier leaves a quarter to those before it.
const (
	keptShare = 0.25
	leftShare = 0.25
)

// NewTiers makes bounds on so many places.
func NewTiers(most int) *Tiers { return &Tiers{most: max(8, most)} }

// Enter says whether a request of a tier, of so many tiers, may go on. After true,
// Leave must be called.
func (t *Tiers) Enter(tier, of int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.in) < of {
		t.in = append(t.in, 0)
	}
	tier = max(0, min(tier, of-1))
	least := max(1, int(keptShare*float64(t.most)/float64(of)))
	if t.n >= t.most || t.in[tier] >= least && !t.room(tier, t.most-of*least, least) {
		return false
	}
	t.in[tier]++
	t.n++
	return true
}

// room says whether a tier that has what is kept for it may have another of the
// other places.
func (t *Tiers) room(tier, others, least int) bool {
	from := 0 // what tiers have of the others, from one tier on
	for i := len(t.in) - 1; i >= 0; i-- {
		from += max(0, t.in[i]-least)
		if i <= tier && float64(from) >= float64(others)*math.Pow(1-leftShare, float64(i)) {
			return false
		}
	}
	return true
}

// Leave gives a request's place back.
func (t *Tiers) Leave(tier, of int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.in[max(0, min(tier, of-1))]--
	t.n--
}
