package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file tracks which tasks are on which machines, and checks the rules at each start.

// arrive takes in that a task has its image: from now on it is on its machine,
// and the rules are checked. The lock is held.
func (w *Cluster) arrive(t *task, now time.Time) {
	w.started++
	if !wire.ValidUserID(t.job.ID) {
		w.externalStarts[t.name]++
	}
	on := w.tasksWithImage[t.name]
	if on == nil {
		on = map[*machine]bool{}
		w.tasksWithImage[t.name] = on
	}
	if len(on) > 0 {
		w.breaksLocked("ran_twice: %s starts on %s", t.name, t.m.name)
	}
	on[t.m], t.here = true, true
	if j := w.jobs[t.job.ID]; !j.cancelled.IsZero() {
		w.afterCancel++
		if now.Sub(j.cancelled) > secs(w.Settings.Cluster.Workers.CancelS) {
			w.breaksLocked("ran_cancelled: %s starts", t.name)
		}
	}
	w.checkPlace(t)
	w.checkQuota(t)
	if t.job.Kind == wire.KindGang {
		g := w.gangOf(t)
		if g.over {
			g.tasks, g.running, g.over, g.halted = map[int]*task{}, false, false, map[int]bool{}
			g.broken, g.haltAt = time.Time{}, time.Time{}
		}
		g.tasks[t.idx] = t
		if len(g.tasks) == t.job.Tasks && !g.running {
			g.running, g.since, g.before = true, now, w.progress[t.job.ID]
			for _, o := range g.tasks {
				o.state, o.m.dirty = wire.TaskRunning, true
			}
		}
		return
	}
}

func (w *Cluster) checkPlace(t *task) {
	j := t.job
	ok := len(j.Types) == 0
	for _, n := range j.Types {
		ok = ok || n == t.m.typ.Name
	}
	if !ok || j.Zone != "" && j.Zone != t.m.zone || t.m.spot && !j.Spot {
		w.breaksLocked("wrong_place: %s on %s", t.name, t.m.name)
	}
	same, others := 0, 0
	for i := range j.Tasks {
		for m := range w.tasksWithImage[wire.TaskName(j.ID, i)] {
			if m.zone == t.m.zone {
				same++
			} else {
				others++
			}
		}
	}
	if j.OneZone && others > 0 || j.Spread && same > (j.Tasks+1)/2 {
		w.breaksLocked("wrong_place: %s in zone %s, %d here and %d elsewhere", t.name, t.m.zone, same, others)
	}
}

func (w *Cluster) checkQuota(t *task) {
	for _, team := range w.Settings.Cluster.Teams {
		if team.Name != t.job.Team || team.CPUsMax+team.GPUsMax == 0 {
			continue
		}
		cpus, gpus := 0.0, 0.0
		for name, ms := range w.tasksWithImage {
			id, _, _ := wire.SplitTask(name)
			if j := w.jobs[id]; j.spec.Team == team.Name {
				cpus += j.spec.CPUs * float64(len(ms))
				gpus += j.spec.GPUs * float64(len(ms))
			}
		}
		if team.CPUsMax > 0 && cpus > team.CPUsMax+1e-6 || team.GPUsMax > 0 && gpus > team.GPUsMax+1e-6 {
			w.breaksLocked("quota: team %s uses %g CPUs, %g GPUs", team.Name, cpus, gpus)
		}
	}
}

func (w *Cluster) gangOf(t *task) *gang {
	k := taskKey{t.job.ID, t.attempt}
	g := w.gangs[k]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, halted: map[int]bool{}}
		w.gangs[k] = g
	}
	return g
}

// leave takes in that a task is on its machine no more. The lock is held.
func (w *Cluster) leave(t *task, done bool) {
	if t == nil {
		return
	}
	if t.here {
		t.here = false
		delete(w.tasksWithImage[t.name], t.m)
		if t.job.Kind == wire.KindGang {
			g := w.gangOf(t)
			if g.tasks[t.idx] == t {
				delete(g.tasks, t.idx)
			}
			if g.running && !done && g.broken.IsZero() && g.haltAt.IsZero() {
				g.broken = time.Now()
				if c := t.job.CheckpointS; c > 0 {
					n := (g.before + time.Since(g.since).Seconds()) / c
					w.progress[t.job.ID] = c * float64(int(n))
				}
			}
			if len(g.tasks) == 0 {
				g.over = true
			}
		}
	}
	if done && t.job != nil {
		w.taskDone(w.jobs[t.job.ID], t.idx)
	}
}
