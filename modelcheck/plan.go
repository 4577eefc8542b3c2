package modelcheck

import (
	"slices"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/priority"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is the operators' order of service, which is changed while the leader
// decides, commits, and is replaced. The rules: no placement is committed that was
// decided by an order older than the one in force at that commit, and nobody is
// stopped to make room by an order older than the one in force when it was compared.

// planState is what a world knows of them.
type planState struct {
	planNumber       int
	deferredAccepted bool                  // what comes later
	loadedPlan       int                   // to the leader
	placedUnder      map[attemptKey]uint64 // by which version of the plan's key a task was placed
	heldPreemptions  map[attemptKey]uint64 // by which one it is to be stopped, while nobody is told
	preempted        map[attemptKey]bool   // to make room
}

// applyPlan puts the next version in force.
func (s *System) applyPlan() {
	s.planNumber++
	s.revision++
	s.store[jobstore.PlanHeadKey] = storedValue{jobstore.PlanHead{Versions: []jobstore.PlanVersion{{Number: s.planNumber}}}, s.revision}
}

// loadPlan lets a leader read the plan in force.
func (s *System) loadPlan(m *cluster.Model) {
	v, ok := s.store[jobstore.PlanHeadKey]
	if !ok {
		return
	}
	s.loadedPlan = s.planNumber
	classes := []string{"clinic", "craft"}
	if s.planNumber%2 == 0 {
		classes = []string{"craft", "clinic"}
	}
	p := &plan.Plan{Order: priority.Settings{Tiers: []priority.Tier{{Name: classes[0], Classes: classes[:1]}, {Name: classes[1], Classes: classes[1:], LongestWaitS: priority.StarvationBoundSeconds}}}}
	m.SetPlan(cluster.Plan{Plan: p, Number: s.planNumber, HeadVersion: v.version}, s.now())
}

// schedule has the leader plan, and notes by which order what it placed.
func (s *System) schedule() {
	s.leader.Schedule(s.now(), 0)
	if s.placedUnder == nil {
		s.placedUnder = map[attemptKey]uint64{}
	}
	s.eachPlacement(func(k attemptKey, _ bool) {
		if _, ok := s.placedUnder[k]; !ok {
			s.placedUnder[k] = s.leader.PlanGuard().Version
		}
	})
	s.checkPreemptions()
}

// commitPlanCheck has the leader compare the plan, if somebody is to be stopped by it.
func (s *System) commitPlanCheck(answerLost bool) {
	b := s.leader.PlanCheckBatch()
	if b == nil {
		return
	}
	if s.mutation == PreemptWithoutPlanCheck {
		b.Guards = nil
	}
	failed := s.compareAndSwap(b.Guards, nil)
	switch {
	case failed != nil:
		s.handleConflict(failed)
	case !answerLost:
		b.OnCommit(s.revision, s.now())
		s.checkPreemptions()
	}
}

// handleConflict has the leader take in that a transaction failed for these keys.
func (s *System) handleConflict(keys []string) {
	if slices.Contains(keys, jobstore.PlanHeadKey) {
		s.leader.DropHeldStops()
		s.loadPlan(s.leader)
		s.checkPreemptions()
	}
}

// eachPlacement goes through what the leader has placed, in its order.
func (s *System) eachPlacement(see func(k attemptKey, committed bool)) {
	for _, j := range s.leader.Jobs {
		if j == nil {
			continue
		}
		for i := range j.Tasks {
			if p := j.Tasks[i].Placement; p != nil && !p.Inherited {
				see(attemptKey{wire.TaskName(j.ID, i), p.Attempt}, j.Chunks[i/jobstore.ChunkSize].CommittedGen >= j.Chunks[i/jobstore.ChunkSize].PlacedGen)
			}
		}
	}
}
