package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// This file tells a job that was submitted with a mistake, whose tasks fail
// wherever they start, from a machine on which whatever starts fails. Both show
// the same error.

const (
	// faultMachines is on how many machines nothing but errors of a job must have been
	// seen until the job is taken to be at fault. With two, a wide job that met
	// a single faulty machine and one other is taken back as soon as a task of
	// it lasts.
	faultMachines = 2
	// provenAfterSeconds is for how many seconds a task must have run to speak for its job.
	provenAfterSeconds = 20
	// A job at fault waits longer from round to round.
	firstFaultWait = 10 * time.Second
	lastFaultWait  = 2 * time.Minute
	// faultProbes is how many tasks of an array at fault may be out at a time.
	faultProbes = 1

	machineErrorMemory = 10 * time.Minute // of errors that speak against a machine
	machineErrorJobs   = 2                // with errors there that do not fail everywhere
)

// failureHistory is what is known of a job's failures. It outlives the job, since what
// failed on a machine is weighed by it later on.
type failureHistory struct {
	machines map[int32]bool // machines on which a task failed by itself
	proven   bool           // a task has completed or lasted
	round    int
}

// atFault says whether the job fails everywhere, as far as it has been seen.
func (r *failureHistory) atFault() bool { return !r.proven && len(r.machines) >= faultMachines }

// taskFailed takes in that a task of the job failed by itself on a machine. It
// returns how long the task waits before it is tried again.
func (m *Model) taskFailed(j *Job, task int32, mc *Machine, now time.Time) time.Duration {
	r := j.failures
	if r.machines == nil {
		r.machines = map[int32]bool{}
	}
	r.machines[mc.Index] = true
	tk := &j.Tasks[task]
	tk.Failures = min(tk.Failures+1, 10)
	wait := min(500*time.Millisecond<<tk.Failures, 60*time.Second)
	m.recordTaskError(j, mc, now)
	if !r.atFault() {
		m.avoidMachine(j, mc, now.Add(10*time.Minute))
		return wait
	}
	// The machines are not to blame, and those that have the image already are
	// the best for another try: no fetch is taken from healthy work.
	j.avoidUntil = nil
	if !now.Before(j.NotBefore) {
		// Errors of one round come together, within the wait that the first of
		// them began.
		j.NotBefore = now.Add(min(firstFaultWait<<min(r.round, 10), lastFaultWait))
		r.round++
		m.log.Info("job fails everywhere", "id", j.ID, "machines", len(r.machines), "lastReason", wire.WhyError,
			"nextTryInS", j.NotBefore.Sub(now).Seconds())
	}
	return 0
}

// clearFault takes in that a task of the job has completed or run for long: what
// failed before was the machines' fault.
func (m *Model) clearFault(j *Job) {
	r := j.failures
	if r.proven {
		return
	}
	if r.atFault() {
		m.log.Info("job no longer taken to fail everywhere", "id", j.ID)
	}
	r.proven = true
	j.NotBefore = time.Time{}
}

// requestableTasks says how many tasks a job may ask room for now, of those that wait.
func (j *Job) requestableTasks(limit int, now time.Time) int {
	switch {
	case !j.failures.atFault():
		return limit
	case now.Before(j.NotBefore):
		return 0
	case j.Gang():
		return limit // all or none
	}
	return max(0, faultProbes-j.PlacedTasks)
}

// recordTaskError remembers an error on a machine.
func (m *Model) recordTaskError(j *Job, mc *Machine, now time.Time) {
	before := mc.suspected(now)
	mc.taskErrors = append(mc.taskErrors, taskError{j.failures, now})
	if len(mc.taskErrors) > 20 {
		mc.taskErrors = mc.taskErrors[1:]
	}
	if !before && mc.suspected(now) {
		m.log.Info("machine suspected", "machine", mc.Name)
	}
}

// suspected says whether errors of several jobs that do not fail everywhere
// speak against a machine. It is asked anew each time: that a job fails
// everywhere is often seen only after it has failed on the machine, and jobs
// with a mistake must not make one machine after another look faulty.
func (mc *Machine) suspected(now time.Time) bool {
	if len(mc.taskErrors) < machineErrorJobs {
		return false
	}
	jobs := map[*failureHistory]bool{}
	for _, e := range mc.taskErrors {
		if now.Sub(e.at) < machineErrorMemory && !e.failures.atFault() {
			jobs[e.failures] = true
		}
	}
	return len(jobs) >= machineErrorJobs
}
