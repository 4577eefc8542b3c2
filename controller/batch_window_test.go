// Scenarios of batch windows under faults. The windows are minutes long. Simulated time begins at
// midnight UTC on Saturday, 1 January 2000.

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

// nightHours are the opening hours of a region. The batch window ends at 00:12 on Saturday. Its
// deadline is 00:10, since the margin is 120 s.
const nightHours = `fri = "23:30", sat = "00:12", sun = "08:00"`

// nightPlan has two regions. Jobs of class "tiles" belong to region "here". No job belongs to
// region "empty".
var nightPlan = plans.Region("here", nightHours, "00:00", 120, `class = "tiles"`) +
	plans.Region("empty", nightHours, "00:00", 120, `class = "nobody's"`)

// windowRecord decodes the committed schedule record of a region. It is zero if there is none.
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
		panic(err) // the test passed a malformed time
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
		t.Errorf("outcomes changed from %+v to %+v within a minute, want a single one", first.Past, last.Past)
	}
	return last.Past[0]
}

// tileJob returns a job of class tiles.
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

// runBatchWindow runs a batch window of 12 jobs with 24 tasks on four machines, beside 32 tasks of
// day jobs of the same priority that were submitted before. injectFaults runs during the window.
// runBatchWindow returns the time from midnight until the window's jobs were done.
func runBatchWindow(t *testing.T, injectFaults func(w *fake.Cluster)) (finish time.Duration) {
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
		deadlineMs := windowRecord(t, w, "here").Windows[0].DeadlineMs
		go injectFaults(w)
		finish = awaitAllDone(t, w, ids...).Sub(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
		if n := windowRecord(t, w, "here").Windows; len(n) != 1 || n[0].DeadlineMs != deadlineMs {
			t.Errorf("deadline was %d, windows are now %+v", deadlineMs, n)
		}
		unfinished := 0
		for i := range 4 {
			if w.FinishedTasks(fmt.Sprintf("wk-%06d", 100+i)) < 8 {
				unfinished++
			}
		}
		if unfinished == 0 {
			t.Error("all day jobs were done before the window's jobs")
		}
		o := awaitWindowOutcome(t, w)
		if o.Result != calendar.ResultMet || o.Completed != 12 || o.Jobs != 12 {
			t.Errorf("outcome %+v, want met with 12 of 12 jobs completed", o)
		}
		for i := range 4 {
			mustReach(t, w, fmt.Sprintf("wk-%06d", 100+i), wire.JobDone, 10*time.Minute)
		}
		if n := w.Started(); n != 24+32 {
			t.Errorf("%d starts of %d tasks", n, 24+32)
		}
		if rec := windowRecord(t, w, "empty"); rec.SavedAtMs != 0 {
			t.Errorf("region without jobs has a record: %+v", rec)
		}
	})
	return finish
}

// All controllers are restarted one by one during a batch window. A next leader that didn't take
// over the schedule would change deadlines or repeat tasks. The window must finish when an
// undisturbed one does, apart from the time without a leader.
func TestAllControllersAreReplacedDuringABatchWindow(t *testing.T) {
	undisturbed := runBatchWindow(t, func(*fake.Cluster) {})
	replaced := runBatchWindow(t, func(w *fake.Cluster) {
		for range 3 {
			restartLeader(w)
			time.Sleep(12 * time.Second)
		}
	})
	t.Logf("finished after %v, and with all controllers replaced after %v (simulated)", undisturbed, replaced)
	// A few seconds without a leader, or another phase of the workers' heartbeats, may make the
	// last tasks need one more round. So there are two possible finish times, 46 s apart.
	if replaced > undisturbed+time.Minute {
		t.Errorf("finished after %v, undisturbed after %v", replaced, undisturbed)
	}
}

