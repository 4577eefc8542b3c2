// Tracks the batch windows of the plan's calendar: which jobs belong to them, in which order they
// are served, and whether their deadlines were met. Package calendar holds the rules
// (docs/calendar.md). window_forecast.go makes forecasts, and window_provision.go scales out ahead
// of deadlines.

package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

const (
	windowScanInterval    = time.Second     // time between two scans of the open jobs
	windowSaveInterval    = 2 * time.Second // minimum time between two records of a region
	windowSaveMaxInterval = time.Minute     // maximum time between them while a batch window is open
	submissionDelay       = 2 * time.Second // maximum time from a job's acceptance until the leader knows it
)

// batchWindows is the leader's state of the calendar's batch windows. Only batch_window.go,
// window_forecast.go and window_provision.go write its fields. It has these invariants:
//
//   - calendar is nil if and only if schedules is empty.
//   - schedules[i] is the schedule of calendar.Regions[i].
//   - A job's cached window is valid only if its calendarGeneration is the current one.
type batchWindows struct {
	calendar           *calendar.Calendar
	schedules          []*windowSchedule // by region, in the calendar's order
	calendarGeneration int               // number of calendars loaded so far
	now                time.Time         // time of the last Tick or SetCompletionTime
	lastScan           time.Time
	lastForecast       time.Time
	provision          windowProvision
}

// windowSchedule is the schedule of a region's batch windows, with the inputs of its recorded
// forecasts.
type windowSchedule struct {
	*calendar.Schedule
	region          *calendar.Region
	forecastBases   map[string]forecastBasis   // by the date of the batch window
	openJobs        map[string]calendar.Window // unfinished jobs of the last scan, by id
	reforecastCause string                     // why all forecasts must be recorded anew; "" if none must be
	savedGeneration uint64                     // generation of the schedule when last recorded
	savedAt         time.Time
	outcomeUnsaved  bool // a batch window has been closed since the last record
}

// jobWindow caches the batch window of a job under one calendar.
type jobWindow struct {
	calendarGeneration int
	schedule           *windowSchedule // nil if the job belongs to no batch window
	window             calendar.Window
}

// setWindow caches the batch window that the job belongs to.
func (j *Job) setWindow(window jobWindow) { j.window = window }

// setCompletionTime sets the time that the job's final record has as its end.
func (j *Job) setCompletionTime(at time.Time) { j.completedAtMs = at.UnixMilli() }

// windowRank determines the position of a job by the calendar.
type windowRank struct {
	inWindow bool      // the job belongs to a batch window
	deadline time.Time // the earlier of the batch window's deadline and the job's own
}

// reloadCalendar applies the plan's calendar. Schedules of known regions are moved to the new
// openings. Schedules of other regions continue from the records of an earlier leader.
func (m *Model) reloadCalendar(now time.Time) {
	windows := &m.windows
	windows.calendarGeneration++
	previous := windows.schedules
	windows.calendar, windows.schedules = nil, nil
	if m.plan.Plan == nil || len(m.plan.Calendar.Regions) == 0 {
		return
	}
	loaded, err := calendar.New(&m.plan.Calendar)
	if err != nil {
		m.log.Error("invalid calendar in plan, batch windows disabled", "err", err)
		return
	}
	windows.calendar = loaded
	for _, region := range loaded.Regions {
		var schedule *windowSchedule
		cause := "the plan changed"
		if i := slices.IndexFunc(previous, func(s *windowSchedule) bool { return s.region.Name == region.Name }); i >= 0 {
			schedule = previous[i]
		} else {
			schedule, cause = m.loadWindowSchedule(region.Name), "another leader leads"
		}
		if schedule.HasOpenWindows() {
			schedule.reforecastCause = cause
		}
		schedule.region = region
		schedule.forecastBases, schedule.openJobs = map[string]forecastBasis{}, map[string]calendar.Window{}
		schedule.Reschedule(region, now)
		windows.schedules = append(windows.schedules, schedule)
	}
	windows.lastScan, windows.lastForecast = time.Time{}, time.Time{}
}

// loadWindowSchedule returns a region's schedule, built from the record of earlier leaders. An
// unreadable record must not stop the region: its batch windows are counted anew from the
// open jobs.
func (m *Model) loadWindowSchedule(region string) *windowSchedule {
	var record calendar.Record
	if raw, ok := m.loadedPlanRecord(calendar.RecordName(region)); ok {
		if err := wire.Unmarshal(raw, &record); err != nil {
			m.log.Error("unreadable batch window record, counting anew", "region", region, "err", err)
			record = calendar.Record{}
		}
	}
	settleDelay := time.Duration(m.settings.Cluster.SkewMs*float64(time.Millisecond)) + submissionDelay
	return &windowSchedule{Schedule: calendar.NewSchedule(region, record, m.FencingToken, settleDelay)}
}

