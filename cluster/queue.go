// Builds the queue of a scheduling pass: the requests of all waiting jobs in the order in which
// they are served.

package cluster

import (
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/placement"
)

const (
	maxRequestTasks = 64 // tasks of one job that one pass requests
	// maxRequests is the length to which truncateQueue cuts the queue of a pass. Requests that
	// are due to start and requests of faulty jobs may exceed it.
	maxRequests = 400
	// noObjectiveDueIn is the time from now until a job without any remaining objective is due.
	// Nearly all jobs with an objective are due earlier.
	noObjectiveDueIn = time.Hour
)

// queueEntry is a job's request in the queue of a scheduling pass, with the properties that
// determine its position. A job has several entries if its request was split. An entry exists
// for one pass only. State that outlasts the pass is kept in the job (triageVerdict, startState).
type queueEntry struct {
	job             *Job
	withinGuarantee bool
	due             time.Time   // latest start that meets the objective it is served for
	laterDue        []time.Time // latest starts that meet its later objectives, earliest first
	missed          bool        // the job can meet none of its objectives
	deferred        bool        // triage has given up an objective that the job could meet
	mustStart       bool        // the starvation bound puts it ahead of the objectives of its priority
	runSeconds      float64     // expected run time of the longest of its waiting tasks
	totalWork       float64     // result of remainingWork, in seconds
	req             placement.Request

	windowRank
}

// nextObjective makes the job due for its next objective. Without one it is due after
// noObjectiveDueIn.
func (entry *queueEntry) nextObjective(now time.Time) {
	if len(entry.laterDue) == 0 {
		entry.due = now.Add(noObjectiveDueIn)
		return
	}
	entry.due, entry.laterDue = entry.laterDue[0], entry.laterDue[1:]
}

// openJobs returns the jobs that have unfinished tasks and may be scheduled, in the order of
// their acceptance.
func (m *Model) openJobs() []*Job {
	// Far more jobs pass through the model during a leadership than it holds at once, so the
	// indexes of removed jobs are dropped here.
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

// buildQueue returns the requests of the waiting jobs in the order in which they are served.
// Jobs that fail wherever they run come last. withinGuarantee holds the indexes of the jobs
// within their team's guaranteed quota. buildQueue updates the state of triage and of the
// starvation bound. Explain calls it too and is therefore only for models that no leader uses.
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

// newFaultyEntry returns the queue entry of a job that fails wherever it runs. The job gets free
// resources only: nothing is reserved, preempted or rented for it, and images of healthy jobs
// are fetched before its own.
func newFaultyEntry(j *Job, r placement.Request, now time.Time) *queueEntry {
	entry := &queueEntry{job: j, missed: true, req: r}
	entry.req.FreeCapacityOnly = true
	entry.nextObjective(now)
	return entry
}

// rankByObjectives determines the time by which a queued job must start, and whether resources
// are held for it.
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

// precedes reports whether the entry is served before another one. Triage and the starvation
// bound change this order afterwards.
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
