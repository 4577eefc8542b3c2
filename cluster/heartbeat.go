package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// ApplyHeartbeat takes a worker's message in. It returns nil for one that is older
// than what is known, or of a machine that is gone.
func (m *Model) ApplyHeartbeat(r *wire.Report, now time.Time) *Machine {
	mc := m.findOrAddMachine(r.Machine, now)
	if mc.Gone {
		return nil
	}
	// A message that was held back, or a copy, says what was, not what is.
	if !mc.isNewer(r.Session, r.Seq) {
		return nil
	}
	if mc.AgentEpoch == 0 {
		m.learnBootTime(mc, now)
	}
	m.updateReachability(mc, r, now)
	if !mc.Up {
		m.log.Info("machine up", "machine", r.Machine, "type", r.Type, "zone", r.Zone, "spot", r.Spot, "session", r.Session)
		mc.IdleSince = now
	}
	if mc.AgentEpoch != r.Session {
		mc.cachedImages = nil
	}
	mc.Up, mc.AgentEpoch, mc.Seq, mc.Addr, mc.LastSeen = true, r.Session, r.Seq, r.Addr, now
	mc.TokenShown = r.Token == m.FencingToken
	m.describe(mc, r.Type, r.Zone, r.Spot)
	if r.NoticeS == nil {
		mc.InterruptionAt = time.Time{} // what was known came with an older message
	} else if mc.InterruptionAt.IsZero() {
		mc.InterruptionAt = now.Add(config.Seconds(*r.NoticeS))
		m.log.Info("spot interruption notice", "machine", mc.Name, "seconds", *r.NoticeS)
	}
	m.reconcile(mc, r, now)
	return mc
}

func (mc *Machine) isNewer(session, seq uint64) bool {
	return session > mc.AgentEpoch || session == mc.AgentEpoch && seq > mc.Seq
}

// IsNewerHeartbeat says whether a worker's message would be taken in.
func (m *Model) IsNewerHeartbeat(machine string, session, seq uint64) bool {
	i, known := m.machineIndex[machine]
	return !known || !m.Machines[i].Gone && m.Machines[i].isNewer(session, seq)
}
