package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file has what users and workers know of jobs.

// job is what the users and the checker know of a job. The cluster's lock guards it.
type job struct {
	spec     wire.Job
	accepted bool         // its user was told that it is accepted
	done     map[int]bool // the tasks that have completed, by index

	cancelRequested   bool      // its user has asked to cancel it
	cancelConfirmedAt time.Time // when its user was told that it is cancelled; zero: not yet
	finalState        string    // the last final state that any node gave; "": none yet
	answers           answerLog
	unansweredSince   time.Time // since when no question about it has been answered, without faults
}

// jobOf is a job that workers are to run. The description of one that came by another
// frontend is looked up in its record. The lock is held.
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

// RejectUnknownJobs makes workers know users' jobs only, not those of other frontends.
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
