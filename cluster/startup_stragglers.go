package cluster

// This file learns by how much the slowest tasks of jobs, the stragglers, exceed the average
// ones, and how long tasks take to start.

// startupAndStragglerStats is what is known of a class about by how much the slowest task of a job
// exceeds the average one, and how long a task takes from its placement until it runs. A job is
// complete when its last task is: with a dozen tasks or more, a job that starts when an average
// task would just be in time is late.
type startupAndStragglerStats struct {
	excess float64 // moving average of the slowest task's excess over the average one, as a share
	jobs   float64 // that excess is the average of, up to observationMemory
	delay  float64 // moving average of the seconds from placement to start
	starts float64 // tasks that delay is the average of, up to observationMemory
}

const (
	priorExcess       = 0.15 // excess of the slowest task over the average one, as a share
	priorStartDelay   = 3.0  // seconds
	priorObservations = 3.0  // jobs or tasks that the priors count for
	observationMemory = 50.0 // jobs or tasks over which the moving averages extend

	maxExcess            = 3.0  // beyond which an excess is an outlier
	maxLearnedStartDelay = 60.0 // beyond which a start is an outlier
	fullExcessTasks      = 4    // further tasks with which the slowest shows the full excess
)

// excessShare returns which share of the class's excess the slowest of n tasks shows.
func excessShare(n int) float64 { return min(1, float64(n-1)/fullExcessTasks) }

// addJob records the excess of the slowest of a job's tasks over the average one.
func (s *startupAndStragglerStats) addJob(excess float64, tasks int) {
	if tasks > 1 {
		s.jobs = min(s.jobs+1, observationMemory)
		s.excess += (min(excess, maxExcess)/excessShare(tasks) - s.excess) / s.jobs
	}
}

// addStartDelay records the seconds that a task took from its placement until it ran.
func (s *startupAndStragglerStats) addStartDelay(seconds float64) {
	s.starts = min(s.starts+1, observationMemory)
	s.delay += (min(seconds, maxLearnedStartDelay) - s.delay) / s.starts
}

// startDelay returns the seconds that a task of the class is expected to take from its
// placement until it runs.
func (s *startupAndStragglerStats) startDelay() float64 {
	return (s.starts*s.delay + priorObservations*priorStartDelay) / (s.starts + priorObservations)
}

// slowestTask returns how long the slowest of n tasks is expected to take, given the average.
func (s *startupAndStragglerStats) slowestTask(average float64, n int) float64 {
	return average * (1 + excessShare(n)*(s.jobs*s.excess+priorObservations*priorExcess)/(s.jobs+priorObservations))
}

// startupAndStragglersOf returns what is known of a job's class; without a class, the priors.
func (m *Model) startupAndStragglersOf(j *Job) *startupAndStragglerStats {
	if c := m.classes.get(j.Spec.Class); c != nil {
		return &c.startupAndStragglers
	}
	return &startupAndStragglerStats{}
}

// learnFromJob records the run times of a completed job for its class.
func (m *Model) learnFromJob(j *Job) {
	c := m.classes.get(j.Spec.Class)
	if c == nil || j.runs.count == 0 {
		return
	}
	average := j.runs.average()
	c.runs.addRunTime(j.Spec.EstimateS, average)
	if !j.Gang() {
		c.startupAndStragglers.addJob(j.runs.longest/average-1, j.runs.count)
	}
}
