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
	leaseSeconds = 20.0
	// Time passes in steps of 0.6 of a lease. Two of them end one; an answer that
	// takes as long has been given up (4 s).
	stepSeconds = 0.6 * leaseSeconds
	// cancelSteps is by when a cancelled job's tasks must be gone (cancel_s is
	// about twice the lease): the leader learns within one step, and two more end
	// the lease of a worker that it does not reach.
	cancelDeadlineSteps = 3
	maxPushes           = 2 // direct batches on their way; more are lost
	maxAbandoned        = 1 // reports of a worker, or answers, that it has given up and that may still arrive
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// System is one state of everything.
type System struct {
	scenario *Scenario
	mutation Mutation
	settings *config.Settings

	step            int
	fencingToken    uint64
	revision        uint64
	store           map[string]storedValue
	leader          *cluster.Model
	formerLeader    *cluster.Model // of the leader before, where it goes on
	watchedRevision uint64         // the revision that the leader has followed to
	failovers       int

	workers            []*worker
	delayedHeartbeats  []*heartbeat // reports given up, not arrived
	abandonedResponses []*heartbeat // answers given up, where workers execute these
	duplicates         []*heartbeat // of reports, on their way
	partitionCount     int
	duplicateCount     int
	refusedStarts      int
	pushes             []push

	completed   map[string]bool // tasks that have exited with done
	cancelledAt map[string]int  // since which step

	planState
	delayState

	Events    []string // what met in the last step, for tests that it did
	Violation string   // the first rule broken, with what broke it
}

// NewSystem makes a world in which the machines are up, have shown the leader's
// token, and the jobs are accepted.
func NewSystem(sc *Scenario, b Mutation) *System {
	zones := slices.Compact(slices.Sorted(slices.Values(sc.Zones)))
	s := &System{scenario: sc, mutation: b, store: map[string]storedValue{}, completed: map[string]bool{}, cancelledAt: map[string]int{}}
	s.settings = &config.Settings{Cluster: config.Cluster{Zones: zones, Teams: []config.Team{{Name: "core", CPUs: sc.TeamLimit, CPUsMax: sc.TeamLimit}},
		Workers: config.Workers{ReportS: 4, LeaseS: leaseSeconds, GangWaitS: 1000, GangPeerS: 6, CancelS: 2 * leaseSeconds},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5}}}
	for _, z := range sc.Zones {
		s.workers = append(s.workers, &worker{name: fmt.Sprintf("host-%d", len(s.workers)+1), zone: z, epoch: 1})
	}
	if sc.SharedPage {
		s.revision++
		var page jobstore.JobPage
		for i := range sc.Jobs {
			raw, err := wire.Marshal(jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: startTime.UnixMilli()})
			if err != nil {
				panic(err) // a job of ours
			}
			page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: sc.Jobs[i].ID, Record: raw})
		}
		s.store[jobstore.SealedPageKey(0, 1)] = storedValue{page, s.revision}
	}
	for i := range sc.Jobs {
		if sc.SharedPage || i >= len(sc.Jobs)-sc.DeferredJobs {
			break
		}
		s.revision++
		s.store[jobstore.JobKey(sc.Jobs[i].ID)] = storedValue{jobstore.JobRecord{Job: sc.Jobs[i], AcceptedAtMs: startTime.UnixMilli()}, s.revision}
	}
	s.startLeader()
	for i := range s.workers {
		s.roundTrip(i)
		s.roundTrip(i)
	}
	for _, a := range sc.Initial {
		s.Apply(a)
	}
	return s
}

func (s *System) now() time.Time { return startTime.Add(config.Seconds(float64(s.step) * stepSeconds)) }

func (s *System) deferredJob() wire.Job { return s.scenario.Jobs[len(s.scenario.Jobs)-1] }
