// What users, workers and the checker know of jobs.

package fake

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// job holds what users, workers and the checker know of a job. The cluster's lock guards it.
type job struct {
	spec     wire.Job
	accepted bool         // its user was told that it is accepted
	done     map[int]bool // completed tasks, by index

	cancelRequested   bool      // its user has requested the cancellation
	cancelConfirmedAt time.Time // when its user was told that it is cancelled; zero: not yet
	finalState        string    // the last final state that an answer contained; "": none yet
	answers           answerLog
	unansweredSince   time.Time // since when status queries fail without faults; zero: they don't
}

// jobOf returns a job by its id, or nil if workers don't know it. A job of another frontend is read
// from its record in the key-value store. The caller holds the lock.
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

// RejectUnknownJobs makes workers know only jobs that users submitted through the cluster or that
// were registered, and not those of other frontends.
func (w *Cluster) RejectUnknownJobs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.knownJobsOnly = true
}

// RegisterJob makes a job known to the workers and the checker as accepted. It is for jobs that
// were not submitted through the cluster, such as those of users of external controllers. It does
// nothing if the job is known.
func (w *Cluster) RegisterJob(j wire.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs[j.ID] == nil {
		w.jobs[j.ID] = &job{spec: j, accepted: true, done: map[int]bool{}}
	}
}
