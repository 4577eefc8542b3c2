package jobstore

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// JobPage is the value of a head page or of a sealed page: unfinished jobs that share a key.
//
// A job's id determines its bucket (SchemaRecord.Bucket). Each bucket has one head page, to which jobs
// are added on condition that its version is unchanged. Entries that it has no room for are moved to a
// sealed page of the bucket, to which no jobs are added. While submissions are few the head page is
// closed, that is, empty and not used, and each job gets a key of its own, on condition that the head
// page's version is unchanged.
type JobPage struct {
	LastSealed uint64 `msgpack:"s"` // head pages only: the highest number of a sealed page
	// Closed marks an empty head page to which nothing is added: jobs get keys of their own. A bucket
	// without a head page is treated in the same way.
	Closed  bool           `msgpack:"c,omitempty"`
	Entries []JobPageEntry `msgpack:"j"`
}

// JobPageEntry is a job on a page. Its record is decoded separately, so that a damaged one does not
// affect the other jobs of the page.
type JobPageEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // a JobRecord
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

// Upper bounds of what the key-value store, which measures values as JSON, counts for a page and an
// entry in addition to their content: field names, quotes and commas.
const (
	pageOverhead  = 40
	entryOverhead = 16
)

// size is an upper bound of what the key-value store counts for an entry.
func (e JobPageEntry) size() int { return entryOverhead + len(e.ID) + wire.JSONSize(e.Record) }

// Size is an upper bound of what the key-value store counts for a page.
func (p JobPage) Size() int {
	n := pageOverhead
	for _, e := range p.Entries {
		n += e.size()
	}
	return n
}

// Decode decodes the entry's record.
func (e JobPageEntry) Decode() (JobRecord, error) {
	return DecodeJob(e.ID, e.Record)
}
