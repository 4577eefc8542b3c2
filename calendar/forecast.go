package calendar

import (
	"slices"
	"time"
)

// Batch is a number of tasks of a batch window that are alike. A place has room for one task of
// the kind that the windows have most work of; a task of another kind takes more or less than
// one place.
type Batch struct {
	Tasks         int
	Seconds       float64 // run time that each task still needs
	PlacesPerTask float64
	Blocked       bool // the tasks can't proceed, however many places there are
}

// Load is the remaining work of a batch window.
type Load struct {
	Deadline       time.Time
	Batches        []Batch // tasks that are not placed yet
	RunningSeconds float64 // until the last of its placed tasks ends
	BlockedReason  string  // why some of its tasks can't proceed; "" if all can
}

// Forecast says when a batch window's work is expected to be completed.
type Forecast struct {
	Finish      time.Time // zero: it can't finish as things are
	LatestStart time.Time // at which it can start and be in time, if it and then each later window has all places to itself
	AtRisk      bool
	Reason      string // of the risk
}

// riskMargin is by how much longer the work may take than expected, as a share of the
// expected time, without missing a deadline that is not at risk. Users' estimates of run times
// are off by more; the times learnt from completed jobs of a class mostly are not.
const riskMargin = 0.1

// ForecastLoads makes a forecast of each load. Loads share the places, earliest deadline
// first. free has, for each place, the seconds from now until it is free.
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
	// From the last deadline to the first: a load must be completed by its own deadline, and
	// by the latest start of the load after it.
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

// forecast assigns the load's tasks to places, after those of the loads with earlier deadlines,
// and returns when they end. firstFree is the seconds from now until the first place is free,
// before any load is assigned.
func (l *Load) forecast(now time.Time, places placeHeap, firstFree float64) Forecast {
	if l.BlockedReason != "" || len(places) == 0 && len(l.Batches) > 0 {
		places.serve(l.Batches) // what can proceed takes places before the later loads do
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

// durationAlone is how many seconds the load takes if it has a number of free places to itself.
func (l *Load) durationAlone(places int) float64 {
	return max(l.RunningSeconds, newPlaceHeap(make([]float64, places)).serve(l.Batches))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
