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

// seedCount returns how many seeds STORY_SEEDS asks for; many is false if it is not set, and the
// default number of seeds is run.
func seedCount() (n uint64, many bool) {
	n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64)
	return n, err == nil
}

// runSeeded runs a scenario a few times, or as often as STORY_SEEDS says. The times of its faults
// are drawn, within the same windows, from the seed and the scenario's own number.
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

// randomDuration draws a duration from a window.
func randomDuration(rnd *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rnd.Int64N(int64(to-from)))
}
