// The fault in which answers of the key-value store are lost and its requests are executed late, and
// the check that late transactions revert no key.

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

// Delays of requests that DropReplies and DelayLeaseRequests select.
const (
	minTransactionDelay = 2 * time.Second
	maxTransactionDelay = 12 * time.Second
)

// transactionDelays is the fault in which answers of the key-value store are lost and requests
// are executed late, after newer ones of the same controller. The store's lock guards it.
type transactionDelays struct {
	lateShare      float64 // share of changing transactions that are executed late and not answered
	lostReplyShare float64 // share of changing transactions that are executed at once and not answered
	leaseShare     float64 // share of requests about leases that are executed late and not answered
	random         *rand.Rand

	unanswered        int // transactions that were not answered
	carriedOut        int // transactions of these that have been executed or refused by now
	leasesLate        int // requests about leases that were executed late
	leasesOfOtherTerm int // requests of these that were executed while the leader held another lease

	waiting   int                           // late transactions that are not executed yet
	delayed   int                           // late transactions so far, executed or not
	arrived   int                           // transactions that have arrived so far
	applied   map[string]transactionArrival // the last applied transaction with changes, by controller
	overtaken OvertakenTransactions
}

// transactionArrival describes the arrival of a transaction at the store.
type transactionArrival struct {
	order    int    // number among all transactions
	node     string // the sender
	token    uint64 // fencing token of the sender's leadership; 0: not sent by a leader
	revision uint64 // the store's revision at the arrival
	late     bool   // it is executed after a delay
}

// OvertakenTransactions counts late transactions that were executed or refused after newer ones.
type OvertakenTransactions struct {
	ByNode  int // overtaken by any transaction of the same controller
	InTerm  int // overtaken within the same leadership while it lasts, so that the token doesn't fail them
	Refused int // of InTerm: failed by another guard
	Older   int // of InTerm: would have reverted a key to an older value
	Stale   int // sent in a leadership that is over, overtaken or not
}

// isNode reports whether a host's name is that of a controller.
func isNode(host string) bool { return strings.HasPrefix(host, "n-") }

// noteArrival records the arrival of a transaction. The caller holds the lock.
func (s *KVStore) noteArrival(t *transaction, node string) transactionArrival {
	s.delays.arrived++
	return transactionArrival{order: s.delays.arrived, node: node, token: s.tokenOf(t, node), revision: s.revision}
}

// tokenOf returns the fencing token of the leadership that a newly arrived transaction belongs to.
// It is the token in the guard on the leader key. Without such a guard, it is the present leader's
// token if a controller changes keys for leaders only, and otherwise 0.
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

// delayIfNext delays a transaction if DelayNextTransactionOn selects it.
func (s *KVStore) delayIfNext(t *transaction, arrival *transactionArrival) {
	if by := s.delayNext.by; by > 0 && t.changes(s.delayNext.prefix) {
		s.delayNext.by = 0
		s.holdUp(arrival, func() { time.Sleep(by) })
	}
}

// holdIfNext holds a transaction until a scenario releases it, if HoldNextTransactionOn selects it.
func (s *KVStore) holdIfNext(t *transaction, arrival *transactionArrival) {
	if released := s.holdNext.release; released != nil && t.changes(s.holdNext.prefix) {
		s.holdNext.release = nil
		s.holdUp(arrival, func() { <-released })
	}
}

// holdUp delays a transaction until wait returns. The caller holds the lock, which is released
// during the wait.
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

// leaveUnanswered keeps the connection of an executed transaction open until its sender gives up.
// The caller holds the lock, which is released during the wait.
func (s *KVStore) leaveUnanswered(sender context.Context) {
	s.delays.carriedOut++
	s.mu.Unlock()
	<-sender.Done()
	s.mu.Lock()
}

