package cluster

import (
	"math"
	"slices"

	"github.com/umberdeal/umberdeal/placement"
)

// This file keeps machines with GPUs free for work that needs GPUs.

// keepGPUMachinesFree keeps requests that need no GPU away from machines that have GPUs while
// other requests wait for GPUs. It applies to jobs that fit on a machine type without GPUs:
//
//   - Those without an objective get no machine with GPUs, nor do those without an objective on
//     the wait as long as a request of the same or a higher priority waits for GPUs. Excepted
//     are requests within a quota and, from the second rule, those that must start by the
//     starvation bound.
//   - All others prefer machines without GPUs if any tasks without an objective and without
//     GPUs are placed, since these may be preempted.
//
// Otherwise tasks without an objective occupy the machines without GPUs for minutes, so that
// all others need those with GPUs; and thousands of small tasks take the CPUs beside the GPUs
// one at a time, so that a task that needs both never finds enough of them.
func (m *Model) keepGPUMachinesFree(queue []*queueEntry, jobs []*Job) {
	gpusWanted := slices.ContainsFunc(queue, func(entry *queueEntry) bool { return entry.job.Need.GPU > 0 })
	withoutGPUs := make([]bool, len(m.MachineTypes))
	for i := range m.MachineTypes {
		withoutGPUs[i] = m.MachineTypes[i].Capacity.GPU == 0
	}
	if !gpusWanted || !slices.Contains(withoutGPUs, true) {
		return
	}
	preemptible := slices.ContainsFunc(jobs, func(j *Job) bool { return j.PlacedTasks > 0 && j.Need.GPU == 0 && !m.hasObjective(j) })
	highest := m.highestPriorityForGPUs(queue)
	for _, entry := range queue {
		if entry.job.Need.GPU > 0 || !slices.ContainsFunc(m.fittingTypes(entry.job), func(i int) bool { return withoutGPUs[i] }) {
			continue
		}
		switch {
		case !entry.withinGuarantee && (!m.hasObjective(entry.job) || !entry.mustStart && entry.job.priority >= highest && !m.hasWaitObjective(entry.job)):
			entry.req.Types = intersect(entry.req.Types, withoutGPUs)
		case preemptible:
			entry.req.PreferredTypes = intersect(entry.req.Types, withoutGPUs)
		}
	}
}

// highestPriorityForGPUs returns the highest priority, which is the lowest number, of the
// requests that wait for GPUs and not for their team's limit. It returns a number above all
// priorities if there are none.
func (m *Model) highestPriorityForGPUs(queue []*queueEntry) int {
	highest := math.MaxInt
	for _, entry := range queue {
		if entry.job.Need.GPU > 0 && entry.job.priority < highest && placement.TasksWithinLimit(&entry.req, m.teams) > 0 {
			highest = entry.job.priority
		}
	}
	return highest
}

// fittingTypes lists the machine types that the job allows and that have the capacity for one of
// its tasks.
func (m *Model) fittingTypes(j *Job) (out []int) {
	for i := range m.MachineTypes {
		if j.allowedTypes[i] && j.Need.Fits(m.MachineTypes[i].Capacity) {
			out = append(out, i)
		}
	}
	return out
}

// intersect returns the set of machine types that are in both sets.
func intersect(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}
