package fake

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// transactionDelays is what becomes of transactions whose answers are lost. The store's lock
// guards it.
type transactionDelays struct {
	late, lost float64 // shares
	rnd        *rand.Rand
	unanswered int // so many were not answered
	carriedOut int // and so many of them have been gone through by now

	leases     float64 // the share of requests about leases
	leasesLate int     // of these, so many were carried out late
	leasesPast int     // and so many while the leader held another lease

	waiting int                           // late ones that are still to come
	begun   int                           // late ones so far, come or not
	arrived int                           // transactions that have come, ever
	applied map[string]transactionArrival // the newest of each node that has changed something
	passed  OvertakenTransactions
}

// transactionArrival is when a transaction came, among all, and whose it is.
type transactionArrival struct {
	n     int
	node  string
	token uint64 // of the term that it is of: 0 if it is no leader's
}

// OvertakenTransactions counts transactions that were carried out after newer ones of the same
// node.
type OvertakenTransactions struct {
	ByNode  int // by any of the node's
	InTerm  int // by one of the same term, while that lasted: the token does not stop them
	Refused int // so many of these failed, by another condition
	Older   int // so many would have changed a key back
	Stale   int // of a leader whose term was over, overtaken by whomever
}

// arrive notes that a transaction has come.
func (l *transactionDelays) arrive(node string, token uint64) transactionArrival {
	l.arrived++
	return transactionArrival{l.arrived, node, token}
}

// overtaken counts a late transaction that is about to be carried out, or refused.
func (l *transactionDelays) overtaken(a transactionArrival, leader uint64, refused, older bool) {
	if a.token != 0 && a.token != leader {
		l.passed.Stale++
	}
	newest, ok := l.applied[a.node]
	if !ok || newest.n < a.n {
		return
	}
	l.passed.ByNode++
	if a.token == 0 || a.token != leader || newest.token != a.token {
		return
	}
	l.passed.InTerm++
	if refused {
		l.passed.Refused++
	}
	if older {
		l.passed.Older++
	}
}

// OvertakenTransactions counts the transactions that were overtaken so far.
func (s *KVStore) OvertakenTransactions() OvertakenTransactions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.passed
}

// holdUp keeps a transaction while wait lasts; the lock is held before and after, not
// meanwhile.
func (s *KVStore) holdUp(wait func()) {
	s.lagging.waiting++
	s.lagging.begun++
	s.mu.Unlock()
	wait()
	s.mu.Lock()
	s.lagging.waiting--
	s.expire()
}

// DelayedTransactions is how many transactions have been held up so far, come or not.
func (s *KVStore) DelayedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.begun
}

// PendingTransactions is how many late transactions are still to be carried out.
func (s *KVStore) PendingTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.waiting
}

// termOf is the term that a transaction is of, which has just come: that of its
// condition, or, where it changes what leaders alone write and has none, that which
// lasts. 0: it is no leader's.
func (s *KVStore) termOf(t *txn, node string) uint64 {
	for _, g := range t.If {
		if g.Key == election.LeaderKey {
			return g.Version
		}
	}
	if strings.HasPrefix(node, "n-") && slices.ContainsFunc(t.keys(), leadersAlone) {
		return s.keys[election.LeaderKey].Version
	}
	return 0
}

// keys lists what a transaction changes.
func (t *txn) keys() (out []string) {
	for _, op := range t.Then {
		out = append(out, op.Put+op.Delete)
	}
	return out
}

// leadersAlone says whether a key is written by leaders alone.
func leadersAlone(key string) bool {
	_, page := jobstore.ParsePlacementPageKey(key)
	return page || strings.HasPrefix(key, jobstore.RebalanceCyclePrefix) || strings.HasPrefix(key, jobstore.ScaleOutPrefix) || key == jobstore.ScaleInKey
}

