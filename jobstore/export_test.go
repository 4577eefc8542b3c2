// Access to a Store's internals for the tests of package jobstore_test.

package jobstore

import "github.com/umberdeal/umberdeal/wire"

// Retained returns how many items of each kind a store holds in memory.
func (s *Store) Retained() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	submissions := 0
	for _, q := range s.writeQueues {
		submissions += len(q.submissions) + q.individualInFlight
	}
	return map[string]int{
		"jobs": len(s.jobs), "finals": len(s.finals.records), "final order": len(s.finals.order),
		"placement pages": len(s.placementPages), "job pages": len(s.jobPages),
		"unreadable pages": len(s.unreadablePages), "unreadable placements": len(s.unreadablePlacements),
		"queues": len(s.writeQueues), "submissions": submissions, "final reads": len(s.finalReads.waiting),
	}
}

// RememberFinal puts a final record into the cache.
func (s *Store) RememberFinal(id string) { s.cacheFinal(id, JobRecord{State: wire.JobDone}) }

// MaxCachedFinals is the size of the cache of final records.
const MaxCachedFinals = maxCachedFinals
