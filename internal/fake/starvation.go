package fake

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file finds jobs that wait although a machine has room for them and their team is under
// its limit.

// Starved observes the cluster, once faults are over, until no job waits that could start, or
// until some have waited that long although a machine that fits had free resources and their
// team was under its limit. It returns the latter.
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

// startableJobs lists the jobs with a task that could start now, a gang if all could.
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
		need := tasksToStart(j, inZone)
		if need > 0 && w.quotaAllows(&j.spec, need, all) && w.roomFor(&j.spec, all, inZone) >= need {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// unfinishedPerZone counts the tasks of a job on machines that have not completed, by zone.
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

// tasksToStart is how many tasks of a job have to start together, given those that are on
// machines; 0 if none can.
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
		return 0 // its attempt ends before the next begins
	}
	return waiting
}

// quotaAllows reports whether a team's limit leaves room for n more tasks; the lock
// is held. What fetches its image counts.
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

// roomFor is how many tasks of a job fit on the machines that work; inZone is where
// others of its tasks are. The lock is held.
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

// works reports whether a machine takes tasks and lets them run; one whose last answer is old
// may not. The cluster's lock is held.
func (m *machine) works() bool {
	return !m.dead && !m.hung && !m.faulty && m.interruptionNotice == nil &&
		time.Since(m.leaseRenewedAt) <= secs(m.cluster.Settings.Cluster.Workers.LeaseS)/2
}

// roomFor is how many tasks of a job fit on a machine beside those that it has, up to
// a number. The cluster's lock is held.
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
