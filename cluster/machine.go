package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file is a machine, and the catalogue of types.

// Machine is a machine that is, was or may soon be there.
type Machine struct {
	Index          int32
	Name           string
	Addr           string
	Type           int
	TypeName       string
	Zone           int
	Spot           bool
	Up             bool // has reported to this leader and may be alive
	TokenShown     bool // has shown this leader's token
	Gone           bool // deleted, or no longer listed for good
	AgentEpoch     uint64
	Seq            uint64
	LastAnswered   time.Time
	LastSeen       time.Time
	InterruptionAt time.Time // when the cloud takes it away, if it said so
	Created        time.Time // when it was rented, as far as known
	CreationKnown  bool      // Created is known, and from then on the machine boots
	CloudState     string
	CloudStateAt   time.Time
	RequestedHere  bool // rented by a request of ours whose answer named it
	ScalingIn      bool
	bootLateLogged bool // the operator has been told
	Tasks          map[TaskRef]bool
	Used           placement.Res
	IdleSince      time.Time // without work
	headroomAt     time.Time // last kept, empty, as headroom
	HeldAnswers    int       // answers to its reports that are being held back
	reachability   reachability

	orphaned            placement.Res // what tasks not in the model take
	cachedImages        []int32       // most recently used last
	reportedExits       map[exitKey]*reportedExit
	taskErrors          []taskError
	slowness            float64
	pool                int       // 1 and more: the warm pool that it belongs to
	hasHadTask          bool      // has had a task
	unreadySince        time.Time // since when it could not be given tasks, as its pool saw
	unfitUntil          time.Time // no pool takes it before: its fetch came to nothing
	imagesLearntSession uint64    // the session for which an earlier leader's word on its images was taken
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
	if i, ok := m.machineIndex[name]; ok {
		return m.Machines[i]
	}
	mc := &Machine{
		Index: int32(len(m.Machines)), Name: name, Type: -1, Zone: -1, Tasks: map[TaskRef]bool{},
		reportedExits: map[exitKey]*reportedExit{}, IdleSince: now, Created: now, LastSeen: now,
	}
	m.longestMachineName = max(m.longestMachineName, len(name))
	m.Machines = append(m.Machines, mc)
	m.machineIndex[name] = mc.Index
	return mc
}

func (m *Model) describe(mc *Machine, typ, zone string, spot bool) {
	mc.TypeName, mc.Type, mc.Spot = typ, m.machineTypeIndex(typ), spot
	z, ok := m.zoneIndex[zone]
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
