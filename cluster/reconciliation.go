package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// reconcile updates the model from a new heartbeat. It applies the tasks that the heartbeat
// lists, and then the absence of tasks that the model has on the machine. Absence is applied
// only if the heartbeat carries this leader's token.
func (m *Model) reconcile(mc *Machine, heartbeat *wire.Heartbeat, now time.Time) {
	listed := m.applyListedTasks(mc, heartbeat, now)
	if !mc.tokenShown {
		// An answer of an earlier leader may still be on its way to the worker, so that the
		// absence of a task proves nothing.
		return
	}
	for ref := range mc.Tasks {
		if !listed[ref] {
			m.applyAbsence(mc, ref, heartbeat, now)
		}
	}
}

// applyListedTasks applies the state of each task that a heartbeat lists. It returns the tasks
// that are placed on the machine with the listed attempt.
func (m *Model) applyListedTasks(mc *Machine, heartbeat *wire.Heartbeat, now time.Time) map[TaskRef]bool {
	listed := make(map[TaskRef]bool, len(heartbeat.Tasks))
	listedAttempts := make(map[exitKey]bool, len(heartbeat.Tasks))
	mc.resetOrphaned()
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		listedAttempts[exitKey{status.Task, status.Attempt}] = true
		if ref, placed := m.applyListedTask(mc, heartbeat, status, now); placed {
			listed[ref] = true
		}
	}
	mc.reportedExits.retain(listedAttempts)
	return listed
}

// applyListedTask applies the state of a task that a heartbeat lists. placed is true, and ref is
// set, if the task is placed on the machine with the listed attempt.
func (m *Model) applyListedTask(mc *Machine, heartbeat *wire.Heartbeat, status *wire.TaskStatus, now time.Time) (ref TaskRef, placed bool) {
	j, task := m.taskNamed(status.Task)
	if j == nil {
		return TaskRef{}, false
	}
	p := j.Tasks[task].Placement
	if p == nil || p.Machine != mc.index || p.Attempt != status.Attempt {
		if status.State == wire.TaskExited {
			m.applyUnplacedExit(j, task, mc, status, now)
		} else {
			mc.addOrphaned(j.Need)
		}
		return TaskRef{}, false
	}
	ref = TaskRef{Job: j.Index, Task: task}
	if status.State == wire.TaskExited && status.Why != wire.ExitDone && p.Inherited && !mc.tokenShown {
		// Without the token the heartbeat may be a delayed copy. A gang's task that the
		// worker refused is launched again with the same attempt number, and may be on the
		// machine by now.
		return ref, true
	}
	if p.launchSent && p.reportedState == notReported && p.launchEpoch == heartbeat.AgentEpoch {
		m.markReachable(mc, now)
	}
	m.applyTaskState(j, task, mc, p, status, now)
	return ref, true
}

// applyAbsence handles a task that is placed on a machine and missing from its heartbeat. The
// task was not launched yet, its launch was lost, or it is gone.
func (m *Model) applyAbsence(mc *Machine, ref TaskRef, heartbeat *wire.Heartbeat, now time.Time) {
	j := m.Jobs[ref.Job]
	p := j.Tasks[ref.Task].Placement
	switch {
	case p.Inherited && p.Stop == nil && j.reservation != nil && heartbeat.AgentEpoch == 1:
		// In the first agent epoch the worker's lease has never expired. A worker lists every
		// task that it received until it is told to forget the task. So the launch never
		// reached the worker.
		p.clearLaunch()
		return
	case p.Inherited:
		// The heartbeat carries this leader's token, so that the worker accepts no launch of
		// an earlier leader any more. The task is gone.
	case !p.launchSent:
		return // not launched yet
	case p.launchEpoch == heartbeat.AgentEpoch && p.launchSeq >= heartbeat.Seq:
		return // the heartbeat is not newer than the launch
	case p.launchEpoch == heartbeat.AgentEpoch && p.reportedState == notReported && p.Stop == nil:
		// The answer with the launch was lost. It can't be executed any more, because the
		// worker has sent a newer heartbeat.
		p.clearLaunch()
		if (heartbeatID{p.launchEpoch, p.launchSeq}) != mc.reachability.answeredTwice {
			m.markUnreachable(mc, signLaunchMissing, now)
		}
		return
	}
	m.taskLost(j, ref.Task, lossNotListed, now)
}

// applyTaskState applies the state that a heartbeat lists for a task that is placed on the
// machine.
func (m *Model) applyTaskState(j *Job, task int32, mc *Machine, p *Placement, status *wire.TaskStatus, now time.Time) {
	p.recordListed()
	switch status.State {
	case wire.TaskFetching:
		p.recordState(reportedFetching, now)
	case wire.TaskWaiting:
		p.recordState(reportedWaiting, now)
		m.recordImage(mc, j.image)
	case wire.TaskRunning:
		if p.recordState(reportedRunning, now) {
			if !p.launchSentAt.IsZero() {
				m.Observer.Running(now.Sub(p.launchSentAt).Seconds())
			}
			if !p.Inherited && !j.failures.atFault() {
				m.startupAndStragglersOf(j).addStartDelay(now.Sub(p.placedAt).Seconds())
			}
			m.log.Debug("task started", "task", status.Task, "attempt", status.Attempt, "machine", mc.Name, "sincePlaced", now.Sub(p.placedAt).Seconds())
		}
		if now.Sub(p.runningSince).Seconds() >= healthyAfterSeconds {
			m.clearFault(j)
		}
		if j.markStarted(now) {
			m.log.Info("job started", "id", j.ID, "sinceAccept", now.Sub(j.AcceptedAt).Round(time.Millisecond).Seconds())
		}
		m.recordImage(mc, j.image)
	case wire.TaskSaving:
		p.recordState(reportedSaving, now)
	case wire.TaskExited:
		m.applyExit(j, task, mc, p, status, now)
	}
}
