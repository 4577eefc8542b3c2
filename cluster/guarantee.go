// Determines which jobs are within the quota that their team is guaranteed, and which placed tasks
// are beyond it.

package cluster

import (
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// quotaTolerance is the amount by which resources may exceed a quota, to allow for rounding errors
// in sums.
const quotaTolerance = 1e-6

// jobsWithinGuarantee returns the indexes of the jobs that, together with the team's earlier
// unfinished jobs, are within their team's guarantee. jobs must be in the order of acceptance.
func (m *Model) jobsWithinGuarantee(jobs []*Job) map[int32]bool {
	within := map[int32]bool{}
	used := make([]placement.Resources, len(m.teams))
	for _, j := range jobs {
		if j.team < 0 {
			continue
		}
		used[j.team] = used[j.team].Add(j.Need, float64(len(j.Tasks)-j.DoneTasks))
		if g := m.guarantees[j.team]; guaranteed(j.Need, g) && withinGuarantee(used[j.team], g) {
			within[j.Index] = true
		}
	}
	return within
}

// guaranteed reports whether a task needs any resource that its team is guaranteed. A task that
// needs none is within no guarantee. Otherwise, if teams were guaranteed only GPUs, all jobs without
// GPUs would precede all others.
func guaranteed(need, guarantee placement.Resources) bool {
	return need.CPU > 0 && guarantee.CPU > 0 || need.GPU > 0 && guarantee.GPU > 0
}

// withinGuarantee reports whether the resources that a team uses are within its guarantee. The
// guarantee does not limit a resource that it doesn't include: a team that is guaranteed only CPUs
// may also use GPUs.
func withinGuarantee(used, guarantee placement.Resources) bool {
	return (guarantee.CPU == 0 || used.CPU <= guarantee.CPU+quotaTolerance) &&
		(guarantee.GPU == 0 || used.GPU <= guarantee.GPU+quotaTolerance)
}

// placedTask is a placed task and the time of its placement.
type placedTask struct {
	ref      TaskRef
	placedAt time.Time
}

// tasksBeyondGuarantee returns the tasks that run beyond their teams' guarantees, starting with the
// latest placed ones. within holds the jobs within a guarantee, whose tasks are never included.
// Otherwise two teams that both have tasks within and beyond their guarantees would repeatedly
// preempt each other's tasks.
func (m *Model) tasksBeyondGuarantee(within map[int32]bool) map[TaskRef]bool {
	beyond := map[TaskRef]bool{}
	if !slices.ContainsFunc(m.guarantees, func(g placement.Resources) bool { return g != placement.Resources{} }) {
		return beyond // no team has a guarantee
	}
	for team, tasks := range m.placedTasksByTeam(within) {
		sortLatestFirst(tasks)
		m.addBeyondGuarantee(beyond, team, tasks)
	}
	return beyond
}

// placedTasksByTeam returns the placed tasks of each team, without those of the excluded jobs.
func (m *Model) placedTasksByTeam(excludedJobs map[int32]bool) [][]placedTask {
	byTeam := make([][]placedTask, len(m.teams))
	for _, mc := range m.Machines {
		for ref := range mc.Tasks {
			j := m.Jobs[ref.Job]
			if j.team >= 0 && !excludedJobs[j.Index] {
				byTeam[j.team] = append(byTeam[j.team], placedTask{ref, j.Tasks[ref.Task].Placement.placedAt})
			}
		}
	}
	return byTeam
}

// sortLatestFirst sorts tasks by the time of their placement, latest first. Tasks placed at the
// same time are sorted by their references, so that the result does not depend on the iteration
// order of maps.
func sortLatestFirst(tasks []placedTask) {
	sort.Slice(tasks, func(a, b int) bool {
		if !tasks[a].placedAt.Equal(tasks[b].placedAt) {
			return tasks[a].placedAt.After(tasks[b].placedAt)
		}
		if tasks[a].ref.Job != tasks[b].ref.Job {
			return tasks[a].ref.Job > tasks[b].ref.Job
		}
		return tasks[a].ref.Task > tasks[b].ref.Task
	})
}

// addBeyondGuarantee adds a team's tasks to beyond, in the given order, until they account for the
// team's use beyond its guarantee. GPUs count only if the team is guaranteed some. CPUs always
// count: all CPUs that a team uses are beyond a guarantee without CPUs.
func (m *Model) addBeyondGuarantee(beyond map[TaskRef]bool, team int, tasks []placedTask) {
	guarantee := m.guarantees[team]
	excess := m.teams[team].Used.Add(guarantee, -1)
	for _, t := range tasks {
		need := m.Jobs[t.ref.Job].Need
		if need.GPU > 0 && guarantee.GPU > 0 && excess.GPU > quotaTolerance || need.CPU > 0 && excess.CPU > quotaTolerance {
			beyond[t.ref] = true
			excess = excess.Add(need, -1)
		}
	}
}
