package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

// This file makes the forecasts of open batch windows: it estimates the work that is left
// in each and the places there are for it. From both, package calendar computes when each
// will be finished.

const (
	forecastInterval   = 10 * time.Second // between two rounds of forecasts
	reforecastInterval = 30 * time.Second // least time between two that are recorded because jobs were added
	maxTaskShapes      = 24               // kinds of tasks whose places are counted
	takeoverHeartbeats = 3                // heartbeat intervals until a new leader knows its machines
	maxBlockedShown    = 3                // blocked jobs of a batch window that a forecast names
)

// forecastBasis is what a recorded forecast of a batch window was based on.
type forecastBasis struct {
	machines, jobs int
	madeAt         time.Time
}

// windowKey identifies a batch window.
type windowKey struct {
	schedule *windowSchedule
	date     string
}

// forecastWindows makes the forecasts of all open batch windows together, since they share
// places.
func (m *Model) forecastWindows(jobs []*Job, now time.Time) {
	windows := &m.windows
	machinesKnownAfter := config.Seconds(takeoverHeartbeats * m.settings.Cluster.Workers.HeartbeatS)
	if now.Sub(windows.lastForecast) < forecastInterval || now.Sub(m.ElectedAt) < machinesKnownAfter || m.recoveringFromStall(now) {
		return
	}
	windows.lastForecast = now
	var keys []windowKey
	var loads []calendar.Load
	loadIndex := map[windowKey]int{}
	for _, schedule := range windows.schedules {
		for _, window := range schedule.OpenWindows() {
			key := windowKey{schedule, window.Date}
			loadIndex[key] = len(loads)
			keys, loads = append(keys, key), append(loads, calendar.Load{Deadline: window.Deadline})
		}
	}
	if len(loads) == 0 {
		return
	}
	referenceJob, free := m.estimateWindowLoads(jobs, loads, loadIndex, now)
	machines := 0
	for _, mc := range m.Machines {
		if m.Ready(mc, now) {
			machines++
		}
	}
	note := m.planWindowProvision(loads, referenceJob, free, now)
	for i, forecast := range calendar.ForecastLoads(now, loads, free) {
		schedule, date := keys[i].schedule, keys[i].date
		if forecast.AtRisk {
			forecast.Reason += note
		}
		cause := schedule.forecastCause(date, machines, now)
		schedule.updateForecastBasis(date, cause, machines, now)
		schedule.RecordForecast(date, forecast, cause, machines, now)
	}
	for _, schedule := range windows.schedules {
		schedule.reforecastCause = ""
	}
}

// forecastCause says what has changed since the last recorded forecast of a batch window;
// "" if nothing has, so that no new one is recorded.
func (s *windowSchedule) forecastCause(date string, machines int, now time.Time) string {
	last, recorded := s.forecastBases[date]
	jobs, open := s.JobCounts(date)
	switch {
	case s.reforecastCause != "":
		return s.reforecastCause
	case !recorded:
		return "the night began"
	case open == 0: // machines make no difference any more
	case machines < last.machines:
		return fmt.Sprintf("machines lost: %d of %d are left", machines, last.machines)
	case jobs > last.jobs && now.Sub(last.madeAt) >= reforecastInterval:
		return fmt.Sprintf("more came: %d jobs, and were %d", jobs, last.jobs)
	}
	return ""
}

// updateForecastBasis keeps what a forecast of a batch window is based on if it is recorded for
// a cause. If it is not (the cause is ""), only machines that were added are taken over, so that
// their loss is noticed.
func (s *windowSchedule) updateForecastBasis(date, cause string, machines int, now time.Time) {
	basis := s.forecastBases[date]
	switch {
	case cause != "":
		jobs, _ := s.JobCounts(date)
		s.forecastBases[date] = forecastBasis{machines: machines, jobs: jobs, madeAt: now}
	case machines > basis.machines:
		basis.machines = machines
		s.forecastBases[date] = basis
	}
}

// taskShape is what the number of places for a task depends on.
type taskShape struct {
	need         placement.Resources
	allowedTypes string
	zone         int
	spot         bool
}

// jobBatch is the batch of a job's idle tasks, with the index of the load it belongs to.
type jobBatch struct {
	load  int
	job   *Job
	batch calendar.Batch
}

// loadEstimate collects what is left of the open batch windows, job by job.
type loadEstimate struct {
	model       *Model
	now         time.Time
	loads       []calendar.Load
	batches     []jobBatch
	largestJob  *Job    // with most work waiting; nil if nothing waits
	largestWork float64 // CPU seconds
	blocked     map[int][]string
	places      map[taskShape]float64 // with all machines empty
}

