// Triage is deadline-aware admission. When not all waiting jobs can meet their objectives, triage
// decides which jobs are served for their objectives and which are postponed.

package cluster

import (
	"slices"
	"sort"
	"time"
)

const (
	maxTriageJobs  = 1000 // jobs of a class that are simulated
	maxTriageTasks = 128  // tasks of a job that are simulated one by one

	// The interval between two runs grows by triageIntervalPerTask for each waiting task, up to
	// maxTriageInterval, since the simulation takes longer the more tasks wait.
	triageIntervalPerTask = 500 * time.Microsecond
	maxTriageInterval     = 2 * time.Second
)

// triageState is the state of triage between runs. Only triage.go and triage_simulation.go write
// its fields.
type triageState struct {
	nextRun time.Time  // the verdicts of the last run hold until then
	buffer  placeTimes // reused by simulations
}

// triageVerdict is the result of the last run of triage for a job. It holds until the next run.
// The zero value belongs to a job that triage has not seen, which counts as in time. Only record
// writes it.
type triageVerdict struct {
	missed   bool      // the job can meet no objective together with the jobs that are served
	deferred bool      // triage gave up the job's first objective in favor of other jobs
	due      time.Time // latest start for the objective it is served for; zero if triage has not seen it
}

// record saves the verdict of a run from the job's queue entry.
func (v *triageVerdict) record(entry *queueEntry) {
	*v = triageVerdict{missed: entry.missed, deferred: entry.deferred, due: entry.due}
}

// applyTo applies the verdict to the job's queue entry in a later pass.
func (v *triageVerdict) applyTo(entry *queueEntry) {
	entry.missed, entry.deferred = entry.missed || v.missed, v.deferred
	if !v.due.IsZero() {
		entry.due = v.due
	}
}

// runTriage decides which jobs of the queue are served for their objectives (deadline, waiting
// time, completion) when not all of them can be met, and sorts the jobs of each rank accordingly.
//
// The jobs of a class are simulated in the order in which they would be served, on the places
// that are free or become free. Whenever a job would be late, the job with the most work up to it
// is removed, so that as many jobs as possible meet their objectives (the Moore-Hodgson
// algorithm). A removed job is served for a later objective if it can meet one without making
// others late. Otherwise it is served after all others, and the longest of these jobs come first.
func (m *Model) runTriage(queue []*queueEntry, now time.Time) {
	fresh := !now.Before(m.triage.nextRun)
	if fresh {
		tasks := 0
		for _, entry := range queue {
			tasks += len(entry.req.Tasks)
		}
		m.triage.nextRun = now.Add(min(time.Duration(tasks)*triageIntervalPerTask, maxTriageInterval))
	}
	for lo := 0; lo < len(queue); {
		hi := lo + 1
		for hi < len(queue) && queue[hi].sameRank(queue[lo]) && queue[hi].req.Tier == queue[lo].req.Tier {
			hi++
		}
		group := queue[lo:hi]
		lo = hi
		if fresh {
			m.triageGroup(group, now)
		} else {
			applyLastTriage(group)
		}
		sortTriaged(group)
	}
}

// applyLastTriage applies the last run's verdicts to the jobs of one rank. Jobs that have
// arrived since that run count as in time.
func applyLastTriage(group []*queueEntry) {
	for _, entry := range group {
		entry.job.triage.applyTo(entry)
	}
}

// triageGroup runs triage on the jobs of one rank, class by class, and records the verdicts.
func (m *Model) triageGroup(group []*queueEntry, now time.Time) {
	byClass := map[string][]*queueEntry{}
	for _, entry := range group {
		entry.totalWork = m.remainingWork(entry.job, now)
		if c := entry.job.Spec.Class; !entry.missed && len(byClass[c]) < maxTriageJobs {
			byClass[c] = append(byClass[c], entry)
		}
	}
	for _, jobs := range byClass { // any order: the classes are independent
		m.triageClass(jobs, now)
	}
	missed, missedTasks, tasks := 0, 0, 0
	for _, entry := range group {
		entry.job.triage.record(entry)
		tasks += len(entry.req.Tasks)
		if entry.missed {
			missed++
			missedTasks += len(entry.req.Tasks)
		}
	}
	m.log.Debug("triage", "priority", group[0].job.priority, "jobs", len(group), "tasks", tasks, "givenUp", missed, "tasksGivenUp", missedTasks)
}

