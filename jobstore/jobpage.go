package jobstore

import (
	"slices"

	"github.com/umberdeal/umberdeal/wire"
)

// JobPage is the value of a head page or of a sealed page: unfinished jobs that share a key.
//
// A job's id leads to a bucket, and each bucket has a head page, to which jobs are added on condition
// that it has not changed. What it has no room for moves to a sealed page of the bucket, from which
// jobs only leave. While few submissions come the head page is closed: it stays empty, and each job
// gets a key of its own, on condition that the head page still is closed.
type JobPage struct {
	LastSealed uint64 `msgpack:"s"` // of a head page: the number of the last page that was sealed
	// Closed: nothing is added to this head page, which is empty; jobs have keys of their own. A head
	// page that is not there counts as closed.
	Closed  bool           `msgpack:"c,omitempty"`
	Entries []JobPageEntry `msgpack:"j"`
}

// JobPageEntry is a job on a page. Its record is decoded by itself, so that one that can't be read is
// named and the others go on.
type JobPageEntry struct {
	ID     string   `msgpack:"i"`
	Record wire.Raw `msgpack:"r"` // a JobRecord
}

// Without is the page without those jobs.
func (p JobPage) Without(ids map[string]bool) JobPage {
	out := JobPage{LastSealed: p.LastSealed, Closed: p.Closed, Entries: make([]JobPageEntry, 0, len(p.Entries))}
	for _, e := range p.Entries {
		if !ids[e.ID] {
			out.Entries = append(out.Entries, e)
		}
	}
	return out
}

// has reports whether a job stands on the page.
func (p JobPage) has(id string) bool {
	return slices.ContainsFunc(p.Entries, func(e JobPageEntry) bool { return e.ID == id })
}

// How much the key-value store counts for a page and an entry beside what they hold: not less than
// the names of their fields, quotes and commas take as JSON.
const (
	pageOverhead  = 40
	entryOverhead = 16
)

// size is at least what the key-value store counts for an entry.
func (e JobPageEntry) size() int { return entryOverhead + len(e.ID) + wire.JSONSize(e.Record) }

// Size is at least what the key-value store counts for a page.
func (p JobPage) Size() int {
	n := pageOverhead
	for _, e := range p.Entries {
		n += e.size()
	}
	return n
}

// Decode reads a job's record from its entry.
func (e JobPageEntry) Decode() (JobRecord, error) {
	return DecodeJob(e.ID, e.Record)
}
