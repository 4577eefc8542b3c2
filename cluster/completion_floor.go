// Enforces the completion floor: at least half of the old jobs of each class, of each team, and of
// the largest jobs of each class are completed. The starvation bound only lets a job start. Under
// lasting overload triage keeps giving up the same kinds of jobs, which would never complete
// without the floor.

package cluster

import (
	"slices"
	"time"
)

const (
	// floorAgeFactor is the age, in multiples of the starvation bound, above which a job counts
	// as old. Younger jobs are ordered by the objectives alone, since most postponed jobs
	// complete when the load falls.
	floorAgeFactor = 3
	// maxCountedCompletions bounds the completed jobs that count for a group. It thereby bounds
	// how many old jobs of the group may be postponed before one must be completed.
	maxCountedCompletions = 1000
	// maxFloorGroups bounds the groups for which completed jobs are counted.
	maxFloorGroups = 1000
)

// completionCounts holds, by floor group, the number of jobs that were completed under this
// leader, up to maxCountedCompletions. The zero value is empty and ready to use.
type completionCounts struct{ byGroup map[string]int }

// add counts a completed job for a group. New groups are ignored once there are maxFloorGroups.
func (c *completionCounts) add(group string) {
	if c.byGroup == nil {
		c.byGroup = map[string]int{}
	}
	if c.byGroup[group] < maxCountedCompletions && len(c.byGroup) < maxFloorGroups {
		c.byGroup[group]++
	}
}

// missing returns how many of a group's waiting old jobs must be completed next, so that at least
// half of its old and completed jobs are completed.
func (c *completionCounts) missing(group string, oldJobs int) int {
	return max(0, (oldJobs-c.byGroup[group]+1)/2)
}

// floorGroups returns the names of the groups in which a job counts towards the floor.
func (m *Model) floorGroups(j *Job) []string {
	out := []string{"class " + j.Spec.Class, "team " + j.Spec.Team}
	if m.isLargeJob(j) {
		out = append(out, "largest "+j.Spec.Class)
	}
	return out
}

// countCompletion counts a completed job for its groups.
func (m *Model) countCompletion(j *Job) {
	if m.StarvationBound <= 0 {
		return
	}
	for _, group := range m.floorGroups(j) {
		m.starvation.completed.add(group)
	}
}

// enforceCompletionFloor marks the jobs that must not be postponed any longer. In each group below
// the floor, these are the oldest jobs, as many as are missing from the floor.
func (m *Model) enforceCompletionFloor(queue []*queueEntry, now time.Time) {
	oldAge := floorAgeFactor * m.StarvationBound
	oldJobs := map[string][]*queueEntry{}
	for _, entry := range queue {
		entry.job.start.setMustFinish(false)
		if now.Sub(entry.job.AcceptedAt) <= oldAge {
			continue
		}
		for _, group := range m.floorGroups(entry.job) {
			oldJobs[group] = append(oldJobs[group], entry)
		}
	}
	for group, jobs := range oldJobs {
		missing := m.starvation.completed.missing(group, len(jobs))
		if missing == 0 {
			continue
		}
		slices.SortStableFunc(jobs, func(a, b *queueEntry) int { return a.job.AcceptedAt.Compare(b.job.AcceptedAt) })
		for _, entry := range jobs[:min(missing, len(jobs))] {
			entry.job.start.setMustFinish(true)
		}
	}
}
