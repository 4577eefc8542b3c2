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

// KVStore is a key-value store in memory, with the limits of sizes and counts, and
// those of requests and changes a second where a scenario sets them.
type KVStore struct {
	// Set before the store serves requests, and not changed afterwards.
	maxOps          int                              // operations of one transaction
	reportViolation func(format string, args ...any) // nil: rules are not checked

	// corrupted is set once a scenario has made records what nobody wrote: of their jobs
	// only the user knows.
	corrupted atomic.Bool

	mu sync.Mutex // guards all that follows

	revision   uint64
	entries    map[string]wire.Entry
	events     []wire.Event // every change, the newest last
	changed    chan struct{}
	createdAt  map[string]time.Time // when a key that was not there was put
	lastChange map[string]uint64    // the revision of each key's last change, deletions too
	leases     map[uint64]*storeLease
	nextLease  uint64
	operations int // puts and deletes of transactions that were executed or failed by a guard

	requestLimit *rate.Limiter // nil: none
	writeLimit   *rate.Limiter // nil: none
	rateLimited  int           // requests refused for being too many

	outage        bool
	refusedNodes  map[string]bool // nodes that get 503
	silentWatches map[string]bool // nodes whose watches bring nothing
	latency       time.Duration   // that much longer than usual until a request is carried out
	replyDelay    time.Duration   // that much longer than usual from then until it is answered
	replyDelayTo  map[string]time.Duration
	delayNext     nextTransactionDelay
	holdNext      nextTransactionHold
	delays        transactionDelays
}

// NewKVStore makes an empty store whose transactions have maxOps operations at most.
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

// Keys lists the keys with a prefix.
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

// JobKeys lists the keys that say something of unfinished jobs: heads of buckets
// stay when they are empty.
func (s *KVStore) JobKeys() []string {
	return slices.DeleteFunc(s.Keys(jobstore.ActivePrefix), func(k string) bool {
		var page jobstore.JobPage
		return k == jobstore.SchemaKey || jobstore.IsHeadPageKey(k) && wire.Unmarshal(s.Value(k), &page) == nil && len(page.Entries) == 0
	})
}

// Versions returns the keys with a prefix, each with the version of its last change.
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

// Value is what a key holds.
func (s *KVStore) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key].Value
}

// CreatedAt is when a key that was not there was last put; zero: never.
func (s *KVStore) CreatedAt(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.createdAt[key]
}

// Changes counts the puts and deletes that were requested, also those of transactions that
// failed by a guard. Those of malformed and rate-limited transactions do not count.
func (s *KVStore) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.operations
}

// Clear removes all entries. The revision, leases and past events stay, and watches are not
// told.
func (s *KVStore) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// wakeWatches lets the open watches look for new events; the lock is held.
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

// serve carries a request out, unless it is refused.
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

// route carries a request out by its path; the lock is held.
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

// serveGet answers with one entry; the lock is held.
func (s *KVStore) serveGet(w http.ResponseWriter, key string) {
	if e, ok := s.entries[key]; ok {
		reply(w, http.StatusOK, e)
		return
	}
	reply(w, http.StatusNotFound, map[string]any{"registre": s.revision})
}

const (
	// maxListingBytes is about the most that an answer to a listing holds, in bytes.
	maxListingBytes = 512 << 10
	// entryOverhead is about what an entry takes in a listing besides key and value, in bytes.
	entryOverhead = 40
)

// serveList answers with a page of entries in the order of their keys; the lock is held.
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
		if size += len(k) + len(s.entries[k].Value) + entryOverhead; size > maxListingBytes {
			listing.More = true
			break
		}
		listing.Items = append(listing.Items, s.entries[k])
	}
	reply(w, http.StatusOK, listing)
}

// serveWatch answers with the changes after a revision as soon as there are any, or when
// the time for which the request may block is over. During an outage, and for a node that
// is refused, watches stay open and silent. The lock is held, but not while it waits.
func (s *KVStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
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

// eventsAfter lists the changes of keys with a prefix after a revision; the lock is held.
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
