package controller_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
)

// seedCount says how many seeds are asked for instead of those that are always played.
func seedCount() (n uint64, many bool) {
	n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64)
	return n, err == nil
}

// runSeeded plays a story a few times, or as often as STORY_SEEDS says, with other times
// within the same window: they are drawn from the seed and the story's own number.
func runSeeded(t *testing.T, number uint64, o fake.Options, tell func(t *testing.T, w *fake.Cluster, rnd *rand.Rand)) {
	t.Helper()
	seeds, many := seedCount()
	if !many {
		seeds = 3
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o.Seed = seed
			runScenario(t, o, func(t *testing.T, w *fake.Cluster) { tell(t, w, rand.New(rand.NewPCG(seed, number))) })
		})
	}
}

// randomDuration draws a time from a window.
func randomDuration(rnd *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rnd.Int64N(int64(to-from)))
}
