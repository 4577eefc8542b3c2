package jobstore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file takes submissions: those that come together are committed together.

// Limits are those of the state service that bear on how much goes into a
// transaction.
type Limits struct {
	TxnOps  int     // puts and deletes; four times as many conditions
	ValueKB float64 // KiB of a value
}

// valueBytes is how much a value may have.
func (l Limits) valueBytes() int {
	kb := l.ValueKB
	if kb <= 0 {
		kb = 16
	}
	return int(kb * 1024)
}

// jobs is how many jobs a transaction can take that has that many conditions for
// each; the head and the form have one each.
func (l Limits) jobs(each int) int {
	ops := l.TxnOps
	if ops <= 0 {
		ops = 12
	}
	return (4*ops - 2) / each
}

// bytes is the largest page.
func (l Limits) bytes() int {
	return min(l.valueBytes(), 18<<10) - 256 // three of them fit into a transaction
}

// intakePage is a page of users' jobs as last read or written.
type intakePage struct {
	version uint64
	rec     JobPage
	size    int
	since   uint64 // of a head that is open: the version by which it was known to be
}

func (p *intakePage) closed() bool { return p == nil || p.version == 0 || p.rec.Closed }

// unreadable names a record that can't be read; the others go on.
func (r *Store) unreadable(key string, err error) {
	if r.Log != nil {
		r.Log.Error("unreadable record", "key", key, "err", err)
	}
}

// damaged names a job whose record can't be read, and stands in for it: the job is
// known, and that is all.
func (r *Store) damaged(key, id string, err error) JobRecord {
	r.unreadable(key, err)
	return JobRecord{Job: wire.Job{ID: id, Tasks: 1}}
}

// setIntake replaces what stands on a page of users' jobs. A job may have come
// from another page in the same transaction, in either order.
func (r *Store) setIntake(key string, rec JobPage, version uint64) {
	p := r.intake[key]
	if p == nil {
		p = &intakePage{}
		r.intake[key] = p
	}
	if version <= p.version || version < r.lost[key].version {
		return
	}
	again := r.lost[key].version != 0
	delete(r.lost, key)
	stays := make(map[string]bool, len(rec.Entries))
	for _, e := range rec.Entries {
		stays[e.ID] = true
	}
	for _, e := range p.rec.Entries {
		if j := r.jobs[e.ID]; j != nil && j.home == key && !stays[e.ID] {
			j.version, j.home = 0, ""
			r.drop(e.ID, j)
		}
	}
	for _, e := range rec.Entries {
		j := r.job(e.ID)
		if j.version == 0 || j.bad || again {
			got, err := e.Decode()
			if err != nil {
				got = r.damaged(key, e.ID, err)
			}
			j.rec, j.bad = got, err != nil
		}
		j.version, j.home = max(j.version, version), key
	}
	if p.closed() {
		p.since = version
	}
	p.version, p.rec, p.size = version, rec, rec.Size()
}

// lostPage is a page of users' jobs that can't be read.
type lostPage struct {
	version uint64
	aside   bool          // a leader has set it aside, so that no leader knows its jobs
	from    string        // where it stood before
	of      uint64        // in which version
	was     *RecoveryCopy // what this node remembers of that, nil for nothing
}

