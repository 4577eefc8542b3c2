package controller_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/controller"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/plans"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// Batch windows in these scenarios are minutes long. Simulated time begins at midnight UTC, 1
// January 2000, a Saturday.

const nightHours = `fri = "23:30", sat = "00:12", sun = "08:00"`

var nightPlan = plans.Region("here", nightHours, "00:00", 120, `class = "tiles"`) +
	plans.Region("empty", nightHours, "00:00", 120, `class = "nobody's"`)

// windowRecord decodes the committed schedule record of a region.
func windowRecord(t *testing.T, w *fake.Cluster, region string) (rec calendar.Record) {
	t.Helper()
	if raw := w.Store.Value(jobstore.PlanStatePrefix + calendar.RecordName(region)); raw != nil {
		if err := wire.Unmarshal(raw, &rec); err != nil {
			t.Fatal(err)
		}
	}
	return rec
}

// sleepUntilClock waits until a time of the first simulated day.
func sleepUntilClock(s string) {
	at, err := time.Parse("2006-01-02 15:04:05", "2000-01-01 "+s)
	if err != nil {
		panic(err) // a mistake in the test itself
	}
	time.Sleep(time.Until(at))
}

// awaitWindowOutcome waits until the outcome of a batch window is committed, and checks that it
// stays the only one.
func awaitWindowOutcome(t *testing.T, w *fake.Cluster) calendar.Outcome {
	t.Helper()
	for end := time.Now().Add(15 * time.Minute); len(windowRecord(t, w, "here").Past) == 0; {
		if time.Now().After(end) {
			t.Fatalf("no outcome: %+v", windowRecord(t, w, "here"))
		}
		time.Sleep(time.Second)
	}
	first := windowRecord(t, w, "here")
	time.Sleep(time.Minute)
	last := windowRecord(t, w, "here")
	if len(last.Past) != 1 || last.Past[0] != first.Past[0] {
		t.Errorf("outcomes %+v, and then %+v", first.Past, last.Past)
	}
	return last.Past[0]
}

func tileJob(n, tasks int, estimate float64) wire.Job {
	return job(n, func(j *wire.Job) {
		j.Class, j.Tasks, j.CPUs, j.EstimateS = "tiles", tasks, 4, estimate
	})
}

// awaitAllDone waits until all of the jobs are done, and returns the time.
func awaitAllDone(t *testing.T, w *fake.Cluster, ids ...string) time.Time {
	t.Helper()
	for _, id := range ids {
		mustReach(t, w, id, wire.JobDone, 20*time.Minute)
	}
	return time.Now()
}

// runBatchWindow runs a batch window of 24 layers on four machines, beside as much day work of the
// same priority that was submitted before, and returns how long it took to finish.
func runBatchWindow(t *testing.T, trouble func(w *fake.Cluster)) (finish time.Duration) {
	t.Helper()
	runScenario(t, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, nightPlan)
		for i := range 4 {
			mustSubmit(t, w, job(100+i, func(j *wire.Job) { j.Class, j.Tasks, j.CPUs, j.EstimateS = "day", 8, 4, 45 }))
		}
		var ids []string
		for i := range 12 {
			j := tileJob(i, 2, 40)
			mustSubmit(t, w, j)
			ids = append(ids, j.ID)
		}
		time.Sleep(20 * time.Second)
		promise := windowRecord(t, w, "here").Windows[0].DeadlineMs
		go trouble(w)
		finish = awaitAllDone(t, w, ids...).Sub(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
		if n := windowRecord(t, w, "here").Windows; len(n) != 1 || n[0].DeadlineMs != promise {
			t.Errorf("promised for %d, and then %+v", promise, n)
		}
		unfinished := 0
		for i := range 4 {
			if w.FinishedTasks(fmt.Sprintf("wk-%06d", 100+i)) < 8 {
				unfinished++
			}
		}
		if unfinished == 0 {
			t.Error("the day's work was over before the night's")
		}
		o := awaitWindowOutcome(t, w)
		if o.Result != calendar.ResultMet || o.Completed != 12 || o.Jobs != 12 {
			t.Errorf("%+v", o)
		}
		for i := range 4 {
			mustReach(t, w, fmt.Sprintf("wk-%06d", 100+i), wire.JobDone, 10*time.Minute)
		}
		if n := w.Started(); n != 24+32 {
			t.Errorf("%d starts of %d tasks", n, 24+32)
		}
		if rec := windowRecord(t, w, "empty"); rec.SavedAtMs != 0 {
			t.Errorf("written of a region nothing belongs to: %+v", rec)
		}
	})
	return finish
}

