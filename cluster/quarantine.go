package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is about records of earlier leaders that can't be read. What they say
// is not guessed: what hangs on them is set aside and named, and the rest goes on.

// quarantine is what is known of records that can't be read. It only grows: a leader
// that can read them again starts with a new model.
type quarantine struct {
	jobs               map[string]bool // whose own records can't be read
	admissionPageLost  bool            // an admission page can't be read: any unknown job may be on it
	newestPage         uint64          // the newest version of an unreadable placement page; 0: none
	placingPausedUntil time.Time       // nothing is placed before
}

func (q *quarantine) addJob(id string) {
	if q.jobs == nil {
		q.jobs = map[string]bool{}
	}
	q.jobs[id] = true
}

func (q *quarantine) addPlacementPage(version uint64) { q.newestPage = max(q.newestPage, version) }

// pausePlacing keeps anything from being placed until then; it never shortens a pause.
func (q *quarantine) pausePlacing(until time.Time) {
	if until.After(q.placingPausedUntil) {
		q.placingPausedUntil = until
	}
}

func (q *quarantine) pausesPlacing(now time.Time) bool { return now.Before(q.placingPausedUntil) }

// mayHold says whether a job that the model does not have may still be active, its
// record being one that can't be read.
func (q *quarantine) mayHold(id string) bool { return q.jobs[id] || q.admissionPageLost }

// keptChunkSize is what a chunk that is kept as it was takes, at most about, in the form
// in which the service counts.
func (m *Model) keptChunkSize(c *jobstore.PlacementChunk) int {
	return 80 + len(c.Job) + (22+max(m.longestMachineName, 18))*len(c.Placements) + 8*len(c.DoneRanges)
}

// QuarantineJob names a job whose record can't be read. It stands still until its
// user cancels it; its placements are kept as they are, since attempts must
// not repeat should it be read again.
func (m *Model) QuarantineJob(key, id string, err error) {
	m.log.Error("unreadable job record: the job is set aside", "key", key, "id", id, "err", err)
	m.quarantine.addJob(id)
	m.pausePlacing()
}

// QuarantineAdmissionPage names a page of jobs that can't be read: which jobs stand on it is
// not known. Chunks of jobs that are not known otherwise are kept. since is from
// when on no leader has known its jobs, by the clock of whoever says so: as with
// jobs that were cancelled then, their tasks are gone cancel_s later.
func (m *Model) QuarantineAdmissionPage(key string, since time.Time, err error) {
	m.log.Error("unreadable page of jobs: they are set aside", "key", key, "since", since, "err", err)
	m.quarantine.admissionPageLost = true
	apart := time.Duration(2 * m.settings.Cluster.SkewMs * float64(time.Millisecond))
	if since = since.Add(apart); since.Before(m.ElectedAt) {
		m.pausePlacingFrom(since)
		return
	}
	m.pausePlacing()
}

// AdmissionEntries is what this leader knows of a page of users' jobs in that version; false
// where it does not.
func (m *Model) AdmissionEntries(key string, version uint64) ([]jobstore.JobPageEntry, bool) {
	p := m.admissionPages[key]
	if p == nil || p.version != version {
		return nil, false
	}
	return append([]jobstore.JobPageEntry{}, p.rec.Entries...), true
}

// QuarantinePlacementPage names a page of placement records that can't be read, and keeps it as
// it is. Whatever it may speak of is set aside when all has been read.
func (m *Model) QuarantinePlacementPage(n int, version uint64, err error) {
	key := jobstore.PlacementPageKey(n)
	m.log.Error("unreadable page of placements: jobs that it may speak of are set aside", "key", key, "err", err)
	p := m.pageAt(n)
	p.version, p.size = version, 1<<30 // nothing is put there
	m.quarantine.addPlacementPage(version)
	m.pausePlacing()
}

// pausePlacing holds all placing back until the tasks that can't be accounted for are gone
// by all means: they may use a team's limit. A worker that is answered is told
// to stop what nobody knows; one that is not loses its lease.
func (m *Model) pausePlacing() { m.pausePlacingFrom(m.ElectedAt) }

func (m *Model) pausePlacingFrom(t time.Time) {
	m.quarantine.pausePlacing(t.Add(config.Seconds(m.settings.Cluster.Workers.CancelS)))
}

// QuarantineFinishedJob takes in a job that is over and whose final record can't be read,
// while placements of it are left: what its tasks need is not known.
func (m *Model) QuarantineFinishedJob(key, id string, err error) {
	m.log.Error("unreadable record of a job that is over: its tasks are stopped", "key", key, "id", id, "err", err)
	m.LoadCancelledJob(id, jobstore.JobRecord{Job: wire.Job{ID: id, Tasks: wire.MaxTasks, Kind: wire.KindArray}})
	m.pausePlacing()
}

// quarantineUnaccountedJobs holds the jobs back of which a page that can't be read may have
// placements: those with a part that no other page has, unless they were
// accepted after it was last written. What a job's version says of that is no
// more than when its record last changed, where the record has marks or is shared.
func (m *Model) quarantineUnaccountedJobs() {
	if m.quarantine.newestPage == 0 {
		return
	}
	for _, j := range m.Jobs {
		if j == nil || j.Cancelled || j.Finished || j.admissionPage == nil && j.reservation == nil && j.Version > m.quarantine.newestPage {
			continue
		}
		for i := range j.Chunks {
			if j.Chunks[i].page == nil {
				j.quarantined = true
				m.log.Error("job set aside: where its tasks are can't be read", "id", j.ID)
				break
			}
		}
	}
}
