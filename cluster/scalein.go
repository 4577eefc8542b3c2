package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// scaleInReason is the reason for which a machine is deleted. It is logged.
type scaleInReason string

const (
	scaleInNone        scaleInReason = "" // the machine is not deleted
	scaleInFailed      scaleInReason = "failed"
	scaleInNeverUp     scaleInReason = "never came up"
	scaleInSilent      scaleInReason = "silent" // its lease expired more than silentRetention ago
	scaleInPoolRelease scaleInReason = "pool"   // its warm pool released it
	scaleInIdle        scaleInReason = "idle"
	scaleInUnreachable scaleInReason = "mute" // it receives no answers
)

const (
	// maxScaleIn bounds the machines that one scale-in request deletes.
	maxScaleIn = 50
	// silentRetention is how long an empty silent machine is kept after its lease expired.
	silentRetention = 40 * time.Second
	// maxIdleWithoutJobs bounds how long an idle machine is kept while no job is open.
	maxIdleWithoutJobs = 20 * time.Second
	// neverUpGracePeriod is how long after its election a leader deletes no machine for never
	// having come up. A new leader has not received heartbeats from all machines yet.
	neverUpGracePeriod = 20 * time.Second
	// idleGracePeriod is how long after its election a leader deletes no machine for being idle
	// or unreachable, for the same reason.
	idleGracePeriod = 30 * time.Second
)

// ResumeScaleIn marks machines whose deletion an earlier leader requested. The cloud may still
// delete them, so that no task must be placed on them.
func (m *Model) ResumeScaleIn(names []string, now time.Time) {
	for _, name := range names {
		m.findOrAddMachine(name, now).markScalingIn()
	}
}

// SelectScaleIn returns the names of machines to delete, at most maxScaleIn. It selects empty
// machines that failed, never came up, have been silent or unreachable for long, were released
// by their warm pool, or have been idle for longer than maxIdle. It marks them, so that no task
// is placed on them any more. The result includes machines that were selected before and whose
// deletion is not confirmed.
func (m *Model) SelectScaleIn(now time.Time, maxIdle time.Duration) []string {
	if len(m.openJobs()) == 0 {
		maxIdle = min(maxIdle, maxIdleWithoutJobs)
	}
	var out []string
	// Unconfirmed deletions come first, because the scale-in record holds the names of one
	// request only.
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
		reason := m.scaleInReason(mc, now, maxIdle)
		if reason != scaleInNone {
			mc.markScalingIn()
			m.log.Info("scaling in machine", "machine", mc.Name, "why", reason)
			if reason == scaleInNeverUp {
				m.refuseMachineOffer(mc, now)
			}
			out = append(out, mc.Name)
		}
	}
	return out
}

// scaleInReason returns the reason to delete a machine, or scaleInNone if it is to be kept.
func (m *Model) scaleInReason(mc *Machine, now time.Time, maxIdle time.Duration) scaleInReason {
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
	case mc.alive && mc.tokenShown && now.Sub(mc.idleSince) > maxIdle && now.Sub(mc.headroomAt) > maxIdle && sinceElection > idleGracePeriod && !m.keptByPool(mc):
		return scaleInIdle
	case m.unreachableTooLong(mc, now) && sinceElection > idleGracePeriod:
		return scaleInUnreachable
	}
	return scaleInNone
}
