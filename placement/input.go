package placement

// This file has what a plan depends on. Jobs, tasks, teams, machine types, zones and images are
// numbers here, from 0 on, that the caller assigns.

// Resources is an amount of each resource.
type Resources struct{ CPU, GPU, Mem float64 }

// tolerance bounds the rounding error of sums of resources.
const tolerance = 1e-6

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+tolerance && r.GPU <= free.GPU+tolerance && r.Mem <= free.Mem+tolerance
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Task names a task of a job.
type Task struct{ Job, Task int32 }

// Occupant is a task that is placed on a machine, whether or not it runs already.
type Occupant struct {
	Task
	Need             Resources
	Priority         int // 0 is the highest
	Team             int
	OverGuarantee    bool    // it is not covered by its team's guarantee
	LossSeconds      float64 // seconds of work that are lost if it is preempted
	RemainingSeconds float64 // until it should end by itself
	NonPreemptible   bool
	Tier             int  // priority tier, 0 is the highest: tasks of the lowest are preempted first
	Stopping         bool // it is being stopped: its resources are part of the machine's Releasing
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
	Releasing           Resources // what tasks that are being stopped will release, beyond Free
	Capacity            Resources
	Price               float64
	FetchRate           float64    // GB of images a second
	FetchBacklogSeconds float64    // until the image fetches under way are done
	Images              []ImageAt  // images that it has or is fetching
	PenaltySeconds      float64    // added to its score if it is suspected of being faulty, or is slow
	Tasks               []Occupant // of tasks equally good to preempt, the first is chosen
	Pool                int        // the warm pool that it belongs to, from 1 on; 0: none
	PoolSpareGB         float64    // GB of images that fit beside the pool's weights without evicting them
}

// ImageAt is an image that a machine has, or will have.
type ImageAt struct {
	Image          int32
	ReadyInSeconds float64 // 0: it is there
}

// ImageReadyIn returns after how many seconds a machine has an image; false if the machine
// neither has it nor is fetching it.
func (m *Machine) ImageReadyIn(image int32) (float64, bool) {
	for i := range m.Images {
		if m.Images[i].Image == image {
			return m.Images[i].ReadyInSeconds, true
		}
	}
	return 0, false
}

// Request asks for the start of a job's tasks, or for resources that no present job uses
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
	Zone              int           // -1: any
	OneZone           bool          // all of its tasks are in one zone
	MaxPerZone        int           // tasks in a zone; 0: no limit
	PlacedByZone      []int         // by zone: its tasks that have a machine
	Types             []bool        // by machine type: it may be used
	Spot              bool          // spot instances may be used
	Avoid             map[int]bool  // machines that must not be used for now
	PreferredMachines map[int32]int // by task: the machine to which rebalancing moves it
	Headroom          bool          // a placeholder for expected jobs, also with Provision or Reserve; without these, machines are rented for what does not fit
	Provision         bool          // machines are rented for all its tasks, less those that fit on the machines rented for earlier requests
	Reserve           bool          // backfill reservation: resources are kept from later requests, and nothing is rented
	Hold              bool          // machines on which it will fit soon are kept from later requests
	HoldSeconds       float64       // with Hold or Reserve: how far ahead; at least defaultHoldSeconds
	FreeCapacityOnly  bool          // it uses what is free now; nothing is held, preempted or rented for it
	PreferredTypes    []bool        // by machine type: those that are tried first, also with preemption; nil: none
	PoolAccess        []PoolAccess  // to each warm pool's machines, from pool 1 on; NoAccess to pools beyond its end
	Precedence
}

// Precedence is what determines a request's position in the queue besides its priority and its
// team's guarantee. The planner itself does not use it.
type Precedence struct {
	Tier           int   // priority tier, 0 is the highest
	StartDue       bool  // it has to start now, by the starvation bound, the completion floor or its tier's longest wait
	PromotionCause uint8 // why it is served before higher tiers (priority.PromotionCause); 0: it is not
}

// Offer is a kind of machine that may be rented.
type Offer struct {
	Machine Machine // as it would be when it is rented
}

// Team is what a team uses and its quota; 0 means no limit.
type Team struct{ Used, Max Resources }

// Input is all that a plan depends on.
type Input struct {
	Machines        []Machine
	Requests        []Request // in the order in which they are served
	Teams           []Team
	Offers          []Offer
	AllowPreemption bool
	MaxScaleOut     int // most machines to rent
}
