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

// twoRegions has batch windows until 08:00 and 07:00 on 1 January 2026, a Thursday. t0 is the
// midnight at the start of that day.
var twoRegions = plans.Region("brussels", `wed = "08:00", thu = "08:00", fri = "08:00"`, "18:00", 1800, `class = "tiles"`) +
	plans.Region("tunis", `wed = "07:00", thu = "07:00", fri = "07:00"`, "18:00", 1800, `class = "halls"`)

// applyPlan parses and checks a plan and applies it to the model.
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

// windowJob returns the record of an array job. acceptedAt is in seconds after midnight.
func windowJob(id, class string, tasks int, acceptedAt, estimate float64) jobstore.JobRecord {
	rec := arrayJob(id, tasks)
	rec.AcceptedAtMs, rec.Job.Class, rec.Job.EstimateS, rec.Job.CPUs = at(acceptedAt).UnixMilli(), class, estimate, 4
	return rec
}

// Within a priority, jobs of a batch window must precede all others, whichever were accepted first.
// Among them, earlier deadlines must come first, and then longer jobs. Otherwise a batch window could
// miss its deadline although there are enough machines.
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
	put(6, "tiles", 50, 60, func(j *wire.Job) { j.DeadlineS = &deadline }) // earlier than the deadline of any batch window
	put(7, "halls", 60, 60, func(j *wire.Job) { j.Kind = wire.KindService })
	ids, _ := queueOrder(m, 100)
	want := []string{"wk-000005", "wk-000006", "wk-000004", "wk-000003", "wk-000002", "wk-000001", "wk-000007"}
	if !slices.Equal(ids, want) {
		t.Errorf("queue order: got %v, want %v", ids, want)
	}
	if w, ok := m.Explain("wk-000001", at(100)); !ok || w.AheadByReason["a night's work"] != 4 || w.AheadByReason["priority"] != 1 {
		t.Errorf("jobs ahead: got %+v, want 4 of a batch window and 1 of higher priority", w)
	}
	// Without a calendar the objectives alone determine the order.
	m.SetPlan(Plan{Plan: &plan.Plan{}, Number: 2, HeadVersion: 2}, at(100))
	if ids, _ := queueOrder(m, 100); ids[1] != "wk-000001" {
		t.Errorf("queue order without a calendar: got %v, want wk-000001 second", ids)
	}
}

// leaderSequence simulates the key-value store across leaders. It keeps the plan records and the
// final records of jobs that they have committed.
type leaderSequence struct {
	t            *testing.T
	planRecords  map[string]wire.Raw
	finalRecords map[string]jobstore.JobRecord
	model        *Model
}

// failover creates a new leader's model from the committed records and the given unfinished jobs.
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

// commitAll commits everything that the leader has to write.
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

// commitPlanRecords commits the plan records that the leader has to write.
func (l *leaderSequence) commitPlanRecords(now time.Time) {
	for b := l.model.PlanRecordBatch(12); b != nil; b = l.model.PlanRecordBatch(12) {
		for _, op := range b.Ops {
			l.planRecords[op.Put] = op.Value.(wire.Raw)
		}
		b.OnCommit(uint64(now.Unix()), now)
	}
}

// record returns a region's committed record, or an empty one.
func (l *leaderSequence) record(region string) (rec calendar.Record) {
	l.t.Helper()
	if raw, ok := l.planRecords[jobstore.PlanStatePrefix+calendar.RecordName(region)]; ok {
		if err := wire.Unmarshal(raw, &rec); err != nil {
			l.t.Fatal(err)
		}
	}
	return rec
}

// finish marks a job's tasks as done, so that the job's end can be committed.
func (l *leaderSequence) finish(id string, now time.Time) {
	j := l.model.Job(id)
	for i := range j.Tasks {
		j.Tasks[i].Phase = TaskDone
	}
	j.DoneTasks = len(j.Tasks)
	l.model.writes.markJob(j)
	l.model.Tick(now)
}

// resolveJobs resolves the jobs that ended without a leader seeing it, as the caller of
// UnresolvedWindowJobs does.
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
	brusselsDeadline = 7.5 * 3600 // seconds after midnight
	brusselsOpening  = 8 * 3600   // seconds after midnight
)

