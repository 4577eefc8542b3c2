package cluster

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/plans"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/plan"
	"github.com/umberdeal/umberdeal/wire"
)

// Nights until 08:00 and 07:00 on 1 January 2026, which is a Thursday; t0 is its
// midnight.
var twoRegions = plans.Region("brussels", `wed = "08:00", thu = "08:00", fri = "08:00"`, "18:00", 1800, `class = "tiles"`) +
	plans.Region("tunis", `wed = "07:00", thu = "07:00", fri = "07:00"`, "18:00", 1800, `class = "halls"`)

func setPlan(t *testing.T, m *Model, head uint64, text string, now time.Time) {
	t.Helper()
	p, err := plan.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Check(m.Zones, []string{"core"}); err != nil {
		t.Fatal(err)
	}
	m.SetPlan(Plan{Plan: p, Number: int(head), HeadVersion: head}, now)
}

// nightJob is of a class, accepted so many seconds after midnight.
func nightJob(id, class string, tasks int, came, estimate float64) jobstore.JobRecord {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs, rec.Job.Class, rec.Job.EstimateS, rec.Job.CPUs = at(came).UnixMilli(), class, estimate, 4
	return rec
}

func TestNightsComeFirstOfTheirPriorityByTheirOpenings(t *testing.T) {
	m := newModel(5)
	setPlan(t, m, 1, twoRegions, at(0))
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "day", WithinS: 1000}, {Kind: "deadline", Class: "tiles", Times: 1}}
	put := func(n int, class string, came, estimate float64, change func(*wire.Job)) {
		rec := nightJob(fmt.Sprintf("wk-%06d", n), class, 1, came, estimate)
		if change != nil {
			change(&rec.Job)
		}
		m.PutJob(rec.Job.ID, rec, 1, at(came))
	}
	put(1, "day", 0, 60, nil)
	put(2, "tiles", 10, 60, nil)
	put(3, "tiles", 20, 600, nil)
	put(4, "halls", 30, 60, nil)
	put(5, "day", 40, 60, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
	deadline := 3600.0
	put(6, "tiles", 50, 60, func(j *wire.Job) { j.DeadlineS = &deadline }) // tighter than any opening
	put(7, "halls", 60, 60, func(j *wire.Job) { j.Kind = wire.KindService })
	ids, _ := inOrder(m, 100)
	want := []string{"wk-000005", "wk-000006", "wk-000004", "wk-000003", "wk-000002", "wk-000001", "wk-000007"}
	if !slices.Equal(ids, want) {
		t.Errorf("in order %v, want %v", ids, want)
	}
	if w, ok := m.Explain("wk-000001", at(100)); !ok || w.AheadByReason["a night's work"] != 4 || w.AheadByReason["priority"] != 1 {
		t.Errorf("it waits for %+v", w)
	}
	// Without a calendar, as before.
	m.SetPlan(Plan{Plan: &plan.Plan{}, Number: 2, HeadVersion: 2}, at(100))
	if ids, _ := inOrder(m, 100); ids[1] != "wk-000001" {
		t.Errorf("without a calendar in order %v", ids)
	}
}

// leaders is a state service's memory of notes and of jobs that are over.
type leaders struct {
	t     *testing.T
	notes map[string]wire.Raw
	over  map[string]jobstore.JobRecord
	m     *Model
}

// next is a new leader, who reads what was committed and learns of the jobs that
// are not over.
func (l *leaders) next(token uint64, now time.Time, text string, open ...jobstore.JobRecord) {
	l.t.Helper()
	m := newModel(token)
	m.ElectedAt, m.settings.Cluster.SkewMs = now, 1000
	for key, raw := range l.notes {
		m.LoadPlanRecord(key, raw, 1)
	}
	setPlan(l.t, m, 1, text, now)
	for i := range open {
		m.PutJob(open[i].Job.ID, open[i], 1, now)
	}
	m.FinishLoading(now)
	l.m = m
}

// write commits what the leader wants to be written.
func (l *leaders) write(now time.Time) {
	for range 20 {
		l.m.SetCompletionTime(now)
		b := l.m.NextBatch(12)
		if b == nil {
			break
		}
		for _, op := range b.Ops {
			if id, ok := jobstore.ParseFinalKey(op.Put); ok {
				l.over[id] = op.Value.(jobstore.JobRecord)
			}
		}
		b.OnCommit(uint64(now.Unix()), now)
	}
	l.note(now)
}

func (l *leaders) note(now time.Time) {
	for b := l.m.PlanRecordBatch(12); b != nil; b = l.m.PlanRecordBatch(12) {
		for _, op := range b.Ops {
			l.notes[op.Put] = op.Value.(wire.Raw)
		}
		b.OnCommit(uint64(now.Unix()), now)
	}
}

func (l *leaders) record(region string) (rec calendar.Record) {
	l.t.Helper()
	if raw, ok := l.notes[jobstore.PlanStatePrefix+calendar.NoteOf(region)]; ok {
		if err := wire.Unmarshal(raw, &rec); err != nil {
			l.t.Fatal(err)
		}
	}
	return rec
}

