// Lookup of batch windows from the openings, holidays and exceptions of regions.

package calendar

import (
	"fmt"
	"slices"
	"time"

	"github.com/rickar/cal/v2"
)

// Calendar finds the batch windows of all regions. Lookups fill a cache of holidays, so only one
// goroutine at a time may use a Calendar.
type Calendar struct{ Regions []*Region }

// Region is a region of a calendar, with the opening hours of its office and its work.
type Region struct {
	Name string

	location       *time.Location
	weeklyOpenings map[time.Weekday]timeOfDay
	exceptions     map[string]*timeOfDay // by date; nil: closed
	holidays       []*cal.Holiday
	holidayDates   map[string]bool // dates in the years of holidayYears
	holidayYears   map[int]bool    // years whose holidays are loaded
	evening        timeOfDay
	margin         time.Duration
	work           []Work
}

// Window is a batch window: the time before an opening in which jobs for that opening are
// accepted. Date is the local date of the opening and identifies the window within its region.
type Window struct {
	Date                     string
	Start, Deadline, Opening time.Time
}

// isNone reports whether a window is the zero value, which means "no window".
func (w Window) isNone() bool { return w.Date == "" }

// openingHorizonDays is the number of days within which the next and the previous opening are
// searched for.
const openingHorizonDays = 62

// New returns a calendar for settings that Check has accepted. For other settings it returns an
// error if a time or a time zone can't be parsed.
func New(s *Settings) (*Calendar, error) {
	c := &Calendar{}
	for i := range s.Regions {
		r, err := newRegion(&s.Regions[i])
		if err != nil {
			return nil, fmt.Errorf("calendar.regions[%d]: %w", i, err)
		}
		c.Regions = append(c.Regions, r)
	}
	return c, nil
}

func newRegion(s *RegionSettings) (*Region, error) {
	location, err := time.LoadLocation(s.Zone)
	if err != nil {
		return nil, err
	}
	r := &Region{Name: s.Name, location: location, weeklyOpenings: map[time.Weekday]timeOfDay{}, exceptions: map[string]*timeOfDay{},
		holidays: holidaysByCountry[s.Holidays], holidayDates: map[string]bool{}, holidayYears: map[int]bool{}, margin: s.margin(), work: s.Work}
	if r.evening, err = parseTimeOfDay(s.Evening); err != nil {
		return nil, err
	}
	for weekday, opening := range s.Open {
		if r.weeklyOpenings[weekdays[weekday]], err = parseTimeOfDay(opening); err != nil {
			return nil, err
		}
	}
	for _, e := range s.Exceptions {
		r.exceptions[e.Date] = nil
		if e.Open != "" {
			opening, err := parseTimeOfDay(e.Open)
			if err != nil {
				return nil, err
			}
			r.exceptions[e.Date] = &opening
		}
	}
	return r, nil
}

// Region returns the region with the given name, or nil if there is none.
func (c *Calendar) Region(name string) *Region {
	if i := slices.IndexFunc(c.Regions, func(r *Region) bool { return r.Name == name }); i >= 0 {
		return c.Regions[i]
	}
	return nil
}

// WindowFor returns the batch window of a job and the window's region, or false if there is none.
// If the work of several regions matches the job, the window with the earliest deadline wins. The
// result depends only on the arguments and the settings, so every leader finds the same window.
func (c *Calendar) WindowFor(acceptedAt time.Time, job JobAttributes) (*Region, Window, bool) {
	var region *Region
	var window Window
	for _, r := range c.Regions {
		if !slices.ContainsFunc(r.work, func(w Work) bool { return w.Matches(job) }) {
			continue
		}
		if w, ok := r.WindowAt(acceptedAt); ok && (region == nil || w.Deadline.Before(window.Deadline)) {
			region, window = r, w
		}
	}
	return region, window, region != nil
}

// WindowAt returns the batch window that contains t, or false if there is none. For example, no
// window contains the times between a deadline and the evening after the opening.
func (r *Region) WindowAt(t time.Time) (Window, bool) {
	date := r.localDate(t)
	for range openingHorizonDays {
		opening, ok := r.opening(date)
		if !ok || !opening.After(t) {
			date = date.AddDate(0, 0, 1)
			continue
		}
		w, ok := r.windowBefore(date, opening)
		return w, ok && !t.Before(w.Start) && t.Before(w.Deadline)
	}
	return Window{}, false
}

