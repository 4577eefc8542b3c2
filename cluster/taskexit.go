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

// reportedExit is the chunk that an exit changed, and the chunk's generation with that change.
// Once this generation is committed, the worker may forget the exit.
type reportedExit struct {
	job        int32 // index in Model.Jobs
	chunk      int
	generation uint64
}

// reportedExits are the exits that a machine's worker lists and that the model has applied.
type reportedExits map[exitKey]*reportedExit

// retain removes the exits that are not in listed.
func (e reportedExits) retain(listed map[exitKey]bool) {
	for k := range e {
		if !listed[k] {
			delete(e, k)
		}
	}
}

// rememberExit records that the model has applied an exit. It must run after the exit's changes.
func (m *Model) rememberExit(j *Job, task int32, mc *Machine, status *wire.TaskStatus) {
	chunk := int(task) / jobstore.ChunkSize
	mc.reportedExits[exitKey{status.Task, status.Attempt}] = &reportedExit{job: j.Index, chunk: chunk, generation: j.Chunks[chunk].generation}
}

// applyExit applies the exit of a placed attempt that a heartbeat lists. A task that did not
// complete is placed again later.
func (m *Model) applyExit(j *Job, task int32, mc *Machine, p *Placement, status *wire.TaskStatus, now time.Time) {
	ranSeconds := 0.0
	if !p.runningSince.IsZero() {
		ranSeconds = now.Sub(p.runningSince).Seconds()
	}
	m.log.Debug("task exited", "task", status.Task, "attempt", status.Attempt, "why", status.Why, "saved", status.Saved, "ran", ranSeconds, "machine", mc.Name)
	ref := TaskRef{Job: j.Index, Task: task}
	if status.Why == wire.ExitDone {
		m.recordImage(mc, j.image)
		m.clearFault(j)
		m.recordSlowness(j, mc, p, now)
		m.recordRunTime(j, task, p, now)
		if j.Gang() {
			// The tasks of a gang complete together. If one is done, all are done.
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
	backoff := time.Duration(0)
	moveFailure := "" // why the attempt failed, for the rebalance move of the task; empty if it did not fail
	outcome := jobstore.OutcomeRefused
	switch status.Why {
	case wire.ExitError:
		outcome = jobstore.OutcomeFailed
		// The tasks of a reserved job run different programs, so that an error of one does not
		// count against the job.
		if j.reservation == nil {
			backoff = m.recordTaskFailure(j, task, mc, now)
		}
		moveFailure = "error"
	case wire.ExitNoRoom, wire.ExitBusy:
		backoff = time.Second
		j.avoidMachine(mc.index, now.Add(5*time.Second))
		moveFailure = status.Why
	case wire.ExitUnknown:
		backoff = 3 * time.Second
		moveFailure = status.Why
	case wire.ExitAlone:
		j.markGangEnding()
		backoff = time.Second
	case wire.ExitPeers, wire.ExitStopped:
		j.markGangEnding()
		outcome = p.outcomeIfStopped()
	}
	if status.Saved {
		j.recordSavedProgress(task, p, now)
	} else {
		j.recordLostProgress(task, p, now)
	}
	m.removePlacement(j, task, now)
	j.Tasks[task].delayUntil(now.Add(backoff))
	m.finishOnlyAttempt(j, task, outcome, now)
	m.rememberExit(j, task, mc, status)
	m.quarantineFailedMove(ref, moveFailure, now)
	m.afterGangLoss(j, now)
}

// applyUnplacedExit applies the exit of an attempt that is not placed on the machine. Either its
// outcome was applied before, or the model counted the attempt as lost.
func (m *Model) applyUnplacedExit(j *Job, task int32, mc *Machine, status *wire.TaskStatus, now time.Time) {
	if mc.reportedExits[exitKey{status.Task, status.Attempt}] != nil {
		return
	}
	if status.Why == wire.ExitDone && !j.Cancelled && j.Tasks[task].Phase == TaskIdle {
		m.markDone(j, task, now)
	}
	m.rememberExit(j, task, mc, status)
}

// lossReason is the proof by which a task counts as gone. It is logged.
type lossReason string

const (
	lossLeaseExpired       lossReason = "its machine's lease expired"
	lossMachineGone        lossReason = "its machine is gone"
	lossMachineUnreachable lossReason = "its machine is unreachable" // only for reserved placements that were never launched
	lossNotListed          lossReason = "not on its machine"         // missing from a newer heartbeat
)

// taskLost removes the placement of a task that is proved to be gone and whose outcome is unknown.
func (m *Model) taskLost(j *Job, task int32, reason lossReason, now time.Time) {
	m.log.Info("task lost", "job", j.ID, "task", task, "why", reason)
	if p := j.Tasks[task].Placement; p != nil {
		j.recordLostProgress(task, p, now)
	}
	m.removePlacement(j, task, now)
	m.finishOnlyAttempt(j, task, jobstore.OutcomeLost, now)
	m.quarantineFailedMove(TaskRef{Job: j.Index, Task: task}, "", now)
	m.afterGangLoss(j, now)
}

// afterGangLoss handles the loss of a gang's task. A gang that has not started keeps its other
// placements, and a replacement with the same attempt number completes it. The remaining tasks of
// a gang that has started are stopped, unless stops are in progress already.
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
	// The remaining tasks of a gang that fails on every machine are stopped too. Otherwise they
	// would hold resources while they wait for tasks that never start.
	if stopping || !j.gangStarted && !j.gangEnding && !j.failures.atFault() {
		return
	}
	m.stopGang(j, 0, StopGangIncomplete, now)
}

// recordSlowness updates the slowness of a machine from the run time of a completed task. It
// ignores jobs without an estimate and tasks whose run time is not fully known.
func (m *Model) recordSlowness(j *Job, mc *Machine, p *Placement, now time.Time) {
	if j.Spec.EstimateS <= 0 || p.runningSince.IsZero() || p.Inherited {
		return
	}
	mc.recordRunTimeRatio(now.Sub(p.runningSince).Seconds() / j.Spec.EstimateS)
}
