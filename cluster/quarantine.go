package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// quarantine records which records of earlier leaders can't be read. The model does not guess
// their contents. It logs the affected jobs and does not schedule them, and all other jobs
// continue. Entries are never removed, because a leader that can read the records again starts
// with a new model.
type quarantine struct {
	jobs                 map[string]bool // ids of jobs whose own records can't be read
	admissionPageLost    bool            // an admission page can't be read, so that any unknown job may be on it
	newestUnreadablePage uint64          // the newest version of an unreadable placement page; 0 if there is none
	placementPausedUntil time.Time       // until when no task is placed
}

// addJob records a job whose own records can't be read.
func (q *quarantine) addJob(id string) {
	if q.jobs == nil {
		q.jobs = map[string]bool{}
	}
	q.jobs[id] = true
}

// addAdmissionPage records that an admission page can't be read.
func (q *quarantine) addAdmissionPage() { q.admissionPageLost = true }

// addPlacementPage records the version of a placement page that can't be read.
func (q *quarantine) addPlacementPage(version uint64) {
	q.newestUnreadablePage = max(q.newestUnreadablePage, version)
}

// pausePlacement prevents all placements until the given time. It never shortens a pause.
func (q *quarantine) pausePlacement(until time.Time) {
	if until.After(q.placementPausedUntil) {
		q.placementPausedUntil = until
	}
}

// placementPaused reports whether all placements are prevented now.
func (q *quarantine) placementPaused(now time.Time) bool { return now.Before(q.placementPausedUntil) }

// mayInclude reports whether a job that the model does not have may still be active, because
// its record may be among those that can't be read.
func (q *quarantine) mayInclude(id string) bool { return q.jobs[id] || q.admissionPageLost }

// QuarantineJob quarantines a job whose record can't be read. The job is not scheduled until its
// record is readable again or its user cancels it. Its placement records are preserved, so that
// no attempt number is reused if the record becomes readable.
func (m *Model) QuarantineJob(key, id string, err error) {
	m.log.Error("unreadable job record, job quarantined", "key", key, "id", id, "err", err)
	m.quarantine.addJob(id)
	m.pausePlacement()
}

// QuarantineAdmissionPage records that an admission page can't be read, so that its jobs are
// unknown. Placement records of unknown jobs are preserved, because the jobs may be on the page.
//
// since is when the page became unreadable to leaders, by the clock of the node that recorded
// it. From then on leaders tell workers to stop the tasks of the page's jobs. As with a cancelled
// job, these tasks are gone cancel_s later. Nothing is placed until then.
func (m *Model) QuarantineAdmissionPage(key string, since time.Time, err error) {
	m.log.Error("unreadable job page, its jobs quarantined", "key", key, "since", since, "err", err)
	m.quarantine.addAdmissionPage()
	maxClockSkew := time.Duration(2 * m.settings.Cluster.SkewMs * float64(time.Millisecond))
	if since = since.Add(maxClockSkew); since.Before(m.ElectedAt) {
		m.pausePlacementFrom(since)
		return
	}
	m.pausePlacement()
}

// AdmissionEntries returns a copy of the entries of an admission page, so that a page that became
// unreadable can be recovered from this leader's memory. It returns false if the model does not
// have exactly the given version of the page.
func (m *Model) AdmissionEntries(key string, version uint64) ([]jobstore.JobPageEntry, bool) {
	p := m.writes.admissionPages.atVersion(key, version)
	if p == nil {
		return nil, false
	}
	return append([]jobstore.JobPageEntry{}, p.rec.Entries...), true
}

// QuarantinePlacementPage records that placement page number n can't be read. The page is left
// unchanged in the store. FinishLoading quarantines the jobs that may have placements on it.
func (m *Model) QuarantinePlacementPage(n int, version uint64, err error) {
	key := jobstore.PlacementPageKey(n)
	m.log.Error("unreadable placement page, jobs that may be on it quarantined", "key", key, "err", err)
	m.writes.placementPages.markUnreadable(n, version)
	m.quarantine.addPlacementPage(version)
	m.pausePlacement()
}

// pausePlacement prevents all placements until tasks that the model does not know are certainly
// gone, because such tasks may count against a team's limit. Workers that get answers are told
// to stop tasks that the model does not have. Workers that get no answers lose their leases.
func (m *Model) pausePlacement() { m.pausePlacementFrom(m.ElectedAt) }

// pausePlacementFrom prevents all placements until tasks that were ordered to stop at the given
// time are gone.
func (m *Model) pausePlacementFrom(stoppedAt time.Time) {
	m.quarantine.pausePlacement(stoppedAt.Add(config.Seconds(m.settings.Cluster.Workers.CancelS)))
}

// QuarantineFinishedJob adds a job that is over, has placement records left, and whose final
// record can't be read. The job is added as cancelled, so that its tasks are stopped. It is not
// known which resources they use, so that nothing is placed until they are gone.
func (m *Model) QuarantineFinishedJob(key, id string, err error) {
	m.log.Error("unreadable record of a finished job, stopping its tasks", "key", key, "id", id, "err", err)
	m.LoadCancelledJob(id, jobstore.JobRecord{Job: wire.Job{ID: id, Tasks: wire.MaxTasks, Kind: wire.KindArray}})
	m.pausePlacement()
}

// quarantineUnaccountedJobs quarantines the jobs that may have placements on an unreadable page.
// These are the jobs with a chunk that is on no readable page. A job whose record is newer than
// every unreadable page has no placements there and is skipped. Jobs with reservations or on
// admission pages are never skipped, because their records change after acceptance.
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
