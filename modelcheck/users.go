package modelcheck

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// cancelJob cancels a job, given by its index, and tells its user so, in one step.
func (s *System) cancelJob(i int) {
	id := s.scenario.Jobs[i].ID
	record, _ := s.activeRecord(id)
	record.State = wire.JobCancelled
	s.revision++
	if s.scenario.SharedPage {
		s.removeFromSharedPage(id)
	}
	delete(s.store, jobstore.JobKey(id))
	s.store[jobstore.FinalKey(id)] = storedValue{record, s.revision}
	s.cancelledAt[id] = s.step
	if s.mutation == ReleaseTasksOnCancel {
		s.releaseTasks()
	}
}

// removeFromSharedPage removes a job's record from the page, and the page with its last one.
func (s *System) removeFromSharedPage(id string) {
	page := s.store[sharedPageKey].value.(jobstore.JobPage).Without(map[string]bool{id: true})
	if len(page.Entries) == 0 {
		delete(s.store, sharedPageKey)
		return
	}
	s.store[sharedPageKey] = storedValue{page, s.revision}
}

// sendCancellation sends the transaction of a user's cancellation, made from the records that
// a controller has just read (jobstore.Store.Cancel).
func (s *System) sendCancellation(i int) {
	id := s.scenario.Jobs[i].ID
	record, _ := s.activeRecord(id)
	record.State = wire.JobCancelled
	key := jobstore.JobKey(id)
	t := transaction{
		guards: []wire.Guard{{Key: key, Version: s.store[key].version}, {Key: jobstore.FinalKey(id)}},
		ops:    []wire.Op{{Delete: key}, {Put: jobstore.FinalKey(id), Value: record}},
	}
	if s.mutation == DropCancellationGuards {
		t.guards = nil
	}
	s.cancellations[id], s.cancelRequested[id] = t, true
}

// executeCancellation executes the transaction of a job's cancellation and answers its user.
func (s *System) executeCancellation(i int) {
	id := s.scenario.Jobs[i].ID
	if s.executeCancellationTransaction(id) {
		s.answerCancellation(id)
	}
}

// executeCancellationTransaction says whether the guards held.
func (s *System) executeCancellationTransaction(id string) bool {
	t := s.cancellations[id]
	delete(s.cancellations, id)
	return s.executeTransaction(t)
}

// answerCancellation tells a user the job's final state, which a controller has read or
// written.
func (s *System) answerCancellation(id string) {
	final, ok := s.finalRecord(id)
	_, answered := s.cancelledAt[id]
	if ok && !answered && final.State == wire.JobCancelled {
		s.cancelledAt[id] = s.step
	}
}

// acceptDeferredJob accepts the scenario's deferred job; the leader reads it at once.
func (s *System) acceptDeferredJob() {
	s.deferredAccepted = true
	record := s.putJob(s.scenario.deferredJob())
	s.leader.ApplyJobRecord(record.Job.ID, record, s.revision, s.now())
	s.watchedRevision = max(s.watchedRevision, s.revision)
}
