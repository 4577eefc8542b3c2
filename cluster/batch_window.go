package cluster

import (
	"slices"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// This file tracks the batch windows of the plan's calendar: which jobs belong to them, in
// which order they are served, and whether their deadlines were met. Package calendar
// decides (docs/calendar.md); forecasts are in window_forecast.go, scale-out ahead of
// deadlines is in window_provision.go.

const (
	windowScanInterval    = time.Second     // between two scans of the open jobs
	windowSaveInterval    = 2 * time.Second // least time between two records of a region
	windowSaveMaxInterval = time.Minute     // most time between them while a batch window is open
	submissionDelay       = 2 * time.Second // longest time from a job's acceptance until the leader knows it
)

// batchWindows is the leader's state of the calendar's batch windows. Only batch_window.go,
// window_forecast.go and window_provision.go write its fields. Invariants: calendar is nil
// if and only if schedules is empty; schedules[i] is the schedule of calendar.Regions[i]; a
// job's cached window is valid only if its calendarGeneration is the current one.
type batchWindows struct {
	calendar           *calendar.Calendar
	schedules          []*windowSchedule // by region, in the calendar's order
	calendarGeneration int               // counts loaded calendars
	now                time.Time         // of the last Tick or SetCompletionTime
	lastScan           time.Time
	lastForecast       time.Time
	provision          windowProvision
}

// windowSchedule is the schedule of a region's batch windows, with what its recorded
// forecasts were based on.
type windowSchedule struct {
	*calendar.Schedule
	region          *calendar.Region
	forecastBases   map[string]forecastBasis   // by the date of the batch window
	openJobs        map[string]calendar.Window // unfinished jobs of the last scan, by id
	reforecastCause string                     // why all forecasts must be recorded anew; "" if they need not
	savedGeneration uint64                     // of the schedule, as last recorded
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

// setCompletionTime sets when the job's end was written.
func (j *Job) setCompletionTime(at time.Time) { j.completedAtMs = at.UnixMilli() }

// windowRank is the position of a job by the calendar.
type windowRank struct {
	inWindow bool      // the job belongs to a batch window
	deadline time.Time // of the batch window, or the job's own if that is earlier
}

// reloadCalendar applies the plan's calendar. Schedules of regions that were known before
// are moved to the new openings; those of other regions continue from what an earlier
// leader committed.
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

// loadWindowSchedule makes a region's schedule from what earlier leaders recorded. An
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

// calendarAttributes are the properties of a job by which the calendar matches it.
func calendarAttributes(job *wire.Job) calendar.JobAttributes {
	return calendar.JobAttributes{Class: job.Class, Team: job.Team, Zone: job.Zone, Image: job.Image}
}

// windowOf returns the batch window that a job belongs to, and its schedule; nil if there is
// none. It follows from the job's record and the plan alone, so that every leader finds the
// same.
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

// applyWindowDeadline makes a batch window's job due by the earlier of its own deadline and
// that of the batch window.
func (m *Model) applyWindowDeadline(k *queued) {
	schedule, window := m.windowOf(k.job)
	if schedule == nil {
		return
	}
	k.inWindow, k.deadline = true, window.Deadline
	if seconds := k.job.Spec.DeadlineS; seconds != nil {
		if own := k.job.AcceptedAt.Add(config.Seconds(*seconds)); own.Before(k.deadline) {
			k.deadline = own
		}
	}
	startup := m.startupAndStragglersOf(k.job)
	if due := k.deadline.Add(-config.Seconds(startup.slowestTask(k.runSeconds, len(k.req.Tasks)) + startup.startDelay())); due.Before(k.due) {
		k.due = due
	}
}

// lessByWindow orders two jobs of which at least one belongs to a batch window: jobs of
// batch windows before other work of their priority, earlier deadlines first, and then the
// longest job first, since a batch window is met as a whole or not at all.
func lessByWindow(x, y *queued) bool {
	switch {
	case x.inWindow != y.inWindow:
		return x.inWindow
	case !x.deadline.Equal(y.deadline):
		return x.deadline.Before(y.deadline)
	}
	return x.runSeconds > y.runSeconds
}

// completionTimeMs is the time that a job's final record gets as its end, in Unix
// milliseconds, so that a later leader can tell whether its batch window was met; 0 for jobs
// of no batch window.
func (m *Model) completionTimeMs(j *Job) int64 {
	if schedule, _ := m.windowOf(j); schedule == nil {
		return 0
	}
	j.setCompletionTime(m.windows.now)
	return j.completedAtMs
}

// SetCompletionTime sets the time that the next batch records as the end of jobs. The time of
// the last Tick won't do: after an outage or a pause of the process it is far in the past.
func (m *Model) SetCompletionTime(now time.Time) { m.windows.now = now }

// recordWindowCompletion counts a job whose end is committed in its batch window.
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

// tickWindows scans the jobs of batch windows, makes forecasts, closes the batch windows
// whose time has come, and records what has changed. It is called with each tick.
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
				schedule.ResolveJob(id, calendar.EndCompleted, calendar.Window{}, now) // it has moved to another region
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

// observeOpenWindowJobs lists the unfinished jobs that belong to batch windows, and sets
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

// queueWindowRecord queues a region's record to be written: at once if a batch window has been
// closed, within seconds for other changes, and once a minute while a batch window is open,
// which shows that a leader still updates it.
func (m *Model) queueWindowRecord(schedule *windowSchedule, now time.Time) {
	sinceSaved := now.Sub(schedule.savedAt)
	changed := schedule.Generation() != schedule.savedGeneration
	if schedule.outcomeUnsaved || changed && sinceSaved >= windowSaveInterval || schedule.HasOpenWindows() && sinceSaved >= windowSaveMaxInterval {
		m.queuePlanRecord(calendar.RecordName(schedule.region.Name), schedule.Record(now, m.windowRecordIDBytes()))
		schedule.savedGeneration, schedule.savedAt, schedule.outcomeUnsaved = schedule.Generation(), now, false
	}
}

// windowRecordIDBytes is how many bytes the ids of open jobs may take in a region's record.
func (m *Model) windowRecordIDBytes() int { return m.writes.limits().maxValueBytes() / 3 }

// UnresolvedWindowJobs lists jobs, at most as many as given, that the records of batch windows
// have as open but that have ended since, unseen by a leader. The caller reads their final
// records and passes them to ResolveWindowJob.
func (m *Model) UnresolvedWindowJobs(most int) []string {
	var ids []string
	for _, schedule := range m.windows.schedules {
		ids = append(ids, schedule.UnresolvedJobs()...)
	}
	slices.Sort(ids)
	return ids[:min(most, len(ids))]
}

// ResolveWindowJob applies the final record of a job that UnresolvedWindowJobs has listed, nil
// if there is none, to the outcome of its batch window.
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

// BatchWindows returns a view of each region's batch windows for operators, in the order of
// the calendar.
func (m *Model) BatchWindows(now time.Time) []calendar.View {
	var views []calendar.View
	for _, schedule := range m.windows.schedules {
		views = append(views, schedule.region.View(schedule.Record(now, m.windowRecordIDBytes()), now))
	}
	return views
}
