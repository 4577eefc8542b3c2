package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file distinguishes a faulty job, whose tasks fail on every machine, from a faulty
// machine, on which every job fails. Workers report the same error for both.

const (
	// minFaultMachines is on how many machines a job must have failed, without any success,
	// to be considered at fault. The number can be low because the judgement is revised as
	// soon as one of its tasks keeps running.
	minFaultMachines = 2
	// healthyAfterSeconds is how long a task must run to prove that its job is not at fault.
	healthyAfterSeconds = 20
	// Bounds of the exponential backoff of a job at fault.
	minFaultBackoff = 10 * time.Second
	maxFaultBackoff = 2 * time.Minute
	// maxFaultProbes is how many tasks of an array at fault may be placed at a time.
	maxFaultProbes = 1

	taskErrorRetention = 10 * time.Minute // how long an error counts against a machine
	minSuspectJobs     = 2                // jobs not at fault that must have failed there
	maxTaskErrors      = 20               // errors remembered of a machine
)

// failureHistory is what is known of a job's failures. It outlives the job, because a
// machine's errors are judged by whether the jobs that had them are at fault.
type failureHistory struct {
	machines      map[int32]bool // machines on which a task failed by itself
	provenHealthy bool           // a task has completed, or run for healthyAfterSeconds
	round         int            // of the backoff
}

// atFault reports whether the job has failed on several machines and succeeded on none.
func (h *failureHistory) atFault() bool {
	return !h.provenHealthy && len(h.machines) >= minFaultMachines
}

// recordTaskFailure records that a task of the job failed by itself on a machine. It returns the
// backoff before the task is tried again.
func (m *Model) recordTaskFailure(j *Job, task int32, mc *Machine, now time.Time) time.Duration {
	h := j.failures
	if h.machines == nil {
		h.machines = map[int32]bool{}
	}
	h.machines[mc.index] = true
	wait := j.Tasks[task].countFailure()
	m.recordTaskError(j, mc, now)
	if !h.atFault() {
		j.avoidMachine(mc.index, now.Add(10*time.Minute))
		return wait
	}
	// The machines are not at fault. Those that have the image already are best for
	// another try, because it then takes no fetch bandwidth from healthy jobs.
	j.avoidNoMachines()
	if !now.Before(j.notBefore) {
		// The errors of one round arrive together; only the first one begins a new
		// backoff.
		j.backOffUntil(now.Add(min(minFaultBackoff<<min(h.round, 10), maxFaultBackoff)))
		h.round++
		m.log.Info("job fails everywhere", "id", j.ID, "machines", len(h.machines), "lastReason", wire.ExitError,
			"nextTryInS", j.notBefore.Sub(now).Seconds())
	}
	return 0
}

// clearFault records that a task of the job has completed or has run for long, so that its
// earlier failures were the machines' fault.
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

// requestableTasks returns how many of its waiting tasks a job may request places for now, at
// most limit.
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

// taskError is an error of a task on a machine.
type taskError struct {
	failures *failureHistory // of the task's job
	at       time.Time
}

// recordTaskError records that a task of the job failed on a machine.
func (m *Model) recordTaskError(j *Job, mc *Machine, now time.Time) {
	before := mc.suspected(now)
	mc.addTaskError(taskError{j.failures, now})
	if !before && mc.suspected(now) {
		m.log.Info("machine suspected", "machine", mc.Name)
	}
}

// addTaskError records an error, and forgets the oldest ones beyond maxTaskErrors.
func (mc *Machine) addTaskError(e taskError) {
	mc.taskErrors = append(mc.taskErrors, e)
	if len(mc.taskErrors) > maxTaskErrors {
		mc.taskErrors = mc.taskErrors[1:]
	}
}

// suspected reports whether several jobs that are not at fault have failed on a machine. The
// result is not cached: that a job is at fault often shows only after it has failed on this
// machine, and faulty jobs must not make one machine after another look faulty.
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
