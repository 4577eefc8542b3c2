package modelcheck

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

func (s *System) cancelJob(i int) {
	j := s.scenario.Jobs[i]
	rec, _ := s.activeRecord(j.ID)
	rec.State = wire.JobCancelled
	s.revision++
	if key := jobstore.SealedPageKey(0, 1); s.scenario.SharedPage {
		if page := s.store[key].value.(jobstore.JobPage).Without(map[string]bool{j.ID: true}); len(page.Entries) > 0 {
			s.store[key] = storedValue{page, s.revision}
		} else {
			delete(s.store, key)
		}
	}
	delete(s.store, jobstore.JobKey(j.ID))
	s.store[jobstore.FinalKey(j.ID)] = storedValue{rec, s.revision}
	s.cancelledAt[j.ID] = s.step
	if s.mutation == ReleaseTasksOnCancel {
		// As if the task were on no machine from here on.
		for key := range s.store {
			if _, ok := jobstore.ParsePlacementPageKey(key); ok {
				s.revision++
				s.store[key] = storedValue{jobstore.PlacementPage{}, s.revision}
			}
		}
		s.startLeader()
	}
}

// sendCancellation makes a user's cancellation from what a node has read (jobstore.Store.Cancel).
func (s *System) sendCancellation(i int) {
	id := s.scenario.Jobs[i].ID
	rec, _ := s.activeRecord(id)
	rec.State = wire.JobCancelled
	key := jobstore.JobKey(id)
	t := transaction{guards: []wire.Guard{{Key: key, Version: s.store[key].version}, {Key: jobstore.FinalKey(id)}},
		ops: []wire.Op{{Delete: key}, {Put: jobstore.FinalKey(id), Value: rec}}}
	if s.mutation == DropCancellationGuards {
		t.guards = nil
	}
	if s.cancellations == nil {
		s.cancellations, s.cancelRequested = map[string]transaction{}, map[string]bool{}
	}
	s.cancellations[id], s.cancelRequested[id] = t, true
}

// answerCancellation answers a user what is final, which a node has read or written.
func (s *System) answerCancellation(id string) {
	rec, ok := s.store[jobstore.FinalKey(id)].value.(jobstore.JobRecord)
	if _, told := s.cancelledAt[id]; ok && !told && rec.State == wire.JobCancelled {
		s.cancelledAt[id] = s.step
	}
}
