// Keeps machines with GPUs free for tasks that need GPUs.

package cluster

import (
	"math"
	"slices"

	"github.com/umberdeal/umberdeal/placement"
)

// keepGPUMachinesFree keeps requests that need no GPU off machines with GPUs while other requests
// wait for GPUs. It applies to jobs that fit on a machine type without GPUs:
//
//   - Jobs without an objective get no machine with GPUs.
//   - Jobs without an objective on the wait get none while a request of the same or a higher
//     priority waits for GPUs. Requests that must start by the starvation bound are exempt.
//   - All others prefer machines without GPUs if tasks without an objective and without GPUs are
//     placed, since these may be preempted.
//
// Requests within a guaranteed quota are exempt from the first two rules.
//
// These rules prevent two faults. Tasks without an objective would occupy the machines without GPUs
// for minutes, so that all other tasks would need machines with GPUs. Thousands of small tasks would
// take the CPUs of GPU machines one at a time, so that a task that needs GPUs and CPUs would never
// find enough CPUs.
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

// highestPriorityForGPUs returns the highest priority, which is the lowest number, of the requests
// that wait for GPUs. Requests that wait for their team's limit don't count. It returns math.MaxInt
// if there are none.
func (m *Model) highestPriorityForGPUs(queue []*queueEntry) int {
	highest := math.MaxInt
	for _, entry := range queue {
		if entry.job.Need.GPU > 0 && entry.job.priority < highest && placement.TasksWithinLimit(&entry.req, m.teams) > 0 {
			highest = entry.job.priority
		}
	}
	return highest
}

// fittingTypes returns the indexes of the machine types that the job allows and that have the
// capacity for one of its tasks.
func (m *Model) fittingTypes(j *Job) (out []int) {
	for i := range m.MachineTypes {
		if j.allowedTypes[i] && j.Need.Fits(m.MachineTypes[i].Capacity) {
			out = append(out, i)
		}
	}
	return out
}

// intersect returns the machine types that are in both sets, which are indexed by type.
func intersect(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}
