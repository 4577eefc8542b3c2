package modelcheck

import (
	"github.com/umberdeal/umberdeal/wire"
)

// Scenario is what a search begins with.
type Scenario struct {
	Name      string
	Zones     []string // of each machine
	Capacity  float64  // CPUs of each
	Jobs      []wire.Job
	Max       float64  // the team's limit in CPUs
	Cancels   int      // jobs that their user may cancel, from the first on
	Takeovers int      // changes of leader at most
	Begin     []Action // what has happened already
	Only      []Kind   // what may happen; nil: anything
	Reliable  int      // of the last so many machines no message is split, late or lost
	Shared    bool     // the jobs' records share a page
	Mutes     int      // how often a worker's reports arrive, and nothing reaches it
	Copies    int      // late copies of reports
	Later     int      // of the last so many jobs, each is accepted later: 0 or 1
	Plans     int      // orders of service that are applied, at most
	Lates     int      // leader's transactions that are carried out late, at most
	Asks      int      // jobs that their user may cancel by a transaction that is under way for a while, from the first on
	Refusals  int      // how often the state service refuses the leader alone
	Errors    int      // how often a start is refused
}
