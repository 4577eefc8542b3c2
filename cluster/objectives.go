package cluster

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// This file is what the service-level objectives say of a job.

// latestStarts is when a job must start at the latest to meet each of its
// class's objectives that it can still meet; urgent says that the first is on how
// soon it starts, and missed that none is left of those there were.
func (m *Model) latestStarts(j *Job, left float64, tasks int, within bool, now time.Time) (at []time.Time, missed, urgent bool) {
	sp := m.startupAndSpreadOf(j)
	delay := config.Seconds(sp.startDelay())
	est := config.Seconds(sp.slowestTask(left, tasks)) + delay
	aims := 0
	var wait time.Time
	take := func(t time.Time) {
		aims++
		if !t.Before(now) {
			at = append(at, t)
		}
	}
	soon := func(o config.Objective) {
		if j.FirstRunAt.IsZero() {
			t := j.AcceptedAt.Add(config.Seconds(o.WithinS) - delay)
			take(t)
			if !t.Before(now) && (wait.IsZero() || t.Before(wait)) {
				wait = t
			}
		}
	}
	for _, o := range m.settings.Cluster.Objectives {
		if o.Class != j.Spec.Class && o.Class != "" {
			continue
		}
		switch o.Kind {
		case "wait":
			soon(o)
		case "guarantee":
			// One that has waited for longer is no worse off for waiting on:
			// those that have just come are served before it, until its next
			// objective is near.
			if within {
				soon(o)
			}
		case "finished":
			take(j.AcceptedAt.Add(config.Seconds(o.WithinS) - est))
		case "deadline":
			if j.Spec.DeadlineS != nil {
				times := o.Times
				if times <= 0 {
					times = 1
				}
				take(j.AcceptedAt.Add(config.Seconds(*j.Spec.DeadlineS*times) - est))
			}
		}
	}
	sort.Slice(at, func(a, b int) bool { return at[a].Before(at[b]) })
	return at, aims > 0 && len(at) == 0, len(at) > 0 && at[0].Equal(wait)
}

// hasObjective says whether any objective speaks of the job.
func (m *Model) hasObjective(j *Job) bool {
	for _, o := range m.settings.Cluster.Objectives {
		switch o.Kind {
		case "wait", "finished", "deadline":
			if o.Class == j.Spec.Class {
				return true
			}
		}
	}
	return false
}

// hasWaitObjective says whether an objective wants jobs of the job's class started soon.
func (m *Model) hasWaitObjective(j *Job) bool {
	c := m.classes[j.Spec.Class]
	return c != nil && c.hasWaitObjective
}

// hasCostObjective says whether the deployment has an objective on what it pays.
func (m *Model) hasCostObjective() bool {
	for _, o := range m.settings.Cluster.Objectives {
		if o.Kind == "price" || o.Kind == "cost" {
			return true
		}
	}
	return false
}
