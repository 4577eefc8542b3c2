package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/placement"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is a job, its tasks, and where they may be.

// TaskPhase is how far a task has come.
type TaskPhase uint8

// The phases of a task. A placed task may be running; TaskDone is final.
const (
	TaskIdle   TaskPhase = iota // not placed
	TaskPlaced                  // placed on a machine
	TaskDone                    // completed, or, if it is reserved, ended otherwise
)

// ReportedState is the state of a task as its machine last reported it in a heartbeat. The
// states are in the order in which a task passes through them.
type ReportedState uint8

const (
	notReported      ReportedState = iota
	reportedFetching               // its image is being fetched
	reportedWaiting                // for the other tasks of its gang
	reportedRunning
	reportedSaving // a checkpoint, before it stops
)

// StopReason is why a task was ordered to stop. It is logged.
type StopReason string

// The reasons to stop a task.
const (
	StopPreempted      StopReason = "preempted"            // by waiting work of a higher rank
	StopMoved          StopReason = "move"                 // by a rebalance cycle
	StopMoveResumed    StopReason = "move taken over"      // by a rebalance cycle of an earlier leader
	StopCancelled      StopReason = "cancelled"            // by the job's user
	StopReleased       StopReason = "released"             // a reserved task is given back
	StopInterruption   StopReason = "notice"               // the cloud is about to reclaim its machine
	StopGangIncomplete StopReason = "its gang lost a task" // the rest of the gang can't go on
)

// Placement is an attempt of a task on a machine. It exists from the decision to place the
// task until there is proof that the attempt is not on the machine.
type Placement struct {
	Machine       int32
	Attempt       uint64
	PlacedAt      time.Time
	Inherited     bool // recorded by an earlier leader, which may have sent the launch
	LaunchSent    bool // this leader has sent the launch
	LaunchSentAt  time.Time
	LaunchEpoch   uint64
	LaunchSeq     uint64 // of the heartbeat whose answer carried the launch
	ReportedState ReportedState
	RunningSince  time.Time // when it was first seen running
	Stop          *StopOrder
	StopHeld      bool      // a stop is held back until the plan is confirmed
	WokenAt       time.Time // when a wake-up was last sent to its machine

	machineName     string // of the machine
	chunkGeneration uint64 // the chunk's change that placed it
}

// StopOrder is an order to stop a task.
type StopOrder struct {
	Grace     float64
	Reason    StopReason
	OrderedAt time.Time
	PushedAt  time.Time // when it was last sent directly
}

// Task is one task of a job.
type Task struct {
	Phase     TaskPhase
	Failures  uint8
	Resumed   bool                 // an earlier attempt has run
	Progress  float32              // seconds of work that earlier attempts have saved
	Outcome   jobstore.TaskOutcome // of a reserved task that is over: how it ended
	NotBefore int64                // Unix milliseconds
	Placement *Placement
}

// Chunk is the placement record of jobstore.ChunkSize consecutive tasks of a job. It is
// stored on a placement page from when its first task is placed until its job is over and
// none of the job's tasks can be on a machine.
type Chunk struct {
	Generation   uint64 // counts changes
	CommittedGen uint64 // the last change that is in the store
	PlacedGen    uint64 // the last change that placed a task
	PlacedTasks  int

	page *placementPage
	size int // the most bytes that it takes on its page
}

// hasNewPlacements reports whether placements of the chunk are not in the store yet.
func (c *Chunk) hasNewPlacements() bool { return c.PlacedGen > c.CommittedGen }

// Job is a job that is not over, or of which tasks may still be on a machine.
type Job struct {
	Index        int32
	ID           string
	Spec         wire.Job
	Version      uint64
	AcceptedAt   time.Time
	Team         int
	Priority     int
	Need         placement.Resources
	AllowedTypes []bool
	Zone         int
	Image        int32
	LastAttempt  uint64 // highest attempt ever used
	Tasks        []Task
	Chunks       []Chunk
	DoneTasks    int
	PlacedTasks  int
	PlacedByZone []int
	Cancelled    bool
	Finished     bool            // committed as done
	runs         runStatistics   // of its completed tasks
	runTime      runTimeEstimate // of its tasks that are not completed
	triage       triageVerdict
	start        startState // decided by the starvation bound
	GangStarted  bool       // gang: the current attempt was seen running
	GangEnding   bool       // gang: the current attempt is being stopped, or can't complete
	NotBefore    time.Time  // backoff of a job that fails on every machine
	FirstRunAt   time.Time
	tier         int // priority tier, 0 is the highest; written by priorityTiers.assign

	quarantined   bool           // its placements can't be read
	admissionPage *admissionPage // the page that its record shares with others, if it does
	window        jobWindow
	completedAtMs int64 // when its end was last written, of a night's job
	cursor        int
	dirty         bool
	avoidUntil    map[int32]time.Time
	failures      *failureHistory // of its failures
	reservation   *reservation    // nil unless its tasks are reserved first
}

// Gang reports whether the job is a gang: all its tasks run at the same time, or none does.
func (j *Job) Gang() bool { return j.Spec.Kind == wire.KindGang }
