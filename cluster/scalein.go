package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

const reasonNeverUp = "never came up"

// maxScaleIn is how many machines one request returns at most.
const maxScaleIn = 50

// ResumeScaleIn takes in the names of a deletion that an earlier leader asked for:
// it may yet be carried out.
func (m *Model) ResumeScaleIn(names []string, now time.Time) {
	for _, n := range names {
		m.findOrAddMachine(n, now).ScalingIn = true
	}
}

const failedState = wire.MachineFailed

// SelectScaleIn lists machines to be deleted: failed ones, those that never came
// up, those that have been silent for long, and empty ones that nobody needs.
// A machine is marked, so that nothing is placed on it any more.
func (m *Model) SelectScaleIn(now time.Time, idle time.Duration) []string {
	if len(m.openJobs()) == 0 {
		// Nothing to do at all: no reason to keep machines for what may come.
		idle = min(idle, 20*time.Second)
	}
	var out []string
	// Those that were asked for before and not confirmed come first: the record
	// of what goes holds one request's names.
	for _, mc := range m.Machines {
		if mc.ScalingIn && !mc.Gone && len(out) < maxScaleIn {
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
		if mc.Gone || mc.ScalingIn {
			continue
		}
		why := m.scaleInReason(mc, now, idle)
		if why != "" {
			mc.ScalingIn = true
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
	listed := !mc.CloudStateAt.IsZero() && now.Sub(mc.CloudStateAt) < time.Minute
	switch {
	case len(mc.Tasks) > 0 || mc.orphaned != (placement.Res{}):
	case mc.CloudState == failedState && listed && !mc.Up:
		return "failed"
	case !mc.Up && mc.AgentEpoch == 0 && mc.Type >= 0 && now.Sub(mc.Created) > m.bootLimit(mc) && (listed || mc.RequestedHere) && now.Sub(m.ElectedAt) > 20*time.Second:
		return reasonNeverUp
	case !mc.Up && mc.AgentEpoch > 0 && listed && now.Sub(m.leaseEnd(mc)) > 40*time.Second:
		return "silent"
	case mc.Up && mc.TokenShown && m.releasedByPool(mc):
		return "pool"
	case mc.Up && mc.TokenShown && now.Sub(mc.IdleSince) > idle && now.Sub(mc.headroomAt) > idle && now.Sub(m.ElectedAt) > 30*time.Second && !m.keptByPool(mc):
		return "idle"
	case m.unreachableTooLong(mc, now) && now.Sub(m.ElectedAt) > 30*time.Second:
		return "mute"
	}
	return ""
}
