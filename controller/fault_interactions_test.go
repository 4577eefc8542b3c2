package controller_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
)

// Scenarios of fault interactions: two or more faults are injected so that they overlap. Each
// scenario asserts that they did overlap: one in which the faults miss each other proves nothing,
// and fails. The times of the faults are drawn anew for each seed, from the window in which they
// can interact.

// machinesRunningJob lists the machines that have tasks of a job.
func machinesRunningJob(w *fake.Cluster, j wire.Job) (out []string) {
	for i := range j.Tasks {
		out = append(out, w.MachinesRunning(wire.TaskName(j.ID, i))...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// awaitLeaderChange waits for a failover, however it came about, and returns when the key of the
// new leader is in the store; before is the fencing token until then.
func awaitLeaderChange(t *testing.T, w *fake.Cluster, before uint64) {
	t.Helper()
	if !scenario.Eventually(25*time.Second, 50*time.Millisecond, func() bool { k := w.FencingToken(); return k != 0 && k != before }) {
		t.Fatal("the leader did not change")
	}
}

// stopLeader stops the leader: for good (killed), or for a fraction of a second (power-cycled). It
// returns the index of the stopped node.
func stopLeader(w *fake.Cluster, rnd *rand.Rand) (dead int) {
	dead = max(0, w.Leader())
	if rnd.IntN(2) == 0 {
		w.PowerCycleNode(dead, randomDuration(rnd, 0, 900*time.Millisecond))
	} else {
		w.KillNode(dead)
	}
	return dead
}

// machineFault is a fault that a machine can have: begin and end take its name.
type machineFault struct{ begin, end func(machine string) }

// machineFaults are the faults that keep the controllers from learning what runs on a machine: a
// partition, a hung agent, replies that don't reach it, heartbeats that don't leave it.
func machineFaults(w *fake.Cluster) []machineFault {
	return []machineFault{
		{w.PartitionMachine, w.HealMachine},
		{w.HangMachine, w.ResumeMachine},
		{w.BlockRepliesTo, w.UnblockRepliesTo},
		{w.BlockHeartbeats, w.UnblockHeartbeats},
	}
}

// healMachines ends every fault that was injected on a machine.
func healMachines(w *fake.Cluster) {
	for _, m := range w.Cloud.Machines() {
		w.ResumeMachine(m)
		w.UnblockRepliesTo(m)
		w.UnblockHeartbeats(m)
		w.HealMachine(m)
	}
}

// healAndCheckStarvation ends all faults and asserts that no job starves: whatever has room and is
// under its team's quota must run within 90 s.
func healAndCheckStarvation(t *testing.T, w *fake.Cluster) {
	t.Helper()
	w.StartAll()
	healMachines(w)
	if ids := w.Starved(90 * time.Second); len(ids) > 0 {
		t.Errorf("%v wait, though there is room and their teams are under their limits", ids)
	}
}

// The leader fails while machines with long tasks are unreachable, or don't receive the next
// leader's replies. Each task stays on one machine only, and goes on there if its machine is back
// within its lease. Stale duplicates of heartbeats must not be taken as evidence of what runs.
func TestInteractionLongTasksAndFailover(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		for _, m := range w.Cloud.Machines() {
			w.CaptureHeartbeat(m) // captured while the machine is empty: lists no task
		}
		fillTeams(t, w)
		ways := machineFaults(w)
		ways[2], ways[3] = ways[3], ways[2] // BlockRepliesTo goes last: the only one of them that lets heartbeats arrive
		way := rnd.IntN(len(ways))
		trouble := ways[way]
		before, started, on := w.FencingToken(), w.Started(), w.TasksPerMachine()
		names := slices.Sorted(maps.Keys(on))
		rnd.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		names = names[:1+rnd.IntN(len(names))]
		time.Sleep(randomDuration(rnd, 0, 5*time.Second))
		dead, late := w.Leader(), rnd.IntN(2) == 0
		if late {
			w.KillNode(dead)
			time.Sleep(randomDuration(rnd, 0, time.Second))
		}
		for _, m := range names {
			trouble.begin(m)
		}
		from := time.Now()
		if !late {
			time.Sleep(randomDuration(rnd, 0, time.Second))
			w.KillNode(dead)
		}
		if rnd.IntN(2) == 0 {
			time.Sleep(randomDuration(rnd, 0, 900*time.Millisecond))
			w.StartNode(dead)
		}
		awaitLeaderChange(t, w, before)
		w.MarkInteraction()
		tasks := 0
		for _, m := range names {
			tasks += w.TasksPerMachine()[m]
		}
		if tasks == 0 || w.ExpiredLeases() > 0 {
			t.Errorf("%d tasks on machines in trouble as the leader changes, of %v, %d leases over", tasks, on, w.ExpiredLeases())
		}
		// The first heartbeat that the next leader gets from each of these machines is the stale
		// one captured at the start. (With BlockRepliesTo, index 3, heartbeats still arrive, so the
		// leader has newer ones already.)
		for _, m := range names {
			if way < 3 && !scenario.Eventually(10*time.Second, 500*time.Millisecond, func() bool { return w.ReplayHeartbeat(m, max(0, w.Leader())) == 200 }) {
				t.Errorf("the next leader takes no late copy of a heartbeat of %s", m)
			}
		}
		// The fault ends within the 30 s of a worker's lease, or well beyond it.
		short := rnd.IntN(2) == 0
		if short {
			time.Sleep(randomDuration(rnd, 0, 3*time.Second))
		} else {
			time.Sleep(randomDuration(rnd, 32*time.Second, time.Minute))
		}
		lasted := time.Since(from)
		for _, m := range names {
			trouble.end(m)
		}
		healAndCheckStarvation(t, w)
		if !scenario.Eventually(time.Minute, time.Second, func() bool { return teamsAtQuota(w) }) {
			t.Errorf("the teams use %g and %g CPUs in the end", w.CPUsInUse("core"), w.CPUsInUse("edge"))
		}
		if n := w.Started() - started; short && lasted < 15*time.Second && n > 0 {
			t.Errorf("%d starts after %v", n, lasted)
		} else if !short && w.ExpiredLeases() == 0 {
			t.Error("no lease ended")
		}
	})
}

// Single-zone jobs, an array and a gang, each lose a machine during a failover. Tasks that start
// again must do so in the zone in which other tasks of their job may still run.
func TestInteractionSingleZoneJobsAndLostMachines(t *testing.T) {
	o := twoLimitedTeams()
	o.Teams = nil
	runSeeded(t, 1234, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		// Three of the array's tasks run, all in one zone, and two wait although the other zone
		// would have room for them.
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.OneZone, j.Tasks, j.CPUs, j.EstimateS = true, 5, 5, 90 }))
		mustSubmit(t, w, job(2, func(j *wire.Job) { gang(j); j.OneZone, j.Tasks, j.CPUs, j.EstimateS = true, 3, 3, 90 }))
		if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.Running() == 6 }) {
			t.Fatalf("%d tasks run", w.Running())
		}
		time.Sleep(randomDuration(rnd, time.Second, 10*time.Second))
		before := w.FencingToken()
		var lost, rest []string // a machine of each job to kill, and the machines of their other tasks
		for n := 1; n <= 2; n++ {
			on := machinesRunningJob(w, wire.Job{ID: job(n, nil).ID, Tasks: 5})
			k := rnd.IntN(len(on))
			lost, rest = append(lost, on[k]), append(rest, slices.Delete(on, k, k+1)...)
		}
		// One machine of each job is killed. At two seeds of three the others are partitioned when
		// the next leader comes, so it can't learn from them in which zone they are; at some of
		// these seeds the cloud's API is out as well.
		if rnd.IntN(3) > 0 {
			for _, m := range rest {
				w.PartitionMachine(m)
			}
			w.Cloud.SetOutage(rnd.IntN(3) > 0)
		}
		started := w.Started()
		for _, m := range lost {
			w.KillMachine(m)
		}
		time.Sleep(randomDuration(rnd, 0, 2*time.Second))
		stopLeader(w, rnd)
		w.MarkInteraction()
		awaitLeaderChange(t, w, before)
		if n := w.Running(); n == 0 || n > 5 || w.Started() != started {
			t.Errorf("%d tasks run as the leader changes, %d starts", n, w.Started()-started)
		}
		time.Sleep(randomDuration(rnd, 0, 40*time.Second))
		w.Cloud.SetOutage(false)
		for _, m := range rest {
			w.HealMachine(m)
		}
		healAndCheckStarvation(t, w)
		mustFinish(t, w, 20*time.Minute, 1, 2)
		if w.Started() == started {
			t.Error("nothing was started again")
		}
	})
}

