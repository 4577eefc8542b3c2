package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umberdeal/umberdeal/internal/call"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/peerrpc"
	"github.com/umberdeal/umberdeal/wire"
)

// This file mends records that can't be read, before a leader leads. docs/jobstore.md
// ("Mending") argues why no interleaving loses a job or accepts one twice.

const (
	// repairAttempts is how often a leader that takes over looks again what there is to
	// mend, since others have changed the same.
	repairAttempts = 4
	// repairRetryInterval is how often a leader looks whether a node remembers what could not
	// be mended.
	repairRetryInterval = 5 * time.Second
	// maxRecoveredCopies bounds what a node that led remembers of pages for the next leader.
	maxRecoveredCopies = 16
)

// at names a record in one version of it.
type recordVersion struct {
	key     string
	version uint64
}

// repairMemory is what a node knows of records that can't be read; guarded by the
// node's lock.
type repairMemory struct {
	reported   map[recordVersion]bool                   // other nodes can't read them
	attempted  map[recordVersion]bool                   // for which this node has resigned once
	copies     map[recordVersion]*jobstore.RecoveryCopy // as a leader of this node knew them
	unrepaired []unrepairedRecord                       // of this leader's own: what could not be mended
}

// unrepairedRecord is a record that could not be mended when a leader took over.
type unrepairedRecord struct {
	recordVersion
	original recordVersion // as it was before it was set aside
}

// noteUnreadable notes that another node can't read a record. The leader may know it still.
func (n *Node) noteUnreadable(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active == nil || len(n.repairs.reported) >= maxRecoveredCopies {
		return
	}
	if n.repairs.reported == nil {
		n.repairs.reported = map[recordVersion]bool{}
	}
	n.repairs.reported[recordVersion{key, version}] = true
}

// recoverLocally is what this node remembers of a record.
func (n *Node) recoverLocally(ctx context.Context, rec, was recordVersion) *jobstore.RecoveryCopy {
	n.mu.Lock()
	m := n.repairs.copies[rec]
	if m == nil {
		m = n.repairs.copies[was]
	}
	n.mu.Unlock()
	if m != nil {
		return m
	}
	return n.jobs.RecoveryCopy(ctx, rec.key, rec.version)
}

// RecoverRecord implements mesh.Handler.
func (n *Node) RecoverRecord(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	m := n.recoverLocally(ctx, recordVersion{r.ID, r.At}, recordVersion{r.Lost, r.LostAt})
	if m == nil {
		return peerrpc.Answer{Status: http.StatusNotFound}
	}
	return newAnswer(http.StatusOK, m, 0)
}

// recoverCopy asks all nodes for what they remember of a record in a version of it, this
// one first.
func (n *Node) recoverCopy(ctx context.Context, rec, was recordVersion) *jobstore.RecoveryCopy {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if m := n.recoverLocally(ctx, rec, was); m != nil {
		return m
	}
	var wg sync.WaitGroup
	found := make(chan *jobstore.RecoveryCopy, len(n.peers))
	for _, p := range n.peers {
		wg.Go(func() {
			a, err := p.FetchRecoveredRecord(ctx, peerrpc.Request{ID: rec.key, At: rec.version, Lost: was.key, LostAt: was.version})
			m := &jobstore.RecoveryCopy{}
			if err == nil && a.Status == http.StatusOK && wire.Unmarshal(a.Body, m) == nil {
				found <- m
			}
		})
	}
	wg.Wait()
	select {
	case m := <-found:
		return m
	default:
		return nil
	}
}

// repairer mends what a listing has.
type repairer struct {
	leadership *leadership
	entries    map[string]wire.Entry
	pages      map[string]jobstore.JobPage // that can be read
	unrepaired []unrepairedRecord
	changed    bool
}

// listRepaired lists all active records, mended as far as can be.
func (l *leadership) listRepaired(ctx context.Context) (items []wire.Entry, rev uint64, err error) {
	for range repairAttempts {
		if items, rev, err = l.node.kv.List(ctx, jobstore.ActivePrefix); err != nil {
			return nil, 0, err
		}
		m := &repairer{leadership: l, entries: map[string]wire.Entry{}, pages: map[string]jobstore.JobPage{}}
		err = m.repairAll(ctx, items)
		l.node.mu.Lock()
		l.node.repairs.unrepaired = m.unrepaired
		l.node.mu.Unlock()
		var c *kvstore.ConflictError
		switch {
		case err == nil && !m.changed:
			return items, rev, nil
		case errors.Is(err, jobstore.ErrNewerSchema):
			return nil, 0, err
		case errors.As(err, &c) || err == nil:
		default:
			return nil, 0, err
		}
	}
	return nil, 0, fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
}

