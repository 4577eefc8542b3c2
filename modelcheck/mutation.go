package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Breach names a guard that is taken away. What the service does is None.
type Breach int

// The guards that can be taken away.
const (
	None              Breach = iota
	UncommittedLaunch        // a launch leaves before its placement is committed
	ShortLease               // the leader counts a worker's lease as over at half of it
	NoTakeoverWait           // a new leader does not count the lease from its takeover
	StaleReports             // a report that was held back counts as the newest
	TokenNotShown            // absence counts of a worker that has not shown this token
	LateAnswers              // a worker executes an answer it has given up
	DirectLaunch             // a summons is the launch itself
	ForgetAtOnce             // an exit is forgotten before its outcome is committed
	NoReadBarrier            // a leader renews its lease without learning of cancellations
	LeaderGoesOn             // a leader answers on past the end of its lease
	DropsOnCancel            // a cancelled job's tasks count as gone at once
	CopiesCount              // a late copy of a report counts as the newest
	UnheardAnswers           // every answer counts as unheard, also where no report has shown that
	Breaches
)

func (b Breach) String() string {
	switch b {
	case OldOrder:
		return "old order"
	case OldStops:
		return "old order's stops"
	case DirectForget:
		return "direct forget"
	}
	if name, ok := lateBreaches[b]; ok {
		return name
	}
	return [...]string{"none", "uncommitted launch", "short lease", "no wait after takeover", "stale reports", "token not shown",
		"late answers", "direct launch", "forget at once", "no catching up", "leader goes on", "dropped on cancel", "copies count", "unheard answers"}[b]
}

// DirectForget has outcomes forgotten by direct commands as well as in answers.
const DirectForget Breach = 130

// Guards that are taken away here.
const (
	UnknownCounts  Breach = 110 + iota // a transaction without an answer counts as committed
	PageUnguarded                      // a page's version is no condition of its next change
	CancelUnguards                     // a user's cancellation has no conditions
	DoneUnguarded                      // the end of a job is no matter of its record's version
	TermIgnored                        // a leader answers past its term, while nobody else leads
	TermFromAnswer                     // the term counts from the renewal's answer, not from its sending
	CopyShows                          // a late copy counts as having shown the leader's token
)

var lateBreaches = map[Breach]string{UnknownCounts: "no answer counts as committed", PageUnguarded: "page unguarded", CancelUnguards: "cancellation unguarded",
	DoneUnguarded: "done unguarded", TermIgnored: "term ignored", TermFromAnswer: "term from the answer", CopyShows: "copy shows the token"}

// unguarded takes conditions away as the breach has it.
func (w *World) unguarded(guards []wire.Guard) []wire.Guard {
	if w.breach != PageUnguarded && w.breach != DoneUnguarded {
		return guards
	}
	return slices.DeleteFunc(slices.Clone(guards), func(g wire.Guard) bool {
		_, page := jobstore.ParsePlacementPageKey(g.Key)
		return page == (w.breach == PageUnguarded)
	})
}

// OldOrder takes the condition away that ties a commit to the plan in force.
const OldOrder Breach = 100

// OldStops lets stops go out without the plan being compared.
const OldStops Breach = 101

// conditions are a transaction's.
func (w *World) conditions(guards []wire.Guard) []wire.Guard {
	if w.breach != OldOrder {
		return guards
	}
	var out []wire.Guard
	for _, g := range guards {
		if g.Key != jobstore.PlanHeadKey {
			out = append(out, g)
		}
	}
	return out
}
