// Users: submission and cancellation of jobs.

package modelcheck

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// cancelJob cancels the job with the given index and informs its user in one step.
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

// removeFromSharedPage removes a job's record from the shared page. It deletes the page if that
// was the last record.
func (s *System) removeFromSharedPage(id string) {
	page := s.store[sharedPageKey].value.(jobstore.JobPage).Without(map[string]bool{id: true})
	if len(page.Entries) == 0 {
		delete(s.store, sharedPageKey)
		return
	}
	s.store[sharedPageKey] = storedValue{page, s.revision}
}

// sendCancellation sends the transaction of a user's cancellation. As in jobstore.Store.Cancel,
// the transaction is based on the records that a controller has just read.
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

// executeCancellation executes the transaction of a job's cancellation and, if its guards held,
// responds to the user.
func (s *System) executeCancellation(i int) {
	id := s.scenario.Jobs[i].ID
	if s.executeCancellationTransaction(id) {
		s.answerCancellation(id)
	}
}

// executeCancellationTransaction executes the transaction of a job's cancellation without a
// response. It reports whether the guards held.
func (s *System) executeCancellationTransaction(id string) bool {
	t := s.cancellations[id]
	delete(s.cancellations, id)
	return s.executeTransaction(t)
}

// answerCancellation informs a user of the job's final state, which a controller has read or
// written.
func (s *System) answerCancellation(id string) {
	final, ok := s.finalRecord(id)
	_, answered := s.cancelledAt[id]
	if ok && !answered && final.State == wire.JobCancelled {
		s.cancelledAt[id] = s.step
	}
}

// acceptDeferredJob accepts the scenario's deferred job. The leader reads its record at once.
func (s *System) acceptDeferredJob() {
	s.deferredAccepted = true
	record := s.putJob(s.scenario.deferredJob())
	s.leader.ApplyJobRecord(record.Job.ID, record, s.revision, s.now())
	s.watchedRevision = max(s.watchedRevision, s.revision)
}
