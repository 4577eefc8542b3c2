package cluster

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// This file decides which jobs the starvation bound applies to now. The bound lets every job
// start within Model.StarvationBound of its acceptance, provided that the cluster has the
// capacity. Triage and the ordering by objectives alone would postpone the most expensive
// jobs again and again. The bound estimates when a job must hold its resources in order to
// start in time; from then on the job precedes the objectives of its priority. It preempts
// nothing that could not be preempted otherwise.
//
// It depends only on when a job was accepted, whether it has started, and where tasks are,
// all of which a new leader loads or learns from heartbeats.

const (
	boundInterval = 2 * time.Second  // between two checks; verdicts stand until the next one
	boundMargin   = 10 * time.Second // by which a job should be early
	// largestMargin is the share of the bound by which the largest jobs of a class
	// should be earlier still, since their waits are the hardest to predict.
	largestMargin = 0.1
	// largeArrayMargin is the share of the bound by which the first task of an array of
	// at least largeArrayTasks tasks is early: delaying a single task saves nothing.
	largeArrayMargin = 0.5
	largeArrayTasks  = 8
	// boundSlack and boundShare make up the slack at which a job is served by the bound:
	// a constant, and a share of the predicted wait for its resources.
	boundSlack          = 10 * time.Second
	boundShare          = 0.25
	boundHoldSeconds    = 150       // how far ahead resources are held for a job that must start
	maxMustStarts       = 100       // jobs served by the bound in one pass
	maxSizes            = 200       // recent jobs of a class whose sizes are remembered
	maxInfeasibleRounds = 50        // simulations of a class from which the costliest job is dropped
	largestFraction     = 10        // one in so many jobs is among the largest of its class
	schedulingHorizon   = time.Hour // resources that become free later count as never free
	// lastCall is how long before the time by which it must hold its resources a job
	// precedes new starts of higher priority. One place in lastCallMachines machines may
	// be used for such jobs at a time.
	lastCall         = 20 * time.Second
	lastCallMachines = 10
	startProtection  = 30 * time.Second
)

// starvationBound limits how long any job waits for its first start
// (Model.StarvationBound is the limit; 0 switches all of this off). Only the
// starvation*.go files and completion_floor.go write its fields.
type starvationBound struct {
	nextCheck   time.Time      // verdicts of the last check stand until then
	nextExplain time.Time      // causes are not worked out before
	completed   map[string]int // completed jobs by floor group, each up to floorMemory
}

// startState is what the starvation bound's last check said of a job that has not
// started. Only the starvation*.go files and completion_floor.go write it.
type startState struct {
	mustStart  bool          // has to hold its places now in order to start in time
	infeasible bool          // can't start in time beside the others of its class
	startBy    time.Time     // when it should hold its places
	startDelay time.Duration // until it would hold them if it were served first
	noCapacity bool          // there are never as many places as it needs to start
	mustFinish bool          // by the completion floor: not to be put off any longer
	blockedBy  string        // why it can't start in time; "": it can
	loggedAt   time.Time     // when blockedBy was last logged
}

// hasStarted reports whether a task of the job has run. FirstRunAt does not suffice: a task
// may have run and completed under an earlier leader.
func (j *Job) hasStarted() bool { return !j.FirstRunAt.IsZero() || j.DoneTasks > 0 }

// placesToStart returns how many tasks must be placed for the job to start: all tasks of a
// gang, one of any other job, 0 if it has started or is placed already.
func (j *Job) placesToStart() int {
	switch {
	case j.hasStarted():
		return 0
	case j.Gang():
		return len(j.Tasks)
	case j.PlacedTasks > 0:
		return 0
	}
	return 1
}

// isStartProtected reports whether the job's only placed task must not be preempted yet
// because the bound started it: being preempted at once would not count as a start.
func (m *Model) isStartProtected(j *Job, now time.Time) bool {
	return m.StarvationBound > 0 && j.start.mustStart && !j.Gang() && j.PlacedTasks == 1 && (j.FirstRunAt.IsZero() || now.Sub(j.FirstRunAt) < startProtection)
}

// addSize records the number of tasks of a job of the class.
func (c *classStats) addSize(tasks int) {
	if len(c.sizes) < maxSizes {
		c.sizes = append(c.sizes, tasks)
	} else {
		c.sizes[c.oldestSize] = tasks
		c.oldestSize = (c.oldestSize + 1) % maxSizes
	}
	c.largeFrom = 0
}

// isLarge reports whether a job of so many tasks is among the largest of its class.
func (c *classStats) isLarge(tasks int) bool {
	if c.largeFrom == 0 {
		v := slices.Clone(c.sizes)
		slices.Sort(v)
		c.largeFrom = v[len(v)-max(1, len(v)/largestFraction)]
	}
	return tasks >= c.largeFrom
}

// isLargeJob reports whether the job is among the largest of its class.
func (m *Model) isLargeJob(j *Job) bool {
	c := m.classes[j.Spec.Class]
	return c != nil && c.isLarge(len(j.Tasks))
}

// checkStarvationBound marks the waiting jobs that must hold resources now in order to start
// in time. It runs every boundInterval; jobs that arrive in between wait for the next check.
func (m *Model) checkStarvationBound(out []*queued, now time.Time) {
	if m.StarvationBound <= 0 || now.Before(m.starvation.nextCheck) {
		return
	}
	m.starvation.nextCheck = now.Add(boundInterval)
	byClass := map[string][]*queued{}
	var names []string
	for _, k := range out {
		if k.job.placesToStart() == 0 {
			continue
		}
		c := k.job.Spec.Class
		if byClass[c] == nil {
			names = append(names, c)
		}
		byClass[c] = append(byClass[c], k)
	}
	for _, c := range names {
		m.checkClassBound(byClass[c], now)
	}
	m.enforceCompletionFloor(out, now)
	m.explainStarvation(now)
}

