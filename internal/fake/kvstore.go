package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// KVStore is a key-value store in memory, with the limits of sizes and counts, and
// that of changes a second where a scenario sets it.
type KVStore struct {
	mu      sync.Mutex
	rev     uint64
	keys    map[string]wire.Entry
	log     []wire.Event
	leases  map[uint64]*stateLease
	next    uint64
	changed chan struct{}
	outage  bool
	asked   int             // puts and deletes
	refuse  map[string]bool // nodes that get 503
	late    time.Duration   // the next transaction is applied this late
	lateOf  string          // if it puts a key that begins so
	kept    chan struct{}   // the next transaction is applied when this is closed
	keptOf  string          // if it changes a key that begins so
	lagging transactionDelays
	slow    time.Duration            // that much longer than usual until a request is carried out
	held    time.Duration            // that much longer than usual from then until it is answered
	heldTo  map[string]time.Duration // the same, for a node
	hushed  map[string]bool          // nodes whose watches bring nothing
	last    map[string]uint64        // the last change of each key, deletions too
	ops     int
	writes  *rate.Limiter
	reqs    *rate.Limiter
	busy    int // requests refused for being too many
	breaks  func(format string, args ...any)
	born    map[string]time.Time // when a key that was not there was put
	harmed  atomic.Bool          // records were made what nobody wrote: of those jobs only the user knows
}

// LimitRequests makes the service refuse what is more than so many requests a
// second, of all nodes together.
func (s *KVStore) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reqs = rate.NewLimiter(rate.Limit(rps), int(rps))
}

type stateLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKVStore makes an empty state service.
func NewKVStore(txnOps int) *KVStore {
	return &KVStore{keys: map[string]wire.Entry{}, leases: map[uint64]*stateLease{}, next: 1,
		changed: make(chan struct{}), refuse: map[string]bool{}, ops: txnOps, born: map[string]time.Time{},
		heldTo: map[string]time.Duration{}, hushed: map[string]bool{}, last: map[string]uint64{},
		lagging: transactionDelays{applied: map[string]transactionArrival{}}}
}

// SetOutage begins or ends an outage; at its end leases have their full time.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.outage = on
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
	s.wake()
}

// RateLimited is how many requests were refused for being too many.
func (s *KVStore) RateLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy
}

// Refuse makes one node get 503, or ends that.
func (s *KVStore) Refuse(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse[node] = on
}

// DelayNextTransaction leaves the next transaction unanswered and applies it only later.
func (s *KVStore) DelayNextTransaction(by time.Duration) { s.DelayNextTransactionOn("", by) }

// DelayNextTransactionOn does that to the next transaction that changes a key that begins so.
func (s *KVStore) DelayNextTransactionOn(prefix string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late, s.lateOf = by, prefix
}

// HoldNextTransactionOn keeps the next transaction that changes a key that begins so on its way
// until it is let come, which a scenario must do at the latest as it ends.
func (s *KVStore) HoldNextTransactionOn(prefix string) (come func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := make(chan struct{})
	s.kept, s.keptOf = kept, prefix
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.kept == kept {
			s.kept = nil
		}
		close(kept)
	})
}

// DelayReplies makes every answer take that much longer than usual after its request
// was carried out: what it says is as old when it comes.
func (s *KVStore) DelayReplies(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = by
}

// DelayRepliesTo does the same for one node alone.
func (s *KVStore) DelayRepliesTo(node string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldTo[node] = by
}

// SilenceWatches makes watches of a node bring nothing while all else is answered, as
// where their connection hangs, or ends that.
func (s *KVStore) SilenceWatches(node string, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hushed[node] = on
}

// delayedReply keeps an answer until it is sent.
type delayedReply struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (a *delayedReply) Write(b []byte) (int, error) {
	a.body = append(a.body, b...)
	return len(b), nil
}
func (a *delayedReply) WriteHeader(status int) { a.status = status }

// SetLatency makes every answer take that much longer than the usual 4 ms.
func (s *KVStore) SetLatency(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = by
}

// Keys lists the keys with a prefix.
func (s *KVStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var out []string
	for k := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Versions gives the keys that begin so, each with the version of its last change.
func (s *KVStore) Versions(prefix string) map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]uint64{}
	for k, e := range s.keys {
		if strings.HasPrefix(k, prefix) {
			out[k] = e.Version
		}
	}
	return out
}

