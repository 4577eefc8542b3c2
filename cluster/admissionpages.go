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
	type gone struct {
		id   string
		from *admissionPage
	}
	var may []gone
	for i := range pages {
		pg := &pages[i]
		p := m.admissionPages[pg.Key]
		if p == nil {
			p = &admissionPage{key: pg.Key}
			m.admissionPages[pg.Key] = p
		}
		if pg.Version <= p.version {
			if pg.Version == p.version && len(p.rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key) {
				delete(m.admissionPages, p.key) // as this leader has written it
			}
			continue
		}
		for _, e := range p.rec.Entries {
			may = append(may, gone{e.ID, p})
		}
		p.version, p.rec, p.size = pg.Version, pg.Record, pg.Record.Size()
		for _, e := range p.rec.Entries {
			m.applyAdmissionEntry(p, e, now)
		}
		if len(p.rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key) {
			delete(m.admissionPages, p.key) // it never comes back
		}
	}
	for _, g := range may {
		if j := m.Job(g.id); j != nil && j.admissionPage == g.from && !g.from.has(g.id) {
			m.RemoveJob(g.id, now)
		}
	}
}

// WroteAdmissionPage reports whether the model already has that version of a page, as it
// does if this leader wrote it.
func (m *Model) WroteAdmissionPage(key string, version uint64) bool {
	p := m.admissionPages[key]
	return p != nil && p.version == version
}

func (p *admissionPage) has(id string) bool {
	for i := range p.rec.Entries {
		if p.rec.Entries[i].ID == id {
			return true
		}
	}
	return false
}

// applyAdmissionEntry takes in that a job stands on a page.
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
	j.admissionPage, j.Version = p, p.version
}

// admissionRemoval is a page that a batch takes jobs from.
type admissionRemoval struct {
	op      int // which of the batch's
	version uint64
	ids     map[string]bool
}

// removeFromAdmissionPage takes a job from its page, if the page fits into the batch.
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

// fillAdmissionRemovals fills in what is left of the pages that the batch takes jobs from.
func (b *WriteBatch) fillAdmissionRemovals() {
	for p, l := range b.admissionRemovals {
		rec := p.rec.Without(l.ids)
		op := wire.Op{Put: p.key, Value: rec}
		if len(rec.Entries) == 0 && !jobstore.IsHeadPageKey(p.key) {
			op = wire.Op{Delete: p.key}
		}
		b.Ops[l.op] = op
		b.commitHooks = append(b.commitHooks, func(rev uint64, _ time.Time) {
			if p.version == l.version { // else the watch was first
				p.version, p.rec, p.size = rev, rec, rec.Size()
			}
		})
	}
}

// isCurrent says whether what the model has of a job's record is what the store
// has.
func (j *Job) isCurrent(ref DigestBase) bool {
	if j.admissionPage != nil {
		return j.admissionPage.version == ref.Version(j.admissionPage.key)
	}
	return j.Version == ref.Version(jobstore.JobKey(j.ID))
}
