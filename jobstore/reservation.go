// Reserved jobs and the applications that own them, as API front ends use them.

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

// Reservation marks a job whose tasks are placed first and launched only when the job's owner requests it.
// Each task has a single attempt. When the attempt has ended in any way, the task is over. API front ends
// (such as YARN's) use reservations because their clients decide what to run after they know the machine.
type Reservation struct {
	Owner         string      `msgpack:"o"`           // key of the owning application's record
	Tag           string      `msgpack:"t,omitempty"` // opaque value of the front end
	LaunchRanges  TaskRanges  `msgpack:"g,omitempty"` // tasks that may be launched
	ReleaseRanges TaskRanges  `msgpack:"d,omitempty"` // tasks that the owner has released
	OnlyMachines  []string    `msgpack:"n,omitempty"` // if not empty, the only machines to use
	AvoidMachines []string    `msgpack:"v,omitempty"` // machines not to use
	SharedKeys    []SharedKey `msgpack:"x,omitempty"` // the front end's keys that several tasks share
}

// SharedKey maps tasks to a key that the front end stores for them.
type SharedKey struct {
	Key        string     `msgpack:"k"`
	TaskRanges TaskRanges `msgpack:"t"`
}

// SharedKeyOf returns the key that a task shares with others, or false if it shares none.
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
	Stopping   map[int]bool // tasks that are placed and have been asked to stop
	Outcomes   map[int]TaskOutcome
}

// AppRecord is an API front end's record of an application, as last read.
type AppRecord struct {
	Key     string
	Value   wire.Raw
	Version uint64 // 0 if there is no record
}

// errReservationsNotTracked means that TrackReservations has not been called.
var errReservationsNotTracked = errors.New("jobstore: reservations are not tracked")

// TrackReservations makes the store index reserved jobs and applications. Only controllers with an API
// front end need this index. It must be called before Run.
func (s *Store) TrackReservations() {
	s.apps = &appIndex{}
	s.apps.reset()
}

// OwnedJobs returns an application's record and its unfinished reserved jobs in the order of their ids,
// all as of one revision that is current at some moment after the call. owner is the key of the
// application's record.
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

// compareIDs orders ids with a common prefix by the number at their end.
func compareIDs(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
}

// FinishedReservation reads the final record of a reserved job, which contains the outcome of each task.
// found is false if there is no final record.
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

// CachedApp returns an application's record as of the last barrier, or a zero AppRecord if there is none.
// Use it after a method that reads a barrier, such as OwnedJobs.
func (s *Store) CachedApp(key string) AppRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.apps == nil {
		return AppRecord{}
	}
	return s.apps.apps[key]
}

// ListApps returns all applications' records in the order of their keys, as of some moment after the call.
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

// Reserve commits a reserved job, and replaces its owner's record by value in the same transaction. It
// returns the transaction's revision. It fails with a kvstore.ConflictError if the owner's record no
// longer has the given version. If the job's id was accepted before, duplicate is true and nothing is
// committed.
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

// UpdateReservation applies change to a job's Reservation, and commits it together with more ops in one
// transaction. It then updates job to match. It fails with a kvstore.ConflictError if the stored job has
// changed since it was read, and with kvstore.ErrInvalidRequest if the job was already over when it was
// read.
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
