// Handles jobs with a reservation (jobstore.Reservation). Their tasks are placed first and launched
// later, each on request and only once. Until its launch is requested, a placement holds its
// resources and counts like any other. The requests are in the job's record, so that the next leader
// knows which tasks have not been launched on any machine.

package cluster

import (
	"math"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
)

// reservation is the reservation of a job. Its sets contain task numbers.
type reservation struct {
	jobstore.Reservation
	launchable *bitset.BitSet // tasks whose launch has been requested
	released   *bitset.BitSet // tasks that are not needed any more
}

// newReservation returns the reservation of a job with the given number of tasks. It returns nil if
// r is nil.
func newReservation(r *jobstore.Reservation, tasks int) *reservation {
	if r == nil {
		return nil
	}
	return &reservation{Reservation: *r, launchable: r.LaunchRanges.BitSet(tasks), released: r.ReleaseRanges.BitSet(tasks)}
}

// awaitsLaunch reports whether the launch of a reserved task has not been requested yet.
func (j *Job) awaitsLaunch(task int) bool {
	return j.reservation != nil && !j.reservation.launchable.Test(uint(task))
}

// updateReservation applies a newer version of a job's reservation. It does nothing if either
// version is missing.
func (m *Model) updateReservation(j *Job, r *jobstore.Reservation, now time.Time) {
	if j.reservation == nil || r == nil {
		return
	}
	j.reservation = newReservation(r, len(j.Tasks))
	m.releaseTasks(j, now)
}

// releaseTasks ends the released tasks of a reserved job. Placed tasks are ordered to stop. Idle
// tasks get their outcome at once.
func (m *Model) releaseTasks(j *Job, now time.Time) {
	if j.reservation == nil || j.Cancelled || j.Finished {
		return
	}
	for i, ok := j.reservation.released.NextSet(0); ok && int(i) < len(j.Tasks); i, ok = j.reservation.released.NextSet(i + 1) {
		switch t := &j.Tasks[i]; t.Phase {
		case TaskPlaced:
			m.stopPlacedTask(j, int32(i), 0, StopReleased, now)
		case TaskIdle:
			m.finishOnlyAttempt(j, int32(i), jobstore.OutcomeReleased, now)
		}
	}
}

// outcome returns the outcome of a reserved task that was stopped for the given reason.
func (why StopReason) outcome() jobstore.TaskOutcome {
	if why == StopReleased {
		return jobstore.OutcomeReleased
	}
	return jobstore.OutcomePreempted
}

// finishOnlyAttempt records the outcome of a reserved task, which has only one attempt. It
// does nothing for other jobs, whose tasks are placed again.
func (m *Model) finishOnlyAttempt(j *Job, task int32, outcome jobstore.TaskOutcome, now time.Time) {
	t := &j.Tasks[task]
	if j.reservation == nil || t.Phase != TaskIdle || j.Cancelled {
		return
	}
	t.setOutcome(outcome)
	m.prefetchEnded(j, outcome, now)
	m.markDone(j, task, now)
}

// outcomeIfStopped returns the outcome of a reserved task that its worker reports as stopped.
// Without a stop order the task counts as preempted.
func (p *Placement) outcomeIfStopped() jobstore.TaskOutcome {
	if p.Stop == nil {
		return jobstore.OutcomePreempted
	}
	return p.Stop.Reason.outcome()
}

// applyMachineRestrictions restricts a request to the machines that its job's reservation
// names, and keeps it off the machines that the reservation excludes.
func (m *Model) applyMachineRestrictions(j *Job, r *placement.Request) {
	if j.reservation == nil || len(j.reservation.OnlyMachines) == 0 && len(j.reservation.AvoidMachines) == 0 {
		return
	}
	avoid := map[int]bool{}
	for i := range r.Avoid {
		avoid[i] = true
	}
	if len(j.reservation.OnlyMachines) > 0 {
		only := map[string]bool{}
		for _, n := range j.reservation.OnlyMachines {
			only[n] = true
		}
		for _, mc := range m.Machines {
			if !mc.Gone && !only[mc.Name] {
				avoid[int(mc.index)] = true
			}
		}
		r.FreeCapacityOnly = true // a rented machine would not be one of those named
	}
	for _, n := range j.reservation.AvoidMachines {
		if i, ok := m.names.machines[n]; ok {
			avoid[int(i)] = true
		}
	}
	r.Avoid = avoid
}

// endedTasks returns the ended tasks of a reserved job in [lo, hi), each followed by its outcome. It
// returns nil for other jobs.
func (j *Job) endedTasks(lo, hi int) []int {
	if j.reservation == nil {
		return nil
	}
	var out []int
	for i := lo; i < hi; i++ {
		if j.Tasks[i].Phase == TaskDone {
			out = append(out, i, int(j.Tasks[i].outcome))
		}
	}
	return out
}

// stoppingTasks returns the tasks of a reserved job in [lo, hi) that are ordered to stop. It returns
// nil for other jobs.
func (j *Job) stoppingTasks(lo, hi int) []int {
	if j.reservation == nil {
		return nil
	}
	var out []int
	for i := lo; i < hi; i++ {
		if p := j.Tasks[i].Placement; p != nil && p.Stop != nil {
			out = append(out, i)
		}
	}
	return out
}

// loadEndedTasks applies the outcomes that an earlier leader recorded in the format of endedTasks.
// Invalid pairs are ignored.
func (j *Job) loadEndedTasks(pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if t := pairs[i]; t >= 0 && t < len(j.Tasks) && pairs[i+1] >= 0 && pairs[i+1] <= math.MaxUint8 {
			j.Tasks[t].setOutcome(jobstore.TaskOutcome(pairs[i+1]))
		}
	}
}