// Tasks of a small job complete far apart, with a failover after each. Completed tasks stay
// completed, and the job is done only with its last task.
func TestInteractionStaggeredTaskEndsAndFailover(t *testing.T) {
	o := twoLimitedTeams()
	o.Teams = []config.Team{{Name: "core", CPUsMax: 5}}
	runSeeded(t, 1234, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		tasks := 2 + rnd.IntN(2)
		// The team's quota of 5 CPUs lets the tasks run one at a time only.
		j := job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = tasks, 5, float64(20+rnd.IntN(30)) })
		mustSubmit(t, w, j)
		for done := 1; done < tasks; done++ {
			if !scenario.Eventually(time.Minute, 100*time.Millisecond, func() bool { return w.Running() == 1 }) {
				t.Fatalf("%d tasks run", w.Running())
			}
			before := w.FencingToken()
			// At some seeds the store is out when the outcome is reported, so it can't be committed
			// before the failover.
			time.Sleep(time.Duration(j.EstimateS-1) * time.Second)
			w.Store.SetOutage(rnd.IntN(2) == 0)
			if !scenario.Eventually(20*time.Second, 50*time.Millisecond, func() bool { return w.FinishedTasks(j.ID) == done }) {
				t.Fatalf("%d tasks are done", w.FinishedTasks(j.ID))
			}
			time.Sleep(randomDuration(rnd, 0, 1500*time.Millisecond))
			w.KillNode(w.Leader())
			w.MarkInteraction()
			w.Store.SetOutage(false)
			awaitLeaderChange(t, w, before)
			if n := w.FinishedTasks(j.ID); n != done {
				t.Errorf("%d of %d tasks are done as the leader changes", n, tasks)
			}
			if s := w.PollState(w.AnyNodeAddr(), j.ID); s == wire.JobDone {
				t.Errorf("called done with %d of %d tasks", done, tasks)
			}
			w.StartAll()
		}
		mustReach(t, w, j.ID, wire.JobDone, 5*time.Minute)
		if n := w.Started(); n != tasks || w.ExpiredLeases() > 0 {
			t.Errorf("%d starts of %d tasks, %d leases over", n, tasks, w.ExpiredLeases())
		}
		healAndCheckStarvation(t, w)
	})
}

