package cluster

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file builds the queue of a scheduling pass: what waits for room, and in which
// order it is served.

const (
	maxRequestTasks = 64  // of one job in one pass
	maxRequests     = 400 // in one pass
)

// queued is a job in the queue of a scheduling pass, with what its place in the queue
// rests on. It lives for one pass; what outlasts it is kept in the job (triageVerdict,
// startState).
type queued struct {
	j           *Job
	withinQuota bool
	due         time.Time
	laterDue    []time.Time // what it is due for once it is put off
	missed      bool
	deferred    bool // from an objective it could still meet, for others' sake
	urgent      bool
	mustStart   bool    // must begin now, before the objectives of its priority
	runSeconds  float64 // seconds that the longest of its waiting tasks takes
	totalWork   float64
	req         placement.Request

	windowRank
}

// nextObjective takes a job's next objective as what it is due for.
func (r *queued) nextObjective(now time.Time) {
	if len(r.laterDue) == 0 {
		r.due = now.Add(time.Hour)
		return
	}
	r.due, r.laterDue = r.laterDue[0], r.laterDue[1:]
}

func (m *Model) openJobs() []*Job {
	// A leader may see far more jobs over its time than are there at once: those
	// that are out of the model are dropped here, not looked at for ever.
	live := m.openIndexes[:0]
	for _, idx := range m.openIndexes {
		if m.Jobs[idx] != nil {
			live = append(live, idx)
		}
	}
	m.openIndexes = live
	var jobs []*Job
	for _, idx := range m.openIndexes {
		if j := m.Jobs[idx]; !j.Cancelled && !j.Finished && !j.quarantined && j.DoneTasks < len(j.Tasks) {
			jobs = append(jobs, j)
		}
	}
	sort.SliceStable(jobs, func(a, b int) bool { return jobs[a].AcceptedAt.Before(jobs[b].AcceptedAt) })
	return jobs
}

// buildQueue lists what waits for room, in the order it is to be served.
func (m *Model) buildQueue(jobs []*Job, in map[int32]bool, now time.Time) []*queued {
	for _, c := range m.classes {
		c.openTasks = 0
	}
	var out, last []*queued
	for _, j := range jobs {
		if c := m.classes[j.Spec.Class]; c != nil && !j.failures.atFault() {
			c.openTasks += len(j.Tasks) - j.DoneTasks
		}
		r, ok := m.buildRequest(j, now)
		if !ok {
			continue
		}
		k := &queued{j: j, withinQuota: in[j.Index], req: r}
		if j.failures.atFault() {
			// Free room and nothing else: no place is kept, made or rented for
			// it, and no image fetched before those of healthy work.
			k.withinQuota, k.missed, k.req.FreeRoomOnly = false, true, true
			k.nextObjective(now)
			last = append(last, k)
			continue
		}
		est := m.expectedRunTime(j)
		for _, t := range r.Tasks {
			k.runSeconds = max(k.runSeconds, remainingOf(est, &j.Tasks[t]))
		}
		k.laterDue, k.missed, k.urgent = m.latestStarts(j, k.runSeconds, len(r.Tasks), k.withinQuota, now)
		k.nextObjective(now)
		m.applyWindowDeadline(k)
		k.req.WithinGuarantee, k.req.Hold = k.withinQuota, k.urgent && m.hasCompetitors(j) || m.outranksCompetitors(j)
		out = append(out, k)
	}
	sort.SliceStable(out, func(a, b int) bool {
		x, y := out[a], out[b]
		switch {
		case x.withinQuota != y.withinQuota:
			return x.withinQuota
		case x.j.Priority != y.j.Priority:
			return x.j.Priority < y.j.Priority
		case x.req.Tier != y.req.Tier:
			return x.req.Tier < y.req.Tier
		case x.inWindow || y.inWindow:
			return compareByWindow(x, y)
		case x.missed != y.missed:
			return y.missed
		}
		return x.due.Before(y.due)
	})
	m.runTriage(out, now)
	m.checkStarvationBound(out, now)
	out = truncateQueue(m.promoteStarvedTiers(m.prioritizeMustStart(out, now), now), maxRequests)
	m.keepGPUMachinesFree(out, jobs)
	return append(out, last...)
}
