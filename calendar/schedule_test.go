package calendar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/wire"
)

// newTestRegion returns a region made from the test settings with old replaced by replacement.
func newTestRegion(t *testing.T, old, replacement string) *Region {
	t.Helper()
	return newTestCalendar(t, strings.Replace(`
[[regions]]
name = "brussels"
zone = "Europe/Brussels"
open = { mon = "08:00", tue = "08:00", wed = "08:00", thu = "08:00", fri = "08:00" }
evening = "18:00"
margin_s = 1800
work = [ { class = "tiles" } ]
`, old, replacement, 1)).Regions[0]
}

// windowAtT0 returns the batch window at t0 (22:00 UTC). Its deadline is 06:30 UTC and its opening
// 07:00 UTC.
func windowAtT0(t *testing.T, r *Region) Window {
	t.Helper()
	window, ok := r.WindowAt(t0)
	if !ok {
		t.Fatal("t0 is not in a batch window")
	}
	return window
}

// jobsIn maps the ids of unfinished jobs to their batch window.
func jobsIn(window Window, ids ...string) map[string]Window {
	jobs := map[string]Window{}
	for _, id := range ids {
		jobs[id] = window
	}
	return jobs
}

const hour = 3600

// Guards against a wrong result of a batch window and against a result decided too early, twice or
// never. The window is decided when its last job ends, but not before the deadline and not after the
// opening.
func TestCloseDueDecidesEachResult(t *testing.T) {
	window := windowAtT0(t, newTestRegion(t, "", ""))
	for _, tc := range []struct {
		name      string
		ends      []float64 // hours after 22:00 UTC; 0: never
		at        float64   // hours after 22:00 UTC at which the window is decided
		how       Result
		late      time.Duration
		done, all int
	}{
		{"in time", []float64{3, 5}, 8.5, ResultMet, 0, 2, 2},
		{"on the deadline", []float64{3, 8.5}, 8.5, ResultMet, 0, 2, 2},
		{"late", []float64{3, 8.75}, 8.75, ResultLate, 15 * time.Minute, 2, 2},
		{"one job unfinished", []float64{3, 0}, 9, ResultIncomplete, 0, 1, 2},
		{"one job after the opening", []float64{3, 9.5}, 9, ResultIncomplete, 0, 1, 2},
	} {
		schedule := NewSchedule("brussels", Record{}, 5, 0)
		schedule.ObserveOpenJobs(jobsIn(window, "a", "b"))
		var decided []Outcome
		for h := 0.25; h < 12; h += 0.25 {
			for i, end := range tc.ends {
				if end == h {
					schedule.RecordCompletion([]string{"a", "b"}[i], window, afterT0(h*hour))
				}
			}
			for _, o := range schedule.CloseDue(afterT0(h * hour)) {
				if h != tc.at {
					t.Errorf("%s: decided after %v h", tc.name, h)
				}
				decided = append(decided, o)
			}
		}
		if len(decided) != 1 || decided[0].Result != tc.how || decided[0].LateMs != tc.late.Milliseconds() || decided[0].Completed != tc.done || decided[0].Jobs != tc.all {
			t.Errorf("%s: %+v", tc.name, decided)
		}
	}
}

