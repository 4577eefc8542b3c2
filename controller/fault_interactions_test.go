// Scenarios of two or more faults that overlap. Each scenario fails if its faults didn't overlap,
// since it proves nothing then. The times of the faults are drawn for each seed from the window in
// which they can interact.

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

// machinesRunningJob returns the machines that have tasks of a job, sorted and without duplicates.
// Only ID and Tasks of the job need to be set.
func machinesRunningJob(w *fake.Cluster, j wire.Job) (out []string) {
	for i := range j.Tasks {
		out = append(out, w.MachinesRunning(wire.TaskName(j.ID, i))...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// awaitLeaderChange waits until the key of a new leader is in the store. before is the fencing
// token of the former leader.
func awaitLeaderChange(t *testing.T, w *fake.Cluster, before uint64) {
	t.Helper()
	if !scenario.Eventually(25*time.Second, 50*time.Millisecond, func() bool { k := w.FencingToken(); return k != 0 && k != before }) {
		t.Fatal("no leader with another fencing token within 25 s")
	}
}

// stopLeader either kills the leader or restarts it after less than 900 ms, at random. It returns
// the index of the leader's node. If there is no leader, it does this to node 0.
func stopLeader(w *fake.Cluster, rnd *rand.Rand) (dead int) {
	dead = max(0, w.Leader())
	if rnd.IntN(2) == 0 {
		w.PowerCycleNode(dead, randomDuration(rnd, 0, 900*time.Millisecond))
	} else {
		w.KillNode(dead)
	}
	return dead
}

// machineFault is a fault of a machine. begin and end take the machine's name.
type machineFault struct{ begin, end func(machine string) }

// machineFaults returns the faults that keep the controllers from learning what runs on a machine:
// a partition, a hung agent, lost replies and blocked heartbeats.
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

// healAndCheckStarvation ends all faults and asserts that no job starves. A job for which there is
// room and quota must run within 90 s.
func healAndCheckStarvation(t *testing.T, w *fake.Cluster) {
	t.Helper()
	w.StartAll()
	healMachines(w)
	if ids := w.Starved(90 * time.Second); len(ids) > 0 {
		t.Errorf("%v wait although there is room and their teams are under their quotas", ids)
	}
}

// The leader fails while machines with long tasks are unreachable, or don't receive the next
// leader's replies. The next leader gets stale duplicates of heartbeats that list no tasks. If it
// took them for the current state, it would start the tasks a second time. Each task must stay on
// one machine, and go on there if its machine is back within its lease.
func TestInteractionLongTasksAndFailover(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		for _, m := range w.Cloud.Machines() {
			w.CaptureHeartbeat(m) // captured while the machine is empty: lists no task
		}
		fillTeams(t, w)
		faults := machineFaults(w)
		faults[2], faults[3] = faults[3], faults[2] // BlockRepliesTo is last, since only it lets heartbeats arrive
		faultIndex := rnd.IntN(len(faults))
		fault := faults[faultIndex]
		before, started, tasksBefore := w.FencingToken(), w.Started(), w.TasksPerMachine()
		affected := slices.Sorted(maps.Keys(tasksBefore))
		rnd.Shuffle(len(affected), func(a, b int) { affected[a], affected[b] = affected[b], affected[a] })
		affected = affected[:1+rnd.IntN(len(affected))]
		time.Sleep(randomDuration(rnd, 0, 5*time.Second))
		killed, killFirst := w.Leader(), rnd.IntN(2) == 0
		if killFirst {
			w.KillNode(killed)
			time.Sleep(randomDuration(rnd, 0, time.Second))
		}
		for _, m := range affected {
			fault.begin(m)
		}
		faultBegan := time.Now()
		if !killFirst {
			time.Sleep(randomDuration(rnd, 0, time.Second))
			w.KillNode(killed)
		}
		if rnd.IntN(2) == 0 {
			time.Sleep(randomDuration(rnd, 0, 900*time.Millisecond))
			w.StartNode(killed)
		}
		awaitLeaderChange(t, w, before)
		w.MarkInteraction()
		tasks := 0
		for _, m := range affected {
			tasks += w.TasksPerMachine()[m]
		}
		if tasks == 0 || w.ExpiredLeases() > 0 {
			t.Errorf("faults did not interact: %d tasks on affected machines after the failover (before it: %v), %d leases expired", tasks, tasksBefore, w.ExpiredLeases())
		}
		// The first heartbeat that the next leader gets from each of these machines is the stale
		// one captured at the start. With BlockRepliesTo (index 3) heartbeats still arrive, so the
		// leader has newer ones already.
		for _, m := range affected {
			if faultIndex < 3 && !scenario.Eventually(10*time.Second, 500*time.Millisecond, func() bool { return w.ReplayHeartbeat(m, max(0, w.Leader())) == 200 }) {
				t.Errorf("the next leader did not accept the stale heartbeat of %s", m)
			}
		}
		// The fault ends within a worker's lease of 30 s, or only after it.
		withinLease := rnd.IntN(2) == 0
		if withinLease {
			time.Sleep(randomDuration(rnd, 0, 3*time.Second))
		} else {
			time.Sleep(randomDuration(rnd, 32*time.Second, time.Minute))
		}
		lasted := time.Since(faultBegan)
		for _, m := range affected {
			fault.end(m)
		}
		healAndCheckStarvation(t, w)
		if !scenario.Eventually(time.Minute, time.Second, func() bool { return teamsAtQuota(w) }) {
			t.Errorf("the teams use %g and %g CPUs at the end, want their quotas", w.CPUsInUse("core"), w.CPUsInUse("edge"))
		}
		if n := w.Started() - started; withinLease && lasted < 15*time.Second && n > 0 {
			t.Errorf("%d tasks restarted after a fault of %v, want none", n, lasted)
		} else if !withinLease && w.ExpiredLeases() == 0 {
			t.Error("no worker lease expired")
		}
	})
}

// A single-zone array and a single-zone gang each lose a machine during a failover. A leader that
// doesn't know where the other tasks run could restart the lost ones in another zone. They must
// restart in the zone in which other tasks of their job may still run.
func TestInteractionSingleZoneJobsAndLostMachines(t *testing.T) {
	o := twoLimitedTeams()
	o.Teams = nil
	runSeeded(t, 1234, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		// Three of the array's tasks run, all in one zone. Two wait although the other zone has
		// room for them.
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.OneZone, j.Tasks, j.CPUs, j.EstimateS = true, 5, 5, 90 }))
		mustSubmit(t, w, job(2, func(j *wire.Job) { gang(j); j.OneZone, j.Tasks, j.CPUs, j.EstimateS = true, 3, 3, 90 }))
		if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return w.Running() == 6 }) {
			t.Fatalf("%d tasks run, want 6", w.Running())
		}
		time.Sleep(randomDuration(rnd, time.Second, 10*time.Second))
		before := w.FencingToken()
		var lost, rest []string // a machine of each job to kill, and the machines of their other tasks
		for n := 1; n <= 2; n++ {
			on := machinesRunningJob(w, wire.Job{ID: job(n, nil).ID, Tasks: 5})
			k := rnd.IntN(len(on))
			lost, rest = append(lost, on[k]), append(rest, slices.Delete(on, k, k+1)...)
		}
		// One machine of each job is killed. At two seeds of three the others are partitioned
		// during the failover, so that the next leader can't learn their zones from them. At some
		// of these seeds the cloud's API is out as well.
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
			t.Errorf("faults did not interact: %d tasks run after the failover, %d restarted", n, w.Started()-started)
		}
		time.Sleep(randomDuration(rnd, 0, 40*time.Second))
		w.Cloud.SetOutage(false)
		for _, m := range rest {
			w.HealMachine(m)
		}
		healAndCheckStarvation(t, w)
		mustFinish(t, w, 20*time.Minute, 1, 2)
		if w.Started() == started {
			t.Error("no task was restarted")
		}
	})
}

