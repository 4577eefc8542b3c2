package modelcheck

import (
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

type storedValue struct {
	value   any
	version uint64
}

// compareAndSwap applies a transaction as the state service does.
func (s *System) compareAndSwap(guards []wire.Guard, ops []wire.Op) (failed []string) {
	for _, g := range s.withoutRecordGuards(s.withoutPlanGuard(guards)) {
		if s.store[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return failed
	}
	if len(ops) == 0 {
		return nil
	}
	s.revision++
	was := s.finalRecords()
	for _, o := range ops {
		s.checkPlanOfPlacements(o)
		if o.Delete != "" {
			delete(s.store, o.Delete)
			continue
		}
		s.store[o.Put] = storedValue{o.Value, s.revision}
		if rec, ok := o.Value.(jobstore.JobRecord); ok && rec.State == wire.JobDone {
			for n := range rec.Job.Tasks {
				if name := wire.TaskName(rec.Job.ID, n); !s.completed[name] {
					s.violate("not_done", name+" has not completed")
				}
			}
		}
	}
	s.checkJobRecords(was)
	return nil
}

// outcomeRecorded says whether the state service has it that a task is done, or that
// nobody wants to know.
func (s *System) outcomeRecorded(t *task) bool {
	id, n, _ := wire.SplitTask(t.name)
	if _, ok := s.store[jobstore.FinalKey(id)]; ok {
		return true
	}
	for key, v := range s.store {
		if _, ok := jobstore.ParsePlacementPageKey(key); !ok {
			continue
		}
		for _, c := range v.value.(jobstore.PlacementPage).Chunks {
			for i := 0; c.Job == id && i+1 < len(c.DoneRanges); i += 2 {
				if c.DoneRanges[i] <= n && n <= c.DoneRanges[i+1] {
					return true
				}
			}
		}
	}
	return false
}

// activeRecord is a job's record, while it is not over.
func (s *System) activeRecord(id string) (jobstore.JobRecord, bool) {
	if page, ok := s.store[jobstore.SealedPageKey(0, 1)].value.(jobstore.JobPage); ok {
		for _, e := range page.Entries {
			if e.ID == id {
				rec, err := e.Decode()
				return rec, err == nil
			}
		}
	}
	rec, ok := s.store[jobstore.JobKey(id)].value.(jobstore.JobRecord)
	return rec, ok
}

// transaction is a transaction on its way.
type transaction struct {
	token  uint64 // of the leader that sent it; 0: a user's
	guards []wire.Guard
	ops    []wire.Op
}

// delayCommit leaves a leader's transaction without an answer, to be carried out later.
func (s *System) delayCommit(b *cluster.WriteBatch) {
	s.delayedCount++
	s.delayedCommits = append(s.delayedCommits, transaction{s.fencingToken, b.Guards, b.Ops})
	if s.mutation == TreatUnknownCommitAsSuccess {
		b.OnCommit(s.revision, s.now())
		return
	}
	s.leader.RequeueBatch(b)
}

// executeTransaction has the state service come to a transaction: a leader's has the leader
// key's revision as a condition besides.
func (s *System) executeTransaction(t transaction) bool {
	if t.token != 0 && t.token != s.fencingToken {
		return false
	}
	return s.compareAndSwap(t.guards, t.ops) == nil
}

func (s *System) finalRecords() map[string]storedValue {
	out := map[string]storedValue{}
	for i := range s.scenario.Jobs {
		id := s.scenario.Jobs[i].ID
		out[id] = s.store[jobstore.FinalKey(id)]
	}
	return out
}
