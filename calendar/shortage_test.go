package calendar

import (
	"math/rand/v2"
	"testing"
)

// Guards against a shortage with too few or too many places, and against a latest order time after
// which machines that boot for 100 s can't meet the deadline.
func TestFindShortageMeetsDeadlines(t *testing.T) {
	work := []Batch{{100, 60, 1, false}}
	for _, tc := range []struct {
		name  string
		loads []Load
		free  []float64
		want  int
		by    float64 // seconds from now
	}{
		{"in time without more", []Load{{Deadline: afterT0(700), Batches: work}}, make([]float64, 10), 0, 0},
		// With the risk margin there is time for nine rounds of 60 s on the ten places and for
		// five rounds on additional ones.
		{"one round less", []Load{{Deadline: afterT0(600), Batches: work}}, make([]float64, 10), 3, 163},
		// There is time for one round after a boot of 100 s, and for two rounds on the ten
		// places.
		{"nearly too late", []Load{{Deadline: afterT0(180), Batches: work}}, make([]float64, 10), 80, 3},
		{"no places", []Load{{Deadline: afterT0(1000), Batches: work}}, nil, 8, 1000/1.1 - 12.5*60 - 100},
		{"too late, but less late with more", []Load{{Deadline: afterT0(60), Batches: work}}, make([]float64, 10), 70, 0},
		{"nothing helps", []Load{{Deadline: afterT0(60), RunningSeconds: 500}}, make([]float64, 10), 0, 0},
		{"all tasks blocked", []Load{{Deadline: afterT0(60), Batches: []Batch{{100, 60, 1, true}}}}, make([]float64, 10), 0, 0},
		{"two windows", []Load{{Deadline: afterT0(600), Batches: work}, {Deadline: afterT0(300), Batches: work}}, make([]float64, 20), 10, 52},
	} {
		shortage := FindShortage(t0, tc.loads, tc.free, 100, 1000)
		if by := shortage.OrderBy.Sub(t0).Seconds(); shortage.Places != tc.want || tc.want > 0 && (by < tc.by-6 || by > tc.by+6) {
			t.Errorf("%s: %d places by %v s, want %d by %v", tc.name, shortage.Places, by, tc.want, tc.by)
		}
	}
}

// Guards against shortages that are too small or too large, for random loads. With the requested
// places, ordered as late as allowed, the deadlines are met. With half of them they are missed.
// The bounds leave room for the inaccuracy of simulating several places as one unit.
func TestRandomShortagesAreSufficientAndNecessary(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	shortages := 0
	for range 300 {
		free := make([]float64, random.IntN(400))
		var loads []Load
		for n := range 1 + random.IntN(3) {
			l := Load{Deadline: afterT0(float64(2000 * (n + 1)))}
			for range 1 + random.IntN(20) {
				l.Batches = append(l.Batches, Batch{Tasks: 1 + random.IntN(300), Seconds: 20 + 200*random.Float64(), PlacesPerTask: 1})
			}
			loads = append(loads, l)
		}
		shortage := FindShortage(t0, loads, free, 90, 5000)
		slack := func(more int, when, risk float64) float64 {
			with := append(make([]float64, 0, len(free)+more), free...)
			for range more {
				with = append(with, when)
			}
			least := 1e9
			for i, f := range ForecastLoads(t0, loads, with) {
				if f.Finish.IsZero() {
					return -1e9
				}
				least = min(least, loads[i].Deadline.Sub(t0).Seconds()-(1+risk)*f.Finish.Sub(t0).Seconds())
			}
			return least
		}
		if shortage.Places == 0 {
			if s := slack(0, 0, 0); s < -100 {
				t.Errorf("got no shortage, but a window is late by %v s", -s)
			}
			continue
		}
		shortages++
		if s := slack(shortage.Places, shortage.OrderBy.Sub(t0).Seconds()+90, 0); s < 0 {
			t.Errorf("with %d places ordered after %v: late by %v s", shortage.Places, shortage.OrderBy.Sub(t0), -s)
		}
		if s := slack(shortage.Places/2, shortage.OrderBy.Sub(t0).Seconds()+90, riskMargin); s > 0 && shortage.Places > 20 {
			t.Errorf("with %d places ordered after %v: half of them suffice with %v s to spare", shortage.Places, shortage.OrderBy.Sub(t0), s)
		}
	}
	if shortages < 50 {
		t.Errorf("got only %d cases with a shortage, want at least 50", shortages)
	}
}

// BenchmarkFindShortage measures a large cluster whose deadlines are at risk.
func BenchmarkFindShortage(b *testing.B) {
	random := rand.New(rand.NewPCG(5, 6))
	var loads []Load
	for n := range 3 {
		l := Load{Deadline: afterT0(float64(1000 * (n + 1)))}
		for range 700 {
			l.Batches = append(l.Batches, Batch{Tasks: 20, Seconds: 20 + 600*random.Float64(), PlacesPerTask: 1})
		}
		loads = append(loads, l)
	}
	free := make([]float64, 2600)
	for b.Loop() {
		FindShortage(t0, loads, free, 90, 800)
	}
}
