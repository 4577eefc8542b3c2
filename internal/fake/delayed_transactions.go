package fake

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/election"
)

// This file has the fault in which the key-value store's answers are lost, and its
// requests are carried out late, after newer ones of the same node. It checks that late
// transactions change nothing back.

// How late a request that is held up is carried out.
const (
	minTransactionDelay = 2 * time.Second
	maxTransactionDelay = 12 * time.Second
)

// transactionDelays is what becomes of transactions whose answers are lost. The store's
// lock guards it.
type transactionDelays struct {
	lateShare      float64 // of the transactions that change something: carried out late
	lostReplyShare float64 // and carried out at once, but not answered
	leaseShare     float64 // of the requests about leases: carried out late
	random         *rand.Rand

	unanswered        int // transactions that were not answered
	carriedOut        int // those of them that have been carried out, or refused, by now
	leasesLate        int // requests about leases that were carried out late
	leasesOfOtherTerm int // those of them that came while the leader held another lease

	waiting   int                           // late transactions that are still to come
	delayed   int                           // late transactions so far, come or not
	arrived   int                           // transactions that have come, ever
	applied   map[string]transactionArrival // the newest of each node that has changed something
	overtaken OvertakenTransactions
}

// transactionArrival is when a transaction came, and whose it is.
type transactionArrival struct {
	order    int // among all transactions
	node     string
	token    uint64 // the fencing token of the leadership that it is of: 0 if it is no leader's
	revision uint64 // the store's when it came
	late     bool   // it is carried out later than it came
}

// OvertakenTransactions counts transactions that were carried out after newer ones of the same
// node.
type OvertakenTransactions struct {
	ByNode  int // by any of the node's
	InTerm  int // by one of the same leadership, while that lasted: the token does not stop them
	Refused int // of these, failed by another guard
	Older   int // of these, would have changed a key back
	Stale   int // of a leader whose leadership was over, overtaken by whomever
}

// isNode reports whether a host is a controller, by its name.
func isNode(host string) bool { return strings.HasPrefix(host, "n-") }

// noteArrival records that a transaction has come; the lock is held.
func (s *KVStore) noteArrival(t *transaction, node string) transactionArrival {
	s.delays.arrived++
	return transactionArrival{order: s.delays.arrived, node: node, token: s.tokenOf(t, node), revision: s.revision}
}

// tokenOf is the fencing token of the leadership that a transaction is of, which has just
// come: that of its guard, or, where it changes what leaders alone write and has none,
// the present leader's. 0: it is no leader's.
func (s *KVStore) tokenOf(t *transaction, node string) uint64 {
	for _, g := range t.If {
		if g.Key == election.LeaderKey {
			return g.Version
		}
	}
	if isNode(node) && slices.ContainsFunc(t.keys(), writtenByLeadersOnly) {
		return s.leaderToken()
	}
	return 0
}

// delayIfNext holds a transaction up if it is the one that a scenario wants delayed.
func (s *KVStore) delayIfNext(t *transaction, arrival *transactionArrival) {
	if by := s.delayNext.by; by > 0 && t.changes(s.delayNext.prefix) {
		s.delayNext.by = 0
		s.holdUp(arrival, func() { time.Sleep(by) })
	}
}

// holdIfNext holds a transaction up until a scenario releases it, if it is the one wanted.
func (s *KVStore) holdIfNext(t *transaction, arrival *transactionArrival) {
	if released := s.holdNext.release; released != nil && t.changes(s.holdNext.prefix) {
		s.holdNext.release = nil
		s.holdUp(arrival, func() { <-released })
	}
}

// holdUp keeps a transaction while wait lasts; the lock is held before and after, not
// meanwhile.
func (s *KVStore) holdUp(arrival *transactionArrival, wait func()) {
	arrival.late = true
	s.delays.waiting++
	s.delays.delayed++
	s.mu.Unlock()
	wait()
	s.mu.Lock()
	s.delays.waiting--
	s.expireLeases()
}

// leaveUnanswered keeps the connection of a transaction that has been gone through open
// until its sender gives up; the lock is held before and after, not meanwhile.
func (s *KVStore) leaveUnanswered(sender context.Context) {
	s.delays.carriedOut++
	s.mu.Unlock()
	<-sender.Done()
	s.mu.Lock()
}

// checkLate checks that a late transaction changes no key back, since each write is to
// rest on the version of what it replaces, and counts what has overtaken it.
func (s *KVStore) checkLate(t *transaction, arrival transactionArrival, failed []string) {
	reverted := s.revertedKey(t, arrival.revision)
	if reverted != "" && len(failed) == 0 && s.reportViolation != nil {
		s.reportViolation("a late transaction of %s changes %s back", arrival.node, reverted)
	}
	s.countOvertaken(arrival, failed, reverted)
}