func (m *repairer) repairAll(ctx context.Context, items []wire.Entry) error {
	for _, it := range items {
		m.entries[it.Key] = it
		if rec, err := jobstore.DecodeJobPage(it.Value); err == nil && jobstore.IsJobPageKey(it.Key) {
			m.pages[it.Key] = rec
		}
	}
	for _, it := range items {
		var err error
		id, alone := jobstore.ParseJobKey(it.Key)
		switch {
		case it.Key == jobstore.SchemaKey:
			err = m.repairSchemaRecord(ctx, it)
		case alone:
			if _, bad := jobstore.DecodeJob(id, it.Value); bad != nil {
				err = m.repairJob(ctx, id, it)
			}
		case strings.HasPrefix(it.Key, jobstore.AppPrefix):
			if !jobstore.IsAppValue(it.Value) {
				err = m.repairYARNApp(ctx, it)
			}
		case jobstore.IsJobPageKey(it.Key):
			if _, ok := m.pages[it.Key]; !ok {
				err = m.repairJobPage(ctx, it)
			}
		}
		if errors.Is(err, kvstore.ErrInvalidRequest) {
			m.leadership.log.Error("an unreadable record can't be mended", "key", it.Key, "err", err)
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// commit commits under this leadership, and keeps what it has written.
func (m *repairer) commit(ctx context.Context, guards []wire.Guard, ops ...wire.Op) error {
	rev, err := m.leadership.node.kv.CompareAndSwap(ctx, append([]wire.Guard{m.leadership.leaderGuard()}, guards...), ops)
	if err != nil {
		return err
	}
	m.changed = true
	for _, op := range ops {
		if op.Delete != "" {
			delete(m.entries, op.Delete)
			continue
		}
		m.entries[op.Put] = wire.Entry{Key: op.Put, Version: rev}
		if rec, ok := op.Value.(jobstore.JobPage); ok {
			m.pages[op.Put] = rec
		}
	}
	return nil
}

// repairJob writes the record of a job that some node remembers as it was.
func (m *repairer) repairJob(ctx context.Context, id string, it wire.Entry) error {
	mem := m.leadership.node.recoverCopy(ctx, recordVersion{it.Key, it.Version}, recordVersion{})
	if mem == nil {
		m.unrepaired = append(m.unrepaired, unrepairedRecord{recordVersion: recordVersion{it.Key, it.Version}})
		return nil
	}
	if _, err := jobstore.DecodeJob(id, mem.Value); err != nil {
		return nil
	}
	m.leadership.log.Error("unreadable job record: written again as a node remembers it", "key", it.Key)
	return m.commit(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}}, wire.Op{Put: it.Key, Value: mem.Value})
}

// repairYARNApp writes a door's record that some node remembers as it was.
func (m *repairer) repairYARNApp(ctx context.Context, it wire.Entry) error {
	mem := m.leadership.node.recoverCopy(ctx, recordVersion{it.Key, it.Version}, recordVersion{})
	if mem == nil || !jobstore.IsAppValue(mem.Value) {
		m.unrepaired = append(m.unrepaired, unrepairedRecord{recordVersion: recordVersion{it.Key, it.Version}})
		return nil
	}
	m.leadership.log.Error("unreadable record of a door: written again as a node remembers it", "key", it.Key)
	return m.commit(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}}, wire.Op{Put: it.Key, Value: mem.Value})
}

