// Stored formats of sets of tasks and of the outcomes of tasks.

package jobstore

import (
	"iter"
	"math"

	"github.com/bits-and-blooms/bitset"
)

// TaskRanges is a set of task numbers in its stored format. It consists of pairs of the first and the last
// number of a range, both inclusive.
type TaskRanges []int

// RangesOf returns a set as ranges, in ascending order.
func RangesOf(set *bitset.BitSet) TaskRanges {
	var out TaskRanges
	for i, ok := set.NextSet(0); ok; i, ok = set.NextSet(i + 1) {
		if k := len(out); k > 0 && out[k-1] == int(i)-1 {
			out[k-1] = int(i)
		} else {
			out = append(out, int(i), int(i))
		}
	}
	return out
}

// BitSet returns the tasks from 0 to n-1 that are in the ranges. Other numbers are ignored.
func (r TaskRanges) BitSet(n int) *bitset.BitSet {
	set := bitset.New(uint(max(n, 0)))
	for first, last := range r.All() {
		for t := max(first, 0); t <= last && t < n; t++ {
			set.Set(uint(t))
		}
	}
	return set
}

// All yields the first and the last task of each range.
func (r TaskRanges) All() iter.Seq2[int, int] {
	return func(yield func(first, last int) bool) {
		for i := 0; i+1 < len(r); i += 2 {
			if !yield(r[i], r[i+1]) {
				return
			}
		}
	}
}

// Count returns the number of tasks, assuming that ranges do not overlap.
func (r TaskRanges) Count() int {
	n := 0
	for first, last := range r.All() {
		n += last - first + 1
	}
	return n
}

// Contains reports whether a task is in one of the ranges.
func (r TaskRanges) Contains(task int) bool {
	for first, last := range r.All() {
		if first <= task && task <= last {
			return true
		}
	}
	return false
}

// TaskOutcome is how a task of a reserved job ended. The values are part of the stored format.
type TaskOutcome uint8

// Values of TaskOutcome.
const (
	OutcomeDone      TaskOutcome = iota
	OutcomeFailed                // the task ended with an error
	OutcomeLost                  // its machine is gone, or its lease expired
	OutcomePreempted             // stopped for other work, an interruption notice or a graceful eviction
	OutcomeReleased              // released by its owner
	OutcomeRefused               // its machine refused to run it
)

// TaskOutcomes holds the outcomes of tasks in their stored format. It consists of pairs of a task number
// and a TaskOutcome.
type TaskOutcomes []int

// All yields each task and its outcome.
func (o TaskOutcomes) All() iter.Seq2[int, TaskOutcome] {
	return func(yield func(task int, outcome TaskOutcome) bool) {
		for i := 0; i+1 < len(o); i += 2 {
			outcome := min(uint(o[i+1]), math.MaxUint8) // an invalid value must stay invalid
			if !yield(o[i], TaskOutcome(outcome)) {
				return
			}
		}
	}
}
