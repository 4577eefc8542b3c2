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
func (m *Model) keepGPUMachinesFree(queue []*queued, jobs []*Job) {
	gpusWanted := slices.ContainsFunc(queue, func(k *queued) bool { return k.job.Need.GPU > 0 })
	withoutGPUs := make([]bool, len(m.MachineTypes))
	for i := range m.MachineTypes {
		withoutGPUs[i] = m.MachineTypes[i].Capacity.GPU == 0
	}
	if !gpusWanted || !slices.Contains(withoutGPUs, true) {
		return
	}
	preemptible := slices.ContainsFunc(jobs, func(j *Job) bool { return j.PlacedTasks > 0 && j.Need.GPU == 0 && !m.hasObjective(j) })
	highest := m.highestPriorityForGPUs(queue)
	for _, k := range queue {
		if k.job.Need.GPU > 0 || !slices.ContainsFunc(m.fittingTypes(k.job), func(i int) bool { return withoutGPUs[i] }) {
			continue
		}
		switch {
		case !k.withinGuarantee && (!m.hasObjective(k.job) || !k.mustStart && k.job.priority >= highest && !m.hasWaitObjective(k.job)):
			k.req.Types = intersect(k.req.Types, withoutGPUs)
		case preemptible:
			k.req.PreferredTypes = intersect(k.req.Types, withoutGPUs)
		}
	}
}

// highestPriorityForGPUs returns the highest priority, which is the lowest number, of the
// requests that wait for GPUs and not for their team's limit. It returns a number above all
// priorities if there are none.
func (m *Model) highestPriorityForGPUs(queue []*queued) int {
	highest := math.MaxInt
	for _, k := range queue {
		if k.job.Need.GPU > 0 && k.job.priority < highest && placement.TasksWithinLimit(&k.req, m.teams) > 0 {
			highest = k.job.priority
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
