// Simulation of gang jobs, whose tasks run, save and exit together.

package fake

import (
	"maps"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// gang is an attempt of a gang job. Its tasks run only together, save only together, and exit when
// one of them is lost. The cluster's lock guards it, and callers of the functions in this file hold
// that lock.
type gang struct {
	tasks          map[int]*task // tasks on machines, by index
	running        bool          // all tasks have been on machines at once
	over           bool          // no task is on a machine any more
	runningSince   time.Time     // when the last task joined
	progressBefore float64       // the job's progress at runningSince, in seconds
	savingSince    time.Time     // when the first task began to save; zero: none has
	saving         map[int]bool  // indexes of the tasks that save
	brokenAt       time.Time     // when a task was lost; zero: none was
}

// gangOf returns the gang of a task's attempt, and creates it if it is missing.
func (w *Cluster) gangOf(t *task) *gang {
	k := taskKey{t.job.ID, t.attempt}
	g := w.gangs[k]
	if g == nil {
		g = &gang{tasks: map[int]*task{}, saving: map[int]bool{}}
		w.gangs[k] = g
	}
	return g
}

// joinGang records that a task is on its machine. The gang starts to run once all tasks are.
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

// remove records that a task is no longer on its machine.
func (g *gang) remove(t *task) {
	if g.tasks[t.index] == t {
		delete(g.tasks, t.index)
	}
	if len(g.tasks) == 0 {
		g.over = true
	}
}

// breakGang records that a task of a running gang was lost. The job keeps the progress of the last
// checkpoint. It does nothing if the gang doesn't run, saves, or has lost a task before.
func (w *Cluster) breakGang(g *gang, j *wire.Job) {
	if !g.running || !g.brokenAt.IsZero() || !g.savingSince.IsZero() {
		return
	}
	g.brokenAt = time.Now()
	if j.CheckpointS > 0 {
		w.progress[j.ID] = lastCheckpoint(g.progressBefore+time.Since(g.runningSince).Seconds(), j.CheckpointS)
	}
}

// advanceGang simulates the progress of a gang's task on a machine up to now.
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

// gangCompletes reports whether a gang's work is done, by this attempt or an earlier one.
func (w *Cluster) gangCompletes(g *gang, t *task, now time.Time) bool {
	runs := g.running && g.brokenAt.IsZero() && g.savingSince.IsZero()
	return w.jobs[t.job.ID].done[t.index] || runs && g.progressBefore+now.Sub(g.runningSince).Seconds() >= t.job.EstimateS
}

// exitAfter ends a task that was told to stop. It ends any other task with the given reason if the
// task has waited for others of its gang longer than the limit.
func exitAfter(t *task, reason string, waited, limit time.Duration) {
	switch {
	case !t.stopsAt.IsZero():
		t.machine.exit(t, wire.ExitStopped, false)
	case waited > limit:
		t.machine.exit(t, reason, false)
	}
}

// advanceSavingGang simulates the progress of a task whose gang saves. Once all tasks save, they
// exit at the end of their saving time with the progress saved. If some don't begin to save within
// the limit, the tasks exit and nothing is saved.
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

// stopGangTask handles a stop command with graceS seconds to save. A task of an intact running gang
// begins to save if the time suffices. Any other task exits at once.
func (w *Cluster) stopGangTask(t *task, graceS float64, now time.Time) {
	g := w.gangOf(t)
	if !t.saves(graceS) || !g.running || !g.brokenAt.IsZero() {
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

// inOrder returns the tasks of a gang that are on machines, sorted by index.
func (g *gang) inOrder() []*task {
	var out []*task
	for _, index := range slices.Sorted(maps.Keys(g.tasks)) {
		out = append(out, g.tasks[index])
	}
	return out
}
