package controller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file recovers unreadable records from the memory of the controllers: each of
// them may have read a record before it was damaged. repair.go writes back what is
// found here.

const (
	// repairRetryInterval is how often a leader asks again for copies of records that
	// it could not repair: a controller that has one may have been unreachable.
	repairRetryInterval = 5 * time.Second
	// peerRecoveryTimeout bounds one request for a copy to all controllers.
	peerRecoveryTimeout = 2 * time.Second
	// maxRecoveredCopies bounds the copies that are preserved for the next leader, and
	// the unreadable records reported by peers that wait to be processed.
	maxRecoveredCopies = 16
	// maxTrackedRepairs bounds the memory of records for which this node has resigned.
	maxTrackedRepairs = 64 * maxRecoveredCopies
)

// recordVersion identifies one version of a record. A key has one value in one
// version, so whoever has read that version knows what was written.
type recordVersion struct {
	key     string
	version uint64
}

// unrepairedRecord is a record for which no controller had a copy.
type unrepairedRecord struct {
	recordVersion
	original recordVersion // before it was quarantined under another key
}

// repairState is what a node knows about unreadable records beyond one leadership.
// It has a lock of its own and is safe for concurrent use.
type repairState struct {
	mu         sync.Mutex                               // guards all fields below
	reported   map[recordVersion]bool                   // peers can't read them
	attempted  map[recordVersion]bool                   // a leader on this node has resigned for them
	copies     map[recordVersion]*jobstore.RecoveryCopy // as a leader on this node knew them
	unrepaired []unrepairedRecord                       // of the leader on this node
}

// report notes a record that a peer can't read, while there is room for it.
func (m *repairState) report(record recordVersion) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.reported) >= maxRecoveredCopies {
		return
	}
	if m.reported == nil {
		m.reported = map[recordVersion]bool{}
	}
	m.reported[record] = true
}

// takePending returns the records that peers have reported since the last call, and
// those that the leader could not repair.
func (m *repairState) takePending() (reported map[recordVersion]bool, unrepaired []unrepairedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	reported, m.reported = m.reported, nil
	return reported, m.unrepaired
}

func (m *repairState) setUnrepaired(records []unrepairedRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unrepaired = records
}

// copyOf returns the kept copy of a record, or of what it was before its quarantine;
// nil if there is none.
func (m *repairState) copyOf(record, original recordVersion) *jobstore.RecoveryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.copies[record]; c != nil {
		return c
	}
	return m.copies[original]
}

// keepCopy keeps what a leader of this node knew of a page for the next leader.
func (m *repairState) keepCopy(record recordVersion, c *jobstore.RecoveryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copies == nil || len(m.copies) >= maxRecoveredCopies {
		m.copies = map[recordVersion]*jobstore.RecoveryCopy{}
	}
	m.copies[record] = c
}

// markAttempted notes that this node resigns for a record; false if it has before.
func (m *repairState) markAttempted(record recordVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempted == nil || len(m.attempted) >= maxTrackedRepairs {
		m.attempted = map[recordVersion]bool{}
	}
	before := m.attempted[record]
	m.attempted[record] = true
	return !before
}

// recordUnreadable records that a peer can't read a record. Only a leader may still have its
// value in memory and can repair it.
func (n *Node) recordUnreadable(key string, version uint64) {
	if n.activeLeadership() == nil {
		return
	}
	n.repairs.report(recordVersion{key, version})
}

// recoverLocally returns this node's copy of a record, nil if it has none.
func (n *Node) recoverLocally(ctx context.Context, record, original recordVersion) *jobstore.RecoveryCopy {
	if c := n.repairs.copyOf(record, original); c != nil {
		return c
	}
	return n.jobs.RecoveryCopy(ctx, record.key, record.version)
}

// RecoverRecord implements peerrpc.Handler.
func (n *Node) RecoverRecord(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	c := n.recoverLocally(ctx, recordVersion{r.ID, r.Version}, recordVersion{r.UnreadableKey, r.UnreadableVersion})
	if c == nil {
		return peerrpc.Answer{Status: http.StatusNotFound}
	}
	return newAnswer(http.StatusOK, c, 0)
}

// recoverCopy returns a copy of a record in one version of it, from this node or from
// a peer; nil if no controller has one.
func (n *Node) recoverCopy(ctx context.Context, record, original recordVersion) *jobstore.RecoveryCopy {
	ctx, cancel := context.WithTimeout(ctx, peerRecoveryTimeout)
	defer cancel()
	if c := n.recoverLocally(ctx, record, original); c != nil {
		return c
	}
	var wg sync.WaitGroup
	found := make(chan *jobstore.RecoveryCopy, len(n.peers))
	request := peerrpc.Request{ID: record.key, Version: record.version, UnreadableKey: original.key, UnreadableVersion: original.version}
	for _, p := range n.peers {
		wg.Go(func() {
			a, err := p.FetchRecoveredRecord(ctx, request)
			c := &jobstore.RecoveryCopy{}
			if err == nil && a.Status == http.StatusOK && wire.Unmarshal(a.Body, c) == nil {
				found <- c
			}
		})
	}
	wg.Wait()
	select {
	case c := <-found:
		return c
	default:
		return nil
	}
}

// retryRepairs looks for copies of records that could not be repaired when this leader
// was elected, and for records that peers can't read but this leader has in memory. If it
// finds one it resigns, once for each record, because records are only repaired during the
// load of a new leader: jobs must not be restored under an active leader.
func (l *leadership) retryRepairs(ctx context.Context) {
	for call.Pause(ctx, repairRetryInterval) {
		reported, unrepaired := l.node.repairs.takePending()
		for record := range reported {
			e, err := l.node.kv.Get(ctx, record.key)
			if err != nil || e.Version != record.version || isReadable(e) {
				continue
			}
			l.preserveCopy(record)
			if l.resignForRepair(record) {
				return
			}
		}
		for _, r := range unrepaired {
			if l.node.recoverCopy(ctx, r.recordVersion, r.original) != nil && l.resignForRepair(r.recordVersion) {
				return
			}
		}
	}
}

// preserveCopy leaves what this leader knows of a page to the next one.
func (l *leadership) preserveCopy(record recordVersion) {
	l.mu.Lock()
	jobs, ok := l.model.AdmissionEntries(record.key, record.version)
	l.mu.Unlock()
	if ok {
		l.node.repairs.keepCopy(record, &jobstore.RecoveryCopy{Entries: jobs})
	}
}

// isReadable tells whether a page of jobs or the schema record can be decoded.
func isReadable(e wire.Entry) bool {
	var err error
	if e.Key == jobstore.SchemaKey {
		_, err = jobstore.DecodeSchema(e.Value)
	} else {
		_, err = jobstore.DecodeJobPage(e.Value)
	}
	return err == nil
}

// resignForRepair ends this leadership so that the next one repairs a record; false
// if this node has already done so in vain.
func (l *leadership) resignForRepair(record recordVersion) bool {
	if !l.node.repairs.markAttempted(record) {
		return false
	}
	l.log.Error("resigning so that the next leader repairs an unreadable record", "key", record.key, "version", record.version)
	l.lease.Resign()
	return true
}
