// Package calendar computes batch windows: the times before an office's openings in which jobs
// for that opening are accepted. It says which window a job belongs to, by when the window's
// jobs must be completed (its deadline), when they are expected to be, how many more places
// (free resources for one task each) that takes, and whether the deadline was met.
//
// The package does no I/O, apart from Print, and never reads the clock: times are passed in. It
// is used by the leader's model (package cluster); the leader stores each region's Record, from
// which the next one continues, and the tools for operators read the same records. A Calendar and a
// Schedule belong to one goroutine at a time. docs/calendar.md has the reasons for its rules.
package calendar

import (
	"fmt"
	"path"
	"slices"
	"time"
	_ "time/tzdata" // a node's machine may have no time zone database
)

// Settings is the calendar in the operators' plan.
type Settings struct {
	Regions []RegionSettings `toml:"regions"`
}

// RegionSettings is one region's office, and the work that must be completed before it opens.
type RegionSettings struct {
	Name       string            `toml:"name"`
	Zone       string            `toml:"zone"`       // IANA time zone
	Open       map[string]string `toml:"open"`       // "mon" to "sun": local time of the opening, "08:00"; closed on missing days
	Holidays   string            `toml:"holidays"`   // country code; closed on its public holidays; empty: none
	Exceptions []Exception       `toml:"exceptions"` // take precedence over Open and Holidays
	Evening    string            `toml:"evening"`    // local time at which a batch window begins
	MarginS    float64           `toml:"margin_s"`   // seconds from the deadline to the opening
	Work       []Work            `toml:"work"`       // a job belongs to the region if one of them matches it
}

// Exception is a date on which the office opens at another time, or stays closed.
type Exception struct {
	Date string `toml:"date"` // "2027-01-02"
	Open string `toml:"open"` // empty: closed
}

// Work matches jobs: each of its fields that is not empty must match. Images are glob
// patterns, of which one must match.
type Work struct {
	Class  string   `toml:"class"`
	Team   string   `toml:"team"`
	Zone   string   `toml:"zone"`
	Images []string `toml:"images"`
}

// JobAttributes are the properties of a job by which Work matches it.
type JobAttributes struct {
	Class, Team, Zone, Image string
}

// Matches reports whether a job is of this work.
func (w *Work) Matches(job JobAttributes) bool {
	if w.Class != "" && w.Class != job.Class || w.Team != "" && w.Team != job.Team || w.Zone != "" && w.Zone != job.Zone {
		return false
	}
	return len(w.Images) == 0 || slices.ContainsFunc(w.Images, func(pattern string) bool {
		ok, err := path.Match(pattern, job.Image)
		return ok && err == nil
	})
}

var weekdays = map[string]time.Weekday{
	"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday,
	"thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday,
}

const (
	dateLayout  = "2006-01-02"
	clockLayout = "15:04"
	day         = 24 * time.Hour
)

// timeOfDay is a local time of day, as the time since midnight.
type timeOfDay time.Duration

func parseTimeOfDay(s string) (timeOfDay, error) {
	t, err := time.Parse(clockLayout, s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time of day such as 08:00", s)
	}
	return timeOfDay(t.Sub(t.Truncate(day))), nil
}

// margin is the time from the deadline to the opening.
func (s *RegionSettings) margin() time.Duration {
	return time.Duration(s.MarginS * float64(time.Second))
}
