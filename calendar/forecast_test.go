package calendar

import (
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Date(2027, 1, 12, 22, 0, 0, 0, time.UTC)

func afterT0(s float64) time.Time { return t0.Add(seconds(s)) }

// Guards against forecasts that don't serve the earliest deadline first, and against wrong latest
// starts. The values follow from four places, three of them free at once and one after 100 s.
func TestLatestStartsFollowFromLaterWindows(t *testing.T) {
	free := []float64{0, 0, 0, 100}
	loads := []Load{
		{Deadline: afterT0(4000), Batches: []Batch{{8, 300, 1, false}}}, // 600 s alone
		{Deadline: afterT0(2000), Batches: []Batch{{4, 500, 1, false}}}, // 500 s alone, served first
		{Deadline: afterT0(4100), Batches: []Batch{{1, 200, 4, false}}}, // one task that takes all four places
	}
	f := ForecastLoads(t0, loads, free)
	if !f[1].Finish.Equal(afterT0(600)) || f[1].AtRisk {
		t.Errorf("earliest deadline: got %+v, want finish after 600 s without risk", f[1])
	}
	// The eight tasks of 300 s start when three places are free after 500 s and one after 600 s.
	if !f[0].Finish.Equal(afterT0(1200)) || !f[2].Finish.Equal(afterT0(1400)) {
		t.Errorf("got finish after %v and %v, want 20m0s and 23m20s", f[0].Finish.Sub(t0), f[2].Finish.Sub(t0))
	}
	// 4100 - 200 = 3900, 3900 - 600 = 3300 and 2000 - 500 = 1500.
	for i, want := range []float64{3300, 1500, 3900} {
		if !f[i].LatestStart.Equal(afterT0(want)) {
			t.Errorf("load %d: latest start after %v s, want %v", i, f[i].LatestStart.Sub(t0).Seconds(), want)
		}
	}
}

// Guards against a missed or false risk and against a wrong reason shown to operators.
func TestForecastNamesReasonForRisk(t *testing.T) {
	work := []Batch{{10, 100, 1, false}}
	for _, tc := range []struct {
		load Load
		free []float64
		risk bool
		why  string
	}{
		{Load{Deadline: afterT0(2000), Batches: work}, []float64{0}, false, ""},
		{Load{Deadline: afterT0(1050), Batches: work}, []float64{0}, true, "more work than its places can do in time"},
		{Load{Deadline: afterT0(1500), Batches: work}, []float64{600}, true, "places are taken: the first is free in 10m0s"},
		{Load{Deadline: afterT0(1500), Batches: work}, nil, true, "no machine can take it"},
		{Load{Deadline: afterT0(1500), Batches: work, BlockedReason: "wk-000001 fails everywhere"}, []float64{0}, true, "wk-000001 fails everywhere"},
		{Load{Deadline: afterT0(50), RunningSeconds: 90}, []float64{0}, true, "more work than its places can do in time"},
	} {
		if f := ForecastLoads(t0, []Load{tc.load}, tc.free)[0]; f.AtRisk != tc.risk || f.Reason != tc.why {
			t.Errorf("load %+v on places free after %v s: got %+v, want at risk %v: %q", tc.load, tc.free, f, tc.risk, tc.why)
		}
	}
}

// Guards against forecasts outside the possible range, for random loads and places. The lower
// bound is the work spread evenly over all places. The upper bound is one task after another.
func TestRandomForecastsLieWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		free := make([]float64, 1+random.IntN(30))
		late := 0.0
		for i := range free {
			free[i] = random.Float64() * 100
			late = max(late, free[i])
		}
		var l Load
		sum, longest := 0.0, 0.0
		for range 1 + random.IntN(5) {
			b := Batch{Tasks: 1 + random.IntN(400), Seconds: 1 + 50*random.Float64(), PlacesPerTask: float64(1 + random.IntN(3))}
			b.PlacesPerTask = min(b.PlacesPerTask, float64(len(free)))
			l.Batches = append(l.Batches, b)
			sum += float64(b.Tasks) * b.Seconds * b.PlacesPerTask
			longest = max(longest, b.Seconds)
		}
		f := ForecastLoads(t0, []Load{l}, free)[0]
		got := f.Finish.Sub(t0).Seconds()
		if got < max(longest, sum/float64(len(free)))-0.1 || got > late+sum+0.1 {
			t.Fatalf("%+v on places free after %v s: got finish after %v s with %v s of work", l, free, got, sum)
		}
	}
}