// changes says whether a transaction changes a key that begins so.
func (t *txn) changes(prefix string) bool {
	return slices.ContainsFunc(t.keys(), func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// older names a key that a late transaction would change back: it was changed since
// that came, to something else. What a lease keeps goes with that.
func (s *KVStore) older(t *txn, seen uint64) string {
	for _, op := range t.Then {
		key := op.Put + op.Delete
		if s.last[key] > seen && op.Lease == 0 && (op.Delete != "" || !bytes.Equal(op.Value, s.keys[key].Value)) {
			return key
		}
	}
	return ""
}

// checkLeader sees to it that what leaders alone write is changed in the term that the
// change is of, by the node that leads, and by no other, however late it comes.
func (s *KVStore) checkLeader(t *txn, came transactionArrival) {
	if s.breaks == nil || !strings.HasPrefix(came.node, "n-") {
		return // a scenario's own, or a snapshot's
	}
	var rec struct {
		Node string `msgpack:"node"`
	}
	e, ok := s.keys[election.LeaderKey]
	if ok && wire.Unmarshal(e.Value, &rec) == nil && rec.Node == came.node && e.Version == came.token {
		return
	}
	for _, key := range t.keys() {
		if leadersAlone(key) {
			s.breaks("%s changes %s of term %d while %q leads in term %d", came.node, key, came.token, rec.Node, e.Version)
		}
	}
}

// draw says whether a transaction with so many changes is left without an answer, and
// how long after its request it is carried out.
func (l *transactionDelays) draw(changes int) (by time.Duration, unanswered bool) {
	if changes == 0 || l.late+l.lost == 0 {
		return 0, false
	}
	x := l.rnd.Float64()
	switch {
	case x < l.late:
		by = 2*time.Second + time.Duration(l.rnd.Int64N(int64(10*time.Second)))
	case x >= l.late+l.lost:
		return 0, false
	}
	l.unanswered++
	return by, true
}

// drawLease says whether a request about a lease is left without an answer, and how
// long after it came it is carried out.
func (l *transactionDelays) drawLease(path string) (by time.Duration, unanswered bool) {
	if l.leases == 0 || !strings.HasPrefix(path, "/holds") || l.rnd.Float64() >= l.leases {
		return 0, false
	}
	return 2*time.Second + time.Duration(l.rnd.Int64N(int64(10*time.Second))), true
}

// DelayLeaseRequests leaves a share of the requests that take, renew or end leases without an
// answer, and carries them out 2 s to 12 s later; 0 ends that.
func (s *KVStore) DelayLeaseRequests(share float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging.leases = share
	s.lagging.rnd = rand.New(rand.NewPCG(seed, 17))
}

// leaseCame counts a late request about a lease that is being carried out, and sees to
// it that the lease is not that of a term which began after the request had come.
func (s *KVStore) leaseCame(path string, seen uint64) {
	s.lagging.leasesLate++
	id := strings.TrimSuffix(strings.TrimPrefix(path, "/holds/"), "/touch")
	n, err := strconv.ParseUint(id, 10, 64)
	e := s.keys[election.LeaderKey]
	if err != nil || e.Lease == 0 {
		return
	}
	if n != e.Lease {
		s.lagging.leasesPast++
	} else if e.Version > seen && s.breaks != nil {
		s.breaks("what was asked of lease %d before term %d began is done to that term's", n, e.Version)
	}
}

// DelayedLeaseRequests is how many requests about leases were carried out late, and how many of
// them, to renew or to end one, while the leader held another.
func (s *KVStore) DelayedLeaseRequests() (all, past int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.leasesLate, s.lagging.leasesPast
}

// discardedReply is an answer that nobody gets.
type discardedReply struct{ http.ResponseWriter }

func (discardedReply) Write(b []byte) (int, error) { return len(b), nil }
func (discardedReply) WriteHeader(int)             {}

// DropReplies leaves shares of the transactions that change something without an
// answer: those late are carried out 2 s to 12 s later, after newer ones of the same
// node, and the others at once, so that all but their sender know of them. Zeros end it.
func (s *KVStore) DropReplies(late, atOnce float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging.late, s.lagging.lost = late, atOnce
	s.lagging.rnd = rand.New(rand.NewPCG(seed, 17))
}

// UnansweredTransactions is how many transactions were left without an answer, and how many of
// them have been gone through by now.
func (s *KVStore) UnansweredTransactions() (sent, carriedOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lagging.unanswered, s.lagging.carriedOut
}
