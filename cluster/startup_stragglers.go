// Learns how much longer the slowest tasks of jobs (stragglers) run than average tasks, and how long
// tasks take to start.

package cluster

// startupAndStragglerStats holds two moving averages of a class: the excess of a job's slowest task
// over its average task, and the delay from a task's placement until it runs. A job is complete only
// when its last task is. With a dozen tasks or more, a job is late if it starts when an average task
// would just be in time. The zero value yields the priors.
type startupAndStragglerStats struct {
	excessShare  float64 // average excess of the slowest task, as a share of the average run time
	excessJobs   float64 // number of jobs in excessShare, up to observationMemory
	delaySeconds float64 // average time from placement to start
	delayStarts  float64 // number of tasks in delaySeconds, up to observationMemory
}

const (
	priorExcessShare       = 0.15 // assumed excess of the slowest task, as a share of the average run time
	priorStartDelaySeconds = 3.0  // assumed time from placement to start
	priorObservations      = 3.0  // number of jobs or tasks that a prior counts as
	observationMemory      = 50.0 // number of jobs or tasks in a moving average

	maxExcessShare              = 3.0  // limit of a recorded excess; more is an outlier
	maxLearnedStartDelaySeconds = 60.0 // limit of a recorded start delay; more is an outlier
	fullExcessTasks             = 4    // number of other tasks from which the slowest task has the full excess
)

// excessFraction returns the fraction of the class's excess that the slowest of n tasks has.
func excessFraction(n int) float64 { return min(1, float64(n-1)/fullExcessTasks) }

// addJob records the excess of the slowest of a job's tasks, as a share of the average run time.
// Jobs with one task are ignored.
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

// startDelaySeconds returns the expected time from the placement of a task of the class until it
// runs.
func (s *startupAndStragglerStats) startDelaySeconds() float64 {
	return (s.delayStarts*s.delaySeconds + priorObservations*priorStartDelaySeconds) / (s.delayStarts + priorObservations)
}

// slowestTaskSeconds returns the expected run time of the slowest of n tasks, given the average run
// time in seconds.
func (s *startupAndStragglerStats) slowestTaskSeconds(average float64, n int) float64 {
	return average * (1 + excessFraction(n)*(s.excessJobs*s.excessShare+priorObservations*priorExcessShare)/(s.excessJobs+priorObservations))
}

// startupAndStragglersOf returns the statistics of a job's class. For a class that is not observed
// they are empty and yield the priors.
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
