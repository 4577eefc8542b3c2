package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file keeps what is known of machines that are ordered and not up yet.

// bootEstimator is how long machines of a type have taken to come up lately, as a
// multiple of what the catalogue says.
type bootEstimator struct{ slowest float64 }

const (
	usualBootRatio = 1.5 // most take no longer than this
	maxBootRatio   = 3.0 // what is learnt goes no further
	bootRatioDecay = 0.9 // of what the slowest took is kept with each that is faster
	lateMargin     = 1.3 // beyond the slowest before a machine counts as late
	lostMargin     = 1.4 // and before it is given up
)

func (b *bootEstimator) observe(ratio float64) {
	b.slowest = min(maxBootRatio, max(ratio, bootRatioDecay*b.slowest))
}

func (b *bootEstimator) expectedRatio() float64 { return max(usualBootRatio, b.slowest) }

// learnBootTime updates the boot time of a machine's type from its first heartbeat.
func (m *Model) learnBootTime(mc *Machine, now time.Time) {
	if !mc.creationKnown || mc.createdAt.Before(m.ElectedAt) || mc.Type < 0 || m.MachineTypes[mc.Type].BootTime <= 0 {
		return // up before its rental's answer, or ordered before this leader's time
	}
	took := now.Sub(mc.createdAt)
	m.MachineTypes[mc.Type].bootTimes.observe(float64(took) / float64(m.MachineTypes[mc.Type].BootTime))
	if mc.bootLateLogged {
		m.log.Info("late machine up", "machine", mc.Name, "type", mc.TypeName, "bootS", took.Seconds())
	}
}

// bootCountsAsLate is after how long a machine that has not come up is not counted on
// any more: what waits for it may order another.
func (m *Model) bootCountsAsLate(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.Type]
	return time.Duration(float64(t.BootTime)*t.bootTimes.expectedRatio()*lateMargin) + config.Seconds(m.settings.Cluster.Workers.ReportS)
}

// bootLimit is after how long a machine that has not come up is given up. It is
// long against what is usual: a late machine that is returned and replaced is
// paid for twice, and its replacement boots as long.
func (m *Model) bootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.Type]
	return time.Duration(float64(t.BootTime)*max(2.5, t.bootTimes.expectedRatio()*lostMargin)) + 15*time.Second
}

// bootTimeLeft says how long until a machine that is not up yet should be.
func (m *Model) bootTimeLeft(mc *Machine, now time.Time) (float64, bool) {
	if mc.alive || mc.Gone || mc.scalingIn || mc.AgentEpoch > 0 || mc.Type < 0 || mc.Zone < 0 {
		return 0, false
	}
	age := now.Sub(mc.createdAt)
	lag := config.Seconds(2*m.settings.Cluster.Cloud.ListLagS + 10)
	if mc.cloudState == "" && age > lag || mc.cloudState == failedState || age > m.bootLimit(mc) {
		return 0, false
	}
	if age > m.bootCountsAsLate(mc) {
		// A new leader has not received heartbeats from all running machines yet.
		if !mc.bootLateLogged && len(mc.Tasks) == 0 && mc.cloudState != wire.MachineRunning {
			mc.markLateBootLogged()
			m.log.Info("machine late", "machine", mc.Name, "type", mc.TypeName, "zone", m.Zones[mc.Zone], "spot", mc.Spot, "orderedS", age.Seconds())
		}
		return 0, false
	}
	return max(3, (m.MachineTypes[mc.Type].BootTime - age).Seconds()), true
}

// refuseOfferOf takes in that a machine never came up: for a while, others are
// ordered elsewhere where that serves.
func (m *Model) refuseOfferOf(mc *Machine, now time.Time) {
	if mc.cloudState != wire.MachineFailed && mc.Zone >= 0 {
		m.refusedOffers.refuse(offerKey{mc.Type, mc.Zone, mc.Spot}, now.Add(offerRefusalTime))
	}
}
