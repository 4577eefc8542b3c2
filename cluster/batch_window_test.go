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

// twoRegions has batch windows until 08:00 and 07:00 on 1 January 2026, a Thursday; t0 is
// its midnight.
var twoRegions = plans.Region("brussels", `wed = "08:00", thu = "08:00", fri = "08:00"`, "18:00", 1800, `class = "tiles"`) +
	plans.Region("tunis", `wed = "07:00", thu = "07:00", fri = "07:00"`, "18:00", 1800, `class = "halls"`)

func applyPlan(t *testing.T, m *Model, head uint64, text string, now time.Time) {
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

// windowJob is a record of a job of a class, accepted so many seconds after midnight.
func windowJob(id, class string, tasks int, acceptedAt, estimate float64) jobstore.JobRecord {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs, rec.Job.Class, rec.Job.EstimateS, rec.Job.CPUs = at(acceptedAt).UnixMilli(), class, estimate, 4
	return rec
}

func TestQueueOrdersWindowJobsByDeadlineWithinPriority(t *testing.T) {
	m := newModel(5)
	applyPlan(t, m, 1, twoRegions, at(0))
	m.settings.Cluster.Objectives = []config.Objective{{Kind: "wait", Class: "day", WithinS: 1000}, {Kind: "deadline", Class: "tiles", Times: 1}}
	put := func(n int, class string, acceptedAt, estimate float64, change func(*wire.Job)) {
		rec := windowJob(fmt.Sprintf("wk-%06d", n), class, 1, acceptedAt, estimate)
		if change != nil {
			change(&rec.Job)
		}
		m.ApplyJobRecord(rec.Job.ID, rec, 1, at(acceptedAt))
	}
	put(1, "day", 0, 60, nil)
	put(2, "tiles", 10, 60, nil)
	put(3, "tiles", 20, 600, nil)
	put(4, "halls", 30, 60, nil)
	put(5, "day", 40, 60, func(j *wire.Job) { j.Priority = wire.PriorityHigh })
	deadline := 3600.0
	put(6, "tiles", 50, 60, func(j *wire.Job) { j.DeadlineS = &deadline }) // tighter than any opening
	put(7, "halls", 60, 60, func(j *wire.Job) { j.Kind = wire.KindService })
	ids, _ := queueOrder(m, 100)
	want := []string{"wk-000005", "wk-000006", "wk-000004", "wk-000003", "wk-000002", "wk-000001", "wk-000007"}
	if !slices.Equal(ids, want) {
		t.Errorf("in order %v, want %v", ids, want)
	}
	if w, ok := m.Explain("wk-000001", at(100)); !ok || w.AheadByReason["a night's work"] != 4 || w.AheadByReason["priority"] != 1 {
		t.Errorf("it waits for %+v", w)
	}
	// Without a calendar, as before.
	m.SetPlan(Plan{Plan: &plan.Plan{}, Number: 2, HeadVersion: 2}, at(100))
	if ids, _ := queueOrder(m, 100); ids[1] != "wk-000001" {
		t.Errorf("without a calendar in order %v", ids)
	}
}

// leaderSequence stands for the key-value store across leaders: it keeps the plan records
// and the final records of jobs that they have committed.
type leaderSequence struct {
	t            *testing.T
	planRecords  map[string]wire.Raw
	finalRecords map[string]jobstore.JobRecord
	model        *Model
}

// failover makes a new leader's model from what was committed and from the given jobs that
// are not over.
func (l *leaderSequence) failover(token uint64, now time.Time, text string, open ...jobstore.JobRecord) {
	l.t.Helper()
	m := newModel(token)
	m.ElectedAt, m.settings.Cluster.SkewMs = now, 1000
	for key, raw := range l.planRecords {
		m.LoadPlanRecord(key, raw, 1)
	}
	applyPlan(l.t, m, 1, text, now)
	for i := range open {
		m.ApplyJobRecord(open[i].Job.ID, open[i], 1, now)
	}
	m.FinishLoading(now)
	l.model = m
}

// commitAll commits all that the leader wants written.
func (l *leaderSequence) commitAll(now time.Time) {
	for range 20 {
		l.model.SetCompletionTime(now)
		b := l.model.NextBatch(12)
		if b == nil {
			break
		}
		for _, op := range b.Ops {
			if id, ok := jobstore.ParseFinalKey(op.Put); ok {
				l.finalRecords[id] = op.Value.(jobstore.JobRecord)
			}
		}
		b.OnCommit(uint64(now.Unix()), now)
	}
	l.commitPlanRecords(now)
}

func (l *leaderSequence) commitPlanRecords(now time.Time) {
	for b := l.model.PlanRecordBatch(12); b != nil; b = l.model.PlanRecordBatch(12) {
		for _, op := range b.Ops {
			l.planRecords[op.Put] = op.Value.(wire.Raw)
		}
		b.OnCommit(uint64(now.Unix()), now)
	}
}

func (l *leaderSequence) record(region string) (rec calendar.Record) {
	l.t.Helper()
	if raw, ok := l.planRecords[jobstore.PlanStatePrefix+calendar.RecordName(region)]; ok {
		if err := wire.Unmarshal(raw, &rec); err != nil {
			l.t.Fatal(err)
		}
	}
	return rec
}

// finish marks a job's tasks as done, so that its end can be committed.
func (l *leaderSequence) finish(id string, now time.Time) {
	j := l.model.Job(id)
	for i := range j.Tasks {
		j.Tasks[i].Phase = TaskDone
	}
	j.DoneTasks = len(j.Tasks)
	l.model.writes.markJob(j)
	l.model.Tick(now)
}

func (l *leaderSequence) resolveJobs(now time.Time) {
	for _, id := range l.model.UnresolvedWindowJobs(100) {
		if rec, ok := l.finalRecords[id]; ok {
			l.model.ResolveWindowJob(id, &rec, now)
		} else {
			l.model.ResolveWindowJob(id, nil, now)
		}
	}
	l.model.Tick(now)
	l.commitPlanRecords(now)
}

const (
	brusselsDeadline = 7.5 * 3600 // brussels
	brusselsOpening  = 8 * 3600
)

// The leader is lost around the opening, and the next one's clock is behind by the largest
// clock skew allowed: the outcome is decided once, by the times at which jobs ended.
func TestFailoverToSlowClockDecidesOutcomeOnce(t *testing.T) {
	a, b := windowJob("wk-000001", "tiles", 1, 10, 60), windowJob("wk-000002", "tiles", 1, 20, 60)
	for _, tc := range []struct {
		name      string
		end       float64 // of the last job
		lost      float64 // when the first leader is
		committed bool    // its last plan record
		how       calendar.Result
		late      int64
		done, all int
	}{
		{"before the deadline", brusselsDeadline - 100, brusselsDeadline - 50, true, calendar.ResultMet, 0, 2, 2},
		{"before the deadline, record not committed", brusselsDeadline - 60, brusselsDeadline - 59, false, calendar.ResultMet, 0, 2, 2},
		{"after the outcome", brusselsDeadline - 60, brusselsDeadline + 4, true, calendar.ResultMet, 0, 2, 2},
		{"after the outcome, record not committed", brusselsDeadline - 60, brusselsDeadline + 4, false, calendar.ResultMet, 0, 2, 2},
		{"late, record not committed", brusselsDeadline + 60, brusselsDeadline + 61, false, calendar.ResultLate, 60_000, 2, 2},
		{"after the opening", brusselsOpening + 60, brusselsOpening + 61, true, calendar.ResultIncomplete, 0, 1, 2},
		{"after the opening, record not committed", brusselsOpening + 1, brusselsOpening + 2, false, calendar.ResultIncomplete, 0, 1, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
			l.failover(5, at(0), twoRegions, a, b)
			l.model.Tick(at(100))
			l.finish("wk-000001", at(3600))
			l.commitAll(at(3600))
			l.model.Tick(at(3610))
			l.commitPlanRecords(at(3610))
			for s := tc.end - 10; s <= tc.lost; s++ {
				l.model.Tick(at(s))
				if s == tc.end {
					l.finish("wk-000002", at(s))
				}
				if tc.committed {
					l.commitAll(at(s))
				} else if j := l.model.NextBatch(12); j != nil { // the end is committed, the plan record is not
					for _, op := range j.Ops {
						if id, ok := jobstore.ParseFinalKey(op.Put); ok {
							l.finalRecords[id] = op.Value.(jobstore.JobRecord)
						}
					}
					j.OnCommit(9, at(s))
				}
			}
			if tc.committed {
				l.model.Tick(at(tc.lost + 3))
				l.commitPlanRecords(at(tc.lost + 3))
			}
			behind := tc.lost + 5 - 1 // its clock is behind by a second
			l.failover(6, at(behind), twoRegions)
			l.resolveJobs(at(behind))
			for s := behind; s < brusselsOpening+120; s += 7 {
				l.model.Tick(at(s))
				l.commitPlanRecords(at(s))
			}
			rec := l.record("brussels")
			if len(rec.Past) != 1 || len(rec.Windows) > 0 {
				t.Fatalf("%+v", rec)
			}
			if o := rec.Past[0]; o.Result != tc.how || o.LateMs != tc.late || o.Completed != tc.done || o.Jobs != tc.all {
				t.Errorf("%+v", o)
			}
		})
	}
}