// sortTriaged puts jobs of one rank in the order in which they are served.
func sortTriaged(group []*queueEntry) {
	sort.SliceStable(group, func(a, b int) bool {
		x, y := group[a], group[b]
		switch {
		case x.inWindow || y.inWindow:
			return lessByWindow(x, y)
		case x.missed != y.missed:
			return y.missed
		case x.deferred != y.deferred:
			return y.deferred
		case x.missed:
			// These jobs meet no objective. The longest ones start first, so that all
			// work is completed early.
			return x.runSeconds > y.runSeconds
		}
		return x.due.Before(y.due)
	})
}

// triageClass simulates the jobs of a class and marks those that can't meet their objectives.
// The places are counted for the resources and the zone of the first job, which represents all
// of them. No job is marked if there are no places.
func (m *Model) triageClass(jobs []*queueEntry, now time.Time) {
	places := placeTimes(m.placesFor(jobs[0].job, jobs[0].job.zone, now))
	if len(places) == 0 {
		return
	}
	slices.Sort(places) // a sorted list is a heap
	m.log.Debug("triage", "class", jobs[0].job.Spec.Class, "places", len(places), "first", places[0], "median", places[len(places)/2], "last", places[len(places)-1], "jobs", len(jobs))
	jobs = m.afterMustStart(jobs, places)
	s := m.newSimulation(places, now)
	inTime, removed := s.removeLate(jobs)
	s.tryLaterObjectives(inTime, removed)
}

// removeLate removes jobs until none of the others is late. For each late job it removes the job
// with the most work up to it. Jobs of batch windows are never removed.
func (s *simulation) removeLate(jobs []*queueEntry) (inTime, removed []*queueEntry) {
	for unchanged := 0; ; {
		late := s.run(jobs, unchanged)
		if late < 0 {
			return jobs, removed
		}
		largest := late
		for i := late; i >= 0; i-- {
			if !jobs[i].inWindow && jobs[i].totalWork >= jobs[largest].totalWork {
				largest = i
			}
		}
		removed = append(removed, jobs[largest])
		jobs = append(append([]*queueEntry(nil), jobs[:largest]...), jobs[largest+1:]...)
		unchanged = largest
	}
}

// tryLaterObjectives finds the earliest later objective that each removed job can meet without
// making any of the others late. Jobs with the least work come first.
func (s *simulation) tryLaterObjectives(inTime, removed []*queueEntry) {
	windowJobs := 0 // jobs of batch windows precede all others
	for windowJobs < len(inTime) && inTime[windowJobs].inWindow {
		windowJobs++
	}
	unchanged := len(inTime) // number of leading jobs that are as in the last run
	sort.SliceStable(removed, func(a, b int) bool { return removed[a].totalWork < removed[b].totalWork })
	for _, entry := range removed {
		entry.deferred, entry.missed = true, true
		for entry.missed && len(entry.laterDue) > 0 {
			entry.nextObjective(s.now)
			others := inTime[windowJobs:]
			at := windowJobs + sort.Search(len(others), func(i int) bool { return others[i].due.After(entry.due) })
			candidate := append(append(append([]*queueEntry(nil), inTime[:at]...), entry), inTime[at:]...)
			late := s.run(candidate, min(at, unchanged))
			unchanged = at
			if late < 0 {
				inTime, unchanged, entry.missed = candidate, len(candidate), false
			}
		}
	}
}

// afterMustStart occupies the places of the jobs that must start by the starvation bound, and
// returns the other jobs. Otherwise the same places would be counted for both.
func (m *Model) afterMustStart(jobs []*queueEntry, places placeTimes) []*queueEntry {
	if m.StarvationBound <= 0 {
		return jobs
	}
	var others []*queueEntry
	for _, entry := range jobs {
		needed := entry.job.placesToStart()
		if !entry.job.start.mustStart || needed == 0 {
			others = append(others, entry)
			continue
		}
		for range min(needed, maxTriageTasks) {
			places.occupyEarliest(entry.runSeconds + m.startupAndStragglersOf(entry.job).startDelaySeconds())
		}
	}
	return others
}

// remainingWork returns the expected run time, in seconds, of a job's unfinished tasks together.
func (m *Model) remainingWork(j *Job, now time.Time) float64 {
	seconds, estimate := 0.0, m.expectedRunTime(j)
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.Phase {
		case TaskIdle:
			seconds += remainingOf(estimate, t)
		case TaskPlaced:
			seconds += m.secondsLeft(j, int32(i), now)
		}
	}
	return seconds
}
