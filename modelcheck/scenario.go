package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// Scenario is what a search begins with.
type Scenario struct {
	Name               string
	Zones              []string // of each machine
	Capacity           float64  // CPUs of each
	Jobs               []wire.Job
	TeamLimit          float64      // the team's limit in CPUs
	CancellableJobs    int          // jobs that their user may cancel, from the first on
	MaxFailovers       int          // changes of leader at most
	Initial            []Action     // what has happened already
	Allowed            []ActionKind // what may happen; nil: anything
	ReliableMachines   int          // of the last so many machines no message is split, late or lost
	SharedPage         bool         // the jobs' records share a page
	MaxPartitions      int          // how often a worker's reports arrive, and nothing reaches it
	MaxDuplicates      int          // late copies of reports
	DeferredJobs       int          // of the last so many jobs, each is accepted later: 0 or 1
	MaxPlans           int          // orders of service that are applied, at most
	MaxDelayedCommits  int          // leader's transactions that are carried out late, at most
	AsyncCancellations int          // jobs that their user may cancel by a transaction that is under way for a while, from the first on
	MaxStoreRefusals   int          // how often the state service refuses the leader alone
	MaxRefusedStarts   int          // how often a start is refused
}
