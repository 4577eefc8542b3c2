package jobstore

import "github.com/umberdeal/umberdeal/wire"

// Retained is how much a reader keeps of each kind.
func (r *Store) Retained() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := 0
	for _, q := range r.queues {
		waiting += len(q.submissions) + q.individual
	}
	return map[string]int{"jobs": len(r.jobs), "finals": len(r.finals), "order": len(r.finalOrder), "pages": len(r.placementPages), "intake": len(r.jobPages),
		"lost": len(r.unreadablePages), "blind": len(r.unreadablePlacements), "queues": len(r.queues), "waiting": waiting, "ends": len(r.finalReads.waiting)}
}

// CacheFinal remembers a job that is over.
func (r *Store) CacheFinal(id string) { r.cacheFinal(id, JobRecord{State: wire.JobDone}) }

// MaxCachedFinals is how many are remembered.
const MaxCachedFinals = maxCachedFinals
