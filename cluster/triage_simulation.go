package cluster

import "time"

// This file is the simulation by which triage decides.

// checkpointEvery is after how many jobs the places are kept as they are then. What is
// played again differs from one job on only: with 400 jobs of a start, playing
// them from the first each time was nine tenths of the pass that placed them.
const checkpointEvery = 16

// simulation is the jobs of a class being played through, again and again.
type simulation struct {
	m           *Model
	now         time.Time
	checkpoints []placeTimes // element n is the state before job n*checkpointEvery
	free        placeTimes
}

func (m *Model) newSimulation(places placeTimes, now time.Time) *simulation {
	return &simulation{m: m, now: now, checkpoints: []placeTimes{places}, free: m.triage.buffer}
}

// run serves the jobs in their order on places that are free at the given
// times, in seconds from now. The first so many jobs are those played last. It
// returns the first that starts its last task later than it is due, or -1.
func (p *simulation) run(jobs []*queued, same int) int {
	from := min(same/checkpointEvery, len(p.checkpoints)-1)
	p.checkpoints = p.checkpoints[:from+1]
	free := append(p.free[:0], p.checkpoints[from]...)
	p.free, p.m.triage.buffer = free, free
	for i := from * checkpointEvery; i < len(jobs); i++ {
		if i%checkpointEvery == 0 && i/checkpointEvery == len(p.checkpoints) {
			p.checkpoints = append(p.checkpoints, append(placeTimes(nil), free...))
		}
		r := jobs[i]
		due, delay := r.due.Sub(p.now).Seconds(), p.m.startupAndSpreadOf(r.job).startDelay()
		n := len(r.req.Tasks)
		last := 0.0
		for range min(n, triageTasks) {
			last = free[0]
			free.occupyEarliest(r.runSeconds + delay)
		}
		if n > triageTasks {
			last += float64(n-triageTasks) * r.runSeconds / float64(len(free))
		}
		// A job that is due at once is not given up for a place that is free. One of
		// a batch window keeps its turn whatever becomes of its own objectives.
		if !r.inWindow && last > max(due, 0)+0.5 {
			return i
		}
	}
	return -1
}
