package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// Machine is a machine that is running, is booting, or is gone. Fields that change together
// are grouped in types of their own: workerLease, cloudInstance, bookings and reachability.
type Machine struct {
	index     int32 // in Model.Machines
	Name      string
	addr      string // of its worker; empty if unknown
	typeIndex int    // in Model.MachineTypes; -1 if unknown
	TypeName  string // empty if unknown
	Zone      int    // index in Model.Zones; -1 if unknown
	Spot      bool
	Gone      bool // its deletion is confirmed; final, later heartbeats are ignored

	workerLease
	cloudInstance
	bookings

	interruptionAt time.Time // when the cloud will reclaim it; zero without an interruption notice
	delayedAnswers int       // number of answers to its heartbeats that wait for a scheduling pass
	reachability   reachability
	cachedImages   imageCache
	reportedExits  reportedExits
	taskErrors     []taskError
	slowness       float64 // moving average of the ratio of run time to estimate; 0 before the first measurement

	pool                int       // index of its warm pool in warmPools.all plus 1; 0 if it is in no pool
	unreadySince        time.Time // since when its warm pool finds it not ready; zero if it is ready
	poolExclusionUntil  time.Time // until when no warm pool accepts it, after it failed to fetch the image
	imagesRestoredEpoch uint64    // the last agent epoch for which restoreWeights ran
}

// findOrAddMachine returns the machine with the given name. It adds the machine if the model
// has none of that name.
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

// setTypeAndZone sets a machine's type and zone, and whether it is a spot machine. A type or
// zone that the model does not have counts as unknown.
func (m *Model) setTypeAndZone(mc *Machine, typ, zone string, spot bool) {
	mc.TypeName, mc.typeIndex, mc.Spot = typ, m.machineTypeIndex(typ), spot
	z, ok := m.names.zones[zone]
	if !ok {
		z = -1
	}
	if mc.Zone == z {
		return
	}
	// placedByZone counts only tasks in known zones. Tasks that an earlier leader recorded on
	// this machine are counted once its zone is known.
	previous := mc.Zone
	mc.Zone = z
	for ref := range mc.Tasks {
		m.Jobs[ref.Job].changeZone(previous, z)
	}
}

// resolveType looks up the machine's type in the catalog again, if it is unknown. The catalog
// may list the type later than the first heartbeat names it.
func (m *Model) resolveType(mc *Machine) {
	if mc.typeIndex < 0 {
		mc.typeIndex = m.machineTypeIndex(mc.TypeName)
	}
}

// acceptsTasks reports whether the machine is to stay and its type and zone are known. It does
// not check whether the worker is alive and reachable.
func (mc *Machine) acceptsTasks() bool {
	return !mc.Gone && !mc.scalingIn && mc.interruptionAt.IsZero() && mc.typeIndex >= 0 && mc.Zone >= 0
}

// setListedAddr sets the worker's address from the cloud's list, unless an address is known.
func (mc *Machine) setListedAddr(addr string) {
	if mc.addr == "" {
		mc.addr = addr
	}
}

// recordHeartbeat records a heartbeat that is newer than the last one recorded. If the machine
// was not alive, its idle time begins now. If its agent epoch is new, its image cache is empty.
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

// recordInterruption records the interruption notice of the newest heartbeat: the seconds
// until the cloud reclaims the machine, or nil without a notice. It reports whether the notice
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

// expireLease records that the lease has expired, so that no task is running on the machine.
func (mc *Machine) expireLease() {
	mc.endEpoch()
	mc.resetOrphaned()
}

// markGone records that the machine's deletion is confirmed.
func (mc *Machine) markGone() { mc.Gone, mc.alive = true, false }

// recordRunTimeRatio adds the ratio of a task's run time to its estimate to the moving average
// in slowness.
func (mc *Machine) recordRunTimeRatio(ratio float64) {
	if mc.slowness == 0 {
		mc.slowness = 1
	}
	mc.slowness = 0.6*mc.slowness + 0.4*min(ratio, 5)
}

// DelayAnswer records that the answer to the machine's newest heartbeat waits for a
// scheduling pass, so that it can carry the launches of that pass. Each call must be followed
// by one of EndAnswerDelay.
func (mc *Machine) DelayAnswer() { mc.delayedAnswers++ }

// EndAnswerDelay records that an answer which was delayed by DelayAnswer is sent or dropped.
func (mc *Machine) EndAnswerDelay() { mc.delayedAnswers-- }