// estimateWindowLoads fills in what is left of the batch windows, and lists when each place
// is free. A place has room for one task of the returned job, which has most work waiting;
// nil if nothing waits.
func (m *Model) estimateWindowLoads(jobs []*Job, loads []calendar.Load, loadIndex map[windowKey]int, now time.Time) (*Job, []float64) {
	estimate := &loadEstimate{model: m, now: now, loads: loads, blocked: map[int][]string{}, places: map[taskShape]float64{}}
	for _, j := range jobs {
		if load, open := loadIndex[windowKey{j.window.schedule, j.window.window.Date}]; open {
			estimate.addJob(load, j)
		}
	}
	if estimate.largestJob == nil {
		return nil, nil
	}
	estimate.fillLoads()
	return estimate.largestJob, m.placesFor(estimate.largestJob, -1, now)
}

// addJob adds a job's idle tasks as a batch, and extends the load's running time by its
// placed ones.
func (e *loadEstimate) addJob(load int, j *Job) {
	seconds, idle := e.remainingWork(load, j)
	if idle == 0 {
		return
	}
	if reason := e.blockedReason(j); reason != "" {
		e.blocked[load] = append(e.blocked[load], reason)
	}
	startup := e.model.startupAndStragglersOf(j)
	batch := calendar.Batch{Tasks: idle, Seconds: seconds/float64(idle) + startup.startDelaySeconds(), PlacesPerTask: 1,
		Blocked: j.quarantined || j.failures.atFault()}
	if j.Gang() {
		batch.Tasks, batch.PlacesPerTask = 1, float64(idle)
	}
	e.batches = append(e.batches, jobBatch{load, j, batch})
	if work := seconds * j.Need.CPU; e.largestJob == nil || work > e.largestWork {
		e.largestJob, e.largestWork = j, work
	}
}

// remainingWork returns the expected seconds of a job's idle tasks together, and their
// number. The load runs on at least until the last of the job's placed tasks ends.
func (e *loadEstimate) remainingWork(load int, j *Job) (seconds float64, idle int) {
	runTime := e.model.expectedRunTime(j)
	for t := range j.Tasks {
		switch j.Tasks[t].Phase {
		case TaskIdle:
			seconds += remainingOf(runTime, &j.Tasks[t])
			idle++
		case TaskPlaced:
			e.loads[load].RunningSeconds = max(e.loads[load].RunningSeconds, e.model.secondsLeft(j, int32(t), e.now))
		}
	}
	return seconds, idle
}

// blockedReason says why a job can't proceed whatever is free; "" if it can.
func (e *loadEstimate) blockedReason(j *Job) string {
	places := e.placesWhenEmpty(j)
	switch {
	case j.quarantined:
		return j.ID + ": its placements can't be read"
	case j.failures.atFault():
		return j.ID + " fails on every machine"
	case places < 1 && len(e.places) < maxTaskShapes:
		return j.ID + ": no machine that is up can take it"
	}
	return ""
}

// placesWhenEmpty is Model.placesWhenEmpty, computed once for each of the first
// maxTaskShapes kinds of tasks, since it looks at all machines; 0 for further kinds.
func (e *loadEstimate) placesWhenEmpty(j *Job) float64 {
	shape := taskShape{j.Need, fmt.Sprint(j.allowedTypes), j.zone, j.Spec.Spot}
	places, counted := e.places[shape]
	if !counted && len(e.places) < maxTaskShapes {
		places = e.model.placesWhenEmpty(j, e.now)
		e.places[shape] = places
	}
	return places
}

// fillLoads writes the batches and the blocked jobs to their loads. Batches are scaled to
// places of the largest job's tasks.
func (e *loadEstimate) fillLoads() {
	referencePlaces := e.placesWhenEmpty(e.largestJob)
	for _, b := range e.batches {
		if places := e.placesWhenEmpty(b.job); places >= 1 && referencePlaces >= 1 {
			b.batch.PlacesPerTask *= referencePlaces / places
		}
		e.loads[b.load].Batches = append(e.loads[b.load].Batches, b.batch)
	}
	for load, reasons := range e.blocked {
		e.loads[load].BlockedReason = strings.Join(reasons[:min(maxBlockedShown, len(reasons))], "; ")
		if more := len(reasons) - maxBlockedShown; more > 0 {
			e.loads[load].BlockedReason += fmt.Sprintf("; and %d more", more)
		}
	}
}

// placesWhenEmpty is how many tasks like a job's the machines could take that are up
// or will be, if they had nothing else to do.
func (m *Model) placesWhenEmpty(j *Job, now time.Time) float64 {
	return float64(m.placesOnMachines(j, now, func(mc *Machine) bool { return m.Ready(mc, now) }))
}

// placesOnMachines is how many tasks like a job's the machines could take if they were
// empty: those that are booting, and those that counts accepts.
func (m *Model) placesOnMachines(j *Job, now time.Time, counts func(*Machine) bool) int {
	places := 0
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) {
			continue
		}
		if _, boots := m.estimateBootTimeLeft(mc, now); boots || counts(mc) {
			places += tasksThatFit(j.Need, m.MachineTypes[mc.typeIndex].Capacity)
		}
	}
	return places
}
