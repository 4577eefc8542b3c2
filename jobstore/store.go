// The Store type, its configuration, and the interface to the key-value store.

package jobstore

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// Client is the part of the key-value store's client that this package uses.
type Client interface {
	KeyValueReader
	// ListPage reads up to limit keys that have the prefix and sort after the key named by after. An
	// empty after starts at the first key.
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	// CompareAndSwap applies ops in one transaction if all guards hold, and returns its revision. It
	// returns a kvstore.ConflictError if a guard does not hold.
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	// HasWriteCapacity reports whether n keys can be changed now with no wait for the write limiter.
	HasWriteCapacity(n int) bool
	// WriteBurst returns how many keys the write limiter grants at once at present.
	WriteBurst() int
	// AwaitWriteCapacity blocks until n keys, at most WriteBurst, can be changed with no further wait.
	AwaitWriteCapacity(ctx context.Context, n int) error
	// SetWaitingWrites tells the write limiter how many writes wait.
	SetWaitingWrites(n int)
	// Watch returns the changes after a revision of the keys that have the prefix. It waits up to block
	// for the first change.
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

// KeyValueReader is the part of the key-value store's client that reading the plan needs.
type KeyValueReader interface {
	// Get reads a key. The entry's Version is 0 if the key does not exist.
	Get(ctx context.Context, key string) (wire.Entry, error)
	// List reads all keys that have the prefix, and returns the revision of the listing's first page.
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
}

// Config tunes a Store. The zero value is usable.
type Config struct {
	// Limits are the key-value store's limits on a transaction.
	Limits Limits
	// BarrierInterval returns the minimum time between the starts of two read barriers. Nil: no minimum.
	BarrierInterval func() time.Duration
	// SubmissionTier returns the priority tier of a team and class. If more submissions wait than fit
	// into a transaction, the lowest tier numbers go first. A share of the places goes in order of
	// arrival, so that no tier starves. Nil: in order of arrival.
	SubmissionTier func(team, class string) int
	// FinalReadOrder returns the rank of a waiting read of a job's final record. The smallest rank is
	// served first. Nil: in order of arrival.
	FinalReadOrder func(id string) float64
	// ObserveQueuedWrite is called for each write that has left its bucket's queue, and must not block.
	// Nil: not called.
	ObserveQueuedWrite func(QueuedWrite)
	// CountQueuedWriteRetry is called for each transaction of queued writes that a rate limit refused.
	// The writes return to their bucket's queue. It must not block. Nil: not called.
	CountQueuedWriteRetry func(WriteKind)
	// Log receives an error for each record that can't be decoded. Nil: nothing is logged.
	Log *slog.Logger
}

// Store accepts, looks up and cancels jobs for one controller. It is safe for concurrent use.
//
// Methods that take a context are as current as a direct read of the records, although concurrent
// calls share one read barrier. Only final records, which never change, come from a cache. Methods
// without a context answer from the index as of the last barrier.
type Store struct {
	kv     Client
	config Config

	barrierRequests chan chan error
	partial         listing // an unfinished reload; owned by serveBarriers

	writers sync.WaitGroup // the bucketQueues' writer goroutines; Run waits for them

	mu         sync.Mutex      // guards the fields below
	runContext context.Context // the context of Run; nil before Run is called
	stopped    bool            // Run is ending, so no new writer may start
	index
	finals            finalCache
	finalReads        finalReadQueue // its wake channel needs no lock
	writeQueues       map[int]*bucketQueue
	cancellationTimes cancellationTimes
}

// New returns a store on top of kv. Methods that need a read barrier, such as Accept, Lookup and
// Cancel, return only while Run is running or once their context ends.
func New(kv Client, config Config) *Store {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Store{
		kv: kv, config: config,
		barrierRequests:   make(chan chan error, barrierQueue),
		index:             newIndex(config.Log),
		finals:            finalCache{records: map[string]JobRecord{}},
		finalReads:        finalReadQueue{wake: make(chan struct{}, finalReaders)},
		writeQueues:       map[int]*bucketQueue{},
		cancellationTimes: cancellationTimes{times: map[string]time.Time{}},
	}
}

// Run serves read barriers, lookups and submissions until ctx ends, and returns once every goroutine
// that the store has started has ended.
func (s *Store) Run(ctx context.Context) {
	s.mu.Lock()
	s.runContext = ctx
	s.mu.Unlock()
	defer s.writers.Wait()
	var readers sync.WaitGroup
	defer readers.Wait()
	for range finalReaders {
		readers.Go(func() { s.serveFinalReads(ctx) })
	}
	s.serveBarriers(ctx)
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
}

// Limits returns the key-value store's limits on a transaction, as configured.
func (s *Store) Limits() Limits { return s.config.Limits }

// Schema returns the schema record as last read.
func (s *Store) Schema() SchemaRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schema
}

// TeamAndClass returns the team and the class of an unfinished job, as last read. ok is false if the
// index does not have the job.
func (s *Store) TeamAndClass(id string) (team, class string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.record.Job.Team, j.record.Job.Class, true
}
