// Job pages and records in the index that can't be decoded.

package jobstore

import (
	"strings"

	"github.com/umberdeal/umberdeal/wire"
)

// unreadablePage is a job page whose newest version can't be decoded. The index keeps the content and the
// version that it last decoded. Transactions that guard this older version fail, so the damaged page is
// not overwritten.
type unreadablePage struct {
	version         uint64
	quarantined     bool          // a leader has quarantined it, and leaders load no jobs from it
	originalKey     string        // its key before it was quarantined
	originalVersion uint64        // its version under that key
	recovered       *RecoveryCopy // this controller's copy of that version; nil if it has none
}

// logUnreadable logs that a record can't be decoded.
func (x *index) logUnreadable(key string, err error) {
	x.log.Error("unreadable record", "key", key, "err", err)
}

// placeholder logs that a job's record can't be decoded, and returns a record that only shows that the job
// exists.
func (x *index) placeholder(key, id string, err error) JobRecord {
	x.logUnreadable(key, err)
	return unknownRecord(id)
}

// unknownRecord returns a record for a job of which only the id is known. The record has one task, because
// a job with no tasks would count as done.
func unknownRecord(id string) JobRecord { return JobRecord{Job: wire.Job{ID: id, Tasks: 1}} }

// setUnreadablePage applies a new version of a job page that can't be decoded. The index keeps the jobs
// that it has on the page, and adds the jobs whose ids are still legible.
func (x *index) setUnreadablePage(key string, u unreadablePage, raw wire.Raw) {
	p := x.jobPage(key)
	if u.version <= p.version || u.version <= x.unreadablePages[key].version {
		return
	}
	u.recovered = x.originalPageCopy(key, u)
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

// moveJobs moves the jobs that the index has on a page to the key under which the page was quarantined.
// The transaction that quarantines a page also replaces the original by an empty head page. If the jobs
// were not moved first, this change would drop them.
func (x *index) moveJobs(from, to string) {
	for _, e := range x.jobPages[from].page.Entries {
		if j := x.jobs[e.ID]; j != nil && j.pageKey == from {
			j.pageKey = to
			x.jobPages[to].page.Entries = append(x.jobPages[to].page.Entries, e)
		}
	}
}

// unreadablePageOf returns the key and the version of an unreadable job page that may hold a job. The
// version is 0 if there is none.
func (x *index) unreadablePageOf(id string) (key string, version uint64) {
	head := HeadPageKey(x.schema.Bucket(id))
	for key, u := range x.unreadablePages {
		if x.schema.Buckets == 0 || isPageOfBucket(key, head) {
			return key, u.version
		}
	}
	return "", 0
}

// isPageOfBucket reports whether a job page is the head page, or a sealed page, of the bucket of headKey.
func isPageOfBucket(key, headKey string) bool {
	return key == headKey || strings.HasPrefix(key, headKey+".")
}

// checkAdmissible returns an UnreadableError if an id that the index does not have must not be accepted,
// because the job may be on a page that can't be decoded.
//
// Until a leader has quarantined the page, the current leader may know the job from the page's intact
// version and may be placing it. Afterwards no leader knows the job. The job was placed only if a
// placement page shows it. The index has all placement pages, and a placed job counts as known. So only
// the job's record is lost, and the user provides it again with a new submission. If a placement page
// can't be decoded either, a placement may be hidden, and the id is refused.
func (x *index) checkAdmissible(id string) error {
	if x.schemaUnreadable {
		return &UnreadableError{Op: opAccept, Job: id, Key: SchemaKey}
	}
	head := HeadPageKey(x.schema.Bucket(id))
	for key, u := range x.unreadablePages {
		if !isPageOfBucket(key, head) {
			continue
		}
		if !u.quarantined || len(x.unreadablePlacements) > 0 {
			return &UnreadableError{Op: opAccept, Job: id, Key: key}
		}
	}
	return nil
}
