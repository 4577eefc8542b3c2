package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// A launch travels in the answer to a report and nowhere else, so that it can't
// be executed late. A worker sends a heartbeat every few seconds, and also whenever its
// tasks change (PROTOCOL, "Workers -> controller nodes"). A wake-up makes them
// change: a direct launch of a task that no job can have is refused, listed as
// exited, reported at once, and forgotten by the answer, which brings the launch
// that it was about. Executed late, or a second time, it does the same and no
// more; docs/start.md has the whole argument.

// wakeUpRetry is after how long a wake-up of which nothing came is repeated.
const wakeUpRetry = 1500 * time.Millisecond

// NoSuchTask is the number of a task that no job has: jobs have 100,000 at most,
// counted from 0.
const NoSuchTask = 100_000

// WakeUps returns what makes the workers send a heartbeat for which a launch is ready, at
// most so many at once. A machine whose report is being answered is left for the
// next time: the launch goes with that answer. Where nothing has come of one, it
// is repeated.
func (m *Model) WakeUps(most int, now time.Time) []Push {
	var out []Push
	called := map[int32]bool{}
	left := m.awaitingLaunch[:0]
	for _, ref := range m.awaitingLaunch {
		j := m.Jobs[ref.Job]
		if j == nil {
			continue
		}
		p := j.Tasks[ref.Task].Placement
		if p == nil || p.LaunchSent || p.Inherited || p.Stop != nil {
			continue
		}
		mc := m.Machines[p.Machine]
		left = append(left, ref)
		if called[mc.Index] {
			p.WokenAt = now
		}
		if len(out) >= most || called[mc.Index] || mc.HeldAnswers > 0 || mc.Addr == "" || !mc.Up || mc.unreachable() || !mc.InterruptionAt.IsZero() ||
			now.Sub(p.WokenAt) < wakeUpRetry || !launchable(j, ref.Task) {
			continue
		}
		p.WokenAt = now
		called[mc.Index] = true
		out = append(out, Push{Machine: mc.Name, Addr: mc.Addr, Commands: wire.DirectCommands{Token: m.FencingToken, Session: mc.AgentEpoch,
			Commands: []wire.Command{{Op: wire.OpStart, Task: wire.TaskName(j.ID, NoSuchTask), Attempt: p.Attempt}}}})
	}
	m.awaitingLaunch = left
	return out
}
