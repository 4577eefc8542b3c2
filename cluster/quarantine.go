package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file is about records of earlier leaders that can't be read. What they say
// is not guessed: what hangs on them is set aside and named, and the rest goes on.

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
	if m.unreadableJobs == nil {
		m.unreadableJobs = map[string]bool{}
	}
	m.unreadableJobs[id] = true
	m.pausePlacing()
}

// QuarantineAdmissionPage names a page of jobs that can't be read: which jobs stand on it is
// not known. Chunks of jobs that are not known otherwise are kept. since is from
// when on no leader has known its jobs, by the clock of whoever says so: as with
// jobs that were cancelled then, their tasks are gone cancel_s later.
func (m *Model) QuarantineAdmissionPage(key string, since time.Time, err error) {
	m.log.Error("unreadable page of jobs: they are set aside", "key", key, "since", since, "err", err)
	m.admissionPageLost = true
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
	m.newestUnreadablePage = max(m.newestUnreadablePage, version)
	m.pausePlacing()
}

// pausePlacing holds all placing back until the tasks that can't be accounted for are gone
// by all means: they may use a team's limit. A worker that is answered is told
// to stop what nobody knows; one that is not loses its lease.
func (m *Model) pausePlacing() { m.pausePlacingFrom(m.ElectedAt) }

func (m *Model) pausePlacingFrom(t time.Time) {
	if until := t.Add(config.Seconds(m.settings.Cluster.Workers.CancelS)); until.After(m.placingPausedUntil) {
		m.placingPausedUntil = until
	}
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
	if m.newestUnreadablePage == 0 {
		return
	}
	for _, j := range m.Jobs {
		if j == nil || j.Cancelled || j.Finished || j.admissionPage == nil && j.reservation == nil && j.Version > m.newestUnreadablePage {
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
