package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file is a machine, and the catalogue of types.

// Machine is a machine that is running, is expected to come up, or is gone.
type Machine struct {
	Index          int32
	Name           string
	Addr           string
	Type           int
	TypeName       string
	Zone           int
	Spot           bool
	alive          bool // has sent this leader a heartbeat, and its lease has not expired
	tokenShown     bool // its last heartbeat carried this leader's fencing token
	Gone           bool // deleted, or no longer listed for good
	AgentEpoch     uint64
	Seq            uint64
	lastAnswered   time.Time
	lastSeen       time.Time
	interruptionAt time.Time // when the cloud will reclaim it; zero without an interruption notice
	createdAt      time.Time // when it was rented, as far as known
	creationKnown  bool      // this leader rented it, so that its boot can be timed from createdAt
	cloudState     string
	cloudStateAt   time.Time
	requestedHere  bool // named in the cloud's response to a scale-out request
	scalingIn      bool
	bootLateLogged bool // the operator has been told
	Tasks          map[TaskRef]bool
	Used           placement.Resources
	idleSince      time.Time // when it came up or last ran out of tasks
	headroomAt     time.Time // last kept, empty, as headroom
	delayedAnswers int       // answers to its heartbeats that wait for a scheduling pass
	reachability   reachability

	orphaned            placement.Resources // what tasks not in the model take
	cachedImages        []int32             // most recently used last
	reportedExits       map[exitKey]*reportedExit
	taskErrors          []taskError
	slowness            float64
	pool                int       // 1 and more: the warm pool that it belongs to
	hasHadTask          bool      // has had a task
	unreadySince        time.Time // since when it could not be given tasks, as its pool saw
	unfitUntil          time.Time // no pool takes it before: its fetch came to nothing
	imagesRestoredEpoch uint64    // the session for which an earlier leader's word on its images was taken
}

type exitKey struct {
	name    string
	attempt uint64
}

type reportedExit struct {
	job        int32
	chunk      int
	generation uint64
}

type taskError struct {
	failures *failureHistory
	at       time.Time
}

// findOrAddMachine finds or makes a machine.
func (m *Model) findOrAddMachine(name string, now time.Time) *Machine {
	if mc := m.machineNamed(name); mc != nil {
		return mc
	}
	mc := &Machine{
		Index: int32(len(m.Machines)), Name: name, Type: -1, Zone: -1, Tasks: map[TaskRef]bool{},
		reportedExits: map[exitKey]*reportedExit{}, idleSince: now, createdAt: now, lastSeen: now,
	}
	m.writes.placementPages.observeMachineName(name)
	m.Machines = append(m.Machines, mc)
	m.names.machines[name] = mc.Index
	return mc
}

func (m *Model) describe(mc *Machine, typ, zone string, spot bool) {
	mc.TypeName, mc.Type, mc.Spot = typ, m.machineTypeIndex(typ), spot
	z, ok := m.names.zones[zone]
	if !ok {
		mc.Zone = -1
		return
	}
	if mc.Zone == z {
		return
	}
	// Tasks recorded here by an earlier leader count for their zone as soon as
	// the machine's zone is known.
	old := mc.Zone
	mc.Zone = z
	for ref := range mc.Tasks {
		j := m.Jobs[ref.Job]
		j.PlacedByZone[z]++
		if old >= 0 {
			j.PlacedByZone[old]--
		}
	}
}

// DelayAnswer records that the answer to the machine's newest heartbeat waits for a
// scheduling pass, so that it can carry what the pass launches. EndAnswerDelay must follow.
func (mc *Machine) DelayAnswer() { mc.delayedAnswers++ }

// EndAnswerDelay records that an answer recorded by DelayAnswer waits no longer.
func (mc *Machine) EndAnswerDelay() { mc.delayedAnswers-- }

// DiscountAnswers records that none of the answers so far has renewed the worker's lease.
func (mc *Machine) DiscountAnswers() { mc.lastAnswered = time.Time{} }
