// Tracks the leader's observations of each class of jobs.

package cluster

import (
	"math"
	"slices"
	"time"
)

const (
	maxClasses      = 64  // maximum of observed classes; further classes are ignored
	jobSizeHistory  = 200 // recent jobs of a class whose sizes are kept
	jobsPerLargeJob = 10  // one in this many recent jobs of a class counts as large

	arrivalWindow     = 2 * time.Minute  // time over which arrivals are counted
	maxRecentArrivals = 1000             // maximum of arrivals counted in it
	reservationLead   = 20 * time.Second // resources are reserved for the arrivals expected in this time

	maxLargestTasks = 16 // upper bound of classStats.largestTasks
)

// classRegistry holds the classes of which jobs have arrived, up to maxClasses. Only its methods
// add classes.
type classRegistry struct {
	byName map[string]*classStats
	names  []string // sorted
}

func newClassRegistry() classRegistry { return classRegistry{byName: map[string]*classStats{}} }

// get returns a class, or nil if the class is not observed.
func (r *classRegistry) get(name string) *classStats { return r.byName[name] }

// add starts to observe a class. It returns nil if maxClasses are observed already.
func (r *classRegistry) add(name string) *classStats {
	if len(r.byName) >= maxClasses {
		return nil
	}
	c := &classStats{name: name}
	r.byName[name] = c
	at, _ := slices.BinarySearch(r.names, name)
	r.names = slices.Insert(r.names, at, name)
	return c
}

// sorted returns the classes sorted by name.
func (r *classRegistry) sorted() []*classStats {
	classes := make([]*classStats, len(r.names))
	for i, name := range r.names {
		classes[i] = r.byName[name]
	}
	return classes
}

// countOpenTasks counts the unfinished tasks of each class. Jobs that fail wherever they run
// do not count.
func (r *classRegistry) countOpenTasks(openJobs []*Job) {
	for _, c := range r.byName {
		c.openTasks = 0
	}
	for _, j := range openJobs {
		if c := r.get(j.Spec.Class); c != nil && !j.failures.atFault() {
			c.openTasks += len(j.Tasks) - j.DoneTasks
		}
	}
}

// classStats holds the observations of a class of jobs. A class has at least one job, so lastJob
// is never nil. The last job may have left the model.
type classStats struct {
	name                 string
	lastJob              *Job // represents the jobs that are expected
	largestTasks         int  // tasks of the largest job, up to maxLargestTasks
	openTasks            int  // unfinished tasks
	lastArrival          time.Time
	recentArrivals       []time.Time // arrivals within arrivalWindow, earliest first
	hasWaitObjective     bool        // an objective bounds how long its jobs wait for their start
	runs                 runTimeEstimator
	startupAndStragglers startupAndStragglerStats
	sizes                jobSizes
}

// recordArrival records a job of the class that is new to this leader.
func (c *classStats) recordArrival(j *Job, now time.Time) {
	c.lastJob, c.lastArrival = j, now
	c.runs.addEstimate(j.Spec.EstimateS)
	c.sizes.add(len(j.Tasks))
	if now.Sub(j.AcceptedAt) < arrivalWindow && len(c.recentArrivals) < maxRecentArrivals {
		c.recentArrivals = append(c.recentArrivals, j.AcceptedAt)
	}
	c.largestTasks = max(c.largestTasks, min(len(j.Tasks), maxLargestTasks))
}

// expectedArrivals returns how many jobs of the class are expected within reservationLead.
func (c *classStats) expectedArrivals(now time.Time) int {
	for len(c.recentArrivals) > 0 && now.Sub(c.recentArrivals[0]) > arrivalWindow {
		c.recentArrivals = c.recentArrivals[1:]
	}
	return int(math.Ceil(float64(len(c.recentArrivals)) * reservationLead.Seconds() / arrivalWindow.Seconds()))
}

// jobSizes holds the numbers of tasks of the last jobSizeHistory jobs of a class.
type jobSizes struct {
	tasks     []int // a ring buffer once it is full
	oldest    int   // index of the oldest entry in the full ring buffer
	largeFrom int   // number of tasks from which a job counts as large; 0 if not computed yet
}

// add records the number of tasks of a job.
func (s *jobSizes) add(tasks int) {
	if len(s.tasks) < jobSizeHistory {
		s.tasks = append(s.tasks, tasks)
	} else {
		s.tasks[s.oldest] = tasks
		s.oldest = (s.oldest + 1) % jobSizeHistory
	}
	s.largeFrom = 0
}

// isLarge reports whether a job with this number of tasks is among the largest. At least one job
// must have been added.
func (s *jobSizes) isLarge(tasks int) bool {
	if s.largeFrom == 0 {
		sorted := slices.Clone(s.tasks)
		slices.Sort(sorted)
		s.largeFrom = sorted[len(sorted)-max(1, len(sorted)/jobsPerLargeJob)]
	}
	return tasks >= s.largeFrom
}

// recordArrival records, for its class, a job that is new to this leader. Jobs that prefetch
// images are ignored, since they are not jobs of users.
func (m *Model) recordArrival(j *Job, now time.Time) {
	if m.isPrefetch(j) {
		return
	}
	c := m.classes.get(j.Spec.Class)
	if c == nil {
		if c = m.classes.add(j.Spec.Class); c == nil {
			return
		}
		c.hasWaitObjective = m.classHasWaitObjective(c.name)
	}
	c.recordArrival(j, now)
}

// hasCompetitors reports whether other classes without an objective on the wait have the job's
// priority. The job can't preempt their tasks.
func (m *Model) hasCompetitors(j *Job) bool {
	for _, c := range m.classes.byName {
		if !c.hasWaitObjective && c.lastJob.priority == j.priority && c.lastJob.Spec.Class != j.Spec.Class {
			return true
		}
	}
	return false
}
