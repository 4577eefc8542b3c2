package cluster

// durationSpread learns of a class by how much a job's slowest task takes longer than
// its average one, and how long a task takes from its placement until it runs.
// A job is over when its last task is: with a dozen tasks or more, one that is
// begun when its average task could just be in time is late.
type durationSpread struct{ slowest, n, start, starts float64 }

const (
	priorSlowest = 0.15 // beyond the average, as a share of it
	priorStart   = 3.0  // seconds
	priorSpreads = 3.0  // jobs or tasks that the priors count for
	spreadMemory = 50.0 // and how many are remembered
)

// spreadShare is how much of the difference shows in a job of n tasks.
func spreadShare(n int) float64 { return min(1, float64(n-1)/4) }

func (s *durationSpread) addJob(slowest float64, tasks int) {
	if tasks > 1 {
		s.n = min(s.n+1, spreadMemory)
		s.slowest += (min(slowest, 3)/spreadShare(tasks) - s.slowest) / s.n
	}
}

func (s *durationSpread) addStartDelay(after float64) {
	s.starts = min(s.starts+1, spreadMemory)
	s.start += (min(after, 60) - s.start) / s.starts
}

// startDelay is how long a task of the class should take from placement to running.
func (s *durationSpread) startDelay() float64 {
	return (s.starts*s.start + priorSpreads*priorStart) / (s.starts + priorSpreads)
}

// slowestTask is how long the last of n tasks should take to end, of which one takes
// so long on average.
func (s *durationSpread) slowestTask(average float64, n int) float64 {
	return average * (1 + spreadShare(n)*(s.n*s.slowest+priorSpreads*priorSlowest)/(s.n+priorSpreads))
}

// startupAndSpreadOf is what is known of a job's class.
func (m *Model) startupAndSpreadOf(j *Job) *durationSpread {
	if c := m.classes[j.Spec.Class]; c != nil {
		return &c.spread
	}
	return &durationSpread{}
}

// learnFromJob takes in a job that is done.
func (m *Model) learnFromJob(j *Job) {
	if c := m.classes[j.Spec.Class]; c != nil && j.completedRuns > 0 {
		average := j.completedRunSum / float64(j.completedRuns)
		c.runs.addRunTime(j.Spec.EstimateS, average)
		if !j.Gang() {
			c.spread.addJob(j.completedRunMax/average-1, j.completedRuns)
		}
	}
}
