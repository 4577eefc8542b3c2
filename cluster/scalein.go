package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// scaleInReason says why a machine is deleted, for the log.
type scaleInReason string

const (
	scaleInNone        scaleInReason = "" // it is not deleted
	scaleInFailed      scaleInReason = "failed"
	scaleInNeverUp     scaleInReason = "never came up"
	scaleInSilent      scaleInReason = "silent" // its lease expired long ago
	scaleInPoolRelease scaleInReason = "pool"   // its warm pool has released it
	scaleInIdle        scaleInReason = "idle"
	scaleInUnreachable scaleInReason = "mute" // it receives no answers
)

const (
	// maxScaleIn bounds the machines that one request deletes.
	maxScaleIn = 50
	// silentRetention is how long an empty silent machine is kept after its lease has expired.
	silentRetention = 40 * time.Second
	// maxIdleWithoutJobs is how long an idle machine is kept at most while no job is open.
	maxIdleWithoutJobs = 20 * time.Second
	// A new leader has not received heartbeats from all machines yet. For neverUpGracePeriod
	// after its election it deletes no machine for never having come up, and for idleGracePeriod
	// none for being idle or unreachable.
	neverUpGracePeriod = 20 * time.Second
	idleGracePeriod    = 30 * time.Second
)

// ResumeScaleIn marks machines whose deletion an earlier leader requested. It may still be
// carried out, so that no task must be placed on them.
func (m *Model) ResumeScaleIn(names []string, now time.Time) {
	for _, n := range names {
		m.findOrAddMachine(n, now).markScalingIn()
	}
}

// SelectScaleIn selects machines to delete: failed ones, those that never came up, those
// that have been silent or unreachable for long, and those that have been idle for the
// given time. It marks them, so that no task is placed on them any more.
func (m *Model) SelectScaleIn(now time.Time, idle time.Duration) []string {
	if len(m.openJobs()) == 0 {
		// Without any open job, machines need not be kept for long.
		idle = min(idle, maxIdleWithoutJobs)
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
		if why != scaleInNone {
			mc.markScalingIn()
			m.log.Info("scaling in machine", "machine", mc.Name, "why", why)
			if why == scaleInNeverUp {
				m.refuseMachineOffer(mc, now)
			}
			out = append(out, mc.Name)
		}
	}
	return out
}

// scaleInReason returns why a machine is to be deleted, or scaleInNone.
func (m *Model) scaleInReason(mc *Machine, now time.Time, idle time.Duration) scaleInReason {
	if len(mc.Tasks) > 0 || mc.orphaned != (placement.Resources{}) {
		return scaleInNone
	}
	listed := !mc.cloudStateAt.IsZero() && now.Sub(mc.cloudStateAt) < time.Minute
	sinceElection := now.Sub(m.ElectedAt)
	switch {
	case mc.cloudState == wire.MachineFailed && listed && !mc.alive:
		return scaleInFailed
	case !mc.alive && mc.AgentEpoch == 0 && mc.typeIndex >= 0 && now.Sub(mc.createdAt) > m.lostBootLimit(mc) && (listed || mc.requestedHere) && sinceElection > neverUpGracePeriod:
		return scaleInNeverUp
	case !mc.alive && mc.AgentEpoch > 0 && listed && now.Sub(m.leaseEnd(mc)) > silentRetention:
		return scaleInSilent
	case mc.alive && mc.tokenShown && m.releasedByPool(mc):
		return scaleInPoolRelease
	case mc.alive && mc.tokenShown && now.Sub(mc.idleSince) > idle && now.Sub(mc.headroomAt) > idle && sinceElection > idleGracePeriod && !m.keptByPool(mc):
		return scaleInIdle
	case m.unreachableTooLong(mc, now) && sinceElection > idleGracePeriod:
		return scaleInUnreachable
	}
	return scaleInNone
}
