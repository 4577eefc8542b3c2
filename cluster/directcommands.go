package cluster

import "slices"

// directCommandQueue lists the tasks for which commands are to be sent to the addresses of
// their workers, in addition to the answers to heartbeats (StopPushes, WakeUps). The readers of
// the queue skip tasks that no longer need their command.
type directCommandQueue struct {
	stops    []TaskRef // tasks ordered to stop since the last call of takeStops
	launches []TaskRef // placed tasks whose machines may need a wake-up for the launch
}

func (q *directCommandQueue) addStop(ref TaskRef) { q.stops = append(q.stops, ref) }

func (q *directCommandQueue) addLaunch(ref TaskRef) { q.launches = append(q.launches, ref) }

// takeStops removes and returns the tasks to stop, in the order in which they were added.
func (q *directCommandQueue) takeStops() []TaskRef {
	stops := q.stops
	q.stops = nil
	return stops
}

// filterLaunches calls keep for each task to launch, in the order in which they were added. It
// removes the tasks for which keep returns false.
func (q *directCommandQueue) filterLaunches(keep func(TaskRef) bool) {
	q.launches = slices.DeleteFunc(q.launches, func(ref TaskRef) bool { return !keep(ref) })
}
