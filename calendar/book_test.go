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

// oneRegion is a calendar of a region, changed as a test needs it.
func oneRegion(t *testing.T, old, replacement string) *Region {
	t.Helper()
	return made(t, strings.Replace(`
[[regions]]
name = "brussels"
zone = "Europe/Brussels"
open = { mon = "08:00", tue = "08:00", wed = "08:00", thu = "08:00", fri = "08:00" }
evening = "18:00"
margin_s = 1800
work = [ { class = "tiles" } ]
`, old, replacement, 1)).Regions[0]
}

// night is what follows 22:00 UTC (t0): promised for 06:30 UTC, opening at 07:00.
func night(t *testing.T, r *Region) Night {
	t.Helper()
	n, ok := r.Night(t0)
	if !ok {
		t.Fatal("not a night")
	}
	return n
}

func open(n Night, ids ...string) map[string]Night {
	out := map[string]Night{}
	for _, id := range ids {
		out[id] = n
	}
	return out
}

const hour = 3600

func TestOutcomesAreDecidedWhenTheirTimeHasCome(t *testing.T) {
	n := night(t, oneRegion(t, "", ""))
	for _, tc := range []struct {
		name      string
		ends      []float64 // hours after 22:00 UTC; 0: never
		at        float64   // when it is decided
		how       string
		late      time.Duration
		done, all int
	}{
		{"in time", []float64{3, 5}, 8.5, Met, 0, 2, 2},
		{"on the second", []float64{3, 8.5}, 8.5, Met, 0, 2, 2},
		{"late", []float64{3, 8.75}, 8.75, Late, 15 * time.Minute, 2, 2},
		{"one layer missing", []float64{3, 0}, 9, Incomplete, 0, 1, 2},
		{"one layer after the opening", []float64{3, 9.5}, 9, Incomplete, 0, 1, 2},
	} {
		b := NewBook("brussels", Record{}, 5, 0)
		b.See(open(n, "a", "b"))
		var decided []Outcome
		for h := 0.25; h < 12; h += 0.25 {
			for i, end := range tc.ends {
				if end == h {
					b.Ended([]string{"a", "b"}[i], n, after(h*hour))
				}
			}
			for _, o := range b.Close(after(h * hour)) {
				if h != tc.at {
					t.Errorf("%s: decided after %v h", tc.name, h)
				}
				decided = append(decided, o)
			}
		}
		if len(decided) != 1 || decided[0].How != tc.how || decided[0].LateMs != tc.late.Milliseconds() || decided[0].Done != tc.done || decided[0].All != tc.all {
			t.Errorf("%s: %+v", tc.name, decided)
		}
	}
}

// Leaders follow one another at any moment, each with what was last committed:
// whoever decides, it is decided once, and nothing is counted twice.
func TestLeadersThatFollowOneAnotherCountEachJobOnce(t *testing.T) {
	n := night(t, oneRegion(t, "", ""))
	for lose := range 6 { // how many changes the first leader made and could not commit
		b := NewBook("brussels", Record{}, 5, 0)
		var committed []Record
		step := func(f func()) { f(); committed = append(committed, b.Record(t0, 4000)) }
		step(func() { b.See(open(n, "a", "b", "c")) })
		step(func() { b.Ended("a", n, after(hour)) })
		step(func() { b.Ended("b", n, after(2*hour)) })
		step(func() { b.See(open(n, "c", "d")) })
		step(func() { b.See(open(n, "c")) }) // d was cancelled
		step(func() { b.Ended("c", n, after(8.75*hour)) })
		b = NewBook("brussels", committed[len(committed)-1-lose], 6, 0)
		if out := b.Close(after(8.9 * hour)); len(out) > 0 && lose > 0 {
			t.Fatalf("%d lost: decided before it was known: %v", lose, out)
		}
		ends := map[string]time.Time{"a": after(hour), "b": after(2 * hour), "c": after(8.75 * hour)}
		for _, id := range b.Unknown() {
			if end, ok := ends[id]; ok {
				b.Told(id, Whole, n, true, end)
			} else {
				b.Told(id, Taken, Night{}, false, time.Time{})
			}
		}
		out := b.Close(after(8.9 * hour))
		if lose == 0 {
			out = append(out, b.rec.Past...)
		}
		if len(out) != 1 || out[0].How != Late || out[0].LateMs != (15*time.Minute).Milliseconds() || out[0].Done != 3 || out[0].All != 3 {
			t.Errorf("%d lost: %+v", lose, out)
		}
		// The next leader's clock is behind: nothing is decided again, and a job
		// of that night which comes to be known now does not begin it anew.
		b = NewBook("brussels", b.Record(t0, 4000), 7, 0)
		b.See(open(n, "late"))
		if out := b.Close(after(8.4 * hour)); len(out) > 0 || len(b.rec.Nights) > 0 || len(b.Close(after(10*hour))) > 0 {
			t.Errorf("%d lost: decided twice: %+v", lose, out)
		}
	}
}

