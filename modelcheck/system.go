// The state of the simulated system and its initial state.

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
	// stepSeconds is the duration of one step. Two steps exceed a lease, and one step exceeds
	// the timeout of a response (4 s).
	stepSeconds = 0.6 * leaseSeconds
	// leaseSteps is the number of steps after which a lease has expired.
	leaseSteps = 2
	// cancelDeadlineSteps is the number of steps after a cancellation by which the job's tasks
	// must have ended (cancel_s is about twice the lease). The leader reads the cancellation
	// within one step. After two more steps the lease of an unreachable worker has expired.
	cancelDeadlineSteps = 3
	// maxPushes bounds the pushes in transit. Further pushes are lost.
	maxPushes = 2
	// maxAbandoned bounds the messages that may arrive after their timeout: the heartbeats of
	// each worker, and the responses to all workers together.
	maxAbandoned = 1
)

const (
	teamName        = "core"
	machineTypeName = "m"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// System is a state of the whole system: the leader, the key-value store, the workers and the
// messages between them. It is not safe for concurrent use.
type System struct {
	scenario *Scenario
	mutation Mutation
	settings *config.Settings
	step     int // clock, in steps of stepSeconds

	// The key-value store.
	store    map[string]storedValue
	revision uint64

	// The leader.
	leader          *cluster.Model
	formerLeader    *cluster.Model // set only under mutation KeepFormerLeader
	fencingToken    uint64
	failovers       int
	watchedRevision uint64 // revision up to which the leader has read the job records

	// The leader's own lease.
	storeRefuses   bool // the store refuses only the leader
	refusalCount   int
	leaseStart     int // step in which the last renewal with a response was sent
	renewalSentAt  int // step in which the pending renewal was sent
	renewalPending bool

	// Pending transactions.
	delayedCommits  []transaction // commits of the leader without a response, not executed yet
	delayedCount    int
	cancellations   map[string]transaction // users' cancellations by job
	cancelRequested map[string]bool        // jobs whose cancellation was ever sent
	cancelledAt     map[string]int         // step in which a job's user was told that the job is cancelled

	// The plan.
	planNumber       int // number of the current plan
	loadedPlan       int // number of the plan that the leader uses
	deferredAccepted bool
	placedUnder      map[attemptKey]uint64 // version of the plan under which an attempt was placed
	heldPreemptions  map[attemptKey]uint64 // version of the plan under which a held-back preemption was decided
	preempted        map[attemptKey]bool

	// Workers and the network.
	workers            []*worker
	delayedHeartbeats  []*heartbeat // timed out, but may still arrive
	abandonedResponses []*heartbeat // timed out, but may still arrive under mutation ExecuteAbandonedResponses
	duplicates         []*heartbeat // in transit
	pushes             []push       // in transit
	partitionCount     int
	duplicateCount     int
	refusedStarts      int
	completed          map[string]bool // tasks that have exited as done
	forgotten          map[string]bool // tasks whose "done" outcome was forgotten by their workers

	// Events holds the noteworthy situations that the last transition reached. Tests use them
	// to check that a search covers the situations.
	Events []Event
	// Violation is the first violated invariant with a description; "" if none.
	Violation string
}

// NewSystem returns the initial state of a scenario. The machines are up and have shown the
// leader's fencing token, the jobs are accepted, and the scenario's initial actions are applied.
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

// acceptInitialJobs writes the records of all jobs except the deferred one.
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

// newJobPage returns a page with the records of all given jobs.
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

// putJob writes and returns the record of a job that is accepted now.
func (s *System) putJob(job wire.Job) jobstore.JobRecord {
	s.revision++
	record := jobstore.JobRecord{Job: job, AcceptedAtMs: s.now().UnixMilli()}
	s.store[jobstore.JobKey(job.ID)] = storedValue{record, s.revision}
	return record
}

func (s *System) now() time.Time {
	return startTime.Add(config.Seconds(float64(s.step) * stepSeconds))
}

// advanceTime advances the clock by one step. Pending requests time out, the leader renews its
// lease, and workers' leases expire.
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
