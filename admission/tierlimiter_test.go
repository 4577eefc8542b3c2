package admission

import "testing"

// With places for 80, a crowd of one tier leaves room for each of the others,
// whichever comes first, and what it was given comes back.
func TestNoTierTakesAllPlaces(t *testing.T) {
	for first := range 3 {
		p := NewTierLimiter(80)
		var got [3]int
		for _, tier := range []int{first, (first + 1) % 3, (first + 2) % 3} {
			for p.TryAcquire(tier, 3) {
				got[tier]++
			}
		}
		want := [3][3]int{{68, 6, 6}, {21, 53, 6}, {33, 6, 41}}[first]
		if got != want {
			t.Errorf("tier %d came first: places %v, not %v", first, got, want)
		}
		for tier, n := range got {
			for range n {
				p.Release(tier, 3)
			}
		}
		if p.total != 0 || !p.TryAcquire(first, 3) {
			t.Errorf("%d places are not given back", p.total)
		}
	}
	// An order with fewer tiers than the one before, while requests are under way.
	p := NewTierLimiter(8)
	p.TryAcquire(3, 4)
	if !p.TryAcquire(1, 2) {
		t.Error("refused with seven places free")
	}
}
