package cluster

import (
	"math"
	"slices"

	"github.com/umberdeal/umberdeal/placement"
)

// This file keeps machines with GPUs free for work that needs GPUs.

// keepGPUMachinesFree keeps work that needs no GPU away from machines that have them
// while other work waits for GPUs: jobs that no objective speaks of altogether, those
// that no objective wants started soon as long as what waits is of no lower priority,
// and the others as long as stopping such jobs elsewhere makes room for them.
// Otherwise a guest's tasks take the machines without GPUs for minutes, and
// everybody else's those with GPUs; and thousands of small tasks refill the CPUs
// beside the GPUs one by one, so that a task which needs both never finds them.
func (m *Model) keepGPUMachinesFree(out []*queued, jobs []*Job) {
	gpus := slices.ContainsFunc(out, func(k *queued) bool { return k.job.Need.GPU > 0 })
	plain := make([]bool, len(m.MachineTypes))
	for i := range m.MachineTypes {
		plain[i] = m.MachineTypes[i].Capacity.GPU == 0
	}
	if !gpus || !slices.Contains(plain, true) {
		return
	}
	aimless := slices.ContainsFunc(jobs, func(j *Job) bool { return j.PlacedTasks > 0 && j.Need.GPU == 0 && !m.hasObjective(j) })
	first := m.highestPriorityForGPUs(out)
	for _, k := range out {
		if k.job.Need.GPU > 0 || !slices.ContainsFunc(m.fittingTypes(k.job), func(ti int) bool { return plain[ti] }) {
			continue
		}
		switch {
		case !m.hasObjective(k.job) && !k.withinQuota, !k.withinQuota && !k.mustStart && k.job.Priority >= first && !m.hasWaitObjective(k.job):
			k.req.Types = intersect(k.req.Types, plain)
		case aimless:
			k.req.PreferredTypes = intersect(k.req.Types, plain)
		}
	}
}

// highestPriorityForGPUs is the highest priority, the lowest number, of what waits for GPUs and not
// for its team's limit; above all of them if nothing does.
func (m *Model) highestPriorityForGPUs(out []*queued) int {
	first := math.MaxInt
	for _, k := range out {
		if k.job.Need.GPU > 0 && k.job.Priority < first && placement.TasksWithinLimit(&k.req, m.teams) > 0 {
			first = k.job.Priority
		}
	}
	return first
}

// fittingTypes lists the types on which a task of the job fits.
func (m *Model) fittingTypes(j *Job) (out []int) {
	for i := range m.MachineTypes {
		if j.AllowedTypes[i] && j.Need.Fits(m.MachineTypes[i].Capacity) {
			out = append(out, i)
		}
	}
	return out
}

func intersect(a, b []bool) []bool {
	out := make([]bool, len(a))
	for i := range a {
		out[i] = a[i] && b[i]
	}
	return out
}
