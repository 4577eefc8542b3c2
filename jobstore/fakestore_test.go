// fakeStore, the key-value store of this package's tests.

package jobstore_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// fakeStore is an in-memory key-value store with a latency of 3 ms. A test can make it apply transactions
// late, lose their responses or refuse them. It is safe for concurrent use.
type fakeStore struct {
	rnd                  *rand.Rand
	maxLatency           time.Duration // upper bound of a random additional latency
	listLatency          time.Duration // additional latency of listing a page of the active records
	lostShare, lateShare float64       // shares of transactions whose response is lost, or that are applied late
	maxDelay             time.Duration // upper bound of how late a transaction is applied

	mu          sync.Mutex
	rev         uint64
	keys        map[string]wire.Entry
	log         []wire.Event
	changes     int // changes of all transactions, including those whose guards failed
	requests    int
	afterChange func() // called after each change
	wg          sync.WaitGroup

	capacityAt time.Time // when the write limiter grants changes again
	conflicts  int       // transactions whose guards failed

	refuse       func(ops []wire.Op) error // if not nil, returns the error with which a transaction is refused, or nil to execute it
	beforeAnswer func(ops []wire.Op)       // called before a transaction's response is returned
}

func newFakeStore(seed uint64) *fakeStore {
	return &fakeStore{rnd: rand.New(rand.NewPCG(seed, 5)), keys: map[string]wire.Entry{}}
}

// pause waits for the latency of a request.
func (s *fakeStore) pause() {
	d := 3 * time.Millisecond
	if s.maxLatency > 0 {
		s.mu.Lock()
		d += time.Duration(s.rnd.Int64N(int64(s.maxLatency)))
		s.mu.Unlock()
	}
	time.Sleep(d)
}

func (s *fakeStore) Get(_ context.Context, key string) (wire.Entry, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	e := s.keys[key]
	e.Revision = s.rev
	return e, nil
}

func (s *fakeStore) ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error) {
	s.pause()
	if prefix == jobstore.ActivePrefix {
		time.Sleep(s.listLatency)
	}
	if ctx.Err() != nil {
		return wire.Listing{}, kvstore.ErrOutcomeUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	var out []wire.Entry
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b wire.Entry) int { return strings.Compare(a.Key, b.Key) })
	return wire.Listing{Items: out[:min(limit, len(out))], More: len(out) > limit, Revision: s.rev}, nil
}

func (s *fakeStore) List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error) {
	all, err := s.ListPage(ctx, prefix, "", 1<<20)
	return all.Items, all.Revision, err
}

func (s *fakeStore) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) (wire.Events, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	ev := wire.Events{Revision: s.rev}
	for _, e := range s.log {
		if e.Version > after && strings.HasPrefix(e.Put+e.Delete, prefix) {
			ev.Log = append(ev.Log, e)
		}
	}
	return ev, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error) {
	s.awaitCapacity()
	s.pause()
	rev, err := s.commit(guards, ops)
	if f := s.beforeAnswer; f != nil && err == nil {
		f(ops)
	}
	return rev, err
}

func (s *fakeStore) commit(guards []wire.Guard, ops []wire.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.refuse != nil {
		if err := s.refuse(ops); err != nil {
			return 0, err
		}
	}
	s.changes += len(ops)
	switch p := s.rnd.Float64(); {
	case p < s.lateShare:
		by := time.Duration(s.rnd.Int64N(int64(s.maxDelay)))
		s.wg.Go(func() {
			time.Sleep(by)
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(guards, ops)
		})
		return 0, kvstore.ErrOutcomeUnknown
	case p < s.lateShare+s.lostShare:
		_, _ = s.apply(guards, ops)
		return 0, kvstore.ErrOutcomeUnknown
	}
	return s.apply(guards, ops)
}

func (s *fakeStore) HasWriteCapacity(int) bool { return true }

func (s *fakeStore) AwaitWriteCapacity(context.Context, int) error {
	s.awaitCapacity()
	return nil
}

func (s *fakeStore) SetWaitingWrites(int) {}

