package jobstore

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/umberdeal/umberdeal/wire"
)

// This file is the form in which users' unfinished jobs share keys while many come.
// A job's id leads to a bucket, and each bucket has a head, to which jobs are added
// under the condition that it has not changed. What the head has no room for
// moves to a sealed page of the bucket, from which jobs only leave. While few
// come the head is closed, and each has a key of its own under the condition that
// it still is. docs/jobstore.md says why no id is accepted twice.

// Forms of the records. A form is written once every node reads it.
const (
	SchemaJobKeys  = 1 // a key for each unfinished job
	SchemaJobPages = 2 // users' unfinished jobs share pages
	SchemaPlans    = 3 // there may be a plan, whose version placements depend on
	// LatestSchema is the newest that this program reads.
	LatestSchema = SchemaPlans
)

// SchemaKey says in which form records are written. It lies with the jobs, so that
// whoever knows the jobs knows it as of the same moment.
const SchemaKey = ActivePrefix + "form"

// SchemaCopyKey has the same value, for when that can't be read.
const SchemaCopyKey = "c/form"

// SchemaRecord is the value of SchemaKey; where there is none, the version is SchemaJobKeys.
type SchemaRecord struct {
	Version int `msgpack:"f"`
	Buckets int `msgpack:"b"` // never changes once there are any: it says where an id belongs
}

// jobPagePrefix is where the pages of users' jobs lie. No job id begins with a plus.
const jobPagePrefix = JobPrefix + "+"

// HeadPageKey is the key of a bucket's head. It is never removed, so that a late
// transaction that would have made it anew fails.
func HeadPageKey(bucket int) string { return jobPagePrefix + strconv.Itoa(bucket) }

// SealedPageKey is the key of a page that was a bucket's head before.
func SealedPageKey(bucket int, seq uint64) string {
	return HeadPageKey(bucket) + "." + strconv.FormatUint(seq, 10)
}

// IsJobPageKey says whether a key is that of a page of users' jobs.
func IsJobPageKey(key string) bool { return strings.HasPrefix(key, jobPagePrefix) }

// IsHeadPageKey says whether such a key is that of a bucket's head.
func IsHeadPageKey(key string) bool {
	return IsJobPageKey(key) && !strings.Contains(key[len(jobPagePrefix):], ".")
}

// Bucket is where an id belongs.
func (f SchemaRecord) Bucket(id string) int {
	if f.Buckets <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(f.Buckets))
}

// JobPage is the value of a head or of a sealed page.
type JobPage struct {
	LastSealed uint64 `msgpack:"s"` // of a head: the last page that was sealed
	// Closed: nothing is added to this head, which is empty; jobs have keys of
	// their own. A head that is not there is closed.
	Closed  bool           `msgpack:"c,omitempty"`
	Entries []JobPageEntry `msgpack:"j"`
}

// JobPageEntry is a job on a page. Its record is decoded by itself, so that one
// that is damaged is named and the others go on.
type JobPageEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // a JobRecord
}

// Without is the record without those jobs.
func (r JobPage) Without(ids map[string]bool) JobPage {
	out := JobPage{LastSealed: r.LastSealed, Closed: r.Closed, Entries: make([]JobPageEntry, 0, len(r.Entries))}
	for _, e := range r.Entries {
		if !ids[e.ID] {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// size is what an entry takes of its page, in the form in which the service
// counts.
func (e JobPageEntry) size() int { return 16 + len(e.ID) + wire.JSONSize(e.Record) }

// Size is what a page takes, in the form in which the service counts.
func (r JobPage) Size() int {
	n := 40
	for _, e := range r.Entries {
		n += e.size()
	}
	return n
}

// Decode reads a job's record from its page.
func (e JobPageEntry) Decode() (JobRecord, error) {
	return DecodeJob(e.ID, e.Record)
}
