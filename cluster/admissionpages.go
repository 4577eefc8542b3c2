package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is about jobs whose records share pages (jobstore.JobPage).

// admissionPage is such a page.
type admissionPage struct {
	key     string
	version uint64
	rec     jobstore.JobPage
	size    int // in the form in which the service counts
}

// isObsolete reports whether the page is empty and stays so. Only head pages get new jobs.
func (p *admissionPage) isObsolete() bool {
	return len(p.rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key)
}

// admissionPages are the admission pages that the model has, by their keys.
type admissionPages map[string]*admissionPage

// at returns a page if the model has that version of it, and nil otherwise.
func (s admissionPages) at(key string, version uint64) *admissionPage {
	if p := s[key]; p != nil && p.version == version {
		return p
	}
	return nil
}

// findOrAdd returns the page of that key, in any version.
func (s admissionPages) findOrAdd(key string) *admissionPage {
	p := s[key]
	if p == nil {
		p = &admissionPage{key: key}
		s[key] = p
	}
	return p
}

// apply applies a change of a page that the store reports. It returns false if the model has
// it already.
func (s admissionPages) apply(p *admissionPage, change *AdmissionPage) bool {
	if change.Version > p.version {
		p.version, p.rec, p.size = change.Version, change.Record, change.Record.Size()
		return true
	}
	if change.Version == p.version {
		s.removeObsolete(p) // as this leader has written it
	}
	return false
}

// removeObsolete forgets a page that never comes back.
func (s admissionPages) removeObsolete(p *admissionPage) {
	if p.isObsolete() {
		delete(s, p.key)
	}
}

// AdmissionPage is a stored page on which several accepted jobs share one key. The record
// of a deleted page is empty.
type AdmissionPage struct {
	Key     string
	Version uint64
	Record  jobstore.JobPage
}

// ApplyAdmissionPages applies changed admission pages. They must come together as of one
// revision of the store, because a job may move between pages: a job that is on none of
// them any more has ended, but one that has merely moved must not look that way.
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

// WroteAdmissionPage reports whether the model already has that version of a page, as it
// does if this leader wrote it.
func (m *Model) WroteAdmissionPage(key string, version uint64) bool {
	return m.writes.admissionPages.at(key, version) != nil
}

// applyCommit applies the commit of a record that replaces the given version of the page, unless
// the watch of the store has reported this change or a later one already.
func (p *admissionPage) applyCommit(replaced, version uint64, rec jobstore.JobPage) {
	if p.version == replaced {
		p.version, p.rec, p.size = version, rec, rec.Size()
	}
}

// contains reports whether a job is on the page.
func (p *admissionPage) contains(id string) bool {
	for i := range p.rec.Entries {
		if p.rec.Entries[i].ID == id {
			return true
		}
	}
	return false
}

// applyAdmissionEntry applies the entry of a job on a page.
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

// admissionRemoval is the removal of jobs from an admission page by a batch.
type admissionRemoval struct {
	op      int // index of the write in the batch
	version uint64
	ids     map[string]bool
}

// removeFromAdmissionPage removes a job from its admission page. It returns false if the page
// does not fit into the batch.
func (b *WriteBatch) removeFromAdmissionPage(j *Job) bool {
	p := j.admissionPage
	l := b.admissionRemovals[p]
	if l == nil {
		if len(b.Ops) > 0 && b.bytes+p.size > maxBatchBytes {
			return false
		}
		l = &admissionRemoval{op: len(b.Ops), version: p.version, ids: map[string]bool{}}
		if b.admissionRemovals == nil {
			b.admissionRemovals = map[*admissionPage]*admissionRemoval{}
		}
		b.admissionRemovals[p] = l
		b.Guards = append(b.Guards, wire.Guard{Key: p.key, Version: p.version})
		b.Ops = append(b.Ops, wire.Op{Put: p.key})
		b.bytes += p.size
	}
	l.ids[j.ID] = true
	return true
}

// fillAdmissionRemovals makes the records of the admission pages from which the batch removes
// jobs, once it is known which jobs these are.
func (b *WriteBatch) fillAdmissionRemovals() {
	for p, l := range b.admissionRemovals {
		rec := p.rec.Without(l.ids)
		op := wire.Op{Put: p.key, Value: rec}
		if len(rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key) {
			op = wire.Op{Delete: p.key}
		}
		b.Ops[l.op] = op
		b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) { p.applyCommit(l.version, rev, rec) })
	}
}

// isCurrent reports whether the model has the version of the job's record that the store
// has.
func (j *Job) isCurrent(ref DigestBase) bool {
	if j.admissionPage != nil {
		return j.admissionPage.version == ref.Version(j.admissionPage.key)
	}
	return j.version == ref.Version(jobstore.JobKey(j.ID))
}