// awaitCapacity waits as long as the write limiter grants nothing.
func (s *fakeStore) awaitCapacity() {
	s.mu.Lock()
	at := s.capacityAt
	s.mu.Unlock()
	time.Sleep(time.Until(at))
}

// withholdCapacity makes the write limiter grant nothing for a time.
func (s *fakeStore) withholdCapacity(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacityAt = time.Now().Add(d)
}

func (s *fakeStore) WriteBurst() int { return 60 }

// apply executes a transaction. The caller holds s.mu.
func (s *fakeStore) apply(guards []wire.Guard, ops []wire.Op) (uint64, error) {
	var failed []string
	for _, g := range guards {
		if s.keys[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		s.conflicts++
		return 0, &kvstore.ConflictError{FailedKeys: failed, Revision: s.rev}
	}
	s.rev++
	for _, op := range ops {
		if op.Delete != "" {
			delete(s.keys, op.Delete)
			s.log = append(s.log, wire.Event{Delete: op.Delete, Version: s.rev})
			continue
		}
		raw, err := wire.Marshal(op.Value)
		if err != nil {
			return 0, err
		}
		s.keys[op.Put] = wire.Entry{Key: op.Put, Value: raw, Version: s.rev}
		s.log = append(s.log, wire.Event{Put: op.Put, Value: raw, Version: s.rev})
	}
	if s.afterChange != nil {
		s.afterChange()
	}
	return s.rev, nil
}

// setRefuse sets refuse while the store is in use.
func (s *fakeStore) setRefuse(refuse func(ops []wire.Op) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
}

// keysOf returns the keys that hold a record of a job. The caller holds s.mu.
func (s *fakeStore) keysOf(id string) []string {
	var out []string
	for k, e := range s.keys {
		if k == jobstore.JobKey(id) || k == jobstore.FinalKey(id) {
			out = append(out, k)
		}
		var page jobstore.JobPage
		if jobstore.IsJobPageKey(k) && wire.Unmarshal(e.Value, &page) == nil {
			for _, j := range page.Entries {
				if j.ID == id {
					out = append(out, k)
				}
			}
		}
	}
	return out
}

// finishJob ends a job as the leader does, and retries after conflicts. done is true if this call ended the
// job, and false if the job was already over or did not exist.
func (s *fakeStore) finishJob(id string) (done bool) {
	for {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		keys := s.keysOf(id)
		if len(keys) != 1 || keys[0] == jobstore.FinalKey(id) {
			s.mu.Unlock()
			return false
		}
		key := keys[0]
		e := s.keys[key]
		s.mu.Unlock()
		rec := jobstore.JobRecord{Job: wire.Job{ID: id}, State: wire.JobDone}
		op := wire.Op{Delete: key}
		if jobstore.IsJobPageKey(key) {
			var page jobstore.JobPage
			_ = wire.Unmarshal(e.Value, &page) // valid, because this store encoded it
			left := page.Without(map[string]bool{id: true})
			op = wire.Op{Put: key, Value: left}
			if len(left.Entries) == 0 && !jobstore.IsHeadPageKey(key) {
				op = wire.Op{Delete: key} // a leader also deletes an empty sealed page
			}
		}
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		_, err := s.apply([]wire.Guard{{Key: key, Version: e.Version}, {Key: jobstore.FinalKey(id)}}, []wire.Op{op, {Put: jobstore.FinalKey(id), Value: rec}})
		s.mu.Unlock()
		if err == nil {
			return true
		}
	}
}

// overwrite writes a key without guards, to simulate damage.
func (s *fakeStore) overwrite(key string, v wire.Raw) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.keys[key] = wire.Entry{Key: key, Value: v, Version: s.rev}
	s.log = append(s.log, wire.Event{Put: key, Value: v, Version: s.rev})
}

// setSchema writes the latest schema, in which jobs share job pages, unless a schema is already stored.
func (s *fakeStore) setSchema(buckets int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.apply([]wire.Guard{{Key: jobstore.SchemaKey}}, []wire.Op{{Put: jobstore.SchemaKey, Value: jobstore.SchemaRecord{Version: jobstore.LatestSchema, Buckets: buckets}}})
}
