package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

const reasonNeverUp = "never came up"

// maxScaleIn bounds the machines that one request deletes.
const maxScaleIn = 50

// ResumeScaleIn marks machines that an earlier leader asked the cloud to delete. The
// deletion may still be carried out, so that nothing must be placed on them.
func (m *Model) ResumeScaleIn(names []string, now time.Time) {
	for _, n := range names {
		m.findOrAddMachine(n, now).markScalingIn()
	}
}

const failedState = wire.MachineFailed

// SelectScaleIn selects machines to delete: failed ones, those that never came up, those
// that have been silent or unreachable for long, and those that have been idle for the
// given time. It marks them, so that nothing is placed on them any more.
func (m *Model) SelectScaleIn(now time.Time, idle time.Duration) []string {
	if len(m.openJobs()) == 0 {
		// Without any open job, machines need not be kept for long.
		idle = min(idle, 20*time.Second)
	}
	var out []string
	// Deletions that were requested before and are not confirmed come first, because
	// the scale-in record holds the names of one request only.
	for _, mc := range m.Machines {
		if mc.scalingIn && !mc.Gone && len(out) < maxScaleIn {
			out = append(out, mc.Name)
		}
	}
	if m.recoveringFromStall(now) {
		return out
	}
	for _, mc := range m.Machines {
		if len(out) >= maxScaleIn {
			break
		}
		if mc.Gone || mc.scalingIn {
			continue
		}
		why := m.scaleInReason(mc, now, idle)
		if why != "" {
			mc.markScalingIn()
			m.log.Info("scaling in machine", "machine", mc.Name, "why", why)
			if why == reasonNeverUp {
				m.refuseOfferOf(mc, now)
			}
			out = append(out, mc.Name)
		}
	}
	return out
}

// scaleInReason says why a machine is to be deleted; empty where it stays.
func (m *Model) scaleInReason(mc *Machine, now time.Time, idle time.Duration) string {
	listed := !mc.cloudStateAt.IsZero() && now.Sub(mc.cloudStateAt) < time.Minute
	switch {
	case len(mc.Tasks) > 0 || mc.orphaned != (placement.Resources{}):
	case mc.cloudState == failedState && listed && !mc.alive:
		return "failed"
	case !mc.alive && mc.AgentEpoch == 0 && mc.Type >= 0 && now.Sub(mc.createdAt) > m.bootLimit(mc) && (listed || mc.requestedHere) && now.Sub(m.ElectedAt) > 20*time.Second:
		return reasonNeverUp
	case !mc.alive && mc.AgentEpoch > 0 && listed && now.Sub(m.leaseEnd(mc)) > 40*time.Second:
		return "silent"
	case mc.alive && mc.tokenShown && m.releasedByPool(mc):
		return "pool"
	case mc.alive && mc.tokenShown && now.Sub(mc.idleSince) > idle && now.Sub(mc.headroomAt) > idle && now.Sub(m.ElectedAt) > 30*time.Second && !m.keptByPool(mc):
		return "idle"
	case m.unreachableTooLong(mc, now) && now.Sub(m.ElectedAt) > 30*time.Second:
		return "mute"
	}
	return ""
}
