package cluster

import (
	"math"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
)

// This file is about jobs whose tasks are placed first and launched later, each on request
// and only once (jobstore.Reservation). Until its launch is requested, a placement holds its
// resources and counts like any other. The requests are in the job's record, so that the
// next leader, too, knows which tasks can't be on a machine.

// reservation is the reservation of a job. Its sets hold task numbers.
type reservation struct {
	jobstore.Reservation
	launchable *bitset.BitSet // tasks whose launch has been requested
	released   *bitset.BitSet // tasks that are not needed any more
}

func newReservation(r *jobstore.Reservation, tasks int) *reservation {
	if r == nil {
		return nil
	}
	return &reservation{Reservation: *r, launchable: r.LaunchRanges.BitSet(tasks), released: r.ReleaseRanges.BitSet(tasks)}
}

// awaitsLaunch reports whether a task must not be launched yet.
func (j *Job) awaitsLaunch(task int) bool {
	return j.reservation != nil && !j.reservation.launchable.Test(uint(task))
}

// updateReservation applies a newer version of a job's reservation.
func (m *Model) updateReservation(j *Job, r *jobstore.Reservation, now time.Time) {
	if j.reservation == nil || r == nil {
		return
	}
	j.reservation = newReservation(r, len(j.Tasks))
	m.releaseTasks(j, now)
}

// releaseTasks ends the released tasks of a reserved job: those that are placed are ordered to
// stop, and those that are not get their outcome at once.
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

// outcome is the outcome of a reserved task that was stopped for that reason.
func (why StopReason) outcome() jobstore.TaskOutcome {
	if why == StopReleased {
		return jobstore.OutcomeReleased
	}
	return jobstore.OutcomePreempted
}

// finishOnlyAttempt records the outcome of a reserved task, which has only one attempt. It
// does nothing for other jobs, whose tasks are placed again.
func (m *Model) finishOnlyAttempt(j *Job, task int32, how jobstore.TaskOutcome, now time.Time) {
	t := &j.Tasks[task]
	if j.reservation == nil || t.Phase != TaskIdle || j.Cancelled {
		return
	}
	t.setOutcome(how)
	m.prefetchEnded(j, how, now)
	m.markDone(j, task, now)
}

// outcomeIfStopped is the outcome of a reserved task whose worker lists it as stopped.
func (p *Placement) outcomeIfStopped() jobstore.TaskOutcome {
	if p.Stop == nil {
		return jobstore.OutcomePreempted
	}
	return p.Stop.Reason.outcome()
}

// applyMachineRestrictions restricts a request to the machines that its job's reservation
// names, and keeps it away from those that it excludes.
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
		r.FreeCapacityOnly = true // no other machine would do, rented or not
	}
	for _, n := range j.reservation.AvoidMachines {
		if i, ok := m.names.machines[n]; ok {
			avoid[int(i)] = true
		}
	}
	r.Avoid = avoid
}

// endedTasks lists the ended tasks of a reserved job from lo to hi, each followed by its
// outcome.
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

// stoppingTasks lists the tasks of a reserved job from lo to hi that are ordered to stop.
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

// loadEndedTasks applies the outcomes that an earlier leader recorded, in the form of
// endedTasks.
func (j *Job) loadEndedTasks(pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		if t := pairs[i]; t >= 0 && t < len(j.Tasks) && pairs[i+1] >= 0 && pairs[i+1] <= math.MaxUint8 {
			j.Tasks[t].setOutcome(jobstore.TaskOutcome(pairs[i+1]))
		}
	}
}
