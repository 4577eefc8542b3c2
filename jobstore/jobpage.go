// Job pages: records that hold several unfinished jobs.

package jobstore

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// JobPage is the value of a head page or of a sealed page. It holds unfinished jobs that share a key.
//
// A job's id determines its bucket (SchemaRecord.Bucket). Each bucket has one head page. A transaction
// that adds jobs to it has a guard on its version. Entries for which the head page has no room are moved
// to a sealed page of the bucket, to which no jobs are added. While submissions are few, the head page is
// closed: it is empty and unused, and each job gets a key of its own. A transaction that writes such a
// key also has a guard on the head page's version.
type JobPage struct {
	LastSealed uint64 `msgpack:"s"` // head pages only: the highest number of a sealed page
	// Closed marks an empty head page to which no jobs are added. Jobs get keys of their own instead. A
	// bucket that has no head page is treated in the same way.
	Closed  bool           `msgpack:"c,omitempty"`
	Entries []JobPageEntry `msgpack:"j"`
}

// JobPageEntry is a job on a page. Its record is decoded separately, so that a damaged record does not
// affect the other jobs of the page.
type JobPageEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // an encoded JobRecord
}

// Without returns a copy of the page without the given jobs.
func (p JobPage) Without(ids map[string]bool) JobPage {
	out := JobPage{LastSealed: p.LastSealed, Closed: p.Closed, Entries: make([]JobPageEntry, 0, len(p.Entries))}
	for _, e := range p.Entries {
		if !ids[e.ID] {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// has reports whether a job is on the page.
func (p JobPage) has(id string) bool {
	return slices.ContainsFunc(p.Entries, func(e JobPageEntry) bool { return e.ID == id })
}

// Upper bounds of the bytes of field names, quotes and commas in a page and in an entry. The key-value
// store measures values as JSON.
const (
	pageOverhead  = 40
	entryOverhead = 16
)

// size returns an upper bound of the bytes that the key-value store counts for an entry.
func (e JobPageEntry) size() int { return entryOverhead + len(e.ID) + wire.JSONSize(e.Record) }

// Size returns an upper bound of the bytes that the key-value store counts for a page.
func (p JobPage) Size() int {
	n := pageOverhead
	for _, e := range p.Entries {
		n += e.size()
	}
	return n
}

// Decode decodes the entry's record. It returns an error if the record has another id or no tasks.
func (e JobPageEntry) Decode() (JobRecord, error) {
	return DecodeJob(e.ID, e.Record)
}
