// The view of a region's record for operators, as JSON and as a printed table.

package calendar

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// View is a region's record as shown to operators.
type View struct {
	Record
	Zone          string `json:"zone"`
	NextOpeningMs int64  `json:"next_opening_ms"` // 0: none within openingHorizonDays
	Stale         bool   `json:"stale"`           // a batch window is open and the record is older than staleAfter
}

// staleAfter exceeds the interval at which a leader writes the record of an open batch window,
// with an allowance for slow writes.
const staleAfter = 3 * time.Minute

// View returns the view of the region's record at a time.
func (r *Region) View(record Record, now time.Time) View {
	record.Region = r.Name
	v := View{Record: record, Zone: r.location.String()}
	if next, ok := r.NextWindow(now); ok {
		v.NextOpeningMs = next.Opening.UnixMilli()
	}
	v.Stale = len(record.Windows) > 0 && now.Sub(time.UnixMilli(record.SavedAtMs)) > staleAfter
	return v
}

// Print writes views as a table. For each region it lists the open batch windows and at most
// maxPast past outcomes, the most recent last. It returns the error of writing to out.
func Print(out io.Writer, views []View, maxPast int) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for i := range views {
		v := &views[i]
		location, err := time.LoadLocation(v.Zone)
		if err != nil {
			location = time.UTC
		}
		p := regionPrinter{out: w, location: location}
		p.printHead(v)
		for k := range v.Windows {
			p.printWindow(&v.Windows[k])
		}
		for _, o := range v.Past[max(0, len(v.Past)-maxPast):] {
			fmt.Fprintf(w, "\t%s\n", o.String())
		}
	}
	return w.Flush()
}

// regionPrinter prints a region with times in its time zone.
type regionPrinter struct {
	out      io.Writer
	location *time.Location
}

func (p *regionPrinter) format(ms int64) string {
	return time.UnixMilli(ms).In(p.location).Format("Mon 02 Jan 15:04 MST")
}

func (p *regionPrinter) printHead(v *View) {
	opens := "does not open within two months"
	if v.NextOpeningMs != 0 {
		opens = "opens " + p.format(v.NextOpeningMs)
	}
	if v.Stale {
		opens += "; STALE: as of " + time.UnixMilli(v.SavedAtMs).In(p.location).Format(time.RFC3339) + ", nobody looks after it"
	}
	if len(v.Windows) == 0 {
		opens += ", nothing is waited for"
	}
	fmt.Fprintf(p.out, "%s\t%s\n", v.Region, opens)
}

func (p *regionPrinter) printWindow(w *OpenWindow) {
	fmt.Fprintf(p.out, "\t%s: opens %s, promised for %s: %s\n", w.Date, p.format(w.OpeningMs), p.format(w.DeadlineMs), w.countsText())
	fmt.Fprintf(p.out, "\t  %s\n", p.forecastText(&w.Forecast))
	for _, r := range w.Reforecasts {
		finish := "never, as things are"
		if r.FinishMs != 0 {
			finish = p.format(r.FinishMs)
		}
		fmt.Fprintf(p.out, "\t  %s %s: finish %s; jobs %d, machines %d\n", p.format(r.AtMs), r.Cause, finish, r.Jobs, r.Machines)
	}
	if more := w.ReforecastCount - len(w.Reforecasts); more > 0 {
		fmt.Fprintf(p.out, "\t  %d earlier forecasts are not kept\n", more)
	}
}

func (p *regionPrinter) forecastText(f *ForecastRecord) string {
	switch {
	case f.MadeAtMs == 0:
		return "no forecast yet"
	case f.FinishMs == 0:
		return "AT RISK: " + f.Reason
	}
	s := "finish " + p.format(f.FinishMs)
	if f.LatestStartMs != 0 {
		s += ", latest start " + p.format(f.LatestStartMs)
	}
	if f.AtRisk {
		s = "AT RISK: " + s + ": " + f.Reason
	}
	return s
}

// countsText returns a text with the numbers of completed, total and lost jobs.
func (w *OpenWindow) countsText() string {
	qualifier := ""
	if w.LowerBound {
		qualifier = "at least "
	}
	s := fmt.Sprintf("%s%d of %d jobs done", qualifier, w.Completed, w.JobCount())
	if w.Lost > 0 {
		s += fmt.Sprintf(", %d lost", w.Lost)
	}
	return s
}
