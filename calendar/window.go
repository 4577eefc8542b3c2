package calendar

import (
	"fmt"
	"slices"
	"time"

	"github.com/rickar/cal/v2"
)

// Calendar is settings made ready. It remembers the holidays that it has worked
// out, and so belongs to one goroutine at a time.
type Calendar struct{ Regions []*Region }

// Region is a region of a calendar.
type Region struct {
	Name string

	loc        *time.Location
	weekly     map[time.Weekday]timeOfDay
	exceptions map[string]*timeOfDay // nil: closed
	holidays   []*cal.Holiday
	closed     map[string]bool // by date
	years      map[int]bool    // whose holidays are in closed
	evening    timeOfDay
	margin     time.Duration
	work       []Work
}

// Night is the time before an opening in which that opening's work comes. Date is
// the opening's in its region, and names the night.
type Window struct {
	Date                     string
	Start, Deadline, Opening time.Time
}

// horizon is over how many days openings are looked for.
const openingHorizonDays = 62

// New makes settings ready, which must have been checked.
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
	loc, err := time.LoadLocation(s.Zone)
	if err != nil {
		return nil, err
	}
	r := &Region{Name: s.Name, loc: loc, weekly: map[time.Weekday]timeOfDay{}, exceptions: map[string]*timeOfDay{}, holidays: holidaysByCountry[s.Holidays],
		closed: map[string]bool{}, years: map[int]bool{}, margin: time.Duration(s.MarginS * float64(time.Second)), work: s.Work}
	if r.evening, err = parseTimeOfDay(s.Evening); err != nil {
		return nil, err
	}
	for day, at := range s.Open {
		if r.weekly[weekdays[day]], err = parseTimeOfDay(at); err != nil {
			return nil, err
		}
	}
	for _, e := range s.Exceptions {
		r.exceptions[e.Date] = nil
		if e.Open != "" {
			at, err := parseTimeOfDay(e.Open)
			if err != nil {
				return nil, err
			}
			r.exceptions[e.Date] = &at
		}
	}
	return r, nil
}

// Region finds a region by its name.
func (c *Calendar) Region(name string) *Region {
	if i := slices.IndexFunc(c.Regions, func(r *Region) bool { return r.Name == name }); i >= 0 {
		return c.Regions[i]
	}
	return nil
}

// Of finds the night to which a job belongs that was accepted then: that of a
// region which it is work of, and the one promised first where it is work of
// several. It depends on nothing else, so that every leader finds the same.
func (c *Calendar) WindowFor(at time.Time, class, team, zone, image string) (*Region, Window, bool) {
	var in *Region
	var night Window
	for _, r := range c.Regions {
		if !slices.ContainsFunc(r.work, func(w Work) bool { return w.Matches(class, team, zone, image) }) {
			continue
		}
		if n, ok := r.WindowAt(at); ok && (in == nil || n.Deadline.Before(night.Deadline)) {
			in, night = r, n
		}
	}
	return in, night, in != nil
}

// Night is the night that a moment falls into: from the evening hour after an
// opening until what is promised for the next. What comes later than that is
// too late for this opening, and too early for the next.
func (r *Region) WindowAt(t time.Time) (Window, bool) {
	day := r.localDate(t)
	for range openingHorizonDays {
		open, ok := r.opening(day)
		if !ok || !open.After(t) {
			day = day.AddDate(0, 0, 1)
			continue
		}
		n, ok := r.windowBefore(day, open)
		return n, ok && !t.Before(n.Start) && t.Before(n.Deadline)
	}
	return Window{}, false
}

// On is the night before the opening on a date.
func (r *Region) WindowOn(date string) (Window, bool) {
	day, err := time.Parse(dateLayout, date)
	if err != nil {
		return Window{}, false
	}
	open, ok := r.opening(day)
	if !ok {
		return Window{}, false
	}
	return r.windowBefore(day, open)
}

// Next is the night of the next opening that has one.
func (r *Region) NextWindow(t time.Time) (Window, bool) {
	day := r.localDate(t)
	for k := range openingHorizonDays {
		if n, ok := r.WindowOn(day.AddDate(0, 0, k).Format(dateLayout)); ok && n.Opening.After(t) {
			return n, true
		}
	}
	return Window{}, false
}

// before is the night of an opening: it begins at the first evening hour after the
// opening before, on a Friday as a rule where Monday's is the next.
func (r *Region) windowBefore(day time.Time, open time.Time) (Window, bool) {
	n := Window{Date: day.Format(dateLayout), Deadline: open.Add(-r.margin), Opening: open}
	first := day.AddDate(0, 0, -openingHorizonDays)
	n.Start = r.localTime(first, r.evening)
	for k := 1; k < openingHorizonDays; k++ {
		last := day.AddDate(0, 0, -k)
		was, ok := r.opening(last)
		if !ok {
			continue
		}
		if n.Start = r.localTime(last, r.evening); n.Start.Before(was) {
			n.Start = r.localTime(last.AddDate(0, 0, 1), r.evening)
		}
		break
	}
	return n, n.Start.Before(n.Deadline)
}

// opening is when the office opens on a day.
func (r *Region) opening(day time.Time) (time.Time, bool) {
	date := day.Format(dateLayout)
	if at, ok := r.exceptions[date]; ok {
		if at == nil {
			return time.Time{}, false
		}
		return r.localTime(day, *at), true
	}
	if !r.years[day.Year()] {
		r.years[day.Year()] = true
		for _, h := range r.holidays {
			if _, on := h.Calc(day.Year()); !on.IsZero() {
				r.closed[on.Format(dateLayout)] = true
			}
		}
	}
	at, ok := r.weekly[day.Weekday()]
	if !ok || r.closed[date] {
		return time.Time{}, false
	}
	return r.localTime(day, at), true
}

// day is the date in the region, as midnight UTC: days are counted there, where
// each has 24 hours.
func (r *Region) localDate(t time.Time) time.Time {
	y, m, d := t.In(r.loc).Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}

// at is the moment at which clocks in the region show a time. One that they show
// twice is taken for the first, and one that they skip for when they do: an
// office never opens before its night's promise is due.
func (r *Region) localTime(day time.Time, c timeOfDay) time.Time {
	wall := day.Add(time.Duration(c))
	var first, skip time.Time
	for _, near := range []time.Time{wall.Add(-26 * time.Hour), wall.Add(26 * time.Hour)} {
		_, offset := near.In(r.loc).Zone()
		t := wall.Add(-time.Duration(offset) * time.Second)
		_, there := t.In(r.loc).Zone()
		if there == offset && (first.IsZero() || t.Before(first)) {
			first = t
		}
		if skip.IsZero() || t.Before(skip) {
			skip = t
		}
	}
	if first.IsZero() {
		_, first = skip.In(r.loc).ZoneBounds()
	}
	return first.UTC()
}
