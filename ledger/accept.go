package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/state"
	"github.com/umberdeal/umberdeal/wire"
)

// This file takes submissions: those that come together are committed together.

// Limits are those of the state service that bear on how much goes into a
// transaction.
type Limits struct {
	TxnOps  int     // puts and deletes; four times as many conditions
	ValueKB float64 // KiB of a value
}

// conditions is how many jobs a transaction can take: each has two conditions,
// the head and the form one each.
func (l Limits) jobs() int {
	ops := l.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return (4*ops - 2) / 2
}

// bytes is the largest page.
func (l Limits) bytes() int {
	kb := l.ValueKB
	if kb <= 0 {
		kb = 16
	}
	return int(min(kb, 28)*1024) - 256 // two of them fit into a transaction
}

// intakePage is a page of users' jobs as last read or written.
type intakePage struct {
	version uint64
	rec     IntakeRecord
	size    int
}

// unreadable names a record that can't be read; the others go on.
func (r *Reader) unreadable(key string, err error) {
	if r.Log != nil {
		r.Log.Error("unreadable record", "key", key, "err", err)
	}
}

// setIntake replaces what stands on a page of users' jobs. A job may have come
// from another page in the same transaction, in either order.
func (r *Reader) setIntake(key string, rec IntakeRecord, version uint64) {
	p := r.intake[key]
	if p == nil {
		p = &intakePage{}
		r.intake[key] = p
	}
	if version <= p.version {
		return
	}
	stays := make(map[string]bool, len(rec.Jobs))
	for _, e := range rec.Jobs {
		stays[e.ID] = true
	}
	for _, e := range p.rec.Jobs {
		if j := r.jobs[e.ID]; j != nil && j.home == key && !stays[e.ID] {
			j.version, j.home = 0, ""
			r.drop(e.ID, j)
		}
	}
	for _, e := range rec.Jobs {
		j := r.job(e.ID)
		if j.version == 0 {
			got, err := e.Decode()
			if err != nil {
				r.unreadable(key, err)
				got = JobRecord{Job: wire.Job{ID: e.ID, Tasks: 1}} // it is known, and that is all
			}
			j.rec = got
		}
		j.version, j.home = max(j.version, version), key
	}
	p.version, p.rec, p.size = version, rec, rec.Size()
}

// known says whether a job is accepted, as last read; the lock is held.
func (r *Reader) known(id string) bool {
	if _, ok := r.finals[id]; ok {
		return true
	}
	j := r.jobs[id]
	return j != nil && j.version != 0
}

// submission waits for its job to be committed.
type submission struct {
	id    string
	entry IntakeEntry
	done  chan accepted
}

type accepted struct {
	known bool
	err   error
}

// queue is what waits for a bucket's next transaction.
type queue struct {
	waiting []*submission
	busy    bool      // a transaction is under way
	lostAt  time.Time // when another node last was first
}

// Accept commits a submission. known is true where the id is known already.
func (r *Reader) Accept(ctx context.Context, j wire.Job, at time.Time) (known bool, err error) {
	rec := JobRecord{Job: j, AtMs: at.UnixMilli()}
	raw, err := wire.Marshal(rec)
	if err != nil {
		return false, err
	}
	entry := IntakeEntry{ID: j.ID, Record: raw}
	for range 4 {
		r.mu.Lock()
		form, formAt := r.form, r.formAt
		r.mu.Unlock()
		if form.Form > Form {
			return false, ErrNewer
		}
		if form.Form >= FormIntake && entry.size() <= r.Limits.bytes()/4 {
			return r.queueUp(ctx, form.Bucket(j.ID), entry)
		}
		known, again, err := r.acceptAlone(ctx, j.ID, rec, form, formAt)
		if !again {
			return known, err
		}
		if err := r.sync(ctx); err != nil {
			return false, err
		}
	}
	return false, fmt.Errorf("%w: too many conflicts", state.ErrRefused)
}