func TestAJobOfWhichNoRecordTellsIsNotCalledDone(t *testing.T) {
	n := night(t, oneRegion(t, "", ""))
	b := NewBook("brussels", Record{}, 5, 0)
	b.See(open(n, "a", "b"))
	b.Ended("a", n, after(hour))
	b = NewBook("brussels", b.Record(t0, 4000), 6, 0)
	if ids := b.Unknown(); !slices.Equal(ids, []string{"b"}) {
		t.Fatalf("asks for %v", ids)
	}
	b.Told("b", Gone, Night{}, false, time.Time{})
	if out := b.Close(after(9 * hour)); len(out) != 1 || out[0].How != Incomplete || out[0].Done != 1 || out[0].All != 2 || !out[0].AtLeast {
		t.Errorf("%+v", out)
	}
}

// What comes at the last moment may be known only after it.
func TestANightWaitsForWhatWasAcceptedJustBefore(t *testing.T) {
	n := night(t, oneRegion(t, "", ""))
	b := NewBook("brussels", Record{}, 5, 3*time.Second)
	b.Ended("a", n, after(hour))
	if out := b.Close(n.Promise.Add(2 * time.Second)); len(out) > 0 {
		t.Fatalf("%+v", out)
	}
	b.See(open(n, "b"))
	if out := b.Close(n.Promise.Add(4 * time.Second)); len(out) > 0 {
		t.Errorf("%+v", out)
	}
	if out := b.Close(n.Opening.Add(4 * time.Second)); len(out) != 1 || out[0].How != Incomplete {
		t.Errorf("%+v", out)
	}
}

func TestAPlanMovesNightsThatAreUnderWay(t *testing.T) {
	r := oneRegion(t, "", "")
	n := night(t, r)
	for _, tc := range []struct {
		name, old, new string
		opens          string // "": withdrawn
	}{
		{"earlier", `wed = "08:00"`, `wed = "04:30"`, "2027-01-13T04:30:00+01:00"},
		{"closed that day", `evening`, "exceptions = [ { date = \"2027-01-13\" } ]\nevening", "2027-01-14T08:00:00+01:00"},
		{"in another zone", "Europe/Brussels", "Africa/Tunis", "2027-01-13T08:00:00+01:00"},
		{"never open until spring", `open = { mon = "08:00", tue = "08:00", wed = "08:00", thu = "08:00", fri = "08:00" }`,
			`exceptions = [ { date = "2027-04-13", open = "08:00" } ]`, ""},
	} {
		b := NewBook("brussels", Record{}, 5, 0)
		b.See(open(n, "a"))
		b.Ended("b", n, after(hour))
		moved := oneRegion(t, tc.old, tc.new)
		b.Replan(moved, after(4*hour))
		if tc.opens == "" {
			if p := b.rec.Past; len(b.rec.Nights) > 0 || len(p) != 1 || p[0].How != Withdrawn {
				t.Errorf("%s: %+v", tc.name, b.rec)
			}
			continue
		}
		now, ok := moved.Night(t0)
		if !ok || !now.Opening.Equal(when(t, tc.opens)) || len(b.rec.Nights) != 1 {
			t.Fatalf("%s: %+v (%v), %+v", tc.name, now, ok, b.rec)
		}
		b.See(open(now, "a"))
		h := b.rec.Nights[0]
		if h.PromiseMs != now.Promise.UnixMilli() || h.Done != 1 || h.Cancelled != 0 || b.all(&h) != 2 {
			t.Errorf("%s: %+v", tc.name, h)
		}
	}
}

