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
	// mendRounds is how often a leader that takes over looks again what there is to
	// mend, since others have changed the same.
	mendRounds = 4
	// mendEvery is how often a leader looks whether a node remembers what could not
	// be mended.
	mendEvery = 5 * time.Second
	// keptMost bounds what a node that led remembers of pages for the next leader.
	keptMost = 16
)

// last names a record in one version of it.
type at struct {
	key     string
	version uint64
}

// mending is what a node knows of records that can't be read; guarded by the
// node's lock.
type mending struct {
	told  map[at]bool             // other nodes can't read them
	tried map[at]bool             // for which this node has resigned once
	kept  map[at]*jobstore.Memory // as a leader of this node knew them
	left  []left                  // of this leader's own: what could not be mended
}

// left is a record that could not be mended when a leader took over.
type left struct {
	at
	was at // as it was before it was set aside
}

// told notes that another node can't read a record. The leader may know it still.
func (n *Node) told(key string, version uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.active == nil || len(n.mending.told) >= keptMost {
		return
	}
	if n.mending.told == nil {
		n.mending.told = map[at]bool{}
	}
	n.mending.told[at{key, version}] = true
}

// recalled is what this node remembers of a record.
func (n *Node) recalled(ctx context.Context, rec, was at) *jobstore.Memory {
	n.mu.Lock()
	m := n.mending.kept[rec]
	if m == nil {
		m = n.mending.kept[was]
	}
	n.mu.Unlock()
	if m != nil {
		return m
	}
	return n.jobs.Recall(ctx, rec.key, rec.version)
}

// FetchRecoveredRecord implements mesh.Handler.
func (n *Node) RecoverRecord(ctx context.Context, r peerrpc.Request) peerrpc.Answer {
	m := n.recalled(ctx, at{r.ID, r.At}, at{r.Lost, r.LostAt})
	if m == nil {
		return peerrpc.Answer{Status: http.StatusNotFound}
	}
	return answer(http.StatusOK, m, 0)
}

