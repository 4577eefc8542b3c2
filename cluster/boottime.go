package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file keeps what is known of machines that are ordered and not up yet.

// boots is how long machines of a type have taken to come up lately, as a
// multiple of what the catalogue says.
type boots struct{ slowest float64 }

const (
	usualBoot  = 1.5 // most take no longer than this
	slowBoot   = 3.0 // what is learnt goes no further
	bootFades  = 0.9 // of what the slowest took is kept with each that is faster
	lateMargin = 1.3 // beyond the slowest before a machine counts as late
	lostMargin = 1.4 // and before it is given up
)

func (b *boots) up(ratio float64) {
	b.slowest = min(slowBoot, max(ratio, bootFades*b.slowest))
}

func (b *boots) expect() float64 { return max(usualBoot, b.slowest) }

// cameUp takes in that a machine reports for the first time.
func (m *Model) cameUp(mc *Machine, now time.Time) {
	if !mc.CreationKnown || mc.Created.Before(m.ElectedAt) || mc.Type < 0 || m.MachineTypes[mc.Type].BootTime <= 0 {
		return // up before its rental's answer, or ordered before this leader's time
	}
	took := now.Sub(mc.Created)
	m.MachineTypes[mc.Type].boots.up(float64(took) / float64(m.MachineTypes[mc.Type].BootTime))
	if mc.late {
		m.log.Info("late machine up", "machine", mc.Name, "type", mc.TypeName, "bootS", took.Seconds())
	}
}

// bootLate is after how long a machine that has not come up is not counted on
// any more: what waits for it may order another.
func (m *Model) bootLate(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.Type]
	return time.Duration(float64(t.BootTime)*t.boots.expect()*lateMargin) + config.Seconds(m.cfg.Cluster.Workers.ReportS)
}

// bootLimit is after how long a machine that has not come up is given up. It is
// long against what is usual: a late machine that is returned and replaced is
// paid for twice, and its replacement boots as long.
func (m *Model) bootLimit(mc *Machine) time.Duration {
	t := &m.MachineTypes[mc.Type]
	return time.Duration(float64(t.BootTime)*max(2.5, t.boots.expect()*lostMargin)) + 15*time.Second
}

// booting says how long until a machine that is not up yet should be.
func (m *Model) booting(mc *Machine, now time.Time) (float64, bool) {
	if mc.Up || mc.Gone || mc.ScalingIn || mc.AgentEpoch > 0 || mc.Type < 0 || mc.Zone < 0 {
		return 0, false
	}
	age := now.Sub(mc.Created)
	lag := config.Seconds(2*m.cfg.Cluster.Cloud.ListLagS + 10)
	if mc.CloudState == "" && age > lag || mc.CloudState == failedState || age > m.bootLimit(mc) {
		return 0, false
	}
	if age > m.bootLate(mc) {
		// A new leader has yet to hear from machines that are up.
		if !mc.late && len(mc.Tasks) == 0 && mc.CloudState != wire.MachineRunning {
			mc.late = true
			m.log.Info("machine late", "machine", mc.Name, "type", mc.TypeName, "zone", m.Zones[mc.Zone], "spot", mc.Spot, "orderedS", age.Seconds())
		}
		return 0, false
	}
	return max(3, (m.MachineTypes[mc.Type].BootTime - age).Seconds()), true
}

// givenUp takes in that a machine never came up: for a while, others are
// ordered elsewhere where that serves.
func (m *Model) givenUp(mc *Machine, now time.Time) {
	if mc.CloudState != wire.MachineFailed && mc.Zone >= 0 {
		m.refused[offerKey{mc.Type, mc.Zone, mc.Spot}] = now.Add(refusedFor)
	}
}
