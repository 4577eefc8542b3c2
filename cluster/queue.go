package cluster

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

// This file builds the queue of a scheduling pass: the requests of all waiting jobs, in the
// order in which they are served.

const (
	maxRequestTasks = 64  // of one job in one pass
	maxRequests     = 400 // in one pass, apart from those that truncateQueue keeps and those of faulty jobs
	// noObjectiveDueIn is how long from now a job is due that has no objective left. It lies
	// beyond the due times of nearly all jobs that have one.
	noObjectiveDueIn = time.Hour
)

// queueEntry is a job in the queue of a scheduling pass, with what determines its position. It
// lives for one pass; what outlasts the pass is kept in the job (triageVerdict, startState).
type queueEntry struct {
	job             *Job
	withinGuarantee bool
	due             time.Time   // latest start for the objective that it is served for
	laterDue        []time.Time // latest starts for its later objectives, earliest first
	missed          bool        // it can meet none of its objectives
	deferred        bool        // triage has removed it from an objective that it could meet
	mustStart       bool        // the starvation bound lets it precede the objectives of its priority
	runSeconds      float64     // expected, of the longest of its waiting tasks
	totalWork       float64     // remainingWork
	req             placement.Request

	windowRank
}

// nextObjective makes the job due for the next of its later objectives.
func (entry *queueEntry) nextObjective(now time.Time) {
	if len(entry.laterDue) == 0 {
		entry.due = now.Add(noObjectiveDueIn)
		return
	}
	entry.due, entry.laterDue = entry.laterDue[0], entry.laterDue[1:]
}

// openJobs lists the jobs that have unfinished tasks and may be scheduled, in the order in
// which they were accepted.
func (m *Model) openJobs() []*Job {
	// Over a leadership far more jobs come and go than are in the model at once, so the
	// indexes of those that have left it are dropped here.
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

// buildQueue returns the queue: the requests of the waiting jobs, in the order in which they
// are served. Jobs that fail wherever they run are at its end. It updates the state of triage
// and of the starvation bound, so that Explain, which calls it too, is for models that no
// leader uses.
func (m *Model) buildQueue(jobs []*Job, withinGuarantee map[int32]bool, now time.Time) []*queueEntry {
	m.classes.countOpenTasks(jobs)
	var queue, faulty []*queueEntry
	for _, j := range jobs {
		r, ok := m.buildRequest(j, now)
		if !ok {
			continue
		}
		if j.failures.atFault() {
			faulty = append(faulty, newFaultyEntry(j, r, now))
			continue
		}
		entry := &queueEntry{job: j, withinGuarantee: withinGuarantee[j.Index], req: r}
		m.rankByObjectives(entry, now)
		queue = append(queue, entry)
	}
	sort.SliceStable(queue, func(a, b int) bool { return queue[a].precedes(queue[b]) })
	m.runTriage(queue, now)
	m.checkStarvationBound(queue, now)
	queue = m.prioritizeMustStart(queue, now)
	queue = m.promoteStarvedTiers(queue, now)
	queue = truncateQueue(queue, maxRequests)
	m.keepGPUMachinesFree(queue, jobs)
	return append(queue, faulty...)
}

// newFaultyEntry queues a job that fails wherever it runs. It gets free resources only:
// nothing is reserved, preempted or rented for it, and no image is fetched for it before
// those of healthy work.
func newFaultyEntry(j *Job, r placement.Request, now time.Time) *queueEntry {
	entry := &queueEntry{job: j, missed: true, req: r}
	entry.req.FreeCapacityOnly = true
	entry.nextObjective(now)
	return entry
}

// rankByObjectives determines by when a queued job must start, and whether resources are held
// for it.
func (m *Model) rankByObjectives(entry *queueEntry, now time.Time) {
	j := entry.job
	estimate := m.expectedRunTime(j)
	for _, t := range entry.req.Tasks {
		entry.runSeconds = max(entry.runSeconds, remainingOf(estimate, &j.Tasks[t]))
	}
	deadlines := m.latestStarts(entry, now)
	entry.laterDue, entry.missed = deadlines.latest, deadlines.allMissed()
	entry.nextObjective(now)
	m.applyWindowDeadline(entry)
	entry.req.WithinGuarantee = entry.withinGuarantee
	entry.req.Hold = deadlines.waitIsNext() && m.hasCompetitors(j) || m.outranksCompetitors(j)
}

// precedes reports whether entry is served before other, before triage and the starvation bound have
// changed the order.
func (entry *queueEntry) precedes(other *queueEntry) bool {
	switch {
	case entry.withinGuarantee != other.withinGuarantee:
		return entry.withinGuarantee
	case entry.job.priority != other.job.priority:
		return entry.job.priority < other.job.priority
	case entry.req.Tier != other.req.Tier:
		return entry.req.Tier < other.req.Tier
	case entry.inWindow || other.inWindow:
		return lessByWindow(entry, other)
	case entry.missed != other.missed:
		return other.missed
	}
	return entry.due.Before(other.due)
}
