// Transactions of the key-value store, and checks that writes of controllers follow the rules.

package fake

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	// maxValueBytes is the largest size of a value in its JSON form.
	maxValueBytes = 16 << 10
	// guardsPerOp is the highest number of guards of a transaction for each allowed operation.
	guardsPerOp = 4
)

var (
	errMalformed     = errors.New("malformed")
	errValueTooLarge = errors.New("value too large")
)

// transaction is a list of changes that are made atomically if all guards hold. The store checks
// that the transactions of controllers follow the protocol's rules.
type transaction struct {
	If   []wire.Guard `msgpack:"guards"`
	Then []operation  `msgpack:"apply"`
}

// operation puts or deletes a key: either Put or Delete is set.
type operation struct {
	Put    string   `msgpack:"set"`
	Value  wire.Raw `msgpack:"v"`
	Lease  uint64   `msgpack:"bail"`
	Delete string   `msgpack:"remove"`
}

// key returns the key that an operation changes.
func (op *operation) key() string { return op.Put + op.Delete }

// keys returns the keys that a transaction changes.
func (t *transaction) keys() (out []string) {
	for _, op := range t.Then {
		out = append(out, op.key())
	}
	return out
}

// requestedChanges returns the changes that a transaction requests.
func (t *transaction) requestedChanges() (out []Change) {
	for _, op := range t.Then {
		change := Change{Key: op.key()}
		if op.Put != "" {
			change.Bytes = jsonSize(op.Value)
		}
		out = append(out, change)
	}
	return out
}

// changes reports whether a transaction changes a key with a prefix.
func (t *transaction) changes(prefix string) bool {
	return slices.ContainsFunc(t.keys(), func(key string) bool { return strings.HasPrefix(key, prefix) })
}

// guards reports whether a transaction has a guard on a key.
func (t *transaction) guards(key string) bool {
	return slices.ContainsFunc(t.If, func(g wire.Guard) bool { return g.Key == key })
}

// jsonSize returns the size in bytes of a MessagePack value in its JSON form, which the limits
// apply to. It returns 0 for malformed MessagePack.
func jsonSize(body []byte) int {
	var v any
	if msgpack.Unmarshal(body, &v) != nil {
		return 0
	}
	b, err := json.Marshal(v)
	if err != nil {
		return math.MaxInt32 // above every limit
	}
	return len(b)
}

// decodeTransaction decodes a request's body and checks the limits of sizes and counts. Its
// errors are errMalformed and errValueTooLarge.
func (s *KVStore) decodeTransaction(body []byte) (*transaction, error) {
	var t transaction
	if msgpack.Unmarshal(body, &t) != nil || len(t.Then) > s.maxOps || len(t.If) > guardsPerOp*s.maxOps || jsonSize(body) > wire.MaxBody {
		return nil, errMalformed
	}
	for _, op := range t.Then {
		if op.Put != "" && jsonSize(op.Value) > maxValueBytes {
			return nil, errValueTooLarge
		}
	}
	if s.reject != nil && s.reject(t.requestedChanges()) {
		return nil, errValueTooLarge
	}
	return &t, nil
}

// serveCommit receives a transaction and executes it, delayed if an injected fault says so. The
// caller holds the lock, which is released during a delay.
func (s *KVStore) serveCommit(w http.ResponseWriter, r *http.Request, body []byte) {
	t, err := s.decodeTransaction(body)
	if err != nil {
		s.rejections++
		reply(w, http.StatusBadRequest, wire.Error{Error: err.Error()})
		return
	}
	if n := len(t.Then); n > 0 && s.writeLimit != nil && !s.writeLimit.AllowN(time.Now(), n) {
		reply(w, http.StatusTooManyRequests, wire.Error{Error: "too many changes"})
		return
	}
	arrival := s.noteArrival(t, senderOf(r))
	s.delayIfNext(t, &arrival)
	s.holdIfNext(t, &arrival)
	if by, unanswered := s.delays.draw(len(t.Then)); unanswered {
		if by > 0 {
			s.holdUp(&arrival, func() { time.Sleep(by) })
		}
		defer s.leaveUnanswered(r.Context())
		w = discardedReply{w}
	}
	s.commit(w, t, arrival)
}

// commit executes a transaction if its guards hold, and answers it. The caller holds the lock.
func (s *KVStore) commit(w http.ResponseWriter, t *transaction, arrival transactionArrival) {
	for _, op := range t.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			reply(w, http.StatusBadRequest, wire.Error{Error: "no such lease"})
			return
		}
	}
	s.operations += len(t.Then)
	failed := s.failedGuards(t)
	if arrival.late {
		s.checkLate(t, arrival, failed)
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, wire.TxnAnswer{Failed: failed, Revision: s.revision})
		return
	}
	s.checkPlacementGuards(t)
	s.checkFinalRecords(t)
	s.checkLeaderWrites(t, arrival)
	if len(t.Then) > 0 {
		s.apply(t)
		s.delays.applied[arrival.node] = arrival
	}
	reply(w, http.StatusOK, wire.TxnAnswer{Revision: s.revision})
}

