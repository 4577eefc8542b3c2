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

	pageKey string // the job page that holds the record; "": a key of its own
	// uncertain means that a page that holds the job, or might, can't be decoded. The job may be over
	// although it was found, or accepted although it was not found.
	uncertain bool
}

// Lookup returns the status of a job. found is false if the id was never accepted. If a damaged record
// leaves open whether it was, or how the job ended, it returns an UnreadableError.
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
	// A job moves from active to final in one transaction and never back, so reading the final record
	// after the active one can't miss it.
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
	// Only accepted jobs are placed: if it has placements but no record, its record may be on a page that
	// can't be decoded. Otherwise the job is over, and its placements are yet to be removed.
	status.Record.Job = wire.Job{ID: id, Tasks: 1}
	status.pageKey, status.Version = s.unreadablePageOf(id)
	status.uncertain = status.Version != 0
	return status, status.uncertain
}

// isKnown reports whether a job has been accepted, as last read. Placements alone show it as well, since
// only accepted jobs are placed. The caller holds s.mu.
func (s *Store) isKnown(id string) bool {
	if _, ok := s.finals.records[id]; ok {
		return true
	}
	j := s.jobs[id]
	return j != nil && (j.version != 0 || len(j.chunks) > 0)
}

// CachedFinal returns the status of a job whose final record is cached. Final records never change, so
// the answer is current without a read.
func (s *Store) CachedFinal(id string) (JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.finals.records[id]
	return JobStatus{Record: record}, ok
}

// maxCachedFinals bounds the cache of final records, all of which stay in the key-value store.
const maxCachedFinals = 20_000

// finalCache caches final records, and evicts the oldest first. A Store's lock guards it.
type finalCache struct {
	records map[string]JobRecord
	order   []string // ids in order of insertion
}

// add caches a final record. Of the job itself it keeps only the id and the number of tasks.
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