// Changes counts the puts and deletes that were asked for and not refused.
func (s *KVStore) Changes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// Corrupt makes a key's value something that nobody has written: that, or a text.
func (s *KVStore) Corrupt(key string, value ...byte) {
	s.harmed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	e.Value = wire.Raw{0xa3, 'b', 'a', 'd'}
	if len(value) > 0 {
		e.Value = value
	}
	s.keys[key] = e
}

// OverwriteUnreadable writes a key as nobody should: what can't be read has a version of its own,
// which nobody knows.
func (s *KVStore) OverwriteUnreadable(key string) {
	s.harmed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	e := s.keys[key]
	e.Value, e.Version = wire.Raw{0x80}, s.rev
	s.keys[key] = e
	s.log = append(s.log, wire.Event{Put: key, Value: e.Value, Version: s.rev})
	s.wake()
}

// CorruptNested makes a key's value one that can't be read, though all of it still stands
// there: within a list.
func (s *KVStore) CorruptNested(key string) {
	s.harmed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	e.Value = append(wire.Raw{0x91}, e.Value...)
	s.keys[key] = e
}

// Clear empties the service.
func (s *KVStore) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.keys)
}

// JobKeys lists the keys that say something of unfinished jobs: heads of buckets
// stay when they are empty.
func (s *KVStore) JobKeys() []string {
	return slices.DeleteFunc(s.Keys(jobstore.ActivePrefix), func(k string) bool {
		var page jobstore.JobPage
		return k == jobstore.SchemaKey || jobstore.IsHeadPageKey(k) && wire.Unmarshal(s.Value(k), &page) == nil && len(page.Entries) == 0
	})
}

// CreatedAt is when a key that was not there was last put; zero: never.
func (s *KVStore) CreatedAt(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.born[key]
}

// Value is what a key holds.
func (s *KVStore) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].Value
}

func (s *KVStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *KVStore) expire() {
	if s.outage {
		return
	}
	now := time.Now()
	ids := make([]uint64, 0, len(s.leases))
	for id, l := range s.leases {
		if now.After(l.expires) {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ids[a] < ids[b] })
	for _, id := range ids {
		s.endLease(id)
	}
}

