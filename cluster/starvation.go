package cluster

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// This file is the bound: whoever is put off, for whatever reason, begins
// within a time of its acceptance for which the fleet has room at all. Triage
// and the order of objectives put the same jobs off again and again: those that cost
// the most. The bound asks when a job must hold room to begin in time, and from
// then on it is served before the objectives of its priority. It stops nothing that
// could not be stopped anyhow.
//
// It rests on when a job was accepted, whether it has begun, and where tasks
// are, all of which a next leader reads or is told.

const (
	boundInterval = 2 * time.Second  // a verdict stands for so long
	boundMargin   = 10 * time.Second // by which a job should be early
	// largestMargin is the share of the bound by which the largest of a class
	// must begin earlier: what they wait for is the hardest to foresee.
	largestMargin = 0.1
	// largeArrayMargin is the share of the bound that an array's first task is early
	// by, where it has manyTasks: waiting for the last moment saves nothing.
	largeArrayMargin = 0.5
	largeArrayTasks  = 8
	// boundSlack and boundShare are how late a job may seem to be able to wait:
	// a time, and a share of how long its room takes to come free.
	boundSlack          = 10 * time.Second
	boundShare          = 0.25
	boundHoldSeconds    = 150       // seconds ahead that room is kept for a job that must begin
	maxMustStarts       = 100       // jobs are served by the bound in a pass
	maxSizes            = 200       // of a class's last jobs
	maxInfeasibleRounds = 50        // times a class is played again without the costliest
	largestFraction     = 10        // one in so many is among the largest of its class
	schedulingHorizon   = time.Hour // what is further away is not counted on
	// lastCall is how long before it must have its room a job goes before fresh
	// starts of higher priority; lastCallOf is of how many machines one may have
	// a place for such jobs.
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

// hasStarted says whether a task of the job has run. A task that is done may have
// run in an earlier leader's time.
func (j *Job) hasStarted() bool { return !j.FirstRunAt.IsZero() || j.DoneTasks > 0 }

// placesToStart is how many places the job needs to begin: a gang all at once, others
// one. 0: it has begun, or has its room already.
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

// isStartProtected says whether the job's only task must be left alone: it was begun by
// the bound, and a start that is stopped at once is none.
func (m *Model) isStartProtected(j *Job, now time.Time) bool {
	return m.StarvationBound > 0 && j.start.mustStart && !j.Gang() && j.PlacedTasks == 1 && (j.FirstRunAt.IsZero() || now.Sub(j.FirstRunAt) < startProtection)
}

// addSize takes in how many tasks a job of the class has.
func (c *classStats) addSize(tasks int) {
	if len(c.sizes) < maxSizes {
		c.sizes = append(c.sizes, tasks)
	} else {
		c.sizes[c.oldestSize] = tasks
		c.oldestSize = (c.oldestSize + 1) % maxSizes
	}
	c.largeFrom = 0
}

// isLarge says whether a job of so many tasks is among the largest of its class.
func (c *classStats) isLarge(tasks int) bool {
	if c.largeFrom == 0 {
		v := slices.Clone(c.sizes)
		slices.Sort(v)
		c.largeFrom = v[len(v)-max(1, len(v)/largestFraction)]
	}
	return tasks >= c.largeFrom
}

// isLargeJob says whether the job is one of the largest of its class.
func (m *Model) isLargeJob(j *Job) bool {
	c := m.classes[j.Spec.Class]
	return c != nil && c.isLarge(len(j.Tasks))
}

// checkStarvationBound marks the waiting jobs that must hold room now in order to begin in
// time. The verdicts stand for a while; a job that came since waits for the next.
func (m *Model) checkStarvationBound(out []*queued, now time.Time) {
	if m.StarvationBound <= 0 || now.Before(m.starvation.nextCheck) {
		return
	}
	m.starvation.nextCheck = now.Add(boundInterval)
	byClass := map[string][]*queued{}
	var names []string
	for _, k := range out {
		if k.j.placesToStart() == 0 {
			continue
		}
		c := k.j.Spec.Class
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

// latestStart is when a job must have its room to begin in time, since the image
// and the start come after that, and when it should have it.
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

// startForecast is what playing says of a job.
type startForecast struct {
	startBy, hardLimit time.Time
	servedFirst        time.Duration // until it has its room if it is served first
	servedInTurn       time.Duration // and after all that must begin before it
	infeasible         bool          // it can't be in time beside the others
}

// checkClassBound plays the jobs of a class that have not begun through, the first
// to be late first, as if nothing else were served from now on. Those that can
// be in time so, and not by much, must be served now, and with them all before
// them. Where one would be late, the job that takes the most so far is dropped,
// the largest of the class last: so that as few as possible are late.
func (m *Model) checkClassBound(jobs []*queued, now time.Time) {
	all := m.zonePlacesFor(jobs[0].j, now)
	out := make([]startForecast, len(jobs))
	order := make([]int, len(jobs))
	for i, k := range jobs {
		v := &out[i]
		at, _ := all.earliest(k.j, k.j.placesToStart())
		v.servedFirst = config.Seconds(min(at, 2*schedulingHorizon.Seconds()))
		v.startBy, v.hardLimit = m.latestStart(k.j)
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
		j, v := jobs[order[o]].j, out[order[o]]
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
			// Served first, it would make others late in its turn: it has twice
			// the time.
			j.start.mustStart = v.startBy.Add(m.StarvationBound).Sub(now)-v.servedFirst <= enough(v.servedFirst)
		}
		j.start.startBy, j.start.startDelay, j.start.infeasible, j.start.noCapacity = v.startBy, v.servedFirst, v.infeasible, v.servedFirst > schedulingHorizon
	}
}

// simulateStarts serves the jobs that are not dropped in their order, and says which
// is the first that can't be in time, or -1.
func (m *Model) simulateStarts(jobs []*queued, out []startForecast, order []int, r *zonePlaces, now time.Time) int {
	for _, i := range order {
		k, v := jobs[i], &out[i]
		if v.infeasible {
			v.servedInTurn = v.servedFirst
			continue
		}
		n := k.j.placesToStart()
		at, zone := r.earliest(k.j, n)
		v.servedInTurn = config.Seconds(min(at, 2*schedulingHorizon.Seconds()))
		if now.Add(v.servedInTurn).After(v.hardLimit) {
			return i
		}
		r.occupy(zone, n, at+k.runSeconds)
	}
	return -1
}

// costliestStart is the job whose beginning takes the most of those up to the late
// one, and is none of the largest of its class while there are others.
func (m *Model) costliestStart(jobs []*queued, out []startForecast, order []int, late int) int {
	best, most := late, -1.0
	for _, i := range order {
		if k := jobs[i]; !out[i].infeasible && !m.isLargeJob(k.j) {
			if cost := float64(k.j.placesToStart()) * k.runSeconds; cost > most {
				best, most = i, cost
			}
		}
		if i == late {
			break
		}
	}
	return best
}
