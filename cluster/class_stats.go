package cluster

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// This file keeps what has been seen of the classes of jobs, and the room that
// is kept for jobs of theirs to come.

// classStats is what has been seen of a class of jobs.
type classStats struct {
	lastJob          *Job
	largestTasks     int
	openTasks        int // unfinished tasks
	lastArrival      time.Time
	recent           []time.Time // arrivals of the last two minutes
	hasWaitObjective bool        // an objective speaks of how soon its jobs start
	runs             runTimeEstimator
	spread           durationSpread
	sizes            jobSizes
}

const (
	maxSizes        = 200 // recent jobs of a class whose sizes are remembered
	largestFraction = 10  // one in so many jobs is among the largest of its class
)

// jobSizes are the numbers of tasks of the last maxSizes jobs of a class.
type jobSizes struct {
	tasks     []int // a ring buffer once it is full
	oldest    int   // index in the full ring buffer
	largeFrom int   // least number of tasks of the largest jobs; 0 if not computed yet
}

// add records the number of tasks of a job.
func (s *jobSizes) add(tasks int) {
	if len(s.tasks) < maxSizes {
		s.tasks = append(s.tasks, tasks)
	} else {
		s.tasks[s.oldest] = tasks
		s.oldest = (s.oldest + 1) % maxSizes
	}
	s.largeFrom = 0
}

// isLarge reports whether a job of so many tasks is among the largest.
func (s *jobSizes) isLarge(tasks int) bool {
	if s.largeFrom == 0 {
		sorted := slices.Clone(s.tasks)
		slices.Sort(sorted)
		s.largeFrom = sorted[len(sorted)-max(1, len(sorted)/largestFraction)]
	}
	return tasks >= s.largeFrom
}

const (
	arrivalWindow = 2 * time.Minute
	reserveLead   = 20 * time.Second
)

// expectedArrivals is how many jobs of a class are likely to come in the time in which
// its objective wants one started.
func (c *classStats) expectedArrivals(now time.Time) int {
	for len(c.recent) > 0 && now.Sub(c.recent[0]) > arrivalWindow {
		c.recent = c.recent[1:]
	}
	return int(math.Ceil(float64(len(c.recent)) * reserveLead.Seconds() / arrivalWindow.Seconds()))
}

func (m *Model) recordArrival(j *Job, now time.Time) {
	if m.isPrefetch(j) {
		return // nothing is to be expected of these
	}
	c := m.classes[j.Spec.Class]
	if c == nil {
		if len(m.classes) >= 64 {
			return
		}
		c = &classStats{}
		for _, o := range m.settings.Cluster.Objectives {
			c.hasWaitObjective = c.hasWaitObjective || o.Kind == config.ObjectiveWait && o.Class == j.Spec.Class
		}
		m.classes[j.Spec.Class] = c
	}
	c.lastJob, c.lastArrival = j, now
	c.runs.addEstimate(j.Spec.EstimateS)
	c.sizes.add(len(j.Tasks))
	if now.Sub(j.AcceptedAt) < arrivalWindow && len(c.recent) < 1000 {
		c.recent = append(c.recent, j.AcceptedAt)
	}
	c.largestTasks = max(c.largestTasks, min(len(j.Tasks), 16))
}

// hasCompetitors says whether classes that no objective wants started soon compete with a
// job that may not stop their tasks.
func (m *Model) hasCompetitors(j *Job) bool {
	for _, c := range m.classes {
		if !c.hasWaitObjective && c.lastJob.Priority == j.Priority && c.lastJob.Spec.Class != j.Spec.Class {
			return true
		}
	}
	return false
}

// backfillReservations are placeholders to be served before a request: for a class whose objective
// is to start soon, and whose jobs may not stop those of the request's class,
// room is kept for the jobs that are likely to come.
func (m *Model) backfillReservations(k *queued, done map[string]bool, now time.Time) []placement.Request {
	own := m.classes[k.job.Spec.Class]
	if own == nil || k.withinQuota {
		return nil
	}
	var out []placement.Request
	for _, n := range m.classNames() {
		c := m.classes[n]
		if done[n] || !c.hasWaitObjective || c.lastJob.Priority != k.job.Priority || !m.reservesFor(c, k, own) {
			continue
		}
		done[n] = true
		if r := m.placeholder(c, c.expectedArrivals(now)); len(r.Tasks) > 0 {
			r.Reserve = true
			out = append(out, r)
		}
	}
	return out
}

func (m *Model) classNames() []string {
	names := make([]string, 0, len(m.classes))
	for n := range m.classes {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// placeholder asks for room for n tasks like those of a class.
func (m *Model) placeholder(c *classStats, n int) placement.Request {
	j := c.lastJob
	r := placement.Request{
		Job: -1, Need: j.Need, Priority: 9, Team: -1, Image: j.Image, Zone: -1,
		PlacedByZone: make([]int, len(m.Zones)), Types: j.AllowedTypes, Spot: j.Spec.Spot, Headroom: true,
	}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

// headroomRequests are requests that no job has made: room kept for jobs that are
// likely to come, where no objective speaks of the price.
func (m *Model) headroomRequests(jobs []*Job, now time.Time) []placement.Request {
	if m.Headroom <= 0 || m.hasCostObjective() || len(jobs) == 0 {
		return nil
	}
	var out []placement.Request
	for _, n := range m.sortByTier(m.classNames()) {
		c := m.classes[n]
		if now.Sub(c.lastArrival) > 10*time.Minute {
			continue
		}
		out = append(out, m.placeholder(c, min(64, c.largestTasks+int(m.Headroom*float64(c.openTasks)))))
	}
	return out
}
