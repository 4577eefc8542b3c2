// Simulates the starts of a class's jobs. The starvation bound decides by this simulation which
// jobs must start now.

package cluster

import (
	"math"
	"sort"
	"time"

	"github.com/umberdeal/umberdeal/config"
)

// maxStartDelay bounds forecasts of when a job can start. It exceeds schedulingHorizon, so that
// a job for which there are never enough places is told apart from a job that waits for them.
const maxStartDelay = 2 * schedulingHorizon

// startForecast is the result of a check of the bound for one job.
type startForecast struct {
	startBy, hardLimit time.Time     // times by which the job should and must hold its resources
	delayServedFirst   time.Duration // time until the job holds its resources if it is served first
	delayServedInTurn  time.Duration // the same if it is served after the jobs that are due earlier
	infeasible         bool          // the job can't start in time together with the others
}

// hasNoCapacity reports whether the job's places are not expected within schedulingHorizon.
func (f *startForecast) hasNoCapacity() bool { return f.delayServedFirst > schedulingHorizon }

// boundCheck is a check of the bound for the unstarted jobs of one class. It simulates serving
// them, earliest due first, as if nothing else were served from now on. A job that would start in
// time, but with little slack, must be served now, together with all jobs that are due earlier.
// If a job would be late, the simulation drops the costliest job up to it. The largest jobs of the
// class are dropped only if there are no others. This keeps the number of late jobs low.
type boundCheck struct {
	model     *Model
	now       time.Time
	jobs      []*queueEntry
	forecasts []startForecast // of each job
	order     []int           // indexes of the jobs, earliest due first
}

// checkClassBound checks the bound for the unstarted jobs of one class. The places are counted
// for the resources and the zone constraint of the first job, which represents all of them.
func (m *Model) checkClassBound(jobs []*queueEntry, now time.Time) {
	places := m.zonePlacesFor(jobs[0].job, now)
	c := &boundCheck{model: m, now: now, jobs: jobs, forecasts: make([]startForecast, len(jobs)), order: make([]int, len(jobs))}
	c.forecastAlone(places)
	c.dropLate(places)
	c.decide()
}

// forecastAlone forecasts each job's start as if it were served before all others, and sorts
// the jobs by their due times.
func (c *boundCheck) forecastAlone(places *zonePlaces) {
	for i, entry := range c.jobs {
		f := &c.forecasts[i]
		at, _ := places.earliest(entry.job, entry.job.placesToStart())
		f.delayServedFirst = startDelayOf(at)
		f.startBy, f.hardLimit = c.model.latestStart(entry.job)
		f.infeasible = f.hasNoCapacity() || c.now.Add(f.delayServedFirst).After(f.hardLimit)
		c.order[i] = i
	}
	sort.SliceStable(c.order, func(a, b int) bool {
		return c.forecasts[c.order[a]].startBy.Before(c.forecasts[c.order[b]].startBy)
	})
}

// startDelayOf converts a forecast in seconds, which may be infinite, to a duration of at most
// maxStartDelay.
func startDelayOf(seconds float64) time.Duration {
	return config.Seconds(min(seconds, maxStartDelay.Seconds()))
}

// dropLate marks jobs as infeasible until none of the other jobs is late. After
// maxCostliestDropRounds simulations it drops the late jobs themselves, which takes fewer rounds.
func (c *boundCheck) dropLate(places *zonePlaces) {
	for drops := 0; ; drops++ {
		dropped := c.simulate(places.clone())
		if dropped < 0 {
			return
		}
		if drops < maxCostliestDropRounds {
			dropped = c.costliestUpTo(dropped)
		}
		c.forecasts[dropped].infeasible = true
	}
}

// simulate serves the jobs that are not dropped, earliest due first. It returns the index of the
// first job that would be late, or -1 if there is none. It modifies places.
func (c *boundCheck) simulate(places *zonePlaces) int {
	for _, i := range c.order {
		entry, f := c.jobs[i], &c.forecasts[i]
		if f.infeasible {
			f.delayServedInTurn = f.delayServedFirst
			continue
		}
		n := entry.job.placesToStart()
		at, zone := places.earliest(entry.job, n)
		f.delayServedInTurn = startDelayOf(at)
		if c.now.Add(f.delayServedInTurn).After(f.hardLimit) {
			return i
		}
		places.occupy(zone, n, at+entry.runSeconds)
	}
	return -1
}

// costliestUpTo returns the index of the job up to the late one with the highest product of places and
// run time. The largest jobs of the class don't count. If there are no others, costliestUpTo
// returns the late job itself.
func (c *boundCheck) costliestUpTo(late int) int {
	costliest, most := late, -1.0
	for _, i := range c.order {
		if entry := c.jobs[i]; !c.forecasts[i].infeasible && !c.model.isLargeJob(entry.job) {
			if cost := float64(entry.job.placesToStart()) * entry.runSeconds; cost > most {
				costliest, most = i, cost
			}
		}
		if i == late {
			break
		}
	}
	return costliest
}

// decide records which jobs must start now. It goes from the job that is due last to the first,
// since a job with little slack makes all jobs that are due earlier be served now.
func (c *boundCheck) decide() {
	bound := c.model.StarvationBound
	leastSlack := time.Duration(math.MaxInt64)
	for o := len(c.order) - 1; o >= 0; o-- {
		j, f := c.jobs[c.order[o]].job, &c.forecasts[c.order[o]]
		slack := f.startBy.Sub(c.now) - f.delayServedInTurn
		var mustStart bool
		switch {
		case !j.Gang() && len(j.Tasks) >= minLargeArrayTasks:
			mustStart = slack <= time.Duration(largeArrayMarginShare*float64(bound))
		case !f.infeasible:
			leastSlack = min(leastSlack, slack)
			mustStart = leastSlack <= sufficientSlack(f.delayServedInTurn)
		case f.hasNoCapacity():
			mustStart = f.startBy.Sub(c.now) <= escalationLead
		default:
			// Serving the job in time would make others late, so it gets twice the time.
			mustStart = f.startBy.Add(bound).Sub(c.now)-f.delayServedFirst <= sufficientSlack(f.delayServedFirst)
		}
		j.start.decide(f, mustStart)
	}
}

// sufficientSlack returns the slack above which a job is not served by the bound yet, given the
// predicted wait for its resources.
func sufficientSlack(wait time.Duration) time.Duration {
	return minStartSlack + time.Duration(startSlackShare*float64(wait))
}