// The leader is paused across the opening, crashes before it, or nobody can write to the store. Two
// leaders could record different outcomes then. The outcome must be decided only once. It depends
// on when the jobs were complete and on when their completion was known.
func TestWindowOutcomeIsDecidedOnceUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name          string
		lastJobEnds   string // when the last job's tasks end, roughly
		inject        func(w *fake.Cluster) (end func())
		wantResult    calendar.Result
		wantCompleted int
		maxLateness   time.Duration
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
				at, err := time.Parse("15:04:05", c.lastJobEnds)
				if err != nil {
					t.Fatal(err)
				}
				long := at.Sub(at.Truncate(24*time.Hour)) - time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC))
				mustSubmit(t, w, tileJob(1, 3, 60), tileJob(2, 2, 100), tileJob(3, 1, long.Seconds()-8))
				sleepUntilClock("00:09:50")
				end := c.inject(w)
				sleepUntilClock("00:12:30")
				end()
				o := awaitWindowOutcome(t, w)
				if o.Result != c.wantResult || o.Completed != c.wantCompleted || o.Jobs != 3 || time.Duration(o.LateMs)*time.Millisecond > c.maxLateness || c.wantResult == calendar.ResultLate && o.LateMs <= 0 {
					t.Errorf("outcome %+v", o)
				}
				mustReach(t, w, "wk-000003", wire.JobDone, 20*time.Minute)
			})
		})
	}
}

// stallLeader pauses the leader's process. The returned function resumes it.
func stallLeader(w *fake.Cluster) func() {
	i := w.Leader()
	w.PauseNode(i)
	return func() { w.ResumeNode(i) }
}

// crashLeader kills the leader. The returned function starts its node again.
func crashLeader(w *fake.Cluster) func() {
	i := w.Leader()
	w.KillNode(i)
	return func() { w.StartNode(i) }
}

// partitionLeaderFromStore partitions the leader from the key-value store. The returned function
// ends the partition.
func partitionLeaderFromStore(w *fake.Cluster) func() {
	i := w.Leader()
	w.PartitionNode(i, "state")
	return func() { w.HealNode(i, "state") }
}

// storeOutage begins an outage of the key-value store. The returned function ends it.
func storeOutage(w *fake.Cluster) func() {
	w.Store.SetOutage(true)
	return func() { w.Store.SetOutage(false) }
}

// A plan applied during the batch window makes the opening earlier, and then the leader crashes.
// The next leader must not go on with the earlier plan's deadline.
func TestPlanChangeMakesAWindowEndEarlier(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, Metrics: true}, func(t *testing.T, w *fake.Cluster) {
		applyPlan(t, w, 0, nightPlan)
		mustSubmit(t, w, tileJob(1, 2, 60), tileJob(2, 1, 420))
		sleepUntilClock("00:03:00")
		if n := windowRecord(t, w, "here").Windows; len(n) != 1 || n[0].DeadlineMs%3600_000 != 600_000 || n[0].Forecast.AtRisk {
			t.Fatalf("windows are %+v, want one that is not at risk, with deadline 00:10", n)
		}
		applyPlan(t, w, 1, strings.ReplaceAll(nightPlan, "00:12", "00:09"))
		killed := w.Leader()
		w.KillNode(killed)
		sleepUntilClock("00:04:00")
		n := windowRecord(t, w, "here").Windows
		if len(n) != 1 || n[0].DeadlineMs%3600_000 != 420_000 || !n[0].Forecast.AtRisk {
			t.Fatalf("windows after the plan change are %+v, want one at risk, with deadline 00:07", n)
		}
		causes := ""
		for _, r := range n[0].Reforecasts {
			causes += r.Cause + "; "
		}
		if !strings.Contains(causes, "the night began") || !strings.Contains(causes, "the plan changed") && !strings.Contains(causes, "another leader leads") {
			t.Errorf("causes of reforecasts are %q", causes)
		}
		l := w.Leader()
		for _, i := range []int{l, (l + 1) % 3, (l + 2) % 3} {
			if i == killed {
				continue
			}
			shown := getOverview(t, w, i).Cluster.BatchWindows
			if len(shown) != 2 || shown[0].Region != "here" || shown[0].Stale || shown[0].Windows[0].DeadlineMs != n[0].DeadlineMs || shown[0].Windows[0].Completed != 1 || len(shown[1].Windows) > 0 {
				t.Errorf("node %d shows windows %+v", i, shown)
			}
		}
		if text := getOperatorPath(t, w, l, controller.PathMetrics); !strings.Contains(text, "umberdeal_night_jobs_open 1") || !strings.Contains(text, "umberdeal_nights_at_risk 1") {
			t.Error("the gauges don't show one open job and one window at risk")
		}
		if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultLate || o.Completed != 2 || o.OpeningMs%3600_000 != 540_000 {
			t.Errorf("outcome %+v, want late with 2 jobs completed and opening 00:09", o)
		}
	})
}

