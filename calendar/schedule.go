package calendar

import (
	"fmt"
	"slices"
	"time"
)

// Record is what is committed of a region's nights: those under way and how the
// last ones came out. Times are Unix milliseconds.
type Record struct {
	Region              string       `msgpack:"r" json:"region"`
	SavedAtMs           int64        `msgpack:"at" json:"at_ms"`
	Windows             []OpenWindow `msgpack:"n" json:"nights"`
	Past                []Outcome    `msgpack:"p" json:"past"`
	LastClosedOpeningMs int64        `msgpack:"c" json:"closed_ms"` // the latest opening whose outcome stands in Past, or did
}

// Held is a night under way.
type OpenWindow struct {
	Date                  string         `msgpack:"d" json:"date"`
	StartMs               int64          `msgpack:"f" json:"from_ms"`
	DeadlineMs            int64          `msgpack:"pm" json:"promise_ms"`
	OpeningMs             int64          `msgpack:"o" json:"opening_ms"`
	OpenJobs              []string       `msgpack:"j" json:"open"`   // jobs that are not whole, as far as there is room for them
	OpenJobsOmitted       int            `msgpack:"m" json:"more"`   // and how many besides
	Completed             int            `msgpack:"dn" json:"done"`  // jobs that are whole, and committed as that
	CompletedAfterOpening int            `msgpack:"da" json:"after"` // of those, after the opening
	LastCompletionMs      int64          `msgpack:"l" json:"last_ms"`
	Cancelled             int            `msgpack:"x" json:"cancelled"`
	Lost                  int            `msgpack:"u" json:"lost"`      // no record tells how they ended
	LowerBound            bool           `msgpack:"al" json:"at_least"` // a leader may have ended more than it could note
	Forecast              ForecastRecord `msgpack:"fc" json:"forecast"`
	Reforecasts           []Reforecast   `msgpack:"rp" json:"replans"` // the last of them
	ReforecastCount       int            `msgpack:"rn" json:"replanned"`
}

// Expected is a forecast as it was last made.
type ForecastRecord struct {
	MadeAtMs      int64  `msgpack:"at" json:"at_ms"`
	FinishMs      int64  `msgpack:"f" json:"finish_ms"` // 0: never, as things are
	LatestStartMs int64  `msgpack:"l" json:"latest_start_ms"`
	AtRisk        bool   `msgpack:"r" json:"at_risk"`
	Reason        string `msgpack:"w" json:"why,omitempty"`
}

// Replan is a forecast that was made again, and why.
type Reforecast struct {
	AtMs     int64  `msgpack:"at" json:"at_ms"`
	Cause    string `msgpack:"c" json:"cause"`
	FinishMs int64  `msgpack:"f" json:"finish_ms"`
	AtRisk   bool   `msgpack:"r" json:"at_risk"`
	Machines int    `msgpack:"m" json:"machines"`
	Jobs     int    `msgpack:"j" json:"jobs"` // all of the night
}

// How a night came out.
const (
	ResultMet        = "met"
	ResultLate       = "late"       // whole before the opening, but after what was promised
	ResultIncomplete = "incomplete" // at the opening, not all was whole
	ResultWithdrawn  = "withdrawn"  // a plan was applied that has no such night
)

// Outcome is how a night came out. It is decided once.
type Outcome struct {
	Date        string `msgpack:"d" json:"date"`
	DeadlineMs  int64  `msgpack:"pm" json:"promise_ms"`
	OpeningMs   int64  `msgpack:"o" json:"opening_ms"`
	Result      string `msgpack:"h" json:"how"`
	LateMs      int64  `msgpack:"l" json:"late_ms"`
	Completed   int    `msgpack:"dn" json:"done"` // by the opening
	Jobs        int    `msgpack:"a" json:"all"`
	LowerBound  bool   `msgpack:"al" json:"at_least"`
	DecidedAtMs int64  `msgpack:"at" json:"decided_ms"`
	DecidedBy   uint64 `msgpack:"by" json:"by"` // the token of the leader that decided
}

// Bounds of a record: with all of them reached it takes about 8 KB, the ids of
// open jobs left out.
const (
	maxPastOutcomes = 20
	maxReforecasts  = 8
	maxOpenWindows  = 4
)

// Book keeps a region's nights: what a leader knows of them beyond the record.
type Schedule struct {
	record       Record
	openJobs     map[string]map[string]bool // by date: jobs that are not whole, in the leader's model
	unresolved   map[string]string          // jobs that an earlier leader left open, and that are over since: their nights' dates
	fencingToken uint64

	settleDelay time.Duration
	generation  uint64 // counts changes that are to be committed
}

