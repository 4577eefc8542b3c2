package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// Scenario is the initial state of a search and the bounds of what may happen in it. With
// a bound of zero the faults and requests that it bounds don't happen.
type Scenario struct {
	Name      string
	Zones     []string // of each machine
	Capacity  float64  // of each machine, in CPUs
	TeamLimit float64  // the quota of the jobs' team, in CPUs; 0: none
	Jobs      []wire.Job

	Initial []Action     // actions that are applied before the search begins
	Allowed []ActionKind // the kinds of actions that are explored; nil: all

	SharedPage       bool // the jobs' records share a page
	DeferredJobs     int  // of the last so many jobs, each is accepted by an action: 0 or 1
	ReliableMachines int  // the last so many machines send heartbeats as round trips of one step only

	CancellableJobs    int // jobs that their user may cancel in one step, from the first on
	AsyncCancellations int // jobs whose cancellation takes several steps, from the first on
	MaxPlans           int // versions of the plan that are applied

	MaxFailovers      int
	MaxPartitions     int // how often a worker stops receiving while its heartbeats arrive
	MaxDuplicates     int // duplicated heartbeats
	MaxDelayedCommits int // commits of the leader that get no response and are executed later
	MaxStoreRefusals  int // how often the key-value store refuses the leader alone
	MaxRefusedStarts  int
}

// deferredJob returns the job that is accepted by an action.
func (sc *Scenario) deferredJob() wire.Job { return sc.Jobs[len(sc.Jobs)-1] }

// isDeferred says whether a job, given by its index, is accepted by an action.
func (sc *Scenario) isDeferred(job int) bool { return job >= len(sc.Jobs)-sc.DeferredJobs }