func TestReforecastsRecordTheirCause(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(5, at(0), twoRegions, windowJob("wk-000001", "tiles", 100, 10, 600))
	up := func(n int, from float64) {
		for s := from; s < from+40; s += 2 {
			for k := range n {
				r := newHeartbeat(uint64(s), 5)
				r.Machine, r.Addr = fmt.Sprintf("host-%d", k), fmt.Sprintf("h-%d:1", k)
				answer(t, l.model, r, at(s))
			}
			l.model.Tick(at(s))
		}
	}
	has := func(cause string, atRisk bool) {
		t.Helper()
		v := l.model.BatchWindows(at(400))[0]
		if len(v.Windows) != 1 {
			t.Fatalf("%+v", v)
		}
		h := v.Windows[0]
		last := h.Reforecasts[len(h.Reforecasts)-1]
		if !strings.Contains(last.Cause, cause) || h.Forecast.AtRisk != atRisk {
			t.Errorf("%+v; %+v, want %s", last, h.Forecast, cause)
		}
	}
	up(8, 20) // 16 places for 100 tasks of ten minutes
	v := l.model.BatchWindows(at(60))[0].Windows[0]
	if finish := time.UnixMilli(v.Forecast.FinishMs).Sub(t0).Hours(); finish < 1 || finish > 1.5 || v.Forecast.AtRisk {
		t.Errorf("finished after %v h, %+v", finish, v)
	}
	if latest := time.UnixMilli(v.Forecast.LatestStartMs).Sub(t0).Hours(); latest < 6 || latest > 6.5 {
		t.Errorf("latest start after %v h", latest)
	}
	up(4, 100)
	if c := l.model.BatchWindows(at(140))[0].Windows[0].Reforecasts; !strings.Contains(c[len(c)-1].Cause, "machines lost: 4 of 8") {
		t.Errorf("%+v", c)
	}
	more := windowJob("wk-000002", "tiles", 400, 200, 600)
	l.model.ApplyJobRecord("wk-000002", more, 1, at(200))
	up(4, 200)
	if f := l.model.BatchWindows(at(240))[0].Windows[0]; !strings.Contains(f.Reforecasts[len(f.Reforecasts)-1].Cause, "more came") || !f.Forecast.AtRisk || f.Forecast.Reason == "" {
		t.Errorf("%+v", f)
	}
	applyPlan(t, l.model, 2, strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), at(250))
	up(4, 260)
	has("the plan changed", false)
	l.commitPlanRecords(at(300))
	l.failover(6, at(310), strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), windowJob("wk-000001", "tiles", 100, 10, 600), more)
	for s := 310.0; s < 340; s += 2 {
		r := newHeartbeat(uint64(s), 6)
		answer(t, l.model, r, at(s))
		l.model.Tick(at(s))
	}
	has("another leader leads", true)
}

