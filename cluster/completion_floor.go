package cluster

import (
	"slices"
	"time"
)

// This file keeps a class, a team and a class's largest jobs from falling under
// half. The bound lets each job begin; where more comes than can ever be done,
// the same ones would still never be done: those that triage gives up.

const (
	// floorAfter is after how many times the bound a job counts as one that must
	// be done. Before that, order is for the objectives: what is put off for a while
	// is mostly done when less comes.
	floorAfter = 3
	// floorMemory is how many jobs that are done count for their group. It bounds
	// how many of its jobs may wait that long before one must be done.
	floorMemory = 1000
)

// floorGroups are what must not fall under half of which a job counts for.
func (m *Model) floorGroups(j *Job) []string {
	out := []string{"class " + j.Spec.Class, "team " + j.Spec.Team}
	if m.isLargeJob(j) {
		out = append(out, "largest "+j.Spec.Class)
	}
	return out
}

// countCompletion takes in that a job is done.
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

// enforceCompletionFloor marks the jobs that are not to be put off any longer: of each group of
// which less than half is done, of what came long ago, the oldest that are
// missing to that.
func (m *Model) enforceCompletionFloor(out []*queued, now time.Time) {
	long := floorAfter * m.StarvationBound
	old := map[string][]*queued{}
	for _, k := range out {
		k.j.start.mustFinish = false
		if now.Sub(k.j.AcceptedAt) <= long {
			continue
		}
		for _, g := range m.floorGroups(k.j) {
			old[g] = append(old[g], k)
		}
	}
	for g, jobs := range old {
		missing := (len(jobs) - m.starvation.completed[g] + 1) / 2
		if missing <= 0 {
			continue
		}
		slices.SortStableFunc(jobs, func(a, b *queued) int { return a.j.AcceptedAt.Compare(b.j.AcceptedAt) })
		for _, k := range jobs[:min(missing, len(jobs))] {
			k.j.start.mustFinish = true
		}
	}
}
