package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// ApplyHeartbeat applies a worker's heartbeat to the model and returns its machine. It adds
// the machine if the model has none of that name. It returns nil, and applies nothing, if the
// heartbeat is not newer than the last one applied or if the machine is gone.
func (m *Model) ApplyHeartbeat(heartbeat *wire.Heartbeat, now time.Time) *Machine {
	mc := m.findOrAddMachine(heartbeat.Machine, now)
	if mc.Gone {
		return nil
	}
	// A delayed or duplicated heartbeat describes an earlier state of the machine.
	if !mc.isNewer(heartbeat.AgentEpoch, heartbeat.Seq) {
		return nil
	}
	if mc.AgentEpoch == 0 {
		m.recordBootTime(mc, now)
	}
	m.updateReachability(mc, heartbeat, now)
	if !mc.alive {
		m.log.Info("machine up", "machine", heartbeat.Machine, "type", heartbeat.Type, "zone", heartbeat.Zone, "spot", heartbeat.Spot, "epoch", heartbeat.AgentEpoch)
	}
	mc.recordHeartbeat(heartbeat, m.FencingToken, now)
	m.setTypeAndZone(mc, heartbeat.Type, heartbeat.Zone, heartbeat.Spot)
	if mc.recordInterruption(heartbeat.NoticeS, now) {
		m.log.Info("spot interruption notice", "machine", mc.Name, "seconds", *heartbeat.NoticeS)
	}
	m.reconcile(mc, heartbeat, now)
	return mc
}

// IsNewerHeartbeat reports whether ApplyHeartbeat would apply a heartbeat with this
// epoch and sequence number.
func (m *Model) IsNewerHeartbeat(machine string, epoch, seq uint64) bool {
	mc := m.machineNamed(machine)
	return mc == nil || !mc.Gone && mc.isNewer(epoch, seq)
}