func (s *KVStore) endLease(id uint64) {
	delete(s.leases, id)
	var gone []string
	for k, e := range s.keys {
		if e.Lease == id {
			gone = append(gone, k)
		}
	}
	sort.Strings(gone)
	for _, k := range gone {
		s.rev++
		s.last[k] = s.rev
		delete(s.keys, k)
		s.log = append(s.log, wire.Event{Delete: k, Version: s.rev})
	}
	if len(gone) > 0 {
		s.wake()
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := wire.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP implements the interface.
func (s *KVStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	slow, held := s.slow, s.held+s.heldTo[nodeOf(r)]
	s.mu.Unlock()
	time.Sleep(4*time.Millisecond + slow)
	if held == 0 {
		s.serve(w, r, body)
		return
	}
	a := &delayedReply{ResponseWriter: w}
	s.serve(a, r, body)
	time.Sleep(held)
	if a.status != 0 {
		w.WriteHeader(a.status)
	}
	_, _ = w.Write(a.body)
}

func (s *KVStore) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || s.refuse[nodeOf(r)] {
		reply(w, http.StatusServiceUnavailable, wire.Error{Error: "trouble"})
		return
	}
	if s.reqs != nil && !s.reqs.Allow() {
		s.busy++
		reply(w, http.StatusTooManyRequests, wire.Error{Error: "too many requests"})
		return
	}
	if by, unanswered := s.lagging.drawLease(r.URL.Path); unanswered {
		seen := s.rev
		s.mu.Unlock()
		time.Sleep(by)
		s.mu.Lock()
		s.expire()
		s.leaseCame(r.URL.Path, seen)
		w = discardedReply{w}
	}
	s.expire()
	switch {
	case strings.HasPrefix(r.URL.Path, "/kv/"):
		key := strings.TrimPrefix(r.URL.Path, "/kv/")
		if e, ok := s.keys[key]; ok {
			reply(w, http.StatusOK, e)
			return
		}
		reply(w, http.StatusNotFound, map[string]any{"registre": s.rev})
	case r.URL.Path == "/kv":
		s.list(w, r)
	case r.URL.Path == "/commit":
		s.commit(w, r, body)
	case r.URL.Path == "/follow":
		s.follow(w, r)
	case r.URL.Path == "/holds":
		var q wire.NewLease
		if wire.Unmarshal(body, &q) != nil || q.TTLMs < 100 || q.TTLMs > 600_000 {
			reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
			return
		}
		id := s.next
		s.next++
		ttl := time.Duration(q.TTLMs) * time.Millisecond
		s.leases[id] = &stateLease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, http.StatusOK, wire.LeaseAnswer{Lease: id})
	case strings.HasPrefix(r.URL.Path, "/holds/"):
		id, _ := strconv.ParseUint(strings.TrimSuffix(strings.TrimPrefix(r.URL.Path, "/holds/"), "/touch"), 10, 64)
		l := s.leases[id]
		if l == nil {
			reply(w, http.StatusNotFound, wire.Error{Error: "no such lease"})
			return
		}
		if r.Method == http.MethodDelete {
			s.endLease(id)
		} else {
			l.expires = time.Now().Add(l.ttl)
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
	}
}

func (s *KVStore) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page, _ := strconv.Atoi(q.Get("page"))
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	l := wire.Listing{Revision: s.rev}
	if page > 0 && len(keys) > page {
		keys, l.More = keys[:page], true
	}
	size := 0
	for _, k := range keys {
		if size += len(k) + len(s.keys[k].Value) + 40; size > listingMax {
			l.More = true
			break
		}
		l.Items = append(l.Items, s.keys[k])
	}
	reply(w, http.StatusOK, l)
}

// listingMax is about the most that an answer to a listing holds, in bytes.
const listingMax = 512 << 10

// valueMax is the most that a value may take, as text.
const valueMax = 16 << 10

// jsonSize is how large a body is in the form in which limits are counted.
func jsonSize(body []byte) int {
	var v any
	if msgpack.Unmarshal(body, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 1 << 30
	}
	return len(b)
}

// LimitWrites makes the service refuse more puts and deletes a second.
func (s *KVStore) LimitWrites(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes = rate.NewLimiter(rate.Limit(rps), int(rps))
}

type txn struct {
	If   []wire.Guard `msgpack:"guards"`
	Then []struct {
		Put    string   `msgpack:"set"`
		Value  wire.Raw `msgpack:"v"`
		Lease  uint64   `msgpack:"bail"`
		Delete string   `msgpack:"remove"`
	} `msgpack:"apply"`
}

