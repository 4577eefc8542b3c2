package jobstore

import (
	"context"

	"github.com/umberdeal/umberdeal/wire"
)

// JobStatus is what a controller knows of a job.
type JobStatus struct {
	Record      JobRecord
	Version     uint64 // of the active record; 0 once the job is over
	DoneTasks   int
	PlacedTasks int

	pageKey string // the job page on which the record stands; "": a key of its own
	// uncertain: a page on which the job stands, or may stand, can't be read. It may be over although
	// it was found, or accepted although it was not.
	uncertain bool
}

// Lookup returns the status of a job; found is false where it was never accepted.
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
	// A job moves from active to final in one transaction and never back, so that reading the final
	// record after the active one misses none.
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

// activeStatus is what the index says of a job. Where it is not found and yet may stand on a page that
// can't be read, the status names that page.
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
	// Only accepted jobs are placed: without a record, it stands on the page that can't be read.
	status.Record.Job = wire.Job{ID: id, Tasks: 1}
	status.pageKey, status.Version = s.unreadablePageOf(id)
	status.uncertain = status.Version != 0
	return status, status.uncertain
}

// isKnown reports whether a job is accepted, as last read; the lock is held. Only accepted jobs are
// placed.
func (s *Store) isKnown(id string) bool {
	if _, ok := s.finals.records[id]; ok {
		return true
	}
	j := s.jobs[id]
	return j != nil && (j.version != 0 || len(j.chunks) > 0)
}

// CachedFinal returns a job that this controller knows to be over, for which nothing need be read.
func (s *Store) CachedFinal(id string) (JobStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, ok := s.finals.records[id]
	return JobStatus{Record: record}, ok
}

// maxCachedFinals bounds the cache of final records; the key-value store keeps them all.
const maxCachedFinals = 20_000

// finalCache remembers how jobs ended, the last ones. A Store's lock guards it.
type finalCache struct {
	records map[string]JobRecord
	order   []string // in which they came
}

// add remembers how a job ended; of the job itself, only its id and size.
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

// cacheFinal remembers how a job ended.
func (s *Store) cacheFinal(id string, record JobRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finals.add(id, record)
}
