// Package calendar says when a region's office opens, which night's work a job
// belongs to, until when that is promised, and whether it will be kept. It does
// no input or output; the time is passed in. docs/calendar.md argues its choices.
package calendar

import (
	"fmt"
	"maps"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // a node's machine may have none

	"github.com/rickar/cal/v2"
	"github.com/rickar/cal/v2/at"
	"github.com/rickar/cal/v2/be"
	"github.com/rickar/cal/v2/ch"
	"github.com/rickar/cal/v2/de"
	"github.com/rickar/cal/v2/es"
	"github.com/rickar/cal/v2/fr"
	"github.com/rickar/cal/v2/gb"
	"github.com/rickar/cal/v2/ie"
	"github.com/rickar/cal/v2/it"
	"github.com/rickar/cal/v2/nl"
	"github.com/rickar/cal/v2/pl"
	"github.com/rickar/cal/v2/us"
)

// Settings is the calendar as operators write it.
type Settings struct {
	Regions []RegionSettings `toml:"regions"`
}

// RegionSettings is one region's offices, and the work that they wait for.
type RegionSettings struct {
	Name       string            `toml:"name"`
	Zone       string            `toml:"zone"`       // IANA's name
	Open       map[string]string `toml:"open"`       // "mon" to "sun": local time, "08:00"; a day that is missing is closed
	Holidays   string            `toml:"holidays"`   // closed on this country's; empty: none
	Exceptions []Exception       `toml:"exceptions"` // stronger than both
	Evening    string            `toml:"evening"`    // local time from which on a night's work comes
	MarginS    float64           `toml:"margin_s"`   // before the opening, by when all must be done
	Work       []Work            `toml:"work"`       // what belongs: whatever one of these matches
}

// Exception is a date on which the office opens at another time, or stays closed.
type Exception struct {
	Date string `toml:"date"` // "2027-01-02"
	Open string `toml:"open"` // empty: closed
}

// Work matches jobs: all of its fields that are not empty must. Images are glob
// patterns, of which one must match.
type Work struct {
	Class  string   `toml:"class"`
	Team   string   `toml:"team"`
	Zone   string   `toml:"zone"`
	Images []string `toml:"images"`
}

// Bounds of a calendar, so that its records are bounded as well.
const (
	maxRegions    = 16
	maxWork       = 32
	maxExceptions = 400
	maxImages     = 32
)

var weekdays = map[string]time.Weekday{
	"sun": time.Sunday, "mon": time.Monday, "tue": time.Tuesday, "wed": time.Wednesday,
	"thu": time.Thursday, "fri": time.Friday, "sat": time.Saturday,
}

var holidaysByCountry = map[string][]*cal.Holiday{
	"at": at.Holidays, "be": be.Holidays, "ch": ch.Holidays, "de": de.Holidays, "es": es.Holidays, "fr": fr.Holidays,
	"gb": gb.Holidays, "ie": ie.Holidays, "it": it.Holidays, "nl": nl.Holidays, "pl": pl.Holidays, "us": us.Holidays,
}

var regionName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

const (
	dateLayout  = "2006-01-02"
	clockLayout = "15:04"
)

// clock is a local time of day, since midnight.
type timeOfDay time.Duration

func parseTimeOfDay(s string) (timeOfDay, error) {
	t, err := time.Parse(clockLayout, s)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time of day such as 08:00", s)
	}
	return timeOfDay(t.Sub(t.Truncate(24 * time.Hour))), nil
}

// Check says all that is wrong, each with its place. zones and teams are those
// of the platform's settings.
func (s *Settings) Check(zones, teams []string) []error {
	c := &checker{zones: zones, teams: teams}
	c.limit("calendar.regions", len(s.Regions), maxRegions)
	names, work := map[string]int{}, map[string]string{}
	for i := range s.Regions {
		r := &s.Regions[i]
		at := fmt.Sprintf("calendar.regions[%d]", i)
		if !regionName.MatchString(r.Name) {
			c.fail(at+".name", "%q is not made of up to 32 of a-z, 0-9 and -", r.Name)
		}
		if k, ok := names[r.Name]; ok {
			c.fail(at+".name", "calendar.regions[%d] is called %q already", k, r.Name)
		}
		names[r.Name] = i
		c.region(at, r)
		c.work(at, r, work)
	}
	return c.errs
}

type checker struct {
	zones, teams []string
	errs         []error
}

func (c *checker) fail(place, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", place, fmt.Sprintf(format, args...)))
}

func (c *checker) limit(place string, n, most int) {
	if n > most {
		c.fail(place, "%d, and at most %d are taken", n, most)
	}
}

