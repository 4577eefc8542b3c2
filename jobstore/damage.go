package jobstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// This file tells records that are what was written from those that are not, and
// has what a leader needs to mend pages of users' jobs. docs/jobstore.md ("Records
// that can't be read") argues why that is safe.

var errMalformed = errors.New("it is not what was written")

// mapWithKey says whether a value is a map that may have that key. What is nothing, or
// an empty map, decodes as an empty record, and an empty page would forget its jobs.
func mapWithKey(raw wire.Raw, key string) bool {
	if len(raw) == 0 || raw[0]&0xf0 != 0x80 && raw[0] != 0xde && raw[0] != 0xdf {
		return false
	}
	return bytes.Contains(raw, msgpackString(key))
}

func decodeMap(raw wire.Raw, key string, v any) error {
	if err := wire.Unmarshal(raw, v); err != nil {
		return err
	}
	if !mapWithKey(raw, key) {
		return errMalformed
	}
	return nil
}

// DecodeJob reads the record of an unfinished job.
func DecodeJob(id string, raw wire.Raw) (JobRecord, error) {
	var rec JobRecord
	if err := wire.Unmarshal(raw, &rec); err != nil {
		return rec, fmt.Errorf("job %s: %w", id, err)
	}
	if rec.Job.ID != id || rec.Job.Tasks < 1 {
		return rec, fmt.Errorf("job %s: its record is that of %q, of %d tasks", id, rec.Job.ID, rec.Job.Tasks)
	}
	return rec, nil
}

// DecodeFinal reads the record of a job that is over.
func DecodeFinal(raw wire.Raw) (JobRecord, error) {
	var rec JobRecord
	if err := wire.Unmarshal(raw, &rec); err != nil {
		return rec, err
	}
	if rec.State != wire.JobDone && rec.State != wire.JobCancelled {
		return rec, errMalformed
	}
	return rec, nil
}

// DecodeJobPage reads a page of users' jobs.
func DecodeJobPage(raw wire.Raw) (JobPage, error) {
	var rec JobPage
	err := decodeMap(raw, "s", &rec)
	return rec, err
}

// DecodePlacementPage reads a page of placement records.
func DecodePlacementPage(raw wire.Raw) (PlacementPage, error) {
	var rec PlacementPage
	err := decodeMap(raw, "c", &rec)
	return rec, err
}

// DecodeSchema reads the form of the records.
func DecodeSchema(raw wire.Raw) (SchemaRecord, error) {
	var rec SchemaRecord
	err := decodeMap(raw, "f", &rec)
	if err == nil && (rec.Version < SchemaJobPages || rec.Buckets < 1) {
		err = errMalformed
	}
	return rec, err
}

// IsAppValue says whether a value may be a door's record, of whichever kind: all are maps
// that are not empty.
func IsAppValue(raw wire.Raw) bool {
	return len(raw) > 1 && (raw[0] > 0x80 && raw[0] < 0x90 || raw[0] == 0xde || raw[0] == 0xdf)
}

// quarantineMark begins an Aside. It stands where a page has a number, so that no
// version takes it for a page: to all of them it is one that can't be read.
const quarantineMark = "aside"

// QuarantinedPage is a page of users' jobs that can't be read, as a leader has set it aside
// under the key of a sealed page. From then on no leader knows its jobs, but by what
// some node remembers of it.
type QuarantinedPage struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Mark            string
	OriginalKey     string // the key at which it stood
	OriginalVersion uint64 // in which version
	QuarantinedAtMs int64  // when, Unix milliseconds by that leader's clock
	Raw             wire.Raw
}

// NewQuarantinedPage sets a value aside, whole where there is room for it; else the ids of
// the jobs that still stand there.
func NewQuarantinedPage(from string, version uint64, atMs int64, raw wire.Raw, l Limits) QuarantinedPage {
	a := QuarantinedPage{Mark: quarantineMark, OriginalKey: from, OriginalVersion: version, QuarantinedAtMs: atMs, Raw: raw}
	if size := wire.JSONSize(raw); size >= 21*len(raw) || size+200 > l.valueBytes() { // no value at all, or too large
		rec := JobPage{}
		for _, id := range salvageIDs(raw) {
			rec.Entries = append(rec.Entries, JobPageEntry{ID: id, Record: append(bytes.Clone(recordID), msgpackString(id)...)})
		}
		a.Raw = nil
		if b, err := wire.Marshal(idsOnly(rec)); err == nil {
			a.Raw = b
		}
	}
	return a
}

