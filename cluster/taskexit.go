package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// exitKey identifies an attempt that a worker lists as exited.
type exitKey struct {
	name    string
	attempt uint64
}

// reportedExit is the chunk of a job that an exit has changed, and the chunk's generation
// with that change. Once it is committed, the worker may forget the exit.
type reportedExit struct {
	job        int32
	chunk      int
	generation uint64
}

// reportedExits are the exits that a machine's worker lists and that have been applied.
type reportedExits map[exitKey]*reportedExit

// retain drops the exits that a heartbeat no longer lists.
func (e reportedExits) retain(listed map[exitKey]bool) {
	for k := range e {
		if !listed[k] {
			delete(e, k)
		}
	}
}

// rememberExit records that an exit has been applied.
func (m *Model) rememberExit(j *Job, task int32, mc *Machine, status *wire.TaskStatus) {
	n := int(task) / jobstore.ChunkSize
	mc.reportedExits[exitKey{status.Task, status.Attempt}] = &reportedExit{job: j.Index, chunk: n, generation: j.Chunks[n].generation}
}

// applyExit applies the end of a task's attempt that its worker has listed.
func (m *Model) applyExit(j *Job, task int32, mc *Machine, p *Placement, status *wire.TaskStatus, now time.Time) {
	ran := 0.0
	if !p.runningSince.IsZero() {
		ran = now.Sub(p.runningSince).Seconds()
	}
	m.log.Debug("task exited", "task", status.Task, "attempt", status.Attempt, "why", status.Why, "saved", status.Saved, "ran", ran, "machine", mc.Name)
	ref := TaskRef{Job: j.Index, Task: task}
	if status.Why == wire.ExitDone {
		m.recordImage(mc, j.image)
		m.clearFault(j)
		m.recordSlowness(j, mc, p, now)
		m.recordRunTime(j, task, p, now)
		if j.Gang() {
			// They complete together: if one task is done, all are.
			for i := range j.Tasks {
				m.markDone(j, int32(i), now)
			}
		} else {
			m.markDone(j, task, now)
		}
		m.quarantineFailedMove(ref, "", now)
		m.rememberExit(j, task, mc, status)
		return
	}
	wait := time.Duration(0)
	failed := ""
	how := jobstore.OutcomeRefused
	switch status.Why {
	case wire.ExitError:
		how = jobstore.OutcomeFailed
		if j.reservation == nil { // the tasks of a reserved job run different things: no error is the job's
			wait = m.recordTaskFailure(j, task, mc, now)
		}
		failed = "error"
	case wire.ExitNoRoom, wire.ExitBusy:
		wait = time.Second
		j.avoidMachine(mc.index, now.Add(5*time.Second))
		failed = status.Why
	case wire.ExitUnknown:
		wait = 3 * time.Second
		failed = status.Why
	case wire.ExitAlone:
		j.markGangEnding()
		wait = time.Second
	case wire.ExitPeers, wire.ExitStopped:
		j.markGangEnding()
		how = p.outcomeIfStopped()
	}
	if status.Saved {
		j.recordSavedProgress(task, p, now)
	} else {
		j.recordLostProgress(task, p, now)
	}
	m.removePlacement(j, task, now)
	j.Tasks[task].delayUntil(now.Add(wait))
	m.finishOnlyAttempt(j, task, how, now)
	m.rememberExit(j, task, mc, status)
	m.quarantineFailedMove(ref, failed, now)
	m.afterGangLoss(j, now)
}

// applyUnplacedExit applies an exit without a placement: its outcome is known already, or
// the model had given the attempt up as lost.
func (m *Model) applyUnplacedExit(j *Job, task int32, mc *Machine, status *wire.TaskStatus, now time.Time) {
	if mc.reportedExits[exitKey{status.Task, status.Attempt}] != nil {
		return
	}
	if status.Why == wire.ExitDone && !j.Cancelled && j.Tasks[task].Phase == TaskIdle {
		m.markDone(j, task, now)
	}
	m.rememberExit(j, task, mc, status)
}

// lossReason says by what proof a task is gone, for the log.
type lossReason string

const (
	lossLeaseExpired       lossReason = "its machine's lease expired"
	lossMachineGone        lossReason = "its machine is gone"
	lossMachineUnreachable lossReason = "its machine is unreachable" // and its reserved placement was never launched
	lossNotListed          lossReason = "not on its machine"         // missing from a newer heartbeat
)

// taskLost removes the placement of a task that is proved to be gone, its outcome unknown.
func (m *Model) taskLost(j *Job, task int32, why lossReason, now time.Time) {
	m.log.Info("task lost", "job", j.ID, "task", task, "why", why)
	if p := j.Tasks[task].Placement; p != nil {
		j.recordLostProgress(task, p, now)
	}
	m.removePlacement(j, task, now)
	m.finishOnlyAttempt(j, task, jobstore.OutcomeLost, now)
	m.quarantineFailedMove(TaskRef{Job: j.Index, Task: task}, "", now)
	m.afterGangLoss(j, now)
}

// afterGangLoss decides what becomes of a gang that has lost a task. A gang that has not
// started keeps its other places, and a replacement with the same attempt number completes
// it. The rest of a gang that has started is stopped, unless stops are in progress already.
func (m *Model) afterGangLoss(j *Job, now time.Time) {
	if !j.Gang() {
		return
	}
	if j.PlacedTasks == 0 {
		j.resetGang()
		return
	}
	stopping := false
	for i := range j.Tasks {
		if p := j.Tasks[i].Placement; p != nil && p.Stop != nil {
			stopping = true
		}
	}
	// The rest of a gang that fails on every machine is stopped as well: its tasks would
	// otherwise occupy their places, waiting in vain for the others.
	if stopping || !j.gangStarted && !j.gangEnding && !j.failures.atFault() {
		return
	}
	m.stopGang(j, 0, StopGangIncomplete, now)
}

// recordSlowness records a completed task's run time, compared with its owner's estimate, for
// the slowness of its machine.
func (m *Model) recordSlowness(j *Job, mc *Machine, p *Placement, now time.Time) {
	if j.Spec.EstimateS <= 0 || p.runningSince.IsZero() || p.Inherited {
		return
	}
	mc.recordRunTimeRatio(now.Sub(p.runningSince).Seconds() / j.Spec.EstimateS)
}
