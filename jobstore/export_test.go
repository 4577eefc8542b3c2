package jobstore

import "github.com/umberdeal/umberdeal/wire"

// Kept is how much a reader keeps of each kind.
func (r *Store) Kept() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := 0
	for _, q := range r.queues {
		waiting += len(q.waiting) + q.alone
	}
	return map[string]int{"jobs": len(r.jobs), "finals": len(r.finals), "order": len(r.order), "pages": len(r.pages), "intake": len(r.intake),
		"lost": len(r.lost), "blind": len(r.blind), "queues": len(r.queues), "waiting": waiting, "ends": len(r.ends.waiting)}
}

// KeepFinal remembers a job that is over.
func (r *Store) KeepFinal(id string) { r.keepFinal(id, JobRecord{State: wire.JobDone}) }

// FinalMax is how many are remembered.
const FinalMax = finalMax
