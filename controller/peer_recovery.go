// Recovery of unreadable records from the memory of the controllers. Each controller may have
// read a record before it was damaged. repair.go writes the recovered records.

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

const (
	// repairRetryInterval is how often a leader asks again for copies of records that it
	// could not repair. A controller that has a copy may have been unreachable before.
	repairRetryInterval = 5 * time.Second
	// peerRecoveryTimeout bounds the search for a copy on all controllers.
	peerRecoveryTimeout = 2 * time.Second
	// maxRecoveredCopies bounds the copies that are kept for the next leader. It also bounds
	// the unprocessed reports of unreadable records from peers.
	maxRecoveredCopies = 16
	// maxTrackedRepairs bounds the records for which this node remembers that it resigned.
	maxTrackedRepairs = 64 * maxRecoveredCopies
)

// recordVersion identifies one version of a record. The value of a version never changes, so
// a controller that has read the version has the correct value.
type recordVersion struct {
	key     string
	version uint64
}

// unrepairedRecord is a record for which no controller had a copy.
type unrepairedRecord struct {
	recordVersion
	original recordVersion // the record before it was quarantined under another key
}

// repairState holds what a node knows about unreadable records. It outlives the leaderships
// of the node and is safe for concurrent use.
type repairState struct {
	mu         sync.Mutex                               // guards all fields below
	reported   map[recordVersion]bool                   // records that peers can't read
	attempted  map[recordVersion]bool                   // records for which a leader on this node has resigned
	copies     map[recordVersion]*jobstore.RecoveryCopy // copies from the model of a leader on this node
	unrepaired []unrepairedRecord                       // records that the last leader on this node could not repair
}

// report adds a record that a peer can't read. It drops the report if there are already
// maxRecoveredCopies unprocessed ones.
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

// takePending returns and clears the records that peers have reported since the last call.
// It also returns the records that the leader could not repair, which it does not clear.
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

// copyOf returns the kept copy of a record or of its original before the quarantine, or nil
// if there is none.
func (m *repairState) copyOf(record, original recordVersion) *jobstore.RecoveryCopy {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.copies[record]; c != nil {
		return c
	}
	return m.copies[original]
}

// keepCopy keeps a copy of a page, from the model of a leader on this node, for the next
// leader. If there are already maxRecoveredCopies, it drops those.
func (m *repairState) keepCopy(record recordVersion, c *jobstore.RecoveryCopy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.copies == nil || len(m.copies) >= maxRecoveredCopies {
		m.copies = map[recordVersion]*jobstore.RecoveryCopy{}
	}
	m.copies[record] = c
}

// markAttempted records that this node resigns for a record. It returns false if the node
// has already resigned for this record.
func (m *repairState) markAttempted(record recordVersion) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempted == nil || len(m.attempted) >= maxTrackedRepairs {
		m.attempted = map[recordVersion]bool{}
	}
	attemptedBefore := m.attempted[record]
	m.attempted[record] = true
	return !attemptedBefore
}

// recordUnreadable records that a peer can't read a record. It does nothing unless this node
// leads, because only a leader may have the value in its model.
func (n *Node) recordUnreadable(key string, version uint64) {
	if n.activeLeadership() == nil {
		return
	}
	n.repairs.report(recordVersion{key, version})
}

// recoverLocally returns this node's copy of a record, or nil if it has none.
func (n *Node) recoverLocally(ctx context.Context, record, original recordVersion) *jobstore.RecoveryCopy {
	if c := n.repairs.copyOf(record, original); c != nil {
		return c
	}
	return n.jobs.RecoveryCopy(ctx, record.key, record.version)
}

// RecoverRecord implements peerrpc.Handler. It answers 200 with this node's copy of a record
// as a jobstore.RecoveryCopy, or 404 if the node has none.
func (n *Node) RecoverRecord(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	found := n.recoverLocally(ctx, recordVersion{r.ID, r.Version}, recordVersion{r.UnreadableKey, r.UnreadableVersion})
	if found == nil {
		return peerrpc.Answer{Status: http.StatusNotFound}
	}
	return newAnswer(http.StatusOK, found, 0)
}

// recoverCopy returns a copy of a version of a record, from this node or from a peer. It
// returns nil if no controller answers with a copy within peerRecoveryTimeout. original is
// the record before its quarantine, if any.
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

// retryRepairs looks for copies of the records that this leader could not repair when it was
// elected. It also handles the records that peers can't read but this leader has in memory.
// For each record that can now be repaired, the leader resigns once. Records are only
// repaired during the load of a new leader, because jobs must not be restored under an active
// leader.
func (l *leadership) retryRepairs(ctx context.Context) {
	for call.Pause(ctx, repairRetryInterval) {
		reported, unrepaired := l.node.repairs.takePending()
		for record := range reported {
			entry, err := l.node.kv.Get(ctx, record.key)
			if err != nil || entry.Version != record.version || isReadable(entry) {
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

// preserveCopy keeps the jobs of a page, as this leader's model has them, for the next leader.
func (l *leadership) preserveCopy(record recordVersion) {
	l.mu.Lock()
	jobs, ok := l.model.AdmissionEntries(record.key, record.version)
	l.mu.Unlock()
	if ok {
		l.node.repairs.keepCopy(record, &jobstore.RecoveryCopy{Entries: jobs})
	}
}

// isReadable reports whether a page of jobs or the schema record can be decoded.
func isReadable(e wire.Entry) bool {
	var err error
	if e.Key == jobstore.SchemaKey {
		_, err = jobstore.DecodeSchema(e.Value)
	} else {
		_, err = jobstore.DecodeJobPage(e.Value)
	}
	return err == nil
}

// resignForRepair resigns so that the next leader repairs a record. It returns false and does
// not resign if this node has already resigned for the record.
func (l *leadership) resignForRepair(record recordVersion) bool {
	if !l.node.repairs.markAttempted(record) {
		return false
	}
	l.log.Error("resigning so that the next leader repairs an unreadable record", "key", record.key, "version", record.version)
	l.lease.Resign()
	return true
}