// All faults at random: teams are kept at their quota by jobs of all kinds, while jobs are
// cancelled, machines become unreachable in various ways, direct commands are delayed, and leaders
// change.
func TestInteractionsAtRandom(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		ways := machineFaults(w)
		var ids, asked, troubled []string
		submitted := 0
		more := func() {
			submitted++ // numbers are never reused: a submission without an answer may have been accepted all the same
			j := job(submitted, func(j *wire.Job) {
				j.Team, j.Tasks, j.CPUs = []string{"core", "edge"}[rnd.IntN(2)], 1+rnd.IntN(4), float64(1+rnd.IntN(4))
				j.EstimateS = float64(10 + rnd.IntN(2)*60)
				switch rnd.IntN(4) {
				case 0:
					gang(j)
					j.OneZone = rnd.IntN(2) == 0
				case 1:
					j.OneZone = true
				case 2:
					j.Spread = true
				}
			})
			if w.Submit(j) {
				ids = append(ids, j.ID)
			}
		}
		for range 16 {
			more()
		}
		time.Sleep(10 * time.Second)
		w.MarkInteraction()
		met, token, changed := 0, w.FencingToken(), 0
		for step := 0; step < 30 || step < 90 && (met == 0 || changed == 0); step++ {
			more()
			names := w.Cloud.Machines()
			at := names[rnd.IntN(len(names))]
			switch rnd.IntN(9) {
			case 0, 1:
				for _, m := range troubled {
					for _, way := range ways {
						way.end(m)
					}
				}
				troubled = nil
			case 2, 3, 4:
				ways[rnd.IntN(len(ways))].begin(at)
				troubled = append(troubled, at)
			case 5:
				w.HoldDirectCommands(at)
			case 6:
				w.DeliverHeldCommands(at)
			case 7:
				stopLeader(w, rnd)
			case 8:
				w.StartAll()
			}
			if rnd.IntN(2) == 0 {
				now, hung := w.CancelRunning(1+rnd.IntN(2), randomDuration(rnd, 0, 25*time.Second)*time.Duration(rnd.IntN(2)))
				asked = append(asked, now...)
				full := w.CPUsInUse("core") > teamMax-4 || w.CPUsInUse("edge") > teamMax-4 // less than the largest task's 4 CPUs is left under a team's quota
				for _, id := range now {
					for _, m := range machinesRunningJob(w, wire.Job{ID: id, Tasks: 4}) {
						if full && (slices.Contains(troubled, m) || slices.Contains(hung, m)) {
							met++
						}
					}
				}
			}
			time.Sleep(randomDuration(rnd, 0, 6*time.Second))
			if k := w.FencingToken(); k != 0 && k != token {
				token, changed = k, changed+1
			}
		}
		if met == 0 || changed == 0 {
			t.Errorf("%d cancelled tasks on machines in trouble with a team at its limit, %d changes of leader", met, changed)
		}
		for _, m := range w.Cloud.Machines() {
			w.DeliverHeldCommands(m)
		}
		healAndCheckStarvation(t, w)
		for _, id := range ids {
			want := wire.JobDone
			if slices.Contains(asked, id) {
				want = w.Cancel(id)
			}
			if !w.Await(id, want, 20*time.Minute) {
				t.Errorf("%s is not %s in the end", id, want)
			}
		}
		t.Logf("%d tasks met, %d changes of leader, %d starts after a cancellation", met, changed, w.StartedAfterCancel())
	})
}