func (c *checker) timeOfDay(place, s string) (timeOfDay, bool) {
	t, err := parseTimeOfDay(s)
	if err != nil {
		c.fail(place, "%v", err)
	}
	return t, err == nil
}

func (c *checker) region(at string, r *RegionSettings) {
	if loc, err := time.LoadLocation(r.Zone); err != nil || r.Zone == "" || loc == time.Local {
		c.fail(at+".zone", "%q is not a time zone's name such as Europe/Brussels", r.Zone)
	}
	if r.Holidays != "" && holidaysByCountry[r.Holidays] == nil {
		c.fail(at+".holidays", "no holidays of %q are known, but of %s; give others as exceptions", r.Holidays, strings.Join(slices.Sorted(maps.Keys(holidaysByCountry)), ", "))
	}
	evening, ok := c.timeOfDay(at+".evening", r.Evening)
	margin := time.Duration(r.MarginS * float64(time.Second))
	if !(r.MarginS >= 0 && r.MarginS < 86400) {
		c.fail(at+".margin_s", "%v is not between 0 and a day", r.MarginS)
		ok = false
	}
	// night looks at one opening against the evening before it.
	night := func(place, s string) {
		open, valid := c.timeOfDay(place, s)
		if !ok || !valid {
			return
		}
		switch long := time.Duration((open - evening + timeOfDay(24*time.Hour)) % timeOfDay(24*time.Hour)); {
		case long == 0:
			c.fail(place, "opens at the evening hour: every hour would be night")
		case margin >= long:
			c.fail(at+".margin_s", "%v before the opening at %s (%s) is not after the evening hour %s: nothing could be promised", margin, s, place, r.Evening)
		}
	}
	opens := 0
	for _, day := range slices.Sorted(maps.Keys(r.Open)) {
		place := at + ".open." + day
		if _, known := weekdays[day]; !known {
			c.fail(place, "is not a day: mon, tue, wed, thu, fri, sat, sun")
		}
		opens++
		night(place, r.Open[day])
	}
	c.limit(at+".exceptions", len(r.Exceptions), maxExceptions)
	dates := map[string]int{}
	for k, e := range r.Exceptions {
		place := fmt.Sprintf("%s.exceptions[%d]", at, k)
		if d, err := time.Parse(dateLayout, e.Date); err != nil || d.Format(dateLayout) != e.Date {
			c.fail(place+".date", "%q is not a date such as 2027-01-31", e.Date)
		}
		if first, ok := dates[e.Date]; ok {
			c.fail(place+".date", "%s.exceptions[%d] speaks of %s already", at, first, e.Date)
		}
		dates[e.Date] = k
		if e.Open != "" {
			opens++
			night(place+".open", e.Open)
		}
	}
	if opens == 0 {
		c.fail(at+".open", "the office never opens: nothing could be promised")
	}
}

func (c *checker) work(at string, r *RegionSettings, seen map[string]string) {
	if len(r.Work) == 0 {
		c.fail(at+".work", "nothing belongs to the region")
	}
	c.limit(at+".work", len(r.Work), maxWork)
	for k, w := range r.Work {
		place := fmt.Sprintf("%s.work[%d]", at, k)
		if w.Class == "" && w.Team == "" && w.Zone == "" && len(w.Images) == 0 {
			c.fail(place, "without a class, a team, a zone or images, all work would belong")
		}
		if w.Team != "" && !slices.Contains(c.teams, w.Team) {
			c.fail(place+".team", "the platform's settings name no team %q", w.Team)
		}
		if w.Zone != "" && !slices.Contains(c.zones, w.Zone) {
			c.fail(place+".zone", "the platform's settings name no zone %q", w.Zone)
		}
		c.limit(place+".images", len(w.Images), maxImages)
		for n, p := range w.Images {
			if _, err := path.Match(p, ""); err != nil || p == "" {
				c.fail(fmt.Sprintf("%s.images[%d]", place, n), "%q is not a pattern such as tiles-*", p)
			}
		}
		key := fmt.Sprintf("%q", w)
		if other, ok := seen[key]; ok {
			c.fail(place, "is the same as %s: a job belongs to one region", other)
			continue
		}
		seen[key] = place
	}
}

// Takes says whether a job with these properties is the work meant.
func (w *Work) Matches(class, team, zone, image string) bool {
	if w.Class != "" && w.Class != class || w.Team != "" && w.Team != team || w.Zone != "" && w.Zone != zone {
		return false
	}
	return len(w.Images) == 0 || slices.ContainsFunc(w.Images, func(p string) bool {
		ok, err := path.Match(p, image)
		return ok && err == nil
	})
}
