// The leader's maintenance of all applications: ending them when their masters are lost, running
// managed masters, releasing containers that are not started, and rotating the signing keys. Every
// change is a compare-and-swap on records, so a former leader that still runs its loop does no
// harm.

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

// observation is what a leader has seen of an application. Its times are from the monotonic clock,
// since the wall clock can be changed.
type observation struct {
	version        uint64
	since          time.Time            // when this leader first saw the version
	unstartedSince map[string]time.Time // by task name: when this leader first saw the placed, unstarted container
}

// maintenance is the state of the maintenance loop during one term of a leader. The next leader
// starts with an empty state, so the timeouts of all masters and containers start again.
type maintenance struct {
	frontend     *Frontend
	observed     map[string]*observation // by store key of the application
	keyRotatedAt time.Time               // time of the last key rotation, or the start of the term
}

const (
	maxMaintenanceInterval = 5 * time.Second
	minMaintenanceInterval = 200 * time.Millisecond
	// maintenanceRoundsPerTimeout is the number of maintenance rounds within a timeout.
	maintenanceRoundsPerTimeout = 6
)

// Run runs until ctx ends. While this controller is the leader, it maintains all applications.
func (f *Frontend) Run(ctx context.Context) {
	interval := min(maxMaintenanceInterval,
		seconds(f.settings.MasterTimeoutS/maintenanceRoundsPerTimeout), seconds(f.settings.StartTimeoutS/maintenanceRoundsPerTimeout))
	var m *maintenance
	for call.Pause(ctx, max(interval, minMaintenanceInterval)) {
		if !f.controller.IsLeader() {
			m = nil
			continue
		}
		if m == nil {
			m = &maintenance{frontend: f, observed: map[string]*observation{}, keyRotatedAt: time.Now()}
		}
		m.rotateKeyIfDue(ctx)
		if err := m.maintainAll(ctx); err != nil {
			f.log.Debug("yarn: listing applications failed, retrying", "err", err)
		}
	}
}

func (m *maintenance) rotateKeyIfDue(ctx context.Context) {
	if time.Since(m.keyRotatedAt) <= seconds(m.frontend.settings.KeyRotationIntervalS) {
		return
	}
	if err := m.frontend.rotateKey(ctx); err != nil {
		m.frontend.log.Info("yarn: rotating the signing key failed, retrying", "err", err)
		return
	}
	m.keyRotatedAt = time.Now()
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

// observe returns the observation of an application. A new version of the record restarts the
// timeout of the master. It does not restart the timeouts of containers that wait to be started.
func (m *maintenance) observe(e jobstore.AppRecord) *observation {
	o := m.observed[e.Key]
	if o != nil && o.version == e.Version {
		return o
	}
	unstartedSince := map[string]time.Time{}
	if o != nil {
		unstartedSince = o.unstartedSince
	}
	o = &observation{version: e.Version, since: time.Now(), unstartedSince: unstartedSince}
	m.observed[e.Key] = o
	return o
}

// maintain does what is due for one application: it finalizes an ending application, ends an
// application whose master is lost, keeps a managed master running, and releases unstarted
// containers.
func (f *Frontend) maintain(ctx context.Context, app *application, o *observation) error {
	if app.EndState != "" {
		return f.finalize(ctx, app.protoID())
	}
	if time.Since(o.since) > seconds(f.settings.MasterTimeoutS) {
		return f.endFailed(ctx, app, fmt.Sprintf("its master was not heard of for %g s", f.settings.MasterTimeoutS))
	}
	_, jobs, err := f.jobs.OwnedJobs(ctx, app.key())
	if err != nil {
		return err
	}
	if !app.Unmanaged {
		if err := f.keepMasterRunning(ctx, app, jobs); err != nil {
			return err
		}
	}
	return f.releaseUnstarted(ctx, app, jobs, o)
}

// endFailed ends an application in the failed state.
func (f *Frontend) endFailed(ctx context.Context, app *application, diagnostics string) error {
	return f.endApplication(ctx, app.protoID(), stateFailed, func(app *application) {
		app.Diagnostics, app.FinalStatus = diagnostics, int32(pb.FinalApplicationStatusProto_APP_FAILED)
	})
}

// releaseUnstarted releases containers that their master did not start in time. They hold resources
// that other work could use.
func (f *Frontend) releaseUnstarted(ctx context.Context, a *application, jobs []jobstore.ReservedJob, o *observation) error {
	now := time.Now()
	unstartedSince := map[string]time.Time{}
	for i := range jobs {
		j := &jobs[i]
		late := f.lateTasks(j, o, unstartedSince, now)
		if len(late) == 0 {
			continue
		}
		f.log.Info("yarn: containers were not started in time", "app", a.name(), "job", j.ID, "count", len(late))
		if err := f.releaseTasks(ctx, &snapshot{app: a, jobs: jobs}, j.ID, late); err != nil {
			return err
		}
	}
	o.unstartedSince = unstartedSince
	return nil
}

// lateTasks returns the placed tasks of a job that were not started in time and are not released.
// It adds all placed tasks that wait to be started to unstartedSince.
func (f *Frontend) lateTasks(j *jobstore.ReservedJob, o *observation, unstartedSince map[string]time.Time, now time.Time) []int {
	launched := j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks)
	released := j.Record.Reservation.ReleaseRanges.BitSet(j.Record.Job.Tasks)
	var late []int
	for task := range j.Placements {
		if launched.Test(uint(task)) || released.Test(uint(task)) {
			continue
		}
		name := nwire.TaskName(j.ID, task)
		since, ok := o.unstartedSince[name]
		if !ok {
			since = now
		}
		unstartedSince[name] = since
		if now.Sub(since) > seconds(f.settings.StartTimeoutS) {
			late = append(late, task)
		}
	}
	return late
}