// repairSchemaRecord writes the form of the records again: as some node remembers it, as its copy
// says, or else as the records themselves show.
func (m *repairer) repairSchemaRecord(ctx context.Context, it wire.Entry) error {
	if _, err := jobstore.DecodeSchema(it.Value); err == nil {
		return nil
	}
	var form jobstore.SchemaRecord
	err := jobstore.ErrUnreadable
	if mem := m.leadership.node.recoverCopy(ctx, recordVersion{it.Key, it.Version}, recordVersion{}); mem != nil {
		form, err = jobstore.DecodeSchema(mem.Value)
	}
	if err != nil {
		e, gerr := m.leadership.node.kv.Get(ctx, jobstore.SchemaCopyKey)
		if gerr != nil {
			return gerr
		}
		form, err = jobstore.DecodeSchema(e.Value)
	}
	if err != nil {
		// A version that writes a newer form has written the copy as well.
		wanted, werr := m.leadership.targetSchemaVersion(ctx)
		if werr != nil {
			return werr
		}
		form = jobstore.SchemaRecord{Version: wanted, Buckets: jobstore.InferBuckets(m.pages, len(m.leadership.node.peers)+1)}
	}
	if form.Version > jobstore.LatestSchema {
		return jobstore.ErrNewerSchema
	}
	m.leadership.log.Error("the form of the records can't be read: written again", "key", it.Key, "form", form.Version, "buckets", form.Buckets)
	return m.commit(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}},
		wire.Op{Put: jobstore.SchemaKey, Value: form}, wire.Op{Put: jobstore.SchemaCopyKey, Value: form})
}

// repairJobPage sets a page of users' jobs aside that can't be read, puts an empty head in
// its place if it was one, and brings back what some node remembers of it.
func (m *repairer) repairJobPage(ctx context.Context, it wire.Entry) error {
	n := m.leadership.node
	a, aside := jobstore.DecodeQuarantinedPage(it.Value)
	was := recordVersion{a.OriginalKey, a.OriginalVersion}
	if !aside {
		was = recordVersion{it.Key, it.Version}
	}
	mem := n.recoverCopy(ctx, recordVersion{it.Key, it.Version}, was)
	key := it.Key
	if !aside {
		bucket, seq, ok := jobstore.ParseJobPageKey(it.Key)
		if !ok {
			return nil // no page of this program's
		}
		a = jobstore.NewQuarantinedPage(it.Key, it.Version, time.Now().UnixMilli(), it.Value, n.jobs.Limits)
		guards := []wire.Guard{{Key: it.Key, Version: it.Version}}
		m.leadership.log.Error("unreadable page of jobs: set aside", "key", it.Key, "version", it.Version, "remembered", mem != nil)
		var err error
		if seq > 0 {
			err = m.commit(ctx, guards, wire.Op{Put: it.Key, Value: a})
		} else {
			// Above all pages that there are, so that none is written over; the
			// page goes before the head, so that readers meet it first.
			seq = max(m.highestSequence(bucket), it.Version) + 1
			key = jobstore.SealedPageKey(bucket, seq)
			err = m.commit(ctx, guards, wire.Op{Put: key, Value: a},
				wire.Op{Put: it.Key, Value: jobstore.JobPage{LastSealed: seq, Closed: true}})
		}
		if err != nil {
			return err
		}
	}
	if mem == nil {
		m.unrepaired = append(m.unrepaired, unrepairedRecord{recordVersion{key, m.entries[key].Version}, was})
		return nil
	}
	return m.restoreJobs(ctx, key, a, mem.Entries)
}

// highestSequence is the highest number of a bucket's pages.
func (m *repairer) highestSequence(bucket int) (last uint64) {
	for key := range m.entries {
		if b, seq, ok := jobstore.ParseJobPageKey(key); ok && b == bucket {
			last = max(last, seq, m.pages[key].LastSealed)
		}
	}
	return last
}

// hasReadableRecord says whether a job has a record elsewhere.
func (m *repairer) hasReadableRecord(id string) bool {
	if _, ok := m.entries[jobstore.JobKey(id)]; ok {
		return true
	}
	for _, rec := range m.pages {
		for _, e := range rec.Entries {
			if e.ID == id {
				return true
			}
		}
	}
	return false
}

