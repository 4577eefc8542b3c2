// Creates placeholders, which are requests that no job has made. They keep resources for jobs that
// are expected.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

const (
	placeholderPriority = 9                // lower than the priority of any job
	maxHeadroomTasks    = 64               // maximum of placeholder tasks of one class
	headroomDuration    = 10 * time.Minute // time after the last arrival of a class that headroom is kept
)

// placeholder returns a request for the resources of n tasks like those of a job.
func (m *Model) placeholder(j *Job, n int) placement.Request {
	r := placement.Request{
		Job: -1, Need: j.Need, Priority: placeholderPriority, Team: -1, Image: j.image, Zone: -1,
		PlacedByZone: make([]int, len(m.Zones)), Types: j.allowedTypes, Spot: j.Spec.Spot, Headroom: true,
	}
	for i := range n {
		r.Tasks = append(r.Tasks, int32(i))
	}
	return r
}

// backfillReservations returns the placeholders that are served before a request. They reserve
// resources for the expected jobs of classes that have an objective on the wait and can't preempt
// tasks of the request's class. Each class gets one reservation in a pass. done holds the classes
// that have theirs, and backfillReservations adds to it.
func (m *Model) backfillReservations(entry *queueEntry, done map[string]bool, now time.Time) []placement.Request {
	own := m.classes.get(entry.job.Spec.Class)
	if own == nil || entry.withinGuarantee {
		return nil
	}
	var out []placement.Request
	for _, name := range m.classes.names {
		c := m.classes.get(name)
		if done[name] || !c.hasWaitObjective || c.lastJob.priority != entry.job.priority || !m.reservesFor(c, entry, own) {
			continue
		}
		done[name] = true
		if r := m.placeholder(c.lastJob, c.expectedArrivals(now)); len(r.Tasks) > 0 {
			r.Reserve = true
			out = append(out, r)
		}
	}
	return out
}

// headroomRequests returns placeholders for the expected jobs of all classes. Machines are rented
// for them. It returns nil if headroom is disabled, no job is open, or an objective is on the price
// of machines.
func (m *Model) headroomRequests(jobs []*Job, now time.Time) []placement.Request {
	if m.Headroom <= 0 || m.hasCostObjective() || len(jobs) == 0 {
		return nil
	}
	var out []placement.Request
	for _, c := range m.sortByTier(m.classes.sorted()) {
		if now.Sub(c.lastArrival) > headroomDuration {
			continue
		}
		tasks := min(maxHeadroomTasks, c.largestTasks+int(m.Headroom*float64(c.openTasks)))
		out = append(out, m.placeholder(c.lastJob, tasks))
	}
	return out
}
