// Changes of the stored jobs, which a leader applies to its model as they are committed.

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

// applyEvents applies changes of the active records to the model. It applies each change once,
// even if both the watch and a read barrier deliver it. If a page of jobs can't be read, it
// applies no page, because the jobs of the unreadable page would look cancelled. It then
// resigns and returns false. The next leader repairs the page before it becomes active.
func (l *leadership) applyEvents(events wire.Events) (ok bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	pages := map[string]cluster.AdmissionPage{} // the latest version of each changed page
	for _, event := range events.Log {
		if event.Version <= l.appliedRevision {
			continue
		}
		if jobstore.IsJobPageKey(event.Put + event.Delete) {
			if !l.collectAdmissionPage(pages, event) {
				l.lease.Resign()
				return false
			}
			continue
		}
		l.applyJobEvent(event, now)
	}
	// Apply all pages at once, because a job may have moved from one page to another.
	l.model.ApplyAdmissionPages(slices.Collect(maps.Values(pages)), now)
	l.appliedRevision = max(l.appliedRevision, events.Revision)
	wake(l.schedulerWake)
	wake(l.committerWake)
	return true
}

// applyJobEvent applies a change of a record that holds a single job. The caller holds l.mu.
func (l *leadership) applyJobEvent(event wire.Event, now time.Time) {
	if event.Delete != "" {
		id, ok := jobstore.ParseJobKey(event.Delete)
		if !ok {
			return
		}
		if job := l.model.Job(id); job != nil && !job.Finished && job.DoneTasks < len(job.Tasks) {
			l.recentUserChanges = append(l.recentUserChanges, now, now) // a cancellation is two changes
		}
		l.model.RemoveJob(id, now)
		return
	}
	id, ok := jobstore.ParseJobKey(event.Put)
	if !ok {
		return
	}
	record, err := jobstore.DecodeJob(id, event.Value)
	if err != nil {
		l.log.Error("unreadable job record", "key", event.Put, "err", err)
		return
	}
	l.model.ApplyJobRecord(id, record, event.Version, now)
	l.recentUserChanges = append(l.recentUserChanges, now)
}

// collectAdmissionPage adds a change of an admission page to pages. It returns false if the
// page can't be read. The caller holds l.mu.
func (l *leadership) collectAdmissionPage(pages map[string]cluster.AdmissionPage, event wire.Event) bool {
	key := event.Put + event.Delete
	page := cluster.AdmissionPage{Key: key, Version: event.Version}
	if event.Put != "" {
		record, err := jobstore.DecodeJobPage(event.Value)
		if err != nil {
			l.log.Error("unreadable job page, resigning for repair", "key", key, "err", err)
			return false
		}
		page.Record = record
	}
	if pages[key].Version <= event.Version {
		pages[key] = page
	}
	if !l.model.WroteAdmissionPage(key, event.Version) {
		l.recentUserChanges = append(l.recentUserChanges, time.Now())
	}
	return true
}

func (l *leadership) revision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appliedRevision
}

// barrier applies to the model all changes that were committed before the call. It returns
// jobstore.ErrUnreadable, and the leader resigns, if a page of jobs can't be read.
func (l *leadership) barrier(ctx context.Context) error {
	select {
	case l.barrierSlot <- struct{}{}:
		defer func() { <-l.barrierSlot }()
	case <-ctx.Done():
		return ctx.Err()
	}
	events, err := l.node.kv.Watch(ctx, jobstore.JobPrefix, l.revision(), 0)
	if err != nil {
		return err
	}
	if !l.applyEvents(events) {
		return jobstore.ErrUnreadable
	}
	l.sendDirectStops(ctx)
	return nil
}

// readBarrier implements election.Config.ReadBarrier. A leader lease counts as valid only if
// the model is at least as recent as the renewal of the lease. Otherwise the leader might
// renew workers' leases for tasks of jobs that were cancelled long ago.
func (n *Node) readBarrier(ctx context.Context, lease *election.Lease) error {
	l := n.activeLeadership()
	if l == nil || l.lease != lease {
		return errors.New("not leading yet")
	}
	err := l.barrier(ctx)
	if errors.Is(err, kvstore.ErrCompacted) {
		lease.Resign()
	}
	return err
}

// followJobs watches the stored jobs and applies submissions and cancellations to the model as
// they are committed. It returns when ctx ends or after the leader has resigned.
func (l *leadership) followJobs(ctx context.Context) {
	for ctx.Err() == nil {
		events, err := l.node.kv.Watch(ctx, jobstore.JobPrefix, l.revision(), 8*time.Second)
		switch {
		case errors.Is(err, kvstore.ErrCompacted):
			l.log.Info("watch fell behind, resigning")
			l.lease.Resign()
			return
		case err != nil:
			call.Pause(ctx, time.Duration(200+rand.IntN(300))*time.Millisecond)
		default:
			if !l.applyEvents(events) {
				return
			}
			l.sendDirectStops(ctx)
		}
	}
}