// calendarAttributes returns the properties of a job by which the calendar matches it.
func calendarAttributes(job *wire.Job) calendar.JobAttributes {
	return calendar.JobAttributes{Class: job.Class, Team: job.Team, Zone: job.Zone, Image: job.Image}
}

// windowOf returns the batch window that a job belongs to, and its schedule. The schedule is nil if
// there is none. The result depends only on the job's record and the plan, so every leader gets the
// same one.
func (m *Model) windowOf(j *Job) (*windowSchedule, calendar.Window) {
	windows := &m.windows
	if windows.calendar == nil || j.Spec.Kind == wire.KindService {
		return nil, calendar.Window{} // a service never completes
	}
	if j.window.calendarGeneration != windows.calendarGeneration {
		found := jobWindow{calendarGeneration: windows.calendarGeneration}
		if region, window, ok := windows.calendar.WindowFor(j.AcceptedAt, calendarAttributes(&j.Spec)); ok {
			found.schedule, found.window = windows.schedules[slices.Index(windows.calendar.Regions, region)], window
		}
		j.setWindow(found)
	}
	return j.window.schedule, j.window.window
}

// applyWindowDeadline makes a batch window's job due in time for the earlier of its own deadline
// and the batch window's. It does nothing for other jobs.
func (m *Model) applyWindowDeadline(entry *queueEntry) {
	schedule, window := m.windowOf(entry.job)
	if schedule == nil {
		return
	}
	entry.inWindow, entry.deadline = true, window.Deadline
	if seconds := entry.job.Spec.DeadlineS; seconds != nil {
		if own := entry.job.AcceptedAt.Add(config.Seconds(*seconds)); own.Before(entry.deadline) {
			entry.deadline = own
		}
	}
	startup := m.startupAndStragglersOf(entry.job)
	if due := entry.deadline.Add(-config.Seconds(startup.slowestTaskSeconds(entry.runSeconds, len(entry.req.Tasks)) + startup.startDelaySeconds())); due.Before(entry.due) {
		entry.due = due
	}
}

// lessByWindow reports whether x is served before y. At least one of them must belong to a batch
// window. Jobs of batch windows precede other work of their priority. Among them, earlier deadlines
// come first, and then longer jobs, since a batch window is met only if all its jobs complete.
func lessByWindow(x, y *queueEntry) bool {
	switch {
	case x.inWindow != y.inWindow:
		return x.inWindow
	case !x.deadline.Equal(y.deadline):
		return x.deadline.Before(y.deadline)
	}
	return x.runSeconds > y.runSeconds
}

// completionTimeMs returns the end time for a job's final record, in Unix milliseconds. A later
// leader needs it to tell whether the batch window was met. It returns 0 if the job belongs to no
// batch window.
func (m *Model) completionTimeMs(j *Job) int64 {
	if schedule, _ := m.windowOf(j); schedule == nil {
		return 0
	}
	j.setCompletionTime(m.windows.now)
	return j.completedAtMs
}

// SetCompletionTime sets the time that the next batch records as the end of jobs. The time of
// the last Tick can't be used, since it is far in the past after an outage or a pause of the
// process.
func (m *Model) SetCompletionTime(now time.Time) { m.windows.now = now }

// recordWindowCompletion records in its batch window a job whose end has been committed.
func (m *Model) recordWindowCompletion(j *Job) {
	schedule, window := m.windowOf(j)
	if schedule == nil {
		return
	}
	completedAt := m.windows.now
	if j.completedAtMs > 0 {
		completedAt = time.UnixMilli(j.completedAtMs)
	}
	schedule.RecordCompletion(j.ID, window, completedAt)
}

