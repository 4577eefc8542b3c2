package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Push is a set of commands to be sent directly to a worker's own address: stops, or a
// wake-up.
type Push struct {
	Machine  string
	Addr     string
	Commands wire.DirectCommands
}

// StopPushes returns the stops that have not been sent directly yet, by machine. A push
// only speeds them up: answers to heartbeats repeat them until the tasks are gone.
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
		d := byMachine[mc.index]
		if d == nil {
			d = &Push{Machine: mc.Name, Addr: mc.addr, Commands: wire.DirectCommands{Token: m.FencingToken, AgentEpoch: mc.AgentEpoch}}
			byMachine[mc.index] = d
			order = append(order, mc.index)
		}
		grace := p.Stop.Grace
		d.Commands.Commands = append(d.Commands.Commands,
			wire.Command{Op: wire.OpStop, Task: wire.TaskName(m.Jobs[ref.Job].ID, int(ref.Task)), Attempt: p.Attempt, GraceS: &grace})
	}
	out := make([]Push, 0, len(order))
	for _, i := range order {
		out = append(out, *byMachine[i])
	}
	return out
}
