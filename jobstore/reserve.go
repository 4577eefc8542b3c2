package jobstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/bits-and-blooms/bitset"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// AppPrefix is where doors keep records of what their jobs belong to. They lie with
// the jobs, so that one barrier makes both current; the leader passes them over.
const AppPrefix = ActivePrefix + "y/"

// Reservation marks a job whose tasks are given a place first and launched when they
// are asked for, each once: a task whose attempt has ended in whatever way is
// over. Doors use it whose clients choose what to run once they know where.
type Reservation struct {
	Owner         string      `msgpack:"o"`           // key of the door's record
	Tag           string      `msgpack:"t,omitempty"` // the door's own
	LaunchRanges  []int       `msgpack:"g,omitempty"` // ranges of tasks that may be launched
	ReleaseRanges []int       `msgpack:"d,omitempty"` // ranges of tasks that are given back
	OnlyMachines  []string    `msgpack:"n,omitempty"` // the only machines, if any are named
	AvoidMachines []string    `msgpack:"v,omitempty"` // machines to stay away from
	SharedKeys    []SharedKey `msgpack:"x,omitempty"` // what several tasks share, for the door
}

// SharedKey leads from tasks to a key of their door's.
type SharedKey struct {
	Key        string `msgpack:"k"`
	TaskRanges []int  `msgpack:"t"` // ranges
}

// SharedKeyOf finds the key that a task shares with others.
func (r *Reservation) SharedKeyOf(task int) (string, bool) {
	for _, f := range r.SharedKeys {
		for i := 0; i+1 < len(f.TaskRanges); i += 2 {
			if f.TaskRanges[i] <= task && task <= f.TaskRanges[i+1] {
				return f.Key, true
			}
		}
	}
	return "", false
}

// How a reserved task ended.
const (
	OutcomeDone      = iota
	OutcomeFailed    // by itself, with an error
	OutcomeLost      // its machine is gone, or its lease is over
	OutcomePreempted // stopped for other work, a notice or a drain
	OutcomeReleased  // given back
	OutcomeRefused   // its machine did not take it
)

// RangesOf writes a set as first, last, first, last.
func RangesOf(s *bitset.BitSet) []int {
	var out []int
	for i, ok := s.NextSet(0); ok; i, ok = s.NextSet(i + 1) {
		if k := len(out); k > 0 && out[k-1] == int(i)-1 {
			out[k-1] = int(i)
		} else {
			out = append(out, int(i), int(i))
		}
	}
	return out
}

// BitSetOf reads ranges, and leaves out what is not below n.
func BitSetOf(ranges []int, n int) *bitset.BitSet {
	s := bitset.New(uint(max(n, 0)))
	for i := 0; i+1 < len(ranges); i += 2 {
		for t := max(ranges[i], 0); t <= ranges[i+1] && t < n; t++ {
			s.Set(uint(t))
		}
	}
	return s
}

// ReservedJob is a reserved job as a door sees it.
type ReservedJob struct {
	ID         string
	Record     JobRecord
	Version    uint64 // 0 once the job is over
	Placements map[int]Placement
	Stopping   map[int]bool // placed, and told to stop
	Outcomes   map[int]int
}

// AppRecord is a door's record as last read.
type AppRecord struct {
	Key     string
	Value   wire.Raw
	Version uint64
}

// appIndex is what a reader keeps for doors; nil where there are none.
type appIndex struct {
	pageChunks  map[int][]PlacementChunk          // by page, of reserved jobs or unknown ones
	jobsByOwner map[string]map[string]bool        // ids of reserved jobs by owner
	chunksByJob map[string]map[int]PlacementChunk // by job and chunk
	apps        map[string]AppRecord
}

// TrackReservations makes a reader keep what doors need. It is to be called before Run.
func (r *Store) TrackReservations() {
	r.apps = &appIndex{}
	r.apps.reset()
}

func (d *appIndex) reset() {
	if d == nil {
		return
	}
	d.pageChunks, d.jobsByOwner, d.chunksByJob, d.apps = map[int][]PlacementChunk{}, map[string]map[string]bool{}, map[string]map[int]PlacementChunk{}, map[string]AppRecord{}
}

func (d *appIndex) putJob(id string, rec *JobRecord) {
	if d == nil || rec.Reservation == nil {
		return
	}
	set := d.jobsByOwner[rec.Reservation.Owner]
	if set == nil {
		set = map[string]bool{}
		d.jobsByOwner[rec.Reservation.Owner] = set
	}
	set[id] = true
}

func (d *appIndex) dropJob(id string, rec *JobRecord) {
	if d == nil || rec.Reservation == nil {
		return
	}
	delete(d.jobsByOwner[rec.Reservation.Owner], id)
	if len(d.jobsByOwner[rec.Reservation.Owner]) == 0 {
		delete(d.jobsByOwner, rec.Reservation.Owner)
	}
}

func (d *appIndex) setPage(n int, chunks []PlacementChunk) {
	if d == nil {
		return
	}
	for _, c := range d.pageChunks[n] {
		delete(d.chunksByJob[c.Job], c.Chunk)
		if len(d.chunksByJob[c.Job]) == 0 {
			delete(d.chunksByJob, c.Job)
		}
	}
	kept := make([]PlacementChunk, 0, len(chunks))
	for _, c := range chunks {
		if !c.Reserved {
			continue
		}
		kept = append(kept, c)
		if d.chunksByJob[c.Job] == nil {
			d.chunksByJob[c.Job] = map[int]PlacementChunk{}
		}
		d.chunksByJob[c.Job][c.Chunk] = c
	}
	if d.pageChunks[n] = kept; len(kept) == 0 {
		delete(d.pageChunks, n)
	}
}

