package fake

import (
	"maps"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file simulates how the tasks of a gang depend on one another: they run only
// together, save only together, and end when one of them is lost.

// gang is an attempt of a gang's job. The cluster's lock guards it.
type gang struct {
	tasks          map[int]*task // those that are on machines, by their index
	running        bool          // all of them have come together
	over           bool          // none of them is on a machine any more
	runningSince   time.Time     // when they came together
	progressBefore float64       // the job's progress then
	savingSince    time.Time     // when the first of them began to save
	saving         map[int]bool  // those that save
	brokenAt       time.Time     // when one of them was lost
}

// gangOf is the attempt that a task is of.
func (w *Cluster) gangOf(t *task) *gang {
	k := taskKey{t.job.ID, t.attempt}
	g := w.gangs[k]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, saving: map[int]bool{}}
		w.gangs[k] = g
	}
	return g
}

// joinGang records that a task is on its machine, and lets the gang run if it is the last.
func (w *Cluster) joinGang(t *task, now time.Time) {
	g := w.gangOf(t)
	if g.over {
		*g = gang{tasks: map[int]*task{}, runningSince: g.runningSince, progressBefore: g.progressBefore, saving: map[int]bool{}}
	}
	g.tasks[t.index] = t
	if len(g.tasks) == t.job.Tasks && !g.running {
		g.running, g.runningSince, g.progressBefore = true, now, w.progress[t.job.ID]
		for _, o := range g.tasks {
			o.state, o.machine.heartbeatDue = wire.TaskRunning, true
		}
	}
}

// remove records that a task is on its machine no more.
func (g *gang) remove(t *task) {
	if g.tasks[t.index] == t {
		delete(g.tasks, t.index)
	}
	if len(g.tasks) == 0 {
		g.over = true
	}
}

// breakGang records that a task of a gang was lost. If the gang ran, its job keeps the
// progress of the last checkpoint.
func (w *Cluster) breakGang(g *gang, j *wire.Job) {
	if !g.running || !g.brokenAt.IsZero() || !g.savingSince.IsZero() {
		return
	}
	g.brokenAt = time.Now()
	if j.CheckpointS > 0 {
		w.progress[j.ID] = lastCheckpoint(g.progressBefore+time.Since(g.runningSince).Seconds(), j.CheckpointS)
	}
}

// advanceGang advances a task of a gang that is on its machine. The lock is held.
func (w *Cluster) advanceGang(t *task, now time.Time) {
	g, workers := w.gangOf(t), w.Settings.Cluster.Workers
	switch {
	case w.gangCompletes(g, t, now):
		for _, o := range g.inOrder() {
			o.machine.exit(o, wire.ExitDone, false)
		}
	case !g.running:
		exitAfter(t, wire.ExitAlone, now.Sub(t.presentSince), secs(workers.GangWaitS))
	case !g.brokenAt.IsZero():
		exitAfter(t, wire.ExitPeers, now.Sub(g.brokenAt), secs(workers.GangPeerS))
	case !g.savingSince.IsZero():
		w.advanceSavingGang(g, t, now)
	}
}

// gangCompletes reports whether a gang's work is done, by this attempt or one before.
func (w *Cluster) gangCompletes(g *gang, t *task, now time.Time) bool {
	runs := g.running && g.brokenAt.IsZero() && g.savingSince.IsZero()
	return w.jobs[t.job.ID].done[t.index] || runs && g.progressBefore+now.Sub(g.runningSince).Seconds() >= t.job.EstimateS
}

// exitAfter ends a task that was told to stop, or has waited longer than the limit for
// others of its gang.
func exitAfter(t *task, why string, waited, limit time.Duration) {
	switch {
	case !t.stopsAt.IsZero():
		t.machine.exit(t, wire.ExitStopped, false)
	case waited > limit:
		t.machine.exit(t, why, false)
	}
}

// advanceSavingGang advances a task whose gang saves: once all of its tasks do, they end
// with what they have saved. If some don't in time, nothing is saved.
func (w *Cluster) advanceSavingGang(g *gang, t *task, now time.Time) {
	switch {
	case len(g.saving) == t.job.Tasks:
		if !t.stopsAt.IsZero() && !now.Before(t.stopsAt) {
			w.progress[t.job.ID] = g.progressBefore + g.savingSince.Sub(g.runningSince).Seconds()
			t.machine.exit(t, wire.ExitStopped, true)
		}
	case now.Sub(g.savingSince) <= secs(w.Settings.Cluster.Workers.GangPeerS):
	case g.saving[t.index]:
		t.machine.exit(t, wire.ExitStopped, false)
	default:
		t.machine.exit(t, wire.ExitPeers, false)
	}
}

// stopGangTask lets a task of a gang that runs save, and ends any other.
func (w *Cluster) stopGangTask(t *task, grace float64, now time.Time) {
	g := w.gangOf(t)
	if !t.saves(grace) || !g.running || !g.brokenAt.IsZero() {
		t.machine.exit(t, wire.ExitStopped, false)
		return
	}
	if g.savingSince.IsZero() {
		g.savingSince = now
	}
	g.saving[t.index] = true
	if t.stopsAt.IsZero() {
		t.stopsAt, t.state = now.Add(secs(t.job.SaveS)), wire.TaskSaving
	}
}

// inOrder lists the tasks of a gang that are on machines by their index.
func (g *gang) inOrder() []*task {
	var out []*task
	for _, index := range slices.Sorted(maps.Keys(g.tasks)) {
		out = append(out, g.tasks[index])
	}
	return out
}