// WindowOn returns the batch window before the opening on a date such as "2027-01-31". The result
// is false if there is no window or the date is malformed.
func (r *Region) WindowOn(date string) (Window, bool) {
	parsed, err := time.Parse(dateLayout, date)
	if err != nil {
		return Window{}, false
	}
	opening, ok := r.opening(parsed)
	if !ok {
		return Window{}, false
	}
	return r.windowBefore(parsed, opening)
}

// NextWindow returns the batch window of the first opening after t that has one, or false if there
// is none within openingHorizonDays.
func (r *Region) NextWindow(t time.Time) (Window, bool) {
	date := r.localDate(t)
	for k := range openingHorizonDays {
		if w, ok := r.WindowOn(date.AddDate(0, 0, k).Format(dateLayout)); ok && w.Opening.After(t) {
			return w, true
		}
	}
	return Window{}, false
}

// windowBefore returns the batch window of an opening on a date. The window starts on the first
// evening after the previous opening, for example on Friday evening for an opening on Monday. If
// there is no previous opening, it starts openingHorizonDays earlier. The result is false if the
// deadline is not after the start.
func (r *Region) windowBefore(date time.Time, opening time.Time) (Window, bool) {
	w := Window{Date: date.Format(dateLayout), Deadline: opening.Add(-r.margin), Opening: opening}
	w.Start = r.localTime(date.AddDate(0, 0, -openingHorizonDays), r.evening)
	for k := 1; k < openingHorizonDays; k++ {
		earlier := date.AddDate(0, 0, -k)
		previous, ok := r.opening(earlier)
		if !ok {
			continue
		}
		if w.Start = r.localTime(earlier, r.evening); w.Start.Before(previous) {
			w.Start = r.localTime(earlier.AddDate(0, 0, 1), r.evening)
		}
		break
	}
	return w, w.Start.Before(w.Deadline)
}

// opening returns the time at which the office opens on a date, or false if it is closed.
func (r *Region) opening(date time.Time) (time.Time, bool) {
	name := date.Format(dateLayout)
	if opening, ok := r.exceptions[name]; ok {
		if opening == nil {
			return time.Time{}, false
		}
		return r.localTime(date, *opening), true
	}
	r.loadHolidays(date.Year())
	opening, ok := r.weeklyOpenings[date.Weekday()]
	if !ok || r.holidayDates[name] {
		return time.Time{}, false
	}
	return r.localTime(date, opening), true
}

// loadHolidays adds the holidays of a year to holidayDates, once for each year.
func (r *Region) loadHolidays(year int) {
	if r.holidayYears[year] {
		return
	}
	r.holidayYears[year] = true
	for _, h := range r.holidays {
		if _, observed := h.Calc(year); !observed.IsZero() {
			r.holidayDates[observed.Format(dateLayout)] = true
		}
	}
}

// localDate returns the region's local date at t, as midnight UTC. Dates are calculated in UTC,
// where each day has 24 hours.
func (r *Region) localDate(t time.Time) time.Time {
	y, m, d := t.In(r.location).Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}

// offsetProbe is the distance before and after a local time, read as UTC, at which the zone's
// offsets are looked up. Offsets are at most 14 hours, so the two probes lie before and after the
// local time in any zone.
const offsetProbe = 26 * time.Hour

// localTime returns the instant of a local time in the region. If a change of the zone's offset
// repeats the local time, the result is the first occurrence. If the change skips the local time,
// the result is the instant of the change.
func (r *Region) localTime(date time.Time, clock timeOfDay) time.Time {
	wall := date.Add(time.Duration(clock))
	var first, skipped time.Time
	for _, near := range []time.Time{wall.Add(-offsetProbe), wall.Add(offsetProbe)} {
		_, offset := near.In(r.location).Zone()
		t := wall.Add(-time.Duration(offset) * time.Second)
		_, actual := t.In(r.location).Zone()
		if actual == offset && (first.IsZero() || t.Before(first)) {
			first = t
		}
		if skipped.IsZero() || t.Before(skipped) {
			skipped = t
		}
	}
	if first.IsZero() {
		_, first = skipped.In(r.location).ZoneBounds()
	}
	return first.UTC()
}
