package cluster

import (
	"math"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file keeps what has been seen of the classes of jobs, and the room that
// is kept for jobs of theirs to come.

// class is what has been seen of a class of jobs.
type class struct {
	spec    *Job
	biggest int
	open    int // unfinished tasks
	seen    time.Time
	recent  []time.Time // arrivals of the last two minutes
	waits   bool        // an aim speaks of how soon its jobs start
	runs    runTimeEstimator
	spread  durationSpread
	sizes   []int // tasks of the last jobs, the oldest at sized0 once there are enough
	sized0  int
	large   int // from how many tasks on a job is among the largest; 0: not worked out
}

const (
	recentFor   = 2 * time.Minute
	reserveLead = 20 * time.Second
)

// expected is how many jobs of a class are likely to come in the time in which
// its aim wants one started.
func (c *class) expected(now time.Time) int {
	for len(c.recent) > 0 && now.Sub(c.recent[0]) > recentFor {
		c.recent = c.recent[1:]
	}
	return int(math.Ceil(float64(len(c.recent)) * reserveLead.Seconds() / recentFor.Seconds()))
}

func (m *Model) arrival(j *Job, now time.Time) {
	if m.fetches(j) {
		return // nothing is to be expected of these
	}
	c := m.classes[j.Spec.Class]
	if c == nil {
		if len(m.classes) >= 64 {
			return
		}
		c = &class{}
		for _, o := range m.settings.Cluster.Objectives {
			c.waits = c.waits || o.Kind == "wait" && o.Class == j.Spec.Class
		}
		m.classes[j.Spec.Class] = c
	}
	c.spec, c.seen = j, now
	c.runs.addEstimate(j.Spec.EstimateS)
	c.sized(len(j.Tasks))
	if now.Sub(j.AcceptedAt) < recentFor && len(c.recent) < 1000 {
		c.recent = append(c.recent, j.AcceptedAt)
	}
	c.biggest = max(c.biggest, min(len(j.Tasks), 16))
}

// rivals says whether classes that no aim wants started soon compete with a
// job that may not stop their tasks.
func (m *Model) rivals(j *Job) bool {
	for _, c := range m.classes {
		if !c.waits && c.spec.Priority == j.Priority && c.spec.Spec.Class != j.Spec.Class {
			return true
		}
	}
	return false
}

// reserves are phantoms to be served before a request: for a class whose aim
// is to start soon, and whose jobs may not stop those of the request's class,
// room is kept for the jobs that are likely to come.
func (m *Model) reserves(k *ranked, done map[string]bool, now time.Time) []placement.Request {
	own := m.classes[k.j.Spec.Class]
	if own == nil || k.within {
		return nil
	}
	var out []placement.Request
	for _, n := range m.classNames() {
		c := m.classes[n]
		if done[n] || !c.waits || c.spec.Priority != k.j.Priority || !m.keepsFor(c, k, own) {
			continue
		}
		done[n] = true
		if r := m.phantom(c, c.expected(now)); len(r.Tasks) > 0 {
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

// phantom asks for room for n tasks like those of a class.
func (m *Model) phantom(c *class, n int) placement.Request {
	j := c.spec
	r := placement.Request{
		Job: -1, Need: j.Need, Priority: 9, Team: -1, Image: j.Image, Zone: -1,
		ZoneUsed: make([]int, len(m.Zones)), Types: j.AllowedTypes, Spot: j.Spec.Spot, Phantom: true,
	}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

// thrifty says whether the deployment has an aim on what it pays.
func (m *Model) thrifty() bool {
	for _, o := range m.settings.Cluster.Objectives {
		if o.Kind == "price" || o.Kind == "cost" {
			return true
		}
	}
	return false
}

// phantoms are requests that no job has made: room kept for jobs that are
// likely to come, where no aim speaks of the price.
func (m *Model) phantoms(jobs []*Job, now time.Time) []placement.Request {
	if m.Headroom <= 0 || m.thrifty() || len(jobs) == 0 {
		return nil
	}
	var out []placement.Request
	for _, n := range m.byTier(m.classNames()) {
		c := m.classes[n]
		if now.Sub(c.seen) > 10*time.Minute {
			continue
		}
		out = append(out, m.phantom(c, min(64, c.biggest+int(m.Headroom*float64(c.open)))))
	}
	return out
}
