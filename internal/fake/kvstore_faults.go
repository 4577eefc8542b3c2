package fake

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/umberdeal/umberdeal/wire"
)

// This file has the faults that scenarios inject into the key-value store: outages,
// limits, delays and damaged records. Transactions whose answers are lost are in
// delayed_transactions.go.

// LimitRequests makes the store refuse requests beyond a rate per second, of all nodes
// together.
func (s *KVStore) LimitRequests(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestLimit = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// LimitWrites makes the store refuse puts and deletes beyond a rate per second.
func (s *KVStore) LimitWrites(rps float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLimit = rate.NewLimiter(rate.Limit(rps), int(rps))
}

// RateLimited is how many requests were refused for being too many.
func (s *KVStore) RateLimited() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateLimited
}

// SetOutage begins or ends an outage; at its end leases have their full time.
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

// RefuseNode answers each request of a node with 503, until AcceptNode.
func (s *KVStore) RefuseNode(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedNodes[node] = true
}

// AcceptNode ends what RefuseNode began.
func (s *KVStore) AcceptNode(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.refusedNodes, node)
}

// SilenceWatches makes watches of a node bring nothing while all else is answered, as
// where their connection hangs, until ResumeWatches.
func (s *KVStore) SilenceWatches(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentWatches[node] = true
}

// ResumeWatches ends what SilenceWatches began.
func (s *KVStore) ResumeWatches(node string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.silentWatches, node)
}

// SetLatency makes every request take that much longer than usual to reach the store.
func (s *KVStore) SetLatency(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = by
}

// DelayReplies makes every answer take that much longer than usual after its request
// was carried out: what it says is as old when it comes.
func (s *KVStore) DelayReplies(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replyDelay = by
}

// DelayRepliesTo does the same for one node alone.
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

// nextTransactionDelay has one transaction applied late, and not answered until then.
type nextTransactionDelay struct {
	by     time.Duration // 0: no transaction is waited for
	prefix string        // of a key that it changes
}

// nextTransactionHold has one transaction applied only when a scenario releases it.
type nextTransactionHold struct {
	release chan struct{} // closed to release it; nil: no transaction is waited for
	prefix  string        // of a key that it changes
}

// DelayNextTransaction leaves the next transaction unanswered and applies it only later.
func (s *KVStore) DelayNextTransaction(by time.Duration) { s.DelayNextTransactionOn("", by) }

// DelayNextTransactionOn does that to the next transaction that changes a key with a prefix.
func (s *KVStore) DelayNextTransactionOn(prefix string, by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayNext = nextTransactionDelay{by, prefix}
}

// HoldNextTransactionOn holds the next transaction that changes a key with a prefix until
// it is released, which a scenario must do at the latest as it ends.
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

// Corrupt makes a key's value something that nobody has written: the bytes given, or a text.
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

// CorruptNested makes a key's value one that can't be read, though all of it still stands
// there: within a list.
func (s *KVStore) CorruptNested(key string) {
	s.corrupted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[key]
	e.Value = append(wire.Raw{0x91}, e.Value...)
	s.entries[key] = e
}

// OverwriteUnreadable writes a key as nobody should: what can't be read has a version of its own,
// which nobody knows.
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
