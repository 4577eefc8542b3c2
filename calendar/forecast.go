// Forecasts of when the work of batch windows completes, by simulation of the places it runs on.

package calendar

import (
	"slices"
	"time"
)

// Batch is a group of similar tasks of a batch window. One place has room for one task of the
// most common kind. A task of another kind takes more or less than one place.
type Batch struct {
	Tasks         int
	Seconds       float64 // remaining run time of each task
	PlacesPerTask float64
	Blocked       bool // the tasks can't run, regardless of the number of places
}

// Load is the remaining work of a batch window.
type Load struct {
	Deadline       time.Time
	Batches        []Batch // tasks that are not placed yet
	RunningSeconds float64 // until the last of the placed tasks ends
	BlockedReason  string  // why some tasks can't run; "" if all can
}

// Forecast is the expected completion of a batch window's work.
type Forecast struct {
	Finish time.Time // zero: the work can't finish under current conditions
	// LatestStart is the latest time at which the work can start and meet its deadline. This
	// window and each later one are assumed to have all places to themselves in turn. Zero if
	// there are tasks and no places.
	LatestStart time.Time
	AtRisk      bool   // the deadline may be missed
	Reason      string // cause of the risk; "" if AtRisk is false
}

// riskMargin is the share by which the work may exceed its expected time before the deadline
// counts as at risk. Users' run time estimates are off by more than this. Run times learned
// from completed jobs of a class mostly are not.
const riskMargin = 0.1

// ForecastLoads returns one forecast for each load, in the order of loads. Loads share the
// places, earliest deadline first. free holds the seconds from now until each place is free.
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
	// Goes from the last deadline to the first. A load must be completed by its own deadline
	// and by the latest start of the load after it.
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

// forecast assigns the load's tasks to places and returns when they end. The loads with earlier
// deadlines must have been assigned already. firstFree is the number of seconds from now until
// the first place is free, before any load is assigned.
func (l *Load) forecast(now time.Time, places placeHeap, firstFree float64) Forecast {
	if l.BlockedReason != "" || len(places) == 0 && len(l.Batches) > 0 {
		places.serve(l.Batches) // the load still occupies places before later loads do
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

// durationAlone returns the seconds that the load takes with the given number of free places to
// itself.
func (l *Load) durationAlone(places int) float64 {
	return max(l.RunningSeconds, newPlaceHeap(make([]float64, places)).serve(l.Batches))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
