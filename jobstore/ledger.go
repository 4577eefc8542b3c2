// Package ledger holds the schema of the keys that the controllers keep, and
// the transactions of users' requests. The leader's own transactions are built
// by package cluster from these records.
package jobstore

import (
	"strconv"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// Keys. Everything about unfinished jobs lies under Active, so that one watch
// and one listing give all that a leader needs.
const (
	ActivePrefix         = "w/"
	JobPrefix            = "w/j/" // the part of it that users' requests change
	placementPagePrefix  = "w/p/"
	finalPrefix          = "f/"
	ScaleOutPrefix       = "r/"
	RebalanceCyclePrefix = "x/"
	MachineTypesKey      = "c/types"
	// ScaleInKey names the machines that the last deletion asked for.
	ScaleInKey = "c/returns"
)

// ChunkSize is how many tasks of a job share one placement record. The records
// of many jobs share a page, which is one key: with thousands of tasks there
// are far more records that change each second than the state service takes
// changes.
const ChunkSize = 100

// JobKey is the key of an unfinished job.
func JobKey(id string) string { return JobPrefix + id }

// FinalKey is the key of a finished or cancelled job, kept for good.
func FinalKey(id string) string { return finalPrefix + id }

// PlacementPageKey is the key of a page of placement records.
func PlacementPageKey(page int) string { return placementPagePrefix + strconv.Itoa(page) }

// ParsePlacementPageKey takes a PageKey apart.
func ParsePlacementPageKey(key string) (page int, ok bool) {
	num, ok := strings.CutPrefix(key, placementPagePrefix)
	if !ok {
		return 0, false
	}
	page, err := strconv.Atoi(num)
	return page, err == nil && page >= 0
}

// ParseJobKey takes a JobKey apart.
func ParseJobKey(key string) (id string, ok bool) {
	id, ok = strings.CutPrefix(key, JobPrefix)
	return id, ok && !IsJobPageKey(key)
}

// ParseFinalKey takes a FinalKey apart.
func ParseFinalKey(key string) (id string, ok bool) { return strings.CutPrefix(key, finalPrefix) }

// JobRecord is an accepted job, or its end.
type JobRecord struct {
	Job          wire.Job `msgpack:"job"`
	AcceptedAtMs int64    `msgpack:"at"`
	State        string   `msgpack:"st,omitempty"` // JobDone or JobCancelled once it is over

	Reservation  *Reservation `msgpack:"rv,omitempty"`
	Outcomes     []int        `msgpack:"en,omitempty"` // of a reserved job that is over: task, how, task, how
	FinishedAtMs int64        `msgpack:"em,omitempty"` // of a night's job that is done: when, Unix milliseconds
}

// PlacementPage is the value of a page.
type PlacementPage struct {
	Chunks []PlacementChunk `msgpack:"c"`
}

// PlacementChunk says where the tasks of a chunk may be.
type PlacementChunk struct {
	Job        string      `msgpack:"j"`
	Chunk      int         `msgpack:"n"`
	MaxAttempt uint64      `msgpack:"a"` // highest attempt ever used here
	Placements []Placement `msgpack:"p"`
	DoneRanges []int       `msgpack:"d"` // ranges: first, last, first, last

	// Of reserved jobs only.
	Reserved bool  `msgpack:"r,omitempty"`
	Outcomes []int `msgpack:"e,omitempty"` // task, how, task, how
	Stopping []int `msgpack:"l,omitempty"` // placed, and told to stop
}

// Placement says that a task may be on a machine.
type Placement struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     int
	Attempt  uint64
	Machine  string
}

// DoneCount counts the done tasks of a chunk.
func (c *PlacementChunk) DoneCount() int {
	n := 0
	for i := 0; i+1 < len(c.DoneRanges); i += 2 {
		n += c.DoneRanges[i+1] - c.DoneRanges[i] + 1
	}
	return n
}

// ScaleOutRecord is written before machines are asked for.
type ScaleOutRecord struct {
	Type     string   `msgpack:"type"`
	Zone     string   `msgpack:"zone"`
	Spot     bool     `msgpack:"spot"`
	Count    int      `msgpack:"n"`
	AtMs     int64    `msgpack:"at"`
	Machines []string `msgpack:"m,omitempty"`
}

// ScaleInRecord is written before machines are returned, so that a later leader
// places nothing on them and returns them in its turn.
type ScaleInRecord struct {
	Machines []string `msgpack:"m"`
}

// RebalanceCycle is what a rebalancing cycle leaves for the next leader. Times
// are Unix milliseconds.
type RebalanceCycle struct {
	Moves               []Move           `msgpack:"moves"`
	CooldownUntilMs     int64            `msgpack:"cool"`
	TaskCooldownUntilMs map[string]int64 `msgpack:"rest"`
	QuarantineUntilMs   map[string]int64 `msgpack:"quar"`
}

// Move is a task on its way from one machine to another.
type Move struct {
	Task    string `msgpack:"task"`
	Attempt uint64 `msgpack:"attempt"`
	From    string `msgpack:"from"`
	To      string `msgpack:"to"`
}
