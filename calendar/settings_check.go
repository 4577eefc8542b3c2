// Validation of the calendar settings in the operators' plan.

package calendar

import (
	"fmt"
	"maps"
	"path"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits of a calendar. maxRegions also bounds the number of stored records.
const (
	maxRegions    = 16
	maxWork       = 32
	maxExceptions = 400
	maxImages     = 32
)

var regionName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// Check returns all errors in the settings, each with the path of its field, or nil if there are
// none. zones and teams are the names defined in the platform's settings (config.Settings).
func (s *Settings) Check(zones, teams []string) []error {
	c := &checker{zones: zones, teams: teams}
	c.limit("calendar.regions", len(s.Regions), maxRegions)
	regionIndex, workFields := map[string]int{}, map[string]string{}
	for i := range s.Regions {
		r := &s.Regions[i]
		field := fmt.Sprintf("calendar.regions[%d]", i)
		if !regionName.MatchString(r.Name) {
			c.fail(field+".name", "%q is not made of up to 32 of a-z, 0-9 and -", r.Name)
		}
		if k, ok := regionIndex[r.Name]; ok {
			c.fail(field+".name", "calendar.regions[%d] is called %q already", k, r.Name)
		}
		regionIndex[r.Name] = i
		c.checkRegion(field, r)
		c.checkWork(field, r, workFields)
	}
	return c.errs
}

// checker collects errors in the settings.
type checker struct {
	zones, teams []string
	errs         []error
}

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

func (c *checker) limit(field string, n, most int) {
	if n > most {
		c.fail(field, "%d, and at most %d are taken", n, most)
	}
}

func (c *checker) checkTimeOfDay(field, s string) (timeOfDay, bool) {
	t, err := parseTimeOfDay(s)
	if err != nil {
		c.fail(field, "%v", err)
	}
	return t, err == nil
}

func (c *checker) checkRegion(field string, r *RegionSettings) {
	if location, err := time.LoadLocation(r.Zone); err != nil || r.Zone == "" || location == time.Local {
		c.fail(field+".zone", "%q is not a time zone's name such as Europe/Brussels", r.Zone)
	}
	if r.Holidays != "" && holidaysByCountry[r.Holidays] == nil {
		c.fail(field+".holidays", "no holidays of %q are known, but of %s; give others as exceptions", r.Holidays, strings.Join(slices.Sorted(maps.Keys(holidaysByCountry)), ", "))
	}
	openings := c.newOpeningCheck(field, r)
	for _, weekday := range slices.Sorted(maps.Keys(r.Open)) {
		dayField := field + ".open." + weekday
		if _, known := weekdays[weekday]; !known {
			c.fail(dayField, "is not a day: mon, tue, wed, thu, fri, sat, sun")
		}
		openings.check(dayField, r.Open[weekday])
	}
	c.checkExceptions(field, r, openings)
	if openings.count == 0 {
		c.fail(field+".open", "the office never opens: nothing could be promised")
	}
}

func (c *checker) checkExceptions(field string, r *RegionSettings, openings *openingCheck) {
	c.limit(field+".exceptions", len(r.Exceptions), maxExceptions)
	dateIndex := map[string]int{}
	for k, e := range r.Exceptions {
		exceptionField := fmt.Sprintf("%s.exceptions[%d]", field, k)
		if d, err := time.Parse(dateLayout, e.Date); err != nil || d.Format(dateLayout) != e.Date {
			c.fail(exceptionField+".date", "%q is not a date such as 2027-01-31", e.Date)
		}
		if first, ok := dateIndex[e.Date]; ok {
			c.fail(exceptionField+".date", "%s.exceptions[%d] speaks of %s already", field, first, e.Date)
		}
		dateIndex[e.Date] = k
		if e.Open != "" {
			openings.check(exceptionField+".open", e.Open)
		}
	}
}

// openingCheck validates the openings of a region. The deadline must be later than the preceding
// evening, when the batch window starts.
type openingCheck struct {
	checker *checker
	field   string // of the region
	region  *RegionSettings
	evening timeOfDay
	usable  bool // the evening and the margin are each valid
	count   int  // number of openings checked
}

// newOpeningCheck validates the evening and the margin of a region.
func (c *checker) newOpeningCheck(field string, r *RegionSettings) *openingCheck {
	evening, usable := c.checkTimeOfDay(field+".evening", r.Evening)
	if !(r.MarginS >= 0 && r.MarginS < day.Seconds()) { // the negated form also rejects NaN
		c.fail(field+".margin_s", "%v is not between 0 and a day", r.MarginS)
		usable = false
	}
	return &openingCheck{checker: c, field: field, region: r, evening: evening, usable: usable}
}

// check validates an opening against the preceding evening.
func (o *openingCheck) check(field, opening string) {
	o.count++
	opensAt, valid := o.checker.checkTimeOfDay(field, opening)
	if !o.usable || !valid {
		return
	}
	margin := o.region.margin()
	switch length := time.Duration((opensAt - o.evening + timeOfDay(day)) % timeOfDay(day)); {
	case length == 0:
		o.checker.fail(field, "opens at the evening hour: every hour would be night")
	case margin >= length:
		o.checker.fail(o.field+".margin_s", "%v before the opening at %s (%s) is not after the evening hour %s: nothing could be promised",
			margin, opening, field, o.region.Evening)
	}
}

// checkWork validates a region's work. fields maps each Work seen so far in any region to its
// field path, to find duplicates.
func (c *checker) checkWork(field string, r *RegionSettings, fields map[string]string) {
	if len(r.Work) == 0 {
		c.fail(field+".work", "nothing belongs to the region")
	}
	c.limit(field+".work", len(r.Work), maxWork)
	for k, w := range r.Work {
		workField := fmt.Sprintf("%s.work[%d]", field, k)
		if w.Class == "" && w.Team == "" && w.Zone == "" && len(w.Images) == 0 {
			c.fail(workField, "without a class, a team, a zone or images, all work would belong")
		}
		if w.Team != "" && !slices.Contains(c.teams, w.Team) {
			c.fail(workField+".team", "the platform's settings name no team %q", w.Team)
		}
		if w.Zone != "" && !slices.Contains(c.zones, w.Zone) {
			c.fail(workField+".zone", "the platform's settings name no zone %q", w.Zone)
		}
		c.limit(workField+".images", len(w.Images), maxImages)
		for n, pattern := range w.Images {
			if _, err := path.Match(pattern, ""); err != nil || pattern == "" {
				c.fail(fmt.Sprintf("%s.images[%d]", workField, n), "%q is not a pattern such as tiles-*", pattern)
			}
		}
		key := fmt.Sprintf("%q", w)
		if other, ok := fields[key]; ok {
			c.fail(workField, "is the same as %s: a job belongs to one region", other)
			continue
		}
		fields[key] = workField
	}
}