// The checks that these scenarios rest on must be able to fail: a cancelled task that keeps
// running, and jobs that starve, are detected.
func TestCheckerDetectsUnstoppedAndStarvedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := fake.New(fake.Options{Machines: 2, Capacity: 2, Teams: []config.Team{{Name: "core"}, {Name: "edge", CPUsMax: 2}}})
		defer w.Close()
		time.Sleep(5 * time.Second)
		fillMachines(t, w, 2)
		one := func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 1, 3600 }
		mustSubmit(t, w, job(1, one))
		time.Sleep(5 * time.Second)
		w.Cancel("wk-000001")
		time.Sleep(31 * time.Second) // a cancelled job's tasks must be gone after 32 s
		if n := w.StartedAfterCancel(); n > 0 || len(w.Violations()) > 0 {
			t.Fatalf("before anything went wrong: %d starts after the cancellation, broken: %v", n, w.Violations())
		}
		at := w.Cloud.Machines()[0]
		w.LaunchWithoutLeader(at, "wk-000001/0")
		w.HangMachine(at)
		if n := w.StartedAfterCancel(); n != 1 {
			t.Errorf("%d starts after the cancellation", n)
		}
		time.Sleep(3 * time.Second)
		if got := w.Violations(); len(got) != 1 || !strings.Contains(got[0], "which hangs") {
			t.Errorf("a cancelled task is on a machine that hangs, and the checker said %v", got)
		}
		w.ResumeMachine(at)
		time.Sleep(10 * time.Second) // the tasks of the machine have been stopped
		if ids := w.Starved(90 * time.Second); len(ids) > 0 {
			t.Errorf("%v are said to wait, and nothing does", ids)
		}
		// These jobs are registered with the checker only, so no controller places them. There is
		// room for 2 and 3; 5 is beyond its team's quota, and of the gang 4 one task does not fit.
		w.RegisterJob(job(2, one))
		w.RegisterJob(job(3, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs = 2, 3 }))
		w.RegisterJob(job(4, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs = 3, 3 }))
		w.RegisterJob(job(5, func(j *wire.Job) { j.Team, j.CPUs = "edge", 3 }))
		if ids := w.Starved(90 * time.Second); !slices.Equal(ids, []string{"wk-000002", "wk-000003"}) {
			t.Errorf("said to wait: %v", ids)
		}
	})
}

// The steps that random scenarios use (CancelRunning, BlockHeartbeats, Unanswered,
// DirectCommandsExecuted) have the effects that they report.
func TestConcurrentCancellationsAndASilentMachine(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster) {
		fillMachines(t, w, 4)
		for i := range 4 {
			mustSubmit(t, w, job(1+i, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 3, 300 }))
		}
		mustReach(t, w, "wk-000004", wire.JobRunning, 20*time.Second)
		time.Sleep(3 * time.Second)
		mustSubmit(t, w, job(9, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 1, 5 }))
		ids, hung := w.CancelRunning(3, 5*time.Second)
		if len(ids) != 3 || len(hung) == 0 {
			t.Fatalf("cancelled %v, hung %v", ids, hung)
		}
		time.Sleep(time.Second)
		for _, id := range ids {
			if s := w.PollState(w.NodeAddr(0), id); s != wire.JobCancelled {
				t.Errorf("%s is %q a second later", id, s)
			}
		}
		time.Sleep(8 * time.Second)
		// Which three jobs were cancelled is random. One of the tasks left is a long one on a
		// machine; the short job is no use here, since it completes by itself and its machine would
		// have nothing to stop.
		left := slices.DeleteFunc([]string{"wk-000001/0", "wk-000002/0", "wk-000003/0", "wk-000004/0"}, func(task string) bool { return len(w.MachinesRunning(task)) != 1 })
		if len(left) == 0 {
			t.Fatalf("%v were cancelled, and no other long task is on a machine", ids)
		}
		at := w.MachinesRunning(left[0])[0]
		w.BlockHeartbeats(at)
		from, direct := time.Now(), w.DirectCommandsExecuted(at)
		time.Sleep(5 * time.Second)
		if n := w.Unanswered(from.Add(time.Second)); n != 1 {
			t.Errorf("%d machines had no answer", n)
		}
		for _, id := range []string{"wk-000001", "wk-000002", "wk-000003", "wk-000004", "wk-000900"} {
			w.Cancel(id)
		}
		time.Sleep(time.Second)
		if w.DirectCommandsExecuted(at) == direct || w.TasksPerMachine()[at] > 0 {
			t.Errorf("%d direct commands reached the silent machine, which has %d tasks", w.DirectCommandsExecuted(at)-direct, w.TasksPerMachine()[at])
		}
	})
}
