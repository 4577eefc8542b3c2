package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

const (
	// maxCommands bounds the commands in one answer, apart from stops. Further commands go
	// into the next answer.
	maxCommands = 300
	// maxStops bounds the stops in one answer. It is as large as the 64 KiB limit on answers
	// allows, because an answer renews the lease of every task that it does not stop.
	maxStops = 800
)

// launchable reports whether a placed task may be launched. Its job must be active and its
// placement committed. A gang launches as a whole, so that all its placements must be committed.
func launchable(j *Job, task int32) bool {
	if j.Cancelled || j.Finished || j.awaitsLaunch(int(task)) {
		return false
	}
	if !j.Gang() {
		// Only the change that placed this task must be committed. A chunk whose tasks are
		// placed one after the other has uncommitted changes all the time. If these counted,
		// none of its tasks would be launched.
		return j.chunkOf(task).isCommitted(j.Tasks[task].Placement.chunkGeneration)
	}
	for i := range j.Chunks {
		if j.Chunks[i].HasNewPlacements() {
			return false
		}
	}
	return true
}

// AnswerRetry returns the commands that answer a heartbeat which ApplyHeartbeat did not apply.
// ok is true only if the machine is up and the heartbeat has the agent epoch and sequence
// number of the last one applied, so that both are copies of one message. node is the node
// that received this copy. The caller must hold a valid leader lease.
//
// The worker may be waiting for the answer to either copy. If the slower copy were refused,
// the worker would try the next node and lose about a second of its lease.
//
// The worker counts its lease from when it sent the heartbeat, which was before this leader
// received the first copy. Therefore lastAnswered advances only to the arrival of the first
// copy. If it advanced to now, late copies of a dead machine's last heartbeat would postpone
// its lease expiry, and the restart of its tasks elsewhere, for as long as they arrive.
//
// Like every answer that renews a lease, this one carries the pending stops. It carries no
// command that the model records as sent. Launches and forgets are in the answer to the copy
// that was applied. A worker accepts at most one of the two answers, and neither of them after
// it has sent its next heartbeat. So a launch that the next heartbeat does not list was not
// executed and never will be.
func (m *Model) AnswerRetry(heartbeat *wire.Heartbeat, node string) (cmds []wire.Command, ok bool) {
	mc := m.machineNamed(heartbeat.Machine)
	if mc == nil || mc.Gone || !mc.alive || mc.AgentEpoch != heartbeat.AgentEpoch || mc.Seq != heartbeat.Seq {
		return nil, false
	}
	mc.recordRetryAnswer()
	mc.recordRepeatedAnswer(node)
	return m.stopCommands(mc, heartbeat), true
}

// AnswerHeartbeat returns the commands that answer the heartbeat last applied for mc. The
// machine's lease begins again now. The launches in the answer are recorded as sent, whether or
// not the answer arrives. The next heartbeat shows which of them were executed.
func (m *Model) AnswerHeartbeat(mc *Machine, heartbeat *wire.Heartbeat, now time.Time) []wire.Command {
	m.Observer.LeaseLeft(m.leaseEnd(mc).Sub(now).Seconds())
	mc.recordAnswer(now)
	mc.reachability.recordAnswer(heartbeat.Seq)
	// Stops come first, so that they always fit. The answer renews the worker's lease, so that
	// a task whose stop is left out may keep running for another lease.
	out := m.stopCommands(mc, heartbeat)
	out, full := m.addForgets(out, mc, heartbeat)
	if full {
		return out
	}
	out, full = m.addLaunches(out, mc, heartbeat, now)
	if full {
		return out
	}
	if mc.unreachable() && mc.tokenShown {
		if c, ok := m.reachabilityProbe(mc); ok {
			out = append(out, c)
		}
	}
	return out
}

