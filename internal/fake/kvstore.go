// The key-value store: its state, its limits, reads, listings and watches.

package fake

import (
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// KVStore is an in-memory key-value store that serves the protocol of the real one over HTTP. It
// enforces the limits of sizes and counts, and the limits of requests and changes per second that
// a scenario sets. It is safe for concurrent use.
type KVStore struct {
	// Set before the store serves requests and constant from then on.
	maxOps          int                              // operations per transaction
	reportViolation func(format string, args ...any) // nil: rules are not checked

	// corrupted is set once a scenario has damaged records. The jobs in these records may be
	// lost, and only their users still know them.
	corrupted atomic.Bool

	mu sync.Mutex // guards the fields below

	revision   uint64
	entries    map[string]wire.Entry // by key
	events     []wire.Event          // changes after compacted, oldest first
	compacted  uint64                // revision up to which the changes are discarded
	goneCount  int                   // watches refused because they start before compacted
	changed    chan struct{}         // closed, and replaced, at each change
	createdAt  map[string]time.Time  // when a key was last put while it was absent
	lastChange map[string]uint64     // the revision of each key's last change, deletions included
	leases     map[uint64]*storeLease
	nextLease  uint64
	operations int // puts and deletes in transactions that were executed or failed by a guard

	requestLimit *rate.Limiter // nil: no limit
	writeLimit   *rate.Limiter // nil: no limit
	rateLimited  int           // requests refused by requestLimit

	outage        bool
	refusedNodes  map[string]bool          // controllers whose requests get status 503
	silentWatches map[string]bool          // controllers whose watches get no events
	latency       time.Duration            // added to usualLatency before a request is executed
	reject        func([]Change) bool      // which transactions get status 400; nil: those that exceed the limits
	rejections    int                      // transactions that got status 400
	replyDelay    time.Duration            // between the execution of a request and its answer
	replyDelayTo  map[string]time.Duration // added to replyDelay, by sender
	delayNext     nextTransactionDelay
	holdNext      nextTransactionHold
	delays        transactionDelays
}

// NewKVStore returns an empty store whose transactions may have up to maxOps operations.
func NewKVStore(maxOps int) *KVStore {
	return &KVStore{
		maxOps:        maxOps,
		entries:       map[string]wire.Entry{},
		changed:       make(chan struct{}),
		createdAt:     map[string]time.Time{},
		lastChange:    map[string]uint64{},
		leases:        map[uint64]*storeLease{},
		nextLease:     1,
		refusedNodes:  map[string]bool{},
		silentWatches: map[string]bool{},
		replyDelayTo:  map[string]time.Duration{},
		delays:        transactionDelays{applied: map[string]transactionArrival{}},
	}
}

// Keys returns the sorted keys with a prefix.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	var out []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// JobKeys returns the sorted keys that hold records of unfinished jobs. It leaves out the schema
// key and empty head pages of buckets, which exist without any job.
func (s *KVStore) JobKeys() []string {
	return slices.DeleteFunc(s.Keys(jobstore.ActivePrefix), func(key string) bool {
		var page jobstore.JobPage
		return key == jobstore.SchemaKey || jobstore.IsHeadPageKey(key) && wire.Unmarshal(s.Value(key), &page) == nil && len(page.Entries) == 0
	})
}

// Versions returns the version of the last change by key, for the keys with a prefix.
func (s *KVStore) Versions(prefix string) map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]uint64{}
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			out[k] = e.Version
		}
	}
	return out
}

// Value returns the value of a key, or nil if the key is absent.
func (s *KVStore) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Value
}

// CreatedAt returns when a key was last put while it was absent, or the zero time if that never
// happened.
func (s *KVStore) CreatedAt(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.createdAt[key]
}

// Changes returns the number of requested puts and deletes. It includes transactions that failed
// by a guard, and leaves out malformed and rate-limited ones.
func (s *KVStore) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operations
}

// Clear removes all entries, without events for watches. The revision, the leases and past events
// stay.
func (s *KVStore) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// wakeWatches makes the open watches look for new events. The caller holds the lock.
func (s *KVStore) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// usualLatency is how long a request takes to reach the store.
const usualLatency = 4 * time.Millisecond

