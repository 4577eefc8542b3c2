package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has what users and workers know of jobs.

// job is what the users and the checker know of a job.
type job struct {
	spec              wire.Job
	accepted          bool
	cancelConfirmedAt time.Time // when its user was told
	cancelRequested   bool      // its user has asked to cancel it
	done              map[int]bool
	finalState        string // the last final state any node gave
	answers           answerLog
	// unanswered is since when no question about it has been answered, without faults.
	unansweredSince time.Time
}

// jobOf is a job of another door, whose description workers find in its record;
// the lock is held.
func (w *Cluster) jobOf(id string) *job {
	if j := w.jobs[id]; j != nil || wire.ValidUserID(id) || w.knownJobsOnly {
		return j
	}
	var rec jobstore.JobRecord
	if wire.Unmarshal(w.Store.Value(jobstore.JobKey(id)), &rec) != nil {
		return nil
	}
	w.jobs[id] = &job{spec: rec.Job, accepted: true, done: map[int]bool{}}
	return w.jobs[id]
}

// RejectUnknownJobs makes workers know users' jobs only, not those of other doors.
func (w *Cluster) RejectUnknownJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownJobsOnly = true
}

// RegisterJob tells the workers of a job that was not submitted through the cluster, as
// users of real processes upload descriptions themselves.
func (w *Cluster) RegisterJob(j wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &job{spec: j, accepted: true, done: map[int]bool{}}
	}
}