// All controllers are restarted one by one during a batch window: the deadlines stay the same, no
// work is repeated, and it finishes when an undisturbed window does, but for the time without a
// leader.
func TestAllControllersAreReplacedDuringABatchWindow(t *testing.T) {
	calm := runBatchWindow(t, func(*fake.Cluster) {})
	replaced := runBatchWindow(t, func(w *fake.Cluster) {
		for range 3 {
			restartLeader(w)
			time.Sleep(12 * time.Second)
		}
	})
	t.Logf("finished after %v, and with all controllers replaced after %v (simulated)", calm, replaced)
	// After a few seconds without a leader, or by the phase of the workers' heartbeats, the work
	// left at the end may need one more round of tasks: there are two possible finishes, 46 s
	// apart.
	if replaced > calm+time.Minute {
		t.Errorf("finished after %v, and untroubled after %v", replaced, calm)
	}
}

// The leader is paused across the opening, crashes before it, or nobody can write to the store: the
// outcome is decided once, by when layers were complete and known to be.
func TestWindowOutcomeIsDecidedOnceUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		ends   string // when the last layer's tasks end, roughly
		begin  func(w *fake.Cluster) (end func())
		how    calendar.Result
		done   int
		within time.Duration // the lateness is at most this
	}{
		{"the leader stands still, all was done", "00:07:00", stallLeader, calendar.ResultMet, 3, 0},
		{"the leader stands still, not all is done", "00:14:00", stallLeader, calendar.ResultIncomplete, 2, 0},
		{"the leader stands still, the last is late", "00:10:40", stallLeader, calendar.ResultLate, 3, 90 * time.Second},
		{"the leader crashes, all was done", "00:07:00", crashLeader, calendar.ResultMet, 3, 0},
		{"the leader crashes, not all is done", "00:14:00", crashLeader, calendar.ResultIncomplete, 2, 0},
		{"the state service is out, all was done", "00:07:00", storeOutage, calendar.ResultMet, 3, 0},
		{"the state service is out, the last was not known in time", "00:11:00", storeOutage, calendar.ResultIncomplete, 2, 0},
		{"the state service is out, not all is done", "00:14:00", storeOutage, calendar.ResultIncomplete, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 4, LeaseS: 200}, func(t *testing.T, w *fake.Cluster) {
				applyPlan(t, w, 0, nightPlan)
				at, err := time.Parse("15:04:05", c.ends)
				if err != nil {
					t.Fatal(err)
				}
				long := at.Sub(at.Truncate(24*time.Hour)) - time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
				mustSubmit(t, w, tileJob(1, 3, 60), tileJob(2, 2, 100), tileJob(3, 1, long.Seconds()-8))
				sleepUntilClock("00:09:50")
				end := c.begin(w)
				sleepUntilClock("00:12:30")
				end()
				o := awaitWindowOutcome(t, w)
				if o.Result != c.how || o.Completed != c.done || o.Jobs != 3 || time.Duration(o.LateMs)*time.Millisecond > c.within || c.how == calendar.ResultLate && o.LateMs <= 0 {
					t.Errorf("%+v", o)
				}
				mustReach(t, w, "wk-000003", wire.JobDone, 20*time.Minute)
			})
		})
	}
}

