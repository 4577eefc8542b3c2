// Applies admission pages, which are stored pages with the records of several accepted jobs, and
// removes finished jobs from them.

package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// admissionPage is a stored page that holds the records of several jobs (jobstore.JobPage).
type admissionPage struct {
	key     string
	version uint64
	rec     jobstore.JobPage
	size    int // bytes, as the key-value service counts them
}

// isObsolete reports whether the page is empty for good. Only head pages get new jobs.
func (p *admissionPage) isObsolete() bool {
	return len(p.rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key)
}

// admissionPages are the admission pages in the model, by key.
type admissionPages map[string]*admissionPage

// atVersion returns the page with the given key if the model has exactly the given version of it,
// and nil otherwise.
func (s admissionPages) atVersion(key string, version uint64) *admissionPage {
	if p := s[key]; p != nil && p.version == version {
		return p
	}
	return nil
}

// findOrAdd returns the page with the given key, in any version. It adds an empty page if
// there is none.
func (s admissionPages) findOrAdd(key string) *admissionPage {
	p := s[key]
	if p == nil {
		p = &admissionPage{key: key}
		s[key] = p
	}
	return p
}

// apply applies a change of a page that the store reports. It returns false if the model has
// this version or a later one already.
func (s admissionPages) apply(p *admissionPage, change *AdmissionPage) bool {
	if change.Version > p.version {
		p.version, p.rec, p.size = change.Version, change.Record, change.Record.Size()
		return true
	}
	if change.Version == p.version {
		s.removeObsolete(p) // this leader wrote the version itself
	}
	return false
}

// removeObsolete removes the page from the model if it is obsolete.
func (s admissionPages) removeObsolete(p *admissionPage) {
	if p.isObsolete() {
		delete(s, p.key)
	}
}

// AdmissionPage is a version of a stored page that holds several accepted jobs under one key.
// The record of a deleted page is empty.
type AdmissionPage struct {
	Key     string
	Version uint64
	Record  jobstore.JobPage
}

// ApplyAdmissionPages applies changed admission pages. All pages that changed in one revision
// of the store must be passed in one call, because a job may move between pages. A job that is
// removed from its page and is on no other one has ended.
func (m *Model) ApplyAdmissionPages(pages []AdmissionPage, now time.Time) {
	type formerEntry struct {
		id   string
		page *admissionPage
	}
	var former []formerEntry
	for i := range pages {
		p := m.writes.admissionPages.findOrAdd(pages[i].Key)
		before := p.rec.Entries
		if !m.writes.admissionPages.apply(p, &pages[i]) {
			continue
		}
		for _, e := range before {
			former = append(former, formerEntry{e.ID, p})
		}
		for _, e := range p.rec.Entries {
			m.applyAdmissionEntry(p, e, now)
		}
		m.writes.admissionPages.removeObsolete(p)
	}
	for _, e := range former {
		if j := m.Job(e.id); j != nil && j.admissionPage == e.page && !e.page.contains(e.id) {
			m.RemoveJob(e.id, now)
		}
	}
}

// HasAdmissionPageVersion reports whether the model already has the given version of a page. That
// is the case if this leader wrote it.
func (m *Model) HasAdmissionPageVersion(key string, version uint64) bool {
	return m.writes.admissionPages.atVersion(key, version) != nil
}

// applyCommit applies the commit of a record that replaces the given version of the page. It
// does nothing if the store's watch has reported this change or a later one already.
func (p *admissionPage) applyCommit(replaced, version uint64, rec jobstore.JobPage) {
	if p.version == replaced {
		p.version, p.rec, p.size = version, rec, rec.Size()
	}
}

// contains reports whether the job with the given id is on the page.
func (p *admissionPage) contains(id string) bool {
	for i := range p.rec.Entries {
		if p.rec.Entries[i].ID == id {
			return true
		}
	}
	return false
}

// applyAdmissionEntry applies an entry of a page. It adds the job to the model if needed, and
// quarantines the job if its record can't be read.
func (m *Model) applyAdmissionEntry(p *admissionPage, e jobstore.JobPageEntry, now time.Time) {
	j := m.Job(e.ID)
	if j == nil {
		rec, err := e.Decode()
		if err != nil {
			m.QuarantineJob(p.key, e.ID, err)
			return
		}
		m.ApplyJobRecord(e.ID, rec, p.version, now)
		j = m.Job(e.ID)
	}
	j.setAdmissionPage(p)
}

// admissionRemoval is the removal of jobs from one admission page in a batch.
type admissionRemoval struct {
	op      int // index of the write in the batch
	version uint64
	ids     map[string]bool
}

// admissionPageBytes returns how much larger the batch gets if it removes a job from its admission
// page: nothing if the batch changes the page already.
func (b *WriteBatch) admissionPageBytes(p *admissionPage) int {
	if b.admissionRemovals[p] != nil {
		return 0
	}
	return wire.Guard{Key: p.key}.Size() + wire.Op{Put: p.key}.Size(p.size)
}

// removeFromAdmissionPage adds the removal of a job from its admission page to the batch.
func (b *WriteBatch) removeFromAdmissionPage(j *Job) {
	p := j.admissionPage
	removal := b.admissionRemovals[p]
	if removal == nil {
		removal = &admissionRemoval{op: len(b.Ops), version: p.version, ids: map[string]bool{}}
		if b.admissionRemovals == nil {
			b.admissionRemovals = map[*admissionPage]*admissionRemoval{}
		}
		b.admissionRemovals[p] = removal
		b.addGuard(wire.Guard{Key: p.key, Version: p.version})
		b.addOp(wire.Op{Put: p.key}, p.size)
	}
	removal.ids[j.ID] = true
}

// fillAdmissionRemovals sets the values of the batch's admission page writes. It must run after
// the last call of removeFromAdmissionPage.
func (b *WriteBatch) fillAdmissionRemovals() {
	for p, removal := range b.admissionRemovals {
		rec := p.rec.Without(removal.ids)
		op := wire.Op{Put: p.key, Value: rec}
		if len(rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key) {
			op = wire.Op{Delete: p.key}
		}
		b.Ops[removal.op] = op
		b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) { p.applyCommit(removal.version, rev, rec) })
	}
}

// isCurrent reports whether the model has the version of the job's record that base gives as the
// current one.
func (j *Job) isCurrent(base DigestBase) bool {
	if j.admissionPage != nil {
		return j.admissionPage.version == base.Version(j.admissionPage.key)
	}
	return j.version == base.Version(jobstore.JobKey(j.ID))
}
