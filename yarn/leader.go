package yarn

import (
	"context"
	"encoding/base64"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	nwire "github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// This file is what the leading node does for all applications. Everything is a
// guarded change of records, so that a leader which is one no more, or two that
// both believe it for a moment, do no harm.

// watch is what a leader has seen of an application; it counts by its own steady
// clock, since the time of day may step.
type watch struct {
	version uint64
	since   time.Time
	idle    map[string]time.Time // containers that wait to be started, by task name
}

// Run does the leader's duties until ctx ends.
func (f *Frontend) Run(ctx context.Context) {
	every := min(5*time.Second, seconds(f.s.MasterS/6), seconds(f.s.StartS/6))
	var seen map[string]*watch
	var rolled time.Time
	for call.Pause(ctx, max(every, 200*time.Millisecond)) {
		if !f.core.Leads() {
			seen = nil // a next leadership gives everybody their full time again
			continue
		}
		if seen == nil {
			seen, rolled = map[string]*watch{}, time.Now()
		}
		if time.Since(rolled) > seconds(f.s.KeyRollS) {
			if err := f.roll(ctx); err != nil {
				f.log.Info("yarn: key not rolled, retrying", "err", err)
			} else {
				rolled = time.Now()
			}
		}
		entries, err := f.led.ListApps(ctx)
		if err != nil {
			f.log.Debug("yarn: applications not read", "err", err)
			continue
		}
		here := map[string]bool{}
		for _, e := range entries {
			var a app
			if e.Key == keysKey {
				continue
			}
			if err := nwire.Unmarshal(e.Value, &a); err != nil {
				f.log.Error("yarn: unreadable record", "key", e.Key, "err", err)
				continue
			}
			here[e.Key] = true
			w := seen[e.Key]
			if w == nil || w.version != e.Version {
				w = &watch{version: e.Version, since: time.Now(), idle: idleOf(w)}
				seen[e.Key] = w
			}
			if err := f.look(ctx, &a, w); err != nil {
				f.log.Debug("yarn: duty", "app", a.name(), "err", err)
			}
		}
		for key := range seen {
			if !here[key] {
				delete(seen, key)
			}
		}
	}
}

func idleOf(w *watch) map[string]time.Time {
	if w == nil {
		return map[string]time.Time{}
	}
	return w.idle
}

// look does what is due for one application.
func (f *Frontend) look(ctx context.Context, a *app, w *watch) error {
	if a.Ending != "" {
		return f.settle(ctx, a.id())
	}
	if time.Since(w.since) > seconds(f.s.MasterS) {
		return f.end(ctx, a.id(), stateFailed, func(a *app) {
			a.Diag, a.Final = fmt.Sprintf("its master was not heard of for %g s", f.s.MasterS), int32(pb.FinalApplicationStatusProto_APP_FAILED)
		})
	}
	_, jobs, err := f.led.OwnedJobs(ctx, a.key())
	if err != nil {
		return err
	}
	if !a.Unmanaged {
		if err := f.keepMaster(ctx, a, jobs); err != nil {
			return err
		}
	}
	return f.reclaim(ctx, a, jobs, w)
}

// reclaim takes back containers that nobody starts: they hold room.
func (f *Frontend) reclaim(ctx context.Context, a *app, jobs []jobstore.ReservedJob, w *watch) error {
	now := time.Now()
	idle := map[string]time.Time{}
	for i := range jobs {
		j := &jobs[i]
		goes := j.Record.Reservation.LaunchRanges.BitSet(j.Record.Job.Tasks)
		var late []int
		for t := range j.Placements {
			if goes.Test(uint(t)) {
				continue
			}
			name := nwire.TaskName(j.ID, t)
			at, ok := w.idle[name]
			if !ok {
				at = now
			}
			idle[name] = at
			if now.Sub(at) > seconds(f.s.StartS) {
				late = append(late, t)
			}
		}
		if len(late) > 0 {
			f.log.Info("yarn: containers were not started in time", "app", a.name(), "job", j.ID, "count", len(late))
			if err := f.drop(ctx, a, &view{jobs: jobs}, j.ID, late); err != nil {
				return err
			}
		}
	}
	w.idle = idle
	return nil
}

// keepMaster launches a managed application's master, and a next attempt where
// one has ended by itself.
func (f *Frontend) keepMaster(ctx context.Context, a *app, jobs []jobstore.ReservedJob) error {
	if a.MasterJob == "" {
		return f.launchMaster(ctx, a.id())
	}
	for i := range jobs {
		if jobs[i].ID == a.MasterJob {
			return nil
		}
	}
	over, found, err := f.led.FinishedReservation(ctx, a.MasterJob)
	if err != nil || !found {
		return err
	}
	status, why := exitStatus(over.Outcomes[0])
	why = fmt.Sprintf("attempt %d: its master ended with status %d %s", a.Attempt, status, why)
	if a.Attempt >= a.Attempts && over.Outcomes[0] != jobstore.OutcomePreempted && over.Outcomes[0] != jobstore.OutcomeLost {
		return f.end(ctx, a.id(), stateFailed, func(a *app) {
			a.Diag, a.Final = why, int32(pb.FinalApplicationStatusProto_APP_FAILED)
		})
	}
	return f.nextAttempt(ctx, a, why)
}

// nextAttempt ends what an attempt has left, and begins another: tokens of the
// one before are refused from then on.
func (f *Frontend) nextAttempt(ctx context.Context, old *app, why string) error {
	a, e, jobs, over, err := f.read(ctx, old.id())
	if err != nil || over || a.Ending != "" || a.Attempt != old.Attempt {
		return err
	}
	a.Attempt, a.MasterJob, a.State, a.Diag = a.Attempt+1, "", stateAccepted, why
	if err := f.write(ctx, a, &e); err != nil {
		return err
	}
	for _, j := range jobs {
		if _, _, err := f.led.Cancel(ctx, j.ID); err != nil {
			return err
		}
	}
	return f.launchMaster(ctx, a.id())
}

// launchMaster reserves a managed application's master and lets it go at once.
func (f *Frontend) launchMaster(ctx context.Context, id *pb.ApplicationIdProto) error {
	return retry(ctx, func() error {
		a, e, _, over, err := f.read(ctx, id)
		if err != nil || over || a.Ending != "" || a.MasterJob != "" {
			return err
		}
		a.MasterJob = jobID(a.Num, a.Seq)
		k := a.Master
		k.Name = "master"
		_, err = f.reserve(ctx, a, &e, k, 1, jobstore.Reservation{Tag: k.tag(), LaunchRanges: []int{0, 0}})
		return err
	})
}

// roll adds a key. Those that sign nothing new any more stay for a while, and a
// master that heartbeats meanwhile is given a token of the new one.
func (f *Frontend) roll(ctx context.Context) error {
	return retry(ctx, func() error {
		k, version, err := f.keys(ctx)
		if err != nil {
			return err
		}
		s, err := newSecret(k.newest() + 1)
		if err != nil {
			return err
		}
		k.Keys = append(k.Keys, s)
		k.Keys = k.Keys[max(0, len(k.Keys)-keysKept):]
		_, err = f.store.CompareAndSwap(ctx, []nwire.Guard{{Key: keysKey, Version: version}}, []nwire.Op{{Put: keysKey, Value: k}})
		return err
	})
}

// Launch is what a worker runs for a task: its context, and a master's token. An
// error says that there is none.
func (f *Frontend) Launch(ctx context.Context, task string) (*Context, error) {
	id, n, ok := nwire.SplitTask(task)
	if !ok || nwire.ValidUserID(id) || len(id) < 13 {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is no container", task)
	}
	var num int32
	if _, err := fmt.Sscanf(id[len("wk-8"):len(id)-9], "%d", &num); err != nil {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is no container", task)
	}
	k, _, err := f.keys(ctx)
	if err != nil {
		return nil, err
	}
	a, _, jobs, over, err := f.read(ctx, &pb.ApplicationIdProto{Id: &num, ClusterTimestamp: proto.Int64(k.Stamp)})
	if err != nil {
		return nil, err
	}
	if over || a.Ending != "" {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s is over", a.name())
	}
	key := a.contextKey(id, n)
	if id == a.MasterJob {
		key = a.Context
	}
	for i := range jobs {
		if shared, ok := jobs[i].Record.Reservation.SharedKeyOf(n); ok && jobs[i].ID == id {
			key = shared
		}
	}
	e, err := f.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if e.Version == 0 {
		return nil, wire.Errorf(wire.ClassNoContainer, "%s has not been started", task)
	}
	var c Context
	if err := nwire.Unmarshal(e.Value, &c); err != nil {
		return nil, err
	}
	if id == a.MasterJob {
		t, err := k.issue(token{kind: tokMaster, stamp: a.Stamp, num: a.Num, attempt: a.Attempt}, kindMaster, f.s.Advertise)
		if err != nil {
			return nil, err
		}
		c.Env["UMBERDEAL_AM_ADDRESS"] = f.s.Advertise
		c.Env["UMBERDEAL_AM_TOKEN_ID"] = string(t.Identifier)
		c.Env["UMBERDEAL_AM_TOKEN_PASSWORD"] = base64.StdEncoding.EncodeToString(t.Password)
	}
	return &c, nil
}