func stallLeader(w *fake.Cluster) func() {
	i := w.Leader()
	w.PauseNode(i)
	return func() { w.ResumeNode(i) }
}

func crashLeader(w *fake.Cluster) func() {
	i := w.Leader()
	w.KillNode(i)
	return func() { w.StartNode(i) }
}

func partitionLeaderFromStore(w *fake.Cluster) func() {
	i := w.Leader()
	w.PartitionNode(i, "state")
	return func() { w.HealNode(i, "state") }
}

func storeOutage(w *fake.Cluster) func() {
	w.Store.SetOutage(true)
	return func() { w.Store.SetOutage(false) }
}

// A plan applied during the batch window makes the opening earlier, and the leader crashes: the new
// deadline counts.
func TestPlanChangeMakesAWindowEndEarlier(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, nightPlan)
		mustSubmit(t, w, tileJob(1, 2, 60), tileJob(2, 1, 420))
		sleepUntilClock("00:03:00")
		if n := windowRecord(t, w, "here").Windows; len(n) != 1 || n[0].DeadlineMs%3600_000 != 600_000 || n[0].Forecast.AtRisk {
			t.Fatalf("%+v", n)
		}
		applyPlan(t, w, 1, strings.ReplaceAll(nightPlan, "00:12", "00:09"))
		lost := w.Leader()
		w.KillNode(lost)
		sleepUntilClock("00:04:00")
		n := windowRecord(t, w, "here").Windows
		if len(n) != 1 || n[0].DeadlineMs%3600_000 != 420_000 || !n[0].Forecast.AtRisk {
			t.Fatalf("%+v", n)
		}
		said := ""
		for _, r := range n[0].Reforecasts {
			said += r.Cause + "; "
		}
		if !strings.Contains(said, "the night began") || !strings.Contains(said, "the plan changed") && !strings.Contains(said, "another leader leads") {
			t.Errorf("forecasts were made again because %s", said)
		}
		l := w.Leader()
		for _, i := range []int{l, (l + 1) % 3, (l + 2) % 3} {
			if i == lost {
				continue
			}
			v := getOverview(t, w, i).Cluster.BatchWindows
			if len(v) != 2 || v[0].Region != "here" || v[0].Stale || v[0].Windows[0].DeadlineMs != n[0].DeadlineMs || v[0].Windows[0].Completed != 1 || len(v[1].Windows) > 0 {
				t.Errorf("node %d shows %+v", i, v)
			}
		}
		if text := getOperatorPath(t, w, l, controller.PathMetrics); !strings.Contains(text, "umberdeal_night_jobs_open 1") || !strings.Contains(text, "umberdeal_nights_at_risk 1") {
			t.Error("the gauges don't show the night")
		}
		if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultLate || o.Completed != 2 || o.OpeningMs%3600_000 != 540_000 {
			t.Errorf("%+v", o)
		}
	})
}

// Half of the machines are lost at once, and the leader with them: a reforecast is recorded with
// its cause, and the window's jobs go first on the machines that are left.
func TestHalfOfTheMachinesAreLost(t *testing.T) {
	runScenario(t, fake.Options{Machines: 6, Capacity: 6}, func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, nightPlan)
		var ids []string
		for i := range 6 {
			j := tileJob(i, 4, 60)
			mustSubmit(t, w, j)
			ids = append(ids, j.ID)
		}
		mustSubmit(t, w, job(100, func(j *wire.Job) { j.Class, j.Tasks, j.CPUs, j.EstimateS = "day", 24, 4, 60 }))
		sleepUntilClock("00:01:00")
		for _, m := range w.Cloud.Machines()[:3] {
			w.KillMachine(m)
		}
		w.Cloud.SetBootTimes(func(int) time.Duration { return -1 })
		sleepUntilClock("00:01:50")
		said := ""
		for _, r := range windowRecord(t, w, "here").Windows[0].Reforecasts {
			said += r.Cause + "; "
		}
		if !strings.Contains(said, "machines lost: 3 of 6 are left") {
			t.Errorf("forecasts were made again because %s", said)
		}
		w.KillNode(w.Leader())
		awaitAllDone(t, w, ids...)
		if w.FinishedTasks("wk-000100") >= 12 {
			t.Errorf("%d tasks of the day's work were done first", w.FinishedTasks("wk-000100"))
		}
		if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultMet || o.Completed != 6 {
			t.Errorf("%+v", o)
		}
	})
}

