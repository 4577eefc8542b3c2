// Decides which jobs the starvation bound applies to now.
//
// The bound lets every job start within Model.StarvationBound of its acceptance, provided that the
// cluster has the capacity. Without it, triage and the ordering by objectives would postpone the
// most expensive jobs again and again. The bound estimates when a job must hold its resources in
// order to start in time. From then on the job precedes the objectives of its priority. It still
// preempts only what it could preempt without the bound.
//
// The decision depends on when a job was accepted, whether it has started, and where its tasks
// are. A new leader loads this state or learns it from heartbeats. The forecasts also use run
// times, start delays and job sizes of a class, which each leader learns anew.

package cluster

import (
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

const (
	boundCheckInterval = 2 * time.Second  // between two checks of the bound
	startMargin        = 10 * time.Second // by which a job should start before the bound
	// largeJobMarginShare is the share of the bound by which the largest jobs of a class
	// should start still earlier, since their waits are the hardest to predict.
	largeJobMarginShare = 0.1
	// largeArrayMarginShare is the share of the bound by which the first task of an array of
	// at least minLargeArrayTasks tasks is early, since delaying a single task saves nothing.
	largeArrayMarginShare = 0.5
	minLargeArrayTasks    = 8
	// A job is served by the bound when its slack is down to minStartSlack plus
	// startSlackShare of the predicted wait for its resources.
	minStartSlack          = 10 * time.Second
	startSlackShare        = 0.25
	boundHoldSeconds       = 150       // time for which resources are held for a job that must start
	maxMustStarts          = 100       // maximum of jobs served by the bound in one pass
	maxCostliestDropRounds = 50        // maximum of simulations of a class that drop its costliest job
	schedulingHorizon      = time.Hour // resources that become free later count as never free
	// A job that must hold its resources within escalationLead precedes new starts of higher
	// priority. Such jobs may use one place at a time for every machinesPerEscalation ready
	// machines.
	escalationLead        = 20 * time.Second
	machinesPerEscalation = 10
	startProtection       = 30 * time.Second // time after its start in which a job's only placed task is not preempted
)

// starvationBound is the state of the limit on how long any job waits for its first start.
// Model.StarvationBound is the limit; 0 disables it. Only the starvation*.go files and
// completion_floor.go write the fields.
type starvationBound struct {
	nextCheck   time.Time        // the results of the last check hold until then
	nextExplain time.Time        // time of the next search for the causes of starvation
	completed   completionCounts // jobs completed under this leader, for the completion floor
}

// startState is the result of the starvation bound's last check for a job that has not started.
// Only its methods write it.
type startState struct {
	mustStart  bool            // the job has to hold its places now in order to start in time
	infeasible bool            // the job can't start in time together with the others of its class
	startBy    time.Time       // time by which the job should hold its places
	startDelay time.Duration   // time until the job would hold its places if it were served first
	noCapacity bool            // there are never as many places as the job needs to start
	mustFinish bool            // the completion floor forbids postponing the job any longer
	blockedBy  starvationCause // why the job can't start in time; notBlocked if it can
	loggedAt   time.Time       // when blockedBy was last logged
}

// decide records the result of a check of the bound.
func (s *startState) decide(f *startForecast, mustStart bool) {
	s.mustStart = mustStart
	s.startBy, s.startDelay = f.startBy, f.delayServedFirst
	s.infeasible, s.noCapacity = f.infeasible, f.hasNoCapacity()
}

// setMustFinish records whether the completion floor protects the job.
func (s *startState) setMustFinish(mustFinish bool) { s.mustFinish = mustFinish }

// setCause records why the job can't start in time; notBlocked means that it can. It reports
// whether the cause is to be logged, which is so if the cause is new and no cause of the job was
// logged within relogInterval.
func (s *startState) setCause(cause starvationCause, now time.Time) bool {
	log := cause != notBlocked && cause != s.blockedBy && now.Sub(s.loggedAt) >= relogInterval
	if log {
		s.loggedAt = now
	}
	s.blockedBy = cause
	return log
}

// hasStarted reports whether a task of the job has run. firstRunAt is not enough to tell, since
// a task may have run and completed under an earlier leader.
func (j *Job) hasStarted() bool { return !j.firstRunAt.IsZero() || j.DoneTasks > 0 }

// placesToStart returns how many tasks must be placed for the job to start: all tasks of a
// gang, or one task of any other job. It returns 0 if the job has started or is placed already.
func (j *Job) placesToStart() int {
	switch {
	case j.hasStarted():
		return 0
	case j.Gang():
		return len(j.Tasks)
	case j.PlacedTasks > 0:
		return 0
	}
	return 1
}

// isStartProtected reports whether the job's only placed task must not be preempted yet because
// the bound started it. A start that is preempted at once would not count.
func (m *Model) isStartProtected(j *Job, now time.Time) bool {
	return m.StarvationBound > 0 && j.start.mustStart && !j.Gang() && j.PlacedTasks == 1 && (j.firstRunAt.IsZero() || now.Sub(j.firstRunAt) < startProtection)
}

// isLargeJob reports whether the job is among the largest of its class.
func (m *Model) isLargeJob(j *Job) bool {
	c := m.classes.get(j.Spec.Class)
	return c != nil && c.sizes.isLarge(len(j.Tasks))
}

// checkStarvationBound marks the waiting jobs that must hold resources now in order to start
// in time, and those that the completion floor protects. It does so every boundCheckInterval.
// Jobs that arrive in between wait for the next check.
func (m *Model) checkStarvationBound(queue []*queueEntry, now time.Time) {
	if m.StarvationBound <= 0 || now.Before(m.starvation.nextCheck) {
		return
	}
	m.starvation.nextCheck = now.Add(boundCheckInterval)
	byClass := map[string][]*queueEntry{}
	var classes []string // in the order of the queue
	for _, entry := range queue {
		if entry.job.placesToStart() == 0 {
			continue
		}
		class := entry.job.Spec.Class
		if byClass[class] == nil {
			classes = append(classes, class)
		}
		byClass[class] = append(byClass[class], entry)
	}
	for _, class := range classes {
		m.checkClassBound(byClass[class], now)
	}
	m.enforceCompletionFloor(queue, now)
	m.explainStarvation(now)
}

// latestStart returns the time by which a job should hold its resources in order to start in
// time, and the time by which it must. Both allow for the image fetch and the startup that follow.
func (m *Model) latestStart(j *Job) (should, must time.Time) {
	fetch := math.Inf(1)
	for i := range m.MachineTypes {
		if t := &m.MachineTypes[i]; j.allowedTypes[i] && t.FetchRate > 0 {
			fetch = min(fetch, j.Spec.ImageGB/t.FetchRate)
		}
	}
	if math.IsInf(fetch, 1) {
		fetch = 0
	}
	must = j.AcceptedAt.Add(m.StarvationBound - config.Seconds(fetch+m.startupAndStragglersOf(j).startDelaySeconds()))
	should = must.Add(-startMargin)
	if m.isLargeJob(j) {
		should = should.Add(-time.Duration(largeJobMarginShare * float64(m.StarvationBound)))
	}
	return should, must
}
