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
	// floorAfter is the age, in multiples of the starvation bound, from which the floor
	// counts a job. Younger jobs are ordered by the objectives alone: most jobs that are
	// postponed for a while complete when the load falls.
	floorAfter = 3
	// floorMemory bounds how many completed jobs count for a group, and with it how many
	// old jobs of the group may be postponed before one must be completed.
	floorMemory = 1000
)

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
	if m.starvation.completed == nil {
		m.starvation.completed = map[string]int{}
	}
	for _, g := range m.floorGroups(j) {
		if m.starvation.completed[g] < floorMemory && len(m.starvation.completed) < 1000 {
			m.starvation.completed[g]++
		}
	}
}

// enforceCompletionFloor marks the jobs that must not be postponed any longer: in each group
// of which less than half is completed, the oldest of its old jobs, as many as are missing.
func (m *Model) enforceCompletionFloor(out []*queued, now time.Time) {
	long := floorAfter * m.StarvationBound
	old := map[string][]*queued{}
	for _, k := range out {
		k.job.start.setMustFinish(false)
		if now.Sub(k.job.AcceptedAt) <= long {
			continue
		}
		for _, g := range m.floorGroups(k.job) {
			old[g] = append(old[g], k)
		}
	}
	for g, jobs := range old {
		missing := (len(jobs) - m.starvation.completed[g] + 1) / 2
		if missing <= 0 {
			continue
		}
		slices.SortStableFunc(jobs, func(a, b *queued) int { return a.job.AcceptedAt.Compare(b.job.AcceptedAt) })
		for _, k := range jobs[:min(missing, len(jobs))] {
			k.job.start.setMustFinish(true)
		}
	}
}
