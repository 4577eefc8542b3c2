package fake

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/wire"
)

// This file finds jobs that wait although a machine has room for them and their team is under
// its limit.

// Starved watches, once troubles are over, for as long as it takes until no job
// waits that could run, a while at most, and names the jobs that waited all that
// time though a machine that fits had room and the team was under its limit.
func (w *Cluster) Starved(within time.Duration) []string {
	since := map[string]time.Time{}
	for {
		now := time.Now()
		may := w.couldStart()
		for id := range since {
			if !slices.Contains(may, id) {
				delete(since, id)
			}
		}
		var out []string
		for _, id := range may {
			if since[id].IsZero() {
				since[id] = now
			}
			if now.Sub(since[id]) >= within {
				out = append(out, id)
			}
		}
		if len(may) == 0 || len(out) > 0 || !call.Pause(w.ctx, time.Second) {
			return out
		}
	}
}

// couldStart lists the jobs with a task that could start now, a gang if all could.
func (w *Cluster) couldStart() (out []string) {
	var all []*machine
	for _, name := range w.Cloud.Machines() {
		if m := w.Cloud.machine(name); m != nil {
			all = append(all, m)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		waiting := j.spec.Tasks - len(j.done)
		zones := map[string]int{}
		for _, m := range all {
			for _, t := range m.tasks {
				if t.job == &j.spec && t.state != wire.TaskExited && !j.done[t.idx] {
					waiting--
					zones[m.zone]++
				}
			}
		}
		if !wire.ValidUserID(id) || !j.accepted || j.asked || j.spec.Class == BrokenClass || waiting <= 0 {
			continue
		}
		need := 1
		if j.spec.Kind == wire.KindGang {
			if need = waiting; waiting < j.spec.Tasks {
				continue // its attempt ends before the next begins
			}
		}
		if w.under(&j.spec, need, all) && w.roomFor(&j.spec, all, zones) >= need {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// under says whether a team's limit leaves room for so many more tasks; the lock
// is held. What fetches its image counts.
func (w *Cluster) under(j *wire.Job, n int, all []*machine) bool {
	cpus, gpus := j.CPUs*float64(n), j.GPUs*float64(n)
	for _, m := range all {
		for _, t := range m.tasks {
			if t.job != nil && t.job.Team == j.Team && t.state != wire.TaskExited {
				cpus, gpus = cpus+t.job.CPUs, gpus+t.job.GPUs
			}
		}
	}
	for _, team := range w.Settings.Cluster.Teams {
		if team.Name == j.Team && (team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6) {
			return false
		}
	}
	return true
}

// roomFor is how many tasks of a job fit on the machines that work; zones is where
// others of its tasks are. The lock is held.
func (w *Cluster) roomFor(j *wire.Job, all []*machine, zones map[string]int) int {
	fits := map[string]int{}
	for _, m := range all {
		if m.dead || m.hung || m.faulty || m.notice != nil || m.spot && !j.Spot || j.Zone != "" && j.Zone != m.zone ||
			len(j.Types) > 0 && !slices.Contains(j.Types, m.typ.Name) || time.Since(m.renewed) > secs(w.Settings.Cluster.Workers.LeaseS)/2 {
			continue
		}
		cpus, gpus, mem := m.typ.CPUs, m.typ.GPUs, m.typ.MemoryGB
		for _, t := range m.tasks {
			if t.job != nil && t.state != wire.TaskExited {
				cpus, gpus, mem = cpus-t.job.CPUs, gpus-t.job.GPUs, mem-t.job.MemoryGB
			}
		}
		for cpus+1e-6 >= j.CPUs && gpus+1e-6 >= j.GPUs && mem+1e-6 >= j.MemoryGB && fits[m.zone] < j.Tasks {
			fits[m.zone]++
			cpus, gpus, mem = cpus-j.CPUs, gpus-j.GPUs, mem-j.MemoryGB
		}
	}
	n, most := 0, 0
	for zone, k := range fits {
		if j.Spread {
			k = min(k, (j.Tasks+1)/2-zones[zone])
		}
		if j.OneZone && len(zones) > 0 && zones[zone] == 0 {
			k = 0
		}
		n, most = n+k, max(most, k)
	}
	if j.OneZone {
		return most
	}
	return n
}
