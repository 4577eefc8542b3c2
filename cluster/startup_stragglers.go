package cluster

// This file learns by how much the slowest tasks of jobs, the stragglers, exceed the average
// ones, and how long tasks take to start.

// startupAndStragglerStats is what is known of a class about by how much the slowest task of a job
// exceeds the average one, and how long a task takes from its placement until it runs. A job is
// complete when its last task is: with a dozen tasks or more, a job that starts when an average
// task would just be in time is late.
type startupAndStragglerStats struct {
	excessShare  float64 // moving average of the slowest task's excess over the average one, as a share
	excessJobs   float64 // that excessShare is the average of, up to observationMemory
	delaySeconds float64 // moving average of the seconds from placement to start
	delayStarts  float64 // tasks that delaySeconds is the average of, up to observationMemory
}

const (
	priorExcessShare       = 0.15 // excess of the slowest task over the average one, as a share
	priorStartDelaySeconds = 3.0  // seconds
	priorObservations      = 3.0  // jobs or tasks that the priors count for
	observationMemory      = 50.0 // jobs or tasks over which the moving averages extend

	maxExcessShare              = 3.0  // beyond which an excess is an outlier
	maxLearnedStartDelaySeconds = 60.0 // beyond which a start is an outlier
	fullExcessTasks             = 4    // further tasks with which the slowest shows the full excess
)

// excessFraction returns which share of the class's excess the slowest of n tasks shows.
func excessFraction(n int) float64 { return min(1, float64(n-1)/fullExcessTasks) }

// addJob records the excess of the slowest of a job's tasks over the average one.
func (s *startupAndStragglerStats) addJob(excessShare float64, tasks int) {
	if tasks > 1 {
		s.excessJobs = min(s.excessJobs+1, observationMemory)
		s.excessShare += (min(excessShare, maxExcessShare)/excessFraction(tasks) - s.excessShare) / s.excessJobs
	}
}

// addStartDelay records the seconds that a task took from its placement until it ran.
func (s *startupAndStragglerStats) addStartDelay(seconds float64) {
	s.delayStarts = min(s.delayStarts+1, observationMemory)
	s.delaySeconds += (min(seconds, maxLearnedStartDelaySeconds) - s.delaySeconds) / s.delayStarts
}

// startDelaySeconds returns the seconds that a task of the class is expected to take from its
// placement until it runs.
func (s *startupAndStragglerStats) startDelaySeconds() float64 {
	return (s.delayStarts*s.delaySeconds + priorObservations*priorStartDelaySeconds) / (s.delayStarts + priorObservations)
}

// slowestTaskSeconds returns how long the slowest of n tasks is expected to take, given the average.
func (s *startupAndStragglerStats) slowestTaskSeconds(average float64, n int) float64 {
	return average * (1 + excessFraction(n)*(s.excessJobs*s.excessShare+priorObservations*priorExcessShare)/(s.excessJobs+priorObservations))
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
