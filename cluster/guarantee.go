package cluster

import (
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file determines which jobs are within the quota that is guaranteed to their team, and
// which placed tasks are beyond it.

// quotaTolerance is by how much resources may exceed a quota, to allow for rounding errors of
// sums.
const quotaTolerance = 1e-6

// jobsWithinGuarantee returns the indexes of the jobs that are within their team's guarantee
// together with the team's earlier unfinished jobs. The jobs are in the order of their
// acceptance.
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

// guaranteed reports whether a task needs any resource of which its team is guaranteed some. A
// task that needs none of them is within no guarantee. Otherwise, where teams are guaranteed
// GPUs only, all jobs without GPUs would precede all others.
func guaranteed(need, guarantee placement.Resources) bool {
	return need.CPU > 0 && guarantee.CPU > 0 || need.GPU > 0 && guarantee.GPU > 0
}

// withinGuarantee reports whether what a team uses is within its guarantee. A resource of which
// the team is guaranteed nothing is not limited by it: a team that is guaranteed CPUs only may
// use GPUs as well.
func withinGuarantee(used, guarantee placement.Resources) bool {
	return (guarantee.CPU == 0 || used.CPU <= guarantee.CPU+quotaTolerance) &&
		(guarantee.GPU == 0 || used.GPU <= guarantee.GPU+quotaTolerance)
}

// placedTask is a placed task with when it was placed.
type placedTask struct {
	ref      TaskRef
	placedAt time.Time
}

// tasksBeyondGuarantee returns the tasks that run beyond their teams' guarantees, chosen from the
// last one placed on. Tasks of the jobs in within, which are inside the guarantee, are never
// among them: two teams that each have work inside and beyond theirs would otherwise
// preempt each other's tasks in turn, over and over.
func (m *Model) tasksBeyondGuarantee(within map[int32]bool) map[TaskRef]bool {
	beyond := map[TaskRef]bool{}
	if !slices.ContainsFunc(m.guarantees, func(g placement.Resources) bool { return g != placement.Resources{} }) {
		return beyond // nobody may claim anything
	}
	for team, tasks := range m.placedTasksByTeam(within) {
		sortLatestFirst(tasks)
		m.addBeyondGuarantee(beyond, team, tasks)
	}
	return beyond
}

// placedTasksByTeam returns the placed tasks of each team, without those of the given jobs.
func (m *Model) placedTasksByTeam(without map[int32]bool) [][]placedTask {
	byTeam := make([][]placedTask, len(m.teams))
	for _, mc := range m.Machines {
		for ref := range mc.Tasks {
			j := m.Jobs[ref.Job]
			if j.team >= 0 && !without[j.Index] {
				byTeam[j.team] = append(byTeam[j.team], placedTask{ref, j.Tasks[ref.Task].Placement.placedAt})
			}
		}
	}
	return byTeam
}

// sortLatestFirst sorts tasks by when they were placed, the last one first. Tasks placed at
// the same time are sorted by their references, so that the order does not depend on that of
// the maps which they come from.
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

// addBeyondGuarantee adds to beyond as many of a team's tasks, in the given order, as make up
// what the team uses beyond its guarantee. GPUs count only if the team is guaranteed some. CPUs
// always count: all CPUs of a team that is guaranteed none are beyond its guarantee.
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