// Guards against jobs counted twice and results decided twice after a failover. The first leader
// is lost before it commits its last changes, and the next leader continues from the last
// committed record.
func TestFailoverCountsEachJobOnce(t *testing.T) {
	window := windowAtT0(t, newTestRegion(t, "", ""))
	for lostChanges := range 6 { // number of changes that the first leader did not commit
		schedule := NewSchedule("brussels", Record{}, 5, 0)
		var committed []Record
		step := func(f func()) { f(); committed = append(committed, schedule.Record(t0, 4000)) }
		step(func() { schedule.ObserveOpenJobs(jobsIn(window, "a", "b", "c")) })
		step(func() { schedule.RecordCompletion("a", window, afterT0(hour)) })
		step(func() { schedule.RecordCompletion("b", window, afterT0(2*hour)) })
		step(func() { schedule.ObserveOpenJobs(jobsIn(window, "c", "d")) })
		step(func() { schedule.ObserveOpenJobs(jobsIn(window, "c")) }) // d was cancelled
		step(func() { schedule.RecordCompletion("c", window, afterT0(8.75*hour)) })
		schedule = NewSchedule("brussels", committed[len(committed)-1-lostChanges], 6, 0)
		if outcomes := schedule.CloseDue(afterT0(8.9 * hour)); len(outcomes) > 0 && lostChanges > 0 {
			t.Fatalf("%d changes lost: decided before unresolved jobs were resolved: %v", lostChanges, outcomes)
		}
		ends := map[string]time.Time{"a": afterT0(hour), "b": afterT0(2 * hour), "c": afterT0(8.75 * hour)}
		for _, id := range schedule.UnresolvedJobs() {
			if end, ok := ends[id]; ok {
				schedule.ResolveJob(id, EndCompleted, window, end)
			} else {
				schedule.ResolveJob(id, EndCancelled, Window{}, time.Time{})
			}
		}
		outcomes := schedule.CloseDue(afterT0(8.9 * hour))
		if lostChanges == 0 {
			outcomes = append(outcomes, schedule.record.Past...)
		}
		if len(outcomes) != 1 || outcomes[0].Result != ResultLate || outcomes[0].LateMs != (15*time.Minute).Milliseconds() || outcomes[0].Completed != 3 || outcomes[0].Jobs != 3 {
			t.Errorf("%d changes lost: got outcomes %+v, want one, 15 minutes late with 3 of 3 jobs", lostChanges, outcomes)
		}
		// The next leader's clock is behind. Nothing may be decided again, and a job of the
		// decided window that becomes known only now must not reopen the window.
		schedule = NewSchedule("brussels", schedule.Record(t0, 4000), 7, 0)
		schedule.ObserveOpenJobs(jobsIn(window, "late"))
		if outcomes := schedule.CloseDue(afterT0(8.4 * hour)); len(outcomes) > 0 || len(schedule.record.Windows) > 0 || len(schedule.CloseDue(afterT0(10*hour))) > 0 {
			t.Errorf("%d changes lost: decided twice: %+v", lostChanges, outcomes)
		}
	}
}

// Guards against a job that counts as completed, or is not counted, because the next leader finds no
// final record of it. The window is incomplete and its counts are lower bounds.
func TestJobWithoutFinalRecordMakesWindowIncomplete(t *testing.T) {
	window := windowAtT0(t, newTestRegion(t, "", ""))
	schedule := NewSchedule("brussels", Record{}, 5, 0)
	schedule.ObserveOpenJobs(jobsIn(window, "a", "b"))
	schedule.RecordCompletion("a", window, afterT0(hour))
	schedule = NewSchedule("brussels", schedule.Record(t0, 4000), 6, 0)
	if ids := schedule.UnresolvedJobs(); !slices.Equal(ids, []string{"b"}) {
		t.Fatalf("got unresolved jobs %v, want [b]", ids)
	}
	schedule.ResolveJob("b", EndUnknown, Window{}, time.Time{})
	if outcomes := schedule.CloseDue(afterT0(9 * hour)); len(outcomes) != 1 || outcomes[0].Result != ResultIncomplete || outcomes[0].Completed != 1 || outcomes[0].Jobs != 2 || !outcomes[0].LowerBound {
		t.Errorf("%+v", outcomes)
	}
}