// restoreJobs moves the jobs of a page that was set aside to pages that can be read, so
// many at a time that each has its conditions: it is not over, and it has not been
// accepted again meanwhile. The page changes each time, since whoever cancels
// one of its jobs has its version as the condition.
func (m *repairer) restoreJobs(ctx context.Context, key string, a jobstore.QuarantinedPage, jobs []jobstore.JobPageEntry) error {
	bucket, _, _ := jobstore.ParseJobPageKey(key)
	head := jobstore.HeadPageKey(bucket)
	most := (4*m.leadership.node.cfg.Cluster.State.TxnOps - 3) / 2
	var rest []jobstore.JobPageEntry
	for _, e := range jobs {
		if !m.hasReadableRecord(e.ID) {
			rest = append(rest, e)
		}
	}
	back := 0
	for {
		batch := rest[:min(most, len(rest))]
		guards := []wire.Guard{{Key: key, Version: m.entries[key].Version}, {Key: head, Version: m.entries[head].Version}}
		var ops []wire.Op
		if len(batch) > 0 {
			for _, e := range batch {
				guards = append(guards, wire.Guard{Key: jobstore.JobKey(e.ID)}, wire.Guard{Key: jobstore.FinalKey(e.ID)})
			}
			h := m.pages[head]
			h.Closed = h.Closed || m.entries[head].Version == 0
			h.LastSealed = m.highestSequence(bucket) + 1
			ops = append(ops, wire.Op{Put: jobstore.SealedPageKey(bucket, h.LastSealed), Value: jobstore.JobPage{Entries: batch}}, wire.Op{Put: head, Value: h})
		}
		if len(batch) == len(rest) {
			ops = append(ops, wire.Op{Delete: key})
		} else {
			ops = append(ops, wire.Op{Put: key, Value: a})
		}
		err := m.commit(ctx, guards, ops...)
		var c *kvstore.ConflictError
		if errors.As(err, &c) {
			var still []jobstore.JobPageEntry
			for _, e := range rest {
				if !slices.Contains(c.FailedKeys, jobstore.JobKey(e.ID)) && !slices.Contains(c.FailedKeys, jobstore.FinalKey(e.ID)) {
					still = append(still, e)
				}
			}
			if len(still) < len(rest) {
				rest = still
				continue
			}
		}
		if err != nil {
			return err
		}
		back += len(batch)
		if rest = rest[len(batch):]; len(rest) == 0 {
			m.leadership.log.Error("jobs of an unreadable page are back, as a node remembers them", "key", key, "was", a.OriginalKey, "jobs", back)
			return nil
		}
	}
}

// retryRepairs looks for what could not be mended when this leader took over: a node
// that remembers it may have been away then. And what other nodes can't read, this
// leader may know. It then gives way, once for each, to a leadership that begins by
// mending: what jobs there are must not change under a leader's hands.
func (l *leadership) retryRepairs(ctx context.Context) {
	for call.Pause(ctx, repairRetryInterval) {
		l.node.mu.Lock()
		told := l.node.repairs.reported
		l.node.repairs.reported = nil
		rest := l.node.repairs.unrepaired
		l.node.mu.Unlock()
		for t := range told {
			if e, err := l.node.kv.Get(ctx, t.key); err != nil || e.Version != t.version || isReadable(e) {
				continue
			}
			l.mu.Lock()
			jobs, ok := l.model.AdmissionEntries(t.key, t.version)
			l.mu.Unlock()
			if ok {
				l.node.keepCopy(t, &jobstore.RecoveryCopy{Entries: jobs})
			}
			if l.resignForRepair(t) {
				return
			}
		}
		for _, r := range rest {
			if l.node.recoverCopy(ctx, r.recordVersion, r.original) != nil && l.resignForRepair(r.recordVersion) {
				return
			}
		}
	}
}

func isReadable(e wire.Entry) bool {
	var err error
	if e.Key == jobstore.SchemaKey {
		_, err = jobstore.DecodeSchema(e.Value)
	} else {
		_, err = jobstore.DecodeJobPage(e.Value)
	}
	return err == nil
}

// keepCopy remembers what a leader of this node knew of a page for the next one.
func (n *Node) keepCopy(t recordVersion, m *jobstore.RecoveryCopy) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.repairs.copies == nil || len(n.repairs.copies) >= maxRecoveredCopies {
		n.repairs.copies = map[recordVersion]*jobstore.RecoveryCopy{}
	}
	n.repairs.copies[t] = m
}

// resignForRepair ends this leadership so that the next one mends a record, unless that was
// in vain before.
func (l *leadership) resignForRepair(t recordVersion) bool {
	l.node.mu.Lock()
	if l.node.repairs.attempted == nil || len(l.node.repairs.attempted) >= 64*maxRecoveredCopies {
		l.node.repairs.attempted = map[recordVersion]bool{}
	}
	tried := l.node.repairs.attempted[t]
	l.node.repairs.attempted[t] = true
	l.node.mu.Unlock()
	if tried {
		return false
	}
	l.log.Error("a record that can't be read can be mended: the next leader does", "key", t.key, "version", t.version)
	l.lease.Resign()
	return true
}