// NewBook opens a region's book for the leader of a token. was is what earlier
// leaders left; settle is for how long after a moment something accepted before
// it may still come to be known.
func NewSchedule(region string, was Record, token uint64, settle time.Duration) *Schedule {
	was.Region, was.Windows, was.Past = region, slices.Clone(was.Windows), slices.Clone(was.Past)
	b := &Schedule{record: was, openJobs: map[string]map[string]bool{}, unresolved: map[string]string{}, fencingToken: token, settleDelay: settle}
	for i := range b.record.Windows {
		n := &b.record.Windows[i]
		n.LowerBound = true
		b.openJobs[n.Date] = map[string]bool{}
		for _, id := range n.OpenJobs {
			b.unresolved[id] = n.Date
		}
	}
	return b
}

// Gen grows with each change that is to be committed.
func (b *Schedule) Generation() uint64 { return b.generation }

// held finds the night of a date, or begins it. Nights that are decided, and those
// before them, are never begun again.
func (b *Schedule) findOrOpen(n Window) *OpenWindow {
	if h := b.find(n.Date); h != nil {
		return h
	}
	if n.Opening.UnixMilli() <= b.record.LastClosedOpeningMs || len(b.record.Windows) >= maxOpenWindows ||
		slices.ContainsFunc(b.record.Past, func(o Outcome) bool { return o.Date == n.Date && o.Result != ResultWithdrawn }) {
		return nil
	}
	b.record.Windows = append(b.record.Windows, OpenWindow{Date: n.Date, StartMs: n.Start.UnixMilli(), DeadlineMs: n.Deadline.UnixMilli(), OpeningMs: n.Opening.UnixMilli()})
	slices.SortFunc(b.record.Windows, func(x, y OpenWindow) int { return int(min(1, max(-1, x.OpeningMs-y.OpeningMs))) })
	b.openJobs[n.Date] = map[string]bool{}
	b.generation++
	return b.find(n.Date)
}

func (b *Schedule) find(date string) *OpenWindow {
	for i := range b.record.Windows {
		if b.record.Windows[i].Date == date {
			return &b.record.Windows[i]
		}
	}
	return nil
}

// See takes in which jobs are not whole now, by their nights. Those that were
// there before, and have not ended by Ended, were cancelled, or belong elsewhere.
func (b *Schedule) ObserveOpenJobs(jobs map[string]Window) {
	for id, n := range jobs {
		if b.findOrOpen(n) == nil {
			continue
		}
		if open := b.openJobs[n.Date]; !open[id] {
			open[id] = true
			b.generation++
		}
		delete(b.unresolved, id)
	}
	for i := range b.record.Windows {
		n := &b.record.Windows[i]
		for id := range b.openJobs[n.Date] {
			now, still := jobs[id]
			if !still {
				n.Cancelled++
				b.generation++
			}
			if now.Date != n.Date {
				delete(b.openJobs[n.Date], id)
			}
		}
	}
}

// Ended takes in that a job is whole, and that this is committed.
func (b *Schedule) RecordCompletion(id string, n Window, at time.Time) {
	h := b.findOrOpen(n)
	if h == nil {
		return
	}
	delete(b.openJobs[n.Date], id)
	delete(b.unresolved, id)
	b.countCompletion(h, at.UnixMilli())
}

func (b *Schedule) countCompletion(h *OpenWindow, atMs int64) {
	h.Completed++
	h.LastCompletionMs = max(h.LastCompletionMs, atMs)
	if atMs > h.OpeningMs {
		h.CompletedAfterOpening++
	}
	b.generation++
}

