package modelcheck

import (
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

func (w *World) cancel(i int) {
	j := w.sc.Jobs[i]
	rec, _ := w.active(j.ID)
	rec.State = wire.JobCancelled
	w.rev++
	if key := jobstore.SealedPageKey(0, 1); w.sc.Shared {
		if page := w.store[key].v.(jobstore.JobPage).Without(map[string]bool{j.ID: true}); len(page.Entries) > 0 {
			w.store[key] = value{page, w.rev}
		} else {
			delete(w.store, key)
		}
	}
	delete(w.store, jobstore.JobKey(j.ID))
	w.store[jobstore.FinalKey(j.ID)] = value{rec, w.rev}
	w.cancelled[j.ID] = w.step
	if w.breach == DropsOnCancel {
		// As if the task were on no machine from here on.
		for key := range w.store {
			if _, ok := jobstore.ParsePlacementPageKey(key); ok {
				w.rev++
				w.store[key] = value{jobstore.PlacementPage{}, w.rev}
			}
		}
		w.lead()
	}
}

// ask makes a user's cancellation from what a node has read (jobstore.Store.Cancel).
func (w *World) ask(i int) {
	id := w.sc.Jobs[i].ID
	rec, _ := w.active(id)
	rec.State = wire.JobCancelled
	key := jobstore.JobKey(id)
	t := txn{guards: []wire.Guard{{Key: key, Version: w.store[key].version}, {Key: jobstore.FinalKey(id)}},
		ops: []wire.Op{{Delete: key}, {Put: jobstore.FinalKey(id), Value: rec}}}
	if w.breach == CancelUnguards {
		t.guards = nil
	}
	if w.asks == nil {
		w.asks, w.asked = map[string]txn{}, map[string]bool{}
	}
	w.asks[id], w.asked[id] = t, true
}

// tell answers a user what is final, which a node has read or written.
func (w *World) tell(id string) {
	rec, ok := w.store[jobstore.FinalKey(id)].v.(jobstore.JobRecord)
	if _, told := w.cancelled[id]; ok && !told && rec.State == wire.JobCancelled {
		w.cancelled[id] = w.step
	}
}
