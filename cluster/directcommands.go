package cluster

import "slices"

// directCommandQueue lists the tasks for which commands are to be sent directly to the own
// addresses of their workers, besides the answers to heartbeats (StopPushes, WakeUps). A
// task that no longer needs its command is left out when the queue is read.
type directCommandQueue struct {
	stops    []TaskRef // ordered to stop since the last call of takeStops
	launches []TaskRef // placed and not launched: their machines may need a wake-up
}

func (q *directCommandQueue) addStop(ref TaskRef) { q.stops = append(q.stops, ref) }

func (q *directCommandQueue) addLaunch(ref TaskRef) { q.launches = append(q.launches, ref) }

// takeStops empties the list of tasks to stop and returns them in the order in which they
// were added.
func (q *directCommandQueue) takeStops() []TaskRef {
	stops := q.stops
	q.stops = nil
	return stops
}

// filterLaunches calls keep for each task to launch, in the order in which they were added,
// and removes those for which it returns false.
func (q *directCommandQueue) filterLaunches(keep func(TaskRef) bool) {
	q.launches = slices.DeleteFunc(q.launches, func(ref TaskRef) bool { return !keep(ref) })
}
