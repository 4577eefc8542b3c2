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
	// stepSeconds is how much time passes in one step. Two steps end a lease; a response
	// that takes one has timed out (4 s).
	stepSeconds = 0.6 * leaseSeconds
	// leaseSteps is the number of steps after which a lease has expired.
	leaseSteps = 2
	// cancelDeadlineSteps is when a cancelled job's tasks must be gone (cancel_s is about
	// twice the lease): the leader reads the cancellation within one step, and two more end
	// the lease of a worker that it does not reach.
	cancelDeadlineSteps = 3
	// maxPushes bounds the pushes under way; more are lost.
	maxPushes = 2
	// maxAbandoned bounds a worker's heartbeats, and all workers' responses, that may still
	// arrive after their timeout.
	maxAbandoned = 1
)

const (
	teamName        = "core"
	machineTypeName = "m"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// System is one state of everything: the leader, the key-value store, the workers and the
// messages between them.
type System struct {
	scenario *Scenario
	mutation Mutation
	settings *config.Settings
	step     int // of the clock

	// The key-value store.
	store    map[string]storedValue
	revision uint64

	// The leader.
	leader          *cluster.Model
	formerLeader    *cluster.Model // under mutation KeepFormerLeader
	fencingToken    uint64
	failovers       int
	watchedRevision uint64 // up to which the leader has read the jobs' records

	// The leader's own lease.
	storeRefuses   bool // the store refuses the leader alone
	refusalCount   int
	leaseStart     int // the step in which the last renewal with a response was sent
	renewalSentAt  int // the step in which the renewal under way was sent
	renewalPending bool

	// Transactions under way.
	delayedCommits  []transaction // of the leader: no response, not executed yet
	delayedCount    int
	cancellations   map[string]transaction // of users, by job
	cancelRequested map[string]bool        // jobs of which a cancellation was ever sent
	cancelledAt     map[string]int         // the step in which a job's user was told that it is cancelled

	// The plan.
	planNumber       int
	loadedPlan       int // the number of the plan that the leader uses
	deferredAccepted bool
	placedUnder      map[attemptKey]uint64 // the version of the plan by which an attempt was placed
	heldPreemptions  map[attemptKey]uint64 // the version by which an attempt is to be preempted, while that is held back
	preempted        map[attemptKey]bool

	// Workers and the network.
	workers            []*worker
	delayedHeartbeats  []*heartbeat // timed out, not arrived
	abandonedResponses []*heartbeat // timed out, under mutation ExecuteAbandonedResponses
	duplicates         []*heartbeat // under way
	pushes             []push       // under way
	partitionCount     int
	duplicateCount     int
	refusedStarts      int
	completed          map[string]bool // tasks that have exited as done
	forgotten          map[string]bool // tasks whose done outcome their workers have forgotten

	// Events are noteworthy situations that the last transition reached, so that tests can
	// tell whether a search covers them.
	Events []Event
	// Violation is the first invariant violated, with a description; empty: none.
	Violation string
}

// NewSystem returns the initial state of a scenario: the machines are up and have shown the
// leader's fencing token, the jobs are accepted, and the scenario's initial actions applied.
func NewSystem(scenario *Scenario, mutation Mutation) *System {
	s := &System{
		scenario:        scenario,
		mutation:        mutation,
		settings:        newSettings(scenario),
		store:           map[string]storedValue{},
		cancellations:   map[string]transaction{},
		cancelRequested: map[string]bool{},
		cancelledAt:     map[string]int{},
		placedUnder:     map[attemptKey]uint64{},
		completed:       map[string]bool{},
		forgotten:       map[string]bool{},
	}
	for i, zone := range scenario.Zones {
		s.workers = append(s.workers, &worker{name: fmt.Sprintf("host-%d", i+1), zone: zone, epoch: 1})
	}
	s.acceptInitialJobs()
	s.startLeader()
	for i := range s.workers {
		s.roundTrip(i) // the worker receives the token
		s.roundTrip(i) // and shows it
	}
	for _, a := range scenario.Initial {
		s.Apply(a)
	}
	return s
}

func newSettings(scenario *Scenario) *config.Settings {
	return &config.Settings{Cluster: config.Cluster{
		Zones:   slices.Compact(slices.Sorted(slices.Values(scenario.Zones))),
		Teams:   []config.Team{{Name: teamName, CPUs: scenario.TeamLimit, CPUsMax: scenario.TeamLimit}},
		Workers: config.Workers{HeartbeatS: 4, LeaseS: leaseSeconds, GangWaitS: 1000, GangPeerS: 6, CancelS: 2 * leaseSeconds},
		Cloud:   config.CloudLimits{RPS: 4, ListLagS: 5},
	}}
}

// acceptInitialJobs writes the records of all jobs but the deferred one.
func (s *System) acceptInitialJobs() {
	if s.scenario.SharedPage {
		s.revision++
		s.store[sharedPageKey] = storedValue{newJobPage(s.scenario.Jobs), s.revision}
		return
	}
	for i, job := range s.scenario.Jobs {
		if !s.scenario.isDeferred(i) {
			s.putJob(job)
		}
	}
}

// newJobPage returns a page with all of these jobs' records.
func newJobPage(jobs []wire.Job) jobstore.JobPage {
	var page jobstore.JobPage
	for _, job := range jobs {
		record, err := wire.Marshal(jobstore.JobRecord{Job: job, AcceptedAtMs: startTime.UnixMilli()})
		if err != nil {
			panic(fmt.Errorf("modelcheck: encode job %s of a scenario: %w", job.ID, err))
		}
		page.Entries = append(page.Entries, jobstore.JobPageEntry{ID: job.ID, Record: record})
	}
	return page
}

// putJob writes the record of a job that is accepted now.
func (s *System) putJob(job wire.Job) jobstore.JobRecord {
	s.revision++
	record := jobstore.JobRecord{Job: job, AcceptedAtMs: s.now().UnixMilli()}
	s.store[jobstore.JobKey(job.ID)] = storedValue{record, s.revision}
	return record
}

func (s *System) now() time.Time {
	return startTime.Add(config.Seconds(float64(s.step) * stepSeconds))
}

// advanceTime lets one step pass: requests under way time out, leases end, and the leader
// renews its own.
func (s *System) advanceTime() {
	s.step++
	for _, w := range s.workers {
		if w.pending != nil {
			s.abandonHeartbeat(w)
		}
	}
	s.renewLease()
	for _, w := range s.workers {
		if s.step-w.renewedAt >= leaseSteps {
			s.expireLease(w)
		}
	}
	s.checkCancelDeadlines()
}
