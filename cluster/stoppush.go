package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Push is a set of commands to be sent directly to a worker's address. It holds stops or one
// wake-up.
type Push struct {
	Machine  string // machine name
	Addr     string // address of its worker
	Commands wire.DirectCommands
}

// StopPushes returns the stops that were not sent directly yet, one Push per machine, and records
// them as sent. A push only speeds up a stop. The answers to heartbeats repeat the stop until the
// task is gone.
func (m *Model) StopPushes(now time.Time) []Push {
	byMachine := map[int32]*Push{}
	var order []int32
	for _, ref := range m.directCommands.takeStops() {
		p := m.placementAt(ref)
		if p == nil || p.Stop == nil || !p.Stop.pushedAt.IsZero() {
			continue
		}
		mc := m.Machines[p.Machine]
		if mc.addr == "" || !mc.alive {
			continue
		}
		p.Stop.recordPush(now)
		push := byMachine[mc.index]
		if push == nil {
			push = &Push{Machine: mc.Name, Addr: mc.addr, Commands: wire.DirectCommands{Token: m.FencingToken, AgentEpoch: mc.AgentEpoch}}
			byMachine[mc.index] = push
			order = append(order, mc.index)
		}
		grace := p.Stop.Grace
		push.Commands.Commands = append(push.Commands.Commands,
			wire.Command{Op: wire.OpStop, Task: wire.TaskName(m.Jobs[ref.Job].ID, int(ref.Task)), Attempt: p.Attempt, GraceS: &grace})
	}
	out := make([]Push, 0, len(order))
	for _, machine := range order {
		out = append(out, *byMachine[machine])
	}
	return out
}
