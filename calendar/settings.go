// Package calendar manages batch windows. A batch window is the time before an office opens in
// which jobs for that opening are accepted. The package finds the window of a job and the deadline
// of the window's jobs. It forecasts their completion, computes how many more places are needed,
// and decides whether the deadline was met. A place is room for one task.
//
// Apart from Print, the package does no I/O. It never reads the clock: times are passed in. The
// leader's model (package cluster) uses the package. The leader stores each region's Record. The
// next leader continues from the records, and the operators' tools read them. A Calendar or a
// Schedule may be used by only one goroutine at a time. docs/calendar.md explains the rules.
package calendar

import (
	"fmt"
	"path"
	"slices"
	"time"
	_ "time/tzdata" // the host may lack a time zone database
)

// Settings is the calendar section of the operators' plan.
type Settings struct {
	Regions []RegionSettings `toml:"regions"`
}

// RegionSettings holds the opening hours of one region's office and the work that must be
// completed before the office opens.
type RegionSettings struct {
	Name       string            `toml:"name"`
	Zone       string            `toml:"zone"`       // IANA time zone
	Open       map[string]string `toml:"open"`       // local opening time ("08:00") by day ("mon" to "sun"); closed on missing days
	Holidays   string            `toml:"holidays"`   // code of the country whose public holidays close the office; "" for none
	Exceptions []Exception       `toml:"exceptions"` // take precedence over Open and Holidays
	Evening    string            `toml:"evening"`    // local time at which a batch window begins
	MarginS    float64           `toml:"margin_s"`   // seconds from the deadline to the opening
	Work       []Work            `toml:"work"`       // a job belongs to the region if any element matches it
}

// Exception is a date on which the office opens at a different time or stays closed.
type Exception struct {
	Date string `toml:"date"` // "2027-01-02"
	Open string `toml:"open"` // empty: closed
}

// Work is a filter for jobs. Every non-empty field must match. Images holds glob patterns, of
// which at least one must match.
type Work struct {
	Class  string   `toml:"class"`
	Team   string   `toml:"team"`
	Zone   string   `toml:"zone"`
	Images []string `toml:"images"`
}

// JobAttributes holds the properties of a job that Work compares.
type JobAttributes struct {
	Class, Team, Zone, Image string
}

// Matches reports whether a job passes the filter.
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

// timeOfDay is a local time of day as the duration since midnight.
type timeOfDay time.Duration

func parseTimeOfDay(s string) (timeOfDay, error) {
	t, err := time.Parse(clockLayout, s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time of day such as 08:00", s)
	}
	return timeOfDay(t.Sub(t.Truncate(day))), nil
}

// margin returns the time from the deadline to the opening.
func (s *RegionSettings) margin() time.Duration {
	return time.Duration(s.MarginS * float64(time.Second))
}