// Batch windows at special dates (daylight saving changes and the like), each with all controllers
// restarted one by one across the opening.
func TestBatchWindowsOfSpecialDates(t *testing.T) {
	for _, c := range []struct {
		name, begin, zone, region string
		want                      string // the opening, or none in this window
	}{
		{"daylight saving begins", "2000-03-26T00:40:00Z", "Europe/Brussels", `open = { sat = "23:00", sun = "03:05" }
evening = "01:40"`, "2000-03-26T03:05:00+02:00"},
		{"daylight saving ends", "2000-10-29T00:10:00Z", "Europe/Brussels", `open = { sat = "23:00", sun = "02:30" }
evening = "02:05"`, "2000-10-29T02:30:00+02:00"},
		{"no daylight saving", "2000-03-26T01:10:00Z", "Africa/Tunis", `open = { sat = "23:00", sun = "02:30" }
evening = "02:05"`, "2000-03-26T02:30:00+01:00"},
		{"just after midnight", "2000-03-27T21:50:00Z", "Europe/Brussels", `open = { mon = "00:05", tue = "00:05" }
evening = "23:45"`, "2000-03-28T00:05:00+02:00"},
		{"a holiday", "2000-04-24T05:50:00Z", "Europe/Brussels", `open = { mon = "08:10", tue = "08:10" }
holidays = "be"
evening = "07:45"`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				at, err := time.Parse(time.RFC3339, c.begin)
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Until(at))
				w := fake.New(fake.Options{Machines: 2})
				defer w.Close()
				time.Sleep(5 * time.Second)
				applyPlan(t, w, 0, fmt.Sprintf("[[calendar.regions]]\nname = \"here\"\nzone = %q\n%s\nmargin_s = 120\nwork = [ { class = \"tiles\" } ]\n", c.zone, c.region))
				mustSubmit(t, w, tileJob(1, 2, 60))
				awaitAllDone(t, w, "wk-000001")
				time.Sleep(time.Until(at.Add(11 * time.Minute)))
				for range 3 {
					i := w.Leader()
					w.KillNode(i)
					time.Sleep(2 * time.Minute)
					w.StartNode(i)
					time.Sleep(90 * time.Second)
				}
				if c.want == "" {
					if rec := windowRecord(t, w, "here"); len(rec.Past) > 0 || len(rec.Windows) != 1 || rec.Windows[0].Date != "2000-04-25" || rec.Windows[0].Completed != 1 {
						t.Errorf("%+v", rec)
					}
				} else if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultMet || o.Completed != 1 || time.UnixMilli(o.OpeningMs).Format(time.RFC3339) != mustParseTime(t, c.want).Local().Format(time.RFC3339) {
					t.Errorf("%+v, opens %v", o, time.UnixMilli(o.OpeningMs))
				}
				for _, b := range w.Violations() {
					t.Errorf("rule broken: %s", b)
				}
			})
		})
	}
}