// An unreadable record affects nothing else: the batch window is counted anew from the jobs
// that are not over, and its outcome is decided.
func TestUnreadableWindowRecordIsRebuiltFromOpenJobs(t *testing.T) {
	job := windowJob("wk-000001", "tiles", 1, 10, 60)
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{jobstore.PlanStatePrefix + calendar.RecordName("brussels"): {0x81, 0xa1, 'n', 0x91, 0x81}}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(6, at(3600), twoRegions, job)
	l.model.Tick(at(3601))
	l.finish("wk-000001", at(3700))
	l.commitAll(at(3700))
	l.resolveJobs(at(brusselsDeadline + 10))
	if rec := l.record("brussels"); len(rec.Past) != 1 || rec.Past[0].Result != calendar.ResultMet || rec.Past[0].Completed != 1 {
		t.Errorf("%+v", rec)
	}
}

// Regions that no job belongs to get no record.
func TestRegionWithoutJobsWritesNoRecord(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(5, at(0), twoRegions, windowJob("wk-000001", "tiles", 1, 10, 60), windowJob("wk-000002", "day", 1, 10, 60))
	for s := 0.0; s < brusselsOpening+600; s += 30 {
		l.model.Tick(at(s))
		l.commitPlanRecords(at(s))
	}
	if _, ok := l.planRecords[jobstore.PlanStatePrefix+calendar.RecordName("tunis")]; ok || len(l.planRecords) != 1 {
		t.Errorf("%d records", len(l.planRecords))
	}
	v := l.model.BatchWindows(at(brusselsOpening + 600))
	if v[1].Region != "tunis" || len(v[1].Windows)+len(v[1].Past) > 0 || v[1].NextOpeningMs != at(31*3600).UnixMilli() {
		t.Errorf("%+v", v[1])
	}
}

// BenchmarkBatchWindows measures what batch windows cost the leader of a large cluster: a
// scan every second, a forecast every ten.
func BenchmarkBatchWindows(b *testing.B) {
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
				m.ApplyJobRecord(id, windowJob(id, []string{"tiles", "halls", "day"}[i%3], 20, 0, 300), 1, at(0))
			}
			for i := range 1300 {
				r := newHeartbeat(1, 5)
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
