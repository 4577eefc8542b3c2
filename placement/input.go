// Input of the planner. Jobs, tasks, teams, machine types, zones and images are identified by
// numbers from 0 on, which the caller assigns.

package placement

// Resources is an amount of each resource: CPUs, GPUs, and memory in GB.
type Resources struct{ CPU, GPU, Mem float64 }

// tolerance bounds the rounding error of sums of resources.
const tolerance = 1e-6

// Fits reports whether r is at most free in each resource, apart from rounding errors.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+tolerance && r.GPU <= free.GPU+tolerance && r.Mem <= free.Mem+tolerance
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Task identifies a task by the numbers of its job and of the task within the job.
type Task struct{ Job, Task int32 }

// Occupant is a task that is placed on a machine, whether or not it is already running.
type Occupant struct {
	Task
	Need             Resources
	Priority         int // 0 is the highest
	Team             int
	OverGuarantee    bool    // not covered by its team's guarantee
	LossSeconds      float64 // seconds of work lost if it is preempted
	RemainingSeconds float64 // until its expected end
	NonPreemptible   bool
	Tier             int  // priority tier, 0 is the highest; tasks of the lowest tier are preempted first
	Stopping         bool // being stopped; its resources are part of the machine's Releasing
}

// Machine is a rented machine or, in an Offer, one that may be rented.
type Machine struct {
	Name                string
	Type                int
	Zone                int
	Spot                bool
	Ready               bool      // it can start tasks now
	ETA                 float64   // seconds until it is up, if it is not ready
	Free                Resources // negative where resources in use are held for a request
	Releasing           Resources // resources of tasks that are being stopped; not part of Free
	Capacity            Resources
	Price               float64
	FetchRate           float64    // image download rate in GB per second; 0: download times are not scored
	FetchBacklogSeconds float64    // until the image fetches in progress are done
	Images              []ImageAt  // images that it has or is fetching
	PenaltySeconds      float64    // added to the score of a slow machine or one suspected of being faulty
	Tasks               []Occupant // among equally good victims, the first one is preempted
	Pool                int        // number of its warm pool, from 1 on; 0: none
	PoolSpareGB         float64    // GB of other images that fit without evicting the pool's weights
}

// ImageAt is an image that a machine has or is fetching.
type ImageAt struct {
	Image          int32
	ReadyInSeconds float64 // 0: already present
}

// ImageReadyIn returns the number of seconds until the machine has the image, 0 if it has it
// already. It returns false if the machine neither has the image nor is fetching it.
func (m *Machine) ImageReadyIn(image int32) (float64, bool) {
	for i := range m.Images {
		if m.Images[i].Image == image {
			return m.Images[i].ReadyInSeconds, true
		}
	}
	return 0, false
}

// Request asks for the start of a job's tasks. A placeholder request (Headroom, Provision,
// Reserve) asks for resources for jobs that are expected later.
type Request struct {
	Job               int32
	Tasks             []int32
	Gang              bool      // either all tasks start or none
	Need              Resources // of each task
	Priority          int       // 0 is the highest
	Team              int       // -1: none
	WithinGuarantee   bool      // covered by its team's guarantee
	Image             int32
	ImageGB           float64
	Zone              int           // -1: any
	OneZone           bool          // all tasks must be in one zone
	MaxPerZone        int           // maximum number of tasks in a zone; 0: no limit
	PlacedByZone      []int         // by zone: number of its tasks that have a machine; updated by Compute
	Types             []bool        // by machine type: whether the type may be used
	Spot              bool          // spot instances may be used
	Avoid             map[int]bool  // machines that must not be used for now
	PreferredMachines map[int32]int // by task: the machine to which rebalancing moves it

	// Headroom marks a placeholder for expected jobs. Machines are rented for tasks that do not fit.
	Headroom bool
	// Provision, with Headroom, rents machines for all tasks, except those that fit on machines
	// rented for earlier requests.
	Provision bool
	// Reserve, with Headroom, makes a backfill reservation: it holds machines and rents none.
	Reserve bool

	Hold             bool         // holds machines on which its tasks will fit soon
	HoldSeconds      float64      // how far ahead Hold and Reserve hold machines; at least defaultHoldSeconds
	FreeCapacityOnly bool         // uses only free resources; nothing is held, preempted or rented for it
	PreferredTypes   []bool       // by machine type: types to try first, including by preemption; nil: none
	PoolAccess       []PoolAccess // by warm pool, from pool 1 on; NoAccess to pools beyond its end

	Precedence
}

// Precedence determines a request's position in the queue, together with its priority and its
// team's guarantee. The caller sorts requests by it. The planner ignores it.
type Precedence struct {
	Tier           int   // priority tier, 0 is the highest
	StartDue       bool  // due by the starvation bound, the completion floor or its tier's maximum wait
	PromotionCause uint8 // a priority.PromotionCause: why it is served before higher tiers; 0: not promoted
}

// Offer is a kind of machine that may be rented.
type Offer struct {
	Machine Machine // its state right after it is rented
}

// Team is a team's resource usage and quota. A quota of 0 means no limit. Only CPUs and GPUs are
// limited.
type Team struct{ Used, Max Resources }

// Input is everything that a plan depends on.
type Input struct {
	Machines        []Machine
	Requests        []Request // in the order in which they are served
	Teams           []Team
	Offers          []Offer
	AllowPreemption bool
	MaxScaleOut     int // maximum number of machines to rent
}
