// Faults of the key-value store that scenarios inject: outages, limits, delays and damaged
// records. Lost answers to transactions are in delayed_transactions.go.

package fake

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/wire"
)

// LimitRequests makes the store refuse requests beyond a rate per second, summed over all
// senders.
func (s *KVStore) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimit = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// LimitWrites makes the store refuse transactions whose puts and deletes exceed a rate per second.
func (s *KVStore) LimitWrites(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimit = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// RateLimited returns the number of requests refused by the limit of LimitRequests.
func (s *KVStore) RateLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimited
}

// SetOutage begins or ends an outage, in which requests get status 503. No lease expires during
// an outage, and each has its full duration left when the outage ends.
func (s *KVStore) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	s.outage = on
	for _, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
	}
	s.wakeWatches()
}

// RefuseNode makes every request of a controller get status 503 until AcceptNode.
func (s *KVStore) RefuseNode(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedNodes[node] = true
}

// AcceptNode ends the fault of RefuseNode.
func (s *KVStore) AcceptNode(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusedNodes, node)
}

// Change is a change of a key that a transaction requests.
type Change struct {
	Key   string
	Bytes int // size of the new value as JSON; 0 for a deletion
}

// RejectTransactions makes the transactions for which reject returns true get status 400, as if they
// exceeded a limit. reject must not call the store; nil ends the fault.
func (s *KVStore) RejectTransactions(reject func([]Change) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reject = reject
}

// Rejections returns the number of transactions that got status 400.
func (s *KVStore) Rejections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejections
}

// Compact discards all changes so far, as the store does with all but the newest ones. Watches that
// start before get status 410.
func (s *KVStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compacted = nil, s.revision
}

// GoneWatches returns the number of watches that got status 410.
func (s *KVStore) GoneWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.goneCount
}

// SilenceWatches leaves the watches of a controller without an answer until ResumeWatches, like a
// hanging connection. Other requests, and watches that don't block, are answered.
func (s *KVStore) SilenceWatches(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentWatches[node] = true
}

// ResumeWatches ends the fault of SilenceWatches.
func (s *KVStore) ResumeWatches(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silentWatches, node)
}

// SetLatency adds a delay before the execution of every request; 0 ends it.
func (s *KVStore) SetLatency(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = by
}

// DelayReplies adds a delay between the execution of every request and its answer, so that the
// answer is outdated by that time; 0 ends it.
func (s *KVStore) DelayReplies(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyDelay = by
}

// DelayRepliesTo delays the answers to one sender, in addition to DelayReplies.
func (s *KVStore) DelayRepliesTo(node string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyDelayTo[node] = by
}

// delayedReply keeps an answer until it is sent.
type delayedReply struct {
	http.ResponseWriter
	status int
	body   []byte
}

func (d *delayedReply) Write(b []byte) (int, error) {
	d.body = append(d.body, b...)
	return len(b), nil
}

func (d *delayedReply) WriteHeader(status int) { d.status = status }

func (d *delayedReply) send() {
	if d.status != 0 {
		d.ResponseWriter.WriteHeader(d.status)
	}
	_, _ = d.ResponseWriter.Write(d.body)
}

// nextTransactionDelay selects one transaction that is executed and answered late.
type nextTransactionDelay struct {
	by     time.Duration // 0: no transaction is selected
	prefix string        // of a key that the transaction changes
}

// nextTransactionHold selects one transaction that is executed once a scenario releases it.
type nextTransactionHold struct {
	release chan struct{} // closed to release it; nil: no transaction is selected
	prefix  string        // of a key that the transaction changes
}

// DelayNextTransaction delays the execution and the answer of the next transaction that changes
// a key.
func (s *KVStore) DelayNextTransaction(by time.Duration) { s.DelayNextTransactionOn("", by) }

// DelayNextTransactionOn delays the execution and the answer of the next transaction that changes
// a key with a prefix.
func (s *KVStore) DelayNextTransactionOn(prefix string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayNext = nextTransactionDelay{by, prefix}
}

// HoldNextTransactionOn holds the next transaction that changes a key with a prefix until release
// is called. A scenario must call release before it ends; further calls do nothing.
func (s *KVStore) HoldNextTransactionOn(prefix string) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	released := make(chan struct{})
	s.holdNext = nextTransactionHold{released, prefix}
	return sync.OnceFunc(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.holdNext.release == released {
			s.holdNext.release = nil
		}
		close(released)
	})
}

// Corrupt replaces a key's value by the given bytes, or by a MessagePack string if there are
// none. The version stays, and watches get no event.
func (s *KVStore) Corrupt(key string, value ...byte) {
	s.corrupted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Value = wire.Raw{0xa3, 'b', 'a', 'd'}
	if len(value) > 0 {
		e.Value = value
	}
	s.entries[key] = e
}

// CorruptNested wraps a key's value in a MessagePack array of one element, so that readers can't
// decode it though no byte is lost. The version stays, and watches get no event.
func (s *KVStore) CorruptNested(key string) {
	s.corrupted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Value = append(wire.Raw{0x91}, e.Value...)
	s.entries[key] = e
}

// OverwriteUnreadable writes an unreadable value to a key, with a new version that no controller
// knows. Watches get an event.
func (s *KVStore) OverwriteUnreadable(key string) {
	s.corrupted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := s.entries[key]
	e.Value, e.Version = wire.Raw{0x80}, s.revision
	s.entries[key] = e
	s.events = append(s.events, wire.Event{Put: key, Value: e.Value, Version: s.revision})
	s.wakeWatches()
}