func mustParseTime(t *testing.T, s string) time.Time {
	t.Helper()
	at, err := time.Parse(time.RFC3339, s)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// Batch windows with different seeds, with day work of the same priority arriving all the time,
// together somewhat more than the machines can do. STORY_SEEDS sets how many are run.
func TestBatchDeadlinesAreMetBesideOtherJobs(t *testing.T) {
	seeds := uint64(2)
	if n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for _, text := range []string{"", nightPlan} {
		var sum mixedWindowResult
		for seed := range seeds {
			got := runMixedWindow(t, seed+1, text)
			sum.met, sum.day, sum.begun, sum.longest = sum.met+got.met, sum.day+got.day, sum.begun+got.begun, max(sum.longest, got.longest)
			sum.finish += got.finish
			sum.changes += got.changes
		}
		t.Logf("plan %v: %d of %d nights met, finished after %v on average; %d of %d day jobs begun within 240 s, the longest wait %v; %d changes (simulated)",
			text != "", sum.met, seeds, (sum.finish / time.Duration(seeds)).Round(time.Second), sum.begun, sum.day, sum.longest.Round(time.Second), sum.changes)
		if text != "" && (sum.met < int(seeds) || 2*sum.begun < sum.day) {
			t.Errorf("with the calendar, %d of %d nights met, %d of %d day jobs begun in time", sum.met, seeds, sum.begun, sum.day)
		}
	}
}

type mixedWindowResult struct {
	met, day, begun int
	longest, finish time.Duration
	changes         int // changes in the key-value store
}

// runMixedWindow runs a batch window during which two leaders crash.
func runMixedWindow(t *testing.T, seed uint64, text string) (got mixedWindowResult) {
	t.Helper()
	runScenario(t, fake.Options{Machines: 4, Capacity: 4, Seed: seed}, func(t *testing.T, w *fake.Cluster) {
		if text != "" {
			applyPlan(t, w, 0, text)
		}
		rnd := rand.New(rand.NewPCG(seed, 5))
		began := time.Now()
		came := map[string]time.Time{}
		var layers []string
		end := time.Date(2000, 1, 1, 0, 10, 0, 0, time.UTC)
		var finish time.Time
		for i := 0; time.Now().Before(end); i++ {
			if i < 14 {
				j := tileJob(i, 2+rnd.IntN(3), 30+rnd.Float64()*60)
				mustSubmit(t, w, j)
				layers = append(layers, j.ID)
			}
			j := job(100+i, func(j *wire.Job) {
				j.Class, j.Tasks, j.CPUs, j.EstimateS = "day", 1+rnd.IntN(3), 4, 20+rnd.Float64()*40
			})
			mustSubmit(t, w, j)
			came[j.ID] = time.Now()
			if i == 6 || i == 14 {
				l := w.Leader()
				w.KillNode(l)
				go func() { time.Sleep(20 * time.Second); w.StartNode(l) }()
			}
			for until := time.Now().Add(14 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
				got.watch(w, came)
				if finish.IsZero() && len(layers) == 14 && !slices.ContainsFunc(layers, func(id string) bool { return w.PollState(w.AnyNodeAddr(), id) != wire.JobDone }) {
					finish = time.Now()
				}
			}
		}
		for len(came) > 0 || finish.IsZero() {
			if time.Since(end) > time.Hour {
				t.Fatalf("%d day jobs have not begun", len(came))
			}
			time.Sleep(2 * time.Second)
			got.watch(w, came)
			if finish.IsZero() && !slices.ContainsFunc(layers, func(id string) bool { return w.PollState(w.AnyNodeAddr(), id) != wire.JobDone }) {
				finish = time.Now()
			}
		}
		got.finish, got.changes = finish.Sub(began), w.Store.Changes()
		if finish.Before(end) {
			got.met = 1
		}
	})
	return got
}

// watch records which of the day's jobs have begun.
func (x *mixedWindowResult) watch(w *fake.Cluster, came map[string]time.Time) {
	for id, at := range came {
		began := w.FinishedTasks(id) > 0
		for k := range 3 {
			began = began || len(w.MachinesRunning(wire.TaskName(id, k))) > 0
		}
		if !began {
			continue
		}
		wait := time.Since(at)
		x.day++
		if wait <= 240*time.Second {
			x.begun++
		}
		x.longest = max(x.longest, wait)
		delete(came, id)
	}
}

// runScaleOutAheadWindow runs a batch window with a layer of that many tasks of a minute each, on
// machines with room for eight of them that take a minute to boot; one is there from the start. It
// returns the outcome, how many machines were rented, and for how many seconds machines were paid.
func runScaleOutAheadWindow(t *testing.T, o fake.Options, tasks int, opens string, trouble func(w *fake.Cluster)) (out calendar.Outcome, rented, paid int) {
	t.Helper()
	big := fake.DefaultType
	big.CPUs, big.MemoryGB, big.BootS = 32, 256, 60
	o.Types, o.Machines = []wire.MachineType{big}, 1
	runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
		sleepUntilClock("00:00:40") // by now the leader knows its machines
		applyPlan(t, w, 0, strings.ReplaceAll(nightPlan, "00:12", opens))
		mustSubmit(t, w, tileJob(1, tasks, 60))
		go trouble(w)
		over := make(chan struct{})
		defer close(over)
		go func() {
			for ; ; paid++ {
				select {
				case <-over:
					return
				case <-time.After(time.Second):
					paid += max(0, len(w.Cloud.Machines())-1)
				}
			}
		}()
		if o.Capacity == 1 {
			sleepUntilClock("00:01:00")
			// Rentals are retried all the time: a forecast made just after a request assumes that
			// the machines are coming.
			if !scenario.Eventually(4*time.Minute, time.Second, func() bool {
				n := windowRecord(t, w, "here").Windows
				return len(n) == 1 && strings.Contains(n[0].Forecast.Reason, "no machines are to be had")
			}) {
				t.Errorf("no forecast names the cloud: %+v", windowRecord(t, w, "here").Windows)
			}
		}
		out = awaitWindowOutcome(t, w)
		if w.Cancel("wk-000001") != wire.JobCancelled {
			mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		}
		time.Sleep(90 * time.Second)
		if n := len(w.Cloud.Machines()); n > 2 {
			t.Errorf("%d machines are kept when all is done", n)
		}
		rented = w.Cloud.RentedMachines()
	})
	return out, rented, paid
}

