// The public holidays of the supported countries.

package calendar

import (
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

// holidaysByCountry maps the country codes accepted in RegionSettings.Holidays to the country's
// public holidays.
var holidaysByCountry = map[string][]*cal.Holiday{
	"at": at.Holidays, "be": be.Holidays, "ch": ch.Holidays, "de": de.Holidays, "es": es.Holidays, "fr": fr.Holidays,
	"gb": gb.Holidays, "ie": ie.Holidays, "it": it.Holidays, "nl": nl.Holidays, "pl": pl.Holidays, "us": us.Holidays,
}
