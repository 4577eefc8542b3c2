package calendar

import (
	"math/rand/v2"
	"testing"
	"time"
)

var t0 = time.Date(2027, 1, 12, 22, 0, 0, 0, time.UTC)

func afterT0(s float64) time.Time { return t0.Add(seconds(s)) }

func TestLatestStartsFollowFromLaterWindows(t *testing.T) {
	free := []float64{0, 0, 0, 100}
	loads := []Load{
		{Deadline: afterT0(4000), Batches: []Batch{{8, 300, 1, false}}}, // 600 s alone
		{Deadline: afterT0(2000), Batches: []Batch{{4, 500, 1, false}}}, // 500 s alone, served first
		{Deadline: afterT0(4100), Batches: []Batch{{1, 200, 4, false}}}, // all places at once
	}
	f := ForecastLoads(t0, loads, free)
	if !f[1].Finish.Equal(afterT0(600)) || f[1].AtRisk {
		t.Errorf("the first to open: %+v", f[1])
	}
	// Three places are free after 500 s and one after 600 s: eight tasks of 300 s.
	if !f[0].Finish.Equal(afterT0(1200)) || !f[2].Finish.Equal(afterT0(1400)) {
		t.Errorf("finished at %v and %v", f[0].Finish.Sub(t0), f[2].Finish.Sub(t0))
	}
	// 4100 - 200 = 3900, and 3900 - 600 = 3300; the first has until 2000 - 500.
	for i, want := range []float64{3300, 1500, 3900} {
		if !f[i].LatestStart.Equal(afterT0(want)) {
			t.Errorf("night %d must begin at %v, want %v", i, f[i].LatestStart.Sub(t0).Seconds(), want)
		}
	}
}

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
			t.Errorf("%+v on %v: %+v", tc.load, tc.free, f)
		}
	}
}

// For random loads and places, the finish is not before the work's time on all places, and
// not after that of one task after another.
func TestRandomForecastsLieWithinBounds(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		free := make([]float64, 1+rnd.IntN(30))
		late := 0.0
		for i := range free {
			free[i] = rnd.Float64() * 100
			late = max(late, free[i])
		}
		var l Load
		sum, longest := 0.0, 0.0
		for range 1 + rnd.IntN(5) {
			b := Batch{Tasks: 1 + rnd.IntN(400), Seconds: 1 + 50*rnd.Float64(), PlacesPerTask: float64(1 + rnd.IntN(3))}
			b.PlacesPerTask = min(b.PlacesPerTask, float64(len(free)))
			l.Batches = append(l.Batches, b)
			sum += float64(b.Tasks) * b.Seconds * b.PlacesPerTask
			longest = max(longest, b.Seconds)
		}
		f := ForecastLoads(t0, []Load{l}, free)[0]
		got := f.Finish.Sub(t0).Seconds()
		if got < max(longest, sum/float64(len(free)))-0.1 || got > late+sum+0.1 {
			t.Fatalf("%+v on %v: finished after %v of %v work", l, free, got, sum)
		}
	}
}
