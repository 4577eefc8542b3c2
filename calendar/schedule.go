// The state of a region's batch windows until their outcome is decided.

package calendar

import (
	"cmp"
	"slices"
	"time"
)

// Schedule is a leader's state of a region's batch windows: the record and the ids of open jobs.
// The leader reports which jobs are open and how jobs end. It commits Record whenever Generation
// has grown. Invariant: openJobs has exactly one set for each open window of the record.
type Schedule struct {
	record   Record
	openJobs map[string]map[string]bool // ids of unfinished jobs in the leader's model, by date of the window
	// unresolved maps the ids of jobs to the dates of their windows. The jobs are open in an
	// earlier leader's record and this leader has not seen them open.
	unresolved   map[string]string
	fencingToken uint64

	settleDelay time.Duration
	generation  uint64 // number of changes to be committed
}

// NewSchedule continues a region's schedule from the record that earlier leaders committed. A
// job becomes known to the leader within settleDelay of its acceptance. A window's result is
// therefore decided at the earliest settleDelay after its deadline or opening.
func NewSchedule(region string, record Record, fencingToken uint64, settleDelay time.Duration) *Schedule {
	record.Region, record.Windows, record.Past = region, slices.Clone(record.Windows), slices.Clone(record.Past)
	s := &Schedule{record: record, openJobs: map[string]map[string]bool{}, unresolved: map[string]string{}, fencingToken: fencingToken, settleDelay: settleDelay}
	for i := range s.record.Windows {
		w := &s.record.Windows[i]
		w.LowerBound = true
		s.openJobs[w.Date] = map[string]bool{}
		for _, id := range w.OpenJobs {
			s.unresolved[id] = w.Date
		}
	}
	return s
}

// Generation grows with each change that is to be committed.
func (s *Schedule) Generation() uint64 { return s.generation }

// findOrOpen returns the state of an open batch window and opens the window if necessary. It
// returns nil if the window can't be opened: maxOpenWindows are open, or the window or one with
// a later opening has been decided. A withdrawn window may open again.
func (s *Schedule) findOrOpen(window Window) *OpenWindow {
	if open := s.find(window.Date); open != nil {
		return open
	}
	if window.Opening.UnixMilli() <= s.record.LastClosedOpeningMs || len(s.record.Windows) >= maxOpenWindows ||
		slices.ContainsFunc(s.record.Past, func(o Outcome) bool { return o.Date == window.Date && o.Result != ResultWithdrawn }) {
		return nil
	}
	s.record.Windows = append(s.record.Windows, OpenWindow{Date: window.Date, StartMs: window.Start.UnixMilli(),
		DeadlineMs: window.Deadline.UnixMilli(), OpeningMs: window.Opening.UnixMilli()})
	slices.SortFunc(s.record.Windows, func(x, y OpenWindow) int { return cmp.Compare(x.OpeningMs, y.OpeningMs) })
	s.openJobs[window.Date] = map[string]bool{}
	s.generation++
	return s.find(window.Date)
}

func (s *Schedule) find(date string) *OpenWindow {
	for i := range s.record.Windows {
		if s.record.Windows[i].Date == date {
			return &s.record.Windows[i]
		}
	}
	return nil
}

// ObserveOpenJobs sets all unfinished jobs, with the batch window of each. A job that was open
// before and is now missing counts as cancelled, unless it was passed to RecordCompletion. A job
// whose batch window has changed moves to the new window.
func (s *Schedule) ObserveOpenJobs(jobs map[string]Window) {
	for id, window := range jobs {
		if s.findOrOpen(window) == nil {
			continue
		}
		if open := s.openJobs[window.Date]; !open[id] {
			open[id] = true
			s.generation++
		}
		delete(s.unresolved, id)
	}
	for i := range s.record.Windows {
		w := &s.record.Windows[i]
		for id := range s.openJobs[w.Date] {
			window, open := jobs[id]
			if !open {
				w.Cancelled++
				s.generation++
			}
			if window.Date != w.Date {
				delete(s.openJobs[w.Date], id)
			}
		}
	}
}

// RecordCompletion counts a job whose completion is committed.
func (s *Schedule) RecordCompletion(id string, window Window, completedAt time.Time) {
	w := s.findOrOpen(window)
	if w == nil {
		return
	}
	delete(s.openJobs[window.Date], id)
	delete(s.unresolved, id)
	w.Completed++
	w.LastCompletionMs = max(w.LastCompletionMs, completedAt.UnixMilli())
	if completedAt.UnixMilli() > w.OpeningMs {
		w.CompletedAfterOpening++
	}
	s.generation++
}

