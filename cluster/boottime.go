// Estimates how long machines take to boot. From the estimates follow which machines are late and
// which are deleted because they never came up.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// bootEstimator estimates how long machines of one type take to boot, from the slowest recent
// boots. Its unit is the ratio of the boot time to the one in the catalog.
type bootEstimator struct{ slowestRatio float64 }

const (
	usualBootRatio = 1.5 // lower bound of the estimate; most machines take no longer
	maxBootRatio   = 3.0 // upper bound of the estimate
	bootRatioDecay = 0.9 // factor applied to the slowest ratio with each boot
	lateBootMargin = 1.3 // a machine is late after this multiple of the estimate
	lostBootMargin = 1.4 // a machine is deleted after this multiple of the estimate

	minLostBootRatio       = 2.5              // lower bound of the ratio after which a machine is deleted
	lostBootExtraTime      = 15 * time.Second // added to the time after which a machine is deleted
	minBootTimeLeftSeconds = 3                // lower bound of the estimate for a booting machine
)

// observe records the boot ratio of a machine.
func (b *bootEstimator) observe(ratio float64) {
	b.slowestRatio = min(maxBootRatio, max(ratio, bootRatioDecay*b.slowestRatio))
}

// expectedRatio returns a ratio that few machines exceed.
func (b *bootEstimator) expectedRatio() float64 { return max(usualBootRatio, b.slowestRatio) }

// recordBootTime updates the boot estimate of a machine's type when the machine sends its first
// heartbeat. It ignores machines whose creation time this leader does not know exactly.
func (m *Model) recordBootTime(mc *Machine, now time.Time) {
	if !mc.creationKnown || mc.createdAt.Before(m.ElectedAt) || mc.typeIndex < 0 || m.MachineTypes[mc.typeIndex].BootTime <= 0 {
		// It came up before the response to its request, an earlier leader requested it, or
		// its type has no known boot time.
		return
	}
	bootTime := now.Sub(mc.createdAt)
	m.MachineTypes[mc.typeIndex].bootTimes.observe(float64(bootTime) / float64(m.MachineTypes[mc.typeIndex].BootTime))
	if mc.bootLateLogged {
		m.log.Info("late machine up", "machine", mc.Name, "type", mc.TypeName, "bootS", bootTime.Seconds())
	}
}

// lateBootLimit returns the time after its creation from which a machine that has not come up
// is late. A late machine is no longer expected and may be replaced.
func (m *Model) lateBootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.typeIndex]
	return time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()*lateBootMargin) + config.Seconds(m.settings.Cluster.Workers.HeartbeatS)
}

// lostBootLimit returns the time after its creation from which a machine that has not come up
// is deleted. The time is long compared with usual boots, because a deleted machine and its
// replacement are both paid for, and the replacement has to boot too.
func (m *Model) lostBootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.typeIndex]
	return time.Duration(float64(t.BootTime)*max(minLostBootRatio, t.bootTimes.expectedRatio()*lostBootMargin)) + lostBootExtraTime
}

// estimateBootTimeLeft returns the seconds until a booting machine is expected to be up. It
// returns false if the machine came up already, is late, or will not come up. It logs a late
// machine once.
func (m *Model) estimateBootTimeLeft(mc *Machine, now time.Time) (float64, bool) {
	if mc.alive || mc.Gone || mc.scalingIn || mc.AgentEpoch > 0 || mc.typeIndex < 0 || mc.Zone < 0 {
		return 0, false
	}
	age := now.Sub(mc.createdAt)
	if mc.cloudState == "" && age > m.cloudListLag() || mc.cloudState == wire.MachineFailed || age > m.lostBootLimit(mc) {
		return 0, false
	}
	if age > m.lateBootLimit(mc) {
		m.logLateBoot(mc, age)
		return 0, false
	}
	return max(minBootTimeLeftSeconds, (m.MachineTypes[mc.typeIndex].BootTime - age).Seconds()), true
}

// logLateBoot logs that a machine is late, unless that was logged before. It does not log
// machines that may be running, because a new leader has not received heartbeats from all
// running machines yet.
func (m *Model) logLateBoot(mc *Machine, age time.Duration) {
	if mc.bootLateLogged || len(mc.Tasks) > 0 || mc.cloudState == wire.MachineRunning {
		return
	}
	mc.markLateBootLogged()
	m.log.Info("machine late", "machine", mc.Name, "type", mc.TypeName, "zone", m.Zones[mc.Zone], "spot", mc.Spot, "orderedS", age.Seconds())
}

// refuseMachineOffer excludes the offer of a machine that never came up from scale-outs for
// offerRefusalTime, so that its replacement is requested from another offer if possible.
func (m *Model) refuseMachineOffer(mc *Machine, now time.Time) {
	if mc.cloudState != wire.MachineFailed && mc.Zone >= 0 {
		m.refusedOffers.refuse(offerKey{mc.typeIndex, mc.Zone, mc.Spot}, now.Add(offerRefusalTime))
	}
}
