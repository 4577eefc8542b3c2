// Verification of a snapshot's records, except placements, plan and warm pools.

package snapshot

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Violation is a violated invariant of the records. Key is the key of the record, Problem describes the
// violation.
type Violation struct {
	Key     string
	Problem string
}

// String returns the key and the problem in one line.
func (v Violation) String() string { return v.Key + ": " + v.Problem }

// Summary counts the content of a snapshot.
type Summary struct {
	Keys       int // all keys
	Unfinished int // unfinished jobs
	Finished   int // finished jobs
	Placements int // placements of unfinished jobs
	Other      int // keys that hold neither jobs nor placements
}

// Verify checks the invariants of a snapshot's records. It returns the violations in the order of their
// keys.
func Verify(values map[string]wire.Raw) (Summary, []Violation) {
	v := &verifier{values: values, jobs: map[string]jobLocation{}, chunks: map[chunkID]string{}}
	v.summary.Keys = len(values)
	keys := slices.Sorted(maps.Keys(values))
	v.readSchema()
	for _, key := range keys {
		v.checkKey(key)
	}
	for _, key := range keys {
		if _, ok := jobstore.ParsePlacementPageKey(key); ok {
			v.checkPlacementPage(key)
		}
	}
	v.checkPlan()
	v.checkWarmPools()
	slices.SortStableFunc(v.violations, func(a, b Violation) int { return strings.Compare(a.Key, b.Key) })
	return v.summary, v.violations
}

// jobLocation is a job's record with the key that holds it.
type jobLocation struct {
	key    string
	record jobstore.JobRecord
}

// chunkID identifies a chunk of a job's tasks.
type chunkID struct {
	job   string
	chunk int
}

// verifier collects the jobs, counts and violations of a snapshot.
type verifier struct {
	values     map[string]wire.Raw
	schema     jobstore.SchemaRecord
	jobs       map[string]jobLocation // by job id
	chunks     map[chunkID]string     // key of the placement page that holds each chunk
	summary    Summary
	violations []Violation
}

// report adds a violation.
func (v *verifier) report(key, format string, args ...any) {
	v.violations = append(v.violations, Violation{key, fmt.Sprintf(format, args...)})
}

// decode decodes a key's value into out. If the value can't be decoded, decode reports a violation and
// returns false.
func (v *verifier) decode(key string, out any) bool {
	if err := wire.Unmarshal(v.values[key], out); err != nil {
		v.report(key, "can't be read: %v", err)
		return false
	}
	return true
}

// readSchema reads the schema record, if there is one, and checks its version.
func (v *verifier) readSchema() {
	raw, ok := v.values[jobstore.SchemaKey]
	if !ok || len(raw) == 0 || !v.decode(jobstore.SchemaKey, &v.schema) {
		return
	}
	if v.schema.Version > jobstore.LatestSchema {
		v.report(jobstore.SchemaKey, "form %d is newer than this program reads (%d)", v.schema.Version, jobstore.LatestSchema)
	}
}

// checkKey checks and collects the jobs of a key that holds jobs. It counts other keys, except placement
// pages.
func (v *verifier) checkKey(key string) {
	if jobstore.IsJobPageKey(key) {
		v.checkJobPage(key)
		return
	}
	if id, ok := jobstore.ParseJobKey(key); ok {
		if record, ok := v.decodeJob(key, id); ok {
			v.addJob(key, id, record)
		}
		return
	}
	if id, ok := jobstore.ParseFinalKey(key); ok {
		v.checkFinal(key, id)
		return
	}
	if _, ok := jobstore.ParsePlacementPageKey(key); !ok {
		v.summary.Other++
	}
}

// checkFinal checks and collects the record of a finished job.
func (v *verifier) checkFinal(key, id string) {
	record, ok := v.decodeJob(key, id)
	if !ok {
		return
	}
	if record.State != wire.JobDone && record.State != wire.JobCancelled {
		v.report(key, "is over with state %q", record.State)
	}
	v.addJob(key, id, record)
}

// decodeJob decodes the record of a job that has a key of its own. ok is false if the record can't be
// decoded.
func (v *verifier) decodeJob(key, id string) (record jobstore.JobRecord, ok bool) {
	if !v.decode(key, &record) {
		return record, false
	}
	if record.Job.ID != id {
		v.report(key, "its record is that of job %q", record.Job.ID)
	}
	return record, true
}

// checkJobPage checks a job page and collects its jobs.
func (v *verifier) checkJobPage(key string) {
	page, err := jobstore.DecodeJobPage(v.values[key])
	if q, ok := jobstore.DecodeQuarantinedPage(v.values[key]); ok {
		v.report(key, "what stood at %s can't be read, and was set aside", q.OriginalKey)
		return
	}
	if err != nil {
		v.report(key, "can't be read: %v", err)
		return
	}
	if v.schema.Version < jobstore.SchemaJobPages {
		v.report(key, "jobs share a page, and the form is %d", v.schema.Version)
	}
	for _, e := range page.Entries {
		record, err := e.Decode()
		if err != nil {
			v.report(key, "%v", err)
			continue
		}
		bucket := v.schema.Bucket(e.ID)
		if head := jobstore.HeadPageKey(bucket); v.schema.Buckets > 0 && key != head && !strings.HasPrefix(key, head+".") {
			v.report(key, "job %s belongs to bucket %d", e.ID, bucket)
		}
		v.addJob(key, e.ID, record)
	}
}

// addJob collects a job. It reports a violation if another key holds the job as well.
func (v *verifier) addJob(key, id string, record jobstore.JobRecord) {
	if other, ok := v.jobs[id]; ok {
		v.report(key, "job %s stands at %s as well", id, other.key)
		return
	}
	v.jobs[id] = jobLocation{key, record}
	if record.State == "" {
		v.summary.Unfinished++
	} else {
		v.summary.Finished++
	}
}
