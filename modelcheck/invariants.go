// The invariants, and their checks at the transitions that may violate them.

package modelcheck

import (
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Invariant is the name of a condition that must hold in every state. For invariants of the
// protocol specification (PROTOCOL) it is the name under which the bench reports violations.
type Invariant string

// The invariants.
const (
	RunsOnce            Invariant = "ran_twice"       // a task is on at most one machine
	QuotaHolds          Invariant = "quota"           // a team's tasks stay within its limit
	GangInOneZone       Invariant = "wrong_place"     // all tasks of a one_zone gang are in one zone
	CancelledTasksEnd   Invariant = "ran_cancelled"   // a cancelled job's tasks end by the deadline
	DoneTasksCompleted  Invariant = "not_done"        // a job is done only if all its tasks have completed
	FinalStateIsStable  Invariant = "went_back"       // a job's final state never changes, and jobs are cancelled only on request
	JobHasOneRecord     Invariant = "forgotten"       // an accepted job has either an active or a final record
	OutcomeIsRecorded   Invariant = "outcome lost"    // an outcome is recorded before its worker forgets it
	DecisionsFollowPlan Invariant = "superseded plan" // commits contain only decisions made under the current plan
)

// violate sets the violation unless there is one already.
func (s *System) violate(invariant Invariant, description string) {
	if s.Violation == "" {
		s.Violation = string(invariant) + ": " + description
	}
}

// checkStart checks a task's start against the tasks that are on machines.
func (s *System) checkStart(w *worker, t *task) {
	job := s.jobOf(t)
	used := job.CPUs
	for _, otherWorker := range s.workers {
		for _, other := range otherWorker.tasks {
			if !other.occupiesMachine() {
				continue
			}
			used += s.jobOf(other).CPUs
			if other.name == t.name {
				s.violate(RunsOnce, t.name+" starts on "+w.name+" while it is on "+otherWorker.name)
			}
			if other.jobIndex == t.jobIndex && job.OneZone && otherWorker.zone != w.zone {
				s.violate(GangInOneZone, t.name+" starts on "+w.name+" while "+other.name+" is on "+otherWorker.name)
			}
		}
	}
	if s.scenario.TeamLimit > 0 && used > s.scenario.TeamLimit {
		s.violate(QuotaHolds, t.name+" starts on "+w.name+" beyond its team's limit")
	}
	if s.pastCancelDeadline(job.ID) {
		s.violate(CancelledTasksEnd, t.name+" starts on "+w.name)
	}
}

// checkCancelDeadlines checks that no tasks are left of jobs whose cancellation deadline has
// passed.
func (s *System) checkCancelDeadlines() {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.occupiesMachine() && s.pastCancelDeadline(s.jobOf(t).ID) {
				s.violate(CancelledTasksEnd, t.name+" is still on "+w.name)
			}
		}
	}
}

// pastCancelDeadline reports whether a job's tasks must have ended because of its cancellation.
func (s *System) pastCancelDeadline(id string) bool {
	cancelledAt, ok := s.cancelledAt[id]
	return ok && s.step-cancelledAt >= cancelDeadlineSteps
}

// checkDoneTasksCompleted checks a job's final record when it is written.
func (s *System) checkDoneTasksCompleted(op wire.Op) {
	record, ok := op.Value.(jobstore.JobRecord)
	if !ok || record.State != wire.JobDone {
		return
	}
	for i := range record.Job.Tasks {
		if name := wire.TaskName(record.Job.ID, i); !s.completed[name] {
			s.violate(DoneTasksCompleted, name+" has not completed")
		}
	}
}

// checkOutcomeRecorded checks a task's outcome when the worker forgets it.
func (s *System) checkOutcomeRecorded(t *task) {
	if !s.outcomeRecorded(t.name) {
		s.violate(OutcomeIsRecorded, t.name+" is forgotten and not recorded")
	}
}

// checkJobRecords checks the records of all jobs after a transaction, because users may read them
// at any time. finalBefore holds the final records before the transaction, by job.
func (s *System) checkJobRecords(finalBefore map[string]jobstore.JobRecord) {
	for i := range s.scenario.Jobs {
		if s.scenario.isDeferred(i) && !s.deferredAccepted {
			continue
		}
		id := s.scenario.Jobs[i].ID
		_, active := s.activeRecord(id)
		record, final := s.finalRecord(id)
		before, wasFinal := finalBefore[id]
		switch {
		case active == final:
			s.violate(JobHasOneRecord, fmt.Sprintf("%s is active: %t, and final: %t", id, active, final))
		case wasFinal && record.State != before.State:
			s.violate(FinalStateIsStable, fmt.Sprintf("%s was %s and is %s", id, before.State, record.State))
		case final && record.State == wire.JobCancelled && s.scenario.AsyncCancellations > 0 && !s.cancelRequested[id]:
			s.violate(FinalStateIsStable, id+" is cancelled without a request")
		}
	}
	for name := range s.forgotten {
		if !s.outcomeRecorded(name) {
			s.violate(OutcomeIsRecorded, name+" was forgotten and is not recorded any more")
		}
	}
}

// checkPreemptions records the version of the plan under which the leader decided each pending
// preemption. For tasks that the leader stops now, it checks that this version is still current.
// It must be called after each step of the leader.
func (s *System) checkPreemptions() {
	if s.scenario.MaxPlans == 0 {
		return
	}
	before := s.heldPreemptions
	s.heldPreemptions = map[attemptKey]uint64{}
	for p := range s.placements() {
		version, held := before[p.key]
		if !held {
			version = s.leader.PlanGuard().Version
		}
		if p.placement.StopHeld {
			s.heldPreemptions[p.key] = version
		}
		stop := p.placement.Stop
		if stop == nil || stop.Reason != cluster.StopPreempted || s.preempted[p.key] {
			continue
		}
		s.preempted[p.key] = true
		if version != s.planVersion() {
			s.violate(DecisionsFollowPlan, p.key.name+" is preempted under a plan that is no longer in force")
		}
	}
}

// checkPlacementsFollowPlan checks the new placements of a page before the page is written.
func (s *System) checkPlacementsFollowPlan(op wire.Op) {
	page, ok := op.Value.(jobstore.PlacementPage)
	if !ok {
		return
	}
	before, _ := s.store[op.Put].value.(jobstore.PlacementPage)
	written := placedAttempts(before)
	for _, key := range placedAttempts(page) {
		version, ok := s.placedUnder[key]
		if ok && !slices.Contains(written, key) && version != s.planVersion() {
			s.violate(DecisionsFollowPlan, key.name+" is placed under a plan that is no longer in force")
		}
	}
}

// placedAttempts returns the attempts that have a placement on a page, in the order of the page.
func placedAttempts(page jobstore.PlacementPage) (attempts []attemptKey) {
	for _, chunk := range page.Chunks {
		for _, p := range chunk.Placements {
			attempts = append(attempts, attemptKey{wire.TaskName(chunk.Job, p.Task), p.Attempt})
		}
	}
	return attempts
}

// planVersion returns the version of the current plan's key; 0 if there is no plan.
func (s *System) planVersion() uint64 { return s.store[jobstore.PlanHeadKey].version }
