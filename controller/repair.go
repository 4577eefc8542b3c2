// Repair of unreadable stored records, during the load of a new leader and before it becomes
// active. docs/jobstore.md ("Repair") explains why no interleaving of requests loses a job or
// accepts a job twice.

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

// maxRepairRounds bounds how often a new leader lists the records. It lists them again after
// each round of repairs, whether these succeeded or conflicted with another controller's
// changes.
const maxRepairRounds = 4

// repairer repairs one listing of the active records. Every write is conditional on
// the leader's fencing token and on the version of the record that it replaces.
type repairer struct {
	kv          *kvstore.Client
	leaderGuard wire.Guard
	limits      jobstore.Limits
	controllers int // number of all controllers, including this one
	// findCopy returns a copy of a record; see Node.recoverCopy.
	findCopy func(ctx context.Context, record, original recordVersion) *jobstore.RecoveryCopy
	// schemaVersion returns the version to write if the schema can't be recovered.
	schemaVersion func(ctx context.Context) (int, error)
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

// listRepaired repairs the active records where possible. It returns a listing of all active
// records that was made after the last repair, and the revision of this listing.
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

// repairAll repairs each unreadable record of a listing. If the key-value store rejects a
// repair as invalid, it continues with the other records.
func (r *repairer) repairAll(ctx context.Context, entries []wire.Entry) error {
	for _, entry := range entries {
		r.entries[entry.Key] = entry
		if page, err := jobstore.DecodeJobPage(entry.Value); err == nil && jobstore.IsJobPageKey(entry.Key) {
			r.pages[entry.Key] = page
		}
	}
	for _, entry := range entries {
		err := r.repairEntry(ctx, entry)
		if errors.Is(err, kvstore.ErrInvalidRequest) {
			r.log.Error("repair of an unreadable record rejected", "key", entry.Key, "err", err)
			continue
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// repairEntry repairs a record if it can't be read. Records of other kinds than schema, job,
// YARN application and job page are left as they are.
func (r *repairer) repairEntry(ctx context.Context, entry wire.Entry) error {
	id, isJob := jobstore.ParseJobKey(entry.Key)
	switch {
	case entry.Key == jobstore.SchemaKey:
		return r.repairSchemaRecord(ctx, entry)
	case isJob:
		return r.repairJob(ctx, id, entry)
	case strings.HasPrefix(entry.Key, jobstore.AppPrefix):
		return r.repairYARNApp(ctx, entry)
	case jobstore.IsJobPageKey(entry.Key):
		if _, readable := r.pages[entry.Key]; !readable {
			return r.repairJobPage(ctx, entry)
		}
	}
	return nil
}

// commit writes under the fencing token and applies the changes to the listing.
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

// repairJob replaces an unreadable job record by a copy from the memory of a controller. If
// no controller has a copy, the record is added to unrepaired.
func (r *repairer) repairJob(ctx context.Context, id string, entry wire.Entry) error {
	if isJobRecord(id, entry.Value) {
		return nil
	}
	record := recordVersion{entry.Key, entry.Version}
	found := r.findCopy(ctx, record, recordVersion{})
	if found == nil {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion: record})
		return nil
	}
	if !isJobRecord(id, found.Value) {
		return nil // the copy is unreadable as well; asking again would not help
	}
	r.log.Error("unreadable job record repaired from a recovered copy", "key", entry.Key)
	return r.commit(ctx, versionGuard(entry), wire.Op{Put: entry.Key, Value: found.Value})
}

func isJobRecord(id string, value wire.Raw) bool {
	_, err := jobstore.DecodeJob(id, value)
	return err == nil
}

// repairYARNApp replaces an unreadable record of the YARN interface by a copy from the memory
// of a controller. If no controller has a readable copy, the record is added to unrepaired.
func (r *repairer) repairYARNApp(ctx context.Context, entry wire.Entry) error {
	if jobstore.IsAppValue(entry.Value) {
		return nil
	}
	record := recordVersion{entry.Key, entry.Version}
	found := r.findCopy(ctx, record, recordVersion{})
	if found == nil || !jobstore.IsAppValue(found.Value) {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion: record})
		return nil
	}
	r.log.Error("unreadable YARN record repaired from a recovered copy", "key", entry.Key)
	return r.commit(ctx, versionGuard(entry), wire.Op{Put: entry.Key, Value: found.Value})
}

// versionGuard returns the condition that an entry has not changed.
func versionGuard(e wire.Entry) []wire.Guard { return []wire.Guard{{Key: e.Key, Version: e.Version}} }

// repairSchemaRecord rewrites an unreadable schema record and its stored copy. It returns
// jobstore.ErrNewerSchema if the recovered schema is newer than this program can read.
func (r *repairer) repairSchemaRecord(ctx context.Context, entry wire.Entry) error {
	if _, err := jobstore.DecodeSchema(entry.Value); err == nil {
		return nil
	}
	schema, err := r.recoverSchema(ctx, entry)
	if err != nil {
		return err
	}
	if schema.Version > jobstore.LatestSchema {
		return jobstore.ErrNewerSchema
	}
	r.log.Error("unreadable schema record repaired", "key", entry.Key, "schema", schema.Version, "buckets", schema.Buckets)
	return r.commit(ctx, versionGuard(entry),
		wire.Op{Put: jobstore.SchemaKey, Value: schema}, wire.Op{Put: jobstore.SchemaCopyKey, Value: schema})
}