func (s *KVStore) commit(w http.ResponseWriter, r *http.Request, body []byte) {
	var t txn
	if msgpack.Unmarshal(body, &t) != nil || len(t.Then) > s.ops || len(t.If) > 4*s.ops || jsonSize(body) > wire.MaxBody {
		reply(w, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	for _, op := range t.Then {
		if op.Put != "" && jsonSize(op.Value) > valueMax {
			reply(w, http.StatusBadRequest, wire.Error{Error: "value too large"})
			return
		}
	}
	if n := len(t.Then); n > 0 && s.writes != nil && !s.writes.AllowN(time.Now(), n) {
		reply(w, http.StatusTooManyRequests, wire.Error{Error: "too many changes"})
		return
	}
	came := s.lagging.arrive(nodeOf(r), s.termOf(&t, nodeOf(r)))
	seen, late := s.rev, false
	if s.late > 0 && t.changes(s.lateOf) {
		by := s.late
		s.late, late = 0, true
		s.holdUp(func() { time.Sleep(by) })
	}
	if come := s.kept; come != nil && t.changes(s.keptOf) {
		s.kept, late = nil, true
		s.holdUp(func() { <-come })
	}
	if by, unanswered := s.lagging.draw(len(t.Then)); unanswered {
		if by > 0 {
			late = true
			s.holdUp(func() { time.Sleep(by) })
		}
		defer func() { // after it was carried out
			s.lagging.carriedOut++
			s.mu.Unlock()
			<-r.Context().Done()
			s.mu.Lock()
		}()
		w = discardedReply{w}
	}
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			reply(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
			return
		}
	}
	s.asked += len(t.Then)
	var failed []string
	for _, g := range t.If {
		if s.keys[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if late {
		// Each write is to rest on the version of what it replaces.
		older := s.older(&t, seen)
		if older != "" && len(failed) == 0 && s.breaks != nil {
			s.breaks("a late transaction of %s changes %s back", came.node, older)
		}
		s.lagging.overtaken(came, s.keys[election.LeaderKey].Version, len(failed) > 0, older != "")
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, wire.TxnAnswer{Failed: failed, Revision: s.rev})
		return
	}
	s.checkOrders(&t)
	s.checkEnds(&t)
	s.checkLeader(&t, came)
	if len(t.Then) > 0 {
		s.rev++
		s.lagging.applied[came.node] = came
		for _, op := range t.Then {
			s.last[op.Put+op.Delete] = s.rev
			if op.Delete != "" {
				if _, ok := s.keys[op.Delete]; ok {
					delete(s.keys, op.Delete)
					s.log = append(s.log, wire.Event{Delete: op.Delete, Version: s.rev})
				}
				continue
			}
			if _, ok := s.keys[op.Put]; !ok {
				s.born[op.Put] = time.Now()
			}
			s.keys[op.Put] = wire.Entry{Key: op.Put, Value: op.Value, Version: s.rev, Lease: op.Lease}
			s.log = append(s.log, wire.Event{Put: op.Put, Value: op.Value, Version: s.rev})
		}
		s.wake()
	}
	reply(w, http.StatusOK, wire.TxnAnswer{Revision: s.rev})
}

// checkOrders sees to it that no leader places a task but on condition of the plan
// in force: the condition held, since the transaction is being applied. What is no
// leader's is a snapshot being imported.
func (s *KVStore) checkOrders(t *txn) {
	on := func(key string) bool {
		return slices.ContainsFunc(t.If, func(g wire.Guard) bool { return g.Key == key })
	}
	if s.breaks == nil || !on(election.LeaderKey) || on(jobstore.PlanHeadKey) {
		return
	}
	for _, op := range t.Then {
		if _, ok := jobstore.ParsePlacementPageKey(op.Put); !ok {
			continue
		}
		var was, is jobstore.PlacementPage
		if wire.Unmarshal(op.Value, &is) != nil {
			s.breaks("unreadable page %s", op.Put)
			continue
		}
		if e, ok := s.keys[op.Put]; ok && wire.Unmarshal(e.Value, &was) != nil {
			continue // a scenario has damaged it
		}
		there := map[string]bool{}
		name := func(job string, p jobstore.Placement) string { return fmt.Sprint(job, p.Task, p.Attempt, p.Machine) }
		for _, c := range was.Chunks {
			for _, p := range c.Placements {
				there[name(c.Job, p)] = true
			}
		}
		for _, c := range is.Chunks {
			for _, p := range c.Placements {
				if !there[name(c.Job, p)] {
					s.breaks("%s/%d is placed on no condition of the plan", c.Job, p.Task)
				}
			}
		}
	}
}

func (s *KVStore) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	block, _ := strconv.Atoi(q.Get("blockMs"))
	end := time.Now().Add(time.Duration(block) * time.Millisecond)
	for {
		s.expire()
		ev := wire.Events{Revision: s.rev}
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, e := range s.log[i:] {
			if strings.HasPrefix(e.Put+e.Delete, q.Get("prefix")) {
				ev.Log = append(ev.Log, e)
			}
		}
		// During an outage, and for a node that is refused, watches stay open
		// and silent.
		silent := s.outage || s.refuse[nodeOf(r)] || block > 0 && s.hushed[nodeOf(r)]
		left := time.Until(end)
		if !silent && (len(ev.Log) > 0 || left <= 0) {
			reply(w, http.StatusOK, ev)
			return
		}
		wait := 100 * time.Millisecond
		if !silent {
			wait = min(wait, left)
		}
		ch := s.changed
		s.mu.Unlock()
		select {
		case <-ch:
		case <-time.After(max(wait, time.Millisecond)):
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}