// Guards against a window being decided too early: a job accepted just before the deadline may
// become known to the leader only after the deadline.
func TestCloseDueWaitsForSettleDelay(t *testing.T) {
	window := windowAtT0(t, newTestRegion(t, "", ""))
	schedule := NewSchedule("brussels", Record{}, 5, 3*time.Second)
	schedule.RecordCompletion("a", window, afterT0(hour))
	if outcomes := schedule.CloseDue(window.Deadline.Add(2 * time.Second)); len(outcomes) > 0 {
		t.Fatalf("%+v", outcomes)
	}
	schedule.ObserveOpenJobs(jobsIn(window, "b"))
	if outcomes := schedule.CloseDue(window.Deadline.Add(4 * time.Second)); len(outcomes) > 0 {
		t.Errorf("%+v", outcomes)
	}
	if outcomes := schedule.CloseDue(window.Opening.Add(4 * time.Second)); len(outcomes) != 1 || outcomes[0].Result != ResultIncomplete {
		t.Errorf("%+v", outcomes)
	}
}

// Guards against open windows that keep their old deadline, or lose their jobs' counts, when a change
// of settings moves the opening. Without an opening the window is withdrawn.
func TestRescheduleMovesOpenWindows(t *testing.T) {
	r := newTestRegion(t, "", "")
	window := windowAtT0(t, r)
	for _, tc := range []struct {
		name, old, new string
		opens          string // "": withdrawn
	}{
		{"earlier", `wed = "08:00"`, `wed = "04:30"`, "2027-01-13T04:30:00+01:00"},
		{"closed on that date", `evening`, "exceptions = [ { date = \"2027-01-13\" } ]\nevening", "2027-01-14T08:00:00+01:00"},
		{"in another zone", "Europe/Brussels", "Africa/Tunis", "2027-01-13T08:00:00+01:00"},
		{"no opening within the horizon", `open = { mon = "08:00", tue = "08:00", wed = "08:00", thu = "08:00", fri = "08:00" }`,
			`exceptions = [ { date = "2027-04-13", open = "08:00" } ]`, ""},
	} {
		schedule := NewSchedule("brussels", Record{}, 5, 0)
		schedule.ObserveOpenJobs(jobsIn(window, "a"))
		schedule.RecordCompletion("b", window, afterT0(hour))
		moved := newTestRegion(t, tc.old, tc.new)
		schedule.Reschedule(moved, afterT0(4*hour))
		if tc.opens == "" {
			if p := schedule.record.Past; len(schedule.record.Windows) > 0 || len(p) != 1 || p[0].Result != ResultWithdrawn {
				t.Errorf("%s: %+v", tc.name, schedule.record)
			}
			continue
		}
		now, ok := moved.WindowAt(t0)
		if !ok || !now.Opening.Equal(parseTime(t, tc.opens)) || len(schedule.record.Windows) != 1 {
			t.Fatalf("%s: %+v (%v), %+v", tc.name, now, ok, schedule.record)
		}
		schedule.ObserveOpenJobs(jobsIn(now, "a"))
		h := schedule.record.Windows[0]
		if h.DeadlineMs != now.Deadline.UnixMilli() || h.Completed != 1 || h.Cancelled != 0 || schedule.jobCount(&h) != 2 {
			t.Errorf("%s: %+v", tc.name, h)
		}
	}
}

// Guards against a record that grows with the number of jobs, reforecasts and past windows until the
// key-value store refuses it.
func TestRecordSizeIsBounded(t *testing.T) {
	r := newTestRegion(t, "", "")
	schedule := NewSchedule("brussels", Record{}, 5, 0)
	at := t0
	for range 60 {
		window, ok := r.NextWindow(at)
		if !ok {
			t.Fatal("no next batch window")
		}
		jobs := map[string]Window{}
		for i := range 600 {
			jobs[fmt.Sprintf("wk-%06d", i)] = window
		}
		schedule.ObserveOpenJobs(jobs)
		for range 20 {
			schedule.RecordForecast(window.Date, Forecast{}, "machines lost", 3, at)
		}
		record := schedule.Record(at, 4000)
		if raw, err := wire.Marshal(record); err != nil || wire.JSONSize(raw) > 12<<10 {
			t.Fatalf("%d bytes, %v", wire.JSONSize(raw), err)
		}
		if h := record.Windows[len(record.Windows)-1]; len(h.OpenJobs) != 4000/12 || h.JobCount() != 600 || len(h.Reforecasts) != maxReforecasts || h.ReforecastCount != 20 {
			t.Fatalf("recorded %d open jobs of %d, %d reforecasts of %d", len(h.OpenJobs), h.JobCount(), len(h.Reforecasts), h.ReforecastCount)
		}
		if len(record.Windows) > maxOpenWindows || len(record.Past) > maxPastOutcomes {
			t.Fatalf("recorded %d open windows and %d past outcomes", len(record.Windows), len(record.Past))
		}
		at = window.Opening
		schedule.CloseDue(at)
	}
	if len(schedule.record.Past) != maxPastOutcomes {
		t.Errorf("%d outcomes kept", len(schedule.record.Past))
	}
}

