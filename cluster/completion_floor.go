package cluster

import (
	"slices"
	"time"
)

// This file enforces the completion floor: at least half of the old jobs of each class, of
// each team, and of the largest jobs of each class are completed. The starvation bound only
// lets a job start. Under lasting overload the jobs that triage gives up, always the same
// kinds, would still never complete.

const (
	// floorAgeFactor is the age, in multiples of the starvation bound, from which the floor
	// counts a job. Younger jobs are ordered by the objectives alone: most jobs that are
	// postponed for a while complete when the load falls.
	floorAgeFactor = 3
	// maxCountedCompletions bounds how many completed jobs count for a group, and with it how many
	// old jobs of the group may be postponed before one must be completed.
	maxCountedCompletions = 1000
	// maxFloorGroups bounds the groups for which completed jobs are counted.
	maxFloorGroups = 1000
)

// completionCounts has the number of jobs of each floor group that were completed under this
// leader, up to maxCountedCompletions.
type completionCounts struct{ byGroup map[string]int }

// add counts a completed job for a group.
func (c *completionCounts) add(group string) {
	if c.byGroup == nil {
		c.byGroup = map[string]int{}
	}
	if c.byGroup[group] < maxCountedCompletions && len(c.byGroup) < maxFloorGroups {
		c.byGroup[group]++
	}
}

// missing returns how many of a group's old jobs must be completed next so that at least half
// of the group's jobs are completed.
func (c *completionCounts) missing(group string, oldJobs int) int {
	return max(0, (oldJobs-c.byGroup[group]+1)/2)
}

// floorGroups returns the groups in which a job counts towards the floor.
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

// enforceCompletionFloor marks the jobs that must not be postponed any longer: in each group
// of which less than half is completed, the oldest of its old jobs, as many as are missing.
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
