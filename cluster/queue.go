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

// queued is a job in the queue of a scheduling pass, with what determines its position. It
// lives for one pass; what outlasts the pass is kept in the job (triageVerdict, startState).
type queued struct {
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
func (k *queued) nextObjective(now time.Time) {
	if len(k.laterDue) == 0 {
		k.due = now.Add(noObjectiveDueIn)
		return
	}
	k.due, k.laterDue = k.laterDue[0], k.laterDue[1:]
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
func (m *Model) buildQueue(jobs []*Job, withinGuarantee map[int32]bool, now time.Time) []*queued {
	m.classes.countOpenTasks(jobs)
	var queue, faulty []*queued
	for _, j := range jobs {
		r, ok := m.buildRequest(j, now)
		if !ok {
			continue
		}
		if j.failures.atFault() {
			faulty = append(faulty, newFaultyEntry(j, r, now))
			continue
		}
		k := &queued{job: j, withinGuarantee: withinGuarantee[j.Index], req: r}
		m.rankByObjectives(k, now)
		queue = append(queue, k)
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
func newFaultyEntry(j *Job, r placement.Request, now time.Time) *queued {
	k := &queued{job: j, missed: true, req: r}
	k.req.FreeCapacityOnly = true
	k.nextObjective(now)
	return k
}

// rankByObjectives determines by when a queued job must start, and whether resources are held
// for it.
func (m *Model) rankByObjectives(k *queued, now time.Time) {
	j := k.job
	estimate := m.expectedRunTime(j)
	for _, t := range k.req.Tasks {
		k.runSeconds = max(k.runSeconds, remainingOf(estimate, &j.Tasks[t]))
	}
	deadlines := m.latestStarts(k, now)
	k.laterDue, k.missed = deadlines.latest, deadlines.allMissed()
	k.nextObjective(now)
	m.applyWindowDeadline(k)
	k.req.WithinGuarantee = k.withinGuarantee
	k.req.Hold = deadlines.waitIsNext() && m.hasCompetitors(j) || m.outranksCompetitors(j)
}

// precedes reports whether k is served before o, before triage and the starvation bound have
// changed the order.
func (k *queued) precedes(o *queued) bool {
	switch {
	case k.withinGuarantee != o.withinGuarantee:
		return k.withinGuarantee
	case k.job.priority != o.job.priority:
		return k.job.priority < o.job.priority
	case k.req.Tier != o.req.Tier:
		return k.req.Tier < o.req.Tier
	case k.inWindow || o.inWindow:
		return lessByWindow(k, o)
	case k.missed != o.missed:
		return o.missed
	}
	return k.due.Before(o.due)
}
