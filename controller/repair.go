package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/kvstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file repairs stored records that can't be read, while a new leader loads them and
// before it becomes active. docs/jobstore.md ("Repair") argues why no interleaving loses
// a job or accepts one twice.

// maxRepairRounds is how often a new leader lists the records at most. It lists them again
// after each repair, and after a repair that conflicted with another controller's change.
const maxRepairRounds = 4

// repairer repairs one listing of the active records. Every write is conditional on
// the leader's fencing token and on the version of the record that it replaces.
type repairer struct {
	kv            *kvstore.Client
	leaderGuard   wire.Guard
	limits        jobstore.Limits
	controllers   int
	findCopy      func(ctx context.Context, record, original recordVersion) *jobstore.RecoveryCopy
	schemaVersion func(ctx context.Context) (int, error) // the schema to write if it can't be recovered
	log           *slog.Logger

	entries    map[string]wire.Entry       // as listed, updated by each commit
	pages      map[string]jobstore.JobPage // the readable job pages among entries
	unrepaired []unrepairedRecord
	changed    bool
}

func (l *leadership) newRepairer() *repairer {
	n := l.node
	return &repairer{
		kv: n.kv, leaderGuard: l.leaderGuard(), limits: n.jobs.Limits(), controllers: len(n.peers) + 1,
		findCopy: n.recoverCopy, log: l.log,
		schemaVersion: func(ctx context.Context) (int, error) { return targetSchemaVersion(ctx, n.kv) },
		entries:       map[string]wire.Entry{}, pages: map[string]jobstore.JobPage{},
	}
}

// listRepaired lists all active records after repairing those that can be repaired. The
// listing that it returns was made after the last repair.
func (l *leadership) listRepaired(ctx context.Context) (entries []wire.Entry, revision uint64, err error) {
	for range maxRepairRounds {
		if entries, revision, err = l.node.kv.List(ctx, jobstore.ActivePrefix); err != nil {
			return nil, 0, err
		}
		r := l.newRepairer()
		err = r.repairAll(ctx, entries)
		l.node.repairs.setUnrepaired(r.unrepaired)
		var conflict *kvstore.ConflictError
		switch {
		case err == nil && !r.changed:
			return entries, revision, nil
		case err != nil && !errors.As(err, &conflict):
			return nil, 0, err
		}
	}
	return nil, 0, fmt.Errorf("%w: repair of unreadable records: too many conflicts", kvstore.ErrRefused)
}

// repairAll repairs each unreadable record of a listing. One that the key-value store
// refuses as invalid does not keep the others from being repaired.
func (r *repairer) repairAll(ctx context.Context, entries []wire.Entry) error {
	for _, e := range entries {
		r.entries[e.Key] = e
		if page, err := jobstore.DecodeJobPage(e.Value); err == nil && jobstore.IsJobPageKey(e.Key) {
			r.pages[e.Key] = page
		}
	}
	for _, e := range entries {
		err := r.repairEntry(ctx, e)
		if errors.Is(err, kvstore.ErrInvalidRequest) {
			r.log.Error("repair of an unreadable record rejected", "key", e.Key, "err", err)
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// repairEntry repairs a record by its kind, if it can't be read.
func (r *repairer) repairEntry(ctx context.Context, e wire.Entry) error {
	id, isJob := jobstore.ParseJobKey(e.Key)
	switch {
	case e.Key == jobstore.SchemaKey:
		return r.repairSchemaRecord(ctx, e)
	case isJob:
		return r.repairJob(ctx, id, e)
	case strings.HasPrefix(e.Key, jobstore.AppPrefix):
		return r.repairYARNApp(ctx, e)
	case jobstore.IsJobPageKey(e.Key):
		if _, readable := r.pages[e.Key]; !readable {
			return r.repairJobPage(ctx, e)
		}
	}
	return nil
}

// commit writes under this leadership and applies what it has written to the listing.
func (r *repairer) commit(ctx context.Context, guards []wire.Guard, ops ...wire.Op) error {
	revision, err := r.kv.CompareAndSwap(ctx, append([]wire.Guard{r.leaderGuard}, guards...), ops)
	if err != nil {
		return err
	}
	r.changed = true
	for _, op := range ops {
		if op.Delete != "" {
			delete(r.entries, op.Delete)
			continue
		}
		r.entries[op.Put] = wire.Entry{Key: op.Put, Version: revision}
		if page, ok := op.Value.(jobstore.JobPage); ok {
			r.pages[op.Put] = page
		}
	}
	return nil
}

// repairJob replaces an unreadable job record by the copy that some controller still has
// in memory, if there is one.
func (r *repairer) repairJob(ctx context.Context, id string, e wire.Entry) error {
	if isJobRecord(id, e.Value) {
		return nil
	}
	record := recordVersion{e.Key, e.Version}
	copied := r.findCopy(ctx, record, recordVersion{})
	if copied == nil {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion: record})
		return nil
	}
	if !isJobRecord(id, copied.Value) {
		return nil // no better than what is stored, and asking again would not help
	}
	r.log.Error("unreadable job record repaired from a recovered copy", "key", e.Key)
	return r.commit(ctx, versionGuard(e), wire.Op{Put: e.Key, Value: copied.Value})
}

func isJobRecord(id string, value wire.Raw) bool {
	_, err := jobstore.DecodeJob(id, value)
	return err == nil
}

// repairYARNApp replaces an unreadable record of the YARN interface by the copy that some
// controller still has in memory, if there is one.
func (r *repairer) repairYARNApp(ctx context.Context, e wire.Entry) error {
	if jobstore.IsAppValue(e.Value) {
		return nil
	}
	record := recordVersion{e.Key, e.Version}
	copied := r.findCopy(ctx, record, recordVersion{})
	if copied == nil || !jobstore.IsAppValue(copied.Value) {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion: record})
		return nil
	}
	r.log.Error("unreadable YARN record repaired from a recovered copy", "key", e.Key)
	return r.commit(ctx, versionGuard(e), wire.Op{Put: e.Key, Value: copied.Value})
}

