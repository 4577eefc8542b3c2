// Derives from the service-level objectives the time by which a job must start.

package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// startDeadlines holds the latest starts by which a job meets the objectives that it can still
// meet.
type startDeadlines struct {
	latest       []time.Time // earliest first
	earliestWait time.Time   // earliest of them that belongs to an objective on the wait or on guaranteed work; zero if none
	missed       int         // number of objectives that can't be met any more
}

// add adds an objective that is met if the job starts by the time latest.
func (d *startDeadlines) add(latest, now time.Time) {
	if latest.Before(now) {
		d.missed++
		return
	}
	d.latest = append(d.latest, latest)
}

// addWait adds an objective on how long a job waits for its start. startup is the time from
// its placement to its start. addWait does nothing if the job has started.
func (d *startDeadlines) addWait(j *Job, o *config.Objective, startup time.Duration, now time.Time) {
	if !j.firstRunAt.IsZero() {
		return
	}
	latest := j.AcceptedAt.Add(config.Seconds(o.WithinS) - startup)
	d.add(latest, now)
	if !latest.Before(now) && (d.earliestWait.IsZero() || latest.Before(d.earliestWait)) {
		d.earliestWait = latest
	}
}

// allMissed reports whether the job has objectives and can meet none of them any more.
func (d *startDeadlines) allMissed() bool { return d.missed > 0 && len(d.latest) == 0 }

// waitIsNext reports whether the next objective is on how long the job waits for its start.
func (d *startDeadlines) waitIsNext() bool {
	return len(d.latest) > 0 && d.latest[0].Equal(d.earliestWait)
}

// latestStarts returns the latest starts by which a queued job meets the objectives of its class.
func (m *Model) latestStarts(entry *queueEntry, now time.Time) startDeadlines {
	j := entry.job
	learned := m.startupAndStragglersOf(j)
	startup := config.Seconds(learned.startDelaySeconds())
	duration := config.Seconds(learned.slowestTaskSeconds(entry.runSeconds, len(entry.req.Tasks))) + startup
	var deadlines startDeadlines
	for i := range m.settings.Cluster.Objectives {
		o := &m.settings.Cluster.Objectives[i]
		if o.Class != j.Spec.Class && o.Class != "" {
			continue
		}
		switch o.Kind {
		case config.ObjectiveWait:
			deadlines.addWait(j, o, startup, now)
		case config.ObjectiveGuarantee:
			// A job that has missed this objective loses nothing by waiting longer:
			// jobs that can still meet it precede it until its next objective is due.
			if entry.withinGuarantee {
				deadlines.addWait(j, o, startup, now)
			}
		case config.ObjectiveFinished:
			deadlines.add(j.AcceptedAt.Add(config.Seconds(o.WithinS)-duration), now)
		case config.ObjectiveDeadline:
			if j.Spec.DeadlineS != nil {
				deadlines.add(j.AcceptedAt.Add(config.Seconds(*j.Spec.DeadlineS*deadlineFactor(o))-duration), now)
			}
		}
	}
	slices.SortFunc(deadlines.latest, time.Time.Compare)
	return deadlines
}

// deadlineFactor returns the multiple of a job's own deadline that a deadline objective grants.
func deadlineFactor(o *config.Objective) float64 {
	if o.Times <= 0 {
		return 1
	}
	return o.Times
}

// hasObjective reports whether an objective on the wait, the completion or the deadline names
// the job's class. Objectives on all classes or on guaranteed work don't count.
func (m *Model) hasObjective(j *Job) bool {
	for _, o := range m.settings.Cluster.Objectives {
		switch o.Kind {
		case config.ObjectiveWait, config.ObjectiveFinished, config.ObjectiveDeadline:
			if o.Class == j.Spec.Class {
				return true
			}
		}
	}
	return false
}

// hasWaitObjective reports whether an objective bounds how long jobs of the job's class wait for
// their start. It returns false for a class that is not observed (classRegistry).
func (m *Model) hasWaitObjective(j *Job) bool {
	c := m.classes.get(j.Spec.Class)
	return c != nil && c.hasWaitObjective
}

// classHasWaitObjective reports whether an objective names the class and bounds how long its jobs
// wait for their start.
func (m *Model) classHasWaitObjective(class string) bool {
	return slices.ContainsFunc(m.settings.Cluster.Objectives, func(o config.Objective) bool {
		return o.Kind == config.ObjectiveWait && o.Class == class
	})
}

// hasCostObjective reports whether an objective of the deployment is on the price of machines.
func (m *Model) hasCostObjective() bool {
	for _, o := range m.settings.Cluster.Objectives {
		if o.Kind == config.ObjectivePrice || o.Kind == config.ObjectiveCost {
			return true
		}
	}
	return false
}