// latestStart returns when a job should, and when it must at the latest, hold its resources
// in order to start in time, allowing for the image fetch and the startup that follow.
func (m *Model) latestStart(j *Job) (should, must time.Time) {
	fetch := math.Inf(1)
	for i := range m.MachineTypes {
		if t := &m.MachineTypes[i]; j.AllowedTypes[i] && t.FetchRate > 0 {
			fetch = min(fetch, j.Spec.ImageGB/t.FetchRate)
		}
	}
	if math.IsInf(fetch, 1) {
		fetch = 0
	}
	must = j.AcceptedAt.Add(m.StarvationBound - config.Seconds(fetch+m.startupAndSpreadOf(j).startDelay()))
	should = must.Add(-boundMargin)
	if m.isLargeJob(j) {
		should = should.Add(-time.Duration(largestMargin * float64(m.StarvationBound)))
	}
	return should, must
}

// startForecast is the result of the simulation in checkClassBound for one job.
type startForecast struct {
	startBy, hardLimit time.Time
	servedFirst        time.Duration // until it holds its resources if it is served first
	servedInTurn       time.Duration // the same if it is served after the jobs that are due earlier
	infeasible         bool          // it can't start in time beside the others
}

// checkClassBound simulates serving the unstarted jobs of a class, earliest due first, as if
// nothing else were served from now on. Jobs that would be in time, but with little slack,
// must be served now, and with them all that are due earlier. Where a job would be late, the
// costliest job up to it is dropped from the simulation, the largest ones of the class only
// if there are no others, so that as few jobs as possible are late.
func (m *Model) checkClassBound(jobs []*queued, now time.Time) {
	all := m.zonePlacesFor(jobs[0].job, now)
	out := make([]startForecast, len(jobs))
	order := make([]int, len(jobs))
	for i, k := range jobs {
		v := &out[i]
		at, _ := all.earliest(k.job, k.job.placesToStart())
		v.servedFirst = config.Seconds(min(at, 2*schedulingHorizon.Seconds()))
		v.startBy, v.hardLimit = m.latestStart(k.job)
		v.infeasible = v.servedFirst > schedulingHorizon || now.Add(v.servedFirst).After(v.hardLimit)
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return out[order[a]].startBy.Before(out[order[b]].startBy) })
	for drops := 0; ; drops++ {
		late := m.simulateStarts(jobs, out, order, all.clone(), now)
		if late < 0 {
			break
		}
		if drops < maxInfeasibleRounds {
			late = m.costliestStart(jobs, out, order, late)
		}
		out[late].infeasible = true
	}
	least := time.Duration(math.MaxInt64)
	for o := len(order) - 1; o >= 0; o-- {
		j, v := jobs[order[o]].job, out[order[o]]
		enough := func(wait time.Duration) time.Duration { return boundSlack + time.Duration(boundShare*float64(wait)) }
		slack := v.startBy.Sub(now) - v.servedInTurn
		switch {
		case !j.Gang() && len(j.Tasks) >= largeArrayTasks:
			j.start.mustStart = slack <= time.Duration(largeArrayMargin*float64(m.StarvationBound))
		case !v.infeasible:
			least = min(least, slack)
			j.start.mustStart = least <= enough(v.servedInTurn)
		case v.servedFirst > schedulingHorizon:
			j.start.mustStart = v.startBy.Sub(now) <= lastCall
		default:
			// Serving it in time would make others late, so that it gets twice the
			// time.
			j.start.mustStart = v.startBy.Add(m.StarvationBound).Sub(now)-v.servedFirst <= enough(v.servedFirst)
		}
		j.start.startBy, j.start.startDelay, j.start.infeasible, j.start.noCapacity = v.startBy, v.servedFirst, v.infeasible, v.servedFirst > schedulingHorizon
	}
}

// simulateStarts serves the jobs that are not dropped in the given order, and returns the
// index of the first one that would be late, or -1.
func (m *Model) simulateStarts(jobs []*queued, out []startForecast, order []int, r *zonePlaces, now time.Time) int {
	for _, i := range order {
		k, v := jobs[i], &out[i]
		if v.infeasible {
			v.servedInTurn = v.servedFirst
			continue
		}
		n := k.job.placesToStart()
		at, zone := r.earliest(k.job, n)
		v.servedInTurn = config.Seconds(min(at, 2*schedulingHorizon.Seconds()))
		if now.Add(v.servedInTurn).After(v.hardLimit) {
			return i
		}
		r.occupy(zone, n, at+k.runSeconds)
	}
	return -1
}

// costliestStart returns the index of the job, among those up to the late one, that occupies
// the most resources for the longest time. The largest jobs of the class are excepted; if
// there are no others it is the late job itself.
func (m *Model) costliestStart(jobs []*queued, out []startForecast, order []int, late int) int {
	best, most := late, -1.0
	for _, i := range order {
		if k := jobs[i]; !out[i].infeasible && !m.isLargeJob(k.job) {
			if cost := float64(k.job.placesToStart()) * k.runSeconds; cost > most {
				best, most = i, cost
			}
		}
		if i == late {
			break
		}
	}
	return best
}