// ServeHTTP implements the store's protocol.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	latency, replyDelay := s.latency, s.replyDelay+s.replyDelayTo[senderOf(r)]
	s.mu.Unlock()
	time.Sleep(usualLatency + latency)
	if replyDelay == 0 {
		s.serve(w, r, body)
		return
	}
	delayed := &delayedReply{ResponseWriter: w}
	s.serve(delayed, r, body)
	time.Sleep(replyDelay)
	delayed.send()
}

// serve executes a request, unless a fault or a limit refuses it.
func (s *KVStore) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refusedNodes[senderOf(r)] {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	if s.requestLimit != nil && !s.requestLimit.Allow() {
		s.rateLimited++
		reply(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
		return
	}
	if by, unanswered := s.delays.drawLeaseRequest(r.URL.Path); unanswered {
		s.delayLeaseRequest(r.URL.Path, by)
		w = discardedReply{w}
	}
	s.expireLeases()
	s.route(w, r, body)
}

// route executes a request by its path. The caller holds the lock.
func (s *KVStore) route(w http.ResponseWriter, r *http.Request, body []byte) {
	path := r.URL.Path
	switch {
	case strings.HasPrefix(path, "/kv/"):
		s.serveGet(w, strings.TrimPrefix(path, "/kv/"))
	case path == "/kv":
		s.serveList(w, r)
	case path == "/commit":
		s.serveCommit(w, r, body)
	case path == "/follow":
		s.serveWatch(w, r)
	case path == "/holds":
		s.serveNewLease(w, body)
	case strings.HasPrefix(path, "/holds/"):
		s.serveLease(w, r)
	default:
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
}

// serveGet answers with one entry. The caller holds the lock.
func (s *KVStore) serveGet(w http.ResponseWriter, key string) {
	if e, ok := s.entries[key]; ok {
		reply(w, http.StatusOK, e)
		return
	}
	reply(w, http.StatusNotFound, map[string]any{"registre": s.revision})
}

const (
	// maxListingBytes is the approximate size limit of a page of entries.
	maxListingBytes = 512 << 10
	// entryOverheadBytes is the approximate size of an entry without its key and value.
	entryOverheadBytes = 40
)

// serveList answers with a page of entries in the order of their keys. The caller holds the lock.
func (s *KVStore) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	listing := wire.Listing{Revision: s.revision}
	if page > 0 && len(keys) > page {
		keys, listing.More = keys[:page], true
	}
	size := 0
	for _, k := range keys {
		if size += len(k) + len(s.entries[k].Value) + entryOverheadBytes; size > maxListingBytes {
			listing.More = true
			break
		}
		listing.Items = append(listing.Items, s.entries[k])
	}
	reply(w, http.StatusOK, listing)
}

// serveWatch answers with the changes after a revision as soon as there are any, or when the
// request's blocking time is over. A watch that is open when an outage or the refusal of its
// controller begins gets no answer until that ends. The caller holds the lock, which is released
// while serveWatch waits.
func (s *KVStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	if after < s.compacted {
		s.goneCount++
		reply(w, http.StatusGone, wire.Error{Error: "gone"})
		return
	}
	for {
		s.expireLeases()
		events := wire.Events{Revision: s.revision, Log: s.eventsAfter(after, q.Get("prefix"))}
		silent := s.outage || s.refusedNodes[senderOf(r)] || block > 0 && s.silentWatches[senderOf(r)]
		left := time.Until(end)
		if !silent && (len(events.Log) > 0 || left <= 0) {
			reply(w, http.StatusOK, events)
			return
		}
		wait := 100 * time.Millisecond
		if !silent {
			wait = min(wait, left)
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

// eventsAfter returns the changes of keys with a prefix after a revision. The caller holds the
// lock.
func (s *KVStore) eventsAfter(revision uint64, prefix string) []wire.Event {
	var out []wire.Event
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > revision })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Put+e.Delete, prefix) {
			out = append(out, e)
		}
	}
	return out
}

// reply answers a request with a value in the protocol's encoding.
func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
