package jobstore

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Reservation marks a job whose tasks are given a place first and launched when its owner asks for it,
// each once: a task whose attempt has ended in whatever way is over. API front ends use it whose
// clients choose what to run once they know where.
type Reservation struct {
	Owner         string      `msgpack:"o"`           // key of the owning application's record
	Tag           string      `msgpack:"t,omitempty"` // the front end's own
	LaunchRanges  TaskRanges  `msgpack:"g,omitempty"` // tasks that may be launched
	ReleaseRanges TaskRanges  `msgpack:"d,omitempty"` // tasks that are given back
	OnlyMachines  []string    `msgpack:"n,omitempty"` // the only machines, if any are named
	AvoidMachines []string    `msgpack:"v,omitempty"` // machines to stay away from
	SharedKeys    []SharedKey `msgpack:"x,omitempty"` // what several tasks share, for the front end
}

// SharedKey leads from tasks to a key of their front end's.
type SharedKey struct {
	Key        string     `msgpack:"k"`
	TaskRanges TaskRanges `msgpack:"t"`
}

// SharedKeyOf finds the key that a task shares with others.
func (r *Reservation) SharedKeyOf(task int) (string, bool) {
	for _, k := range r.SharedKeys {
		if k.TaskRanges.Contains(task) {
			return k.Key, true
		}
	}
	return "", false
}

// ReservedJob is a reserved job as its front end sees it.
type ReservedJob struct {
	ID         string
	Record     JobRecord
	Version    uint64 // 0 once the job is over
	Placements map[int]Placement
	Stopping   map[int]bool // placed, and told to stop
	Outcomes   map[int]TaskOutcome
}

// AppRecord is an API front end's record of an application, as last read.
type AppRecord struct {
	Key     string
	Value   wire.Raw
	Version uint64 // 0: there is none
}

// errReservationsNotTracked means that TrackReservations was not called.
var errReservationsNotTracked = errors.New("jobstore: reservations are not tracked")

// TrackReservations has a store keep what front ends with reserved jobs need. It must be called before
// Run.
func (s *Store) TrackReservations() {
	s.apps = &appIndex{}
	s.apps.reset()
}

// OwnedJobs reads an application's record and the reserved jobs that belong to it, all as of one moment
// after the call.
func (s *Store) OwnedJobs(ctx context.Context, owner string) (AppRecord, []ReservedJob, error) {
	if s.apps == nil {
		return AppRecord{}, nil, errReservationsNotTracked
	}
	if err := s.readBarrier(ctx); err != nil {
		return AppRecord{}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var jobs []ReservedJob
	for id := range s.apps.jobsByOwner[owner] {
		if j := s.jobs[id]; j != nil && j.version != 0 {
			jobs = append(jobs, s.apps.reservedJob(id, j))
		}
	}
	slices.SortFunc(jobs, func(a, b ReservedJob) int { return compareIDs(a.ID, b.ID) })
	return s.apps.apps[owner], jobs, nil
}

// compareIDs orders ids that end in numbers by these.
func compareIDs(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
}

// FinishedReservation reads a reserved job that is over, and how each task ended; found is false where
// there is none.
func (s *Store) FinishedReservation(ctx context.Context, id string) (job ReservedJob, found bool, err error) {
	e, err := s.kv.Get(ctx, FinalKey(id))
	if err != nil || e.Version == 0 {
		return ReservedJob{}, false, err
	}
	job = ReservedJob{ID: id}
	if err := wire.Unmarshal(e.Value, &job.Record); err != nil {
		return ReservedJob{}, false, fmt.Errorf("decode %s: %w", e.Key, err)
	}
	job.Outcomes = maps.Collect(job.Record.Outcomes.All())
	return job, true, nil
}

// CachedApp is an application's record as of the last barrier, which a caller has behind it.
func (s *Store) CachedApp(key string) AppRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.apps == nil {
		return AppRecord{}
	}
	return s.apps.apps[key]
}

// ListApps reads all applications' records, as of a moment after the call.
func (s *Store) ListApps(ctx context.Context) ([]AppRecord, error) {
	if s.apps == nil {
		return nil, errReservationsNotTracked
	}
	if err := s.readBarrier(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.SortedFunc(maps.Values(s.apps.apps), func(a, b AppRecord) int { return compareIDs(a.Key, b.Key) }), nil
}

// Reserve commits a reserved job together with its owner's record, which must still have that version;
// value replaces it. duplicate is true, and nothing is committed, where the id was accepted before.
func (s *Store) Reserve(ctx context.Context, job wire.Job, atMs int64, r Reservation, owner AppRecord, value any) (rev uint64, duplicate bool, err error) {
	guards := []wire.Guard{{Key: JobKey(job.ID)}, {Key: FinalKey(job.ID)}, {Key: owner.Key, Version: owner.Version}}
	ops := []wire.Op{
		{Put: JobKey(job.ID), Value: JobRecord{Job: job, AcceptedAtMs: atMs, Reservation: &r}},
		{Put: owner.Key, Value: value},
	}
	rev, err = s.kv.CompareAndSwap(ctx, guards, ops)
	var conflict *kvstore.ConflictError
	if errors.As(err, &conflict) && !slices.Contains(conflict.FailedKeys, owner.Key) {
		return 0, true, nil
	}
	return rev, false, err
}

// UpdateReservation changes a reserved job's marks, together with more puts; it fails with a
// kvstore.ConflictError where the job has changed since it was read.
func (s *Store) UpdateReservation(ctx context.Context, job *ReservedJob, change func(*Reservation), more ...wire.Op) error {
	if job.Version == 0 || job.Record.Reservation == nil {
		return fmt.Errorf("%w: job %s is over", kvstore.ErrInvalidRequest, job.ID)
	}
	record, reservation := job.Record, *job.Record.Reservation
	change(&reservation)
	record.Reservation = &reservation
	guards := []wire.Guard{{Key: JobKey(job.ID), Version: job.Version}}
	ops := append([]wire.Op{{Put: JobKey(job.ID), Value: record}}, more...)
	rev, err := s.kv.CompareAndSwap(ctx, guards, ops)
	if err != nil {
		return err
	}
	job.Record, job.Version = record, rev
	return nil
}
