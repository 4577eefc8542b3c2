package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	leaseS = 20.0
	// Time passes in steps of 0.6 of a lease. Two of them end one; an answer that
	// takes as long has been given up (4 s).
	stepS = 0.6 * leaseS
	// cancelSteps is by when a cancelled job's tasks must be gone (cancel_s is
	// about twice the lease): the leader learns within one step, and two more end
	// the lease of a worker that it does not reach.
	cancelSteps = 3
	maxDirects  = 2 // direct batches on their way; more are lost
	maxLate     = 1 // reports of a worker, or answers, that it has given up and that may still arrive
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// World is one state of everything.
type World struct {
	sc     *Scenario
	breach Breach
	cfg    *config.Settings

	step     int
	token    uint64
	rev      uint64
	store    map[string]value
	model    *cluster.Model
	old      *cluster.Model // of the leader before, where it goes on
	seen     uint64         // the revision that the leader has followed to
	takeover int

	workers []*worker
	overdue []*flight // reports given up, not arrived
	answers []*flight // answers given up, where workers execute these
	copies  []*flight // of reports, on their way
	mutes   int
	copied  int
	errors  int
	directs []direct

	completed map[string]bool // tasks that have exited with done
	cancelled map[string]int  // since which step

	orders
	late

	Met    []string // what met in the last step, for tests that it did
	Broken string   // the first rule broken, with what broke it
}

// NewWorld makes a world in which the machines are up, have shown the leader's
// token, and the jobs are accepted.
func NewWorld(sc *Scenario, b Breach) *World {
	zones := slices.Compact(slices.Sorted(slices.Values(sc.Zones)))
	w := &World{sc: sc, breach: b, store: map[string]value{}, completed: map[string]bool{}, cancelled: map[string]int{}}
	w.cfg = &config.Settings{Cluster: config.Cluster{Zones: zones, Teams: []config.Team{{Name: "core", CPUs: sc.Max, CPUsMax: sc.Max}},
		Workers: config.Workers{ReportS: 4, LeaseS: leaseS, GangWaitS: 1000, GangPeerS: 6, CancelS: 2 * leaseS},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5}}}
	for _, z := range sc.Zones {
		w.workers = append(w.workers, &worker{name: fmt.Sprintf("host-%d", len(w.workers)+1), zone: z, session: 1})
	}
	if sc.Shared {
		w.rev++
		var page jobstore.JobPage
		for i := range sc.Jobs {
			raw, err := wire.Marshal(jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: began.UnixMilli()})
			if err != nil {
				panic(err) // a job of ours
			}
			page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: sc.Jobs[i].ID, Record: raw})
		}
		w.store[jobstore.SealedPageKey(0, 1)] = value{page, w.rev}
	}
	for i := range sc.Jobs {
		if sc.Shared || i >= len(sc.Jobs)-sc.Later {
			break
		}
		w.rev++
		w.store[jobstore.JobKey(sc.Jobs[i].ID)] = value{jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: began.UnixMilli()}, w.rev}
	}
	w.lead()
	for i := range w.workers {
		w.trip(i)
		w.trip(i)
	}
	for _, a := range sc.Begin {
		w.Do(a)
	}
	return w
}

func (w *World) now() time.Time { return began.Add(config.Seconds(float64(w.step) * stepS)) }

func (w *World) last() wire.Job { return w.sc.Jobs[len(w.sc.Jobs)-1] }
