package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Launches are sent only in answers to heartbeats, because a direct command may be
// executed late. A worker sends a heartbeat every few seconds, and at once when its tasks
// change (PROTOCOL, "Workers -> controller nodes"). A wake-up causes such a change: it is
// a direct launch of a task number that no job has (NoSuchTask). The worker refuses it,
// lists it as exited in an immediate heartbeat, and the answer carries both the command to
// forget it and the real launch. A wake-up that is executed late or twice does the same
// and no more; docs/start.md has the whole argument.

// wakeUpRetry is how long after a wake-up without effect it is repeated.
const wakeUpRetry = 1500 * time.Millisecond

// NoSuchTask is a task number that no job has, used in wake-ups: jobs have at most 100,000
// tasks, numbered from 0.
const NoSuchTask = 100_000

// WakeUps returns wake-ups, at most as many as given, for workers for which a launch is
// ready. A machine with an answer in preparation is skipped, since that answer can carry
// the launch. A wake-up that has had no effect is repeated after wakeUpRetry.
func (m *Model) WakeUps(most int, now time.Time) []Push {
	var out []Push
	called := map[int32]bool{}
	m.directCommands.filterLaunches(func(ref TaskRef) bool {
		p := m.placementAt(ref)
		if p == nil || p.mayBeOnMachine() || p.Stop != nil {
			return false
		}
		j, mc := m.Jobs[ref.Job], m.Machines[p.Machine]
		if called[mc.index] {
			p.recordWakeUp(now) // one wake-up serves all launches of its machine
			return true
		}
		if len(out) < most && mc.canBeWoken() && now.Sub(p.wokenAt) >= wakeUpRetry && launchable(j, ref.Task) {
			p.recordWakeUp(now)
			called[mc.index] = true
			out = append(out, m.wakeUp(mc, j, p.Attempt))
		}
		return true
	})
	return out
}

// canBeWoken reports whether a wake-up of a machine can bring about a launch now: its worker
// can be reached, launches may be sent to it, and no answer that could carry them is delayed.
func (mc *Machine) canBeWoken() bool {
	return mc.delayedAnswers == 0 && mc.addr != "" && mc.alive && !mc.unreachable() && mc.interruptionAt.IsZero()
}

// wakeUp returns the wake-up of a machine for a job's attempt.
func (m *Model) wakeUp(mc *Machine, j *Job, attempt uint64) Push {
	return Push{Machine: mc.Name, Addr: mc.addr, Commands: wire.DirectCommands{Token: m.FencingToken, AgentEpoch: mc.AgentEpoch,
		Commands: []wire.Command{{Op: wire.OpStart, Task: wire.TaskName(j.ID, NoSuchTask), Attempt: attempt}}}}
}
