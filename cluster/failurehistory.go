package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

const (
	// minFaultMachines is the number of machines on which a job must have failed, without any
	// success, to be at fault. It can be low because a single task that keeps running shows
	// that the job is not at fault.
	minFaultMachines = 2
	// healthyAfterSeconds is the run time of a task that proves its job to be not at fault.
	healthyAfterSeconds = 20
	// minFaultBackoff and maxFaultBackoff bound the exponential backoff of a job at fault.
	minFaultBackoff = 10 * time.Second
	maxFaultBackoff = 2 * time.Minute
	// maxFaultProbes bounds the tasks of an array at fault that are placed at the same time.
	maxFaultProbes = 1

	taskErrorRetention = 10 * time.Minute // time for which an error counts against its machine
	minSuspectJobs     = 2                // jobs not at fault whose failures make their machine suspected
	maxTaskErrors      = 20               // errors kept for each machine
)

// failureHistory records the failures of a job. It distinguishes a faulty job, whose tasks fail
// on every machine, from a faulty machine, on which every job fails. Workers report the same
// error for both. The history outlives the job, because errors count against a machine only if
// their jobs are not at fault.
type failureHistory struct {
	machines      map[int32]bool // indexes of machines on which a task ended with an error
	provenHealthy bool           // a task completed or ran for healthyAfterSeconds
	round         int            // number of backoffs so far
}

// atFault reports whether the job has failed on several machines and succeeded on none.
func (h *failureHistory) atFault() bool {
	return !h.provenHealthy && len(h.machines) >= minFaultMachines
}

// recordTaskFailure records that a task of the job ended with an error on a machine. It returns
// the task's backoff. That is 0 if the job is at fault, because the whole job backs off then.
func (m *Model) recordTaskFailure(j *Job, task int32, mc *Machine, now time.Time) time.Duration {
	h := j.failures
	if h.machines == nil {
		h.machines = map[int32]bool{}
	}
	h.machines[mc.index] = true
	taskBackoff := j.Tasks[task].countFailure()
	m.recordTaskError(j, mc, now)
	if !h.atFault() {
		j.avoidMachine(mc.index, now.Add(10*time.Minute))
		return taskBackoff
	}
	// The machines are not at fault. Those that have the image already are best for
	// another try, because they need no fetch bandwidth, which healthy jobs can use.
	j.avoidNoMachines()
	if !now.Before(j.notBefore) {
		// The errors of one round arrive together. Only the first one begins a new backoff.
		j.backOffUntil(now.Add(min(minFaultBackoff<<min(h.round, 10), maxFaultBackoff)))
		h.round++
		m.log.Info("job fails everywhere", "id", j.ID, "machines", len(h.machines), "lastReason", wire.ExitError,
			"nextTryInS", j.notBefore.Sub(now).Seconds())
	}
	return 0
}

// clearFault records that a task of the job completed or ran for healthyAfterSeconds. The
// job's earlier failures count against the machines then.
func (m *Model) clearFault(j *Job) {
	h := j.failures
	if h.provenHealthy {
		return
	}
	if h.atFault() {
		m.log.Info("job no longer considered at fault", "id", j.ID)
	}
	h.provenHealthy = true
	j.backOffUntil(time.Time{})
}

// requestableTasks returns how many waiting tasks the job may request placements for now. The
// result is at most limit.
func (j *Job) requestableTasks(limit int, now time.Time) int {
	switch {
	case !j.failures.atFault():
		return limit
	case now.Before(j.notBefore):
		return 0
	case j.Gang():
		return limit // all or none
	}
	return max(0, maxFaultProbes-j.PlacedTasks)
}

// taskError is an error with which a task ended on a machine.
type taskError struct {
	failures *failureHistory // of the task's job
	at       time.Time
}

// recordTaskError records an error of a job on a machine, and logs if the machine becomes
// suspected.
func (m *Model) recordTaskError(j *Job, mc *Machine, now time.Time) {
	before := mc.suspected(now)
	mc.addTaskError(taskError{j.failures, now})
	if !before && mc.suspected(now) {
		m.log.Info("machine suspected", "machine", mc.Name)
	}
}

// addTaskError records an error. It drops the oldest error beyond maxTaskErrors.
func (mc *Machine) addTaskError(e taskError) {
	mc.taskErrors = append(mc.taskErrors, e)
	if len(mc.taskErrors) > maxTaskErrors {
		mc.taskErrors = mc.taskErrors[1:]
	}
}

// suspected reports whether several jobs that are not at fault failed on the machine lately.
// The result is not cached. A job is often found to be at fault only after it failed on this
// machine, and faulty jobs must not make one machine after another suspected.
func (mc *Machine) suspected(now time.Time) bool {
	if len(mc.taskErrors) < minSuspectJobs {
		return false
	}
	jobs := map[*failureHistory]bool{}
	for _, e := range mc.taskErrors {
		if now.Sub(e.at) < taskErrorRetention && !e.failures.atFault() {
			jobs[e.failures] = true
		}
	}
	return len(jobs) >= minSuspectJobs
}
