package calendar

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
)

const offices = `
[[regions]]
name = "brussels"
zone = "Europe/Brussels"
open = { mon = "08:00", tue = "08:00", wed = "08:00", thu = "08:00", fri = "08:00" }
holidays = "be"
exceptions = [ { date = "2027-03-28", open = "02:30" }, { date = "2027-05-14" }, { date = "2027-10-31", open = "02:30" } ]
evening = "18:00"
margin_s = 1800
work = [ { class = "tiles", images = ["tiles-*"] } ]

[[regions]]
name = "tunis"
zone = "Africa/Tunis"
open = { mon = "00:05", tue = "00:05", wed = "00:05" }
evening = "20:00"
margin_s = 0
work = [ { team = "sfax" }, { class = "tiles", zone = "b" } ]
`

func parseSettings(t *testing.T, text string) *Settings {
	t.Helper()
	var s Settings
	if _, err := toml.Decode(text, &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

func newTestCalendar(t *testing.T, text string) *Calendar {
	t.Helper()
	s := parseSettings(t, text)
	if errs := s.Check([]string{"a", "b"}, []string{"core", "sfax"}); len(errs) > 0 {
		t.Fatal(errs)
	}
	c, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func parseTime(t *testing.T, s string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// Guards against wrong windows at weekends, holidays and exceptions, at changes of daylight saving
// time, and at the first and last second of a window.
func TestWindowAtOnSpecialDates(t *testing.T) {
	c := newTestCalendar(t, offices)
	for _, tc := range []struct{ region, at, date, from, promise string }{
		{"brussels", "2027-01-12T21:00:00+01:00", "2027-01-13", "2027-01-12T18:00:00+01:00", "2027-01-13T07:30:00+01:00"},
		{"brussels", "2027-01-12T18:00:00+01:00", "2027-01-13", "2027-01-12T18:00:00+01:00", "2027-01-13T07:30:00+01:00"},
		{"brussels", "2027-01-12T17:59:59+01:00", "", "", ""}, // before the evening
		{"brussels", "2027-01-13T07:30:00+01:00", "", "", ""}, // at the deadline
		// From Friday evening to Monday.
		{"brussels", "2027-01-16T12:00:00+01:00", "2027-01-18", "2027-01-15T18:00:00+01:00", "2027-01-18T07:30:00+01:00"},
		// New Year's Day is a Friday, followed by a weekend.
		{"brussels", "2027-01-01T09:00:00+01:00", "2027-01-04", "2026-12-31T18:00:00+01:00", "2027-01-04T07:30:00+01:00"},
		// Ascension Day is a holiday. The Friday of the next week is an exception.
		{"brussels", "2027-05-06T09:00:00+02:00", "2027-05-07", "2027-05-05T18:00:00+02:00", "2027-05-07T07:30:00+02:00"},
		{"brussels", "2027-05-14T09:00:00+02:00", "2027-05-18", "2027-05-13T18:00:00+02:00", "2027-05-18T07:30:00+02:00"},
		// Daylight saving time begins in this window and skips 02:30, so the office opens at the change.
		{"brussels", "2027-03-27T20:00:00+01:00", "2027-03-28", "2027-03-26T18:00:00+01:00", "2027-03-28T02:30:00+02:00"},
		// Daylight saving time ends in this window and repeats 02:30. The first one counts.
		{"brussels", "2027-10-30T20:00:00+02:00", "2027-10-31", "2027-10-29T18:00:00+02:00", "2027-10-31T02:00:00+02:00"},
		// Easter Monday is a holiday.
		{"brussels", "2027-03-28T20:00:00+02:00", "2027-03-30", "2027-03-28T18:00:00+02:00", "2027-03-30T07:30:00+02:00"},
		// The opening is just after midnight, in a zone without daylight saving time.
		{"tunis", "2027-03-28T23:59:00+01:00", "2027-03-29", "2027-03-24T20:00:00+01:00", "2027-03-29T00:05:00+01:00"},
		{"tunis", "2027-03-29T19:59:00+01:00", "", "", ""},
		{"tunis", "2027-03-30T00:04:59+01:00", "2027-03-30", "2027-03-29T20:00:00+01:00", "2027-03-30T00:05:00+01:00"},
	} {
		at := parseTime(t, tc.at)
		window, ok := c.Region(tc.region).WindowAt(at)
		if !ok {
			window = Window{}
		}
		if window.Date != tc.date || tc.date != "" && (!window.Start.Equal(parseTime(t, tc.from)) || !window.Deadline.Equal(parseTime(t, tc.promise))) {
			t.Errorf("%s at %s: got %+v, want window %s from %s until %s", tc.region, tc.at, window, tc.date, tc.from, tc.promise)
		}
	}
}

// Guards against gaps and overlaps between windows. At every hour of two years, lookups by time,
// by date and of the next window must agree, and openings must not go back in time.
func TestEveryHourBelongsToOneWindowAtMost(t *testing.T) {
	c := newTestCalendar(t, offices)
	for _, r := range c.Regions {
		last := time.Time{}
		for at := parseTime(t, "2026-12-01T00:10:00Z"); at.Year() < 2029; at = at.Add(time.Hour) {
			next, ok := r.NextWindow(at)
			if !ok || !next.Opening.After(at) || next.Opening.Before(last) {
				t.Fatalf("%s: next window after %v: got %+v, %v", r.Name, at, next, ok)
			}
			last = next.Opening
			window, ok := r.WindowAt(at)
			if ok != (!at.Before(next.Start) && at.Before(next.Deadline)) || ok && window != next {
				t.Fatalf("%s: window at %v: got %+v, %v with next window %+v", r.Name, at, window, ok, next)
			}
			if on, ok := r.WindowOn(next.Date); !ok || on != next {
				t.Fatalf("%s: window on %s: got %+v, want %+v", r.Name, next.Date, on, next)
			}
		}
	}
}

// Guards against work assigned to a wrong region. If several regions match a job, the one with the
// earliest deadline counts.
func TestWindowForPicksEarliestDeadline(t *testing.T) {
	c := newTestCalendar(t, offices)
	for _, tc := range []struct{ class, team, zone, image, want string }{
		{"tiles", "core", "", "tiles-7", "brussels"},
		{"tiles", "core", "", "other", ""},
		{"tiles", "core", "b", "tiles-7", "tunis"},
		{"maps", "sfax", "", "x", "tunis"},
		{"maps", "core", "b", "tiles-7", ""},
	} {
		r, _, ok := c.WindowFor(parseTime(t, "2027-01-12T21:00:00Z"), JobAttributes{tc.class, tc.team, tc.zone, tc.image})
		if ok != (tc.want != "") || ok && r.Name != tc.want {
			t.Errorf("%+v: got %v, %v", tc, r, ok)
		}
	}
}

// Guards against invalid settings that are accepted, and against errors that don't name the field.
func TestCheckNamesEachInvalidField(t *testing.T) {
	for _, tc := range []struct{ old, new, want string }{
		{`"Europe/Brussels"`, `"Europe/Brusels"`, "calendar.regions[0].zone:"},
		{`"Europe/Brussels"`, `"Local"`, "calendar.regions[0].zone:"},
		{`name = "tunis"`, `name = "brussels"`, "calendar.regions[1].name: calendar.regions[0] is called"},
		{`name = "tunis"`, `name = "Tunis/1"`, "calendar.regions[1].name:"},
		{`tue = "08:00"`, `tue = "8h"`, "calendar.regions[0].open.tue:"},
		{`tue = "08:00"`, `tues = "08:00"`, "calendar.regions[0].open.tues: is not a day"},
		{`holidays = "be"`, `holidays = "xx"`, "calendar.regions[0].holidays:"},
		{`"2027-05-14"`, `"2027-05-34"`, "calendar.regions[0].exceptions[1].date:"},
		{`"2027-05-14"`, `"2027-03-28"`, "calendar.regions[0].exceptions[1].date: calendar.regions[0].exceptions[0] speaks of"},
		{`evening = "20:00"`, `evening = "25:00"`, "calendar.regions[1].evening:"},
		{`evening = "20:00"`, `evening = "00:05"`, "calendar.regions[1].open.mon: opens at the evening hour"},
		{`margin_s = 1800`, `margin_s = 50400`, "calendar.regions[0].margin_s: 14h0m0s before the opening"},
		{`margin_s = 1800`, `margin_s = -1`, "calendar.regions[0].margin_s:"},
		{`team = "sfax"`, `team = "sfix"`, "calendar.regions[1].work[0].team:"},
		{`zone = "b"`, `zone = "q"`, "calendar.regions[1].work[1].zone:"},
		{`"tiles-*"`, `"tiles-["`, "calendar.regions[0].work[0].images[0]:"},
		{`{ team = "sfax" }`, `{}`, "calendar.regions[1].work[0]: without"},
		{`{ team = "sfax" }`, `{ class = "tiles", images = ["tiles-*"] }`, "calendar.regions[1].work[0]: is the same as calendar.regions[0].work[0]"},
		{`open = { mon = "00:05", tue = "00:05", wed = "00:05" }`, ``, "calendar.regions[1].open: the office never opens"},
		{`work = [ { team = "sfax" }, { class = "tiles", zone = "b" } ]`, ``, "calendar.regions[1].work: nothing belongs"},
	} {
		if !strings.Contains(offices, tc.old) {
			t.Fatalf("settings don't contain %s", tc.old)
		}
		errs := parseSettings(t, strings.ReplaceAll(offices, tc.old, tc.new)).Check([]string{"a", "b"}, []string{"core", "sfax"})
		if len(errs) == 0 || !strings.Contains(fmt.Sprint(errs), tc.want) {
			t.Errorf("with %s: got errors %v, want %s", tc.new, errs, tc.want)
		}
	}
}
