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

// The classes of jobs between which plans set the order.
const (
	classCraft  = "craft"
	classClinic = "clinic"
)

// applyPlan puts the next version of the plan in force.
func (s *System) applyPlan() {
	s.planNumber++
	s.revision++
	s.store[jobstore.PlanHeadKey] = storedValue{jobstore.PlanHead{Versions: []jobstore.PlanVersion{{Number: s.planNumber}}}, s.revision}
}

// loadPlan lets a leader read the plan in force. Each version turns the order of the two
// classes round.
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

// commitPlanCheck has the leader compare the plan's version, if it holds preemptions back
// until it has.
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

// reloadPlanOnConflict has the leader load the plan, if its version was among the guards that
// failed.
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
	committed bool // its chunk's record has been committed since
}

// placements iterates over the leader's placements, in the order of its jobs.
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
