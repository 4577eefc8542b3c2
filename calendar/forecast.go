package calendar

import (
	"math"
	"slices"
	"time"
)

// Batch is tasks of a night that are alike: each takes so many seconds more, on
// as many places as Wide says (a place is room for the load's usual task).
type Batch struct {
	Tasks         int
	Seconds       float64
	PlacesPerTask float64
	Blocked       bool // they can't go on, whatever places there are
}

// Load is what is left of a night.
type Load struct {
	Deadline       time.Time
	Batches        []Batch
	RunningSeconds float64 // seconds until the last of its tasks that run ends
	BlockedReason  string  // why some of it can't go on at all; empty: nothing is in its way
}

// Forecast is what is expected of a night.
type Forecast struct {
	Finish      time.Time // zero: never, as things are
	LatestStart time.Time // its start with all places to itself, the later nights' starts included
	AtRisk      bool
	Reason      string // what stands in the way
}

// riskShare is by how much of what is left a finish may slip before the promise
// is at risk: owners' estimates are wrong by more than this, but what has been
// learnt of a class is mostly not.
const riskMargin = 0.1

// Expect says of each night when it will be finished, the earliest opening
// served first, and until when it could begin. free is when each place can be
// had, in seconds from now.
func ForecastLoads(now time.Time, loads []Load, free []float64) []Forecast {
	order := make([]int, len(loads))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return loads[a].Deadline.Compare(loads[b].Deadline) })
	out := make([]Forecast, len(loads))
	places := newPlaceHeap(free)
	first := 0.0
	if len(places) > 0 {
		first = places[0]
	}
	for _, i := range order {
		l, f := &loads[i], &out[i]
		if l.BlockedReason != "" || len(places) == 0 && len(l.Batches) > 0 {
			f.AtRisk, f.Reason = true, l.BlockedReason
			if f.Reason == "" {
				f.Reason = "no machine can take it"
			}
			places.serve(l.Batches) // what of it goes on is ahead of later nights
			continue
		}
		last := max(l.RunningSeconds, places.serve(l.Batches))
		f.Finish = now.Add(seconds(last))
		spare := l.Deadline.Sub(now) - seconds(last*(1+riskMargin))
		if f.AtRisk = spare < 0; !f.AtRisk {
			continue
		}
		if alone := l.durationAlone(len(places)); l.Deadline.Sub(now) >= seconds(alone*(1+riskMargin)) {
			f.Reason = "places are taken: the first is free in " + seconds(first).Round(time.Second).String()
			if first < 1 {
				f.Reason = "earlier nights and work of higher priority come before it"
			}
			continue
		}
		f.Reason = "more work than its places can do in time"
	}
	// Backwards: each night must be done when it is promised, and when the next
	// must have all places to itself.
	end := time.Time{}
	for _, i := range slices.Backward(order) {
		l := &loads[i]
		if end.IsZero() || l.Deadline.Before(end) {
			end = l.Deadline
		}
		if len(places) > 0 || len(l.Batches) == 0 {
			end = end.Add(-seconds(l.durationAlone(len(places))))
			out[i].LatestStart = end
		}
	}
	return out
}

// alone is how long a night takes that has so many places to itself.
func (l *Load) durationAlone(n int) float64 {
	return max(l.RunningSeconds, newPlaceHeap(make([]float64, n)).serve(l.Batches))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// places is when each place is free, a heap.
type placeHeap []float64

func newPlaceHeap(free []float64) placeHeap {
	p := placeHeap(slices.Clone(free))
	slices.Sort(p) // a sorted list is a heap
	return p
}

// rounds is how many tasks are followed one by one on each place; of more alike,
// the places' average says as much.
const (
	simulatedRounds       = 4
	maxSimulatedWideTasks = 32 // tasks alike that take several places are followed
)

// serve puts batches on the places, what takes longest first, and returns when
// the last task ends.
func (p placeHeap) serve(batches []Batch) (last float64) {
	if len(p) == 0 {
		return 0
	}
	sorted := slices.Clone(batches)
	slices.SortStableFunc(sorted, func(a, b Batch) int {
		switch {
		case a.Seconds > b.Seconds:
			return -1
		case a.Seconds < b.Seconds:
			return 1
		}
		return 0
	})
	for _, b := range sorted {
		n, wide := b.Tasks, min(len(p), int(math.Ceil(b.PlacesPerTask-0.01)))
		follow := simulatedRounds * len(p)
		if wide > 1 {
			follow = min(follow/wide, maxSimulatedWideTasks)
		}
		if many := n - follow; many > 0 {
			by := float64(many) * b.Seconds * b.PlacesPerTask / float64(len(p))
			for i := range p {
				p[i] += by // the order stays
			}
			n -= many
		}
		for range n {
			if wide <= 1 {
				last = max(last, p[0]+b.Seconds)
				p.delayEarliest(b.Seconds * b.PlacesPerTask)
				continue
			}
			// It begins once it has all the places that it takes.
			slices.Sort(p)
			end := p[wide-1] + b.Seconds
			for i := range wide {
				p[i] = end
			}
			slices.Sort(p)
			last = max(last, end)
		}
	}
	return last
}

// later moves the earliest place back.
func (p placeHeap) delayEarliest(by float64) {
	x, i := p[0]+by, 0
	for {
		k := 2*i + 1
		if k >= len(p) {
			break
		}
		if k+1 < len(p) && p[k+1] < p[k] {
			k++
		}
		if x <= p[k] {
			break
		}
		p[i] = p[k]
		i = k
	}
	p[i] = x
}
