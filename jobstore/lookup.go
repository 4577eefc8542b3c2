// Lookup of jobs, and the cache of final records.

package jobstore

import (
	"context"

	"github.com/umberdeal/umberdeal/wire"
)

// JobStatus is a job's record and its progress.
type JobStatus struct {
	Record      JobRecord
	Version     uint64 // version of the key that holds the active record; 0 once the job is over
	DoneTasks   int
	PlacedTasks int

	pageKey string // the job page that holds the record; "" for a job with a key of its own
	// uncertain means that a page that holds or may hold the job can't be decoded. A job that was found
	// may be over. A job that was not found may have been accepted.
	uncertain bool
}

// Lookup returns the status of a job. found is false if the id was never accepted. It returns an
// UnreadableError if a damaged record makes it impossible to tell whether the id was accepted or how the
// job ended.
func (s *Store) Lookup(ctx context.Context, id string) (status JobStatus, found bool, err error) {
	if status, ok := s.CachedFinal(id); ok {
		return status, true, nil
	}
	if err := s.readBarrier(ctx); err != nil {
		return JobStatus{}, false, err
	}
	status, found = s.activeStatus(id)
	if found && !status.uncertain {
		return status, true, nil
	}
	// A job moves from active to final in one transaction, and never back. A read of the final record
	// after the active one therefore can't miss the job.
	record, over, err := s.readFinal(ctx, id)
	switch {
	case err != nil:
		return JobStatus{}, false, err
	case over:
		return JobStatus{Record: record}, true, nil
	case status.uncertain && !found:
		return JobStatus{}, false, &UnreadableError{Op: opLookup, Job: id, Key: status.pageKey}
	}
	return status, found, nil
}

// activeStatus returns a job's status according to the index. If the job is not found but may be on a
// page that can't be decoded, the status names that page.
func (s *Store) activeStatus(id string) (status JobStatus, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record, ok := s.finals.records[id]; ok {
		return JobStatus{Record: record}, true
	}
	j := s.jobs[id]
	if j == nil {
		key, version := s.unreadablePageOf(id)
		return JobStatus{pageKey: key, uncertain: version != 0}, false
	}
	status = JobStatus{Record: j.record, Version: j.version, pageKey: j.pageKey}
	for _, c := range j.chunks {
		status.DoneTasks += c.done
		status.PlacedTasks += c.placed
	}
	if j.version != 0 {
		status.uncertain = s.unreadablePages[j.pageKey].version != 0
		return status, true
	}
	// The job has placements but no record. Only accepted jobs are placed, so its record may be on a page
	// that can't be decoded. Otherwise the job is over, and its placements have not been removed yet.
	status.Record.Job = wire.Job{ID: id, Tasks: 1}
	status.pageKey, status.Version = s.unreadablePageOf(id)
	status.uncertain = status.Version != 0
	return status, status.uncertain
}

// isKnown reports whether a job has been accepted, as last read. A job that only has placements counts
// as accepted, because only accepted jobs are placed. The caller holds s.mu.
func (s *Store) isKnown(id string) bool {
	if _, ok := s.finals.records[id]; ok {
		return true
	}
	j := s.jobs[id]
	return j != nil && (j.version != 0 || len(j.chunks) > 0)
}

// CachedFinal returns the status of a job whose final record is cached, or false if it is not cached.
// Final records never change, so the status is current.
func (s *Store) CachedFinal(id string) (JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.finals.records[id]
	return JobStatus{Record: record}, ok
}

// maxCachedFinals bounds the number of cached final records. All final records stay in the key-value store.
const maxCachedFinals = 20_000

// finalCache caches final records, and evicts the oldest first. The Store's lock guards it.
type finalCache struct {
	records map[string]JobRecord
	order   []string // ids in order of insertion
}

// add caches a final record. Of the record's Job it keeps only the id and the number of tasks.
func (c *finalCache) add(id string, record JobRecord) {
	if _, ok := c.records[id]; ok {
		return
	}
	if len(c.order) >= maxCachedFinals {
		delete(c.records, c.order[0])
		c.order = c.order[1:]
	}
	record.Job = wire.Job{ID: id, Tasks: record.Job.Tasks}
	c.records[id] = record
	c.order = append(c.order, id)
}

// cacheFinal caches a final record.
func (s *Store) cacheFinal(id string, record JobRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finals.add(id, record)
}
