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

// Job is the submission of a job: Tasks equal tasks. Resources and sizes hold for each task. Fields
// that end in S are seconds, DeadlineS is nil for a job that has no deadline.
type Job struct {
	ID          string   `msgpack:"nameId"`
	Class       string   `msgpack:"filiere"`
	Team        string   `msgpack:"atelier"`
	Kind        string   `msgpack:"facon"`
	Priority    string   `msgpack:"rang"`
	Tasks       int      `msgpack:"pieces"`
	CPUs        float64  `msgpack:"cpus"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"memoryGb"`
	Image       string   `msgpack:"gabarit"`
	ImageGB     float64  `msgpack:"pullGb"`
	Types       []string `msgpack:"gammes"`
	Zone        string   `msgpack:"halle,omitempty"`
	OneZone     bool     `msgpack:"oneZone"`
	Spread      bool     `msgpack:"apart"`
	Spot        bool     `msgpack:"pretes"`
	EstimateS   float64  `msgpack:"dureeS"`
	CheckpointS float64  `msgpack:"jalonS"`
	SaveS       float64  `msgpack:"sauvegardeS"`
	DeadlineS   *float64 `msgpack:"echeanceS"`
}

// JobStatus is the state of a job with its numbers of completed and running tasks, in answers to users.
type JobStatus struct {
	ID      string `msgpack:"nameId"`
	State   string `msgpack:"etat"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of an answer that rejects a request.
type Error struct {
	Error string `msgpack:"error"`
}
