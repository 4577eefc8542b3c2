package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// crowd plays jobs that are polled every 5 s or so, each time at any of two
// nodes, which can answer a part of that, and returns the longest that any job was
// without an answer, and the longest that a poll waited.
func crowd(t *testing.T, times int, seed uint64, key func(id string) float64) (unanswered, waited time.Duration) {
	t.Helper()
	const nodes, atOnce, work, gap, patience = 2, 16, 100 * time.Millisecond, 5 * time.Second, 800 * time.Millisecond
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 3))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	var gates []*PriorityLimiter
	for range nodes {
		gates = append(gates, NewPriorityLimiter(atOnce, 2*atOnce))
	}
	var wg sync.WaitGroup
	end := time.Now().Add(110 * time.Second)
	for n := range times * nodes * atOnce * int(gap/work) {
		id := fmt.Sprintf("wk-%06d", 7*n)
		wg.Go(func() {
			time.Sleep(time.Duration(draw(5000)) * time.Millisecond)
			last := time.Now()
			note := func() {
				mu.Lock()
				defer mu.Unlock()
				unanswered = max(unanswered, time.Since(last))
			}
			for time.Now().Before(end) {
				g, at := gates[draw(nodes)], time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				err := g.Acquire(ctx, key(id))
				cancel()
				mu.Lock()
				waited = max(waited, time.Since(at))
				mu.Unlock()
				if err == nil {
					time.Sleep(work)
					g.Release()
					note()
					last = time.Now()
				}
				time.Sleep(gap - 300*time.Millisecond + time.Duration(draw(600))*time.Millisecond)
			}
			note()
		})
	}
	wg.Wait()
	return unanswered, waited
}

// However many poll, and at whichever nodes, no job is left without an answer for
// more than a round and a poll; left to chance, some are.
func TestEveryJobGetsOneTurnAPeriod(t *testing.T) {
	turns := PollSchedule{Period: 45 * time.Second}
	for _, times := range []int{2, 4} {
		synctest.Test(t, func(t *testing.T) {
			longest, waited := crowd(t, times, uint64(times), func(id string) float64 { return turns.Priority(id, time.Now()) })
			chance, _ := crowd(t, times, uint64(times), func(string) float64 { return 0 })
			t.Logf("%d times as many as can be answered: %v at most, by chance %v", times, longest, chance)
			if longest > turns.Period+8*time.Second {
				t.Errorf("%d times as many: a job was without an answer for %v", times, longest)
			}
			if times == 4 && chance < 75*time.Second {
				t.Errorf("by chance none waited longer than %v: the crowd is too small to show anything", chance)
			}
			if waited > 800*time.Millisecond {
				t.Errorf("%d times as many: a poll was held back for %v", times, waited)
			}
		})
	}
}

// A turn comes once a round, at the same time on all nodes, and whoever is shed
// just before it is told to come in time.
func TestTurnComesOnceAPeriod(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	turns := PollSchedule{Period: 45 * time.Second}
	for range 2000 {
		id, now := fmt.Sprintf("wk-%06d", rnd.IntN(1e6)), time.Unix(rnd.Int64N(1<<32), rnd.Int64N(1e9))
		left := turns.UntilNextTurn(id, now)
		if left < 0 || left >= turns.Period {
			t.Fatalf("%s at %v: its turn is in %v", id, now, left)
		}
		if at := turns.UntilNextTurn(id, now.Add(left)); at != 0 {
			t.Errorf("%s: %v after its turn was %v ahead it is %v ahead", id, left, left, at)
		}
		if again := turns.UntilNextTurn(id, now.Add(turns.Period)); again != left {
			t.Errorf("%s: %v ahead, a round later %v", id, left, again)
		}
		in := turns.RetryAfterS(id, now)
		if in < 1 || in > 6 || left < 4*time.Second && left > time.Second && time.Duration(in)*time.Second > left {
			t.Errorf("%s, whose turn is in %v, is to come in %d s", id, left, in)
		}
	}
}

// Jobs of earlier tiers are answered sooner, and nobody is left out for it: a later
// tier's turn comes once a round all the same.
func TestLaterTiersAreNotStarved(t *testing.T) {
	turns := PollSchedule{Period: 45 * time.Second, Tier: func(id string) int { return int(id[len(id)-1]-'0') % 4 }}
	plain := PollSchedule{Period: turns.Period}
	now := time.Unix(1000, 0)
	for n := range 100 {
		id := fmt.Sprintf("wk-%06d", n)
		was, is := plain.Priority(id, now), turns.Priority(id, now)
		if tier := turns.Tier(id); tier == 0 && is != was || tier > 0 && (is <= was || is > 2*was) {
			t.Errorf("%s of tier %d: %g without tiers, %g with", id, tier, was, is)
		}
	}
	for _, times := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			longest, _ := crowd(t, times, uint64(times), func(id string) float64 { return turns.Priority(id, time.Now()) })
			t.Logf("%d times as many as can be answered: %v at most", times, longest)
			if longest > 70*time.Second {
				t.Errorf("%d times as many: a job was without an answer for %v", times, longest)
			}
		})
	}
}
