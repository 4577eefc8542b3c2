// The simulated key-value store and its transactions.

package modelcheck

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// sharedPageKey is the key of the page with the jobs' records in scenarios with SharedPage.
var sharedPageKey = jobstore.SealedPageKey(0, 1)

// storedValue is the value and version of a key in the key-value store. The zero value means that
// the key does not exist.
type storedValue struct {
	value   any
	version uint64
}

// transaction is a compare-and-swap that the store has not executed yet.
type transaction struct {
	token  uint64 // fencing token of the sending leader; 0: sent for a user
	guards []wire.Guard
	ops    []wire.Op
}

// compareAndSwap executes a transaction as the key-value store does. It returns the keys whose
// guards failed, or nil if the transaction was executed.
func (s *System) compareAndSwap(guards []wire.Guard, ops []wire.Op) (failed []string) {
	for _, g := range s.guardsUnderMutation(guards) {
		if s.store[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil || len(ops) == 0 {
		return failed
	}
	s.revision++
	finalBefore := s.finalRecords()
	for _, op := range ops {
		s.checkPlacementsFollowPlan(op)
		if op.Delete != "" {
			delete(s.store, op.Delete)
			continue
		}
		s.store[op.Put] = storedValue{op.Value, s.revision}
		s.checkDoneTasksCompleted(op)
	}
	s.checkJobRecords(finalBefore)
	return nil
}

// executeTransaction executes a delayed transaction and reports whether its guards held. A
// transaction of a leader has the version of the leader key as an additional guard.
func (s *System) executeTransaction(t transaction) bool {
	if t.token != 0 && t.token != s.fencingToken {
		return false
	}
	return s.compareAndSwap(t.guards, t.ops) == nil
}

// activeRecord returns the active record of a job, or false if the job has none.
func (s *System) activeRecord(id string) (jobstore.JobRecord, bool) {
	if page, ok := s.store[sharedPageKey].value.(jobstore.JobPage); ok {
		for _, entry := range page.Entries {
			if entry.ID == id {
				record, err := entry.Decode()
				return record, err == nil
			}
		}
	}
	record, ok := s.store[jobstore.JobKey(id)].value.(jobstore.JobRecord)
	return record, ok
}

// finalRecord returns the final record of a job, or false if the job has none.
func (s *System) finalRecord(id string) (jobstore.JobRecord, bool) {
	record, ok := s.store[jobstore.FinalKey(id)].value.(jobstore.JobRecord)
	return record, ok
}

// finalRecords returns the final records of all jobs that are over, by job.
func (s *System) finalRecords() map[string]jobstore.JobRecord {
	records := map[string]jobstore.JobRecord{}
	for i := range s.scenario.Jobs {
		id := s.scenario.Jobs[i].ID
		if record, ok := s.finalRecord(id); ok {
			records[id] = record
		}
	}
	return records
}

// outcomeRecorded reports whether a record in the store says that a task is done or that its job
// is over.
func (s *System) outcomeRecorded(taskName string) bool {
	id, number, _ := wire.ParseTaskName(taskName)
	if _, ok := s.store[jobstore.FinalKey(id)]; ok {
		return true
	}
	for key, stored := range s.store {
		if !isPlacementPageKey(key) {
			continue
		}
		for _, chunk := range stored.value.(jobstore.PlacementPage).Chunks {
			if chunk.Job == id && inRanges(chunk.DoneRanges, number) {
				return true
			}
		}
	}
	return false
}

// inRanges reports whether a number is in one of the ranges. Each range is a pair of its first and
// last number.
func inRanges(ranges []int, number int) bool {
	for i := 0; i+1 < len(ranges); i += 2 {
		if ranges[i] <= number && number <= ranges[i+1] {
			return true
		}
	}
	return false
}