// finish lets a job's tasks be done, and its end be committed.
func (l *leaders) finish(id string, now time.Time) {
	j := l.m.Job(id)
	for i := range j.Tasks {
		j.Tasks[i].Phase = TaskDone
	}
	j.DoneTasks = len(j.Tasks)
	l.m.markDirty(j)
	l.m.Tick(now)
}

func (l *leaders) tell(now time.Time) {
	for _, id := range l.m.UnresolvedWindowJobs(100) {
		if rec, ok := l.over[id]; ok {
			l.m.ResolveWindowJob(id, &rec, now)
		} else {
			l.m.ResolveWindowJob(id, nil, now)
		}
	}
	l.m.Tick(now)
	l.note(now)
}

const (
	promised = 7.5 * 3600 // brussels
	opens    = 8 * 3600
)

// A leader is lost around the opening, and the next one's clock is behind by all
// that the time of day may be: the outcome is decided once, by when jobs ended.
func TestTheNextLeadersClockIsBehind(t *testing.T) {
	a, b := nightJob("wk-000001", "tiles", 1, 10, 60), nightJob("wk-000002", "tiles", 1, 20, 60)
	for _, tc := range []struct {
		name      string
		end       float64 // of the last job
		lost      float64 // when the first leader is
		noted     bool    // its last record is committed
		how       string
		late      int64
		done, all int
	}{
		{"before the promise", promised - 100, promised - 50, true, calendar.Met, 0, 2, 2},
		{"before the promise, not noted", promised - 60, promised - 59, false, calendar.Met, 0, 2, 2},
		{"after the outcome", promised - 60, promised + 4, true, calendar.Met, 0, 2, 2},
		{"after the outcome, not noted", promised - 60, promised + 4, false, calendar.Met, 0, 2, 2},
		{"late, not noted", promised + 60, promised + 61, false, calendar.Late, 60_000, 2, 2},
		{"after the opening", opens + 60, opens + 61, true, calendar.Incomplete, 0, 1, 2},
		{"after the opening, not noted", opens + 1, opens + 2, false, calendar.Incomplete, 0, 1, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &leaders{t: t, notes: map[string]wire.Raw{}, over: map[string]jobstore.JobRecord{}}
			l.next(5, at(0), twoRegions, a, b)
			l.m.Tick(at(100))
			l.finish("wk-000001", at(3600))
			l.write(at(3600))
			l.m.Tick(at(3610))
			l.note(at(3610))
			for s := tc.end - 10; s <= tc.lost; s++ {
				l.m.Tick(at(s))
				if s == tc.end {
					l.finish("wk-000002", at(s))
				}
				if tc.noted {
					l.write(at(s))
				} else if j := l.m.NextBatch(12); j != nil { // the end is committed, the note is not
					for _, op := range j.Ops {
						if id, ok := jobstore.ParseFinalKey(op.Put); ok {
							l.over[id] = op.Value.(jobstore.JobRecord)
						}
					}
					j.OnCommit(9, at(s))
				}
			}
			if tc.noted {
				l.m.Tick(at(tc.lost + 3))
				l.note(at(tc.lost + 3))
			}
			behind := tc.lost + 5 - 1 // its clock is behind by a second
			l.next(6, at(behind), twoRegions)
			l.tell(at(behind))
			for s := behind; s < opens+120; s += 7 {
				l.m.Tick(at(s))
				l.note(at(s))
			}
			rec := l.record("brussels")
			if len(rec.Past) != 1 || len(rec.Nights) > 0 {
				t.Fatalf("%+v", rec)
			}
			if o := rec.Past[0]; o.How != tc.how || o.LateMs != tc.late || o.Done != tc.done || o.All != tc.all {
				t.Errorf("%+v", o)
			}
		})
	}
}