// A layer of more tasks than one scheduling pass requests room for: without scaling out ahead, each
// boot time brings room for 64 more tasks only, and the window is late. The same number of machines
// is rented when the leader crashes in between, and lost machines are replaced in time. Where the
// cloud has no machines, the forecast says so.
func TestBatchWindowsScaleOutAhead(t *testing.T) {
	plain := 0
	for _, c := range []struct {
		name    string
		room    int
		how     calendar.Result
		trouble func(w *fake.Cluster)
		extra   int // machines rented beyond those of the undisturbed window
	}{
		{"untroubled", 200, calendar.ResultMet, func(*fake.Cluster) {}, 0},
		{"the leader dies between record and rental", 200, calendar.ResultMet, func(w *fake.Cluster) {
			w.Cloud.SetDropReplies(true)
			for len(w.Cloud.Machines()) < 12 {
				time.Sleep(100 * time.Millisecond)
			}
			crashLeader(w)
			w.Cloud.SetDropReplies(false)
		}, 30},
		{"the cloud answers late, and half of the machines are lost", 200, calendar.ResultMet, func(w *fake.Cluster) {
			w.Cloud.SetReplyDelay(15 * time.Second)
			sleepUntilClock("00:04:00")
			all := w.Cloud.Machines()
			for _, name := range all[:len(all)/2] {
				w.KillMachine(name)
			}
		}, 60},
		{"there are no machines", 1, calendar.ResultIncomplete, func(*fake.Cluster) {}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, rented, paid := runScaleOutAheadWindow(t, fake.Options{Capacity: c.room}, 1500, "00:08", c.trouble)
			t.Logf("%s; %d machines rented, %d machine-seconds (simulated)", o.String(), rented, paid)
			if o.Result != c.how || rented > plain+c.extra && plain > 0 {
				t.Errorf("%s, want %s; %d machines rented, untroubled %d", o.String(), c.how, rented, plain)
			}
			if plain == 0 {
				plain = rented
			}
		})
	}
}
