package calendar

import (
	"cmp"
	"math"
	"slices"
)

// placeHeap simulates the use of places: a min-heap with, for each place, the seconds from now
// until it is free.
type placeHeap []float64

func newPlaceHeap(free []float64) placeHeap {
	p := placeHeap(slices.Clone(free))
	slices.Sort(p) // a sorted list is a heap
	return p
}

// Bounds of the simulation. The tasks of a batch beyond them are not simulated one by one: all
// places become free later by the average time that these tasks take of a place.
const (
	simulatedRounds       = 4  // tasks simulated on each place, one after the other
	maxSimulatedWideTasks = 32 // tasks simulated that take several places
)

// placeTolerance is by how much a task's need may exceed a whole number of places without
// taking one place more.
const placeTolerance = 0.01

// wholePlaces rounds the places that a task needs up to a whole number.
func wholePlaces(placesPerTask float64) float64 { return math.Ceil(placesPerTask - placeTolerance) }

// serve assigns the tasks of batches to places, longest tasks first, and returns the seconds
// from now until the last one ends; 0 without places.
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

// serveBatch assigns the tasks of a batch to places, and returns the seconds from now until
// the last of those that are simulated ends; 0 if there are none.
func (p placeHeap) serveBatch(b *Batch) (lastEnd float64) {
	tasks, width := b.Tasks, min(len(p), int(wholePlaces(b.PlacesPerTask)))
	simulated := simulatedRounds * len(p)
	if width > 1 {
		simulated = min(simulated/width, maxSimulatedWideTasks)
	}
	if surplus := tasks - simulated; surplus > 0 {
		average := float64(surplus) * b.Seconds * b.PlacesPerTask / float64(len(p))
		for i := range p {
			p[i] += average // the same for all, so it remains a heap
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

// occupy starts a task that takes several places as soon as that many are free, and returns
// the seconds from now until it ends.
func (p placeHeap) occupy(width int, seconds float64) float64 {
	slices.Sort(p)
	end := p[width-1] + seconds
	for i := range width {
		p[i] = end
	}
	slices.Sort(p)
	return end
}

// delayEarliest makes the earliest place free later, and restores the heap.
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
