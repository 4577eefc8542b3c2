package yarn

import (
	"context"
	"fmt"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file has the leader's maintenance of all applications. Every change is a compare-and-swap
// on records, so that a former leader which still runs its loop for a moment does no harm.

// observation is what a leader has seen of an application, with times by its monotonic clock,
// since the wall clock may be set.
type observation struct {
	version   uint64
	since     time.Time            // when the version was first seen
	idleSince map[string]time.Time // by task name: since when a placed container waits to be started
}

// maintenance is the state of the maintenance loop in one leadership. The next leader starts with
// an empty one, so that the timeouts of all masters and containers start again.
type maintenance struct {
	frontend  *Frontend
	observed  map[string]*observation // by the application's key
	keyRolled time.Time
}

const (
	maxMaintenanceInterval = 5 * time.Second
	minMaintenanceInterval = 200 * time.Millisecond
	// maintenancePerTimeout is how often applications are checked within a timeout.
	maintenancePerTimeout = 6
)

// Run maintains all applications while this controller is the leader, until ctx ends.
func (f *Frontend) Run(ctx context.Context) {
	interval := min(maxMaintenanceInterval,
		seconds(f.settings.MasterTimeoutS/maintenancePerTimeout), seconds(f.settings.StartTimeoutS/maintenancePerTimeout))
	var m *maintenance
	for call.Pause(ctx, max(interval, minMaintenanceInterval)) {
		if !f.controller.IsLeader() {
			m = nil
			continue
		}
		if m == nil {
			m = &maintenance{frontend: f, observed: map[string]*observation{}, keyRolled: time.Now()}
		}
		m.rollKeyIfDue(ctx)
		if err := m.maintainAll(ctx); err != nil {
			f.log.Debug("yarn: applications not read", "err", err)
		}
	}
}

func (m *maintenance) rollKeyIfDue(ctx context.Context) {
	if time.Since(m.keyRolled) <= seconds(m.frontend.settings.KeyRollIntervalS) {
		return
	}
	if err := m.frontend.rollKey(ctx); err != nil {
		m.frontend.log.Info("yarn: key not rolled, retrying", "err", err)
		return
	}
	m.keyRolled = time.Now()
}

// maintainAll does what is due for each unfinished application.
func (m *maintenance) maintainAll(ctx context.Context) error {
	entries, err := m.frontend.jobs.ListApps(ctx)
	if err != nil {
		return err
	}
	unfinished := map[string]bool{}
	for _, e := range entries {
		if e.Key == keysKey {
			continue
		}
		var app application
		if err := nwire.Unmarshal(e.Value, &app); err != nil {
			m.frontend.log.Error("yarn: unreadable record", "key", e.Key, "err", err)
			continue
		}
		unfinished[e.Key] = true
		if err := m.frontend.maintain(ctx, &app, m.observe(e)); err != nil {
			m.frontend.log.Debug("yarn: application maintenance failed, retrying", "app", app.name(), "err", err)
		}
	}
	for key := range m.observed {
		if !unfinished[key] {
			delete(m.observed, key)
		}
	}
	return nil
}

// observe returns the observation of an application. With each new version of its record the
// master's timeout starts again; those of containers that wait to be started go on.
func (m *maintenance) observe(e jobstore.AppRecord) *observation {
	o := m.observed[e.Key]
	if o != nil && o.version == e.Version {
		return o
	}
	idleSince := map[string]time.Time{}
	if o != nil {
		idleSince = o.idleSince
	}
	o = &observation{version: e.Version, since: time.Now(), idleSince: idleSince}
	m.observed[e.Key] = o
	return o
}

// maintain does what is due for one application.
func (f *Frontend) maintain(ctx context.Context, a *application, o *observation) error {
	if a.EndState != "" {
		return f.finalize(ctx, a.protoID())
	}
	if time.Since(o.since) > seconds(f.settings.MasterTimeoutS) {
		return f.endFailed(ctx, a, fmt.Sprintf("its master was not heard of for %g s", f.settings.MasterTimeoutS))
	}
	_, jobs, err := f.jobs.OwnedJobs(ctx, a.key())
	if err != nil {
		return err
	}
	if !a.Unmanaged {
		if err := f.keepMasterRunning(ctx, a, jobs); err != nil {
			return err
		}
	}
	return f.releaseIdle(ctx, a, jobs, o)
}

// endFailed ends an application as failed.
func (f *Frontend) endFailed(ctx context.Context, a *application, diagnostics string) error {
	return f.endApplication(ctx, a.protoID(), stateFailed, func(a *application) {
		a.Diagnostics, a.FinalStatus = diagnostics, int32(pb.FinalApplicationStatusProto_APP_FAILED)
	})
}

// releaseIdle releases containers that their master did not start in time, since they hold
// resources.
func (f *Frontend) releaseIdle(ctx context.Context, a *application, jobs []jobstore.ReservedJob, o *observation) error {
	now := time.Now()
	idleSince := map[string]time.Time{}
	for i := range jobs {
		j := &jobs[i]
		late := f.lateTasks(j, o, idleSince, now)
		if len(late) == 0 {
			continue
		}
		f.log.Info("yarn: containers were not started in time", "app", a.name(), "job", j.ID, "count", len(late))
		if err := f.releaseTasks(ctx, &snapshot{app: a, jobs: jobs}, j.ID, late); err != nil {
			return err
		}
	}
	o.idleSince = idleSince
	return nil
}

// lateTasks returns the placed tasks of a job that were not started in time and are not released yet. It
// adds all placed tasks that wait to be started to idleSince.
func (f *Frontend) lateTasks(j *jobstore.ReservedJob, o *observation, idleSince map[string]time.Time, now time.Time) []int {
	launched := j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks)
	released := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
	var late []int
	for task := range j.Placements {
		if launched.Test(uint(task)) || released.Test(uint(task)) {
			continue
		}
		name := nwire.TaskName(j.ID, task)
		since, ok := o.idleSince[name]
		if !ok {
			since = now
		}
		idleSince[name] = since
		if now.Sub(since) > seconds(f.settings.StartTimeoutS) {
			late = append(late, task)
		}
	}
	return late
}
