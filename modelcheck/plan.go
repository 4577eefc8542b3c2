// The operators' plan: its versions in the store and their effect on the leader.

package modelcheck

import (
	"iter"
	"slices"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// Classes of jobs whose order the plans change.
const (
	classCraft  = "craft"
	classClinic = "clinic"
)

// applyPlan makes the next version of the plan the current one.
func (s *System) applyPlan() {
	s.planNumber++
	s.revision++
	s.store[jobstore.PlanHeadKey] = storedValue{jobstore.PlanHead{Versions: []jobstore.PlanVersion{{Number: s.planNumber}}}, s.revision}
}

// loadPlan lets a leader read the current plan. Each version reverses the order of the two classes.
func (s *System) loadPlan(model *cluster.Model) {
	head, ok := s.store[jobstore.PlanHeadKey]
	if !ok {
		return
	}
	s.loadedPlan = s.planNumber
	first, second := classClinic, classCraft
	if s.planNumber%2 == 0 {
		first, second = second, first
	}
	tiers := []priority.Tier{
		{Name: first, Classes: []string{first}},
		{Name: second, Classes: []string{second}, LongestWaitS: priority.StarvationBoundSeconds},
	}
	p := &plan.Plan{Order: priority.Settings{Tiers: tiers}}
	model.SetPlan(cluster.Plan{Plan: p, Number: s.planNumber, HeadVersion: head.version}, s.now())
}

// commitPlanCheck lets the leader check that its plan is still current, if it holds back
// preemptions until this check.
func (s *System) commitPlanCheck(outcome commitOutcome) {
	batch := s.leader.PlanCheckBatch()
	if batch == nil {
		return
	}
	if s.mutation == PreemptWithoutPlanCheck {
		batch.Guards = nil
	}
	failed := s.compareAndSwap(batch.Guards, nil)
	switch {
	case failed != nil:
		s.reloadPlanOnConflict(failed)
	case outcome != commitResponseLost:
		batch.OnCommit(s.revision, s.now())
		s.checkPreemptions()
	}
}

// reloadPlanOnConflict lets the leader reload the plan and drop held stops, if the guard on the
// plan's version failed.
func (s *System) reloadPlanOnConflict(failed []string) {
	if slices.Contains(failed, jobstore.PlanHeadKey) {
		s.leader.DropHeldStops()
		s.loadPlan(s.leader)
		s.checkPreemptions()
	}
}

// placedAttempt is an attempt that the leader has placed.
type placedAttempt struct {
	key       attemptKey
	placement *cluster.Placement
	committed bool // the record of the placement's chunk has been committed since
}

// placements iterates over the leader's placements in the order of its jobs.
func (s *System) placements() iter.Seq[placedAttempt] {
	return func(yield func(placedAttempt) bool) {
		for _, job := range s.leader.Jobs {
			if job == nil {
				continue
			}
			for i := range job.Tasks {
				placement := job.Tasks[i].Placement
				if placement == nil {
					continue
				}
				chunk := &job.Chunks[i/jobstore.ChunkSize]
				attempt := placedAttempt{attemptKey{wire.TaskName(job.ID, i), placement.Attempt}, placement, !chunk.HasNewPlacements()}
				if !yield(attempt) {
					return
				}
			}
		}
	}
}
