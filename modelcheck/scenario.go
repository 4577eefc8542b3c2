package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// Scenario is the initial state of a search and the bounds on what may happen. A fault or request
// with a bound of zero never happens.
type Scenario struct {
	Name      string
	Zones     []string // zone of each machine
	Capacity  float64  // capacity of each machine in CPUs
	TeamLimit float64  // quota of the jobs' team in CPUs; 0: none
	Jobs      []wire.Job

	Initial []Action     // actions applied before the search
	Allowed []ActionKind // kinds of actions explored; nil: all

	SharedPage       bool // the jobs' records share one page
	DeferredJobs     int  // number of jobs, at the end of Jobs, that an action accepts during the search; 0 or 1
	ReliableMachines int  // number of machines, at the end of Zones, whose heartbeats are always round trips in one step

	CancellableJobs    int // number of jobs, at the start of Jobs, that their user may cancel in one step
	AsyncCancellations int // number of jobs, at the start of Jobs, whose cancellation takes several steps
	MaxPlans           int // number of plan versions that may be applied

	MaxFailovers      int
	MaxPartitions     int // times a worker stops receiving messages while its heartbeats still arrive
	MaxDuplicates     int // duplicated heartbeats
	MaxDelayedCommits int // commits of the leader that get no response and are executed later
	MaxStoreRefusals  int // times the key-value store refuses only the leader
	MaxRefusedStarts  int
}

// deferredJob returns the job that AcceptJob accepts.
func (sc *Scenario) deferredJob() wire.Job { return sc.Jobs[len(sc.Jobs)-1] }

// isDeferred reports whether the job with the given index is accepted by AcceptJob.
func (sc *Scenario) isDeferred(job int) bool { return job >= len(sc.Jobs)-sc.DeferredJobs }