// loseIntake notes that a page of users' jobs can't be read in its newest version.
// What was known of it stays known, and so do the jobs that still stand there.
// The page keeps the version that was last read, so that nothing is written over
// it.
func (r *Store) loseIntake(key string, a QuarantinedPage, aside bool, version uint64) {
	p := r.intake[key]
	if p == nil {
		p = &intakePage{}
		r.intake[key] = p
	}
	if version <= p.version || version <= r.lost[key].version {
		return
	}
	l := lostPage{version: version, aside: aside, from: a.OriginalKey, of: a.OriginalVersion}
	if l.was = r.lost[a.OriginalKey].was; r.lost[a.OriginalKey].version != a.OriginalVersion {
		l.was = nil
	}
	if from := r.intake[a.OriginalKey]; from != nil && from.version == a.OriginalVersion && r.lost[a.OriginalKey].version == 0 {
		l.was = &RecoveryCopy{Entries: slices.Clone(from.rec.Entries)}
	}
	if before := r.lost[key]; before.from == a.OriginalKey && before.of == a.OriginalVersion {
		l.was = before.was // written again as it was
	}
	if from := r.intake[a.OriginalKey]; from != nil && from != p && aside && from.version <= a.OriginalVersion {
		// What was known of it has moved here, in a transaction that goes on to put
		// an empty head in its place.
		for _, e := range from.rec.Entries {
			if j := r.jobs[e.ID]; j != nil && j.home == a.OriginalKey {
				j.home = key
				p.rec.Entries = append(p.rec.Entries, e)
			}
		}
	}
	r.lost[key] = l
	for _, id := range salvageIDs(a.Raw) {
		if j := r.job(id); j.version == 0 {
			j.rec, j.version, j.home, j.bad = JobRecord{Job: wire.Job{ID: id, Tasks: 1}}, version, key, true
			p.rec.Entries = append(p.rec.Entries, JobPageEntry{ID: id})
		}
	}
}

// lostWith is a page that can't be read and on which a job may stand; the lock is
// held. The version is 0 where there is none.
func (r *Store) lostWith(id string) (key string, version uint64) {
	head := HeadPageKey(r.form.Bucket(id))
	for key, l := range r.lost {
		if r.form.Buckets == 0 || key == head || strings.HasPrefix(key, head+".") {
			return key, l.version
		}
	}
	return "", 0
}

// mayAccept says whether an id that this node does not know may be accepted; the
// lock is held. It may stand on a page that can't be read. Once a leader has set
// that aside no leader knows it or ever did place it, unless a page of placements
// says so, which this node reads: those that are placed are known. So nothing but
// its record is lost, and the user brings that again. Before, a leader may know it
// still, and may be placing it.
func (r *Store) mayAccept(id string) error {
	if r.formLost {
		return fmt.Errorf("%w: %s", ErrUnreadable, SchemaKey)
	}
	head := HeadPageKey(r.form.Bucket(id))
	for key, l := range r.lost {
		if key != head && !strings.HasPrefix(key, head+".") {
			continue
		}
		if !l.aside || len(r.blind) > 0 {
			return fmt.Errorf("%w: job %s may stand on %s", ErrUnreadable, id, key)
		}
	}
	return nil
}

// lostAt is the version of a page that can't be read, 0 if it can, and whether it
// has been set aside.
func (r *Store) lostAt(key string) (version uint64, aside bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lost[key]
	return l.version, l.aside
}

// known says whether a job is accepted, as last read; the lock is held. Only
// accepted jobs are placed.
func (r *Store) known(id string) bool {
	if _, ok := r.finals[id]; ok {
		return true
	}
	j := r.jobs[id]
	return j != nil && (j.version != 0 || len(j.chunks) > 0)
}

// submission waits for its job to be committed.
type submission struct {
	entry JobPageEntry
	tier  int
	done  chan accepted
}

type accepted struct {
	known bool
	err   error
}

// queue is what waits for a bucket's next transaction.
type queue struct {
	waiting []*submission
	ending  []*ending
	busy    bool      // a transaction is under way
	alone   int       // jobs that are being given keys of their own
	crowded time.Time // when submissions last shared a transaction
}

const (
	// crowd is how many jobs are given keys of their own at once, for each bucket and
	// node, before the head is opened: a change for each is more than there is.
	crowd = 4
	// calm is for how long submissions must have come one by one until the head is
	// closed again.
	calm = 5 * time.Second
	// acceptTries bounds how often a submission finds that things have changed.
	acceptTries = 6
)

