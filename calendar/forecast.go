package calendar

import (
	"slices"
	"time"
)

// Batch is tasks of a batch window that are alike. A place has room for one task of the kind
// that the windows have most work of; other kinds take more or less than one.
type Batch struct {
	Tasks         int
	Seconds       float64 // that each task still takes
	PlacesPerTask float64
	Blocked       bool // the tasks can't proceed, however many places there are
}

// Load is what is left to do of a batch window.
type Load struct {
	Deadline       time.Time
	Batches        []Batch // of tasks that do not run
	RunningSeconds float64 // until the last of its running tasks ends
	BlockedReason  string  // why some of its tasks can't proceed; "" if all can
}

// Forecast is what is expected of a batch window.
type Forecast struct {
	Finish      time.Time // zero: it can't finish as things are
	LatestStart time.Time // if it had all places to itself, and so had the later windows from their latest starts
	AtRisk      bool
	Reason      string // of the risk
}

// riskMargin is the share of the time until the finish by which it may slip before the
// deadline is at risk. Owners' estimates are wrong by more, but what is learnt of a class
// mostly isn't.
const riskMargin = 0.1

// ForecastLoads makes a forecast of each load. Loads share the places, earliest deadline
// first; free is when each place is free, in seconds from now.
func ForecastLoads(now time.Time, loads []Load, free []float64) []Forecast {
	byDeadline := make([]int, len(loads))
	for i := range byDeadline {
		byDeadline[i] = i
	}
	slices.SortStableFunc(byDeadline, func(a, b int) int { return loads[a].Deadline.Compare(loads[b].Deadline) })
	forecasts := make([]Forecast, len(loads))
	places := newPlaceHeap(free)
	firstFree := 0.0
	if len(places) > 0 {
		firstFree = places[0]
	}
	for _, i := range byDeadline {
		forecasts[i] = loads[i].forecast(now, places, firstFree)
	}
	// Backwards: a load must be done by its deadline, and by when the next one must have
	// all places to itself.
	end := time.Time{}
	for _, i := range slices.Backward(byDeadline) {
		load := &loads[i]
		if end.IsZero() || load.Deadline.Before(end) {
			end = load.Deadline
		}
		if len(places) > 0 || len(load.Batches) == 0 {
			end = end.Add(-seconds(load.durationAlone(len(places))))
			forecasts[i].LatestStart = end
		}
	}
	return forecasts
}

// forecast puts the load on the places that earlier loads have left, and says when it is
// done. firstFree is when the first place was free before any load.
func (l *Load) forecast(now time.Time, places placeHeap, firstFree float64) Forecast {
	if l.BlockedReason != "" || len(places) == 0 && len(l.Batches) > 0 {
		places.serve(l.Batches) // the part that can proceed comes before later loads
		reason := l.BlockedReason
		if reason == "" {
			reason = "no machine can take it"
		}
		return Forecast{AtRisk: true, Reason: reason}
	}
	lastEnd := max(l.RunningSeconds, places.serve(l.Batches))
	forecast := Forecast{Finish: now.Add(seconds(lastEnd))}
	untilDeadline := l.Deadline.Sub(now)
	if spare := untilDeadline - seconds(lastEnd*(1+riskMargin)); spare >= 0 {
		return forecast
	}
	forecast.AtRisk = true
	switch alone := l.durationAlone(len(places)); {
	case untilDeadline < seconds(alone*(1+riskMargin)):
		forecast.Reason = "more work than its places can do in time"
	case firstFree < 1:
		forecast.Reason = "earlier nights and work of higher priority come before it"
	default:
		forecast.Reason = "places are taken: the first is free in " + seconds(firstFree).Round(time.Second).String()
	}
	return forecast
}

// durationAlone is how many seconds the load takes with so many places to itself.
func (l *Load) durationAlone(places int) float64 {
	return max(l.RunningSeconds, newPlaceHeap(make([]float64, places)).serve(l.Batches))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
