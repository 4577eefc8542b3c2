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

// simulatePolls simulates users who poll each job about every 5 s, each time at a random one of two
// nodes. The polls are overload times as many as the nodes can answer. It returns the longest time
// that any job had no answer, and the longest time that a poll waited.
func simulatePolls(t *testing.T, overload int, seed uint64, priority func(id string) float64) (unanswered, waited time.Duration) {
	t.Helper()
	const nodes, maxConcurrent, serviceTime, pollInterval, pollTimeout = 2, 16, 100 * time.Millisecond, 5 * time.Second, 800 * time.Millisecond
	var mu sync.Mutex
	rnd := rand.New(rand.NewPCG(seed, 3))
	randomInt := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rnd.IntN(n)
	}
	var limiters []*PriorityLimiter
	for range nodes {
		limiters = append(limiters, NewPriorityLimiter(maxConcurrent, 2*maxConcurrent))
	}
	var wg sync.WaitGroup
	end := time.Now().Add(110 * time.Second)
	for n := range overload * nodes * maxConcurrent * int(pollInterval/serviceTime) {
		id := fmt.Sprintf("wk-%06d", 7*n)
		wg.Go(func() {
			time.Sleep(time.Duration(randomInt(5000)) * time.Millisecond)
			lastAnswer := time.Now()
			recordGap := func() {
				mu.Lock()
				defer mu.Unlock()
				unanswered = max(unanswered, time.Since(lastAnswer))
			}
			for time.Now().Before(end) {
				limiter, start := limiters[randomInt(nodes)], time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), pollTimeout)
				err := limiter.Acquire(ctx, priority(id))
				cancel()
				mu.Lock()
				waited = max(waited, time.Since(start))
				mu.Unlock()
				if err == nil {
					time.Sleep(serviceTime)
					limiter.Release()
					recordGap()
					lastAnswer = time.Now()
				}
				time.Sleep(pollInterval - 300*time.Millisecond + time.Duration(randomInt(600))*time.Millisecond)
			}
			recordGap()
		})
	}
	wg.Wait()
	return unanswered, waited
}

// Under overload every job must be answered at least once per period and poll interval, whichever
// nodes are polled. Without the schedule, random refusals leave some jobs without an answer much
// longer.
func TestEveryJobGetsOneTurnAPeriod(t *testing.T) {
	schedule := PollSchedule{Period: 45 * time.Second}
	for _, overload := range []int{2, 4} {
		synctest.Test(t, func(t *testing.T) {
			longest, waited := simulatePolls(t, overload, uint64(overload), func(id string) float64 { return schedule.Priority(id, time.Now()) })
			random, _ := simulatePolls(t, overload, uint64(overload), func(string) float64 { return 0 })
			t.Logf("%d times as many polls as can be answered: longest time without an answer %v, without the schedule %v", overload, longest, random)
			if longest > schedule.Period+8*time.Second {
				t.Errorf("%d times as many polls: a job had no answer for %v", overload, longest)
			}
			if overload == 4 && random < 75*time.Second {
				t.Errorf("without the schedule every job was answered within %v: the load is too low to show a difference", random)
			}
			if waited > 800*time.Millisecond {
				t.Errorf("%d times as many polls: a poll waited for %v", overload, waited)
			}
		})
	}
}

// Each job has one turn per period, at an instant that depends only on its id and the clock, so
// that all nodes agree. A poll refused shortly before the turn must be retried in time for it.
func TestTurnComesOnceAPeriod(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	schedule := PollSchedule{Period: 45 * time.Second}
	for range 2000 {
		id, now := fmt.Sprintf("wk-%06d", rnd.IntN(1e6)), time.Unix(rnd.Int64N(1<<32), rnd.Int64N(1e9))
		left := schedule.UntilNextTurn(id, now)
		if left < 0 || left >= schedule.Period {
			t.Fatalf("%s at %v: got its next turn in %v, want from 0 to less than the period", id, now, left)
		}
		if at := schedule.UntilNextTurn(id, now.Add(left)); at != 0 {
			t.Errorf("%s: its turn was %v ahead, and %v later it is %v ahead, want 0", id, left, left, at)
		}
		if again := schedule.UntilNextTurn(id, now.Add(schedule.Period)); again != left {
			t.Errorf("%s: its turn is %v ahead, and one period later %v ahead", id, left, again)
		}
		in := schedule.RetryAfterS(id, now)
		if in < 1 || in > 6 || left < 4*time.Second && left > time.Second && time.Duration(in)*time.Second > left {
			t.Errorf("%s, whose turn is in %v, is to be retried in %d s", id, left, in)
		}
	}
}

// Jobs of earlier tiers are preferred, but jobs of later tiers must still be answered in every
// period. A larger factor for later tiers would starve them under overload.
func TestLaterTiersAreNotStarved(t *testing.T) {
	schedule := PollSchedule{Period: 45 * time.Second, Tier: func(id string) int { return int(id[len(id)-1]-'0') % 4 }}
	plain := PollSchedule{Period: schedule.Period}
	now := time.Unix(1000, 0)
	for n := range 100 {
		id := fmt.Sprintf("wk-%06d", n)
		was, is := plain.Priority(id, now), schedule.Priority(id, now)
		if tier := schedule.Tier(id); tier == 0 && is != was || tier > 0 && (is <= was || is > 2*was) {
			t.Errorf("%s of tier %d: priority %g without tiers, %g with tiers", id, tier, was, is)
		}
	}
	for _, overload := range []int{2, 3} {
		synctest.Test(t, func(t *testing.T) {
			longest, _ := simulatePolls(t, overload, uint64(overload), func(id string) float64 { return schedule.Priority(id, time.Now()) })
			t.Logf("%d times as many polls as can be answered: longest time without an answer %v", overload, longest)
			if longest > 70*time.Second {
				t.Errorf("%d times as many polls: a job had no answer for %v", overload, longest)
			}
		})
	}
}