// tickWindows scans the jobs of batch windows, makes forecasts, closes the batch windows that are
// due, and records changes. Tick calls it each time, and it acts every windowScanInterval.
func (m *Model) tickWindows(now time.Time) {
	windows := &m.windows
	windows.now = now
	if windows.calendar == nil {
		windows.provision = windowProvision{}
		return
	}
	if now.Sub(windows.lastScan) < windowScanInterval {
		return
	}
	windows.lastScan = now
	jobs := m.observeOpenWindowJobs()
	for _, schedule := range windows.schedules {
		schedule.ObserveOpenJobs(schedule.openJobs)
		for _, id := range schedule.UnresolvedJobs() {
			if j := m.Job(id); j != nil && !j.Cancelled {
				schedule.ResolveJob(id, calendar.EndCompleted, calendar.Window{}, now) // the job has moved to another region
			}
		}
	}
	m.forecastWindows(jobs, now)
	for _, schedule := range windows.schedules {
		for _, outcome := range schedule.CloseDue(now) {
			schedule.outcomeUnsaved = true
			m.log.Info("batch window closed", "region", schedule.region.Name, "outcome", outcome.String())
		}
		m.queueWindowRecord(schedule, now)
	}
}

// observeOpenWindowJobs returns the unfinished jobs that belong to batch windows, and sets
// them as the open jobs of their schedules.
func (m *Model) observeOpenWindowJobs() []*Job {
	var jobs []*Job
	for _, schedule := range m.windows.schedules {
		clear(schedule.openJobs)
	}
	for _, idx := range m.openIndexes {
		j := m.Jobs[idx]
		if j == nil || j.Cancelled {
			continue
		}
		schedule, window := m.windowOf(j)
		if schedule == nil {
			continue
		}
		schedule.openJobs[j.ID] = window
		jobs = append(jobs, j)
	}
	return jobs
}

// queueWindowRecord queues a region's record to be written. It does so at once if a batch window
// has been closed, and after windowSaveInterval for other changes. While a batch window is open the
// record is written at least every windowSaveMaxInterval, which shows that a leader still updates it.
func (m *Model) queueWindowRecord(schedule *windowSchedule, now time.Time) {
	sinceSaved := now.Sub(schedule.savedAt)
	changed := schedule.Generation() != schedule.savedGeneration
	if schedule.outcomeUnsaved || changed && sinceSaved >= windowSaveInterval || schedule.HasOpenWindows() && sinceSaved >= windowSaveMaxInterval {
		m.queuePlanRecord(calendar.RecordName(schedule.region.Name), schedule.Record(now, m.windowRecordIDBytes()))
		schedule.savedGeneration, schedule.savedAt, schedule.outcomeUnsaved = schedule.Generation(), now, false
	}
}

// windowRecordIDBytes returns how many bytes the ids of open jobs may take in a region's record.
func (m *Model) windowRecordIDBytes() int { return m.writes.limits().maxValueBytes() / 3 }

// UnresolvedWindowJobs returns the sorted ids of at most limit jobs that the records of batch
// windows list as open, but that have ended without a leader seeing it. The caller reads their
// final records and passes them to ResolveWindowJob.
func (m *Model) UnresolvedWindowJobs(limit int) []string {
	var ids []string
	for _, schedule := range m.windows.schedules {
		ids = append(ids, schedule.UnresolvedJobs()...)
	}
	slices.Sort(ids)
	return ids[:min(limit, len(ids))]
}

// ResolveWindowJob applies the final record of a job from UnresolvedWindowJobs to the outcome of
// its batch window. record is nil if the job has no final record.
func (m *Model) ResolveWindowJob(id string, record *jobstore.JobRecord, now time.Time) {
	for _, schedule := range m.windows.schedules {
		if !slices.Contains(schedule.UnresolvedJobs(), id) {
			continue
		}
		if record == nil {
			schedule.ResolveJob(id, calendar.EndUnknown, calendar.Window{}, now)
			continue
		}
		end, endedAt := calendar.EndCompleted, now
		if record.State == wire.JobCancelled {
			end = calendar.EndCancelled
		}
		if record.FinishedAtMs > 0 {
			endedAt = time.UnixMilli(record.FinishedAtMs)
		}
		region, window, ok := m.windows.calendar.WindowFor(time.UnixMilli(record.AcceptedAtMs), calendarAttributes(&record.Job))
		if !ok || region != schedule.region {
			window = calendar.Window{}
		}
		schedule.ResolveJob(id, end, window, endedAt)
	}
}

// BatchWindows returns a view of each region's batch windows for operators, in the calendar's
// order.
func (m *Model) BatchWindows(now time.Time) []calendar.View {
	var views []calendar.View
	for _, schedule := range m.windows.schedules {
		views = append(views, schedule.region.View(schedule.Record(now, m.windowRecordIDBytes()), now))
	}
	return views
}