// acceptAlone gives a job a key of its own: while the records have that form,
// and where it is too large to share a page. It is not to be committed beside a
// page that has the job, so that its condition is the form, or the bucket's
// head, as they were when the job was not known. again says that these have
// changed.
func (r *Reader) acceptAlone(ctx context.Context, id string, rec JobRecord, form FormRecord, formAt uint64) (known, again bool, err error) {
	guards := []wire.Guard{{Key: JobKey(id)}, {Key: FinalKey(id)}, {Key: FormKey, Version: formAt}}
	if form.Form >= FormIntake {
		head := HeadKey(form.Bucket(id))
		r.mu.Lock()
		if r.known(id) {
			r.mu.Unlock()
			return true, false, nil
		}
		guards = append(guards, wire.Guard{Key: head, Version: r.headVersion(head)})
		r.mu.Unlock()
	}
	_, err = r.store.Commit(ctx, guards, []wire.Op{{Put: JobKey(id), Value: rec}})
	var c *state.Conflict
	if !errors.As(err, &c) {
		return false, false, err
	}
	if slices.Contains(c.Failed, JobKey(id)) || slices.Contains(c.Failed, FinalKey(id)) {
		return true, false, nil
	}
	return false, true, nil
}

func (r *Reader) headVersion(key string) uint64 {
	if p := r.intake[key]; p != nil {
		return p.version
	}
	return 0
}

// Form is the form of the records as last read.
func (r *Reader) Form() FormRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.form
}

// crowdFor is for how long a node that was not the first to change a head leaves
// that bucket to one node.
const crowdFor = 2 * time.Second

// Crowded says whether submissions of a bucket had better come to one node now:
// a transaction of this one is under way, or another node was first lately.
func (r *Reader) Crowded(bucket int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[bucket]
	return q != nil && (q.busy || time.Since(q.lostAt) < crowdFor)
}

// queueUp commits a job together with those that wait as well. The first one
// waits for nobody; those that come while a transaction is under way share the
// next.
func (r *Reader) queueUp(ctx context.Context, bucket int, e IntakeEntry) (known bool, err error) {
	s := &submission{id: e.ID, entry: e, done: make(chan accepted, 1)}
	r.mu.Lock()
	if r.ctx == nil || r.ended {
		r.mu.Unlock()
		return false, fmt.Errorf("%w: shutting down", state.ErrRefused)
	}
	q := r.queues[bucket]
	if q == nil {
		q = &queue{}
		r.queues[bucket] = q
	}
	q.waiting = append(q.waiting, s)
	if !q.busy {
		q.busy = true
		r.writers.Add(1)
		go func() { defer r.writers.Done(); r.drain(r.ctx, bucket, q) }()
	}
	r.mu.Unlock()
	select {
	case a := <-s.done:
		return a.known, a.err
	case <-ctx.Done():
		r.mu.Lock()
		q.waiting = slices.DeleteFunc(q.waiting, func(o *submission) bool { return o == s })
		r.mu.Unlock()
		return false, fmt.Errorf("%w: %v", state.ErrUnknown, ctx.Err())
	}
}

