// Package placement decides where waiting tasks start, what is stopped to make
// room and which machines are worth renting. It is pure: the same input gives
// the same plan.
package placement

// Resources is an amount of each resource.
type Resources struct{ CPU, GPU, Mem float64 }

const tolerance = 1e-6

// Fits says whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU+tolerance && r.GPU <= free.GPU+tolerance && r.Mem <= free.Mem+tolerance
}

// Add returns r plus n times o.
func (r Resources) Add(o Resources, n float64) Resources {
	return Resources{r.CPU + n*o.CPU, r.GPU + n*o.GPU, r.Mem + n*o.Mem}
}

// Task names a task by dense indices.
type Task struct{ Job, Task int32 }

// Occupant is a task that may be on a machine.
type Occupant struct {
	Task
	Need             Resources
	Priority         int // 0 is the highest
	Team             int
	OverGuarantee    bool    // runs beyond its team's guarantee
	LossSeconds      float64 // seconds of work that stopping it loses
	RemainingSeconds float64 // seconds until it should end by itself
	NonPreemptible   bool    // may not be stopped to make room
	Tier             int     // by the operators' order: work of later tiers is stopped first
	Stopping         bool    // its room is among what is coming
}

// Machine is a machine, or one that may be rented.
type Machine struct {
	Name                string
	Type                int
	Zone                int
	Spot                bool
	Ready               bool    // can start tasks now
	ETA                 float64 // seconds until it is up, if not ready
	Free                Resources
	Releasing           Resources // more room once stopping tasks are gone
	Capacity            Resources
	Price               float64
	FetchRate           float64
	FetchBacklogSeconds float64   // seconds of image fetches under way
	Images              []ImageAt // images that are there or on their way
	PenaltySeconds      float64   // penalty in seconds for a machine that is suspect
	Tasks               []Occupant
	Pool                int     // 1 and more: the warm pool that it belongs to
	PoolSpareGB         float64 // images that fit beside the pool's weights without evicting them
}

