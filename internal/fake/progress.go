package fake

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file simulates the progress of tasks on machines: completion, saving, and how the
// tasks of a gang depend on one another.

// advance lets a task that is on its machine go on. The lock is held.
func (w *Cluster) advance(t *task, now time.Time) {
	if !t.here {
		if !t.stopAt.IsZero() {
			t.m.exit(t, wire.WhyStopped, false)
		}
		return
	}
	j := w.jobs[t.job.ID]
	if t.job.Kind == wire.KindGang {
		w.advanceGang(t, now)
		return
	}
	if !t.stopAt.IsZero() {
		if !now.Before(t.stopAt) {
			t.m.exit(t, wire.WhyStopped, t.saving)
		}
		return
	}
	if j.done[t.idx] || t.job.Kind == wire.KindArray && w.progress[t.name]+now.Sub(t.waiting).Seconds() >= t.job.EstimateS {
		t.m.exit(t, wire.WhyDone, false)
	}
}

func (w *Cluster) advanceGang(t *task, now time.Time) {
	g := w.gangOf(t)
	peer := secs(w.Settings.Cluster.Workers.GangPeerS)
	switch {
	case j2done(w, t) || g.running && g.broken.IsZero() && g.haltAt.IsZero() &&
		g.before+now.Sub(g.since).Seconds() >= t.job.EstimateS:
		for _, o := range sortedTasks(g) {
			o.m.exit(o, wire.WhyDone, false)
		}
	case !g.running:
		if !t.stopAt.IsZero() {
			t.m.exit(t, wire.WhyStopped, false)
		} else if now.Sub(t.waiting) > secs(w.Settings.Cluster.Workers.GangWaitS) {
			t.m.exit(t, wire.WhyAlone, false)
		}
	case !g.broken.IsZero():
		if !t.stopAt.IsZero() {
			t.m.exit(t, wire.WhyStopped, false)
		} else if now.Sub(g.broken) > peer {
			t.m.exit(t, wire.WhyPeers, false)
		}
	case !g.haltAt.IsZero():
		if len(g.halted) == t.job.Tasks {
			if !t.stopAt.IsZero() && !now.Before(t.stopAt) {
				w.progress[t.job.ID] = g.before + g.haltAt.Sub(g.since).Seconds()
				t.m.exit(t, wire.WhyStopped, true)
			}
		} else if now.Sub(g.haltAt) > peer {
			if g.halted[t.idx] {
				t.m.exit(t, wire.WhyStopped, false)
			} else {
				t.m.exit(t, wire.WhyPeers, false)
			}
		}
	}
}

func j2done(w *Cluster, t *task) bool { return w.jobs[t.job.ID].done[t.idx] }

func sortedTasks(g *gang) []*task {
	var out []*task
	for _, t := range g.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(a, b int) bool { return out[a].idx < out[b].idx })
	return out
}

// halt takes a stop in. The lock is held.
func (w *Cluster) halt(t *task, grace float64, now time.Time) {
	t.m.dirty = true
	saves := t.here && t.job.CheckpointS > 0 && grace >= t.job.SaveS
	if t.job != nil && t.job.Kind == wire.KindGang {
		g := w.gangOf(t)
		if saves && g.running && g.broken.IsZero() {
			if g.haltAt.IsZero() {
				g.haltAt = now
			}
			g.halted[t.idx] = true
			if t.stopAt.IsZero() {
				t.stopAt, t.state = now.Add(secs(t.job.SaveS)), wire.TaskSaving
			}
			return
		}
		t.m.exit(t, wire.WhyStopped, false)
		return
	}
	if saves {
		if !t.saving {
			t.saving, t.state = true, wire.TaskSaving
			t.stopAt = now.Add(secs(t.job.SaveS))
			w.progress[t.name] += now.Sub(t.waiting).Seconds()
		}
		return
	}
	if t.here && t.job.CheckpointS > 0 && !t.saving {
		c := t.job.CheckpointS
		w.progress[t.name] = c * float64(int((w.progress[t.name]+now.Sub(t.waiting).Seconds())/c))
	}
	t.m.exit(t, wire.WhyStopped, false)
}
