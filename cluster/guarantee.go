package cluster

import "github.com/umberdeal/umberdeal/placement"

// This file determines which jobs are within the quota that is guaranteed to their team.

// quotaTolerance is by how much resources may exceed a quota, to allow for rounding errors of
// sums.
const quotaTolerance = 1e-6

// jobsWithinQuota returns the indexes of the jobs that are within their team's guarantee
// together with the team's earlier unfinished jobs. The jobs are in the order of their
// acceptance.
func (m *Model) jobsWithinQuota(jobs []*Job) map[int32]bool {
	within := map[int32]bool{}
	used := make([]placement.Resources, len(m.teams))
	for _, j := range jobs {
		if j.Team < 0 {
			continue
		}
		used[j.Team] = used[j.Team].Add(j.Need, float64(len(j.Tasks)-j.DoneTasks))
		if g := m.guarantees[j.Team]; guaranteed(j.Need, g) && withinGuarantee(used[j.Team], g) {
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