// Half of the machines are lost at once, and then the leader. The window is missed unless its jobs
// go first on the machines that are left. A reforecast must be recorded with its cause.
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
		causes := ""
		for _, r := range windowRecord(t, w, "here").Windows[0].Reforecasts {
			causes += r.Cause + "; "
		}
		if !strings.Contains(causes, "machines lost: 3 of 6 are left") {
			t.Errorf("causes of reforecasts are %q", causes)
		}
		w.KillNode(w.Leader())
		awaitAllDone(t, w, ids...)
		if w.FinishedTasks("wk-000100") >= 12 {
			t.Errorf("%d tasks of the day job were done before the window's jobs, want fewer than 12", w.FinishedTasks("wk-000100"))
		}
		if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultMet || o.Completed != 6 {
			t.Errorf("outcome %+v, want met with 6 jobs completed", o)
		}
	})
}

// At special dates, such as changes of daylight saving time, an opening could be computed with the
// wrong offset or for the wrong day. All controllers are restarted one by one across each opening.
func TestBatchWindowsOfSpecialDates(t *testing.T) {
	for _, c := range []struct {
		name, begin, zone, region string
		want                      string // the opening, "" if there is none in this window
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
						t.Errorf("record %+v, want no outcome and one window, of 2000-04-25, with one job completed", rec)
					}
				} else if o := awaitWindowOutcome(t, w); o.Result != calendar.ResultMet || o.Completed != 1 || time.UnixMilli(o.OpeningMs).Format(time.RFC3339) != mustParseTime(t, c.want).Local().Format(time.RFC3339) {
					t.Errorf("outcome %+v, opening at %v", o, time.UnixMilli(o.OpeningMs))
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

// Day jobs of the same priority arrive all the time. Together with the window's jobs they need
// somewhat more than the machines offer. If the window's jobs get too little priority, deadlines
// are missed. If they get too much, the day jobs starve. STORY_SEEDS sets the number of seeds.
func TestBatchDeadlinesAreMetBesideOtherJobs(t *testing.T) {
	seeds := uint64(2)
	if n, err := strconv.ParseUint(os.Getenv("STORY_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for _, text := range []string{"", nightPlan} {
		var sum mixedWindowResult
		for seed := range seeds {
			got := runMixedWindow(t, seed+1, text)
			sum.windowsMet, sum.dayJobs, sum.begunInTime = sum.windowsMet+got.windowsMet, sum.dayJobs+got.dayJobs, sum.begunInTime+got.begunInTime
			sum.longestWait = max(sum.longestWait, got.longestWait)
			sum.finish += got.finish
			sum.storeChanges += got.storeChanges
		}
		t.Logf("plan %v: %d of %d windows met, finished after %v on average; %d of %d day jobs begun within 240 s, the longest wait %v; %d changes in the store (simulated)",
			text != "", sum.windowsMet, seeds, (sum.finish / time.Duration(seeds)).Round(time.Second), sum.begunInTime, sum.dayJobs, sum.longestWait.Round(time.Second), sum.storeChanges)
		if text != "" && (sum.windowsMet < int(seeds) || 2*sum.begunInTime < sum.dayJobs) {
			t.Errorf("with the plan, %d of %d windows met, want all; %d of %d day jobs begun in time, want half", sum.windowsMet, seeds, sum.begunInTime, sum.dayJobs)
		}
	}
}

// mixedWindowResult is the result of a batch window beside day jobs, or the sum of several.
type mixedWindowResult struct {
	windowsMet   int
	dayJobs      int
	begunInTime  int // day jobs that began within 240 s
	longestWait  time.Duration
	finish       time.Duration // from the start until the window's jobs were done
	storeChanges int           // changes in the key-value store
}

// runMixedWindow runs a batch window under the plan, "" for none. Two leaders crash during it.
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
		got.finish, got.storeChanges = finish.Sub(began), w.Store.Changes()
		if finish.Before(end) {
			got.windowsMet = 1
		}
	})
	return got
}