// failedGuards returns the keys whose versions differ from those in the transaction's guards.
func (s *KVStore) failedGuards(t *transaction) []string {
	var failed []string
	for _, g := range t.If {
		if s.entries[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	return failed
}

// apply makes the changes of a transaction, all with the same new revision. The caller holds the
// lock.
func (s *KVStore) apply(t *transaction) {
	s.revision++
	for _, op := range t.Then {
		s.lastChange[op.key()] = s.revision
		if op.Delete != "" {
			if _, ok := s.entries[op.Delete]; ok {
				delete(s.entries, op.Delete)
				s.events = append(s.events, wire.Event{Delete: op.Delete, Version: s.revision})
			}
			continue
		}
		if _, ok := s.entries[op.Put]; !ok {
			s.createdAt[op.Put] = time.Now()
		}
		s.entries[op.Put] = wire.Entry{Key: op.Put, Value: op.Value, Version: s.revision, Lease: op.Lease}
		s.events = append(s.events, wire.Event{Put: op.Put, Value: op.Value, Version: s.revision})
	}
	s.wakeWatches()
}

// checkPlacementGuards checks that a leader's transaction that places a task has a guard on the
// plan in force. The guard holds, because the transaction is about to be applied. Transactions
// without a guard on the leader key are exempt: they import a snapshot.
func (s *KVStore) checkPlacementGuards(t *transaction) {
	if s.reportViolation == nil || !t.guards(election.LeaderKey) || t.guards(jobstore.PlanHeadKey) {
		return
	}
	for _, op := range t.Then {
		if _, ok := jobstore.ParsePlacementPageKey(op.Put); ok {
			s.checkNoNewPlacement(op)
		}
	}
}

// checkNoNewPlacement checks that a page of placements adds none to the page that it replaces.
func (s *KVStore) checkNoNewPlacement(op operation) {
	var replaced, page jobstore.PlacementPage
	if wire.Unmarshal(op.Value, &page) != nil {
		s.reportViolation("unreadable page %s", op.Put)
		return
	}
	if e, ok := s.entries[op.Put]; ok && wire.Unmarshal(e.Value, &replaced) != nil {
		return // a scenario has damaged the page
	}
	identity := func(job string, p jobstore.Placement) string { return fmt.Sprint(job, p.Task, p.Attempt, p.Machine) }
	before := map[string]bool{}
	for _, chunk := range replaced.Chunks {
		for _, p := range chunk.Placements {
			before[identity(chunk.Job, p)] = true
		}
	}
	for _, chunk := range page.Chunks {
		for _, p := range chunk.Placements {
			if !before[identity(chunk.Job, p)] {
				s.reportViolation("%s/%d is placed on no condition of the plan", chunk.Job, p.Task)
			}
		}
	}
}

// checkFinalRecords checks that a job's final record is written only once.
func (s *KVStore) checkFinalRecords(t *transaction) {
	for _, op := range t.Then {
		id, ok := jobstore.ParseFinalKey(op.key())
		if _, again := s.entries[op.key()]; ok && again && s.reportViolation != nil {
			s.reportViolation("how %s ended is written again", id)
		}
	}
}

// writtenByLeadersOnly reports whether only leaders may write a key.
func writtenByLeadersOnly(key string) bool {
	_, page := jobstore.ParsePlacementPageKey(key)
	return page || strings.HasPrefix(key, jobstore.RebalanceCyclePrefix) || strings.HasPrefix(key, jobstore.ScaleOutPrefix) || key == jobstore.ScaleInKey
}

// leaderNode returns the name of the controller in the leader record, or "" if there is no
// readable record. The caller holds the lock.
func (s *KVStore) leaderNode() string {
	var rec struct {
		Node string `msgpack:"node"`
	}
	if e, ok := s.entries[election.LeaderKey]; !ok || wire.Unmarshal(e.Value, &rec) != nil {
		return ""
	}
	return rec.Node
}

// leaderToken returns the fencing token of the present leader, or 0 if there is no leader key. The
// caller holds the lock.
func (s *KVStore) leaderToken() uint64 { return s.entries[election.LeaderKey].Version }

// checkLeaderWrites checks that keys for leaders only are changed by the present leader, in the
// term that the transaction was sent in, even if it is executed late.
func (s *KVStore) checkLeaderWrites(t *transaction, arrival transactionArrival) {
	if s.reportViolation == nil || !isNode(arrival.node) {
		return // a scenario's own write, or the import of a snapshot
	}
	leader, token := s.leaderNode(), s.leaderToken()
	if leader == arrival.node && token == arrival.token {
		return
	}
	for _, key := range t.keys() {
		if writtenByLeadersOnly(key) {
			s.reportViolation("%s changes %s of term %d while %q leads in term %d", arrival.node, key, arrival.token, leader, token)
		}
	}
}
