package cluster

// This file learns how task durations vary within jobs, and how long tasks take to start.

// durationSpread has what is known of a class about by how much the slowest task of a job
// exceeds the average one, and how long a task takes from its placement until it runs. A job is
// complete when its last task is: with a dozen tasks or more, a job that starts when an average
// task would just be in time is late.
type durationSpread struct {
	slowest, n    float64 // moving average of the slowest task's excess over the average, as a share; number of jobs
	start, starts float64 // moving average of seconds from placement to start; number of tasks
}

const (
	priorSlowest = 0.15 // excess of the slowest task over the average one, as a share
	priorStart   = 3.0  // seconds
	priorSpreads = 3.0  // jobs or tasks that the priors count for
	spreadMemory = 50.0 // jobs or tasks over which the moving averages extend

	maxSlowest      = 3.0  // beyond which an excess is an outlier
	maxStart        = 60.0 // beyond which a start is an outlier
	fullSpreadTasks = 4    // further tasks with which the slowest shows the full excess
)

// spreadShare returns which share of the class's excess the slowest of n tasks shows.
func spreadShare(n int) float64 { return min(1, float64(n-1)/fullSpreadTasks) }

// addJob records the excess of the slowest of a job's tasks over the average one.
func (s *durationSpread) addJob(slowest float64, tasks int) {
	if tasks > 1 {
		s.n = min(s.n+1, spreadMemory)
		s.slowest += (min(slowest, maxSlowest)/spreadShare(tasks) - s.slowest) / s.n
	}
}

// addStartDelay records the seconds that a task took from its placement until it ran.
func (s *durationSpread) addStartDelay(seconds float64) {
	s.starts = min(s.starts+1, spreadMemory)
	s.start += (min(seconds, maxStart) - s.start) / s.starts
}

// startDelay returns the seconds that a task of the class is expected to take from its
// placement until it runs.
func (s *durationSpread) startDelay() float64 {
	return (s.starts*s.start + priorSpreads*priorStart) / (s.starts + priorSpreads)
}

// slowestTask returns how long the slowest of n tasks is expected to take, given the average.
func (s *durationSpread) slowestTask(average float64, n int) float64 {
	return average * (1 + spreadShare(n)*(s.n*s.slowest+priorSpreads*priorSlowest)/(s.n+priorSpreads))
}

// startupAndSpreadOf returns what is known of a job's class; without a class, the priors.
func (m *Model) startupAndSpreadOf(j *Job) *durationSpread {
	if c := m.classes.get(j.Spec.Class); c != nil {
		return &c.spread
	}
	return &durationSpread{}
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
		c.spread.addJob(j.runs.longest/average-1, j.runs.count)
	}
}
