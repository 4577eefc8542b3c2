// Simulation of the progress of tasks: completion, saving and stops.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// advanceTask simulates the progress of a task up to now: its completion, saving or stop. The
// caller holds the lock.
func (w *Cluster) advanceTask(t *task, now time.Time) {
	switch {
	case !t.present:
		if !t.stopsAt.IsZero() {
			t.machine.exit(t, wire.ExitStopped, false)
		}
	case t.job.Kind == wire.KindGang:
		w.advanceGang(t, now)
	case !t.stopsAt.IsZero():
		if !now.Before(t.stopsAt) {
			t.machine.exit(t, wire.ExitStopped, t.saving)
		}
	case w.completes(t, now):
		t.machine.exit(t, wire.ExitDone, false)
	}
}

// completes reports whether a task's work is done, by this attempt or an earlier one. Services
// never complete.
func (w *Cluster) completes(t *task, now time.Time) bool {
	return w.jobs[t.job.ID].done[t.index] || t.job.Kind == wire.KindArray && w.progress[t.name]+now.Sub(t.presentSince).Seconds() >= t.job.EstimateS
}

// stopTask handles a stop command with graceS seconds to save. The caller holds the lock.
func (w *Cluster) stopTask(t *task, graceS float64, now time.Time) {
	t.machine.heartbeatDue = true
	if t.job != nil && t.job.Kind == wire.KindGang {
		w.stopGangTask(t, graceS, now)
		return
	}
	if t.saves(graceS) {
		w.beginSaving(t, now)
		return
	}
	if t.present && t.job.CheckpointS > 0 && !t.saving {
		w.progress[t.name] = lastCheckpoint(w.progress[t.name]+now.Sub(t.presentSince).Seconds(), t.job.CheckpointS)
	}
	t.machine.exit(t, wire.ExitStopped, false)
}

// beginSaving makes a task save its progress, unless it is saving already.
func (w *Cluster) beginSaving(t *task, now time.Time) {
	if t.saving {
		return
	}
	t.saving, t.state = true, wire.TaskSaving
	t.stopsAt = now.Add(secs(t.job.SaveS))
	w.progress[t.name] += now.Sub(t.presentSince).Seconds()
}

// saves reports whether a task saves its progress if it is stopped with graceS seconds to save.
func (t *task) saves(graceS float64) bool {
	return t.present && t.job.CheckpointS > 0 && graceS >= t.job.SaveS
}

// lastCheckpoint returns the progress at the last checkpoint. All values are in seconds.
func lastCheckpoint(progressS, intervalS float64) float64 {
	return intervalS * float64(int(progressS/intervalS))
}
