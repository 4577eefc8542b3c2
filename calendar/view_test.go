package calendar

import (
	"strings"
	"testing"
	"time"
)

// A record that no leader updates is marked as stale, counts that are lower bounds say so,
// and the reason of a risk is named.
func TestPrintMarksStaleAndIncompleteRecords(t *testing.T) {
	r := newTestRegion(t, "", "")
	n := windowAtT0(t, r)
	b := NewSchedule("brussels", Record{}, 5, 0)
	b.ObserveOpenJobs(jobsIn(n, "a", "b"))
	b.RecordCompletion("a", n, afterT0(hour))
	b.RecordForecast(n.Date, Forecast{AtRisk: true, Reason: "no machine can take it"}, "machines lost", 0, afterT0(hour))
	b = NewSchedule("brussels", b.Record(afterT0(hour), 4000), 6, 0)
	rec := b.Record(afterT0(hour), 4000)
	shown := func(rec Record, at float64) string {
		var out strings.Builder
		if err := Print(&out, []View{r.View(rec, afterT0(at))}, 3); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	has := func(text string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("no %q in\n%s", w, text)
			}
		}
	}
	fresh := shown(rec, hour+60)
	has(fresh, "opens Wed 13 Jan 08:00 CET", "promised for Wed 13 Jan 07:30 CET", "at least 1 of 2 jobs done", "AT RISK: no machine can take it", "machines lost: finish never")
	if strings.Contains(fresh, "STALE") {
		t.Errorf("called stale after a minute:\n%s", fresh)
	}
	has(shown(rec, hour+staleAfter.Seconds()+1), "STALE: as of 2027-01-13T00:00:00+01:00")
	b.ResolveJob("b", EndCompleted, n, n.Deadline.Add(90*time.Second))
	if out := b.CloseDue(n.Opening); len(out) != 1 {
		t.Fatalf("%+v", out)
	}
	has(shown(b.Record(n.Opening, 4000), 24*hour), "nothing is waited for", "2027-01-13 late, at least 2 of 2 done, 1m30s late")
}