func versionGuard(e wire.Entry) []wire.Guard { return []wire.Guard{{Key: e.Key, Version: e.Version}} }

// repairSchemaRecord writes the schema record and its stored copy again.
func (r *repairer) repairSchemaRecord(ctx context.Context, e wire.Entry) error {
	if _, err := jobstore.DecodeSchema(e.Value); err == nil {
		return nil
	}
	schema, err := r.recoverSchema(ctx, e)
	if err != nil {
		return err
	}
	if schema.Version > jobstore.LatestSchema {
		return jobstore.ErrNewerSchema
	}
	r.log.Error("unreadable schema record repaired", "key", e.Key, "schema", schema.Version, "buckets", schema.Buckets)
	return r.commit(ctx, versionGuard(e),
		wire.Op{Put: jobstore.SchemaKey, Value: schema}, wire.Op{Put: jobstore.SchemaCopyKey, Value: schema})
}

// recoverSchema returns the schema from the first source that has it: a controller's
// memory, the stored copy, or an inference from the other records.
func (r *repairer) recoverSchema(ctx context.Context, e wire.Entry) (jobstore.SchemaRecord, error) {
	if copied := r.findCopy(ctx, recordVersion{e.Key, e.Version}, recordVersion{}); copied != nil {
		if schema, err := jobstore.DecodeSchema(copied.Value); err == nil {
			return schema, nil
		}
	}
	stored, err := r.kv.Get(ctx, jobstore.SchemaCopyKey)
	if err != nil {
		return jobstore.SchemaRecord{}, err
	}
	if schema, err := jobstore.DecodeSchema(stored.Value); err == nil {
		return schema, nil
	}
	// Without a readable copy the schema is not newer than this program's: any program
	// with a newer schema also writes the copy.
	version, err := r.schemaVersion(ctx)
	if err != nil {
		return jobstore.SchemaRecord{}, err
	}
	return jobstore.SchemaRecord{Version: version, Buckets: jobstore.InferBuckets(r.pages, r.controllers)}, nil
}

// repairJobPage quarantines an unreadable page of jobs and restores the jobs that some
// controller has a copy of.
func (r *repairer) repairJobPage(ctx context.Context, e wire.Entry) error {
	record := recordVersion{e.Key, e.Version}
	quarantined, already := jobstore.DecodeQuarantinedPage(e.Value)
	original := recordVersion{quarantined.OriginalKey, quarantined.OriginalVersion}
	if !already {
		original = record
	}
	copied := r.findCopy(ctx, record, original)
	key := e.Key
	if !already {
		bucket, sequence, ok := jobstore.ParseJobPageKey(e.Key)
		if !ok {
			return nil // not a key of a job page
		}
		quarantined = jobstore.NewQuarantinedPage(e.Key, e.Version, time.Now().UnixMilli(), e.Value, r.limits)
		r.log.Error("unreadable job page quarantined", "key", e.Key, "version", e.Version, "recoverable", copied != nil)
		var err error
		if key, err = r.quarantine(ctx, e, bucket, sequence, quarantined); err != nil {
			return err
		}
	}
	if copied == nil {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion{key, r.entries[key].Version}, original})
		return nil
	}
	return r.restoreJobs(ctx, key, quarantined, copied.Entries)
}

