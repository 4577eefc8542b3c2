package calendar

import (
	"math"
	"slices"
	"time"
)

// This file says how many places the nights lack, and until when more must be
// ordered.

// Want is places, each room for the loads' usual task, that the nights lack.
type Shortage struct {
	Places  int       // 0: they lack none, or more would not help
	OrderBy time.Time // when so many must be ordered at the latest; after that, more are wanted
}

const (
	maxModelPlaces       = 256  // of more, several are followed as one
	similarityRatio      = 1.25 // tasks that take as long within this are taken for alike
	improvementTolerance = 0.05 // of what places can gain at all is let go for fewer of them
)

// Ahead says how many places more keep the nights, if each is there boot seconds
// after it is ordered; free is when each of the present ones can be had, in seconds
// from now. At most so many are asked for. Of what can't be in time at all, it wants
// what makes it the least late.
func FindShortage(now time.Time, loads []Load, free []float64, boot float64, most int) Shortage {
	for {
		a := newShortageModel(now, loads, free, boot, most)
		w := a.shortage(now)
		if a.placesPerUnit == 1 || w.Places == 0 || 4*w.Places > most {
			return w
		}
		most = 2 * w.Places // looked at more closely
	}
}

func (a *shortageModel) shortage(now time.Time) Shortage {
	without := a.lateness(0, 0)
	if without == 0 || a.maxUnits == 0 {
		return Shortage{}
	}
	best := a.lateness(a.maxUnits, 0)
	if best >= without {
		return Shortage{}
	}
	if best > 0 {
		best += improvementTolerance * min(without-best, 20*best)
	}
	low, high := 0, a.maxUnits // lacking, enough
	for high-low > 1 {
		if k := (low + high) / 2; a.lateness(k, 0) <= best {
			high = k
		} else {
			low = k
		}
	}
	w := Shortage{Places: high * a.placesPerUnit, OrderBy: now}
	if best > 0 {
		return w // it is late as it is
	}
	in, late := 0.0, a.lastDeadline
	for late-in > 1 {
		if d := (in + late) / 2; a.lateness(high, d) == 0 {
			in = d
		} else {
			late = d
		}
	}
	w.OrderBy = now.Add(seconds(in))
	return w
}

// aheads is nights' loads made small enough to be played a few dozen times: each
// place stands for so many.
type shortageModel struct {
	loads         []modelLoad // by what is promised
	free          placeHeap
	bootSeconds   float64
	placesPerUnit int
	maxUnits      int     // places more, of that size
	lastDeadline  float64 // until the last promise
}

type modelLoad struct {
	deadline float64 // seconds from now
	running  float64
	batches  []Batch
}

func newShortageModel(now time.Time, loads []Load, free []float64, boot float64, most int) *shortageModel {
	a := &shortageModel{bootSeconds: boot}
	tasks := 0.0
	for i := range loads {
		for _, b := range loads[i].Batches {
			if !b.Blocked {
				tasks += float64(b.Tasks) * max(1, math.Ceil(b.PlacesPerTask-0.01))
			}
		}
	}
	most = min(most, int(min(tasks, math.MaxInt32)))
	a.placesPerUnit = (len(free)+most)/maxModelPlaces + 1
	a.maxUnits = (most + a.placesPerUnit - 1) / a.placesPerUnit
	sorted := slices.Clone(free)
	slices.Sort(sorted)
	for i := a.placesPerUnit - 1; i < len(sorted); i += a.placesPerUnit {
		a.free = append(a.free, sorted[i])
	}
	for i := range loads {
		l := modelLoad{deadline: loads[i].Deadline.Sub(now).Seconds(), running: loads[i].RunningSeconds, batches: a.mergeSimilar(loads[i].Batches)}
		a.lastDeadline = max(a.lastDeadline, l.deadline)
		a.loads = append(a.loads, l)
	}
	slices.SortStableFunc(a.loads, func(x, y modelLoad) int { return int(min(1, max(-1, x.deadline-y.deadline))) })
	return a
}

// alike puts batches together that take about as long.
func (a *shortageModel) mergeSimilar(batches []Batch) []Batch {
	type key struct{ wide, step int }
	sums := map[key]*Batch{}
	var keys []key
	for _, b := range batches {
		if b.Blocked || b.Tasks == 0 {
			continue
		}
		k := key{int(math.Ceil(b.PlacesPerTask - 0.01)), int(math.Log(max(b.Seconds, 1)) / math.Log(similarityRatio))}
		s := sums[k]
		if s == nil {
			s = &Batch{}
			sums[k], keys = s, append(keys, k)
		}
		n, m := float64(s.Tasks), float64(b.Tasks)
		s.Seconds, s.PlacesPerTask = (s.Seconds*n+b.Seconds*m)/(n+m), (s.PlacesPerTask*n+b.PlacesPerTask*m)/(n+m)
		s.Tasks += b.Tasks
	}
	out := make([]Batch, 0, len(keys))
	for _, k := range keys {
		b := *sums[k]
		if wide := math.Ceil(b.PlacesPerTask - 0.01); wide > 1 && a.placesPerUnit > 1 {
			// A few of the places that stand for several have room for it.
			b.Tasks, b.PlacesPerTask = int(math.Ceil(float64(b.Tasks)*wide/float64(a.placesPerUnit))), 1
		} else {
			b.Tasks = (b.Tasks + a.placesPerUnit - 1) / a.placesPerUnit
		}
		out = append(out, b)
	}
	return out
}

// late is by how many seconds the nights are late in all that can't be risked, with
// so many places more that are ordered after a delay.
func (a *shortageModel) lateness(more int, delay float64) float64 {
	p := make(placeHeap, 0, len(a.free)+more)
	p = append(p, a.free...)
	for range more {
		p = append(p, a.bootSeconds+delay)
	}
	slices.Sort(p)
	sum := 0.0
	for i := range a.loads {
		l := &a.loads[i]
		if len(p) == 0 && len(l.batches) > 0 {
			return math.Inf(1)
		}
		sum += max(0, max(l.running, p.serve(l.batches))*(1+riskMargin)-l.deadline)
	}
	return sum
}
