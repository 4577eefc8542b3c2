package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// ApplyHeartbeat applies a worker's heartbeat to the model and returns its machine. It
// returns nil, and applies nothing, if the heartbeat is not newer than the last one
// applied or if the machine is gone.
func (m *Model) ApplyHeartbeat(r *wire.Heartbeat, now time.Time) *Machine {
	mc := m.findOrAddMachine(r.Machine, now)
	if mc.Gone {
		return nil
	}
	// A delayed or duplicated heartbeat describes an earlier state of the machine.
	if !mc.isNewer(r.AgentEpoch, r.Seq) {
		return nil
	}
	if mc.AgentEpoch == 0 {
		m.learnBootTime(mc, now)
	}
	m.updateReachability(mc, r, now)
	if !mc.alive {
		m.log.Info("machine up", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "epoch", r.AgentEpoch)
	}
	mc.recordHeartbeat(r, m.FencingToken, now)
	m.describe(mc, r.Type, r.Zone, r.Spot)
	if mc.recordInterruption(r.NoticeS, now) {
		m.log.Info("spot interruption notice", "machine", mc.Name, "seconds", *r.NoticeS)
	}
	m.reconcile(mc, r, now)
	return mc
}

// IsNewerHeartbeat reports whether ApplyHeartbeat would apply a heartbeat with this
// epoch and sequence number.
func (m *Model) IsNewerHeartbeat(machine string, epoch, seq uint64) bool {
	mc := m.machineNamed(machine)
	return mc == nil || !mc.Gone && mc.isNewer(epoch, seq)
}
