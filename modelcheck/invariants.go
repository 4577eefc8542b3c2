package modelcheck

import (
	"fmt"
	"slices"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Invariant names a condition that must hold in every state. Those of PROTOCOL have the
// names by which the bench reports their violation.
type Invariant string

// The invariants.
const (
	RunsOnce            Invariant = "ran_twice"       // no two machines have the same task
	QuotaHolds          Invariant = "quota"           // a team's tasks stay within its limit
	GangInOneZone       Invariant = "wrong_place"     // a one_zone gang's tasks are in one zone
	CancelledTasksEnd   Invariant = "ran_cancelled"   // a cancelled job's tasks are gone by the deadline
	DoneTasksCompleted  Invariant = "not_done"        // a job is done only if all its tasks have completed
	FinalStateIsStable  Invariant = "went_back"       // a job's final state never changes, and it is cancelled only on request
	JobHasOneRecord     Invariant = "forgotten"       // an accepted job has either its active or its final record
	OutcomeIsRecorded   Invariant = "outcome lost"    // an outcome that a worker has forgotten is recorded
	DecisionsFollowPlan Invariant = "superseded plan" // what is committed was decided under the plan in force
)

// violate notes a violation, if it is the first one.
func (s *System) violate(invariant Invariant, description string) {
	if s.Violation == "" {
		s.Violation = string(invariant) + ": " + description
	}
}

// checkStart checks a task's start against what is on machines now.
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

// checkCancelDeadlines checks that no task is left of a job cancelled long enough ago.
func (s *System) checkCancelDeadlines() {
	for _, w := range s.workers {
		for _, t := range w.tasks {
			if t.occupiesMachine() && s.pastCancelDeadline(s.jobOf(t).ID) {
				s.violate(CancelledTasksEnd, t.name+" is still on "+w.name)
			}
		}
	}
}

// pastCancelDeadline says whether a job's tasks must be gone.
func (s *System) pastCancelDeadline(id string) bool {
	cancelledAt, ok := s.cancelledAt[id]
	return ok && s.step-cancelledAt >= cancelDeadlineSteps
}

// checkDoneTasksCompleted checks a final record as it is written.
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

// checkOutcomeRecorded checks an outcome as its worker forgets it.
func (s *System) checkOutcomeRecorded(t *task) {
	if !s.outcomeRecorded(t.name) {
		s.violate(OutcomeIsRecorded, t.name+" is forgotten and not recorded")
	}
}

// checkJobRecords checks the records of all jobs after a transaction, since users may be told
// after each what the records say. It is given the final records from before.
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

// checkPreemptions notes under which version of the plan the leader means to preempt tasks,
// and checks that version for those that it stops now. It is called after each step of the
// leader.
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

// checkPlacementsFollowPlan checks the placements that a page adds, before it is written.
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

// placedAttempts returns the attempts with a placement on a page, in their order.
func placedAttempts(page jobstore.PlacementPage) (attempts []attemptKey) {
	for _, chunk := range page.Chunks {
		for _, p := range chunk.Placements {
			attempts = append(attempts, attemptKey{wire.TaskName(chunk.Job, p.Task), p.Attempt})
		}
	}
	return attempts
}

// planVersion returns the version of the plan in force.
func (s *System) planVersion() uint64 { return s.store[jobstore.PlanHeadKey].version }
