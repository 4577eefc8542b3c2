// Shortages: how many more places the batch windows need to meet their deadlines, and by when
// machines for these places must be ordered.

package calendar

import (
	"math"
	"slices"
	"time"
)

// Shortage is the number of missing places (see Batch).
type Shortage struct {
	Places  int       // 0: no places are missing, or more places would not help
	OrderBy time.Time // latest order time at which Places suffices; a later order needs more places
}

const (
	maxModelPlaces       = 256  // with more places, several are simulated as one unit
	similarityRatio      = 1.25 // tasks whose run times differ by less than this factor are merged
	improvementTolerance = 0.05 // share of the possible reduction of lateness that is given up to save places
	// maxToleratedLateness limits the reduction that improvementTolerance applies to. It is a
	// multiple of the lateness that remains with the maximum number of places.
	maxToleratedLateness  = 20
	orderPrecisionSeconds = 1.0 // precision of the latest order time
	refineRatio           = 4   // if at most 1/4 of the possible places are missing, the search repeats with smaller units
)

// FindShortage returns how many more places the loads need to meet their deadlines, at most
// maxPlaces. Each additional place is usable bootSeconds after it is ordered. free holds the
// seconds from now until each present place is free. If the deadlines can't be met, the result is
// a number of places that makes the total lateness nearly minimal.
func FindShortage(now time.Time, loads []Load, free []float64, bootSeconds float64, maxPlaces int) Shortage {
	for {
		model := newShortageModel(now, loads, free, bootSeconds, maxPlaces)
		shortage := model.shortage(now)
		if model.placesPerUnit == 1 || shortage.Places == 0 || refineRatio*shortage.Places > maxPlaces {
			return shortage
		}
		maxPlaces = 2 * shortage.Places // the next model has smaller units
	}
}

// shortage searches for the smallest sufficient number of units and for the latest time to order
// them.
func (m *shortageModel) shortage(now time.Time) Shortage {
	without := m.lateness(0, 0)
	if without == 0 || m.maxUnits == 0 {
		return Shortage{}
	}
	accepted := m.lateness(m.maxUnits, 0)
	if accepted >= without {
		return Shortage{}
	}
	if accepted > 0 {
		accepted += improvementTolerance * min(without-accepted, maxToleratedLateness*accepted)
	}
	tooFew, enough := 0, m.maxUnits
	for enough-tooFew > 1 {
		if units := (tooFew + enough) / 2; m.lateness(units, 0) <= accepted {
			enough = units
		} else {
			tooFew = units
		}
	}
	shortage := Shortage{Places: enough * m.placesPerUnit, OrderBy: now}
	if accepted > 0 {
		return shortage // some load is late even if ordered now
	}
	inTime, tooLate := 0.0, m.lastDeadline
	for tooLate-inTime > orderPrecisionSeconds {
		if delay := (inTime + tooLate) / 2; m.lateness(enough, delay) == 0 {
			inTime = delay
		} else {
			tooLate = delay
		}
	}
	shortage.OrderBy = now.Add(seconds(inTime))
	return shortage
}

// shortageModel holds the loads of batch windows in a reduced form that is cheap enough to
// simulate a few dozen times. A unit is a number of places that are simulated as one.
type shortageModel struct {
	loads         []modelLoad // sorted by deadline
	free          placeHeap   // seconds from now until each unit is free, sorted
	bootSeconds   float64
	placesPerUnit int
	maxUnits      int     // maximum number of additional units
	lastDeadline  float64 // seconds from now
}

// modelLoad is a load whose batches are counted in units.
type modelLoad struct {
	deadline float64 // seconds from now
	running  float64 // seconds until the last running task ends
	batches  []Batch
}