// UnresolvedJobs returns the sorted ids of jobs that are open in an earlier leader's record and
// have not been passed to ObserveOpenJobs or RecordCompletion since. Once all open jobs have been
// observed, the unresolved jobs are over. The caller looks up how each job ended and calls
// ResolveJob.
func (s *Schedule) UnresolvedJobs() []string {
	ids := make([]string, 0, len(s.unresolved))
	for id := range s.unresolved {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// JobEnd is the way in which an unresolved job ended.
type JobEnd int

// Ends of unresolved jobs.
const (
	EndCompleted JobEnd = iota
	EndCancelled
	EndUnknown // the job has no final record
)

// ResolveJob records how an unresolved job ended. The last two arguments apply to completed jobs:
// window is the job's batch window in this region, or the zero Window if the job belongs to none,
// and endedAt is the time of completion.
func (s *Schedule) ResolveJob(id string, end JobEnd, window Window, endedAt time.Time) {
	w := s.find(s.unresolved[id])
	delete(s.unresolved, id)
	s.generation++
	switch {
	case end == EndCompleted && !window.isNone():
		s.RecordCompletion(id, window, endedAt)
	case w == nil:
	case end == EndCancelled:
		w.Cancelled++
	case end == EndUnknown:
		w.Lost++
	}
}

// Reschedule adapts the open windows to a region's new openings. A window keeps its date if the
// region still has a batch window on that date. Otherwise it becomes the window that its start
// falls into, and is merged with that window if both are open. If there is no such window, it is
// withdrawn. Reschedule forgets all open jobs, so the caller must call ObserveOpenJobs afterwards.
func (s *Schedule) Reschedule(region *Region, now time.Time) {
	previous := s.record.Windows
	s.record.Windows, s.openJobs = nil, map[string]map[string]bool{}
	s.generation += uint64(len(previous))
	for i := range previous {
		w := previous[i]
		window, ok := rescheduled(&w, region)
		if !ok {
			s.closeWindow(&w, ResultWithdrawn, 0, now)
			continue
		}
		for id, date := range s.unresolved {
			if date == w.Date {
				s.unresolved[id] = window.Date
			}
		}
		w.Date, w.StartMs, w.DeadlineMs, w.OpeningMs = window.Date, window.Start.UnixMilli(), window.Deadline.UnixMilli(), window.Opening.UnixMilli()
		s.openJobs[w.Date] = map[string]bool{}
		if same := s.find(w.Date); same != nil {
			same.addCounts(&w)
			continue
		}
		s.record.Windows = append(s.record.Windows, w)
	}
}

// rescheduled returns the batch window that replaces an open one in a region with new openings,
// or false if there is none. region is nil if the new plan lacks the region.
func rescheduled(w *OpenWindow, region *Region) (Window, bool) {
	if region == nil {
		return Window{}, false
	}
	if window, ok := region.WindowOn(w.Date); ok {
		return window, true
	}
	return region.WindowAt(time.UnixMilli(w.StartMs))
}

// minRiskChangeInterval is the minimum time between a reforecast and the next one that is
// recorded only because AtRisk changed.
const minRiskChangeInterval = time.Minute

// RecordForecast sets the forecast of a batch window. A forecast with a cause is also recorded as
// a reforecast. With cause "" a reforecast is recorded only if AtRisk has changed and the last
// reforecast is more than minRiskChangeInterval old.
func (s *Schedule) RecordForecast(date string, forecast Forecast, cause string, machines int, now time.Time) {
	w := s.find(date)
	if w == nil {
		return
	}
	wasAtRisk := w.Forecast.AtRisk
	if s.openJobCount(w) == 0 {
		// All known jobs are over.
		forecast = Forecast{Finish: time.UnixMilli(w.LastCompletionMs), LatestStart: forecast.LatestStart}
	}
	w.Forecast = ForecastRecord{MadeAtMs: now.UnixMilli(), FinishMs: unixMilliOrZero(forecast.Finish), LatestStartMs: unixMilliOrZero(forecast.LatestStart),
		AtRisk: forecast.AtRisk, Reason: forecast.Reason}
	if cause == "" && wasAtRisk != forecast.AtRisk && w.riskChangeDue(now) {
		cause = "goes faster than expected"
		if forecast.AtRisk {
			cause = "goes slower than expected"
		}
	}
	if cause == "" {
		return
	}
	w.ReforecastCount++
	w.Reforecasts = append(w.Reforecasts, Reforecast{AtMs: now.UnixMilli(), Cause: cause, FinishMs: w.Forecast.FinishMs, AtRisk: forecast.AtRisk,
		Machines: machines, Jobs: s.jobCount(w)})
	w.Reforecasts = w.Reforecasts[max(0, len(w.Reforecasts)-maxReforecasts):]
	s.generation++
}

// riskChangeDue reports whether a change of AtRisk alone may be recorded now: a reforecast exists
// and the last one is more than minRiskChangeInterval old.
func (w *OpenWindow) riskChangeDue(now time.Time) bool {
	k := len(w.Reforecasts)
	return k > 0 && now.UnixMilli()-w.Reforecasts[k-1].AtMs > minRiskChangeInterval.Milliseconds()
}

func unixMilliOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// openJobCount returns the number of jobs of a batch window that are not known to be over.
func (s *Schedule) openJobCount(w *OpenWindow) int {
	return len(s.openJobs[w.Date]) + s.unresolvedCount(w.Date)
}

func (s *Schedule) unresolvedCount(date string) int {
	count := 0
	for _, d := range s.unresolved {
		if d == date {
			count++
		}
	}
	return count
}

func (s *Schedule) jobCount(w *OpenWindow) int { return s.openJobCount(w) + w.Completed + w.Lost }

// CloseDue closes the batch windows whose result can be decided. It returns their outcomes,
// including those of windows without jobs. A window can be decided once the settle delay has
// passed and none of its jobs is unresolved.
func (s *Schedule) CloseDue(now time.Time) (outcomes []Outcome) {
	open := s.record.Windows[:0]
	for i := range s.record.Windows {
		w := s.record.Windows[i]
		if result, lateMs, ok := s.decideResult(&w, now.Add(-s.settleDelay).UnixMilli()); ok {
			outcomes = append(outcomes, s.closeWindow(&w, result, lateMs, now))
			continue
		}
		open = append(open, w)
	}
	s.record.Windows = open
	if len(outcomes) > 0 {
		s.generation++
	}
	return outcomes
}

// decideResult returns the result of a batch window and its lateness in milliseconds, or false if
// the result can't be decided yet. All jobs accepted up to nowMs must be known.
func (s *Schedule) decideResult(w *OpenWindow, nowMs int64) (result Result, lateMs int64, ok bool) {
	if nowMs < w.DeadlineMs || s.unresolvedCount(w.Date) > 0 {
		return "", 0, false
	}
	unfinished := s.openJobCount(w) + w.Lost
	switch {
	case unfinished == 0 && w.LastCompletionMs <= w.DeadlineMs:
		return ResultMet, 0, true
	case unfinished == 0 && w.LastCompletionMs <= w.OpeningMs:
		return ResultLate, w.LastCompletionMs - w.DeadlineMs, true
	case unfinished > 0 && nowMs < w.OpeningMs:
		return "", 0, false
	}
	return ResultIncomplete, 0, true
}

// closeWindow returns the outcome of a batch window. It adds the outcome to the record if the
// window had jobs.
func (s *Schedule) closeWindow(w *OpenWindow, result Result, lateMs int64, now time.Time) Outcome {
	outcome := Outcome{Date: w.Date, DeadlineMs: w.DeadlineMs, OpeningMs: w.OpeningMs, Result: result, LateMs: lateMs,
		Completed: w.Completed - w.CompletedAfterOpening, Jobs: s.jobCount(w), LowerBound: w.LowerBound, DecidedAtMs: now.UnixMilli(), DecidedBy: s.fencingToken}
	delete(s.openJobs, w.Date)
	if result != ResultWithdrawn {
		s.record.LastClosedOpeningMs = max(s.record.LastClosedOpeningMs, w.OpeningMs)
	}
	if outcome.Jobs > 0 {
		s.record.Past = append(s.record.Past, outcome)
		s.record.Past = s.record.Past[max(0, len(s.record.Past)-maxPastOutcomes):]
	}
	return outcome
}

// jobIDOverhead is the number of bytes that an id takes in an encoded record in addition to its
// text.
const jobIDOverhead = 3

// Record returns a copy of the record to be committed. The ids of open jobs in all windows
// together take at most maxIDBytes. Jobs whose ids don't fit are only counted.
func (s *Schedule) Record(now time.Time, maxIDBytes int) Record {
	record := s.record
	record.SavedAtMs = now.UnixMilli()
	record.Windows, record.Past = slices.Clone(record.Windows), slices.Clone(record.Past)
	for i := range record.Windows {
		w := &record.Windows[i]
		w.Reforecasts = slices.Clone(w.Reforecasts)
		ids := s.openJobIDs(w.Date)
		fit := 0
		for fit < len(ids) && len(ids[fit])+jobIDOverhead <= maxIDBytes {
			maxIDBytes -= len(ids[fit]) + jobIDOverhead
			fit++
		}
		w.OpenJobs, w.OpenJobsOmitted = ids[:fit], len(ids)-fit
	}
	return record
}

// openJobIDs returns the sorted ids of the jobs of a batch window that are not known to be over.
func (s *Schedule) openJobIDs(date string) []string {
	var ids []string
	for id := range s.openJobs[date] {
		ids = append(ids, id)
	}
	for id, d := range s.unresolved {
		if d == date {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// HasOpenWindows reports whether a batch window is open.
func (s *Schedule) HasOpenWindows() bool { return len(s.record.Windows) > 0 }

// OpenWindows returns the open batch windows, earliest opening first.
func (s *Schedule) OpenWindows() []Window {
	var windows []Window
	for i := range s.record.Windows {
		w := &s.record.Windows[i]
		windows = append(windows, Window{Date: w.Date, Start: time.UnixMilli(w.StartMs), Deadline: time.UnixMilli(w.DeadlineMs), Opening: time.UnixMilli(w.OpeningMs)})
	}
	return windows
}

// JobCounts returns the number of known jobs of a batch window, excluding cancelled ones, and the
// number of those that are not known to be over. Both are 0 if the window is not open.
func (s *Schedule) JobCounts(date string) (all, open int) {
	w := s.find(date)
	if w == nil {
		return 0, 0
	}
	return s.jobCount(w), s.openJobCount(w)
}
