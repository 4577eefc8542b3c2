package controller

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// applyEvents applies changes of the active records to the model, each one once although
// the watch and a read barrier may both deliver it. If a page of jobs can't be read, it
// applies no page, because jobs of the unreadable one would look cancelled, resigns and
// returns false; the next leader repairs the page before it becomes active.
func (l *leadership) applyEvents(ev wire.Events) (ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	pages := map[string]cluster.AdmissionPage{} // as the last change left them
	for _, e := range ev.Log {
		if e.Version <= l.appliedRevision {
			continue
		}
		if jobstore.IsJobPageKey(e.Put + e.Delete) {
			if !l.collectAdmissionPage(pages, e) {
				l.lease.Resign()
				return false
			}
			continue
		}
		l.applyJobEvent(e, now)
	}
	// All pages at once, since a job may have moved from one to another.
	l.model.ApplyAdmissionPages(slices.Collect(maps.Values(pages)), now)
	l.appliedRevision = max(l.appliedRevision, ev.Revision)
	wake(l.schedulerWake)
	wake(l.committerWake)
	return true
}

// applyJobEvent applies a change of a record that holds a single job. The caller holds l.mu.
func (l *leadership) applyJobEvent(e wire.Event, now time.Time) {
	if e.Delete != "" {
		id, ok := jobstore.ParseJobKey(e.Delete)
		if !ok {
			return
		}
		if j := l.model.Job(id); j != nil && !j.Finished && j.DoneTasks < len(j.Tasks) {
			l.recentUserChanges = append(l.recentUserChanges, now, now) // a cancellation is two changes
		}
		l.model.RemoveJob(id, now)
		return
	}
	id, ok := jobstore.ParseJobKey(e.Put)
	if !ok {
		return
	}
	rec, err := jobstore.DecodeJob(id, e.Value)
	if err != nil {
		l.log.Error("unreadable job record", "key", e.Put, "err", err)
		return
	}
	l.model.ApplyJobRecord(id, rec, e.Version, now)
	l.recentUserChanges = append(l.recentUserChanges, now)
}

// collectAdmissionPage adds a change of an admission page to pages. It returns false if the page
// can't be read.
func (l *leadership) collectAdmissionPage(pages map[string]cluster.AdmissionPage, e wire.Event) bool {
	key := e.Put + e.Delete
	pg := cluster.AdmissionPage{Key: key, Version: e.Version}
	if e.Put != "" {
		rec, err := jobstore.DecodeJobPage(e.Value)
		if err != nil {
			l.log.Error("unreadable job page, resigning for repair", "key", key, "err", err)
			return false
		}
		pg.Record = rec
	}
	if pages[key].Version <= e.Version {
		pages[key] = pg
	}
	if !l.model.WroteAdmissionPage(key, e.Version) {
		l.recentUserChanges = append(l.recentUserChanges, time.Now())
	}
	return true
}

func (l *leadership) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appliedRevision
}

// barrier applies to the model all changes that were committed before the call.
func (l *leadership) barrier(ctx context.Context) error {
	select {
	case l.barrierSlot <- struct{}{}:
		defer func() { <-l.barrierSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	ev, err := l.node.kv.Watch(ctx, jobstore.JobPrefix, l.revision(), 0)
	if err != nil {
		return err
	}
	if !l.applyEvents(ev) {
		return jobstore.ErrUnreadable
	}
	l.sendDirectStops(ctx)
	return nil
}

// readBarrier implements election.Config.ReadBarrier: a lease counts as valid only if the
// model is as recent as its renewal, so that the leader does not renew workers' leases for
// tasks of jobs that were cancelled long ago.
func (n *Node) readBarrier(ctx context.Context, t *election.Lease) error {
	l := n.activeLeadership()
	if l == nil || l.lease != t {
		return errors.New("not leading yet")
	}
	err := l.barrier(ctx)
	if errors.Is(err, kvstore.ErrCompacted) {
		t.Resign()
	}
	return err
}

// followJobs learns of submissions and cancellations as they are committed.
func (l *leadership) followJobs(ctx context.Context) {
	for ctx.Err() == nil {
		ev, err := l.node.kv.Watch(ctx, jobstore.JobPrefix, l.revision(), 8*time.Second)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			l.log.Info("watch fell behind, resigning")
			l.lease.Resign()
			return
		case err != nil:
			call.Pause(ctx, time.Duration(200+rand.IntN(300))*time.Millisecond)
		default:
			if !l.applyEvents(ev) {
				return
			}
			l.sendDirectStops(ctx)
		}
	}
}
