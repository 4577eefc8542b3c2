package jobstore

import (
	"errors"

	"github.com/cespare/xxhash/v2"
)

// Versions of the schema in which records are written. The leader raises the version once every
// controller reads the next one; until then records are written as the version before writes them.
const (
	// SchemaJobKeys: a key for each unfinished job.
	SchemaJobKeys = 1
	// SchemaJobPages: users' unfinished jobs share pages.
	SchemaJobPages = 2
	// SchemaPlans: there may be a plan, on whose version placements depend.
	SchemaPlans = 3
	// LatestSchema is the newest version that this program reads.
	LatestSchema = SchemaPlans
)

const (
	// SchemaKey holds a SchemaRecord. It lies with the jobs, so that whoever knows the jobs knows the
	// schema as of the same moment.
	SchemaKey = ActivePrefix + "form"
	// SchemaCopyKey has the same value, for when SchemaKey can't be read.
	SchemaCopyKey = "c/form"
)

// ErrNewerSchema means that a later version of this program has written the records, which this one
// therefore does not read.
var ErrNewerSchema = errors.New("the records have a newer form than this version reads: start the version that wrote them")

// SchemaRecord is the value of SchemaKey; where there is none, the version is SchemaJobKeys.
type SchemaRecord struct {
	Version int `msgpack:"f"`
	Buckets int `msgpack:"b"` // never changes once there are any: it says where an id belongs
}

// Bucket is the bucket to which a job id belongs.
func (r SchemaRecord) Bucket(id string) int {
	if r.Buckets <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(r.Buckets))
}

// InferBuckets finds how many buckets there are by where jobs stand: the least number, not below
// least, by which all of them stand where they belong.
func InferBuckets(pages map[string]JobPage, least int) int {
	least = max(least, 1)
	for key := range pages {
		if bucket, _, ok := ParseJobPageKey(key); ok {
			least = max(least, bucket+1)
		}
	}
	const tries = 64
	for n := least; n < least+tries; n++ {
		if fitsBuckets(pages, SchemaRecord{Version: SchemaJobPages, Buckets: n}) {
			return n
		}
	}
	return least
}

// fitsBuckets reports whether every job stands on a page of its bucket.
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
