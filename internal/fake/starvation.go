// Detection of jobs that wait although a machine has room and their team is under its quota.

package fake

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// Starved observes the cluster until no waiting job could start, and then returns nil. It returns
// the sorted ids of jobs that could have started during the whole time within: suitable machines
// had free resources and the job's team was under its quota. Call it only without active faults.
func (w *Cluster) Starved(within time.Duration) []string {
	since := map[string]time.Time{}
	for {
		now := time.Now()
		startable := w.startableJobs()
		for id := range since {
			if !slices.Contains(startable, id) {
				delete(since, id)
			}
		}
		var starved []string
		for _, id := range startable {
			if since[id].IsZero() {
				since[id] = now
			}
			if now.Sub(since[id]) >= within {
				starved = append(starved, id)
			}
		}
		if len(startable) == 0 || len(starved) > 0 || !call.Pause(w.ctx, time.Second) {
			return starved
		}
	}
}

// startableJobs returns the sorted ids of users' jobs with a waiting task that could start now, and
// of gangs whose tasks could all start.
func (w *Cluster) startableJobs() (out []string) {
	var all []*machine
	for _, name := range w.Cloud.Machines() {
		if m := w.Cloud.machine(name); m != nil {
			all = append(all, m)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if !wire.ValidUserID(id) || !j.accepted || j.cancelRequested || j.spec.Class == BrokenClass {
			continue
		}
		inZone := unfinishedPerZone(j, all)
		needed := tasksToStart(j, inZone)
		if needed > 0 && w.quotaAllows(&j.spec, needed, all) && w.roomFor(&j.spec, all, inZone) >= needed {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unfinishedPerZone returns the number of a job's tasks that are on machines and have not
// completed, by zone.
func unfinishedPerZone(j *job, all []*machine) map[string]int {
	zones := map[string]int{}
	for _, m := range all {
		for _, t := range m.tasks {
			if t.job == &j.spec && t.state != wire.TaskExited && !j.done[t.index] {
				zones[m.zone]++
			}
		}
	}
	return zones
}

// tasksToStart returns how many waiting tasks of a job have to start together, given the number of
// tasks on machines by zone: 1, all tasks of a gang, or 0 if none can start.
func tasksToStart(j *job, inZone map[string]int) int {
	waiting := j.spec.Tasks - len(j.done)
	for _, n := range inZone {
		waiting -= n
	}
	switch {
	case waiting <= 0:
		return 0
	case j.spec.Kind != wire.KindGang:
		return 1
	case waiting < j.spec.Tasks:
		return 0 // the gang's present attempt must end first
	}
	return waiting
}

// quotaAllows reports whether a team's quota allows n more tasks of a job. Tasks that fetch their
// image count as usage. The caller holds the lock.
func (w *Cluster) quotaAllows(j *wire.Job, n int, all []*machine) bool {
	cpus, gpus := j.CPUs*float64(n), j.GPUs*float64(n)
	for _, m := range all {
		for _, t := range m.tasks {
			if t.job != nil && t.job.Team == j.Team && t.state != wire.TaskExited {
				cpus, gpus = cpus+t.job.CPUs, gpus+t.job.GPUs
			}
		}
	}
	for _, team := range w.Settings.Cluster.Teams {
		if team.Name == j.Team && exceedsQuota(team, cpus, gpus) {
			return false
		}
	}
	return true
}

// roomFor returns how many more tasks of a job fit on working machines, given the number of its
// tasks on machines by zone. The caller holds the lock.
func (w *Cluster) roomFor(j *wire.Job, all []*machine, inZone map[string]int) int {
	fits := map[string]int{}
	for _, m := range all {
		if !m.works() || !m.allowedFor(j) {
			continue
		}
		if n := m.roomFor(j, j.Tasks-fits[m.zone]); n > 0 {
			fits[m.zone] += n
		}
	}
	total, most := 0, 0
	for zone, n := range fits {
		if j.Spread {
			n = min(n, maxPerZone(j)-inZone[zone])
		}
		if j.OneZone && len(inZone) > 0 && inZone[zone] == 0 {
			n = 0
		}
		total, most = total+n, max(most, n)
	}
	if j.OneZone {
		return most
	}
	return total
}

// works reports whether a machine can start and run tasks. A machine whose last accepted answer is
// older than half a lease may lose its lease, and doesn't count. The caller holds the cluster's
// lock.
func (m *machine) works() bool {
	return !m.dead && !m.hung && !m.faulty && m.interruptionNotice == nil &&
		time.Since(m.leaseRenewedAt) <= secs(m.cluster.Settings.Cluster.Workers.LeaseS)/2
}

// roomFor returns how many more tasks of a job fit on a machine, at most the given number. The
// caller holds the cluster's lock.
func (m *machine) roomFor(j *wire.Job, most int) (n int) {
	free := resourcesOf(m.machineType)
	for _, t := range m.tasks {
		if t.job != nil && t.state != wire.TaskExited {
			free = free.minus(t.job)
		}
	}
	need := resources{}.plus(j)
	for ; n < most && need.fitIn(free); n++ {
		free = free.minus(j)
	}
	return n
}
