package wire

// This file has the messages of workers.

// Task states in heartbeats.
const (
	TaskFetching = "pulling"   // its image is being fetched
	TaskWaiting  = "gathering" // of a gang: until all of its tasks have started
	TaskRunning  = "running"
	TaskSaving   = "flushing" // it has been told to stop, and saves its progress
	TaskExited   = "exited"
)

// Reasons of an exit.
const (
	ExitDone    = "done"    // it has completed
	ExitStopped = "stopped" // by a command
	ExitPeers   = "peers"   // another task of its gang has ended before completion
	ExitAlone   = "alone"   // the other tasks of its gang have not started in time
	ExitError   = "error"   // it has failed
	ExitNoRoom  = "no_room" // refused: the machine's free resources do not suffice
	ExitBusy    = "in_use"  // refused: another attempt of the task is on the machine
	ExitUnknown = "unknown" // refused: the worker does not know the task
)

// Heartbeat is a worker's report to the leader: what it is, and the status of its tasks.
type Heartbeat struct {
	Machine    string       `msgpack:"poste"`
	Addr       string       `msgpack:"addr"`
	Type       string       `msgpack:"gamme"`
	Zone       string       `msgpack:"halle"`
	Spot       bool         `msgpack:"pretes"`
	AgentEpoch uint64       `msgpack:"quart"`
	Seq        uint64       `msgpack:"numero"`
	Token      uint64       `msgpack:"sceau"`    // the highest fencing token that it has seen
	NoticeS    *float64     `msgpack:"preavisS"` // after an interruption notice: seconds until the machine is gone
	Tasks      []TaskStatus `msgpack:"pieces"`
}

// TaskStatus is the status of one task on a machine.
type TaskStatus struct {
	Task    string `msgpack:"piece"`
	Attempt uint64 `msgpack:"essai"`
	State   string `msgpack:"etat"`
	Why     string `msgpack:"motif"`
	Saved   bool   `msgpack:"stored"`
}

// Command operations.
const (
	OpStart  = "launch"
	OpStop   = "halt"
	OpForget = "forget"
)

// Command is what the leader tells a worker to do.
type Command struct {
	Op      string   `msgpack:"geste"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"essai"`
	GraceS  *float64 `msgpack:"repitS,omitempty"`
}

// HeartbeatAnswer answers a heartbeat with 200.
type HeartbeatAnswer struct {
	Token    uint64    `msgpack:"sceau"`
	Commands []Command `msgpack:"consignes"`
}

// Redirect answers a heartbeat with 421.
type Redirect struct {
	Leader string `msgpack:"contremaitre,omitempty"`
}

// DirectCommands is sent to a worker's own address.
type DirectCommands struct {
	Token      uint64    `msgpack:"sceau"`
	AgentEpoch uint64    `msgpack:"quart"`
	Commands   []Command `msgpack:"consignes"`
}