// quarantine stores the quarantined form of a page and returns its key. A sealed page
// keeps its key. A bucket's head page, which has no sequence number, moves to the key of
// a new sealed page and is replaced by an empty, closed head. The new sequence number is
// above all existing ones, so that no page is overwritten. The page comes before the head
// in the transaction, so that readers of the change see it first.
func (r *repairer) quarantine(ctx context.Context, e wire.Entry, bucket int, sequence uint64, page jobstore.QuarantinedPage) (key string, err error) {
	if sequence > 0 {
		return e.Key, r.commit(ctx, versionGuard(e), wire.Op{Put: e.Key, Value: page})
	}
	sequence = max(r.highestSequence(bucket), e.Version) + 1
	key = jobstore.SealedPageKey(bucket, sequence)
	err = r.commit(ctx, versionGuard(e), wire.Op{Put: key, Value: page},
		wire.Op{Put: e.Key, Value: jobstore.JobPage{LastSealed: sequence, Closed: true}})
	return key, err
}

// highestSequence returns the highest number of a bucket's sealed pages.
func (r *repairer) highestSequence(bucket int) (highest uint64) {
	for key := range r.entries {
		if b, sequence, ok := jobstore.ParseJobPageKey(key); ok && b == bucket {
			highest = max(highest, sequence, r.pages[key].LastSealed)
		}
	}
	return highest
}

// hasReadableRecord reports whether a job has a record of its own or an entry on a
// readable page, so that it need not be restored.
func (r *repairer) hasReadableRecord(id string) bool {
	if _, ok := r.entries[jobstore.JobKey(id)]; ok {
		return true
	}
	for _, page := range r.pages {
		for _, e := range page.Entries {
			if e.ID == id {
				return true
			}
		}
	}
	return false
}

// restoreJobs moves the jobs of a quarantined page to new readable pages, in batches that
// fit into a transaction. Two conditions per job ensure that it has neither ended nor been
// accepted again in the meantime. Every transaction also changes the quarantined page:
// cancelling one of its jobs is conditional on the version of that page, and must conflict
// with a restore.
func (r *repairer) restoreJobs(ctx context.Context, key string, quarantined jobstore.QuarantinedPage, jobs []jobstore.JobPageEntry) error {
	batchSize := (4*r.limits.TxnOps - 3) / 2
	var rest []jobstore.JobPageEntry
	for _, job := range jobs {
		if !r.hasReadableRecord(job.ID) {
			rest = append(rest, job)
		}
	}
	restored := 0
	for {
		batch := rest[:min(batchSize, len(rest))]
		pageChange := wire.Op{Put: key, Value: quarantined}
		if len(batch) == len(rest) {
			pageChange = wire.Op{Delete: key}
		}
		err := r.restoreBatch(ctx, key, batch, pageChange)
		if remaining := withoutConflicts(rest, err); len(remaining) < len(rest) {
			rest = remaining
			continue
		}
		if err != nil {
			return err
		}
		restored += len(batch)
		if rest = rest[len(batch):]; len(rest) == 0 {
			r.log.Error("quarantined jobs restored from a recovered copy", "key", key, "original_key", quarantined.OriginalKey, "jobs", restored)
			return nil
		}
	}
}

// restoreBatch commits one batch of restored jobs, if there are any, on a new sealed page,
// together with pageChange, the update or deletion of the quarantined page.
func (r *repairer) restoreBatch(ctx context.Context, key string, batch []jobstore.JobPageEntry, pageChange wire.Op) error {
	bucket, _, _ := jobstore.ParseJobPageKey(key)
	headKey := jobstore.HeadPageKey(bucket)
	guards := []wire.Guard{{Key: key, Version: r.entries[key].Version}, {Key: headKey, Version: r.entries[headKey].Version}}
	var ops []wire.Op
	if len(batch) > 0 {
		for _, job := range batch {
			guards = append(guards, wire.Guard{Key: jobstore.JobKey(job.ID)}, wire.Guard{Key: jobstore.FinalKey(job.ID)})
		}
		head := r.pages[headKey]
		head.Closed = head.Closed || r.entries[headKey].Version == 0
		head.LastSealed = r.highestSequence(bucket) + 1
		ops = append(ops, wire.Op{Put: jobstore.SealedPageKey(bucket, head.LastSealed), Value: jobstore.JobPage{Entries: batch}},
			wire.Op{Put: headKey, Value: head})
	}
	return r.commit(ctx, guards, append(ops, pageChange)...)
}

// withoutConflicts removes the jobs whose own conditions made a transaction fail: they
// have ended or were accepted again, and need no restoring.
func withoutConflicts(jobs []jobstore.JobPageEntry, err error) []jobstore.JobPageEntry {
	var conflict *kvstore.ConflictError
	if !errors.As(err, &conflict) {
		return jobs
	}
	var remaining []jobstore.JobPageEntry
	for _, job := range jobs {
		failed := slices.Contains(conflict.FailedKeys, jobstore.JobKey(job.ID)) ||
			slices.Contains(conflict.FailedKeys, jobstore.FinalKey(job.ID))
		if !failed {
			remaining = append(remaining, job)
		}
	}
	return remaining
}
