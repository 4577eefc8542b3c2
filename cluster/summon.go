package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// A launch travels in the answer to a report and nowhere else, so that it can't
// be executed late. A worker reports every few seconds, and also whenever its
// tasks change (PROTOCOL, "Workers -> controller nodes"). A summons makes them
// change: a direct launch of a task that no job can have is refused, listed as
// exited, reported at once, and forgotten by the answer, which brings the launch
// that it was about. Executed late, or a second time, it does the same and no
// more; docs/start.md has the whole argument.

// summonAgain is after how long a summons of which nothing came is repeated.
const summonAgain = 1500 * time.Millisecond

// NoTask is the number of a task that no job has: jobs have 100,000 at most,
// counted from 0.
const NoTask = 100_000

// Summons returns what makes the workers report for which a launch is ready, at
// most so many at once. A machine whose report is being answered is left for the
// next time: the launch goes with that answer. Where nothing has come of one, it
// is repeated.
func (m *Model) Summons(most int, now time.Time) []Direct {
	var out []Direct
	called := map[int32]bool{}
	left := m.fresh[:0]
	for _, ref := range m.fresh {
		j := m.Jobs[ref.Job]
		if j == nil {
			continue
		}
		p := j.Tasks[ref.Task].Place
		if p == nil || p.Sent || p.Inherited || p.Stop != nil {
			continue
		}
		mc := m.Machines[p.Machine]
		left = append(left, ref)
		if called[mc.Idx] {
			p.Summoned = now
		}
		if len(out) >= most || called[mc.Idx] || mc.Held > 0 || mc.Addr == "" || !mc.Up || mc.deaf() || !mc.Notice.IsZero() ||
			now.Sub(p.Summoned) < summonAgain || !launchable(j, ref.Task) {
			continue
		}
		p.Summoned = now
		called[mc.Idx] = true
		out = append(out, Direct{Machine: mc.Name, Addr: mc.Addr, Batch: wire.DirectCommands{Token: m.Token, Session: mc.Session,
			Commands: []wire.Command{{Op: wire.OpStart, Task: wire.TaskName(j.ID, NoTask), Attempt: p.Attempt}}}})
	}
	m.fresh = left
	return out
}
