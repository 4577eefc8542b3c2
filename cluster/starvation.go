package cluster

import (
	"math"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// This file decides which jobs the starvation bound applies to now. The bound lets every job
// start within Model.StarvationBound of its acceptance, provided that the cluster has the
// capacity. Triage and the ordering by objectives alone would postpone the most expensive
// jobs again and again. The bound estimates when a job must hold its resources in order to
// start in time; from then on the job precedes the objectives of its priority. It preempts
// nothing that could not be preempted otherwise.
//
// It depends on when a job was accepted, whether it has started, and where tasks are, all of
// which a new leader loads or learns from heartbeats. What the forecasts use besides (run times,
// start delays and job sizes of a class) each leader learns anew.

const (
	boundCheckInterval = 2 * time.Second  // between two checks; verdicts stand until the next one
	startMargin        = 10 * time.Second // by which a job should be early
	// largeJobMarginShare is the share of the bound by which the largest jobs of a class
	// should be earlier still, since their waits are the hardest to predict.
	largeJobMarginShare = 0.1
	// largeArrayMarginShare is the share of the bound by which the first task of an array of
	// at least minLargeArrayTasks tasks is early: delaying a single task saves nothing.
	largeArrayMarginShare = 0.5
	minLargeArrayTasks    = 8
	// minStartSlack and startSlackShare make up the slack at which a job is served by the bound:
	// a constant, and a share of the predicted wait for its resources.
	minStartSlack          = 10 * time.Second
	startSlackShare        = 0.25
	boundHoldSeconds       = 150       // how far ahead resources are held for a job that must start
	maxMustStarts          = 100       // jobs served by the bound in one pass
	maxCostliestDropRounds = 50        // simulations of a class from which the costliest job is dropped
	schedulingHorizon      = time.Hour // resources that become free later count as never free
	// escalationLead is how long before the time by which it must hold its resources a job
	// precedes new starts of higher priority. For every machinesPerEscalation ready machines one
	// place may be used for such jobs at a time.
	escalationLead        = 20 * time.Second
	machinesPerEscalation = 10
	startProtection       = 30 * time.Second // after its start, in which a job's only placed task is not preempted
)

// starvationBound limits how long any job waits for its first start
// (Model.StarvationBound is the limit; 0 switches all of this off). Only the
// starvation*.go files and completion_floor.go write its fields.
type starvationBound struct {
	nextCheck   time.Time // verdicts of the last check stand until then
	nextExplain time.Time // causes are not worked out before
	completed   completionCounts
}

// startState is what the starvation bound's last check decided about a job that has not
// started. Only its methods write it. A job that can't start in time has a cause in blockedBy.
type startState struct {
	mustStart  bool            // has to hold its places now in order to start in time
	infeasible bool            // can't start in time beside the others of its class
	startBy    time.Time       // when it should hold its places
	startDelay time.Duration   // until it would hold them if it were served first
	noCapacity bool            // there are never as many places as it needs to start
	mustFinish bool            // the completion floor lets it not be postponed any longer
	blockedBy  starvationCause // why it can't start in time; notBlocked if it can
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

// setCause records why the job can't start in time, notBlocked if it can. It reports whether the
// cause is to be logged: if it is another one than before, and the job was not logged recently.
func (s *startState) setCause(cause starvationCause, now time.Time) bool {
	log := cause != notBlocked && cause != s.blockedBy && now.Sub(s.loggedAt) >= relogInterval
	if log {
		s.loggedAt = now
	}
	s.blockedBy = cause
	return log
}

// hasStarted reports whether a task of the job has run. firstRunAt does not suffice: a task
// may have run and completed under an earlier leader.
func (j *Job) hasStarted() bool { return !j.firstRunAt.IsZero() || j.DoneTasks > 0 }

// placesToStart returns how many tasks must be placed for the job to start: all tasks of a
// gang, one of any other job, 0 if it has started or is placed already.
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

// isStartProtected reports whether the job's only placed task must not be preempted yet
// because the bound started it: being preempted at once would not count as a start.
func (m *Model) isStartProtected(j *Job, now time.Time) bool {
	return m.StarvationBound > 0 && j.start.mustStart && !j.Gang() && j.PlacedTasks == 1 && (j.firstRunAt.IsZero() || now.Sub(j.firstRunAt) < startProtection)
}

// isLargeJob reports whether the job is among the largest of its class.
func (m *Model) isLargeJob(j *Job) bool {
	c := m.classes.get(j.Spec.Class)
	return c != nil && c.sizes.isLarge(len(j.Tasks))
}

// checkStarvationBound marks the waiting jobs that must hold resources now in order to start
// in time, and those that the completion floor protects. It runs every boundCheckInterval; jobs that
// arrive in between wait for the next check.
func (m *Model) checkStarvationBound(queue []*queueEntry, now time.Time) {
	if m.StarvationBound <= 0 || now.Before(m.starvation.nextCheck) {
		return
	}
	m.starvation.nextCheck = now.Add(boundCheckInterval)
	byClass := map[string][]*queueEntry{}
	var classes []string // in the order in which they appear in the queue
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

// latestStart returns when a job should, and when it must at the latest, hold its resources
// in order to start in time, allowing for the image fetch and the startup that follow.
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