// Accept commits a submission. known is true where the id is known already.
func (r *Store) Accept(ctx context.Context, j wire.Job, at time.Time) (known bool, err error) {
	rec := JobRecord{Job: j, AcceptedAtMs: at.UnixMilli()}
	raw, err := wire.Marshal(rec)
	if err != nil {
		return false, err
	}
	entry := JobPageEntry{ID: j.ID, Record: raw}
	large := entry.size() > r.Limits.bytes()/4
	for range acceptTries {
		r.mu.Lock()
		if !r.loaded {
			r.mu.Unlock()
			if err := r.readBarrier(ctx); err != nil {
				return false, err
			}
			r.mu.Lock()
		}
		if r.form.Version > LatestSchema {
			r.mu.Unlock()
			return false, ErrNewerSchema
		}
		if r.known(j.ID) {
			r.mu.Unlock()
			return true, nil
		}
		if err := r.mayAccept(j.ID); err != nil {
			r.mu.Unlock()
			return false, err
		}
		guards := []wire.Guard{{Key: JobKey(j.ID)}, {Key: FinalKey(j.ID)}, {Key: SchemaKey, Version: r.formAt}}
		ops := []wire.Op{{Put: JobKey(j.ID), Value: rec}}
		var q *queue
		if r.form.Version >= SchemaJobPages {
			bucket := r.form.Bucket(j.ID)
			key := HeadPageKey(bucket)
			q = r.queue(bucket)
			head := r.intake[key]
			// One that waits for its turn would have those behind it wait as well,
			// who could all share one transaction.
			many := q.alone >= crowd || !r.store.HasWriteCapacity(1)
			if !large && (!head.closed() || q.busy || many) {
				if many {
					q.crowded = time.Now()
				}
				s, err := r.enqueue(bucket, q, entry, r.tier(&j))
				r.mu.Unlock()
				if err != nil {
					return false, err
				}
				return r.await(ctx, q, s)
			}
			guards = append(guards, wire.Guard{Key: key, Version: r.headVersion(key)})
			if !head.closed() {
				// Whoever adds to an open head knows all keys of their own by its
				// version.
				ops = append(ops, wire.Op{Put: key, Value: head.rec})
			}
			q.alone++
		}
		r.mu.Unlock()
		rev, err := r.store.CompareAndSwap(ctx, guards, ops)
		if q != nil {
			r.mu.Lock()
			q.alone--
			r.mu.Unlock()
		}
		var c *kvstore.ConflictError
		switch {
		case err == nil:
			r.wrote(ops, rev)
			r.wroteAlone(j.ID, raw, rev)
			return false, nil
		case !errors.As(err, &c):
			return false, err
		case slices.Contains(c.FailedKeys, JobKey(j.ID)) || slices.Contains(c.FailedKeys, FinalKey(j.ID)):
			return true, nil
		}
		if err := r.readBarrier(ctx); err != nil {
			return false, err
		}
	}
	return false, fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
}

func (r *Store) headVersion(key string) uint64 {
	if p := r.intake[key]; p != nil {
		return p.version
	}
	return 0
}

// Schema is the form of the records as last read.
func (r *Store) Schema() SchemaRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.form
}

// Contended says whether submissions of a bucket had better come to one node now:
// its head is open, and those that add to it at once are in one another's way.
func (r *Store) Contended(bucket int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[bucket]
	return q != nil && (q.busy || q.alone >= crowd) || !r.intake[HeadPageKey(bucket)].closed()
}

// queue is a bucket's; the lock is held.
func (r *Store) queue(bucket int) *queue {
	q := r.queues[bucket]
	if q == nil {
		q = &queue{}
		r.queues[bucket] = q
	}
	return q
}

// enqueue has a job committed together with those that wait as well; the lock is
// held. The first one waits for nobody; those that come while a transaction is
// under way share the next.
func (r *Store) enqueue(bucket int, q *queue, e JobPageEntry, tier int) (*submission, error) {
	if r.ctx == nil || r.ended {
		return nil, fmt.Errorf("%w: shutting down", kvstore.ErrRefused)
	}
	s := &submission{entry: e, tier: tier, done: make(chan accepted, 1)}
	q.waiting = append(q.waiting, s)
	r.write(bucket, q)
	return s, nil
}

// write has what waits for a bucket committed; the lock is held.
func (r *Store) write(bucket int, q *queue) {
	if !q.busy {
		q.busy = true
		r.writers.Add(1)
		go func() { defer r.writers.Done(); r.drain(r.ctx, bucket, q) }()
	}
}

