// The schema in which records are written, and the assignment of job ids to buckets.

package jobstore

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Versions of the schema in which records are written. The leader raises the stored version once every
// controller can read the next one. Until then records are written in the older schema, so that a
// rolling upgrade can be reverted.
const (
	// SchemaJobKeys is the schema in which each unfinished job has a key of its own.
	SchemaJobKeys = 1
	// SchemaJobPages is the schema in which users' unfinished jobs may share job pages.
	SchemaJobPages = 2
	// SchemaPlans is the schema in which an operators' plan may exist. The plan's version guards
	// placements.
	SchemaPlans = 3
	// LatestSchema is the newest version that this program can read.
	LatestSchema = SchemaPlans
)

const (
	// SchemaKey holds a SchemaRecord. It is under ActivePrefix so that a read of the jobs includes the
	// schema as of the same revision.
	SchemaKey = ActivePrefix + "form"
	// SchemaCopyKey holds a copy of the value, used if SchemaKey can't be decoded.
	SchemaCopyKey = "c/form"
)

// ErrNewerSchema means that the records are in a schema newer than LatestSchema, written by a later
// version of this program.
var ErrNewerSchema = errors.New("the records have a newer schema than this version supports; start the version that wrote them")

// SchemaRecord is the value of SchemaKey. If the key is absent, the version is SchemaJobKeys.
type SchemaRecord struct {
	Version int `msgpack:"f"`
	Buckets int `msgpack:"b"` // number of buckets; never changes, because it determines the bucket of each id
}

// Bucket returns the bucket to which a job id belongs, from 0 to Buckets-1.
func (r SchemaRecord) Bucket(id string) int {
	if r.Buckets <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(r.Buckets))
}

// InferBuckets derives the number of buckets from the job pages after the loss of the SchemaRecord. pages
// maps keys to pages. It returns the smallest number, not below minBuckets and above every bucket that has
// a page, for which every job is on a page of its bucket. If it finds no such number, it returns the lower
// bound.
func InferBuckets(pages map[string]JobPage, minBuckets int) int {
	minBuckets = max(minBuckets, 1)
	for key := range pages {
		if bucket, _, ok := ParseJobPageKey(key); ok {
			minBuckets = max(minBuckets, bucket+1)
		}
	}
	const maxCandidates = 64
	for n := minBuckets; n < minBuckets+maxCandidates; n++ {
		if fitsBuckets(pages, SchemaRecord{Version: SchemaJobPages, Buckets: n}) {
			return n
		}
	}
	return minBuckets
}

// fitsBuckets reports whether every job is on a page of its bucket.
func fitsBuckets(pages map[string]JobPage, schema SchemaRecord) bool {
	for key, page := range pages {
		bucket, _, _ := ParseJobPageKey(key)
		for _, e := range page.Entries {
			if schema.Bucket(e.ID) != bucket {
				return false
			}
		}
	}
	return true
}
