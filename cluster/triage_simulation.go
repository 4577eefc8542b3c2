// Simulates serving the jobs of a class one after another on the places that are free or become
// free. Triage decides by this simulation.

package cluster

import "time"

// checkpointInterval is the number of jobs between two checkpoints of a simulation. Triage
// simulates nearly the same list of jobs again and again. Without checkpoints this takes nine
// tenths of a pass that places a burst of 400 jobs.
const checkpointInterval = 16

// latenessToleranceSeconds is how late a job may start and still count as in time.
const latenessToleranceSeconds = 0.5

// simulation serves the jobs of a class on places. It can be run any number of times, and
// continues from the last checkpoint before the first difference from the previous run.
type simulation struct {
	model       *Model
	now         time.Time
	checkpoints []placeTimes // element n is the state before job n*checkpointInterval
	free        placeTimes   // state of the current run; a reused buffer
}

func (m *Model) newSimulation(places placeTimes, now time.Time) *simulation {
	return &simulation{model: m, now: now, checkpoints: []placeTimes{places}, free: m.triage.buffer}
}

// run serves the jobs in the given order. unchanged is the number of leading jobs that are the
// same as in the previous run. run returns the index of the first job whose last task would start
// after the job's due time, or -1 if there is none.
func (s *simulation) run(jobs []*queueEntry, unchanged int) int {
	from := min(unchanged/checkpointInterval, len(s.checkpoints)-1)
	s.checkpoints = s.checkpoints[:from+1]
	s.free = append(s.free[:0], s.checkpoints[from]...)
	s.model.triage.buffer = s.free
	for i := from * checkpointInterval; i < len(jobs); i++ {
		if i%checkpointInterval == 0 && i/checkpointInterval == len(s.checkpoints) {
			s.checkpoints = append(s.checkpoints, append(placeTimes(nil), s.free...))
		}
		// A job that is already due is not late if it gets a place that is free now. A job
		// of a batch window keeps its position even if it misses its own objectives.
		entry := jobs[i]
		due := max(entry.due.Sub(s.now).Seconds(), 0)
		if last := s.serve(entry); !entry.inWindow && last > due+latenessToleranceSeconds {
			return i
		}
	}
	return -1
}

// serve occupies places for the tasks of a job and returns the seconds until its last task
// starts. The tasks after the first maxTriageTasks are estimated together.
func (s *simulation) serve(entry *queueEntry) float64 {
	startup := s.model.startupAndStragglersOf(entry.job).startDelaySeconds()
	tasks := len(entry.req.Tasks)
	last := 0.0
	for range min(tasks, maxTriageTasks) {
		last = s.free[0]
		s.free.occupyEarliest(entry.runSeconds + startup)
	}
	if tasks > maxTriageTasks {
		last += float64(tasks-maxTriageTasks) * entry.runSeconds / float64(len(s.free))
	}
	return last
}