// Guards against outcomes that are decided twice or by the wrong clock. The leader is lost around the
// opening, and the next one's clock is behind by the maximum clock skew. The outcome must be decided
// once, by the times at which the jobs ended.
func TestFailoverToSlowClockDecidesOutcomeOnce(t *testing.T) {
	a, b := windowJob("wk-000001", "tiles", 1, 10, 60), windowJob("wk-000002", "tiles", 1, 20, 60)
	for _, tc := range []struct {
		name                    string
		endSecond               float64 // end of the last job
		lossSecond              float64 // loss of the first leader
		isCommitted             bool    // the first leader's last plan record is committed before the loss
		wantResult              calendar.Result
		wantLateMs              int64
		wantCompleted, wantJobs int
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
			for s := tc.endSecond - 10; s <= tc.lossSecond; s++ {
				l.model.Tick(at(s))
				if s == tc.endSecond {
					l.finish("wk-000002", at(s))
				}
				if tc.isCommitted {
					l.commitAll(at(s))
				} else if batch := l.model.NextBatch(12); batch != nil { // the job's end is committed, but not the plan record
					for _, op := range batch.Ops {
						if id, ok := jobstore.ParseFinalKey(op.Put); ok {
							l.finalRecords[id] = op.Value.(jobstore.JobRecord)
						}
					}
					batch.OnCommit(9, at(s))
				}
			}
			if tc.isCommitted {
				l.model.Tick(at(tc.lossSecond + 3))
				l.commitPlanRecords(at(tc.lossSecond + 3))
			}
			takeover := tc.lossSecond + 5 - 1 // its clock is behind by a second
			l.failover(6, at(takeover), twoRegions)
			l.resolveJobs(at(takeover))
			for s := takeover; s < brusselsOpening+120; s += 7 {
				l.model.Tick(at(s))
				l.commitPlanRecords(at(s))
			}
			rec := l.record("brussels")
			if len(rec.Past) != 1 || len(rec.Windows) > 0 {
				t.Fatalf("record: got %+v, want one past batch window and no open one", rec)
			}
			if o := rec.Past[0]; o.Result != tc.wantResult || o.LateMs != tc.wantLateMs || o.Completed != tc.wantCompleted || o.Jobs != tc.wantJobs {
				t.Errorf("outcome: got %+v, want %v, %d ms late, %d of %d completed", o, tc.wantResult, tc.wantLateMs, tc.wantCompleted, tc.wantJobs)
			}
		})
	}
}