// Guards against results that depend on when leaders fail over. Jobs are added, completed and
// cancelled at random, and leaders commit and fail over at random times. The result must follow
// from the actual ends of the jobs, whichever leader decides it.
func TestRandomWindowsDecideByActualJobEnds(t *testing.T) {
	window := windowAtT0(t, newTestRegion(t, "", ""))
	seen := map[Result]int{}
	for seed := range uint64(1000) {
		random := rand.New(rand.NewPCG(seed, 3))
		schedule := NewSchedule("brussels", Record{}, 5, 0)
		var committed Record
		var past []Outcome
		open, ends := map[string]bool{}, map[string]time.Time{}
		cancelled := map[string]bool{}
		commit := func(now time.Time) {
			committed = schedule.Record(now, 4000)
			past = append(past[:0], committed.Past...)
		}
		observe := func(now time.Time) {
			jobs := map[string]Window{}
			for id := range open {
				jobs[id] = window
			}
			schedule.ObserveOpenJobs(jobs)
			schedule.CloseDue(now)
		}
		lost := false
		for s := 0.0; s < 10*hour; s += 200 + random.Float64()*400 {
			now := afterT0(s)
			switch k := random.IntN(10); {
			case k < 3 && now.Before(window.Deadline) && len(open) < 6:
				id := fmt.Sprintf("wk-%06d", int(s))
				open[id] = true
				observe(now)
				commit(now) // a job that starts and ends between two commits is not counted
			case k < 6 && len(open) > 0:
				for id := range open {
					if delete(open, id); random.IntN(5) == 0 && now.Before(window.Opening) {
						cancelled[id] = true
					} else {
						ends[id] = now
						schedule.RecordCompletion(id, window, now)
					}
					break
				}
			case k == 6 && random.IntN(2) == 0:
				schedule = NewSchedule("brussels", committed, 6, 0)
				lost = true
				observe(now)
				for _, id := range schedule.UnresolvedJobs() {
					switch {
					case cancelled[id]:
						schedule.ResolveJob(id, EndCancelled, Window{}, now)
					case !ends[id].IsZero():
						schedule.ResolveJob(id, EndCompleted, window, ends[id])
					}
				}
			case k == 7:
				commit(now)
			}
			if random.IntN(3) > 0 {
				observe(now)
			}
		}
		observe(window.Opening.Add(3 * time.Hour))
		commit(window.Opening.Add(3 * time.Hour))
		want, last := ResultMet, time.Time{}
		for _, end := range ends {
			if end.After(last) {
				last = end
			}
		}
		switch {
		case len(open) > 0 || last.After(window.Opening):
			want = ResultIncomplete
		case last.After(window.Deadline):
			want = ResultLate
		}
		if len(open)+len(ends) == 0 {
			continue
		}
		if len(past) != 1 || past[0].Result != want || past[0].Jobs != len(open)+len(ends) || want == ResultLate && past[0].LateMs != last.Sub(window.Deadline).Milliseconds() {
			t.Fatalf("seed %d: got %+v, want %s with %d jobs (%d open, failover happened: %v)", seed, past, want, len(open)+len(ends), len(open), lost)
		}
		seen[want]++
	}
	if seen[ResultMet] == 0 || seen[ResultLate] == 0 || seen[ResultIncomplete] == 0 {
		t.Errorf("not all results occurred: %v", seen)
	}
}
