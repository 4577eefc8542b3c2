package calendar

import (
	"strings"
	"testing"
	"time"
)

// Guards against output that misleads operators. An outdated record must be marked as stale,
// counts that are lower bounds must be marked, and the reason of a risk must be shown.
func TestPrintMarksStaleAndIncompleteRecords(t *testing.T) {
	r := newTestRegion(t, "", "")
	window := windowAtT0(t, r)
	schedule := NewSchedule("brussels", Record{}, 5, 0)
	schedule.ObserveOpenJobs(jobsIn(window, "a", "b"))
	schedule.RecordCompletion("a", window, afterT0(hour))
	schedule.RecordForecast(window.Date, Forecast{AtRisk: true, Reason: "no machine can take it"}, "machines lost", 0, afterT0(hour))
	schedule = NewSchedule("brussels", schedule.Record(afterT0(hour), 4000), 6, 0)
	record := schedule.Record(afterT0(hour), 4000)
	shown := func(record Record, at float64) string {
		var out strings.Builder
		if err := Print(&out, []View{r.View(record, afterT0(at))}, 3); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	has := func(text string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(text, w) {
				t.Errorf("missing %q in\n%s", w, text)
			}
		}
	}
	fresh := shown(record, hour+60)
	has(fresh, "opens Wed 13 Jan 08:00 CET", "promised for Wed 13 Jan 07:30 CET", "at least 1 of 2 jobs done", "AT RISK: no machine can take it", "machines lost: finish never")
	if strings.Contains(fresh, "STALE") {
		t.Errorf("marked as stale after one minute:\n%s", fresh)
	}
	has(shown(record, hour+staleAfter.Seconds()+1), "STALE: as of 2027-01-13T00:00:00+01:00")
	schedule.ResolveJob("b", EndCompleted, window, window.Deadline.Add(90*time.Second))
	if out := schedule.CloseDue(window.Opening); len(out) != 1 {
		t.Fatalf("%+v", out)
	}
	has(shown(schedule.Record(window.Opening, 4000), 24*hour), "nothing is waited for", "2027-01-13 late, at least 2 of 2 done, 1m30s late")
}