// revertedKey names a key that a late transaction would change back: it was changed after
// the revision at which that came, to something else. What a lease keeps goes with that.
func (s *KVStore) revertedKey(t *transaction, revision uint64) string {
	for _, op := range t.Then {
		key := op.key()
		if s.lastChange[key] > revision && op.Lease == 0 && (op.Delete != "" || !bytes.Equal(op.Value, s.entries[key].Value)) {
			return key
		}
	}
	return ""
}

// countOvertaken counts a late transaction that is about to be carried out, or refused
// because of the failed guards.
func (s *KVStore) countOvertaken(arrival transactionArrival, failed []string, reverted string) {
	counts, leader := &s.delays.overtaken, s.leaderToken()
	if arrival.token != 0 && arrival.token != leader {
		counts.Stale++
	}
	newest, ok := s.delays.applied[arrival.node]
	if !ok || newest.order < arrival.order {
		return
	}
	counts.ByNode++
	if arrival.token == 0 || arrival.token != leader || newest.token != arrival.token {
		return
	}
	counts.InTerm++
	if len(failed) > 0 {
		counts.Refused++
	}
	if reverted != "" {
		counts.Older++
	}
}

// draw draws whether a transaction with a number of changes is left without an answer, and
// how long after its request it is carried out.
func (d *transactionDelays) draw(changes int) (by time.Duration, unanswered bool) {
	if changes == 0 || d.lateShare+d.lostReplyShare == 0 {
		return 0, false
	}
	x := d.random.Float64()
	switch {
	case x < d.lateShare:
		by = d.drawDelay()
	case x >= d.lateShare+d.lostReplyShare:
		return 0, false
	}
	d.unanswered++
	return by, true
}

// drawLeaseRequest draws whether a request about a lease is left without an answer, and
// how long after it came it is carried out.
func (d *transactionDelays) drawLeaseRequest(path string) (by time.Duration, unanswered bool) {
	if d.leaseShare == 0 || !strings.HasPrefix(path, "/holds") || d.random.Float64() >= d.leaseShare {
		return 0, false
	}
	return d.drawDelay(), true
}

func (d *transactionDelays) drawDelay() time.Duration {
	return minTransactionDelay + time.Duration(d.random.Int64N(int64(maxTransactionDelay-minTransactionDelay)))
}

// delayLeaseRequest waits until a request about a lease is carried out, and checks that it
// finds no lease of a leadership which began after it had come. The lock is held before and
// after, not meanwhile.
func (s *KVStore) delayLeaseRequest(path string, by time.Duration) {
	revision := s.revision
	s.mu.Unlock()
	time.Sleep(by)
	s.mu.Lock()
	s.expireLeases()
	s.delays.leasesLate++
	lease, err := parseLeasePath(path)
	leader := s.entries[election.LeaderKey]
	if err != nil || leader.Lease == 0 {
		return
	}
	if lease != leader.Lease {
		s.delays.leasesOfOtherTerm++
	} else if leader.Version > revision && s.reportViolation != nil {
		s.reportViolation("what was asked of lease %d before term %d began is done to that term's", lease, leader.Version)
	}
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
	s.delays.lateShare, s.delays.lostReplyShare = late, atOnce
	s.delays.random = rand.New(rand.NewPCG(seed, 17))
}

// DelayLeaseRequests leaves a share of the requests that take, renew or end leases without an
// answer, and carries them out 2 s to 12 s later; 0 ends that.
func (s *KVStore) DelayLeaseRequests(share float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays.leaseShare = share
	s.delays.random = rand.New(rand.NewPCG(seed, 17))
}

// OvertakenTransactions counts the transactions that were overtaken so far.
func (s *KVStore) OvertakenTransactions() OvertakenTransactions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.overtaken
}

// DelayedTransactions is how many transactions have been held up so far, come or not.
func (s *KVStore) DelayedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.delayed
}

// PendingTransactions is how many late transactions are still to be carried out.
func (s *KVStore) PendingTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.waiting
}

// UnansweredTransactions is how many transactions were left without an answer, and how many of
// them have been gone through by now.
func (s *KVStore) UnansweredTransactions() (sent, carriedOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.unanswered, s.delays.carriedOut
}

// DelayedLeaseRequests is how many requests about leases were carried out late, and how many of
// them, to renew or to end one, while the leader held another.
func (s *KVStore) DelayedLeaseRequests() (all, past int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.leasesLate, s.delays.leasesOfOtherTerm
}
