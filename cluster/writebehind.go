package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// WriteBatch is a compare-and-swap transaction that the leader is to commit. The controller
// adds the guard on the leader key.
type WriteBatch struct {
	Guards []wire.Guard
	Ops    []wire.Op
	// OnCommit must be called after a successful commit, with its revision.
	OnCommit  func(rev uint64, now time.Time)
	HeldStops int // how many held stops its commit releases

	placementPages    map[string]*placementPage
	jobs              map[string]*Job
	notes             map[string]*planRecord
	placesTasks       bool // tasks, by the plan
	admissionRemovals map[*admissionPage]*admissionRemoval
	commitHooks       []func(rev uint64, now time.Time)
	bytes             int
}

const (
	// maxBatchBytes keeps a transaction well below the service's limit of 64 KiB.
	maxBatchBytes = 48 << 10
	// maxFinalsWithPlacements bounds the jobs that are ended by a transaction that also
	// places tasks, so that the conditions of both fit.
	maxFinalsWithPlacements = 4
)

// maxGuards is how many conditions a transaction may have, the leader key's and
// the plan's left out.
func (m *Model) maxGuards() int {
	ops := m.settings.Cluster.State.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return 4*ops - 2
}

// PendingWrites returns how many puts and deletes are needed to write all changes; 1 if
// there is nothing to write but finished jobs are to be dropped from the model.
func (m *Model) PendingWrites() int {
	n := 0
	for _, idx := range m.dirtyJobs {
		if j := m.Jobs[idx]; j != nil && j.awaitsFinalRecord() {
			n += 2
		}
	}
	for _, p := range m.pages {
		if p.generation != p.committedGeneration {
			n++
		}
	}
	if n == 0 && len(m.dirtyJobs) > 0 {
		return 1 // nothing to write, but jobs to be dropped
	}
	return n
}

// NothingToWrite reports whether the next batch would be empty. Changed pages count until
// they are committed, finished jobs only until they are in a batch.
func (m *Model) NothingToWrite() bool { return m.PendingWrites() == 0 }

// awaitsFinalRecord says whether a job is done and its end is to be committed.
func (j *Job) awaitsFinalRecord() bool {
	return j.DoneTasks == len(j.Tasks) && !j.Cancelled && !j.Finished
}

// NextBatch returns a transaction that writes at most maxOps changed records, or nil if
// there is nothing to write. Finished jobs and new placements come first, because users
// wait for the former and idle machines for the latter.
func (m *Model) NextBatch(maxOps int) *WriteBatch {
	b := &WriteBatch{placementPages: map[string]*placementPage{}, jobs: map[string]*Job{}}
	fresh, other := m.changedPages()
	dones := maxOps
	if len(fresh) > 0 {
		dones = maxFinalsWithPlacements
	}
	left := m.dirtyJobs[:0]
	for _, idx := range m.dirtyJobs {
		j := m.Jobs[idx]
		switch {
		case j == nil:
			continue
		case j.Finished || j.Cancelled && j.PlacedTasks == 0:
			m.dropJob(j)
			continue
		case j.awaitsFinalRecord():
			if dones == 0 || len(b.Ops)+2 > maxOps || len(b.Guards)+2 > m.maxGuards() || !m.addFinalRecord(b, j) {
				left = append(left, idx)
				continue
			}
			dones--
		}
		j.dirty = false
	}
	m.dirtyJobs = left
	for _, p := range append(fresh, other...) {
		if len(b.Ops) >= maxOps {
			break
		}
		m.addPlacementPage(b, p)
	}
	m.nextPageToWrite++
	b.fillAdmissionRemovals()
	if len(b.Ops) == 0 {
		return nil
	}
	if b.placesTasks {
		b.Guards = append(b.Guards, m.PlanGuard())
	}
	m.addPlanCheck(b)
	b.OnCommit = b.runCommitHooks
	return b
}

// runCommitHooks takes in that a batch is in the store.
func (b *WriteBatch) runCommitHooks(rev uint64, now time.Time) {
	for _, f := range b.commitHooks {
		f(rev, now)
	}
}

// addFinalRecord ends a job, if its page fits in beside what is there already.
func (m *Model) addFinalRecord(b *WriteBatch, j *Job) bool {
	rec := jobstore.JobRecord{Job: j.Spec, AcceptedAtMs: j.AcceptedAt.UnixMilli(), State: wire.JobDone, Outcomes: j.endedTasks(0, len(j.Tasks)), FinishedAtMs: m.completionTimeMs(j)}
	if j.reservation != nil {
		rec.Reservation = &j.reservation.Reservation
	}
	if j.admissionPage != nil {
		if !b.removeFromAdmissionPage(j) {
			return false
		}
	} else {
		b.Guards = append(b.Guards, wire.Guard{Key: jobstore.JobKey(j.ID), Version: j.Version})
		b.Ops = append(b.Ops, wire.Op{Delete: jobstore.JobKey(j.ID)})
	}
	b.Guards = append(b.Guards, wire.Guard{Key: jobstore.FinalKey(j.ID)})
	b.Ops = append(b.Ops, wire.Op{Put: jobstore.FinalKey(j.ID), Value: rec})
	b.jobs[jobstore.JobKey(j.ID)] = j
	b.bytes += 1000
	b.commitHooks = append(b.commitHooks, func(_ uint64, now time.Time) {
		j.Finished = true
		m.log.Info("job completed", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		m.dropJob(j)
	})
	return true
}

// RequeueBatch marks the jobs of a batch that was not committed as changed again. Pages need
// no such call: they count as changed until a commit.
func (m *Model) RequeueBatch(b *WriteBatch) {
	for _, j := range b.jobs {
		m.markDirty(j)
	}
}

// ResolveConflict applies the version that a key of a batch turned out to have after a
// conflict. Only the leader writes placement records, so that an unexpected version is from
// an earlier transaction of its own whose response was lost. The model is newer than that
// and is written again.
func (m *Model) ResolveConflict(b *WriteBatch, key string, version uint64) {
	if p := b.placementPages[key]; p != nil {
		p.version = version
		p.generation++ // also where it was to be deleted
	}
	if x := b.notes[key]; x != nil {
		x.version = version
	}
}

// IsJobKey reports whether a key holds an active job or a page of them.
func (b *WriteBatch) IsJobKey(key string) bool {
	_, ok := jobstore.ParseJobKey(key)
	return ok || jobstore.IsJobPageKey(key)
}

// dropJob drops a job that is over. Its records leave their pages with the
// pages' next change; a leader that finds them sees that the job is over.
func (m *Model) dropJob(j *Job) {
	if m.Jobs[j.Index] == nil || j.PlacedTasks > 0 {
		return
	}
	if j.Finished {
		m.recordWindowCompletion(j)
	}
	for n := range j.Chunks {
		m.takeOffPlacementPage(&j.Chunks[n])
	}
	m.Jobs[j.Index] = nil
	delete(m.names.jobs, j.ID)
}

// sortedRefs lists refs in an order that does not depend on the map's.
func sortedRefs(set map[TaskRef]bool) []TaskRef { return sortRefs(set, make([]TaskRef, 0, len(set))) }

func sortRefs(set map[TaskRef]bool, out []TaskRef) []TaskRef {
	for r := range set {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b TaskRef) int {
		if a.Job != b.Job {
			return int(a.Job - b.Job)
		}
		return int(a.Task - b.Task)
	})
	return out
}