// ImageAt is an image that a machine has, or will have after so many seconds.
type ImageAt struct {
	Image          int32
	ReadyInSeconds float64
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

// Request is a job that wants tasks started.
type Request struct {
	Job               int32
	Tasks             []int32
	Gang              bool // a gang: all of them or none
	Need              Resources
	Priority          int
	Team              int // -1: none
	WithinGuarantee   bool
	Image             int32
	ImageGB           float64
	Zone              int // -1: any
	OneZone           bool
	MaxPerZone        int // 0: no limit per zone
	PlacedByZone      []int
	Types             []bool
	Spot              bool
	Avoid             map[int]bool // machines this job stays away from for now
	PreferredMachines map[int32]int
	Headroom          bool         // no job's: room to be kept free
	Provision         bool         // a phantom for which machines are rented, so many places more than there are and will be
	Reserve           bool         // a phantom for which room is kept from later requests, and nothing rented
	Hold              bool         // machines are kept from later requests until they have room for this one
	HoldSeconds       float64      // with Hold: seconds ahead that room is kept; 0: as usual
	FreeRoomOnly      bool         // takes free room only: nothing is kept, stopped or rented for it
	PreferredTypes    []bool       // types to be tried first, also by stopping others there
	PoolAccess        []PoolAccess // what it may do with each pool's machines; what is missing: nothing
	Precedence
}

// Precedence is what bears on a request's place in the line, besides its priority
// and its team's guarantee.
type Precedence struct {
	Tier           int   // by the operators' order, 0 first
	Owed           bool  // it has to begin now, by the bound that holds for all jobs
	PromotionCause uint8 // why it is served before higher tiers (package order); 0: it is not
}

// Offer is a kind of machine that may be rented.
type Offer struct {
	Type, Zone int
	Spot       bool
	Machine    Machine // what it would look like
}

// Team is a team's use and limits; 0 means no limit.
type Team struct{ Used, Max Resources }

// Input is all that a plan depends on.
type Input struct {
	Machines        []Machine
	Requests        []Request
	Teams           []Team
	Offers          []Offer
	AllowPreemption bool
	MaxScaleOut     int
}

// Start puts a task on a machine.
type Start struct {
	Request    int
	Task       int32
	Machine    int
	FreeBefore Resources // that the machine had left
}

// Plan is what to do.
type Plan struct {
	Starts      []Start
	Preemptions []Task
	ScaleOut    map[int]int // offers by index
	Waiting     []int       // requests with tasks that fit nowhere for want of room
}

type planner struct {
	input             *Input
	plan              Plan
	offerOfNewMachine []int // offer of each machine appended to the input
	stopped           map[Task]bool
	queue             queue
	failedSearches    [numRoomKinds][]failedSearch
	numZones          int
	classes           *classes // nil: every machine is judged, in tests

	lowestTier int // of all that is on machines
}

// Compute makes a plan. Requests are served in their order. The input's machines are
// changed on the way.
func Compute(in *Input) Plan {
	return makePlan(in, newClasses(in.Machines))
}

func makePlan(in *Input, c *classes) Plan {
	p := &planner{input: in, stopped: map[Task]bool{}, classes: c}
	p.plan.ScaleOut = map[int]int{}
	for i := range in.Machines {
		p.numZones = max(p.numZones, in.Machines[i].Zone+1)
		for k := range in.Machines[i].Tasks {
			p.lowestTier = max(p.lowestTier, in.Machines[i].Tasks[k].Tier)
		}
	}
	for i := range in.Requests {
		p.serveRequest(i)
	}
	return p.plan
}

// TasksWithinLimit is how many more tasks of the request its team's limit lets start.
func TasksWithinLimit(r *Request, teams []Team) int {
	n := len(r.Tasks)
	if r.Team < 0 {
		return n
	}
	t := teams[r.Team]
	limit := func(need, used, most float64) {
		if most > 0 && need > 0 {
			n = min(n, int((most-used+tolerance)/need))
		}
	}
	limit(r.Need.CPU, t.Used.CPU, t.Max.CPU)
	limit(r.Need.GPU, t.Used.GPU, t.Max.GPU)
	return max(n, 0)
}

func (p *planner) serveRequest(i int) {
	r := &p.input.Requests[i]
	n := TasksWithinLimit(r, p.input.Teams)
	if n == 0 || r.Gang && n < len(r.Tasks) {
		return
	}
	rest := r.Tasks[:n]
	if r.Provision {
		p.provision(r)
		return
	}
	if r.PreferredTypes != nil {
		first := *r // searches in vain are remembered with the types they were for
		first.Types = r.PreferredTypes
		rest = p.startTasks(&first, i, rest)
		rest = p.preempt(&first, rest)
	}
	rest = p.startTasks(r, i, rest)
	if len(rest) == 0 || r.FreeRoomOnly {
		return
	}
	if r.Reserve {
		p.holdMachines(r, rest)
		return
	}
	if r.Headroom {
		got := p.reserveTasks(r, rest, onBooting)
		p.scaleOut(r, rest[len(got):])
		return
	}
	p.plan.Waiting = append(p.plan.Waiting, i)
	// Room that is about to be there: keep it for this request, so that later
	// ones do not take it.
	if got := p.reserveTasks(r, rest, freeSoon); len(got) > 0 {
		rest = rest[len(got):]
	}
	if len(rest) > 0 && p.input.AllowPreemption {
		rest = p.preempt(r, rest)
	}
	if len(rest) > 0 && r.Hold {
		p.holdMachines(r, rest)
	}
	if len(rest) > 0 {
		got := p.reserveTasks(r, rest, onBooting)
		rest = rest[len(got):]
	}
	if len(rest) > 0 {
		p.scaleOut(r, rest)
	}
}

// start places what fits now and returns what is left.
func (p *planner) startTasks(r *Request, i int, tasks []int32) []int32 {
	placed := p.reserveTasks(r, tasks, freeNow)
	for _, s := range placed {
		s.Request = i
		p.plan.Starts = append(p.plan.Starts, s)
	}
	if r.Team >= 0 {
		t := &p.input.Teams[r.Team]
		t.Used = t.Used.Add(r.Need, float64(len(placed)))
	}
	return tasks[len(placed):]
}