// drain commits what waits for a bucket until nothing does.
func (r *Reader) drain(ctx context.Context, bucket int, q *queue) {
	for {
		r.mu.Lock()
		batch := r.gather(q)
		if len(batch) == 0 {
			q.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		bctx, cancel := context.WithTimeout(ctx, 3*time.Second)
		r.commitBatch(bctx, bucket, q, batch)
		cancel()
	}
}

// gather takes what fits into a transaction off a queue, each id once: a repeat
// of a submission waits for the next, and is told that it is known.
func (r *Reader) gather(q *queue) []*submission {
	var batch []*submission
	ids := map[string]bool{}
	left, bytes := q.waiting[:0:0], 0
	for _, s := range q.waiting {
		size := s.entry.size()
		if ids[s.id] || len(batch) >= r.Limits.jobs() || len(batch) > 0 && bytes+size > r.Limits.bytes()*3/4 {
			left = append(left, s)
			continue
		}
		ids[s.id] = true
		bytes += size
		batch = append(batch, s)
	}
	q.waiting = left
	return batch
}

// commitBatch commits submissions of a bucket, and answers each.
func (r *Reader) commitBatch(ctx context.Context, bucket int, q *queue, batch []*submission) {
	answer := func(which func(*submission) bool, a accepted) {
		batch = slices.DeleteFunc(batch, func(s *submission) bool {
			if which(s) {
				s.done <- a
				return true
			}
			return false
		})
	}
	all := func(*submission) bool { return true }
	var err error
	for try := 0; try < 6 && ctx.Err() == nil; try++ {
		r.mu.Lock()
		answer(func(s *submission) bool { return r.known(s.id) }, accepted{known: true})
		guards, ops := r.compose(bucket, batch)
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		var rev uint64
		rev, err = r.store.Commit(ctx, guards, ops)
		if err == nil {
			r.wrote(ops, rev)
			answer(all, accepted{})
			return
		}
		var c *state.Conflict
		switch {
		case errors.As(err, &c):
			answer(func(s *submission) bool {
				return slices.Contains(c.Failed, JobKey(s.id)) || slices.Contains(c.Failed, FinalKey(s.id))
			}, accepted{known: true})
			if slices.Contains(c.Failed, HeadKey(bucket)) {
				r.mu.Lock()
				if try == 0 {
					q.lostAt = time.Now()
				}
				r.mu.Unlock()
			} else if !slices.Contains(c.Failed, FormKey) {
				continue
			}
		case errors.Is(err, state.ErrUnknown):
			// It may have been committed: then the head has them.
		default:
			answer(all, accepted{err: err})
			return
		}
		if serr := r.sync(ctx); serr != nil {
			err = serr
			break
		}
	}
	if err == nil || errors.As(err, new(*state.Conflict)) {
		err = fmt.Errorf("%w: too many conflicts", state.ErrRefused)
	}
	answer(all, accepted{err: err})
}

// compose makes a transaction that adds jobs to a bucket; the lock is held. Its
// conditions: the head is as it was when none of them was known, and none has a
// key of its own or is over.
func (r *Reader) compose(bucket int, batch []*submission) ([]wire.Guard, []wire.Op) {
	key := HeadKey(bucket)
	guards := make([]wire.Guard, 0, 2+2*len(batch))
	guards = append(guards, wire.Guard{Key: key, Version: r.headVersion(key)}, wire.Guard{Key: FormKey, Version: r.formAt})
	var head IntakeRecord
	size := 0
	if p := r.intake[key]; p != nil {
		head, size = p.rec, p.size
	}
	added := make([]IntakeEntry, 0, len(batch))
	for _, s := range batch {
		guards = append(guards, wire.Guard{Key: JobKey(s.id)}, wire.Guard{Key: FinalKey(s.id)})
		added = append(added, s.entry)
		size += s.entry.size()
	}
	// Pages are kept to half of what a value may be, since every job that leaves
	// one costs writing what is left of it.
	if len(head.Jobs) == 0 || size <= r.Limits.bytes()/2 {
		return guards, []wire.Op{{Put: key, Value: IntakeRecord{Seq: head.Seq, Jobs: slices.Concat(head.Jobs, added)}}}
	}
	return guards, []wire.Op{
		{Put: SealedKey(bucket, head.Seq+1), Value: IntakeRecord{Jobs: head.Jobs}},
		{Put: key, Value: IntakeRecord{Seq: head.Seq + 1, Jobs: added}},
	}
}

// wrote takes in what this node has committed, before a barrier brings it.
func (r *Reader) wrote(ops []wire.Op, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded {
		return
	}
	for _, op := range ops {
		if rec, ok := op.Value.(IntakeRecord); ok && op.Put != "" {
			r.setIntake(op.Put, rec, rev)
		} else if IsIntake(op.Delete) {
			r.setIntake(op.Delete, IntakeRecord{}, rev) // kept until the barrier that brings it
		}
	}
}

// cancelOnPage ends a job whose record shares a page with others.
func (r *Reader) cancelOnPage(ctx context.Context, id, home string, over JobRecord) error {
	r.mu.Lock()
	p := r.intake[home]
	if p == nil || !slices.ContainsFunc(p.rec.Jobs, func(e IntakeEntry) bool { return e.ID == id }) {
		r.mu.Unlock()
		return fmt.Errorf("%w: the job has moved", state.ErrUnknown)
	}
	rec, version := p.rec.Without(map[string]bool{id: true}), p.version
	r.mu.Unlock()
	op := wire.Op{Put: home, Value: rec}
	if len(rec.Jobs) == 0 && !IsHead(home) {
		op = wire.Op{Delete: home}
	}
	ops := []wire.Op{op, {Put: FinalKey(id), Value: over}}
	rev, err := r.store.Commit(ctx, []wire.Guard{{Key: home, Version: version}, {Key: FinalKey(id)}}, ops)
	if err == nil {
		r.wrote(ops, rev)
	}
	return err
}
