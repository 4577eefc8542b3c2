package placement

// This file has what a plan depends on. Jobs, tasks, teams, machine types, zones and
// images are numbers here, which the caller gives out from 0 on.

// Resources is an amount of each resource.
type Resources struct{ CPU, GPU, Mem float64 }

// tolerance is what sums of resources may be off by, as they are sums of fractions.
const tolerance = 1e-6

// Fits says whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+tolerance && r.GPU <= free.GPU+tolerance && r.Mem <= free.Mem+tolerance
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Task names a task of a job.
type Task struct{ Job, Task int32 }

// Occupant is a task that may be on a machine.
type Occupant struct {
	Task
	Need             Resources
	Priority         int // 0 is the highest
	Team             int
	OverGuarantee    bool    // it runs beyond its team's guarantee
	LossSeconds      float64 // work that is lost if it is preempted
	RemainingSeconds float64 // until it should end by itself
	NonPreemptible   bool
	Tier             int  // priority tier, 0 is the highest: tasks of the lowest are preempted first
	Stopping         bool // it is being stopped: its room is among what the machine is releasing
}

// Machine is a machine, or one that may be rented.
type Machine struct {
	Name                string
	Type                int
	Zone                int
	Spot                bool
	Ready               bool    // it can start tasks now
	ETA                 float64 // seconds until it is up, if it is not ready
	Free                Resources
	Releasing           Resources // more room, once stopping tasks are gone
	Capacity            Resources
	Price               float64
	FetchRate           float64    // GB of images a second
	FetchBacklogSeconds float64    // image fetches under way
	Images              []ImageAt  // images that are there or on their way
	PenaltySeconds      float64    // what using it counts for if it is suspect
	Tasks               []Occupant // of equal ones, the first is chosen
	Pool                int        // the warm pool that it belongs to, from 1 on; 0: none
	PoolSpareGB         float64    // images that fit beside the pool's weights without evicting them
}

// ImageAt is an image that a machine has, or will have.
type ImageAt struct {
	Image          int32
	ReadyInSeconds float64 // 0: it is there
}

// ImageReadyIn says after how many seconds a machine has an image, if it is there or
// on its way.
func (m *Machine) ImageReadyIn(image int32) (float64, bool) {
	for i := range m.Images {
		if m.Images[i].Image == image {
			return m.Images[i].ReadyInSeconds, true
		}
	}
	return 0, false
}

// Request is a job that wants tasks started, or room that is wanted for no job of now
// (Headroom, Provision and Reserve).
type Request struct {
	Job               int32
	Tasks             []int32
	Gang              bool // all of the tasks start, or none
	Need              Resources
	Priority          int  // 0 is the highest
	Team              int  // -1: none
	WithinGuarantee   bool // its team's guarantee covers it
	Image             int32
	ImageGB           float64
	Zone              int   // -1: any
	OneZone           bool  // all of its tasks are in one zone
	MaxPerZone        int   // tasks in a zone; 0: no limit
	PlacedByZone      []int // its tasks that have a machine
	Types             []bool
	Spot              bool         // spot instances may be used
	Avoid             map[int]bool // machines that it stays away from for now
	PreferredMachines map[int32]int
	Headroom          bool         // room for jobs that are likely to come
	Provision         bool         // machines are rented for so many tasks more than there will be room for
	Reserve           bool         // room is kept from later requests, and nothing is rented
	Hold              bool         // machines are held until they have room for it
	HoldSeconds       float64      // with Hold: how far ahead; 0: defaultHoldSeconds
	FreeRoomOnly      bool         // it takes free room; nothing is held, preempted or rented for it
	PreferredTypes    []bool       // types that are tried first, with preemption there
	PoolAccess        []PoolAccess // to each pool's machines, from pool 1 on; none to those that are missing
	Precedence
}

// Precedence is what bears on a request's place in the queue, besides its priority and
// its team's guarantee.
type Precedence struct {
	Tier           int   // priority tier, 0 is the highest
	Owed           bool  // it has to begin now, by the starvation bound
	PromotionCause uint8 // why it is served before higher tiers (priority.PromotionCause); 0: it is not
}

// Offer is a kind of machine that may be rented.
type Offer struct {
	Type, Zone int
	Spot       bool
	Machine    Machine // as it would be
}

// Team is a team's use and limits; 0 means no limit.
type Team struct{ Used, Max Resources }

// Input is all that a plan depends on.
type Input struct {
	Machines        []Machine
	Requests        []Request // in the order in which they are served
	Teams           []Team
	Offers          []Offer
	AllowPreemption bool
	MaxScaleOut     int // machines
}