// addForgets adds the commands to forget reported exits whose outcome is committed. The worker
// then stops listing them. full means that the answer has maxCommands already.
func (m *Model) addForgets(out []wire.Command, mc *Machine, heartbeat *wire.Heartbeat) (cmds []wire.Command, full bool) {
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State != wire.TaskExited {
			continue
		}
		if len(out) >= maxCommands {
			return out, true
		}
		exit := mc.reportedExits[exitKey{status.Task, status.Attempt}]
		if exit != nil {
			j := m.Jobs[exit.job]
			if j != nil && !j.Finished && !j.Cancelled && !j.Chunks[exit.chunk].isCommitted(exit.generation) {
				continue // the outcome is not committed yet
			}
		}
		if exit == nil {
			if p := m.placementOf(mc, status); p != nil {
				continue // the exit is not applied yet
			}
		}
		mc.reachability.forgetSent(exitKey{status.Task, status.Attempt})
		out = append(out, wire.Command{Op: wire.OpForget, Task: status.Task, Attempt: status.Attempt})
	}
	return out, false
}

// addLaunches adds the launches of tasks whose placements on the machine are committed, and
// records them as sent with this answer. full means that the answer has maxCommands already.
func (m *Model) addLaunches(out []wire.Command, mc *Machine, heartbeat *wire.Heartbeat, now time.Time) (cmds []wire.Command, full bool) {
	for ref := range mc.Tasks {
		if len(out) >= maxCommands {
			return out, true
		}
		j := m.Jobs[ref.Job]
		p := j.Tasks[ref.Task].Placement
		if p.Stop == nil && !p.mayBeOnMachine() && launchable(j, ref.Task) && mc.interruptionAt.IsZero() && !mc.unreachable() {
			name := wire.TaskName(j.ID, int(ref.Task))
			p.recordLaunch(heartbeatID{heartbeat.AgentEpoch, heartbeat.Seq}, now)
			m.Observer.Launched(now.Sub(p.placedAt).Seconds())
			out = append(out, wire.Command{Op: wire.OpStart, Task: name, Attempt: p.Attempt})
			m.log.Debug("task launch sent", "task", name, "attempt", p.Attempt, "machine", mc.Name, "sincePlaced", now.Sub(p.placedAt).Seconds())
		}
	}
	return out, false
}

// placementOf returns the placement of an attempt that a heartbeat of mc lists, or nil if the
// attempt is not placed on mc.
func (m *Model) placementOf(mc *Machine, status *wire.TaskStatus) *Placement {
	j, task := m.taskNamed(status.Task)
	if j == nil {
		return nil
	}
	if p := j.Tasks[task].Placement; p != nil && p.Machine == mc.index && p.Attempt == status.Attempt {
		return p
	}
	return nil
}

// stopCommands returns the stops that answer a heartbeat, at most maxStops. They are for
//   - listed attempts that are not placed on this machine,
//   - listed attempts that are ordered to stop, except those with a grace period that are
//     saving a checkpoint already,
//   - attempts that are ordered to stop and were never listed, because their launch may still
//     arrive.
func (m *Model) stopCommands(mc *Machine, heartbeat *wire.Heartbeat) []wire.Command {
	var out []wire.Command
	stop := func(name string, attempt uint64, grace float64) {
		if len(out) < maxStops {
			out = append(out, wire.Command{Op: wire.OpStop, Task: name, Attempt: attempt, GraceS: &grace})
		}
	}
	for i := range heartbeat.Tasks {
		status := &heartbeat.Tasks[i]
		if status.State == wire.TaskExited {
			continue
		}
		if p := m.placementOf(mc, status); p == nil {
			stop(status.Task, status.Attempt, 0)
		} else if p.Stop != nil && (p.reportedState != reportedSaving || p.Stop.Grace == 0) {
			stop(status.Task, status.Attempt, p.Stop.Grace)
		}
	}
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		if p := j.Tasks[ref.Task].Placement; p.Stop != nil && p.reportedState == notReported {
			stop(wire.TaskName(j.ID, int(ref.Task)), p.Attempt, p.Stop.Grace)
		}
	}
	return out
}