// checkLate checks that a late transaction reverts no key to an older value, since the guards of
// each write must cover the version of the value that it replaces. It counts the transaction if
// newer ones have overtaken it.
func (s *KVStore) checkLate(t *transaction, arrival transactionArrival, failed []string) {
	reverted := s.revertedKey(t, arrival.revision)
	if reverted != "" && len(failed) == 0 && s.reportViolation != nil {
		s.reportViolation("a late transaction of %s changes %s back", arrival.node, reverted)
	}
	s.countOvertaken(arrival, failed, reverted)
}

// revertedKey returns a key that a late transaction would revert, or "" if there is none. The
// transaction arrived at the given revision. It would revert a key that was changed since then,
// unless it puts the key's present value. Keys put with a lease are ignored, because they end with
// the lease.
func (s *KVStore) revertedKey(t *transaction, revision uint64) string {
	for _, op := range t.Then {
		key := op.key()
		if s.lastChange[key] > revision && op.Lease == 0 && (op.Delete != "" || !bytes.Equal(op.Value, s.entries[key].Value)) {
			return key
		}
	}
	return ""
}

// countOvertaken counts a late transaction that is about to be executed, or to be refused because
// of failed guards, if newer transactions have overtaken it.
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

// draw draws whether a transaction with the given number of changes is left unanswered, and by how
// much its execution is delayed.
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

// drawLeaseRequest draws whether a request about a lease is left unanswered, and by how much its
// execution is delayed. For other paths it reports false and draws nothing.
func (d *transactionDelays) drawLeaseRequest(path string) (by time.Duration, unanswered bool) {
	if d.leaseShare == 0 || !strings.HasPrefix(path, "/holds") || d.random.Float64() >= d.leaseShare {
		return 0, false
	}
	return d.drawDelay(), true
}

func (d *transactionDelays) drawDelay() time.Duration {
	return minTransactionDelay + time.Duration(d.random.Int64N(int64(maxTransactionDelay-minTransactionDelay)))
}

// delayLeaseRequest delays a request about a lease, and then checks that the lease doesn't belong
// to a leadership that began after the request arrived. The caller holds the lock, which is
// released during the delay.
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

// discardedReply is a ResponseWriter that drops the answer.
type discardedReply struct{ http.ResponseWriter }

func (discardedReply) Write(b []byte) (int, error) { return len(b), nil }
func (discardedReply) WriteHeader(int)             {}

// DropReplies leaves shares of the transactions with changes unanswered. The share late is
// executed 2 s to 12 s later, after newer ones of the same controller. The share atOnce is
// executed at once, so that everybody except the sender learns of it. Zeros end the fault.
func (s *KVStore) DropReplies(late, atOnce float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays.lateShare, s.delays.lostReplyShare = late, atOnce
	s.delays.random = rand.New(rand.NewPCG(seed, 17))
}

// DelayLeaseRequests leaves a share of the requests that grant, renew or end leases unanswered,
// and executes them 2 s to 12 s later. A share of 0 ends the fault.
func (s *KVStore) DelayLeaseRequests(share float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delays.leaseShare = share
	s.delays.random = rand.New(rand.NewPCG(seed, 17))
}

// OvertakenTransactions returns the counts of overtaken transactions so far.
func (s *KVStore) OvertakenTransactions() OvertakenTransactions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.overtaken
}

// DelayedTransactions returns the number of transactions delayed so far, executed or not.
func (s *KVStore) DelayedTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.delayed
}

// PendingTransactions returns the number of delayed transactions that are not executed yet.
func (s *KVStore) PendingTransactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.waiting
}

// UnansweredTransactions returns the number of transactions that DropReplies left unanswered, and
// how many of them have been executed or refused by now.
func (s *KVStore) UnansweredTransactions() (sent, carriedOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.unanswered, s.delays.carriedOut
}

// DelayedLeaseRequests returns the number of requests about leases that were executed late, and
// how many of them were to renew or end a lease while the leader held another one.
func (s *KVStore) DelayedLeaseRequests() (all, past int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.delays.leasesLate, s.delays.leasesOfOtherTerm
}