// recall asks all nodes for what they remember of a record in a version of it, this
// one first.
func (n *Node) recall(ctx context.Context, rec, was at) *jobstore.Memory {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if m := n.recalled(ctx, rec, was); m != nil {
		return m
	}
	var wg sync.WaitGroup
	found := make(chan *jobstore.Memory, len(n.peers))
	for _, p := range n.peers {
		wg.Go(func() {
			a, err := p.FetchRecoveredRecord(ctx, peerrpc.Request{ID: rec.key, At: rec.version, Lost: was.key, LostAt: was.version})
			m := &jobstore.Memory{}
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

// mender mends what a listing has.
type mender struct {
	l       *leadership
	items   map[string]wire.Entry
	pages   map[string]jobstore.IntakeRecord // that can be read
	left    []left
	changed bool
}

// mended lists all active records, mended as far as can be.
func (l *leadership) mended(ctx context.Context) (items []wire.Entry, rev uint64, err error) {
	for range mendRounds {
		if items, rev, err = l.node.kv.List(ctx, jobstore.Active); err != nil {
			return nil, 0, err
		}
		m := &mender{l: l, items: map[string]wire.Entry{}, pages: map[string]jobstore.IntakeRecord{}}
		err = m.mend(ctx, items)
		l.node.mu.Lock()
		l.node.mending.left = m.left
		l.node.mu.Unlock()
		var c *kvstore.ConflictError
		switch {
		case err == nil && !m.changed:
			return items, rev, nil
		case errors.Is(err, jobstore.ErrNewer):
			return nil, 0, err
		case errors.As(err, &c) || err == nil:
		default:
			return nil, 0, err
		}
	}
	return nil, 0, fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
}

func (m *mender) mend(ctx context.Context, items []wire.Entry) error {
	for _, it := range items {
		m.items[it.Key] = it
		if rec, err := jobstore.DecodeIntake(it.Value); err == nil && jobstore.IsIntake(it.Key) {
			m.pages[it.Key] = rec
		}
	}
	for _, it := range items {
		var err error
		id, alone := jobstore.ParseJobKey(it.Key)
		switch {
		case it.Key == jobstore.FormKey:
			err = m.form(ctx, it)
		case alone:
			if _, bad := jobstore.DecodeJob(id, it.Value); bad != nil {
				err = m.job(ctx, id, it)
			}
		case strings.HasPrefix(it.Key, jobstore.Apps):
			if !jobstore.IsApp(it.Value) {
				err = m.app(ctx, it)
			}
		case jobstore.IsIntake(it.Key):
			if _, ok := m.pages[it.Key]; !ok {
				err = m.intake(ctx, it)
			}
		}
		if errors.Is(err, kvstore.ErrInvalidRequest) {
			m.l.log.Error("an unreadable record can't be mended", "key", it.Key, "err", err)
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// put commits under this leadership, and keeps what it has written.
func (m *mender) put(ctx context.Context, guards []wire.Guard, ops ...wire.Op) error {
	rev, err := m.l.node.kv.CompareAndSwap(ctx, append([]wire.Guard{m.l.leaderGuard()}, guards...), ops)
	if err != nil {
		return err
	}
	m.changed = true
	for _, op := range ops {
		if op.Delete != "" {
			delete(m.items, op.Delete)
			continue
		}
		m.items[op.Put] = wire.Entry{Key: op.Put, Version: rev}
		if rec, ok := op.Value.(jobstore.IntakeRecord); ok {
			m.pages[op.Put] = rec
		}
	}
	return nil
}

// job writes the record of a job that some node remembers as it was.
func (m *mender) job(ctx context.Context, id string, it wire.Entry) error {
	mem := m.l.node.recall(ctx, at{it.Key, it.Version}, at{})
	if mem == nil {
		m.left = append(m.left, left{at: at{it.Key, it.Version}})
		return nil
	}
	if _, err := jobstore.DecodeJob(id, mem.Raw); err != nil {
		return nil
	}
	m.l.log.Error("unreadable job record: written again as a node remembers it", "key", it.Key)
	return m.put(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}}, wire.Op{Put: it.Key, Value: mem.Raw})
}

// app writes a door's record that some node remembers as it was.
func (m *mender) app(ctx context.Context, it wire.Entry) error {
	mem := m.l.node.recall(ctx, at{it.Key, it.Version}, at{})
	if mem == nil || !jobstore.IsApp(mem.Raw) {
		m.left = append(m.left, left{at: at{it.Key, it.Version}})
		return nil
	}
	m.l.log.Error("unreadable record of a door: written again as a node remembers it", "key", it.Key)
	return m.put(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}}, wire.Op{Put: it.Key, Value: mem.Raw})
}

// form writes the form of the records again: as some node remembers it, as its copy
// says, or else as the records themselves show.
func (m *mender) form(ctx context.Context, it wire.Entry) error {
	if _, err := jobstore.DecodeForm(it.Value); err == nil {
		return nil
	}
	var form jobstore.FormRecord
	err := jobstore.ErrDamaged
	if mem := m.l.node.recall(ctx, at{it.Key, it.Version}, at{}); mem != nil {
		form, err = jobstore.DecodeForm(mem.Raw)
	}
	if err != nil {
		e, gerr := m.l.node.kv.Get(ctx, jobstore.FormCopyKey)
		if gerr != nil {
			return gerr
		}
		form, err = jobstore.DecodeForm(e.Value)
	}
	if err != nil {
		// A version that writes a newer form has written the copy as well.
		wanted, werr := m.l.wantedForm(ctx)
		if werr != nil {
			return werr
		}
		form = jobstore.FormRecord{Form: wanted, Buckets: jobstore.BucketsBy(m.pages, len(m.l.node.peers)+1)}
	}
	if form.Form > jobstore.Form {
		return jobstore.ErrNewer
	}
	m.l.log.Error("the form of the records can't be read: written again", "key", it.Key, "form", form.Form, "buckets", form.Buckets)
	return m.put(ctx, []wire.Guard{{Key: it.Key, Version: it.Version}},
		wire.Op{Put: jobstore.FormKey, Value: form}, wire.Op{Put: jobstore.FormCopyKey, Value: form})
}

// intake sets a page of users' jobs aside that can't be read, puts an empty head in
// its place if it was one, and brings back what some node remembers of it.
func (m *mender) intake(ctx context.Context, it wire.Entry) error {
	n := m.l.node
	a, aside := jobstore.DecodeAside(it.Value)
	was := at{a.From, a.Version}
	if !aside {
		was = at{it.Key, it.Version}
	}
	mem := n.recall(ctx, at{it.Key, it.Version}, was)
	key := it.Key
	if !aside {
		bucket, seq, ok := jobstore.ParseIntakeKey(it.Key)
		if !ok {
			return nil // no page of this program's
		}
		a = jobstore.NewAside(it.Key, it.Version, time.Now().UnixMilli(), it.Value, n.jobs.Limits)
		guards := []wire.Guard{{Key: it.Key, Version: it.Version}}
		m.l.log.Error("unreadable page of jobs: set aside", "key", it.Key, "version", it.Version, "remembered", mem != nil)
		var err error
		if seq > 0 {
			err = m.put(ctx, guards, wire.Op{Put: it.Key, Value: a})
		} else {
			// Above all pages that there are, so that none is written over; the
			// page goes before the head, so that readers meet it first.
			seq = max(m.lastSeq(bucket), it.Version) + 1
			key = jobstore.SealedKey(bucket, seq)
			err = m.put(ctx, guards, wire.Op{Put: key, Value: a},
				wire.Op{Put: it.Key, Value: jobstore.IntakeRecord{Seq: seq, Closed: true}})
		}
		if err != nil {
			return err
		}
	}
	if mem == nil {
		m.left = append(m.left, left{at{key, m.items[key].Version}, was})
		return nil
	}
	return m.bringBack(ctx, key, a, mem.Jobs)
}

// lastSeq is the highest number of a bucket's pages.
func (m *mender) lastSeq(bucket int) (last uint64) {
	for key := range m.items {
		if b, seq, ok := jobstore.ParseIntakeKey(key); ok && b == bucket {
			last = max(last, seq, m.pages[key].Seq)
		}
	}
	return last
}

// stands says whether a job has a record elsewhere.
func (m *mender) stands(id string) bool {
	if _, ok := m.items[jobstore.JobKey(id)]; ok {
		return true
	}
	for _, rec := range m.pages {
		for _, e := range rec.Jobs {
			if e.ID == id {
				return true
			}
		}
	}
	return false
}

// bringBack moves the jobs of a page that was set aside to pages that can be read, so
// many at a time that each has its conditions: it is not over, and it has not been
// accepted again meanwhile. The page changes each time, since whoever cancels
// one of its jobs has its version as the condition.
func (m *mender) bringBack(ctx context.Context, key string, a jobstore.Aside, jobs []jobstore.IntakeEntry) error {
	bucket, _, _ := jobstore.ParseIntakeKey(key)
	head := jobstore.HeadKey(bucket)
	most := (4*m.l.node.cfg.Cluster.State.TxnOps - 3) / 2
	var rest []jobstore.IntakeEntry
	for _, e := range jobs {
		if !m.stands(e.ID) {
			rest = append(rest, e)
		}
	}
	back := 0
	for {
		batch := rest[:min(most, len(rest))]
		guards := []wire.Guard{{Key: key, Version: m.items[key].Version}, {Key: head, Version: m.items[head].Version}}
		var ops []wire.Op
		if len(batch) > 0 {
			for _, e := range batch {
				guards = append(guards, wire.Guard{Key: jobstore.JobKey(e.ID)}, wire.Guard{Key: jobstore.FinalKey(e.ID)})
			}
			h := m.pages[head]
			h.Closed = h.Closed || m.items[head].Version == 0
			h.Seq = m.lastSeq(bucket) + 1
			ops = append(ops, wire.Op{Put: jobstore.SealedKey(bucket, h.Seq), Value: jobstore.IntakeRecord{Jobs: batch}}, wire.Op{Put: head, Value: h})
		}
		if len(batch) == len(rest) {
			ops = append(ops, wire.Op{Delete: key})
		} else {
			ops = append(ops, wire.Op{Put: key, Value: a})
		}
		err := m.put(ctx, guards, ops...)
		var c *kvstore.ConflictError
		if errors.As(err, &c) {
			var still []jobstore.IntakeEntry
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
			m.l.log.Error("jobs of an unreadable page are back, as a node remembers them", "key", key, "was", a.From, "jobs", back)
			return nil
		}
	}
}

// mendLater looks for what could not be mended when this leader took over: a node
// that remembers it may have been away then. And what other nodes can't read, this
// leader may know. It then gives way, once for each, to a leadership that begins by
// mending: what jobs there are must not change under a leader's hands.
func (l *leadership) mendLater(ctx context.Context) {
	for call.Pause(ctx, mendEvery) {
		l.node.mu.Lock()
		told := l.node.mending.told
		l.node.mending.told = nil
		rest := l.node.mending.left
		l.node.mu.Unlock()
		for t := range told {
			if e, err := l.node.kv.Get(ctx, t.key); err != nil || e.Version != t.version || readable(e) {
				continue
			}
			l.mu.Lock()
			jobs, ok := l.model.Intake(t.key, t.version)
			l.mu.Unlock()
			if ok {
				l.node.keep(t, &jobstore.Memory{Jobs: jobs})
			}
			if l.giveWay(t) {
				return
			}
		}
		for _, r := range rest {
			if l.node.recall(ctx, r.at, r.was) != nil && l.giveWay(r.at) {
				return
			}
		}
	}
}

func readable(e wire.Entry) bool {
	var err error
	if e.Key == jobstore.FormKey {
		_, err = jobstore.DecodeForm(e.Value)
	} else {
		_, err = jobstore.DecodeIntake(e.Value)
	}
	return err == nil
}

// keep remembers what a leader of this node knew of a page for the next one.
func (n *Node) keep(t at, m *jobstore.Memory) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mending.kept == nil || len(n.mending.kept) >= keptMost {
		n.mending.kept = map[at]*jobstore.Memory{}
	}
	n.mending.kept[t] = m
}

// giveWay ends this leadership so that the next one mends a record, unless that was
// held vain before.
func (l *leadership) giveWay(t at) bool {
	l.node.mu.Lock()
	if l.node.mending.tried == nil || len(l.node.mending.tried) >= 64*keptMost {
		l.node.mending.tried = map[at]bool{}
	}
	tried := l.node.mending.tried[t]
	l.node.mending.tried[t] = true
	l.node.mu.Unlock()
	if tried {
		return false
	}
	l.log.Error("a record that can't be read can be mended: the next leader does", "key", t.key, "version", t.version)
	l.lease.Resign()
	return true
}