func newShortageModel(now time.Time, loads []Load, free []float64, bootSeconds float64, maxPlaces int) *shortageModel {
	m := &shortageModel{bootSeconds: bootSeconds}
	maxPlaces = min(maxPlaces, int(min(usefulPlaces(loads), math.MaxInt32)))
	m.placesPerUnit = (len(free)+maxPlaces)/maxModelPlaces + 1
	m.maxUnits = (maxPlaces + m.placesPerUnit - 1) / m.placesPerUnit
	sorted := slices.Clone(free)
	slices.Sort(sorted)
	for i := m.placesPerUnit - 1; i < len(sorted); i += m.placesPerUnit {
		m.free = append(m.free, sorted[i])
	}
	for i := range loads {
		l := modelLoad{deadline: loads[i].Deadline.Sub(now).Seconds(), running: loads[i].RunningSeconds, batches: m.mergeSimilar(loads[i].Batches)}
		m.lastDeadline = max(m.lastDeadline, l.deadline)
		m.loads = append(m.loads, l)
	}
	// Loads whose deadlines differ by less than a second keep their order.
	slices.SortStableFunc(m.loads, func(x, y modelLoad) int { return int(min(1, max(-1, x.deadline-y.deadline))) })
	return m
}

// usefulPlaces returns the number of places that the loads can use at once, when all tasks that
// are not blocked run at the same time.
func usefulPlaces(loads []Load) float64 {
	places := 0.0
	for i := range loads {
		for _, b := range loads[i].Batches {
			if !b.Blocked {
				places += float64(b.Tasks) * max(1, wholePlaces(b.PlacesPerTask))
			}
		}
	}
	return places
}

// mergeSimilar merges batches whose tasks take the same number of places and similar run times.
// It converts them to units and omits blocked batches.
func (m *shortageModel) mergeSimilar(batches []Batch) []Batch {
	type similarity struct{ width, duration int }
	sums := map[similarity]*Batch{}
	var keys []similarity
	for _, b := range batches {
		if b.Blocked || b.Tasks == 0 {
			continue
		}
		key := similarity{int(wholePlaces(b.PlacesPerTask)), int(math.Log(max(b.Seconds, 1)) / math.Log(similarityRatio))}
		sum := sums[key]
		if sum == nil {
			sum = &Batch{}
			sums[key], keys = sum, append(keys, key)
		}
		before, added := float64(sum.Tasks), float64(b.Tasks)
		sum.Seconds = (sum.Seconds*before + b.Seconds*added) / (before + added)
		sum.PlacesPerTask = (sum.PlacesPerTask*before + b.PlacesPerTask*added) / (before + added)
		sum.Tasks += b.Tasks
	}
	merged := make([]Batch, 0, len(keys))
	for _, key := range keys {
		b := *sums[key]
		if width := wholePlaces(b.PlacesPerTask); width > 1 && m.placesPerUnit > 1 {
			// Tasks that take several places become tasks of one unit each. Their
			// number is that of the units that the places of all tasks fill.
			b.Tasks, b.PlacesPerTask = int(math.Ceil(float64(b.Tasks)*width/float64(m.placesPerUnit))), 1
		} else {
			b.Tasks = (b.Tasks + m.placesPerUnit - 1) / m.placesPerUnit
		}
		merged = append(merged, b)
	}
	return merged
}

// lateness returns the total seconds by which loads miss their deadlines, with the risk margin
// added, if moreUnits additional units are ordered after a delay. It is infinite if a load with
// tasks has no places.
func (m *shortageModel) lateness(moreUnits int, delaySeconds float64) float64 {
	places := make(placeHeap, 0, len(m.free)+moreUnits)
	places = append(places, m.free...)
	for range moreUnits {
		places = append(places, m.bootSeconds+delaySeconds)
	}
	slices.Sort(places)
	sum := 0.0
	for i := range m.loads {
		l := &m.loads[i]
		if len(places) == 0 && len(l.batches) > 0 {
			return math.Inf(1)
		}
		sum += max(0, max(l.running, places.serve(l.batches))*(1+riskMargin)-l.deadline)
	}
	return sum
}
