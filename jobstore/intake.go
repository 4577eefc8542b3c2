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
	FormKeys   = 1 // a key for each unfinished job
	FormIntake = 2 // users' unfinished jobs share pages
	FormPlan   = 3 // there may be a plan, whose version placements depend on
	// Form is the newest that this program reads.
	Form = FormPlan
)

// FormKey says in which form records are written. It lies with the jobs, so that
// whoever knows the jobs knows it as of the same moment.
const FormKey = Active + "form"

// FormCopyKey has the same value, for when that can't be read.
const FormCopyKey = "c/form"

// FormRecord is the value of FormKey; where there is none, the form is FormKeys.
type FormRecord struct {
	Form    int `msgpack:"f"`
	Buckets int `msgpack:"b"` // never changes once there are any: it says where an id belongs
}

// intake is where the pages of users' jobs lie. No job id begins with a plus.
const intake = Jobs + "+"

// HeadKey is the key of a bucket's head. It is never removed, so that a late
// transaction that would have made it anew fails.
func HeadKey(bucket int) string { return intake + strconv.Itoa(bucket) }

// SealedKey is the key of a page that was a bucket's head before.
func SealedKey(bucket int, seq uint64) string {
	return HeadKey(bucket) + "." + strconv.FormatUint(seq, 10)
}

// IsIntake says whether a key is that of a page of users' jobs.
func IsIntake(key string) bool { return strings.HasPrefix(key, intake) }

// IsHead says whether such a key is that of a bucket's head.
func IsHead(key string) bool { return IsIntake(key) && !strings.Contains(key[len(intake):], ".") }

// Bucket is where an id belongs.
func (f FormRecord) Bucket(id string) int {
	if f.Buckets <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(id) % uint64(f.Buckets))
}

// IntakeRecord is the value of a head or of a sealed page.
type IntakeRecord struct {
	Seq uint64 `msgpack:"s"` // of a head: the last page that was sealed
	// Closed: nothing is added to this head, which is empty; jobs have keys of
	// their own. A head that is not there is closed.
	Closed bool          `msgpack:"c,omitempty"`
	Jobs   []IntakeEntry `msgpack:"j"`
}

// IntakeEntry is a job on a page. Its record is decoded by itself, so that one
// that is damaged is named and the others go on.
type IntakeEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // a JobRecord
}

// Without is the record without those jobs.
func (r IntakeRecord) Without(ids map[string]bool) IntakeRecord {
	out := IntakeRecord{Seq: r.Seq, Closed: r.Closed, Jobs: make([]IntakeEntry, 0, len(r.Jobs))}
	for _, e := range r.Jobs {
		if !ids[e.ID] {
			out.Jobs = append(out.Jobs, e)
		}
	}
	return out
}

// size is what an entry takes of its page, in the form in which the service
// counts.
func (e IntakeEntry) size() int { return 16 + len(e.ID) + wire.JSONSize(e.Record) }

// Size is what a page takes, in the form in which the service counts.
func (r IntakeRecord) Size() int {
	n := 40
	for _, e := range r.Jobs {
		n += e.size()
	}
	return n
}

// Decode reads a job's record from its page.
func (e IntakeEntry) Decode() (JobRecord, error) {
	return DecodeJob(e.ID, e.Record)
}
