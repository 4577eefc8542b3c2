// The record of which tasks are on which machines, and the checks at each start of a task.

package fake

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// startTask records that a task has its image and starts on its machine, and checks the protocol's
// rules. The caller holds the lock.
func (w *Cluster) startTask(t *task, now time.Time) {
	w.started++
	if !wire.ValidUserID(t.job.ID) {
		w.externalStarts[t.name]++
	}
	machines := w.machinesOfTasks[t.name]
	if machines == nil {
		machines = map[*machine]bool{}
		w.machinesOfTasks[t.name] = machines
	}
	if len(machines) > 0 {
		w.violations.add("ran_twice: %s starts on %s", t.name, t.machine.name)
	}
	machines[t.machine], t.present = true, true
	if j := w.jobs[t.job.ID]; !j.cancelConfirmedAt.IsZero() {
		w.startedAfterCancel++
		if now.Sub(j.cancelConfirmedAt) > secs(w.Settings.Cluster.Workers.CancelS) {
			w.violations.add("ran_cancelled: %s starts", t.name)
		}
	}
	w.checkConstraints(t)
	w.checkQuota(t)
	if t.job.Kind == wire.KindGang {
		w.joinGang(t, now)
	}
}

// checkConstraints checks that a task's machine and zone satisfy its job's constraints.
func (w *Cluster) checkConstraints(t *task) {
	if !t.machine.allowedFor(t.job) {
		w.violations.add("wrong_place: %s on %s", t.name, t.machine.name)
	}
	j := t.job
	same, others := 0, 0
	for i := range j.Tasks {
		for m := range w.machinesOfTasks[wire.TaskName(j.ID, i)] {
			if m.zone == t.machine.zone {
				same++
			} else {
				others++
			}
		}
	}
	if j.OneZone && others > 0 || j.Spread && same > maxPerZone(j) {
		w.violations.add("wrong_place: %s in zone %s, %d here and %d elsewhere", t.name, t.machine.zone, same, others)
	}
}

// allowedFor reports whether a job's constraints on type, zone and spot price allow a machine.
func (m *machine) allowedFor(j *wire.Job) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, m.machineType.Name)) && (j.Zone == "" || j.Zone == m.zone) && (!m.spot || j.Spot)
}

// maxPerZone returns the highest number of tasks in one zone for a job that spreads over zones.
func maxPerZone(j *wire.Job) int { return (j.Tasks + 1) / 2 }

// checkQuota checks that the team of a task is within its quota.
func (w *Cluster) checkQuota(t *task) {
	for _, team := range w.Settings.Cluster.Teams {
		if team.Name != t.job.Team || team.CPUsMax+team.GPUsMax == 0 {
			continue
		}
		cpus, gpus := 0.0, 0.0
		for name, machines := range w.machinesOfTasks {
			id, _, _ := wire.ParseTaskName(name)
			if j := w.jobs[id]; j.spec.Team == team.Name {
				cpus += j.spec.CPUs * float64(len(machines))
				gpus += j.spec.GPUs * float64(len(machines))
			}
		}
		if exceedsQuota(team, cpus, gpus) {
			w.violations.add("quota: team %s uses %g CPUs, %g GPUs", team.Name, cpus, gpus)
		}
	}
}

// endIncompleteTask records that a task has left its machine without completing. The caller holds
// the lock.
func (w *Cluster) endIncompleteTask(t *task) {
	if !t.present {
		return
	}
	w.removeTask(t)
	if t.job.Kind == wire.KindGang {
		w.breakGang(w.gangOf(t), t.job)
	}
}

// completeTask records that a task has completed and left its machine. The caller holds the lock.
func (w *Cluster) completeTask(t *task) {
	if t.present {
		w.removeTask(t)
	}
	w.noteCompletion(w.jobs[t.job.ID], t.index)
}

// removeTask records that a task is no longer on its machine.
func (w *Cluster) removeTask(t *task) {
	t.present = false
	delete(w.machinesOfTasks[t.name], t.machine)
	if t.job.Kind == wire.KindGang {
		w.gangOf(t).remove(t)
	}
}