// A reforecast must record the change that caused it: lost machines, more jobs, a new plan, or another
// leader. Otherwise operators could not tell why a batch window came to be at risk.
func TestReforecastsRecordTheirCause(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(5, at(0), twoRegions, windowJob("wk-000001", "tiles", 100, 10, 600))
	sendHeartbeats := func(n int, from float64) {
		for s := from; s < from+40; s += 2 {
			for i := range n {
				r := newHeartbeat(uint64(s), 5)
				r.Machine, r.Addr = fmt.Sprintf("host-%d", i), fmt.Sprintf("h-%d:1", i)
				answer(t, l.model, r, at(s))
			}
			l.model.Tick(at(s))
		}
	}
	checkLastForecast := func(cause string, atRisk bool) {
		t.Helper()
		v := l.model.BatchWindows(at(400))[0]
		if len(v.Windows) != 1 {
			t.Fatalf("brussels: got %+v, want one open batch window", v)
		}
		window := v.Windows[0]
		last := window.Reforecasts[len(window.Reforecasts)-1]
		if !strings.Contains(last.Cause, cause) || window.Forecast.AtRisk != atRisk {
			t.Errorf("last reforecast: got %+v with %+v, want cause %q, at risk %t", last, window.Forecast, cause, atRisk)
		}
	}
	sendHeartbeats(8, 20) // 16 places for 100 tasks of 10 minutes
	v := l.model.BatchWindows(at(60))[0].Windows[0]
	if finish := time.UnixMilli(v.Forecast.FinishMs).Sub(t0).Hours(); finish < 1 || finish > 1.5 || v.Forecast.AtRisk {
		t.Errorf("forecast: got completion after %v h (%+v), want 1 h to 1.5 h and no risk", finish, v)
	}
	if latest := time.UnixMilli(v.Forecast.LatestStartMs).Sub(t0).Hours(); latest < 6 || latest > 6.5 {
		t.Errorf("latest start: got %v h after midnight, want 6 h to 6.5 h", latest)
	}
	sendHeartbeats(4, 100)
	if c := l.model.BatchWindows(at(140))[0].Windows[0].Reforecasts; !strings.Contains(c[len(c)-1].Cause, "machines lost: 4 of 8") {
		t.Errorf("reforecasts: got %+v, want the loss of 4 of 8 machines as the last cause", c)
	}
	more := windowJob("wk-000002", "tiles", 400, 200, 600)
	l.model.ApplyJobRecord("wk-000002", more, 1, at(200))
	sendHeartbeats(4, 200)
	if f := l.model.BatchWindows(at(240))[0].Windows[0]; !strings.Contains(f.Reforecasts[len(f.Reforecasts)-1].Cause, "more came") || !f.Forecast.AtRisk || f.Forecast.Reason == "" {
		t.Errorf("batch window: got %+v, want more jobs as the last cause, and a forecast at risk with a reason", f)
	}
	applyPlan(t, l.model, 2, strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), at(250))
	sendHeartbeats(4, 260)
	checkLastForecast("the plan changed", false)
	l.commitPlanRecords(at(300))
	l.failover(6, at(310), strings.Replace(twoRegions, `thu = "08:00"`, `thu = "23:00"`, 1), windowJob("wk-000001", "tiles", 100, 10, 600), more)
	for s := 310.0; s < 340; s += 2 {
		r := newHeartbeat(uint64(s), 6)
		answer(t, l.model, r, at(s))
		l.model.Tick(at(s))
	}
	checkLastForecast("another leader leads", true)
}

// An unreadable record must not stop a batch window. The window is counted anew from the unfinished
// jobs, and its outcome is decided.
func TestUnreadableWindowRecordIsRebuiltFromOpenJobs(t *testing.T) {
	job := windowJob("wk-000001", "tiles", 1, 10, 60)
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{jobstore.PlanStatePrefix + calendar.RecordName("brussels"): {0x81, 0xa1, 'n', 0x91, 0x81}}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(6, at(3600), twoRegions, job)
	l.model.Tick(at(3601))
	l.finish("wk-000001", at(3700))
	l.commitAll(at(3700))
	l.resolveJobs(at(brusselsDeadline + 10))
	if rec := l.record("brussels"); len(rec.Past) != 1 || rec.Past[0].Result != calendar.ResultMet || rec.Past[0].Completed != 1 {
		t.Errorf("record: got %+v, want one batch window that was met with one completed job", rec)
	}
}

// A region without jobs must get no record.
func TestRegionWithoutJobsWritesNoRecord(t *testing.T) {
	l := &leaderSequence{t: t, planRecords: map[string]wire.Raw{}, finalRecords: map[string]jobstore.JobRecord{}}
	l.failover(5, at(0), twoRegions, windowJob("wk-000001", "tiles", 1, 10, 60), windowJob("wk-000002", "day", 1, 10, 60))
	for s := 0.0; s < brusselsOpening+600; s += 30 {
		l.model.Tick(at(s))
		l.commitPlanRecords(at(s))
	}
	if _, ok := l.planRecords[jobstore.PlanStatePrefix+calendar.RecordName("tunis")]; ok || len(l.planRecords) != 1 {
		t.Errorf("got %d plan records, want only that of brussels", len(l.planRecords))
	}
	v := l.model.BatchWindows(at(brusselsOpening + 600))
	if v[1].Region != "tunis" || len(v[1].Windows)+len(v[1].Past) > 0 || v[1].NextOpeningMs != at(31*3600).UnixMilli() {
		t.Errorf("region without jobs: got %+v, want tunis without batch windows and its next opening on the next day", v[1])
	}
}

// BenchmarkBatchWindows measures the cost of batch windows for the leader of a large cluster, which
// scans jobs every second and makes forecasts every ten seconds.
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