// await waits until a submission is answered.
func (r *Store) await(ctx context.Context, q *queue, s *submission) (known bool, err error) {
	select {
	case a := <-s.done:
		return a.known, a.err
	case <-ctx.Done():
		r.mu.Lock()
		q.waiting = slices.DeleteFunc(q.waiting, func(o *submission) bool { return o == s })
		r.mu.Unlock()
		return false, fmt.Errorf("%w: %v", kvstore.ErrOutcomeUnknown, ctx.Err())
	}
}

// drain commits what waits for a bucket until nothing does, cancellations and
// submissions in turn.
func (r *Store) drain(ctx context.Context, bucket int, q *queue) {
	for {
		r.mu.Lock()
		ends := r.takeEnding(q)
		r.mu.Unlock()
		if len(ends) > 0 {
			ectx, cancel := context.WithTimeout(ctx, 3*time.Second)
			r.commitEnding(ectx, ends)
			cancel()
		}
		r.mu.Lock()
		batch := r.gather(bucket, q)
		if len(batch) == 0 && len(q.ending) == 0 {
			q.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		if len(batch) > 0 {
			bctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			r.commitBatch(bctx, bucket, q, batch)
			cancel()
		}
	}
}

// each is how many conditions a job has that is added to a head; the lock is held.
// Once the head is open, jobs get keys of their own only by a transaction that
// changes the head; so whoever knows what there was when it was opened knows all
// such keys.
func (r *Store) each(key string) int {
	if p := r.intake[key]; p.closed() || r.rev < p.since {
		return 2
	}
	return 1
}

// gather takes what fits into a transaction off a queue, each id once: a repeat
// of a submission waits for the next, and is told that it is known.
func (r *Store) gather(bucket int, q *queue) []*submission {
	var batch []*submission
	ids := map[string]bool{}
	taken := map[*submission]bool{}
	bytes, most := 0, r.Limits.jobs(r.each(HeadPageKey(bucket)))
	for _, s := range inTurn(q.waiting, most) {
		size := s.entry.size()
		if ids[s.entry.ID] || len(batch) >= most || len(batch) > 0 && bytes+size > 2*r.Limits.bytes() {
			continue
		}
		ids[s.entry.ID], taken[s] = true, true
		bytes += size
		batch = append(batch, s)
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(s *submission) bool { return taken[s] })
	return batch
}

// TeamAndClass is the team and the class of an unfinished job, as last read; false if it
// is not known.
func (r *Store) TeamAndClass(id string) (team, class string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j == nil {
		return "", "", false
	}
	return j.rec.Job.Team, j.rec.Job.Class, true
}

// tier is a job's by the operators' order.
func (r *Store) tier(j *wire.Job) int {
	if r.Tier == nil {
		return 0
	}
	return r.Tier(j.Team, j.Class)
}

// inTurn puts submissions, of which a transaction takes so many, in the order in
// which they are taken: earlier tiers first, but a quarter is of those that have
// waited longest, whosever they are.
func inTurn(waiting []*submission, most int) []*submission {
	if len(waiting) <= most {
		return waiting
	}
	out := slices.Clone(waiting)
	slices.SortStableFunc(out[(most+3)/4:], func(a, b *submission) int { return a.tier - b.tier })
	return out
}

// commitBatch commits submissions of a bucket, and answers each.
func (r *Store) commitBatch(ctx context.Context, bucket int, q *queue, batch []*submission) {
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
	for try := 0; try < acceptTries && ctx.Err() == nil; try++ {
		r.mu.Lock()
		answer(func(s *submission) bool { return r.known(s.entry.ID) }, accepted{known: true})
		if len(batch) > 0 {
			if lost := r.mayAccept(batch[0].entry.ID); lost != nil { // and so for all of its bucket
				r.mu.Unlock()
				answer(all, accepted{err: lost})
				return
			}
		}
		if most := r.Limits.jobs(r.each(HeadPageKey(bucket))); len(batch) > most {
			// The head has been closed meanwhile, so that each needs more conditions.
			q.waiting = append(slices.Clone(batch[most:]), q.waiting...)
			batch = batch[:most]
		}
		guards, ops := r.compose(bucket, q, batch)
		r.mu.Unlock()
		if len(batch) == 0 {
			return
		}
		var rev uint64
		rev, err = r.store.CompareAndSwap(ctx, guards, ops)
		if err == nil {
			r.wrote(ops, rev)
			answer(all, accepted{})
			r.mu.Lock()
			stale := len(q.waiting) > 0 && r.each(HeadPageKey(bucket)) > 1
			r.mu.Unlock()
			if stale {
				_ = r.readBarrier(ctx) // where it fails the next transaction takes fewer
			}
			return
		}
		var c *kvstore.ConflictError
		switch {
		case errors.As(err, &c):
			answer(func(s *submission) bool {
				return slices.Contains(c.FailedKeys, JobKey(s.entry.ID)) || slices.Contains(c.FailedKeys, FinalKey(s.entry.ID))
			}, accepted{known: true})
			if !slices.Contains(c.FailedKeys, HeadPageKey(bucket)) && !slices.Contains(c.FailedKeys, SchemaKey) {
				continue
			}
		case errors.Is(err, kvstore.ErrOutcomeUnknown):
			// It may have been committed: then the head has them.
		default:
			answer(all, accepted{err: err})
			return
		}
		if serr := r.readBarrier(ctx); serr != nil {
			err = serr
			break
		}
	}
	if err == nil || errors.As(err, new(*kvstore.ConflictError)) {
		err = fmt.Errorf("%w: too many conflicts", kvstore.ErrRefused)
	}
	answer(all, accepted{err: err})
}

// compose makes a transaction that adds jobs to a bucket; the lock is held. Its
// conditions: the head is as it was when none of them was known, none is over,
// and none has a key of its own that this node may not know.
func (r *Store) compose(bucket int, q *queue, batch []*submission) ([]wire.Guard, []wire.Op) {
	key := HeadPageKey(bucket)
	each := r.each(key)
	guards := make([]wire.Guard, 0, 2+each*len(batch))
	guards = append(guards, wire.Guard{Key: key, Version: r.headVersion(key)}, wire.Guard{Key: SchemaKey, Version: r.formAt})
	var head JobPage
	size := 0
	if p := r.intake[key]; p != nil {
		head, size = p.rec, p.size
	}
	for _, s := range batch {
		guards = append(guards, wire.Guard{Key: FinalKey(s.entry.ID)})
		if each > 1 {
			guards = append(guards, wire.Guard{Key: JobKey(s.entry.ID)})
		}
		size += s.entry.size()
	}
	if len(batch) > 2 {
		q.crowded = time.Now()
	}
	next := JobPage{LastSealed: head.LastSealed, Entries: slices.Clone(head.Entries)}
	var ops []wire.Op
	seal := func() {
		if len(next.Entries) > 0 {
			next.LastSealed++
			ops = append(ops, wire.Op{Put: SealedPageKey(bucket, next.LastSealed), Value: JobPage{Entries: next.Entries}})
			next.Entries = nil
		}
	}
	if size > r.Limits.bytes() {
		seal()
	}
	bytes := next.Size()
	for _, s := range batch {
		if n := s.entry.size(); bytes+n > r.Limits.bytes() {
			seal()
			bytes = next.Size()
		}
		next.Entries = append(next.Entries, s.entry)
		bytes += s.entry.size()
	}
	if len(batch) <= 2 && time.Since(q.crowded) > calm {
		seal()
		next.Closed = true
	}
	return guards, append(ops, wire.Op{Put: key, Value: next})
}

// wroteAlone takes in a job that this node has given a key of its own.
func (r *Store) wroteAlone(id string, raw wire.Raw, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loaded && rev > r.rev {
		r.put(JobKey(id), raw, rev)
	}
}

// wrote takes in what this node has committed, before a barrier brings it. Where
// one has been faster, it may have brought what came after as well, and a page
// that is gone again must not come back.
func (r *Store) wrote(ops []wire.Op, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.loaded || rev <= r.rev {
		return
	}
	for _, op := range ops {
		if rec, ok := op.Value.(JobPage); ok && op.Put != "" {
			r.setIntake(op.Put, rec, rev)
		} else if IsJobPageKey(op.Delete) {
			r.setIntake(op.Delete, JobPage{}, rev) // kept until the barrier that brings it
		}
	}
}
