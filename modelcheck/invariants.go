package modelcheck

import (
	"fmt"

	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

func (s *System) violate(rule, what string) {
	if s.Violation == "" {
		s.Violation = rule + ": " + what
	}
}

// checkStart holds a start against the rules, by what is on machines now.
func (s *System) checkStart(k *worker, t *task) {
	j := &s.scenario.Jobs[t.jobIndex]
	used := j.CPUs
	for _, o := range s.workers {
		for _, p := range o.tasks {
			if !p.occupiesMachine() {
				continue
			}
			used += s.scenario.Jobs[p.jobIndex].CPUs
			if p.name == t.name {
				s.violate("ran_twice", t.name+" starts on "+k.name+" while it is on "+o.name)
			}
			if p.jobIndex == t.jobIndex && j.OneZone && o.zone != k.zone {
				s.violate("wrong_place", t.name+" starts on "+k.name+" while "+p.name+" is on "+o.name)
			}
		}
	}
	if s.scenario.TeamLimit > 0 && used > s.scenario.TeamLimit {
		s.violate("quota", t.name+" starts on "+k.name+" beyond its team's limit")
	}
	if since, ok := s.cancelledAt[j.ID]; ok && s.step-since >= cancelDeadlineSteps {
		s.violate("ran_cancelled", t.name+" starts on "+k.name)
	}
}

// checkJobRecords holds every job's records against the rules, once a transaction has changed
// them: whoever asks in between is told what they say. It is asked with what was
// there before.
func (s *System) checkJobRecords(was map[string]storedValue) {
	for i := range s.scenario.Jobs {
		id := s.scenario.Jobs[i].ID
		_, active := s.activeRecord(id)
		is, final := s.store[jobstore.FinalKey(id)].value.(jobstore.JobRecord)
		before, had := was[id].value.(jobstore.JobRecord)
		switch {
		case i >= len(s.scenario.Jobs)-s.scenario.DeferredJobs && !s.deferredAccepted:
		case active == final:
			s.violate("forgotten", fmt.Sprintf("%s is active: %t, and final: %t", id, active, final))
		case had && is.State != before.State:
			s.violate("went_back", fmt.Sprintf("%s was called %s and is called %s", id, before.State, is.State))
		case final && is.State == wire.JobCancelled && s.scenario.AsyncCancellations > 0 && !s.cancelRequested[id]:
			s.violate("went_back", id+" is called cancelled, and nobody asked for that")
		}
	}
	for name := range s.forgotten {
		if !s.outcomeRecorded(&task{attemptKey: attemptKey{name, 0}}) {
			s.violate("outcome lost", name+" was forgotten and is recorded nowhere any more")
		}
	}
}

// checkPreemptions notes by which order somebody is to be stopped, and holds those of whom
// the leader now tells against the one in force. It is asked after each of the
// leader's steps.
func (s *System) checkPreemptions() {
	if s.scenario.MaxPlans == 0 {
		return
	}
	if s.heldPreemptions == nil {
		s.heldPreemptions, s.preempted = map[attemptKey]uint64{}, map[attemptKey]bool{}
	}
	was := s.heldPreemptions
	s.heldPreemptions = map[attemptKey]uint64{}
	for _, j := range s.leader.Jobs {
		if j == nil {
			continue
		}
		for i := range j.Tasks {
			p := j.Tasks[i].Placement
			if p == nil {
				continue
			}
			k := attemptKey{wire.TaskName(j.ID, i), p.Attempt}
			by, held := was[k]
			if !held {
				by = s.leader.PlanGuard().Version
			}
			if p.StopHeld {
				s.heldPreemptions[k] = by
			}
			if p.Stop != nil && p.Stop.Reason == cluster.StopPreempted && !s.preempted[k] {
				s.preempted[k] = true
				if by != s.store[jobstore.PlanHeadKey].version {
					s.violate("old order", fmt.Sprintf("%s is stopped by an order that is no longer in force", k.name))
				}
			}
		}
	}
}

// checkPlanOfPlacements holds what a transaction places against the order in force. It is
// asked as the transaction is applied.
func (s *System) checkPlanOfPlacements(op wire.Op) {
	is, ok := op.Value.(jobstore.PlacementPage)
	if !ok {
		return
	}
	there := map[attemptKey]bool{}
	if was, ok := s.store[op.Put].value.(jobstore.PlacementPage); ok {
		for _, c := range was.Chunks {
			for _, p := range c.Placements {
				there[attemptKey{wire.TaskName(c.Job, p.Task), p.Attempt}] = true
			}
		}
	}
	for _, c := range is.Chunks {
		for _, p := range c.Placements {
			k := attemptKey{wire.TaskName(c.Job, p.Task), p.Attempt}
			if by, ok := s.placedUnder[k]; ok && !there[k] && by != s.store[jobstore.PlanHeadKey].version {
				s.violate("old order", fmt.Sprintf("%s is placed by an order that is no longer in force", k.name))
			}
		}
	}
}