func TestARecordIsBounded(t *testing.T) {
	r := oneRegion(t, "", "")
	b := NewBook("brussels", Record{}, 5, 0)
	at := t0
	for range 60 {
		n, ok := r.Next(at)
		if !ok {
			t.Fatal("no night")
		}
		jobs := map[string]Night{}
		for i := range 600 {
			jobs[fmt.Sprintf("wk-%06d", i)] = n
		}
		b.See(jobs)
		for range 20 {
			b.Expected(n.Date, Forecast{}, "machines lost", 3, at)
		}
		rec := b.Record(at, 4000)
		if raw, err := wire.Marshal(rec); err != nil || wire.JSONSize(raw) > 12<<10 {
			t.Fatalf("%d bytes, %v", wire.JSONSize(raw), err)
		}
		if h := rec.Nights[len(rec.Nights)-1]; len(h.Open) != 4000/12 || h.All() != 600 || len(h.Replans) != maxReplans || h.Replanned != 20 {
			t.Fatalf("%d open of %d, %d of %d replans", len(h.Open), h.All(), len(h.Replans), h.Replanned)
		}
		if len(rec.Nights) > maxNights || len(rec.Past) > maxPast {
			t.Fatalf("%d nights, %d past", len(rec.Nights), len(rec.Past))
		}
		at = n.Opening
		b.Close(at)
	}
	if len(b.rec.Past) != maxPast {
		t.Errorf("%d outcomes kept", len(b.rec.Past))
	}
}

// Random nights: jobs come, end or are cancelled, records are committed now and
// then, leaders are lost at any moment and their successors look late. Whoever
// decides, the outcome is that of the jobs' real ends.
func TestRandomNightsComeOutByTheJobsRealEnds(t *testing.T) {
	n := night(t, oneRegion(t, "", ""))
	seen := map[string]int{}
	for seed := range uint64(1000) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		b := NewBook("brussels", Record{}, 5, 0)
		var committed Record
		var past []Outcome
		open, ends := map[string]bool{}, map[string]time.Time{}
		cancelled := map[string]bool{}
		commit := func(now time.Time) {
			committed = b.Record(now, 4000)
			past = append(past[:0], committed.Past...)
		}
		lookAt := func(now time.Time) {
			jobs := map[string]Night{}
			for id := range open {
				jobs[id] = n
			}
			b.See(jobs)
			b.Close(now)
		}
		lost := false
		for s := 0.0; s < 10*hour; s += 200 + rnd.Float64()*400 {
			now := after(s)
			switch k := rnd.IntN(10); {
			case k < 3 && now.Before(n.Promise) && len(open) < 6:
				id := fmt.Sprintf("wk-%06d", int(s))
				open[id] = true
				lookAt(now)
				commit(now) // what comes and ends unnoted is not counted
			case k < 6 && len(open) > 0:
				for id := range open {
					if delete(open, id); rnd.IntN(5) == 0 && now.Before(n.Opening) {
						cancelled[id] = true
					} else {
						ends[id] = now
						b.Ended(id, n, now)
					}
					break
				}
			case k == 6 && rnd.IntN(2) == 0:
				b = NewBook("brussels", committed, 6, 0)
				lost = true
				lookAt(now)
				for _, id := range b.Unknown() {
					switch {
					case cancelled[id]:
						b.Told(id, Taken, Night{}, false, now)
					case !ends[id].IsZero():
						b.Told(id, Whole, n, true, ends[id])
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
		want, last := Met, time.Time{}
		for _, end := range ends {
			if end.After(last) {
				last = end
			}
		}
		switch {
		case len(open) > 0 || last.After(n.Opening):
			want = Incomplete
		case last.After(n.Promise):
			want = Late
		}
		if len(open)+len(ends) == 0 {
			continue
		}
		if len(past) != 1 || past[0].How != want || past[0].All != len(open)+len(ends) || want == Late && past[0].LateMs != last.Sub(n.Promise).Milliseconds() {
			t.Fatalf("seed %d: %+v, want %s of %d (%d open, leaders lost %v)", seed, past, want, len(open)+len(ends), len(open), lost)
		}
		seen[want]++
	}
	if seen[Met] == 0 || seen[Late] == 0 || seen[Incomplete] == 0 {
		t.Errorf("only played %v", seen)
	}
}