func TestForecastsAreMadeAgainWithTheirCause(t *testing.T) {
	l := &leaders{t: t, notes: map[string]wire.Raw{}, over: map[string]jobstore.JobRecord{}}
	l.next(5, at(0), twoRegions, nightJob("wk-000001", "tiles", 100, 10, 600))
	up := func(n int, from float64) {
		for s := from; s < from+40; s += 2 {
			for k := range n {
				r := rep(uint64(s), 5)
				r.Machine, r.Addr = fmt.Sprintf("host-%d", k), fmt.Sprintf("h-%d:1", k)
				answer(t, l.m, r, at(s))
			}
			l.m.Tick(at(s))
		}
	}
	has := func(cause string, atRisk bool) {
		t.Helper()
		v := l.m.BatchWindows(at(400))[0]
		if len(v.Nights) != 1 {
			t.Fatalf("%+v", v)
		}
		h := v.Nights[0]
		last := h.Replans[len(h.Replans)-1]
		if !strings.Contains(last.Cause, cause) || h.Forecast.AtRisk != atRisk {
			t.Errorf("%+v; %+v, want %s", last, h.Forecast, cause)
		}
	}
	up(8, 20) // 16 places for 100 tasks of ten minutes
	v := l.m.BatchWindows(at(60))[0].Nights[0]
	if finish := time.UnixMilli(v.Forecast.FinishMs).Sub(t0).Hours(); finish < 1 || finish > 1.5 || v.Forecast.AtRisk {
		t.Errorf("finished after %v h, %+v", finish, v)
	}
	if latest := time.UnixMilli(v.Forecast.LatestMs).Sub(t0).Hours(); latest < 6 || latest > 6.5 {
		t.Errorf("latest start after %v h", latest)
	}
	up(4, 100)
	if c := l.m.BatchWindows(at(140))[0].Nights[0].Replans; !strings.Contains(c[len(c)-1].Cause, "machines lost: 4 of 8") {
		t.Errorf("%+v", c)
	}
	more := nightJob("wk-000002", "tiles", 400, 200, 600)
	l.m.PutJob("wk-000002", more, 1, at(200))
	up(4, 200)
	if f := l.m.BatchWindows(at(240))[0].Nights[0]; !strings.Contains(f.Replans[len(f.Replans)-1].Cause, "more came") || !f.Forecast.AtRisk || f.Forecast.Why == "" {
		t.Errorf("%+v", f)
	}
	setPlan(t, l.m, 2, strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), at(250))
	up(4, 260)
	has("the plan changed", false)
	l.note(at(300))
	l.next(6, at(310), strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), nightJob("wk-000001", "tiles", 100, 10, 600), more)
	for s := 310.0; s < 340; s += 2 {
		r := rep(uint64(s), 6)
		answer(t, l.m, r, at(s))
		l.m.Tick(at(s))
	}
	has("another leader leads", true)
}

// A record that can't be read takes nothing else with it: the night is counted anew
// from the jobs that are not over, and comes out.
func TestADamagedRecordOfNights(t *testing.T) {
	job := nightJob("wk-000001", "tiles", 1, 10, 60)
	l := &leaders{t: t, notes: map[string]wire.Raw{jobstore.PlanStatePrefix + calendar.NoteOf("brussels"): {0x81, 0xa1, 'n', 0x91, 0x81}}, over: map[string]jobstore.JobRecord{}}
	l.next(6, at(3600), twoRegions, job)
	l.m.Tick(at(3601))
	l.finish("wk-000001", at(3700))
	l.write(at(3700))
	l.tell(at(promised + 10))
	if rec := l.record("brussels"); len(rec.Past) != 1 || rec.Past[0].How != calendar.Met || rec.Past[0].Done != 1 {
		t.Errorf("%+v", rec)
	}
}

// Nothing is written for regions to which nothing belongs.
func TestARegionNothingBelongsToWritesNothing(t *testing.T) {
	l := &leaders{t: t, notes: map[string]wire.Raw{}, over: map[string]jobstore.JobRecord{}}
	l.next(5, at(0), twoRegions, nightJob("wk-000001", "tiles", 1, 10, 60), nightJob("wk-000002", "day", 1, 10, 60))
	for s := 0.0; s < opens+600; s += 30 {
		l.m.Tick(at(s))
		l.note(at(s))
	}
	if _, ok := l.notes[jobstore.PlanStatePrefix+calendar.NoteOf("tunis")]; ok || len(l.notes) != 1 {
		t.Errorf("%d records", len(l.notes))
	}
	v := l.m.BatchWindows(at(opens + 600))
	if v[1].Region != "tunis" || len(v[1].Nights)+len(v[1].Past) > 0 || v[1].NextMs != at(31*3600).UnixMilli() {
		t.Errorf("%+v", v[1])
	}
}

// What nights cost a leader of a large fleet: every second a look, every ten a
// forecast.
func BenchmarkNights(b *testing.B) {
	for _, forecast := range []bool{false, true} {
		b.Run(fmt.Sprintf("forecast %v", forecast), func(b *testing.B) {
			m := newModel(5)
			p, err := plan.Parse(twoRegions)
			if err != nil {
				b.Fatal(err)
			}
			m.SetPlan(Plan{Plan: p, Number: 1, HeadVersion: 1}, at(0))
			for i := range 2000 {
				id := fmt.Sprintf("wk-%06d", i)
				m.PutJob(id, nightJob(id, []string{"tiles", "halls", "day"}[i%3], 20, 0, 300), 1, at(0))
			}
			for i := range 1300 {
				r := rep(1, 5)
				r.Machine, r.Addr = fmt.Sprintf("host-%d", i), fmt.Sprintf("h-%d:1", i)
				m.ApplyHeartbeat(r, at(1))
			}
			s := 5.0
			for b.Loop() {
				m.windows.lastScan = time.Time{}
				m.windows.lastForecast = at(s)
				if forecast {
					m.windows.lastForecast = time.Time{}
				}
				m.tickWindows(at(s))
			}
		})
	}
}
