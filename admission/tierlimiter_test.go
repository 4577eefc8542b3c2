package admission

import "testing"

// Under overload by one tier, each other tier must still get slots, whichever tier comes first. All
// slots must be free again after their release.
func TestNoTierTakesAllPlaces(t *testing.T) {
	for first := range 3 {
		limiter := NewTierLimiter(80)
		var got [3]int
		for _, tier := range []int{first, (first + 1) % 3, (first + 2) % 3} {
			for limiter.TryAcquire(tier, 3) {
				got[tier]++
			}
		}
		want := [3][3]int{{68, 6, 6}, {21, 53, 6}, {33, 6, 41}}[first]
		if got != want {
			t.Errorf("tier %d came first: got slots %v, want %v", first, got, want)
		}
		for tier, n := range got {
			for range n {
				limiter.Release(tier, 3)
			}
		}
		if limiter.total != 0 || !limiter.TryAcquire(first, 3) {
			t.Errorf("%d slots are still in use after all were released, or none can be acquired", limiter.total)
		}
	}
	// The number of tiers shrinks while requests of the previous policy are still running.
	limiter := NewTierLimiter(8)
	limiter.TryAcquire(3, 4)
	if !limiter.TryAcquire(1, 2) {
		t.Error("refused although seven slots are free")
	}
}
