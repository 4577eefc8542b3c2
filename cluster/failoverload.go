package cluster

import (
	"time"

	"github.com/umberdeal/umberdeal/jobstore"
)

// LoadPlacementPage loads placement page number n, which an earlier leader wrote. The jobs of
// its records must be loaded before it. That includes jobs that are over and still have
// placements (LoadCancelledJob).
func (m *Model) LoadPlacementPage(n int, rec jobstore.PlacementPage, version uint64, now time.Time) {
	p := m.writes.placementPages.findOrAdd(n)
	p.setVersion(version)
	for i := range rec.Chunks {
		m.loadChunk(p, &rec.Chunks[i], now)
	}
}

// loadChunk loads the record of a chunk on a page. The chunk stays on the page as read if the
// record of its job can't be read.
func (m *Model) loadChunk(p *placementPage, c *jobstore.PlacementChunk, now time.Time) {
	j := m.Job(c.Job)
	if j == nil && m.quarantine.mayInclude(c.Job) {
		m.writes.placementPages.preserve(p, c)
		return
	}
	if j == nil || c.Chunk < 0 || c.Chunk >= len(j.Chunks) {
		p.generation++ // its job is over, so that the page is to be written without it
		return
	}
	ch := &j.Chunks[c.Chunk]
	m.writes.placementPages.put(p, j, c.Chunk)
	ch.commit(ch.generation)
	j.observeAttempt(c.MaxAttempt)
	for i := 0; i+1 < len(c.DoneRanges); i += 2 {
		for t := max(c.DoneRanges[i], 0); t <= c.DoneRanges[i+1] && t < len(j.Tasks); t++ {
			if j.Tasks[t].Phase != TaskDone {
				j.completeTask(int32(t))
			}
		}
	}
	j.loadEndedTasks(c.Outcomes)
	for _, p := range c.Placements {
		if p.Task < 0 || p.Task >= len(j.Tasks) || j.Tasks[p.Task].Phase != TaskIdle {
			continue
		}
		mc := m.findOrAddMachine(p.Machine, now)
		j.observeAttempt(p.Attempt)
		m.placeTask(j, int32(p.Task), mc, p.Attempt, now)
		// No leader launched a reserved task whose launch has not been requested. The job's
		// record, which shows that, was read after this leader was elected.
		if !j.awaitsLaunch(p.Task) {
			j.Tasks[p.Task].Placement.markInherited()
		}
	}
}

// FinishLoading completes loading. It must be called after the last record is loaded. It
// quarantines the jobs that may have placements on an unreadable page, and continues
// cancellations that an earlier leader began.
func (m *Model) FinishLoading(now time.Time) {
	m.loadFinished = true
	m.quarantineUnaccountedJobs()
	for _, j := range m.Jobs {
		m.releaseTasks(j, now)
		if j.Cancelled {
			m.cancelJob(j, now)
		}
		if j.DoneTasks == len(j.Tasks) {
			m.writes.markJob(j)
		}
	}
}