// Tasks of a small job complete far apart, with a failover after each. A leader that lost a
// completion would run the task again or call the job done too early. Completed tasks must stay
// completed, and the job must be done only with its last task.
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
				t.Fatalf("%d tasks run, want 1", w.Running())
			}
			before := w.FencingToken()
			// At some seeds the store is out when the completion is reported, so that it can't be
			// committed before the failover.
			time.Sleep(time.Duration(j.EstimateS-1) * time.Second)
			w.Store.SetOutage(rnd.IntN(2) == 0)
			if !scenario.Eventually(20*time.Second, 50*time.Millisecond, func() bool { return w.FinishedTasks(j.ID) == done }) {
				t.Fatalf("%d tasks are done, want %d", w.FinishedTasks(j.ID), done)
			}
			time.Sleep(randomDuration(rnd, 0, 1500*time.Millisecond))
			w.KillNode(w.Leader())
			w.MarkInteraction()
			w.Store.SetOutage(false)
			awaitLeaderChange(t, w, before)
			if n := w.FinishedTasks(j.ID); n != done {
				t.Errorf("%d of %d tasks are done after the failover", n, tasks)
			}
			if s := w.PollState(w.AnyNodeAddr(), j.ID); s == wire.JobDone {
				t.Errorf("the job is done with %d of %d tasks", done, tasks)
			}
			w.StartAll()
		}
		mustReach(t, w, j.ID, wire.JobDone, 5*time.Minute)
		if n := w.Started(); n != tasks || w.ExpiredLeases() > 0 {
			t.Errorf("%d starts of %d tasks, %d leases expired", n, tasks, w.ExpiredLeases())
		}
		healAndCheckStarvation(t, w)
	})
}