// recoverSchema returns the schema from a controller's memory, or else from the stored copy.
// If neither has it, the schema is inferred from the other records.
func (r *repairer) recoverSchema(ctx context.Context, entry wire.Entry) (jobstore.SchemaRecord, error) {
	if found := r.findCopy(ctx, recordVersion{entry.Key, entry.Version}, recordVersion{}); found != nil {
		if schema, err := jobstore.DecodeSchema(found.Value); err == nil {
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
	// Any program with a newer schema also writes the stored copy. Without a readable copy,
	// the schema is therefore not newer than this program's.
	version, err := r.schemaVersion(ctx)
	if err != nil {
		return jobstore.SchemaRecord{}, err
	}
	return jobstore.SchemaRecord{Version: version, Buckets: jobstore.InferBuckets(r.pages, r.controllers)}, nil
}

// repairJobPage quarantines an unreadable page of jobs. If a controller has a copy of the
// page, it restores the jobs from the copy. Otherwise the page is added to unrepaired.
func (r *repairer) repairJobPage(ctx context.Context, entry wire.Entry) error {
	record := recordVersion{entry.Key, entry.Version}
	quarantined, isQuarantined := jobstore.DecodeQuarantinedPage(entry.Value)
	original := recordVersion{quarantined.OriginalKey, quarantined.OriginalVersion}
	if !isQuarantined {
		original = record
	}
	found := r.findCopy(ctx, record, original)
	key := entry.Key
	if !isQuarantined {
		bucket, sequence, ok := jobstore.ParseJobPageKey(entry.Key)
		if !ok {
			return nil // not a key of a job page
		}
		quarantined = jobstore.NewQuarantinedPage(entry.Key, entry.Version, time.Now().UnixMilli(), entry.Value, r.limits)
		r.log.Error("unreadable job page quarantined", "key", entry.Key, "version", entry.Version, "recoverable", found != nil)
		var err error
		if key, err = r.quarantine(ctx, entry, bucket, sequence, quarantined); err != nil {
			return err
		}
	}
	if found == nil {
		r.unrepaired = append(r.unrepaired, unrepairedRecord{recordVersion{key, r.entries[key].Version}, original})
		return nil
	}
	return r.restoreJobs(ctx, key, quarantined, found.Entries)
}

// quarantine stores the quarantined form of a page and returns its key. A sealed page keeps
// its key. A bucket's head page has no sequence number. It moves to the key of a new sealed
// page and is replaced by an empty, closed head. The new sequence number is above all
// existing ones, so that no page is overwritten. In the transaction the sealed page precedes
// the head, so that readers of the change see the page first.
func (r *repairer) quarantine(ctx context.Context, entry wire.Entry, bucket int, sequence uint64, page jobstore.QuarantinedPage) (key string, err error) {
	if sequence > 0 {
		return entry.Key, r.commit(ctx, versionGuard(entry), wire.Op{Put: entry.Key, Value: page})
	}
	sequence = max(r.highestSequence(bucket), entry.Version) + 1
	key = jobstore.SealedPageKey(bucket, sequence)
	err = r.commit(ctx, versionGuard(entry), wire.Op{Put: key, Value: page},
		wire.Op{Put: entry.Key, Value: jobstore.JobPage{LastSealed: sequence, Closed: true}})
	return key, err
}

// highestSequence returns the highest sequence number of a bucket's sealed pages, 0 if there
// are none. It includes numbers that only the pages' LastSealed fields mention.
func (r *repairer) highestSequence(bucket int) (highest uint64) {
	for key := range r.entries {
		if pageBucket, sequence, ok := jobstore.ParseJobPageKey(key); ok && pageBucket == bucket {
			highest = max(highest, sequence, r.pages[key].LastSealed)
		}
	}
	return highest
}

// hasReadableRecord reports whether a job has a record of its own or an entry on a readable
// page. Such a job need not be restored.
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

const (
	// guardsPerRestore is the number of guards of a restoring transaction that don't depend
	// on its jobs: on the leader key, the quarantined page and the head page.
	guardsPerRestore = 3
	// guardsPerRestoredJob is the number of guards for each job: on its own record and on its
	// final record.
	guardsPerRestoredJob = 2
)

// restoreJobs moves the jobs of a quarantined page to new readable pages, in batches that
// fit into a transaction. Two conditions per job ensure that it has neither ended nor been
// accepted again in the meantime. Every transaction also changes the quarantined page,
// because a concurrent cancellation of one of its jobs must conflict with the restore. A
// cancellation is conditional on the version of the quarantined page.
func (r *repairer) restoreJobs(ctx context.Context, key string, quarantined jobstore.QuarantinedPage, jobs []jobstore.JobPageEntry) error {
	batchSize := (r.limits.Guards() - guardsPerRestore) / guardsPerRestoredJob
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

// restoreBatch commits pageChange, the update or deletion of the quarantined page, together
// with a new sealed page that holds the jobs of the batch. An empty batch adds no page.
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

// withoutConflicts returns the jobs whose own conditions did not make a transaction fail. err
// is the transaction's error. The other jobs have ended or were accepted again, so they need
// not be restored.
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