// watch counts the day jobs that have begun, and removes them from came.
func (r *mixedWindowResult) watch(w *fake.Cluster, came map[string]time.Time) {
	for id, at := range came {
		began := w.FinishedTasks(id) > 0
		for k := range 3 {
			began = began || len(w.MachinesRunning(wire.TaskName(id, k))) > 0
		}
		if !began {
			continue
		}
		wait := time.Since(at)
		r.dayJobs++
		if wait <= 240*time.Second {
			r.begunInTime++
		}
		r.longestWait = max(r.longestWait, wait)
		delete(came, id)
	}
}

// runScaleOutAheadWindow runs a batch window with one job of that many tasks of a minute each. A
// machine has room for eight of them and takes a minute to boot. One machine is there from the
// start. It returns the window's outcome, how many machines were rented, and the machine-seconds
// that were paid for.
func runScaleOutAheadWindow(t *testing.T, o fake.Options, tasks int, opens string, injectFaults func(w *fake.Cluster)) (out calendar.Outcome, rented, paid int) {
	t.Helper()
	big := fake.DefaultType
	big.CPUs, big.MemoryGB, big.BootS = 32, 256, 60
	o.Types, o.Machines = []wire.MachineType{big}, 1
	runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
		sleepUntilClock("00:00:40") // by now the leader knows its machines
		applyPlan(t, w, 0, strings.ReplaceAll(nightPlan, "00:12", opens))
		mustSubmit(t, w, tileJob(1, tasks, 60))
		go injectFaults(w)
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
			// Rentals are retried all the time. A forecast made just after a request assumes that
			// the machines will come.
			if !scenario.Eventually(4*time.Minute, time.Second, func() bool {
				n := windowRecord(t, w, "here").Windows
				return len(n) == 1 && strings.Contains(n[0].Forecast.Reason, "no machines are to be had")
			}) {
				t.Errorf("no forecast says that the cloud has no machines: %+v", windowRecord(t, w, "here").Windows)
			}
		}
		out = awaitWindowOutcome(t, w)
		if w.Cancel("wk-000001") != wire.JobCancelled {
			mustReach(t, w, "wk-000001", wire.JobDone, time.Minute)
		}
		time.Sleep(90 * time.Second)
		if n := len(w.Cloud.Machines()); n > 2 {
			t.Errorf("%d machines remain 90 s after the last job, want at most 2", n)
		}
		rented = w.Cloud.RentedMachines()
	})
	return out, rented, paid
}

// The job has more tasks than one scheduling pass requests room for. Without scaling out ahead,
// each boot time brings room for only 64 more tasks, and the window is late. A leader that crashes
// between recording and renting must not cause machines to be rented twice. Lost machines are
// replaced in time. Where the cloud has no machines, the forecast says so.
func TestBatchWindowsScaleOutAhead(t *testing.T) {
	undisturbedRented := 0
	for _, c := range []struct {
		name           string
		capacity       int
		wantResult     calendar.Result
		injectFaults   func(w *fake.Cluster)
		maxExtraRented int // machines rented beyond those of the undisturbed window
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
			outcome, rented, paid := runScaleOutAheadWindow(t, fake.Options{Capacity: c.capacity}, 1500, "00:08", c.injectFaults)
			t.Logf("%s; %d machines rented, %d machine-seconds (simulated)", outcome.String(), rented, paid)
			if outcome.Result != c.wantResult || rented > undisturbedRented+c.maxExtraRented && undisturbedRented > 0 {
				t.Errorf("%s, want %s; %d machines rented, %d in the undisturbed window", outcome.String(), c.wantResult, rented, undisturbedRented)
			}
			if undisturbedRented == 0 {
				undisturbedRented = rented
			}
		})
	}
}
