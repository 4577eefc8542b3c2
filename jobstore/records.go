// Types of the stored records of jobs, placements, scale-out, scale-in and rebalancing.

package jobstore

import (
	"github.com/umberdeal/umberdeal/wire"
)

// ChunkSize is how many tasks of a job share one PlacementChunk. Chunks of many jobs share a page,
// which is one key, because with thousands of tasks far more chunks change each second than the
// key-value store accepts writes.
const ChunkSize = 100

// JobRecord describes an accepted job. It is the value of the job's active record. With State set, it
// is the value of the job's final record.
type JobRecord struct {
	Job          wire.Job `msgpack:"job"`
	AcceptedAtMs int64    `msgpack:"at"`           // Unix milliseconds
	State        string   `msgpack:"st,omitempty"` // wire.JobDone or wire.JobCancelled; "" in an active record

	Reservation  *Reservation `msgpack:"rv,omitempty"` // nil unless the job is reserved
	Outcomes     TaskOutcomes `msgpack:"en,omitempty"` // set in the final record of a reserved job
	FinishedAtMs int64        `msgpack:"em,omitempty"` // Unix milliseconds; set for a completed job of a batch window
}

// PlacementPage is the value of a page of placement records.
type PlacementPage struct {
	Chunks []PlacementChunk `msgpack:"c"`
}

// PlacementChunk records where the tasks of a chunk may be running, and which of them are done. A
// chunk is a range of ChunkSize consecutive tasks of a job.
type PlacementChunk struct {
	Job        string      `msgpack:"j"`
	Chunk      int         `msgpack:"n"`
	MaxAttempt uint64      `msgpack:"a"` // highest attempt number used in this chunk; numbers are never reused
	Placements []Placement `msgpack:"p"`
	DoneRanges TaskRanges  `msgpack:"d"`

	// Set for reserved jobs only (see Reservation).
	Reserved bool         `msgpack:"r,omitempty"`
	Outcomes TaskOutcomes `msgpack:"e,omitempty"`
	Stopping []int        `msgpack:"l,omitempty"` // tasks that are placed and have been asked to stop
}

// Placement records that an attempt of a task may be on a machine. It is encoded as an array, so the
// order of the fields is part of the stored format.
type Placement struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by package msgpack
	Task     int
	Attempt  uint64
	Machine  string
}

// DoneCount returns the number of done tasks of the chunk.
func (c *PlacementChunk) DoneCount() int { return c.DoneRanges.Count() }

// ScaleOutRecord is a request for machines from the cloud. It is committed before the request is sent,
// so that a later leader knows of it.
type ScaleOutRecord struct {
	Type     string   `msgpack:"type"`
	Zone     string   `msgpack:"zone"`
	Spot     bool     `msgpack:"spot"`
	Count    int      `msgpack:"n"`
	AtMs     int64    `msgpack:"at"` // Unix milliseconds
	Machines []string `msgpack:"m,omitempty"`
}

// ScaleInRecord lists machines to delete. It is committed before the deletion starts, so that a later
// leader places nothing on them and completes the deletion.
type ScaleInRecord struct {
	Machines []string `msgpack:"m"`
}

// RebalanceCycle is the state of a rebalancing cycle. It is stored so that it survives a failover.
// Times are Unix milliseconds. The maps are keyed by task.
type RebalanceCycle struct {
	Moves               []Move           `msgpack:"moves"`
	CooldownUntilMs     int64            `msgpack:"cool"`
	TaskCooldownUntilMs map[string]int64 `msgpack:"rest"`
	QuarantineUntilMs   map[string]int64 `msgpack:"quar"`
}

// Move is a task that is being moved from one machine to another.
type Move struct {
	Task    string `msgpack:"task"`
	Attempt uint64 `msgpack:"attempt"`
	From    string `msgpack:"from"`
	To      string `msgpack:"to"`
}
