package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file simulates the progress of tasks on machines: completion, saving and stops.

// advanceTask simulates the progress of a task up to now. The lock is held.
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

// completes reports whether a task's work is done, by this attempt or one before. Services go
// on until they are stopped.
func (w *Cluster) completes(t *task, now time.Time) bool {
	return w.jobs[t.job.ID].done[t.index] || t.job.Kind == wire.KindArray && w.progress[t.name]+now.Sub(t.presentSince).Seconds() >= t.job.EstimateS
}

// stopTask records that a task is told to stop, with grace seconds to save. The lock is held.
func (w *Cluster) stopTask(t *task, grace float64, now time.Time) {
	t.machine.heartbeatDue = true
	if t.job != nil && t.job.Kind == wire.KindGang {
		w.stopGangTask(t, grace, now)
		return
	}
	if t.saves(grace) {
		w.beginSaving(t, now)
		return
	}
	if t.present && t.job.CheckpointS > 0 && !t.saving {
		w.progress[t.name] = lastCheckpoint(w.progress[t.name]+now.Sub(t.presentSince).Seconds(), t.job.CheckpointS)
	}
	t.machine.exit(t, wire.ExitStopped, false)
}

// beginSaving lets a task save its progress, unless it does so already.
func (w *Cluster) beginSaving(t *task, now time.Time) {
	if t.saving {
		return
	}
	t.saving, t.state = true, wire.TaskSaving
	t.stopsAt = now.Add(secs(t.job.SaveS))
	w.progress[t.name] += now.Sub(t.presentSince).Seconds()
}

// saves reports whether a task saves its progress when it has grace seconds until it ends.
func (t *task) saves(grace float64) bool {
	return t.present && t.job.CheckpointS > 0 && grace >= t.job.SaveS
}

// lastCheckpoint is the progress of the last checkpoint, of which there is one every so
// many seconds.
func lastCheckpoint(progress, every float64) float64 {
	return every * float64(int(progress/every))
}
