// Simulation of the use of places by tasks.

package calendar

import (
	"cmp"
	"math"
	"slices"
)

// placeHeap simulates the use of places. It is a min-heap that holds, for each place, the
// seconds from now until the place is free.
type placeHeap []float64

func newPlaceHeap(free []float64) placeHeap {
	p := placeHeap(slices.Clone(free))
	slices.Sort(p) // a sorted list is a heap
	return p
}

// Bounds of the simulation. The tasks of a batch beyond these bounds are not simulated one by
// one. Instead, all places become free later by the average time that these tasks occupy a place.
const (
	simulatedRounds       = 4  // simulated tasks per place, one after the other
	maxSimulatedWideTasks = 32 // simulated tasks that take several places each
)

// placeTolerance is the fraction of a place by which a task may exceed a whole number of places
// without taking another place.
const placeTolerance = 0.01

// wholePlaces rounds the places that a task needs up to a whole number.
func wholePlaces(placesPerTask float64) float64 { return math.Ceil(placesPerTask - placeTolerance) }

// serve assigns the tasks of batches to places, longest tasks first. It returns the seconds from
// now until the last task ends, or 0 if there are no places.
func (p placeHeap) serve(batches []Batch) (lastEnd float64) {
	if len(p) == 0 {
		return 0
	}
	sorted := slices.Clone(batches)
	slices.SortStableFunc(sorted, func(a, b Batch) int { return cmp.Compare(b.Seconds, a.Seconds) })
	for i := range sorted {
		lastEnd = max(lastEnd, p.serveBatch(&sorted[i]))
	}
	return lastEnd
}

// serveBatch assigns the tasks of a batch to places. It returns the seconds from now until the
// last simulated task ends, or 0 if no task is simulated.
func (p placeHeap) serveBatch(b *Batch) (lastEnd float64) {
	tasks, width := b.Tasks, min(len(p), int(wholePlaces(b.PlacesPerTask)))
	simulated := simulatedRounds * len(p)
	if width > 1 {
		simulated = min(simulated/width, maxSimulatedWideTasks)
	}
	if surplus := tasks - simulated; surplus > 0 {
		average := float64(surplus) * b.Seconds * b.PlacesPerTask / float64(len(p))
		for i := range p {
			p[i] += average // the same increase for all places keeps the heap order
		}
		tasks -= surplus
	}
	for range tasks {
		if width > 1 {
			lastEnd = max(lastEnd, p.occupy(width, b.Seconds))
			continue
		}
		lastEnd = max(lastEnd, p[0]+b.Seconds)
		p.delayEarliest(b.Seconds * b.PlacesPerTask)
	}
	return lastEnd
}

// occupy starts a task that takes width places as soon as that many are free. It returns the
// seconds from now until the task ends.
func (p placeHeap) occupy(width int, seconds float64) float64 {
	slices.Sort(p)
	end := p[width-1] + seconds
	for i := range width {
		p[i] = end
	}
	slices.Sort(p)
	return end
}

// delayEarliest delays the place that is free first by a number of seconds and restores the heap
// order.
func (p placeHeap) delayEarliest(by float64) {
	delayed, i := p[0]+by, 0
	for {
		child := 2*i + 1
		if child >= len(p) {
			break
		}
		if child+1 < len(p) && p[child+1] < p[child] {
			child++
		}
		if delayed <= p[child] {
			break
		}
		p[i] = p[child]
		i = child
	}
	p[i] = delayed
}
