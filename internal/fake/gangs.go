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
	tasks   map[int]*task // those that are on machines, by their index
	running bool          // all of them have come together
	over    bool          // none of them is on a machine any more
	since   time.Time     // when they came together
	before  float64       // the job's progress then
	haltAt  time.Time     // when the first of them began to save
	halted  map[int]bool  // those that save
	broken  time.Time     // when one of them was lost
}

// gangOf is the attempt that a task is of.
func (w *Cluster) gangOf(t *task) *gang {
	k := taskKey{t.job.ID, t.attempt}
	g := w.gangs[k]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, halted: map[int]bool{}}
		w.gangs[k] = g
	}
	return g
}

// joinGang takes in that a task is on its machine, and lets the gang run if it is the last.
func (w *Cluster) joinGang(t *task, now time.Time) {
	g := w.gangOf(t)
	if g.over {
		*g = gang{tasks: map[int]*task{}, since: g.since, before: g.before, halted: map[int]bool{}}
	}
	g.tasks[t.idx] = t
	if len(g.tasks) == t.job.Tasks && !g.running {
		g.running, g.since, g.before = true, now, w.progress[t.job.ID]
		for _, o := range g.tasks {
			o.state, o.m.dirty = wire.TaskRunning, true
		}
	}
}

// remove takes in that a task is on its machine no more.
func (g *gang) remove(t *task) {
	if g.tasks[t.idx] == t {
		delete(g.tasks, t.idx)
	}
	if len(g.tasks) == 0 {
		g.over = true
	}
}

// breakGang takes in that a task of a gang was lost. If the gang ran, its job keeps the
// progress of the last checkpoint.
func (w *Cluster) breakGang(g *gang, j *wire.Job) {
	if !g.running || !g.broken.IsZero() || !g.haltAt.IsZero() {
		return
	}
	g.broken = time.Now()
	if j.CheckpointS > 0 {
		w.progress[j.ID] = lastCheckpoint(g.before+time.Since(g.since).Seconds(), j.CheckpointS)
	}
}

// advanceGang lets a task of a gang go on that is on its machine. The lock is held.
func (w *Cluster) advanceGang(t *task, now time.Time) {
	g, workers := w.gangOf(t), w.Settings.Cluster.Workers
	switch {
	case w.gangCompletes(g, t, now):
		for _, o := range g.inOrder() {
			o.m.exit(o, wire.WhyDone, false)
		}
	case !g.running:
		exitAfter(t, wire.WhyAlone, now.Sub(t.waiting), secs(workers.GangWaitS))
	case !g.broken.IsZero():
		exitAfter(t, wire.WhyPeers, now.Sub(g.broken), secs(workers.GangPeerS))
	case !g.haltAt.IsZero():
		w.advanceSavingGang(g, t, now)
	}
}

// gangCompletes says whether a gang's work is done, by this attempt or one before.
func (w *Cluster) gangCompletes(g *gang, t *task, now time.Time) bool {
	runs := g.running && g.broken.IsZero() && g.haltAt.IsZero()
	return w.jobs[t.job.ID].done[t.idx] || runs && g.before+now.Sub(g.since).Seconds() >= t.job.EstimateS
}

// exitAfter ends a task that was told to stop, or has waited longer than the limit for
// others of its gang.
func exitAfter(t *task, why string, waited, limit time.Duration) {
	switch {
	case !t.stopAt.IsZero():
		t.m.exit(t, wire.WhyStopped, false)
	case waited > limit:
		t.m.exit(t, why, false)
	}
}

// advanceSavingGang lets a task go on whose gang saves: once all of its tasks do, they end
// with what they have saved. If some don't in time, nothing is saved.
func (w *Cluster) advanceSavingGang(g *gang, t *task, now time.Time) {
	switch {
	case len(g.halted) == t.job.Tasks:
		if !t.stopAt.IsZero() && !now.Before(t.stopAt) {
			w.progress[t.job.ID] = g.before + g.haltAt.Sub(g.since).Seconds()
			t.m.exit(t, wire.WhyStopped, true)
		}
	case now.Sub(g.haltAt) <= secs(w.Settings.Cluster.Workers.GangPeerS):
	case g.halted[t.idx]:
		t.m.exit(t, wire.WhyStopped, false)
	default:
		t.m.exit(t, wire.WhyPeers, false)
	}
}

// stopGangTask lets a task of a gang that runs save, and ends any other.
func (w *Cluster) stopGangTask(t *task, grace float64, now time.Time) {
	g := w.gangOf(t)
	if !t.saves(grace) || !g.running || !g.broken.IsZero() {
		t.m.exit(t, wire.WhyStopped, false)
		return
	}
	if g.haltAt.IsZero() {
		g.haltAt = now
	}
	g.halted[t.idx] = true
	if t.stopAt.IsZero() {
		t.stopAt, t.state = now.Add(secs(t.job.SaveS)), wire.TaskSaving
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
