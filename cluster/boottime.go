package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file estimates when machines that have been requested will come up.

// bootEstimator estimates how long machines of a type take to come up, as a multiple of the
// boot time in the catalogue, from the slowest recent ones.
type bootEstimator struct{ slowest float64 }

const (
	usualBootRatio = 1.5 // most machines take no longer; lower bound of the estimate
	maxBootRatio   = 3.0 // upper bound of the estimate
	bootRatioDecay = 0.9 // factor applied to the slowest ratio with each faster machine
	lateBootMargin = 1.3 // factor on the estimate, after which a machine counts as late
	lostBootMargin = 1.4 // factor on the estimate, after which a machine is deleted
)

// observe records the ratio of a machine that came up.
func (b *bootEstimator) observe(ratio float64) {
	b.slowest = min(maxBootRatio, max(ratio, bootRatioDecay*b.slowest))
}

// expectedRatio returns the ratio that few machines exceed.
func (b *bootEstimator) expectedRatio() float64 { return max(usualBootRatio, b.slowest) }

// recordBootTime updates the boot time of a machine's type from its first heartbeat.
func (m *Model) recordBootTime(mc *Machine, now time.Time) {
	if !mc.creationKnown || mc.createdAt.Before(m.ElectedAt) || mc.typeIndex < 0 || m.MachineTypes[mc.typeIndex].BootTime <= 0 {
		return // up before the response to its request, or requested by an earlier leader
	}
	took := now.Sub(mc.createdAt)
	m.MachineTypes[mc.typeIndex].bootTimes.observe(float64(took) / float64(m.MachineTypes[mc.typeIndex].BootTime))
	if mc.bootLateLogged {
		m.log.Info("late machine up", "machine", mc.Name, "type", mc.TypeName, "bootS", took.Seconds())
	}
}

// lateBootLimit returns how long after its creation a machine that has not come up counts
// as late. A late machine is not expected any more, and may be replaced.
func (m *Model) lateBootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.typeIndex]
	return time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()*lateBootMargin) + config.Seconds(m.settings.Cluster.Workers.HeartbeatS)
}

// lostBootLimit returns how long after its creation a machine that has not come up is deleted. It
// is long compared with usual boots, because a late machine that is deleted and replaced is
// paid for twice, and its replacement takes as long to boot.
func (m *Model) lostBootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.typeIndex]
	return time.Duration(float64(t.BootTime)*max(2.5, t.bootTimes.expectedRatio()*lostBootMargin)) + 15*time.Second
}

// estimateBootTimeLeft returns the seconds until a machine that has not come up is expected to. It
// returns false if the machine has come up, or is not expected to in time. Where it finds a
// machine late, it also logs that, once for each machine.
func (m *Model) estimateBootTimeLeft(mc *Machine, now time.Time) (float64, bool) {
	if mc.alive || mc.Gone || mc.scalingIn || mc.AgentEpoch > 0 || mc.typeIndex < 0 || mc.Zone < 0 {
		return 0, false
	}
	age := now.Sub(mc.createdAt)
	lag := config.Seconds(2*m.settings.Cluster.Cloud.ListLagS + 10)
	if mc.cloudState == "" && age > lag || mc.cloudState == wire.MachineFailed || age > m.lostBootLimit(mc) {
		return 0, false
	}
	if age > m.lateBootLimit(mc) {
		m.logLateBoot(mc, age)
		return 0, false
	}
	return max(3, (m.MachineTypes[mc.typeIndex].BootTime - age).Seconds()), true
}

// logLateBoot logs that a machine is late, unless it was logged before or the machine may be
// running: a new leader has not received heartbeats from all running machines yet.
func (m *Model) logLateBoot(mc *Machine, age time.Duration) {
	if mc.bootLateLogged || len(mc.Tasks) > 0 || mc.cloudState == wire.MachineRunning {
		return
	}
	mc.markLateBootLogged()
	m.log.Info("machine late", "machine", mc.Name, "type", mc.TypeName, "zone", m.Zones[mc.Zone], "spot", mc.Spot, "orderedS", age.Seconds())
}

// refuseMachineOffer makes scale-outs avoid the offer of a machine that never came up for a while,
// so that its replacement is requested elsewhere if possible.
func (m *Model) refuseMachineOffer(mc *Machine, now time.Time) {
	if mc.cloudState != wire.MachineFailed && mc.Zone >= 0 {
		m.refusedOffers.refuse(offerKey{mc.typeIndex, mc.Zone, mc.Spot}, now.Add(offerRefusalTime))
	}
}
