// Messages between workers and the leader.

package wire

// Task states in heartbeats.
const (
	TaskFetching = "pulling"   // the worker fetches the task's image
	TaskWaiting  = "gathering" // the task waits for the other tasks of its gang to start
	TaskRunning  = "running"
	TaskSaving   = "flushing" // the task has received a stop command and saves its progress
	TaskExited   = "exited"
)

// Reasons of a task's exit. The last three mean that the worker rejected a command.
const (
	ExitDone    = "done"    // the task has completed
	ExitStopped = "stopped" // a command stopped the task
	ExitPeers   = "peers"   // another task of the gang ended before completion
	ExitAlone   = "alone"   // the other tasks of the gang did not start in time
	ExitError   = "error"   // the task has failed
	ExitNoRoom  = "no_room" // the machine's free resources are insufficient
	ExitBusy    = "in_use"  // another attempt of the task is on the machine
	ExitUnknown = "unknown" // the worker does not know the task
)

// Heartbeat is a worker's report to the leader. It describes the machine and its tasks.
type Heartbeat struct {
	Machine    string       `msgpack:"poste"`
	Addr       string       `msgpack:"addr"`
	Type       string       `msgpack:"gamme"`
	Zone       string       `msgpack:"halle"`
	Spot       bool         `msgpack:"pretes"`
	AgentEpoch uint64       `msgpack:"quart"`    // of the worker process; a heartbeat of a higher epoch is newer
	Seq        uint64       `msgpack:"numero"`   // ascending number within the epoch
	Token      uint64       `msgpack:"sceau"`    // the highest fencing token that the worker has seen
	NoticeS    *float64     `msgpack:"preavisS"` // after an interruption notice: seconds until the machine is gone
	Tasks      []TaskStatus `msgpack:"pieces"`
}

// TaskStatus is the status of one attempt of a task on a machine. ExitReason is one of the Exit
// constants, and set only in state TaskExited.
type TaskStatus struct {
	Task       string `msgpack:"piece"`
	Attempt    uint64 `msgpack:"essai"`
	State      string `msgpack:"etat"`
	ExitReason string `msgpack:"motif"`
	Saved      bool   `msgpack:"stored"`
}

// Command operations.
const (
	OpStart  = "launch"
	OpStop   = "halt"
	OpForget = "forget"
)

// Command is an instruction of the leader to a worker about one attempt of a task. Op is one of the
// Op constants.
type Command struct {
	Op      string   `msgpack:"geste"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"essai"`
	GraceS  *float64 `msgpack:"repitS,omitempty"` // OpStop: seconds to save progress; nil: 0
}

// HeartbeatAnswer is the body of the leader's answer to a heartbeat, with status 200. Token is the
// leader's fencing token.
type HeartbeatAnswer struct {
	Token    uint64    `msgpack:"sceau"`
	Commands []Command `msgpack:"consignes"`
}

// Redirect is the answer to a heartbeat that another node should receive, with status 421. Node is the
// name of the leader or of a node that forwards to it, or empty if none is known.
type Redirect struct {
	Node string `msgpack:"contremaitre,omitempty"`
}

// DirectCommands is the request that the leader sends to a worker's own address to deliver commands
// before the next heartbeat.
type DirectCommands struct {
	Token      uint64    `msgpack:"sceau"`
	AgentEpoch uint64    `msgpack:"quart"`
	Commands   []Command `msgpack:"consignes"`
}