// Unknown lists jobs that an earlier leader left open and that are over since: who
// keeps the book must be told how they ended.
func (b *Schedule) UnresolvedJobs() []string {
	out := make([]string, 0, len(b.unresolved))
	for id := range b.unresolved {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// How a job of which nothing was known has ended.
type JobEnd int

// Ends of jobs.
const (
	EndCompleted JobEnd = iota
	EndCancelled        // cancelled by its user
	EndUnknown          // no record tells
)

// Told takes in how a job ended that was asked for: of one that is whole, to which
// night of the region it belongs, if it still does, and when it ended.
func (b *Schedule) ResolveJob(id string, how JobEnd, n Window, belongs bool, at time.Time) {
	h := b.find(b.unresolved[id])
	delete(b.unresolved, id)
	b.generation++
	switch {
	case how == EndCompleted && belongs:
		b.RecordCompletion(id, n, at)
	case h == nil:
	case how == EndCancelled:
		h.Cancelled++
	case how == EndUnknown:
		h.Lost++
	}
}

// Replan brings the nights in line with a region's new openings. A night keeps
// its date where there is one, takes the one that its evening now leads to where
// not, and is withdrawn where there is neither. Which jobs belong to each is to be
// seen anew.
func (b *Schedule) Reschedule(r *Region, now time.Time) {
	was := b.record.Windows
	b.record.Windows, b.openJobs = nil, map[string]map[string]bool{}
	b.generation += uint64(len(was))
	for i := range was {
		h := was[i]
		n, ok := Window{}, false
		if r != nil {
			if n, ok = r.WindowOn(h.Date); !ok {
				n, ok = r.WindowAt(time.UnixMilli(h.StartMs))
			}
		}
		if !ok {
			b.closeWindow(&h, ResultWithdrawn, 0, now)
			continue
		}
		for id, date := range b.unresolved {
			if date == h.Date {
				b.unresolved[id] = n.Date
			}
		}
		h.Date, h.StartMs, h.DeadlineMs, h.OpeningMs = n.Date, n.Start.UnixMilli(), n.Deadline.UnixMilli(), n.Opening.UnixMilli()
		b.openJobs[h.Date] = map[string]bool{}
		if into := b.find(h.Date); into != nil {
			into.Completed, into.CompletedAfterOpening, into.LastCompletionMs = into.Completed+h.Completed, into.CompletedAfterOpening+h.CompletedAfterOpening, max(into.LastCompletionMs, h.LastCompletionMs)
			into.Cancelled, into.Lost, into.LowerBound = into.Cancelled+h.Cancelled, into.Lost+h.Lost, into.LowerBound || h.LowerBound
			continue
		}
		b.record.Windows = append(b.record.Windows, h)
	}
}

// flipsApart is how far apart changes between at risk and not are recorded that
// nothing else has caused.
const minRiskChangeInterval = time.Minute

// Expected takes a forecast of a night in. A cause says why it was made again, and
// is recorded with it; without one it only shows what is expected now.
func (b *Schedule) RecordForecast(date string, f Forecast, cause string, machines int, now time.Time) {
	h := b.find(date)
	if h == nil {
		return
	}
	was := h.Forecast
	if b.openJobCount(h) == 0 {
		// Nothing of it is left, as far as it has come.
		f = Forecast{Finish: time.UnixMilli(h.LastCompletionMs), LatestStart: f.LatestStart}
	}
	h.Forecast = ForecastRecord{MadeAtMs: now.UnixMilli(), FinishMs: unixMilliOrZero(f.Finish), LatestStartMs: unixMilliOrZero(f.LatestStart), AtRisk: f.AtRisk, Reason: f.Reason}
	if k := len(h.Reforecasts); cause == "" && was.AtRisk != f.AtRisk && k > 0 && now.UnixMilli()-h.Reforecasts[k-1].AtMs > minRiskChangeInterval.Milliseconds() {
		cause = "goes faster than expected"
		if f.AtRisk {
			cause = "goes slower than expected"
		}
	}
	if cause == "" {
		return
	}
	h.ReforecastCount++
	h.Reforecasts = append(h.Reforecasts, Reforecast{AtMs: now.UnixMilli(), Cause: cause, FinishMs: h.Forecast.FinishMs, AtRisk: f.AtRisk, Machines: machines, Jobs: b.jobCount(h)})
	h.Reforecasts = h.Reforecasts[max(0, len(h.Reforecasts)-maxReforecasts):]
	b.generation++
}

func unixMilliOrZero(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// left is how many jobs of a night are not known to be over.
func (b *Schedule) openJobCount(h *OpenWindow) int {
	n := len(b.openJobs[h.Date])
	for _, date := range b.unresolved {
		if date == h.Date {
			n++
		}
	}
	return n
}

func (b *Schedule) jobCount(h *OpenWindow) int { return b.openJobCount(h) + h.Completed + h.Lost }

// Close decides the nights whose time has come, and returns those decided. It waits
// for what it must be told first, and for what may still come to be known.
func (b *Schedule) CloseDue(now time.Time) (out []Outcome) {
	keep := b.record.Windows[:0]
	for i := range b.record.Windows {
		h := b.record.Windows[i]
		if how, late, ok := b.decideResult(&h, now.Add(-b.settleDelay).UnixMilli()); ok {
			out = append(out, b.closeWindow(&h, how, late, now))
			continue
		}
		keep = append(keep, h)
	}
	b.record.Windows = keep
	if len(out) > 0 {
		b.generation++
	}
	return out
}

func (b *Schedule) decideResult(h *OpenWindow, nowMs int64) (how string, late int64, ok bool) {
	if nowMs < h.DeadlineMs {
		return "", 0, false
	}
	for _, date := range b.unresolved {
		if date == h.Date {
			return "", 0, false
		}
	}
	open := b.openJobCount(h) + h.Lost
	switch {
	case open == 0 && h.LastCompletionMs <= h.DeadlineMs:
		return ResultMet, 0, true
	case open == 0 && h.LastCompletionMs <= h.OpeningMs:
		return ResultLate, h.LastCompletionMs - h.DeadlineMs, true
	case open > 0 && nowMs < h.OpeningMs:
		return "", 0, false
	}
	return ResultIncomplete, 0, true
}

// close takes a night off the book. One to which nothing belonged leaves no trace.
func (b *Schedule) closeWindow(h *OpenWindow, how string, late int64, now time.Time) Outcome {
	o := Outcome{Date: h.Date, DeadlineMs: h.DeadlineMs, OpeningMs: h.OpeningMs, Result: how, LateMs: late,
		Completed: h.Completed - h.CompletedAfterOpening, Jobs: b.jobCount(h), LowerBound: h.LowerBound, DecidedAtMs: now.UnixMilli(), DecidedBy: b.fencingToken}
	delete(b.openJobs, h.Date)
	if how != ResultWithdrawn {
		b.record.LastClosedOpeningMs = max(b.record.LastClosedOpeningMs, h.OpeningMs)
	}
	if o.Jobs > 0 {
		b.record.Past = append(b.record.Past, o)
		b.record.Past = b.record.Past[max(0, len(b.record.Past)-maxPastOutcomes):]
	}
	return o
}

// Record is the book as it is to be committed, a copy. The ids of open jobs take
// at most so many bytes.
func (b *Schedule) Record(now time.Time, most int) Record {
	rec := b.record
	rec.SavedAtMs = now.UnixMilli()
	rec.Windows, rec.Past = slices.Clone(rec.Windows), slices.Clone(rec.Past)
	for i := range rec.Windows {
		n := &rec.Windows[i]
		n.Reforecasts = slices.Clone(n.Reforecasts)
		var ids []string
		for id := range b.openJobs[n.Date] {
			ids = append(ids, id)
		}
		for id, date := range b.unresolved {
			if date == n.Date {
				ids = append(ids, id)
			}
		}
		slices.Sort(ids)
		fit := 0
		for fit < len(ids) && len(ids[fit])+3 <= most {
			most -= len(ids[fit]) + 3
			fit++
		}
		n.OpenJobs, n.OpenJobsOmitted = ids[:fit], len(ids)-fit
	}
	return rec
}

// All is how many jobs belong to the night, those cancelled left out.
func (h *OpenWindow) JobCount() int {
	return len(h.OpenJobs) + h.OpenJobsOmitted + h.Completed + h.Lost
}

// String says in a few words how a night came out.
func (o *Outcome) String() string {
	least := ""
	if o.LowerBound {
		least = "at least "
	}
	s := fmt.Sprintf("%s %s, %s%d of %d done", o.Date, o.Result, least, o.Completed, o.Jobs)
	if o.Result == ResultLate {
		s += fmt.Sprintf(", %v late", (time.Duration(o.LateMs) * time.Millisecond).Round(time.Second))
	}
	return s
}

// UnderWay says whether a night is not decided yet.
func (b *Schedule) HasOpenWindows() bool { return len(b.record.Windows) > 0 }

// Promised lists the nights that are not decided yet.
func (b *Schedule) OpenWindows() []Window {
	var out []Window
	for i := range b.record.Windows {
		h := &b.record.Windows[i]
		out = append(out, Window{Date: h.Date, Start: time.UnixMilli(h.StartMs), Deadline: time.UnixMilli(h.DeadlineMs), Opening: time.UnixMilli(h.OpeningMs)})
	}
	return out
}

// Count is how many jobs are known of a night, those cancelled left out, and how
// many of them are not known to be over.
func (b *Schedule) JobCounts(date string) (all, left int) {
	h := b.find(date)
	if h == nil {
		return 0, 0
	}
	return b.jobCount(h), b.openJobCount(h)
}