// Random combinations of faults that no other test has. Jobs of all kinds keep the teams at their
// quotas. Meanwhile jobs are cancelled, machines become unreachable in various ways, direct
// commands are delayed, and leaders change. No job may starve, and each must reach its final state.
func TestInteractionsAtRandom(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		faults := machineFaults(w)
		var ids, cancelled, affected []string
		submitted := 0
		submitRandom := func() {
			submitted++ // numbers are not reused, since a submission without an answer may have been accepted
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
			submitRandom()
		}
		time.Sleep(10 * time.Second)
		w.MarkInteraction()
		interactions, token, leaderChanges := 0, w.FencingToken(), 0
		for step := 0; step < 30 || step < 90 && (interactions == 0 || leaderChanges == 0); step++ {
			submitRandom()
			names := w.Cloud.Machines()
			at := names[rnd.IntN(len(names))]
			switch rnd.IntN(9) {
			case 0, 1:
				for _, m := range affected {
					for _, fault := range faults {
						fault.end(m)
					}
				}
				affected = nil
			case 2, 3, 4:
				faults[rnd.IntN(len(faults))].begin(at)
				affected = append(affected, at)
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
				cancelled = append(cancelled, now...)
				teamFull := w.CPUsInUse("core") > teamMax-4 || w.CPUsInUse("edge") > teamMax-4 // a team's quota has less than 4 CPUs left, the size of the largest task
				for _, id := range now {
					for _, m := range machinesRunningJob(w, wire.Job{ID: id, Tasks: 4}) {
						if teamFull && (slices.Contains(affected, m) || slices.Contains(hung, m)) {
							interactions++
						}
					}
				}
			}
			time.Sleep(randomDuration(rnd, 0, 6*time.Second))
			if k := w.FencingToken(); k != 0 && k != token {
				token, leaderChanges = k, leaderChanges+1
			}
		}
		if interactions == 0 || leaderChanges == 0 {
			t.Errorf("faults did not interact: %d cancelled tasks on affected machines with a team at its quota, %d leader changes", interactions, leaderChanges)
		}
		for _, m := range w.Cloud.Machines() {
			w.DeliverHeldCommands(m)
		}
		healAndCheckStarvation(t, w)
		for _, id := range ids {
			want := wire.JobDone
			if slices.Contains(cancelled, id) {
				want = w.Cancel(id)
			}
			if !w.Await(id, want, 20*time.Minute) {
				t.Errorf("%s did not become %s", id, want)
			}
		}
		t.Logf("%d tasks interacted, %d leader changes, %d starts after a cancellation", interactions, leaderChanges, w.StartedAfterCancel())
	})
}

