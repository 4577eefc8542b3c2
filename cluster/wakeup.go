package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// wakeUpRetry is the interval after which a wake-up without effect is repeated.
const wakeUpRetry = 1500 * time.Millisecond

// NoSuchTask is the task number in wake-ups and probes. No job has it, because jobs have at most
// 100,000 tasks, numbered from 0.
const NoSuchTask = 100_000

// WakeUps returns at most limit wake-ups, for workers for which a launch is ready, and records
// them as sent. A machine with a delayed answer is skipped, because that answer can carry the
// launch. A wake-up without effect is repeated after wakeUpRetry.
//
// Launches are sent only in answers to heartbeats, because a direct command may be executed late.
// A worker sends a heartbeat every few seconds, and at once when its tasks change (PROTOCOL,
// "Workers -> controller nodes"). A wake-up causes such a change. It is a direct launch of a task
// number that no job has (NoSuchTask). The worker refuses it and lists it as exited in an
// immediate heartbeat. The answer carries the command to forget this exit and the real launch. A
// wake-up that is executed late or twice has no further effect. docs/start.md has the full
// argument.
func (m *Model) WakeUps(limit int, now time.Time) []Push {
	var out []Push
	woken := map[int32]bool{}
	m.directCommands.filterLaunches(func(ref TaskRef) bool {
		p := m.placementAt(ref)
		if p == nil || p.mayBeOnMachine() || p.Stop != nil {
			return false
		}
		j, mc := m.Jobs[ref.Job], m.Machines[p.Machine]
		if woken[mc.index] {
			p.recordWakeUp(now) // one wake-up serves all launches of its machine
			return true
		}
		if len(out) < limit && mc.canBeWoken() && now.Sub(p.wokenAt) >= wakeUpRetry && launchable(j, ref.Task) {
			p.recordWakeUp(now)
			woken[mc.index] = true
			out = append(out, m.wakeUp(mc, j, p.Attempt))
		}
		return true
	})
	return out
}

// canBeWoken reports whether a wake-up of the machine can lead to a launch now. Its worker must be
// reachable, launches must be allowed, and no delayed answer may be pending that could carry them.
func (mc *Machine) canBeWoken() bool {
	return mc.delayedAnswers == 0 && mc.addr != "" && mc.alive && !mc.unreachable() && mc.interruptionAt.IsZero()
}

// wakeUp returns a wake-up of a machine. Its task name has the id of the given job, and its
// attempt number is that of the attempt to be launched.
func (m *Model) wakeUp(mc *Machine, j *Job, attempt uint64) Push {
	return Push{Machine: mc.Name, Addr: mc.addr, Commands: wire.DirectCommands{Token: m.FencingToken, AgentEpoch: mc.AgentEpoch,
		Commands: []wire.Command{{Op: wire.OpStart, Task: wire.TaskName(j.ID, NoSuchTask), Attempt: attempt}}}}
}