func (d *appIndex) put(key string, v wire.Raw, version uint64) {
	if d != nil && version >= d.apps[key].Version {
		d.apps[key] = AppRecord{key, v, version}
	}
}

func (d *appIndex) remove(key string, version uint64) {
	if d != nil && d.apps[key].Version <= version {
		delete(d.apps, key)
	}
}

// errReservationsNotTracked says that a reader was made without KeepDetail.
var errReservationsNotTracked = errors.New("ledger: no details are kept")

// OwnedJobs reads a door's record and the reserved jobs that belong to it, all of one
// moment after the call. An entry of version 0 says that there is no record.
func (r *Store) OwnedJobs(ctx context.Context, owner string) (AppRecord, []ReservedJob, error) {
	if r.apps == nil {
		return AppRecord{}, nil, errReservationsNotTracked
	}
	if err := r.readBarrier(ctx); err != nil {
		return AppRecord{}, nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.apps.apps[owner]
	var out []ReservedJob
	for id := range r.apps.jobsByOwner[owner] {
		if j := r.jobs[id]; j != nil && j.version != 0 {
			out = append(out, r.apps.reserved(id, j))
		}
	}
	slices.SortFunc(out, func(a, b ReservedJob) int { return compareIDs(a.ID, b.ID) })
	return e, out, nil
}

func compareIDs(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (d *appIndex) reserved(id string, j *activeJob) ReservedJob {
	v := ReservedJob{ID: id, Record: j.record, Version: j.version, Placements: map[int]Placement{}, Stopping: map[int]bool{}, Outcomes: map[int]int{}}
	for _, c := range d.chunksByJob[id] {
		for _, p := range c.Placements {
			v.Placements[p.Task] = p
		}
		for _, t := range c.Stopping {
			v.Stopping[t] = true
		}
		addOutcomes(v.Outcomes, c.Outcomes)
	}
	return v
}

func addOutcomes(to map[int]int, pairs []int) {
	for i := 0; i+1 < len(pairs); i += 2 {
		to[pairs[i]] = pairs[i+1]
	}
}

// FinishedReservation reads a reserved job that is over: how each task ended. found is false
// where there is none.
func (r *Store) FinishedReservation(ctx context.Context, id string) (ReservedJob, bool, error) {
	e, err := r.kv.Get(ctx, FinalKey(id))
	if err != nil || e.Version == 0 {
		return ReservedJob{}, false, err
	}
	v := ReservedJob{ID: id, Outcomes: map[int]int{}}
	if err := wire.Unmarshal(e.Value, &v.Record); err != nil {
		return ReservedJob{}, false, err
	}
	addOutcomes(v.Outcomes, v.Record.Outcomes)
	return v, true, nil
}

// CachedApp is a door's record as of the last barrier, which a caller has behind it;
// version 0 where there is none.
func (r *Store) CachedApp(key string) AppRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.apps == nil {
		return AppRecord{}
	}
	return r.apps.apps[key]
}

// ListApps reads all records of doors, as of a moment after the call.
func (r *Store) ListApps(ctx context.Context) ([]AppRecord, error) {
	if r.apps == nil {
		return nil, errReservationsNotTracked
	}
	if err := r.readBarrier(ctx); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.apps.apps), func(a, b AppRecord) int { return compareIDs(a.Key, b.Key) }), nil
}

// Reserve commits a reserved job together with its owner's record, which must
// still have that version; value replaces it. Nothing is committed where the id
// is known already (known).
func (r *Store) Reserve(ctx context.Context, j wire.Job, atMs int64, res Reservation, owner AppRecord, value any) (rev uint64, known bool, err error) {
	guards := []wire.Guard{{Key: JobKey(j.ID)}, {Key: FinalKey(j.ID)}, {Key: owner.Key, Version: owner.Version}}
	ops := []wire.Op{{Put: JobKey(j.ID), Value: JobRecord{Job: j, AcceptedAtMs: atMs, Reservation: &res}}, {Put: owner.Key, Value: value}}
	rev, err = r.kv.CompareAndSwap(ctx, guards, ops)
	var c *kvstore.ConflictError
	if errors.As(err, &c) && !slices.Contains(c.FailedKeys, owner.Key) {
		return 0, true, nil
	}
	return rev, false, err
}

// UpdateReservation changes a reserved job's marks, together with more puts; it fails with a
// Conflict where the job has changed since it was read.
func (r *Store) UpdateReservation(ctx context.Context, v *ReservedJob, change func(*Reservation), more ...wire.Op) error {
	if v.Version == 0 || v.Record.Reservation == nil {
		return fmt.Errorf("%w: job %s is over", kvstore.ErrInvalidRequest, v.ID)
	}
	rec := v.Record
	res := *rec.Reservation
	change(&res)
	rec.Reservation = &res
	rev, err := r.kv.CompareAndSwap(ctx, []wire.Guard{{Key: JobKey(v.ID), Version: v.Version}},
		append([]wire.Op{{Put: JobKey(v.ID), Value: rec}}, more...))
	if err != nil {
		return err
	}
	v.Record, v.Version = rec, rev
	return nil
}