// The checks of these scenarios must be able to fail. The checker must detect a cancelled task that
// keeps running, and jobs that starve.
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
		time.Sleep(31 * time.Second) // the checker allows a cancelled job's tasks 32 s
		if n := w.StartedAfterCancel(); n > 0 || len(w.Violations()) > 0 {
			t.Fatalf("without a fault: %d starts after the cancellation, violations %v", n, w.Violations())
		}
		at := w.Cloud.Machines()[0]
		w.LaunchWithoutLeader(at, "wk-000001/0")
		w.HangMachine(at)
		if n := w.StartedAfterCancel(); n != 1 {
			t.Errorf("%d starts after the cancellation, want 1", n)
		}
		time.Sleep(3 * time.Second)
		if got := w.Violations(); len(got) != 1 || !strings.Contains(got[0], "which hangs") {
			t.Errorf("a cancelled task runs on a hung machine, violations are %v, want that one", got)
		}
		w.ResumeMachine(at)
		time.Sleep(10 * time.Second) // the tasks of the machine have been stopped
		if ids := w.Starved(90 * time.Second); len(ids) > 0 {
			t.Errorf("%v reported as starved, want none", ids)
		}
		// These jobs are registered with the checker only, so no controller places them. There is
		// room for jobs 2 and 3. One task of gang 4 does not fit, and job 5 exceeds its team's
		// quota.
		w.RegisterJob(job(2, one))
		w.RegisterJob(job(3, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs = 2, 3 }))
		w.RegisterJob(job(4, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs = 3, 3 }))
		w.RegisterJob(job(5, func(j *wire.Job) { j.Team, j.CPUs = "edge", 3 }))
		if ids := w.Starved(90 * time.Second); !slices.Equal(ids, []string{"wk-000002", "wk-000003"}) {
			t.Errorf("%v reported as starved, want jobs 2 and 3", ids)
		}
	})
}

// Random scenarios prove nothing if their steps have no effect. CancelRunning must cancel the jobs
// that it returns. A machine with BlockHeartbeats must count in Unanswered, and must still execute
// direct commands, which DirectCommandsExecuted counts.
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
				t.Errorf("%s is %q a second after its cancellation", id, s)
			}
		}
		time.Sleep(8 * time.Second)
		// Three random jobs were cancelled. A long task that is left is needed here. The short
		// job's task completes by itself, and then its machine has nothing to stop.
		left := slices.DeleteFunc([]string{"wk-000001/0", "wk-000002/0", "wk-000003/0", "wk-000004/0"}, func(task string) bool { return len(w.MachinesRunning(task)) != 1 })
		if len(left) == 0 {
			t.Fatalf("%v were cancelled, and no other long task runs", ids)
		}
		at := w.MachinesRunning(left[0])[0]
		w.BlockHeartbeats(at)
		from, direct := time.Now(), w.DirectCommandsExecuted(at)
		time.Sleep(5 * time.Second)
		if n := w.Unanswered(from.Add(time.Second)); n != 1 {
			t.Errorf("%d machines were unanswered, want 1", n)
		}
		for _, id := range []string{"wk-000001", "wk-000002", "wk-000003", "wk-000004", "wk-000900"} {
			w.Cancel(id)
		}
		time.Sleep(time.Second)
		if w.DirectCommandsExecuted(at) == direct || w.TasksPerMachine()[at] > 0 {
			t.Errorf("%d direct commands executed on the machine without heartbeats, want some; it has %d tasks, want 0", w.DirectCommandsExecuted(at)-direct, w.TasksPerMachine()[at])
		}
	})
}
