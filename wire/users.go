// Messages of users.

package wire

// Job kinds.
const (
	KindArray   = "sweep"
	KindGang    = "gang"
	KindService = "service"
)

// Priorities, highest first.
const (
	PriorityProduction = "production"
	PriorityHigh       = "urgent"
	PriorityNormal     = "normal"
	PriorityLow        = "best_effort"
)

// Job states in answers to users.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// Job is the submission of a job with Tasks equal tasks. Resources and sizes are those of each task.
// Fields that end in S are in seconds.
type Job struct {
	ID          string   `msgpack:"nameId"`
	Class       string   `msgpack:"filiere"`
	Team        string   `msgpack:"atelier"`
	Kind        string   `msgpack:"facon"` // one of the Kind constants
	Priority    string   `msgpack:"rang"`  // one of the Priority constants
	Tasks       int      `msgpack:"pieces"`
	CPUs        float64  `msgpack:"cpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"memoryGb"`
	Image       string   `msgpack:"gabarit"`
	ImageGB     float64  `msgpack:"pullGb"`          // size of Image
	Types       []string `msgpack:"gammes"`          // allowed machine types; empty: all
	Zone        string   `msgpack:"halle,omitempty"` // the only allowed zone; empty: all zones
	OneZone     bool     `msgpack:"oneZone"`         // all tasks must run in the same zone
	Spread      bool     `msgpack:"apart"`           // at most half of the tasks, rounded up, may run in one zone
	Spot        bool     `msgpack:"pretes"`          // tasks may run on spot machines
	EstimateS   float64  `msgpack:"dureeS"`          // expected run time of a task; 0: unknown
	CheckpointS float64  `msgpack:"jalonS"`          // interval between checkpoints; 0: the tasks save none
	SaveS       float64  `msgpack:"sauvegardeS"`     // time to save a checkpoint after a stop command
	DeadlineS   *float64 `msgpack:"echeanceS"`       // after the acceptance; nil: no deadline
}

// JobStatus is the state of a job with its numbers of completed and running tasks, in answers to users.
type JobStatus struct {
	ID      string `msgpack:"nameId"`
	State   string `msgpack:"etat"` // one of the Job state constants
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of an answer that rejects a request.
type Error struct {
	Error string `msgpack:"error"`
}
