package cluster

import "github.com/umberdeal/umberdeal/placement"

// This file is which jobs are within the quota that their team is guaranteed.

// jobsWithinQuota finds the jobs that fit into their team's guarantee together with
// the team's earlier unfinished jobs.
func (m *Model) jobsWithinQuota(jobs []*Job) map[int32]bool {
	out := map[int32]bool{}
	use := make([]placement.Resources, len(m.teams))
	for _, j := range jobs { // in order of arrival
		if j.Team < 0 {
			continue
		}
		use[j.Team] = use[j.Team].Add(j.Need, float64(len(j.Tasks)-j.DoneTasks))
		if g := m.guarantees[j.Team]; guaranteed(j.Need, g) && withinGuarantee(use[j.Team], g) {
			out[j.Index] = true
		}
	}
	return out
}

// guaranteed says whether a task needs any resource of which its team is guaranteed some.
// Work that needs none of them is within no guarantee: where teams were guaranteed GPUs
// only, every job without GPUs came before all others.
func guaranteed(need, g placement.Resources) bool {
	return need.CPU > 0 && g.CPU > 0 || need.GPU > 0 && g.GPU > 0
}

// withinGuarantee says whether what a team uses is within its guarantee. A resource of which the
// team is guaranteed nothing does not count: a team with guaranteed CPUs and no word of
// GPUs may use both.
func withinGuarantee(use, g placement.Resources) bool {
	return (g.CPU == 0 || use.CPU <= g.CPU+1e-6) && (g.GPU == 0 || use.GPU <= g.GPU+1e-6)
}
