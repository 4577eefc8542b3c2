package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// This file holds the state of a machine and the methods that change it. Fields that change
// together are grouped in types of their own: workerLease, cloudInstance, bookings and
// reachability.

// Machine is a machine that is running, is expected to come up, or is gone.
type Machine struct {
	index     int32 // in Model.Machines
	Name      string
	addr      string // of its worker; empty until known
	typeIndex int    // in Model.MachineTypes; -1 until known
	TypeName  string
	Zone      int // index in Model.Zones; -1 until known
	Spot      bool
	Gone      bool // its deletion is confirmed: final, later heartbeats are ignored

	workerLease
	cloudInstance
	bookings

	interruptionAt time.Time // when the cloud will reclaim it; zero without an interruption notice
	delayedAnswers int       // answers to its heartbeats that wait for a scheduling pass
	reachability   reachability
	cachedImages   imageCache
	reportedExits  reportedExits
	taskErrors     []taskError
	slowness       float64 // moving average of run times as multiples of their estimates; 0 if none was measured

	pool                int       // its warm pool's index in warmPools.all plus 1; 0 if it is in no pool
	unreadySince        time.Time // since when its warm pool has found it not ready; zero if it is ready
	poolExclusionUntil  time.Time // no warm pool accepts it before, because it failed to fetch the image
	imagesRestoredEpoch uint64    // the last agent epoch for which restoreWeights has run
}

// findOrAddMachine returns the machine of that name, which it adds if the model has none.
func (m *Model) findOrAddMachine(name string, now time.Time) *Machine {
	if mc := m.machineNamed(name); mc != nil {
		return mc
	}
	mc := &Machine{
		index: int32(len(m.Machines)), Name: name, typeIndex: -1, Zone: -1, reportedExits: reportedExits{},
		workerLease: workerLease{lastSeen: now}, cloudInstance: cloudInstance{createdAt: now},
		bookings: bookings{Tasks: map[TaskRef]bool{}, idleSince: now},
	}
	m.writes.placementPages.observeMachineName(name)
	m.Machines = append(m.Machines, mc)
	m.names.machines[name] = mc.index
	return mc
}

// setTypeAndZone records a machine's type, its zone, and whether it is a spot machine.
func (m *Model) setTypeAndZone(mc *Machine, typ, zone string, spot bool) {
	mc.TypeName, mc.typeIndex, mc.Spot = typ, m.machineTypeIndex(typ), spot
	z, ok := m.names.zones[zone]
	if !ok {
		z = -1
	}
	if mc.Zone == z {
		return
	}
	// Tasks recorded here by an earlier leader count for their zone as soon as
	// the machine's zone is known, and for none while it is not.
	old := mc.Zone
	mc.Zone = z
	for ref := range mc.Tasks {
		m.Jobs[ref.Job].changeZone(old, z)
	}
}

// resolveType finds the type of a machine that was described before the catalogue listed
// its type.
func (m *Model) resolveType(mc *Machine) {
	if mc.typeIndex < 0 {
		mc.typeIndex = m.machineTypeIndex(mc.TypeName)
	}
}

// acceptsTasks reports whether tasks may be placed on the machine, apart from whether its worker
// is alive and reachable: it is not about to go, and its type and zone are known.
func (mc *Machine) acceptsTasks() bool {
	return !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() && mc.typeIndex >= 0 && mc.Zone >= 0
}

// setListedAddr records the address of the machine's worker as the cloud lists it, if no
// heartbeat has given it.
func (mc *Machine) setListedAddr(addr string) {
	if mc.addr == "" {
		mc.addr = addr
	}
}

// recordHeartbeat records a heartbeat that is newer than the last one recorded. A machine
// that was not alive is idle from now on, and one with a new agent epoch has an empty image
// cache.
func (mc *Machine) recordHeartbeat(heartbeat *wire.Heartbeat, token uint64, now time.Time) {
	if !mc.alive {
		mc.idleSince = now
	}
	if mc.AgentEpoch != heartbeat.AgentEpoch {
		mc.cachedImages = nil
	}
	mc.addr = heartbeat.Addr
	mc.renewLease(heartbeat, token, now)
}

// recordInterruption records the interruption notice of the newest heartbeat, the seconds
// until the cloud reclaims the machine, or that it has none. It reports whether the notice
// is new.
func (mc *Machine) recordInterruption(noticeS *float64, now time.Time) bool {
	if noticeS == nil {
		mc.interruptionAt = time.Time{}
		return false
	}
	if !mc.interruptionAt.IsZero() {
		return false
	}
	mc.interruptionAt = now.Add(config.Seconds(*noticeS))
	return true
}

// expireLease records that no task can be running on the machine any more.
func (mc *Machine) expireLease() {
	mc.endEpoch()
	mc.resetOrphaned()
}

// markGone records that the machine's deletion is confirmed.
func (mc *Machine) markGone() { mc.Gone, mc.alive = true, false }

// recordRunTimeRatio adds a task's run time, as a multiple of its estimate, to the moving
// average from which the machine's slowness is judged.
func (mc *Machine) recordRunTimeRatio(ratio float64) {
	if mc.slowness == 0 {
		mc.slowness = 1
	}
	mc.slowness = 0.6*mc.slowness + 0.4*min(ratio, 5)
}

// DelayAnswer records that the answer to the machine's newest heartbeat waits for a
// scheduling pass, so that it can carry what the pass launches. EndAnswerDelay must follow.
func (mc *Machine) DelayAnswer() { mc.delayedAnswers++ }

// EndAnswerDelay records that an answer recorded by DelayAnswer waits no longer.
func (mc *Machine) EndAnswerDelay() { mc.delayedAnswers-- }
