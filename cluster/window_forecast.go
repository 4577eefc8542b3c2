// Forecasts the completion of open batch windows. It estimates the remaining work of each batch
// window and the places for it. Package calendar computes from both when each will complete.

package cluster

import (
	"fmt"
	"strings"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/placement"
)

const (
	forecastInterval   = 10 * time.Second // time between two rounds of forecasts
	reforecastInterval = 30 * time.Second // minimum time between two forecasts recorded because jobs were added
	maxTaskShapes      = 24               // maximum of task shapes whose places are counted
	takeoverHeartbeats = 3                // heartbeat intervals until a new leader knows its machines
	maxBlockedShown    = 3                // maximum of blocked jobs that a forecast names
)

// forecastBasis holds the inputs of a recorded forecast of a batch window.
type forecastBasis struct {
	machines, jobs int // numbers of ready machines and of the batch window's jobs
	madeAt         time.Time
}

// windowKey identifies a batch window.
type windowKey struct {
	schedule *windowSchedule
	date     string
}

// forecastWindows makes the forecasts of all open batch windows together, since the windows share
// places. It does so every forecastInterval, but not while the leader may not know its machines yet.
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

// forecastCause returns what has changed since the last recorded forecast of a batch window. It
// returns "" if nothing has changed, so that no new forecast is recorded.
func (s *windowSchedule) forecastCause(date string, machines int, now time.Time) string {
	last, recorded := s.forecastBases[date]
	jobs, open := s.JobCounts(date)
	switch {
	case s.reforecastCause != "":
		return s.reforecastCause
	case !recorded:
		return "the night began"
	case open == 0: // no open jobs that machines could serve
	case machines < last.machines:
		return fmt.Sprintf("machines lost: %d of %d are left", machines, last.machines)
	case jobs > last.jobs && now.Sub(last.madeAt) >= reforecastInterval:
		return fmt.Sprintf("more came: %d jobs, and were %d", jobs, last.jobs)
	}
	return ""
}

// updateForecastBasis stores the inputs of a forecast that is recorded for a cause. If the cause is
// "", the forecast is not recorded, and only a higher number of machines is stored, so that the
// loss of added machines is noticed.
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

// taskShape holds the properties of a task that determine the number of places for it.
type taskShape struct {
	need         placement.Resources
	allowedTypes string
	zone         int
	spot         bool
}

// jobBatch is the batch of a job's idle tasks.
type jobBatch struct {
	load  int // index of the load that the batch belongs to
	job   *Job
	batch calendar.Batch
}

// loadEstimate collects the remaining work of the open batch windows, job by job.
type loadEstimate struct {
	model       *Model
	now         time.Time
	loads       []calendar.Load
	batches     []jobBatch
	largestJob  *Job                  // job with the most waiting work; nil if no task waits
	largestWork float64               // its waiting work, in CPU seconds
	blocked     map[int][]string      // reasons why jobs are blocked, by the index of their load
	places      map[taskShape]float64 // number of places if all machines were empty
}

// estimateWindowLoads fills in the remaining work of the batch windows. It returns the job with the
// most waiting work and, for each place for one of its tasks, the seconds until the place is free.
// Both results are nil if no task waits.
func (m *Model) estimateWindowLoads(jobs []*Job, loads []calendar.Load, loadIndex map[windowKey]int, now time.Time) (referenceJob *Job, freeAfterSeconds []float64) {
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

// addJob adds a job's idle tasks to a load as a batch, and extends the load's running time to the
// end of the job's placed tasks.
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

// remainingWork returns the expected run time of a job's idle tasks together, and their number. It
// extends the load's running time to the end of the job's placed tasks.
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

// blockedReason returns why a job can't proceed even if all machines are free. It returns "" if the
// job can.
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

// placesWhenEmpty returns the cached result of Model.placesWhenEmpty for a job's task shape, since
// computing it visits all machines. It returns 0 for shapes after the first maxTaskShapes.
func (e *loadEstimate) placesWhenEmpty(j *Job) float64 {
	shape := taskShape{j.Need, fmt.Sprint(j.allowedTypes), j.zone, j.Spec.Spot}
	places, counted := e.places[shape]
	if !counted && len(e.places) < maxTaskShapes {
		places = e.model.placesWhenEmpty(j, e.now)
		e.places[shape] = places
	}
	return places
}

// fillLoads adds the batches and the blocked jobs to their loads. The places of each batch are
// converted to places for tasks of the largest job.
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

// placesWhenEmpty returns how many of a job's tasks the ready and booting machines could take if
// they were empty.
func (m *Model) placesWhenEmpty(j *Job, now time.Time) float64 {
	return float64(m.placesOnMachines(j, now, func(mc *Machine) bool { return m.Ready(mc, now) }))
}

// placesOnMachines returns how many of a job's tasks the machines could take if they were empty. It
// counts the booting machines and those for which include returns true.
func (m *Model) placesOnMachines(j *Job, now time.Time, include func(*Machine) bool) int {
	places := 0
	for _, mc := range m.Machines {
		if !j.mayUse(mc) || !j.allowsZone(mc.Zone) {
			continue
		}
		if _, boots := m.estimateBootTimeLeft(mc, now); boots || include(mc) {
			places += tasksThatFit(j.Need, m.MachineTypes[mc.typeIndex].Capacity)
		}
	}
	return places
}
