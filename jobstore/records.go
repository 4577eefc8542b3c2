package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// ChunkSize is how many tasks of a job share one PlacementChunk. Chunks of many jobs share a page,
// which is one key: with thousands of tasks far more chunks change each second than the key-value
// store takes changes.
const ChunkSize = 100

// JobRecord is an accepted job, or its end.
type JobRecord struct {
	Job          wire.Job `msgpack:"job"`
	AcceptedAtMs int64    `msgpack:"at"`
	State        string   `msgpack:"st,omitempty"` // wire.JobDone or wire.JobCancelled once it is over

	Reservation  *Reservation `msgpack:"rv,omitempty"`
	Outcomes     TaskOutcomes `msgpack:"en,omitempty"` // of a reserved job that is over
	FinishedAtMs int64        `msgpack:"em,omitempty"` // of a batch window's job that is done, Unix milliseconds
}

// PlacementPage is the value of a page of placement records.
type PlacementPage struct {
	Chunks []PlacementChunk `msgpack:"c"`
}

// PlacementChunk says where the tasks of a chunk may be.
type PlacementChunk struct {
	Job        string      `msgpack:"j"`
	Chunk      int         `msgpack:"n"`
	MaxAttempt uint64      `msgpack:"a"` // highest attempt ever used here, so that none repeats
	Placements []Placement `msgpack:"p"`
	DoneRanges TaskRanges  `msgpack:"d"`

	// Of reserved jobs only.
	Reserved bool         `msgpack:"r,omitempty"`
	Outcomes TaskOutcomes `msgpack:"e,omitempty"`
	Stopping []int        `msgpack:"l,omitempty"` // placed, and told to stop
}

// Placement says that a task may be on a machine. It is stored as an array: the order of the fields is
// part of the stored form.
type Placement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Task     int
	Attempt  uint64
	Machine  string
}

// DoneCount counts the done tasks of a chunk.
func (c *PlacementChunk) DoneCount() int { return c.DoneRanges.Count() }

// ScaleOutRecord is committed before machines are asked for.
type ScaleOutRecord struct {
	Type     string   `msgpack:"type"`
	Zone     string   `msgpack:"zone"`
	Spot     bool     `msgpack:"spot"`
	Count    int      `msgpack:"n"`
	AtMs     int64    `msgpack:"at"`
	Machines []string `msgpack:"m,omitempty"`
}

// ScaleInRecord is committed before machines are deleted, so that a later leader places nothing on
// them and deletes them in its turn.
type ScaleInRecord struct {
	Machines []string `msgpack:"m"`
}

// RebalanceCycle is what a rebalancing cycle leaves for the next leader. Times are Unix milliseconds.
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
