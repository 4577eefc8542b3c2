package jobstore

import (
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// unreadablePage is a job page whose newest version can't be read. The index keeps the version that was
// last read, so that nothing is written over the page.
type unreadablePage struct {
	version         uint64
	quarantined     bool          // by a leader, so that no leader knows its jobs
	originalKey     string        // where it stood before
	originalVersion uint64        // and in which version
	recovered       *RecoveryCopy // what this controller remembers of that version; nil for nothing
}

// logUnreadable names a record that can't be read; the others go on.
func (x *index) logUnreadable(key string, err error) {
	x.log.Error("unreadable record", "key", key, "err", err)
}

// placeholder stands in for the record of a job that can't be read: the job is known, and nothing else.
func (x *index) placeholder(key, id string, err error) JobRecord {
	x.logUnreadable(key, err)
	return unknownRecord(id)
}

// unknownRecord is the record of a job of which only the id is known.
func unknownRecord(id string) JobRecord { return JobRecord{Job: wire.Job{ID: id, Tasks: 1}} }

// setUnreadablePage takes in that a job page can't be read in its newest version. What was known of it
// stays known, and so do the jobs whose ids can still be read.
func (x *index) setUnreadablePage(key string, u unreadablePage, raw wire.Raw) {
	p := x.jobPage(key)
	if u.version <= p.version || u.version <= x.unreadablePages[key].version {
		return
	}
	u.recovered = x.rememberedPage(key, u)
	if from := x.jobPages[u.originalKey]; u.quarantined && from != nil && from != p && from.version <= u.originalVersion {
		x.moveJobs(u.originalKey, key)
	}
	x.unreadablePages[key] = u
	for _, id := range salvageIDs(raw) {
		if j := x.job(id); j.version == 0 {
			j.record, j.version, j.pageKey, j.unreadable = unknownRecord(id), u.version, key, true
			p.page.Entries = append(p.page.Entries, JobPageEntry{ID: id})
		}
	}
}

// moveJobs moves what is known of a page's jobs to the page under which it was quarantined. The
// transaction that did so goes on to put an empty head page in its place.
func (x *index) moveJobs(from, to string) {
	for _, e := range x.jobPages[from].page.Entries {
		if j := x.jobs[e.ID]; j != nil && j.pageKey == from {
			j.pageKey = to
			x.jobPages[to].page.Entries = append(x.jobPages[to].page.Entries, e)
		}
	}
}

// unreadablePageOf is an unreadable job page on which a job may stand. The version is 0 where there is
// none.
func (x *index) unreadablePageOf(id string) (key string, version uint64) {
	head := HeadPageKey(x.schema.Bucket(id))
	for key, u := range x.unreadablePages {
		if x.schema.Buckets == 0 || inBucket(key, head) {
			return key, u.version
		}
	}
	return "", 0
}

// inBucket reports whether a job page is that head page, or one of its sealed pages.
func inBucket(key, headKey string) bool {
	return key == headKey || strings.HasPrefix(key, headKey+".")
}

// checkAdmissible returns an UnreadableError unless an id that this controller does not know may be
// accepted: it may stand on a page that can't be read.
//
// Once a leader has quarantined that page no leader knows the job or ever did place it, unless a
// placement page says so, which this controller reads: jobs that are placed are known. So only its
// record is lost, and its user submits that again. Before that, a leader may still know it, and may be
// placing it.
func (x *index) checkAdmissible(id string) error {
	if x.schemaUnreadable {
		return &UnreadableError{Op: opAccept, Job: id, Key: SchemaKey}
	}
	head := HeadPageKey(x.schema.Bucket(id))
	for key, u := range x.unreadablePages {
		if !inBucket(key, head) {
			continue
		}
		if !u.quarantined || len(x.unreadablePlacements) > 0 {
			return &UnreadableError{Op: opAccept, Job: id, Key: key}
		}
	}
	return nil
}
