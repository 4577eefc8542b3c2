package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file quarantines what depends on unreadable records of earlier leaders. Their
// contents are not guessed: the jobs concerned are logged and not scheduled, and all others
// go on.

// quarantine is what is known of records that can't be read. It only grows: a leader that
// can read them again starts with a new model.
type quarantine struct {
	jobs                 map[string]bool // whose own records can't be read
	admissionPageLost    bool            // an admission page can't be read: any unknown job may be on it
	newestUnreadablePage uint64          // the newest version of an unreadable placement page; 0 if there is none
	placementPausedUntil time.Time       // no task is placed before
}

// addJob records a job whose own records can't be read.
func (q *quarantine) addJob(id string) {
	if q.jobs == nil {
		q.jobs = map[string]bool{}
	}
	q.jobs[id] = true
}

// addAdmissionPage records that an admission page can't be read, so that any unknown job
// may be on it.
func (q *quarantine) addAdmissionPage() { q.admissionPageLost = true }

// addPlacementPage records the version of a placement page that can't be read.
func (q *quarantine) addPlacementPage(version uint64) {
	q.newestUnreadablePage = max(q.newestUnreadablePage, version)
}

// pausePlacement stops all placing until the given time. It never shortens a pause.
func (q *quarantine) pausePlacement(until time.Time) {
	if until.After(q.placementPausedUntil) {
		q.placementPausedUntil = until
	}
}

// placementPaused reports whether placing is stopped now.
func (q *quarantine) placementPaused(now time.Time) bool { return now.Before(q.placementPausedUntil) }

// mayInclude reports whether a job that the model does not have may still be active, because
// its record may be one that can't be read.
func (q *quarantine) mayInclude(id string) bool { return q.jobs[id] || q.admissionPageLost }

// QuarantineJob quarantines a job whose record can't be read: it is not scheduled until its
// record is readable again or its user cancels it. Its placement records are preserved, so
// that no attempt number is reused if the record becomes readable.
func (m *Model) QuarantineJob(key, id string, err error) {
	m.log.Error("unreadable job record, job quarantined", "key", key, "id", id, "err", err)
	m.quarantine.addJob(id)
	m.pausePlacement()
}

// QuarantineAdmissionPage records that an admission page can't be read, so that it is not
// known which jobs are on it. Placement records of unknown jobs are preserved, since those
// jobs may be on the page. since is when the page became unreadable to leaders, by the clock
// of the node that recorded it: from then on workers are told to stop the tasks of its jobs,
// and as with a cancelled job those are gone cancel_s later. Nothing is placed before that.
func (m *Model) QuarantineAdmissionPage(key string, since time.Time, err error) {
	m.log.Error("unreadable job page, its jobs quarantined", "key", key, "since", since, "err", err)
	m.quarantine.addAdmissionPage()
	apart := time.Duration(2 * m.settings.Cluster.SkewMs * float64(time.Millisecond))
	if since = since.Add(apart); since.Before(m.ElectedAt) {
		m.pausePlacementFrom(since)
		return
	}
	m.pausePlacement()
}

// AdmissionEntries returns the jobs on an admission page in that version, so that a page
// that has become unreadable can be recovered from this leader's memory. It returns false
// if the model has another version of the page, or none.
func (m *Model) AdmissionEntries(key string, version uint64) ([]jobstore.JobPageEntry, bool) {
	p := m.writes.admissionPages.at(key, version)
	if p == nil {
		return nil, false
	}
	return append([]jobstore.JobPageEntry{}, p.rec.Entries...), true
}

// QuarantinePlacementPage records that a page of placement records can't be read. The page
// is left as it is in the store. FinishLoading quarantines the jobs that may have
// placements on it.
func (m *Model) QuarantinePlacementPage(n int, version uint64, err error) {
	key := jobstore.PlacementPageKey(n)
	m.log.Error("unreadable placement page, jobs that may be on it quarantined", "key", key, "err", err)
	m.writes.placementPages.markUnreadable(n, version)
	m.quarantine.addPlacementPage(version)
	m.pausePlacement()
}

// pausePlacement stops all placing until tasks that can't be accounted for are certainly
// gone, since they may count against a team's limit. Workers that are answered are told to
// stop tasks that the model does not have; workers that are not answered lose their leases.
func (m *Model) pausePlacement() { m.pausePlacementFrom(m.ElectedAt) }

// pausePlacementFrom stops all placing until tasks that were told to stop at t are gone.
func (m *Model) pausePlacementFrom(t time.Time) {
	m.quarantine.pausePlacement(t.Add(config.Seconds(m.settings.Cluster.Workers.CancelS)))
}

// QuarantineFinishedJob loads, as cancelled, a job that is over and whose final record can't
// be read, because placements of it are left. Since it is not known which resources its
// tasks use, placing is paused until they are gone.
func (m *Model) QuarantineFinishedJob(key, id string, err error) {
	m.log.Error("unreadable record of a finished job, stopping its tasks", "key", key, "id", id, "err", err)
	m.LoadCancelledJob(id, jobstore.JobRecord{Job: wire.Job{ID: id, Tasks: wire.MaxTasks, Kind: wire.KindArray}})
	m.pausePlacement()
}

// quarantineUnaccountedJobs quarantines the jobs that may have placements on an unreadable
// page: those with a chunk that is on no readable page, unless their record is newer than
// the unreadable page. That exception does not hold for jobs with reservations or on shared
// admission pages, whose records change after the job was accepted.
func (m *Model) quarantineUnaccountedJobs() {
	if m.quarantine.newestUnreadablePage == 0 {
		return
	}
	for _, j := range m.Jobs {
		if j == nil || j.Cancelled || j.Finished || j.admissionPage == nil && j.reservation == nil && j.version > m.quarantine.newestUnreadablePage {
			continue
		}
		for i := range j.Chunks {
			if j.Chunks[i].page == nil {
				j.markQuarantined()
				m.log.Error("job quarantined, its placements are unreadable", "id", j.ID)
				break
			}
		}
	}
}
