package modelcheck

import (
	"github.com/umberdeal/umberdeal/cluster"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

type value struct {
	v       any
	version uint64
}

// commit applies a transaction as the state service does.
func (w *World) commit(guards []wire.Guard, ops []wire.Op) (failed []string) {
	for _, g := range w.unguarded(w.conditions(guards)) {
		if w.store[g.Key].version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return failed
	}
	if len(ops) == 0 {
		return nil
	}
	w.rev++
	was := w.finalRecords()
	for _, o := range ops {
		w.checkOrder(o)
		if o.Delete != "" {
			delete(w.store, o.Delete)
			continue
		}
		w.store[o.Put] = value{o.Value, w.rev}
		if rec, ok := o.Value.(jobstore.JobRecord); ok && rec.State == wire.JobDone {
			for n := range rec.Job.Tasks {
				if name := wire.TaskName(rec.Job.ID, n); !w.completed[name] {
					w.broke("not_done", name+" has not completed")
				}
			}
		}
	}
	w.finals(was)
	return nil
}

// recorded says whether the state service has it that a task is done, or that
// nobody wants to know.
func (w *World) recorded(t *task) bool {
	id, n, _ := wire.SplitTask(t.name)
	if _, ok := w.store[jobstore.FinalKey(id)]; ok {
		return true
	}
	for key, v := range w.store {
		if _, ok := jobstore.ParsePlacementPageKey(key); !ok {
			continue
		}
		for _, c := range v.v.(jobstore.PlacementPage).Chunks {
			for i := 0; c.Job == id && i+1 < len(c.DoneRanges); i += 2 {
				if c.DoneRanges[i] <= n && n <= c.DoneRanges[i+1] {
					return true
				}
			}
		}
	}
	return false
}

// active is a job's record, while it is not over.
func (w *World) active(id string) (jobstore.JobRecord, bool) {
	if page, ok := w.store[jobstore.SealedPageKey(0, 1)].v.(jobstore.JobPage); ok {
		for _, e := range page.Entries {
			if e.ID == id {
				rec, err := e.Decode()
				return rec, err == nil
			}
		}
	}
	rec, ok := w.store[jobstore.JobKey(id)].v.(jobstore.JobRecord)
	return rec, ok
}

// txn is a transaction on its way.
type txn struct {
	token  uint64 // of the leader that sent it; 0: a user's
	guards []wire.Guard
	ops    []wire.Op
}

// hold leaves a leader's transaction without an answer, to be carried out later.
func (w *World) hold(b *cluster.WriteBatch) {
	w.lates++
	w.txns = append(w.txns, txn{w.token, b.Guards, b.Ops})
	if w.breach == UnknownCounts {
		b.OnCommit(w.rev, w.now())
		return
	}
	w.model.RequeueBatch(b)
}

// carryOut has the state service come to a transaction: a leader's has the leader
// key's revision as a condition besides.
func (w *World) carryOut(t txn) bool {
	if t.token != 0 && t.token != w.token {
		return false
	}
	return w.commit(t.guards, t.ops) == nil
}

func (w *World) finalRecords() map[string]value {
	out := map[string]value{}
	for i := range w.sc.Jobs {
		id := w.sc.Jobs[i].ID
		out[id] = w.store[jobstore.FinalKey(id)]
	}
	return out
}
