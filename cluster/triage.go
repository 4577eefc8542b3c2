package cluster

import (
	"slices"
	"sort"
	"time"
)

const (
	triageJobs  = 1000 // jobs of a class that are simulated
	triageTasks = 128  // tasks of a job that are simulated one by one

	// triagePerTask is how long verdicts stand per waiting task, since the simulation takes
	// longer the more tasks wait. triageMaxInterval bounds the product.
	triagePerTask     = 500 * time.Microsecond
	triageMaxInterval = 2 * time.Second
)

// triageState is when triage runs next, and a buffer that it reuses. Only triage.go
// writes its fields.
type triageState struct {
	nextRun time.Time  // verdicts of the last run stand until then
	buffer  placeTimes // of the simulation
}

// triageVerdict is what the last run of triage said of a job. It stands until the next
// run; the zero value is a job that has not been judged and counts as in time.
type triageVerdict struct {
	missed   bool      // no objective can be met beside the jobs that are kept
	deferred bool      // removed from its first objective for the sake of others
	due      time.Time // latest start for the objective it is served for; zero: not judged
}

// runTriage is deadline-aware admission: it decides which jobs are served for their
// objectives (deadline, waiting time, completion) when not all of them can be met. It
// gives up, for now, on the objectives of the jobs that cost the most where
// there is more work than can be done in time. The jobs of a class are played
// through in the order they would be served, on the places that are free or
// will be; whenever one would come too late, the largest so far is put off, so
// that as many as possible meet their objectives (Moore and Hodgson's rule). Those
// put off are served for a later objective, if they can meet one beside the others,
// and else after them, those that take longest first.
func (m *Model) runTriage(out []*queued, now time.Time) {
	fresh := !now.Before(m.triage.nextRun)
	if fresh {
		tasks := 0
		for _, k := range out {
			tasks += len(k.req.Tasks)
		}
		m.triage.nextRun = now.Add(min(time.Duration(tasks)*triagePerTask, triageMaxInterval))
	}
	for lo := 0; lo < len(out); {
		hi := lo + 1
		for hi < len(out) && out[hi].sameRank(out[lo]) && out[hi].req.Tier == out[lo].req.Tier {
			hi++
		}
		group := out[lo:hi]
		lo = hi
		if fresh {
			m.triageGroup(group, now)
		} else {
			applyLastTriage(group)
		}
		sortTriaged(group)
	}
}

// applyLastTriage applies the last run's verdicts to the queue. Jobs that have arrived since
// count as in time.
func applyLastTriage(group []*queued) {
	for _, k := range group {
		k.missed, k.deferred = k.missed || k.job.triage.missed, k.job.triage.deferred
		if !k.job.triage.due.IsZero() {
			k.due = k.job.triage.due
		}
	}
}

// triageGroup judges the jobs of one rank, class by class, and keeps the verdicts.
func (m *Model) triageGroup(group []*queued, now time.Time) {
	byClass := map[string][]*queued{}
	for _, k := range group {
		k.totalWork = m.remainingWork(k.job, now)
		if c := k.job.Spec.Class; !k.missed && len(byClass[c]) < triageJobs {
			byClass[c] = append(byClass[c], k)
		}
	}
	for _, jobs := range byClass { // the classes' results don't depend on one another
		m.triageClass(jobs, now)
	}
	missed, missedTasks, tasks := 0, 0, 0
	for _, k := range group {
		k.job.triage = triageVerdict{missed: k.missed, deferred: k.deferred, due: k.due}
		tasks += len(k.req.Tasks)
		if k.missed {
			missed++
			missedTasks += len(k.req.Tasks)
		}
	}
	m.log.Debug("triage", "priority", group[0].job.Priority, "jobs", len(group), "tasks", tasks, "givenUp", missed, "tasksGivenUp", missedTasks)
}

// sortTriaged puts jobs of one rank in the order in which they are served.
func sortTriaged(group []*queued) {
	sort.SliceStable(group, func(a, b int) bool {
		x, y := group[a], group[b]
		switch {
		case x.inWindow || y.inWindow:
			return compareByWindow(x, y)
		case x.missed != y.missed:
			return y.missed
		case x.deferred != y.deferred:
			return y.deferred
		case x.missed:
			// No objective is left but to have all work done soon: what takes
			// longest must not be what begins last.
			return x.runSeconds > y.runSeconds
		}
		return x.due.Before(y.due)
	})
}

// triageClass plays a class's jobs through, and then looks for each of those
// put off, the smallest first, whether it can meet a later objective without making
// any of the others late.
func (m *Model) triageClass(jobs []*queued, now time.Time) {
	places := placeTimes(m.placesFor(jobs[0].job, jobs[0].job.Zone, now))
	if len(places) == 0 {
		return
	}
	slices.Sort(places) // a sorted list is a heap
	m.log.Debug("triage", "class", jobs[0].job.Spec.Class, "places", len(places), "first", places[0], "median", places[len(places)/2], "last", places[len(places)-1], "jobs", len(jobs))
	jobs = m.afterMustStart(jobs, places)
	var off []*queued
	p := m.newSimulation(places, now)
	for same := 0; ; {
		late := p.run(jobs, same)
		if late < 0 {
			break
		}
		worst := late
		for k := late; k >= 0; k-- {
			if !jobs[k].inWindow && jobs[k].totalWork >= jobs[worst].totalWork {
				worst = k
			}
		}
		off = append(off, jobs[worst])
		jobs = append(append([]*queued(nil), jobs[:worst]...), jobs[worst+1:]...)
		same = worst
	}
	nights := 0 // they come first, whatever is due
	for nights < len(jobs) && jobs[nights].inWindow {
		nights++
	}
	whole := len(jobs) // how many at the beginning are as last played
	sort.SliceStable(off, func(a, b int) bool { return off[a].totalWork < off[b].totalWork })
	for _, r := range off {
		r.deferred = true
		for r.missed = true; r.missed && len(r.laterDue) > 0; {
			r.nextObjective(now)
			at := nights + sort.Search(len(jobs)-nights, func(k int) bool { return jobs[nights+k].due.After(r.due) })
			with := append(append(append([]*queued(nil), jobs[:at]...), r), jobs[at:]...)
			late := p.run(with, min(at, whole))
			whole = at
			if late < 0 {
				jobs, r.missed, whole = with, false, len(with)
			}
		}
	}
}

// afterMustStart serves the jobs that must start by the starvation bound first in the
// simulation, on the given places, and returns the others, which get what is left. Without
// that the same places would be counted for both.
func (m *Model) afterMustStart(jobs []*queued, places placeTimes) []*queued {
	if m.StarvationBound <= 0 {
		return jobs
	}
	var out []*queued
	for _, k := range jobs {
		n := k.job.placesToStart()
		if !k.job.start.mustStart || n == 0 {
			out = append(out, k)
			continue
		}
		for range min(n, triageTasks) {
			places.occupyEarliest(k.runSeconds + m.startupAndSpreadOf(k.job).startDelay())
		}
	}
	return out
}

// remainingWork is how many seconds what is left of a job would take on a single place.
func (m *Model) remainingWork(j *Job, now time.Time) float64 {
	sum, est := 0.0, m.expectedRunTime(j)
	for i := range j.Tasks {
		switch t := &j.Tasks[i]; t.Phase {
		case TaskIdle:
			sum += remainingOf(est, t)
		case TaskPlaced:
			sum += m.secondsLeft(j, int32(i), now)
		}
	}
	return sum
}
