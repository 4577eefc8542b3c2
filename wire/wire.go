// Package wire holds every message that umberdeal exchanges with users,
// workers, the cloud and the state service, as MessagePack. Go names are the
// field's own terms; the names used on the wire stay in tags and constants.
package wire

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// MaxBody is the largest request body anywhere, and the largest response to
// workers and users.
const MaxBody = 64 << 10

// ContentType of all bodies.
const ContentType = "application/msgpack"

// Marshal encodes a message.
func Marshal(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a message, ignoring unknown fields. One that claims more than
// it has is refused before room is made for it.
func Unmarshal(b []byte, v any) error {
	if !isComplete(b) {
		return errIncomplete
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode: %w", err)
	}
	return nil
}

// Raw is a value that is decoded later.
type Raw = msgpack.RawMessage

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

// Job states.
const (
	JobPending   = "pending"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// Paths of the controllers' interface, and of a worker's.
const (
	PathJobs     = "/v1/jobs"
	PathReady    = "/ready"
	PathReport   = "/checkin"
	PathCommands = "/commands"
	PathInspect  = "/inspect"
)

// Job is a submission.
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

// JobStatus answers users.
type JobStatus struct {
	ID      string `msgpack:"nameId"`
	State   string `msgpack:"etat"`
	Done    int    `msgpack:"done"`
	Running int    `msgpack:"running"`
}

// Error is the body of a refusal.
type Error struct {
	Error string `msgpack:"error"`
}

// Task states in reports.
const (
	TaskFetching = "pulling"
	TaskWaiting  = "gathering"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskExited   = "exited"
)

// Reasons of an exit.
const (
	ExitDone    = "done"
	ExitStopped = "stopped"
	ExitPeers   = "peers"
	ExitAlone   = "alone"
	ExitError   = "error"
	ExitNoRoom  = "no_room"
	ExitBusy    = "in_use"
	ExitUnknown = "unknown"
)

// Report is what a worker says of itself.
type Report struct {
	Machine string       `msgpack:"poste"`
	Addr    string       `msgpack:"addr"`
	Type    string       `msgpack:"gamme"`
	Zone    string       `msgpack:"halle"`
	Spot    bool         `msgpack:"pretes"`
	Session uint64       `msgpack:"quart"`
	Seq     uint64       `msgpack:"numero"`
	Token   uint64       `msgpack:"sceau"`
	NoticeS *float64     `msgpack:"preavisS"`
	Tasks   []TaskReport `msgpack:"pieces"`
}

// TaskReport is one task on a machine.
type TaskReport struct {
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

// Command is one order to a worker.
type Command struct {
	Op      string   `msgpack:"geste"`
	Task    string   `msgpack:"piece"`
	Attempt uint64   `msgpack:"essai"`
	GraceS  *float64 `msgpack:"repitS,omitempty"`
}

// ReportAnswer answers a report with 200.
type ReportAnswer struct {
	Token    uint64    `msgpack:"sceau"`
	Commands []Command `msgpack:"consignes"`
}

// Redirect answers a report with 421.
type Redirect struct {
	Leader string `msgpack:"contremaitre,omitempty"`
}

// DirectCommands goes to a worker's own address.
type DirectCommands struct {
	Token    uint64    `msgpack:"sceau"`
	Session  uint64    `msgpack:"quart"`
	Commands []Command `msgpack:"consignes"`
}

// Types is the cloud's catalogue.
type Types struct {
	Types []MachineType `msgpack:"gammes"`
}

// MachineType is one entry of the catalogue.
type MachineType struct {
	Name       string   `msgpack:"sku"`
	CPUs       float64  `msgpack:"cpus"`
	GPUs       float64  `msgpack:"gpus"`
	MemoryGB   float64  `msgpack:"memoryGb"`
	CacheGB    float64  `msgpack:"cacheGb"`
	FetchGBPS  float64  `msgpack:"pullGbPerS"`
	Price      float64  `msgpack:"rate"`
	SpotPrice  float64  `msgpack:"lowPrice"`
	BootS      float64  `msgpack:"startupS"`
	ZonesNamed []string `msgpack:"halles"`
}

// Rental asks the cloud for machines.
type Rental struct {
	Request string `msgpack:"bon"`
	Type    string `msgpack:"gamme"`
	Zone    string `msgpack:"halle"`
	Spot    bool   `msgpack:"pretes"`
	Count   int    `msgpack:"count"`
}

// Names is a list of machine names.
type Names struct {
	Machines []string `msgpack:"postes"`
}

// Machine states in the cloud's list.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `msgpack:"postes"`
	More     bool            `msgpack:"hasNext"`
}

// ListedMachine is one machine as the cloud lists it.
type ListedMachine struct {
	Name  string  `msgpack:"nameId"`
	Addr  string  `msgpack:"addr"`
	Type  string  `msgpack:"gamme"`
	Zone  string  `msgpack:"halle"`
	Spot  bool    `msgpack:"pretes"`
	State string  `msgpack:"etat"`
	AgeS  float64 `msgpack:"ageS"`
}

// Entry is one key of the state service.
type Entry struct {
	Key      string `msgpack:"path"`
	Value    Raw    `msgpack:"v"`
	Version  uint64 `msgpack:"mouture"`
	Lease    uint64 `msgpack:"bail"`
	Revision uint64 `msgpack:"registre"` // set where the key does not exist
}

// Listing is one page of keys.
type Listing struct {
	Items    []Entry `msgpack:"entries"`
	More     bool    `msgpack:"hasNext"`
	Revision uint64  `msgpack:"registre"`
}

// Guard is one condition of a transaction.
type Guard struct {
	Key     string `msgpack:"path"`
	Version uint64 `msgpack:"mouture"`
}

// Op is one change of a transaction: a put or a delete.
type Op struct {
	Put    string `msgpack:"set,omitempty"`
	Value  any    `msgpack:"v,omitempty"`
	Lease  uint64 `msgpack:"bail,omitempty"`
	Delete string `msgpack:"remove,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	If   []Guard `msgpack:"guards"`
	Then []Op    `msgpack:"apply,omitempty"`
}

// TxnAnswer answers a transaction.
type TxnAnswer struct {
	Revision uint64   `msgpack:"registre"`
	Failed   []string `msgpack:"failed"`
	Error    string   `msgpack:"error"`
}

// NewLease asks for a lease.
type NewLease struct {
	TTLMs int64 `msgpack:"lifeMs"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease uint64 `msgpack:"bail"`
}

// Events answers a watch.
type Events struct {
	Revision uint64  `msgpack:"registre"`
	Log      []Event `msgpack:"log"`
}

// Event is one change of a key.
type Event struct {
	Put     string `msgpack:"set"`
	Delete  string `msgpack:"remove"`
	Value   Raw    `msgpack:"v"`
	Version uint64 `msgpack:"mouture"`
}
