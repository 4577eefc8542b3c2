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

// newTestRegion makes a region from test settings in which a part of the text is replaced.
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

// windowAtT0 is the batch window at t0 (22:00 UTC): its deadline is 06:30 UTC, the opening
// 07:00.
func windowAtT0(t *testing.T, r *Region) Window {
	t.Helper()
	n, ok := r.WindowAt(t0)
	if !ok {
		t.Fatal("not a night")
	}
	return n
}

// jobsIn are unfinished jobs of a batch window.
func jobsIn(n Window, ids ...string) map[string]Window {
	out := map[string]Window{}
	for _, id := range ids {
		out[id] = n
	}
	return out
}

const hour = 3600

func TestCloseDueDecidesEachResult(t *testing.T) {
	n := windowAtT0(t, newTestRegion(t, "", ""))
	for _, tc := range []struct {
		name      string
		ends      []float64 // hours after 22:00 UTC; 0: never
		at        float64   // when it is decided
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
		b := NewSchedule("brussels", Record{}, 5, 0)
		b.ObserveOpenJobs(jobsIn(n, "a", "b"))
		var decided []Outcome
		for h := 0.25; h < 12; h += 0.25 {
			for i, end := range tc.ends {
				if end == h {
					b.RecordCompletion([]string{"a", "b"}[i], n, afterT0(h*hour))
				}
			}
			for _, o := range b.CloseDue(afterT0(h * hour)) {
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

// After a failover at any time, the next leader continues from the record that was committed
// last: the result is decided once, and no job is counted twice.
func TestFailoverCountsEachJobOnce(t *testing.T) {
	n := windowAtT0(t, newTestRegion(t, "", ""))
	for lose := range 6 { // how many of its last changes the first leader could not commit
		b := NewSchedule("brussels", Record{}, 5, 0)
		var committed []Record
		step := func(f func()) { f(); committed = append(committed, b.Record(t0, 4000)) }
		step(func() { b.ObserveOpenJobs(jobsIn(n, "a", "b", "c")) })
		step(func() { b.RecordCompletion("a", n, afterT0(hour)) })
		step(func() { b.RecordCompletion("b", n, afterT0(2*hour)) })
		step(func() { b.ObserveOpenJobs(jobsIn(n, "c", "d")) })
		step(func() { b.ObserveOpenJobs(jobsIn(n, "c")) }) // d was cancelled
		step(func() { b.RecordCompletion("c", n, afterT0(8.75*hour)) })
		b = NewSchedule("brussels", committed[len(committed)-1-lose], 6, 0)
		if out := b.CloseDue(afterT0(8.9 * hour)); len(out) > 0 && lose > 0 {
			t.Fatalf("%d lost: decided before it was known: %v", lose, out)
		}
		ends := map[string]time.Time{"a": afterT0(hour), "b": afterT0(2 * hour), "c": afterT0(8.75 * hour)}
		for _, id := range b.UnresolvedJobs() {
			if end, ok := ends[id]; ok {
				b.ResolveJob(id, EndCompleted, n, end)
			} else {
				b.ResolveJob(id, EndCancelled, Window{}, time.Time{})
			}
		}
		out := b.CloseDue(afterT0(8.9 * hour))
		if lose == 0 {
			out = append(out, b.record.Past...)
		}
		if len(out) != 1 || out[0].Result != ResultLate || out[0].LateMs != (15*time.Minute).Milliseconds() || out[0].Completed != 3 || out[0].Jobs != 3 {
			t.Errorf("%d lost: %+v", lose, out)
		}
		// The next leader's clock is behind: nothing is decided again, and a job of that
		// window that becomes known only now does not open it again.
		b = NewSchedule("brussels", b.Record(t0, 4000), 7, 0)
		b.ObserveOpenJobs(jobsIn(n, "late"))
		if out := b.CloseDue(afterT0(8.4 * hour)); len(out) > 0 || len(b.record.Windows) > 0 || len(b.CloseDue(afterT0(10*hour))) > 0 {
			t.Errorf("%d lost: decided twice: %+v", lose, out)
		}
	}
}

func TestJobWithoutFinalRecordMakesWindowIncomplete(t *testing.T) {
	n := windowAtT0(t, newTestRegion(t, "", ""))
	b := NewSchedule("brussels", Record{}, 5, 0)
	b.ObserveOpenJobs(jobsIn(n, "a", "b"))
	b.RecordCompletion("a", n, afterT0(hour))
	b = NewSchedule("brussels", b.Record(t0, 4000), 6, 0)
	if ids := b.UnresolvedJobs(); !slices.Equal(ids, []string{"b"}) {
		t.Fatalf("asks for %v", ids)
	}
	b.ResolveJob("b", EndUnknown, Window{}, time.Time{})
	if out := b.CloseDue(afterT0(9 * hour)); len(out) != 1 || out[0].Result != ResultIncomplete || out[0].Completed != 1 || out[0].Jobs != 2 || !out[0].LowerBound {
		t.Errorf("%+v", out)
	}
}

// A job that is accepted just before the deadline may become known only after it.
func TestCloseDueWaitsForSettleDelay(t *testing.T) {
	n := windowAtT0(t, newTestRegion(t, "", ""))
	b := NewSchedule("brussels", Record{}, 5, 3*time.Second)
	b.RecordCompletion("a", n, afterT0(hour))
	if out := b.CloseDue(n.Deadline.Add(2 * time.Second)); len(out) > 0 {
		t.Fatalf("%+v", out)
	}
	b.ObserveOpenJobs(jobsIn(n, "b"))
	if out := b.CloseDue(n.Deadline.Add(4 * time.Second)); len(out) > 0 {
		t.Errorf("%+v", out)
	}
	if out := b.CloseDue(n.Opening.Add(4 * time.Second)); len(out) != 1 || out[0].Result != ResultIncomplete {
		t.Errorf("%+v", out)
	}
}

func TestRescheduleMovesOpenWindows(t *testing.T) {
	r := newTestRegion(t, "", "")
	n := windowAtT0(t, r)
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
		b := NewSchedule("brussels", Record{}, 5, 0)
		b.ObserveOpenJobs(jobsIn(n, "a"))
		b.RecordCompletion("b", n, afterT0(hour))
		moved := newTestRegion(t, tc.old, tc.new)
		b.Reschedule(moved, afterT0(4*hour))
		if tc.opens == "" {
			if p := b.record.Past; len(b.record.Windows) > 0 || len(p) != 1 || p[0].Result != ResultWithdrawn {
				t.Errorf("%s: %+v", tc.name, b.record)
			}
			continue
		}
		now, ok := moved.WindowAt(t0)
		if !ok || !now.Opening.Equal(parseTime(t, tc.opens)) || len(b.record.Windows) != 1 {
			t.Fatalf("%s: %+v (%v), %+v", tc.name, now, ok, b.record)
		}
		b.ObserveOpenJobs(jobsIn(now, "a"))
		h := b.record.Windows[0]
		if h.DeadlineMs != now.Deadline.UnixMilli() || h.Completed != 1 || h.Cancelled != 0 || b.jobCount(&h) != 2 {
			t.Errorf("%s: %+v", tc.name, h)
		}
	}
}

func TestRecordSizeIsBounded(t *testing.T) {
	r := newTestRegion(t, "", "")
	b := NewSchedule("brussels", Record{}, 5, 0)
	at := t0
	for range 60 {
		n, ok := r.NextWindow(at)
		if !ok {
			t.Fatal("no night")
		}
		jobs := map[string]Window{}
		for i := range 600 {
			jobs[fmt.Sprintf("wk-%06d", i)] = n
		}
		b.ObserveOpenJobs(jobs)
		for range 20 {
			b.RecordForecast(n.Date, Forecast{}, "machines lost", 3, at)
		}
		rec := b.Record(at, 4000)
		if raw, err := wire.Marshal(rec); err != nil || wire.JSONSize(raw) > 12<<10 {
			t.Fatalf("%d bytes, %v", wire.JSONSize(raw), err)
		}
		if h := rec.Windows[len(rec.Windows)-1]; len(h.OpenJobs) != 4000/12 || h.JobCount() != 600 || len(h.Reforecasts) != maxReforecasts || h.ReforecastCount != 20 {
			t.Fatalf("%d open of %d, %d of %d replans", len(h.OpenJobs), h.JobCount(), len(h.Reforecasts), h.ReforecastCount)
		}
		if len(rec.Windows) > maxOpenWindows || len(rec.Past) > maxPastOutcomes {
			t.Fatalf("%d nights, %d past", len(rec.Windows), len(rec.Past))
		}
		at = n.Opening
		b.CloseDue(at)
	}
	if len(b.record.Past) != maxPastOutcomes {
		t.Errorf("%d outcomes kept", len(b.record.Past))
	}
}

// Random windows: jobs are added, end or are cancelled, records are committed now and then,
// and leaders fail over at any time. Whichever leader decides, the result is that of the
// jobs' actual ends.
func TestRandomWindowsDecideByActualJobEnds(t *testing.T) {
	n := windowAtT0(t, newTestRegion(t, "", ""))
	seen := map[Result]int{}
	for seed := range uint64(1000) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		b := NewSchedule("brussels", Record{}, 5, 0)
		var committed Record
		var past []Outcome
		open, ends := map[string]bool{}, map[string]time.Time{}
		cancelled := map[string]bool{}
		commit := func(now time.Time) {
			committed = b.Record(now, 4000)
			past = append(past[:0], committed.Past...)
		}
		lookAt := func(now time.Time) {
			jobs := map[string]Window{}
			for id := range open {
				jobs[id] = n
			}
			b.ObserveOpenJobs(jobs)
			b.CloseDue(now)
		}
		lost := false
		for s := 0.0; s < 10*hour; s += 200 + rnd.Float64()*400 {
			now := afterT0(s)
			switch k := rnd.IntN(10); {
			case k < 3 && now.Before(n.Deadline) && len(open) < 6:
				id := fmt.Sprintf("wk-%06d", int(s))
				open[id] = true
				lookAt(now)
				commit(now) // a job that starts and ends between two records is not counted
			case k < 6 && len(open) > 0:
				for id := range open {
					if delete(open, id); rnd.IntN(5) == 0 && now.Before(n.Opening) {
						cancelled[id] = true
					} else {
						ends[id] = now
						b.RecordCompletion(id, n, now)
					}
					break
				}
			case k == 6 && rnd.IntN(2) == 0:
				b = NewSchedule("brussels", committed, 6, 0)
				lost = true
				lookAt(now)
				for _, id := range b.UnresolvedJobs() {
					switch {
					case cancelled[id]:
						b.ResolveJob(id, EndCancelled, Window{}, now)
					case !ends[id].IsZero():
						b.ResolveJob(id, EndCompleted, n, ends[id])
					}
				}
			case k == 7:
				commit(now)
			}
			if rnd.IntN(3) > 0 {
				lookAt(now)
			}
		}
		lookAt(n.Opening.Add(3 * time.Hour))
		commit(n.Opening.Add(3 * time.Hour))
		want, last := ResultMet, time.Time{}
		for _, end := range ends {
			if end.After(last) {
				last = end
			}
		}
		switch {
		case len(open) > 0 || last.After(n.Opening):
			want = ResultIncomplete
		case last.After(n.Deadline):
			want = ResultLate
		}
		if len(open)+len(ends) == 0 {
			continue
		}
		if len(past) != 1 || past[0].Result != want || past[0].Jobs != len(open)+len(ends) || want == ResultLate && past[0].LateMs != last.Sub(n.Deadline).Milliseconds() {
			t.Fatalf("seed %d: %+v, want %s of %d (%d open, leaders lost %v)", seed, past, want, len(open)+len(ends), len(open), lost)
		}
		seen[want]++
	}
	if seen[ResultMet] == 0 || seen[ResultLate] == 0 || seen[ResultIncomplete] == 0 {
		t.Errorf("only played %v", seen)
	}
}