// idsOnly writes ids so that salvageIDs finds them, within a text.
func idsOnly(rec JobPage) []byte {
	var out []byte
	for _, e := range rec.Entries {
		out = append(append(append(out, entryID...), msgpackString(e.ID)...), e.Record...)
	}
	return out
}

// DecodeQuarantinedPage reads what was set aside; ok is false for anything else.
func DecodeQuarantinedPage(raw wire.Raw) (a QuarantinedPage, ok bool) {
	if len(raw) == 0 || raw[0]&0xf0 != 0x90 || wire.Unmarshal(raw, &a) != nil || a.Mark != quarantineMark {
		return QuarantinedPage{}, false
	}
	return a, true
}

// ParseJobPageKey takes the key of a page of users' jobs apart; seq is 0 for a head.
func ParseJobPageKey(key string) (bucket int, seq uint64, ok bool) {
	if !IsJobPageKey(key) {
		return 0, 0, false
	}
	head, num, sealed := strings.Cut(key[len(jobPagePrefix):], ".")
	bucket, err := strconv.Atoi(head)
	if err == nil && sealed {
		seq, err = strconv.ParseUint(num, 10, 64)
	}
	return bucket, seq, err == nil && bucket >= 0
}

// InferBuckets finds how many buckets there are by where jobs stand: the least
// number by which all of them stand where they belong, and which is not below least.
func InferBuckets(pages map[string]JobPage, least int) int {
	least = max(least, 1)
	for key := range pages {
		if b, _, ok := ParseJobPageKey(key); ok {
			least = max(least, b+1)
		}
	}
	for n := least; n < least+64; n++ {
		f, fits := SchemaRecord{Version: SchemaJobPages, Buckets: n}, true
		for key, rec := range pages {
			b, _, _ := ParseJobPageKey(key)
			for _, e := range rec.Entries {
				fits = fits && f.Bucket(e.ID) == b
			}
		}
		if fits {
			return n
		}
	}
	return least
}

// RecoveryCopy is what a node remembers of a record in one version of it: just what was
// written then. One of the two is set.
type RecoveryCopy struct {
	Entries []JobPageEntry `msgpack:"j"` // of a page of users' jobs
	Value   wire.Raw       `msgpack:"r"` // of another record
}

// RecoveryCopy says what this node remembers of a record, whether or not it can be read
// any more; nil where it does not. It is as of a moment after the call.
func (r *Store) RecoveryCopy(ctx context.Context, key string, version uint64) *RecoveryCopy {
	if version == 0 || r.readBarrier(ctx) != nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l, ok := r.unreadablePages[key]; ok {
		if m := l.recovered; l.version == version && m != nil {
			return m
		}
		return nil
	}
	if p := r.jobPages[key]; p != nil && p.version == version {
		return &RecoveryCopy{Entries: append([]JobPageEntry{}, p.page.Entries...)}
	}
	if key == SchemaKey && r.schemaVersion == version && !r.schemaUnreadable {
		return newRecoveryCopy(r.schema)
	}
	if r.apps != nil && strings.HasPrefix(key, AppPrefix) {
		if e := r.apps.apps[key]; e.Version == version && IsAppValue(e.Value) {
			return &RecoveryCopy{Value: e.Value}
		}
	}
	if id, ok := ParseJobKey(key); ok {
		if j := r.jobs[id]; j != nil && j.version == version && j.pageKey == "" && !j.unreadable {
			return newRecoveryCopy(j.record)
		}
	}
	return nil
}

func newRecoveryCopy(v any) *RecoveryCopy {
	raw, err := wire.Marshal(v)
	if err != nil {
		return nil
	}
	return &RecoveryCopy{Value: raw}
}

// UnreadableKey names a page of users' jobs, or the form, that this node can't read and that
// no leader has set aside yet; "" if there is none.
func (r *Store) UnreadableKey() (key string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.schemaUnreadable {
		return SchemaKey, r.schemaVersion
	}
	for key, l := range r.unreadablePages {
		if !l.quarantined {
			return key, l.version
		}
	}
	return "", 0
}
