package jobstore

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// KeyValueStore is what this package needs of the key-value store.
type KeyValueStore interface {
	KeyValueReader
	// ListPage reads at most limit keys with a prefix that come after a key.
	ListPage(ctx context.Context, prefix, after string, limit int) (wire.Listing, error)
	CompareAndSwap(ctx context.Context, guards []wire.Guard, ops []wire.Op) (uint64, error)
	// HasWriteCapacity reports whether so many changes can be made without waiting.
	HasWriteCapacity(n int) bool
	Watch(ctx context.Context, prefix string, after uint64, block time.Duration) (wire.Events, error)
}

// KeyValueReader is what reading the plan needs of the key-value store.
type KeyValueReader interface {
	Get(ctx context.Context, key string) (wire.Entry, error)
	List(ctx context.Context, prefix string) ([]wire.Entry, uint64, error)
}

// Config tunes a Store. The zero value is usable.
type Config struct {
	// Limits are the key-value store's limits on a transaction.
	Limits Limits
	// BarrierInterval is the least time between the starts of two read barriers. Nil: none.
	BarrierInterval func() time.Duration
	// SubmissionTier is the priority tier of a team's work of a class. Where more submissions wait than
	// a transaction takes, lower tiers go first. Nil: in the order in which they came.
	SubmissionTier func(team, class string) int
	// FinalReadOrder says who is served first while more callers ask for jobs that are over than can be
	// read at once, the smallest first. Nil: in the order in which they came.
	FinalReadOrder func(id string) float64
	// Log is told of records that can't be read. Nil: they are not logged.
	Log *slog.Logger
}

// Store accepts, looks up and cancels jobs for one controller. What it returns is as current as a read
// of the records themselves: calls that come together share one read barrier. Only final records are
// cached beyond it.
type Store struct {
	kv     KeyValueStore
	config Config

	barrierRequests chan chan error
	partial         listing // owned by Run

	writers sync.WaitGroup // the goroutines of bucketQueues, which Run waits for

	mu         sync.Mutex      // guards all that follows
	runContext context.Context // of Run; nil before it
	stopped    bool            // Run is over: no writer starts any more
	index
	finals      finalCache
	finalReads  finalReadQueue // but for its channel, which needs no lock
	writeQueues map[int]*bucketQueue
}

// New makes a store; Run must be running for it to answer.
func New(kv KeyValueStore, config Config) *Store {
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	return &Store{
		kv: kv, config: config,
		barrierRequests: make(chan chan error, barrierQueue),
		index:           newIndex(config.Log),
		finals:          finalCache{records: map[string]JobRecord{}},
		finalReads:      finalReadQueue{wake: make(chan struct{}, finalReaders)},
		writeQueues:     map[int]*bucketQueue{},
	}
}

// Run serves read barriers, lookups and submissions until ctx ends, and returns once every goroutine
// that the store has started is over.
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

// Limits are the key-value store's limits on a transaction, as configured.
func (s *Store) Limits() Limits { return s.config.Limits }

// Schema is the version of the schema as last read.
func (s *Store) Schema() SchemaRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schema
}

// TeamAndClass is the team and the class of an unfinished job, as last read; false if it is not known.
func (s *Store) TeamAndClass(id string) (team, class string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.record.Job.Team, j.record.Job.Class, true
}
