package calendar

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// View is what an operator is shown of a region.
type View struct {
	Record
	Zone          string `json:"zone"`
	NextOpeningMs int64  `json:"next_opening_ms"` // 0: none within two months
	Stale         bool   `json:"stale"`           // a night is under way, and nobody has looked after the record lately
}

// NoteOf names a region's record among those of the plan's parts.
func RecordName(region string) string { return "night." + region }

// staleAfter is longer than a leader that leads leaves a night's record as it is,
// also where records are written slowly.
const staleAfter = 3 * time.Minute

// View shows a record of the region's as it is now.
func (r *Region) View(rec Record, now time.Time) View {
	rec.Region = r.Name
	v := View{Record: rec, Zone: r.loc.String()}
	if n, ok := r.NextWindow(now); ok {
		v.NextOpeningMs = n.Opening.UnixMilli()
	}
	v.Stale = len(rec.Windows) > 0 && now.Sub(time.UnixMilli(rec.SavedAtMs)) > staleAfter
	return v
}

// Print writes regions as a table: of each, the nights under way and the last ones.
func Print(out io.Writer, views []View, past int) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for i := range views {
		v := &views[i]
		loc, err := time.LoadLocation(v.Zone)
		if err != nil {
			loc = time.UTC
		}
		clock := func(ms int64) string { return time.UnixMilli(ms).In(loc).Format("Mon 02 Jan 15:04 MST") }
		head, opens := v.Region, "does not open within two months"
		if v.NextOpeningMs != 0 {
			opens = "opens " + clock(v.NextOpeningMs)
		}
		if v.Stale {
			opens += "; STALE: as of " + time.UnixMilli(v.SavedAtMs).In(loc).Format(time.RFC3339) + ", nobody looks after it"
		}
		if len(v.Windows) == 0 {
			opens += ", nothing is waited for"
		}
		fmt.Fprintf(w, "%s\t%s\n", head, opens)
		for k := range v.Windows {
			n := &v.Windows[k]
			fmt.Fprintf(w, "\t%s: opens %s, promised for %s: %s\n", n.Date, clock(n.OpeningMs), clock(n.DeadlineMs), n.counts())
			fmt.Fprintf(w, "\t  %s\n", n.Forecast.format(clock))
			for _, r := range n.Reforecasts {
				finish := "never, as things are"
				if r.FinishMs != 0 {
					finish = clock(r.FinishMs)
				}
				fmt.Fprintf(w, "\t  %s %s: finish %s; jobs %d, machines %d\n", clock(r.AtMs), r.Cause, finish, r.Jobs, r.Machines)
			}
			if more := n.ReforecastCount - len(n.Reforecasts); more > 0 {
				fmt.Fprintf(w, "\t  %d earlier forecasts are not kept\n", more)
			}
		}
		for _, o := range v.Past[max(0, len(v.Past)-past):] {
			fmt.Fprintf(w, "\t%s\n", o.String())
		}
	}
	return w.Flush()
}

// counts says how much of a night is whole.
func (n *OpenWindow) counts() string {
	least := ""
	if n.LowerBound {
		least = "at least "
	}
	s := fmt.Sprintf("%s%d of %d jobs done", least, n.Completed, n.JobCount())
	if n.Lost > 0 {
		s += fmt.Sprintf(", %d lost", n.Lost)
	}
	return s
}

func (e *ForecastRecord) format(clock func(int64) string) string {
	switch {
	case e.MadeAtMs == 0:
		return "no forecast yet"
	case e.FinishMs == 0:
		return "AT RISK: " + e.Reason
	}
	s := "finish " + clock(e.FinishMs)
	if e.LatestStartMs != 0 {
		s += ", latest start " + clock(e.LatestStartMs)
	}
	if e.AtRisk {
		s = "AT RISK: " + s + ": " + e.Reason
	}
	return s
}
