// Helpers for scenarios that are repeated with several seeds.

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

// seedCount returns the number of seeds set by the environment variable STORY_SEEDS. many is false
// if it is not set or not a number, and callers run their default number.
func seedCount() (n uint64, many bool) {
	n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64)
	return n, err == nil
}

// runSeeded runs a scenario with three seeds, or with as many as STORY_SEEDS sets. rnd is seeded
// with the seed and the scenario's number.
func runSeeded(t *testing.T, number uint64, o fake.Options, play func(t *testing.T, w *fake.Cluster, rnd *rand.Rand)) {
	t.Helper()
	seeds, many := seedCount()
	if !many {
		seeds = 3
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			o.Seed = seed
			runScenario(t, o, func(t *testing.T, w *fake.Cluster) { play(t, w, rand.New(rand.NewPCG(seed, number))) })
		})
	}
}

// randomDuration draws a duration from the range [from, to).
func randomDuration(rnd *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(rnd.Int64N(int64(to-from)))
}
