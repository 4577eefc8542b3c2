// Scenarios of faults that interact while teams are at their quotas and jobs are cancelled.

package controller_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
)

// twoLimitedTeams configures two teams with a quota of 16 CPUs each, of the 48 CPUs of six
// machines.
func twoLimitedTeams() fake.Options {
	return fake.Options{Machines: 6, Capacity: 6, LeaseS: 30,
		Teams: []config.Team{{Name: "core", CPUsMax: 16}, {Name: "edge", CPUsMax: 16}}}
}

// teamMax is the quota of each team of twoLimitedTeams in CPUs.
const teamMax = 16.0

// fillTeams brings both teams to their quotas with long jobs of two tasks each, numbered 101 to 104
// and 201 to 204. It also submits as many short jobs of 15 s, numbered 111 to 114 and 211 to 214,
// which wait for room under the quota.
func fillTeams(t *testing.T, w *fake.Cluster) {
	t.Helper()
	for base, team := range map[int]string{100: "core", 200: "edge"} {
		for i := 1; i <= 4; i++ {
			mustSubmit(t, w, job(base+i, func(j *wire.Job) { j.Team, j.CPUs, j.EstimateS = team, 2, 3600 }))
		}
	}
	if !scenario.Eventually(40*time.Second, 200*time.Millisecond, func() bool { return teamsAtQuota(w) }) {
		t.Fatalf("the teams use %g and %g CPUs", w.CPUsInUse("core"), w.CPUsInUse("edge"))
	}
	for base, team := range map[int]string{110: "core", 210: "edge"} {
		for i := 1; i <= 4; i++ {
			mustSubmit(t, w, job(base+i, func(j *wire.Job) { j.Team, j.CPUs, j.EstimateS = team, 2, 15 }))
		}
	}
}

// teamsAtQuota reports whether both teams use exactly their quotas.
func teamsAtQuota(w *fake.Cluster) bool {
	return w.CPUsInUse("core") == teamMax && w.CPUsInUse("edge") == teamMax
}

// Both teams are at their quotas. Jobs on partitioned or hung machines are cancelled, and the
// leader fails before or after that. The next leader has had no heartbeat from those machines, and
// could start other tasks beyond the quota. A cancelled task must count against its team's quota
// until it is known to be gone.
func TestInteractionQuotaCancellationsAndFailover(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		hang := rnd.IntN(2) == 0
		fault := machineFault{w.PartitionMachine, w.HealMachine}
		if hang {
			fault = machineFault{w.HangMachine, w.ResumeMachine}
		}
		var ids, affected []string
		for _, n := range []int{101, 102 + rnd.IntN(3), 201, 202 + rnd.IntN(3)} {
			j := job(n, nil)
			ids = append(ids, j.ID)
			affected = append(affected, machinesRunningJob(w, j)...)
		}
		slices.Sort(affected)
		affected = slices.Compact(affected)
		for _, m := range affected {
			fault.begin(m)
		}
		time.Sleep(randomDuration(rnd, 0, 3*time.Second))
		before := w.FencingToken()
		failoverFirst := rnd.IntN(2) == 0
		if failoverFirst {
			stopLeader(w, rnd)
		}
		cancelledOnAffected := 0
		for _, id := range ids {
			if s := w.Cancel(id); s != wire.JobCancelled {
				t.Fatalf("cancellation returned %q", s)
			}
			if cancelledOnAffected += len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})); !teamsAtQuota(w) {
				t.Errorf("the teams are not at their quotas when %s is cancelled", id)
			}
		}
		if cancelledOnAffected == 0 {
			t.Error("faults did not interact: no cancelled task was on an affected machine")
		}
		w.MarkInteraction()
		if !failoverFirst {
			stopLeader(w, rnd)
		}
		awaitLeaderChange(t, w, before)
		left := 0
		for _, id := range ids {
			left += len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2}))
		}
		if left == 0 || !teamsAtQuota(w) {
			t.Errorf("faults did not interact: %d machines have cancelled tasks after the failover, or the teams are not at their quotas", left)
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range affected {
			fault.end(m)
		}
		healAndCheckStarvation(t, w)
	})
}

// Both teams are at their quotas when the leader is killed. Jobs are cancelled while there is no
// leader and their machines are unreachable. At some seeds the next leader gets no heartbeat from
// these machines either. It must learn of the tasks from the jobs' final records and count them
// against the quota.
func TestInteractionFailoverAndCancellation(t *testing.T) {
	o := twoLimitedTeams()
	o.LeaseS = 22 // makes the leader's lease 10 s, and so the time without a leader
	runSeeded(t, 1234, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		var affected []string
		ids := []string{job(101+rnd.IntN(2), nil).ID, job(201+rnd.IntN(2), nil).ID}
		for _, id := range ids {
			affected = append(affected, machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})...)
		}
		slices.Sort(affected)
		affected = slices.Compact(affected)
		faults := machineFaults(w)
		fault := faults[rnd.IntN(len(faults))]
		before, killed := w.FencingToken(), w.Leader()
		w.KillNode(killed)
		time.Sleep(randomDuration(rnd, 3*time.Second, 4500*time.Millisecond)) // clients have switched to other nodes
		for _, m := range affected {
			fault.begin(m)
		}
		time.Sleep(randomDuration(rnd, 0, time.Second))
		for _, id := range ids {
			if s := w.Cancel(id); s != wire.JobCancelled {
				t.Fatalf("cancellation returned %q", s)
			}
			if len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})) == 0 || !teamsAtQuota(w) {
				t.Errorf("faults did not interact: after the cancellation of %s its tasks are gone, or the teams are not at their quotas", id)
			}
		}
		if k := w.FencingToken(); k != before && k != 0 {
			t.Error("faults did not interact: the next leader was elected before the cancellations")
		}
		w.MarkInteraction()
		if rnd.IntN(2) == 0 {
			w.StartNode(killed)
		}
		awaitLeaderChange(t, w, before)
		if !teamsAtQuota(w) {
			t.Error("the teams are not at their quotas after the failover")
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range affected {
			fault.end(m)
		}
		healAndCheckStarvation(t, w)
	})
}

// Workers can't open connections to any controller, while direct commands still reach them (an
// asymmetric partition). At some seeds the leader changes, and the next one has had no heartbeat
// from these machines. Tasks of a cancelled job there must be stopped at once, and count against
// the quota until they are known to be gone.
func TestInteractionSilentMachinesAndCancellations(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		id := job(101+rnd.IntN(4), nil).ID
		silentMachines := machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})
		for _, m := range silentMachines {
			w.BlockHeartbeats(m)
		}
		blockedAt := time.Now()
		time.Sleep(randomDuration(rnd, 0, 8*time.Second))
		machine := silentMachines[rnd.IntN(len(silentMachines))]
		commandsBefore, started, before := w.DirectCommandsExecuted(machine), w.Started(), w.FencingToken()
		delayStop := rnd.IntN(2) == 0
		if delayStop {
			w.HoldDirectCommands(machine) // the task's resources may belong to another task when the stop arrives
		}
		if s := w.Cancel(id); s != wire.JobCancelled {
			t.Fatalf("cancellation returned %q", s)
		}
		if len(silentMachines) == 0 {
			t.Error("the job has no running tasks")
		}
		w.MarkInteraction()
		time.Sleep(2 * time.Second)
		if w.Unanswered(blockedAt.Add(2*time.Second)) < len(silentMachines) {
			t.Error("a machine with blocked heartbeats was answered")
		}
		if !delayStop && w.DirectCommandsExecuted(machine) == commandsBefore {
			t.Error("no direct command reached the machine with blocked heartbeats")
		}
		if n := w.Started() - started; n > 0 {
			t.Errorf("%d tasks started before the cancelled tasks were known to be gone", n)
		}
		if rnd.IntN(2) == 0 {
			stopLeader(w, rnd)
			awaitLeaderChange(t, w, before)
			if w.Unanswered(blockedAt.Add(2*time.Second)) < len(silentMachines) {
				t.Error("a machine with blocked heartbeats was answered")
			}
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range silentMachines {
			w.UnblockHeartbeats(m)
		}
		if delayStop {
			time.Sleep(randomDuration(rnd, 0, 5*time.Second))
			if done, refused := w.DeliverHeldCommands(machine); done+refused == 0 {
				t.Error("no direct command was delayed")
			}
		}
		healAndCheckStarvation(t, w)
	})
}

// Heartbeat replies with launches are delayed for seconds, and the launched jobs are cancelled
// meanwhile. The machines then execute these launches although the jobs are cancelled. The tasks
// must count against the team's quota and be gone within the deadline.
func TestInteractionDelayedAnswersAndCancellations(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		id := job(101+rnd.IntN(4), nil).ID
		// The job's resources are the best fit for the next job, so the new launches go to its
		// machines. Later launches go to all machines, and arrive where replies aren't blocked.
		affected, lateReplies := machinesRunningJob(w, wire.Job{ID: id, Tasks: 2}), 0
		for _, m := range affected {
			lateReplies -= w.LateReplies(m)
			w.HoldDirectCommands(m)
		}
		before := w.FencingToken()
		if s := w.Cancel(id); s != wire.JobCancelled { // frees room under the quota
			t.Fatalf("cancellation returned %q", s)
		}
		time.Sleep(50 * time.Millisecond)
		for _, m := range affected {
			w.BlockRepliesTo(m)
		}
		// The stops are delivered now. The next heartbeat reports the tasks as gone, and its
		// blocked reply carries the launches.
		for _, m := range affected {
			w.DeliverHeldCommands(m)
			w.HoldDirectCommands(m)
		}
		time.Sleep(randomDuration(rnd, 1200*time.Millisecond, 1600*time.Millisecond))
		w.MarkInteraction()
		started := w.Started()
		for i := 1; i <= 1+rnd.IntN(2); i++ { // the jobs just launched; others wait for room under the quota
			w.Cancel(job(110+i, nil).ID)
		}
		hang := rnd.IntN(2) == 0
		for _, m := range affected { // at some seeds the agent hangs when the delayed replies arrive
			if hang {
				w.HangMachine(m)
				w.UnblockRepliesTo(m)
			} else {
				w.ResumeMachine(m)
			}
		}
		time.Sleep(randomDuration(rnd, 400*time.Millisecond, 1700*time.Millisecond))
		for _, m := range affected {
			for _, n := range w.Nodes() {
				w.Network.BlockOneWay(m, n) // controllers get no heartbeat from the resumed machine
			}
			w.ResumeMachine(m)
			w.UnblockRepliesTo(m)
		}
		time.Sleep(randomDuration(rnd, 0, time.Second))
		failover := rnd.IntN(2) == 0
		if failover {
			stopLeader(w, rnd)
		}
		time.Sleep(randomDuration(rnd, time.Second, 15*time.Second))
		for _, m := range affected {
			lateReplies += w.LateReplies(m)
			for _, n := range w.Nodes() {
				w.Network.UnblockOneWay(m, n)
			}
		}
		if lateReplies == 0 {
			t.Error("faults did not interact: no reply was delayed and then accepted")
		}
		if n := w.StartedAfterCancel(); n == 0 {
			t.Errorf("faults did not interact: none of %d starts came after the cancellation of its job", w.Started()-started)
		}
		if failover {
			awaitLeaderChange(t, w, before)
		}
		time.Sleep(randomDuration(rnd, 0, 20*time.Second))
		commands := 0
		for _, m := range affected {
			executed, refused := w.DeliverHeldCommands(m)
			commands += executed + refused
		}
		if commands == 0 {
			t.Error("faults did not interact: no direct command was delayed")
		}
		time.Sleep(time.Minute)
		healAndCheckStarvation(t, w)
	})
}

// A zone with workers and a controller is partitioned from everything else for longer than a
// worker's lease. Its workers keep their tasks as long as a controller inside answers them under a
// valid fencing token. A task that starts in another zone before these leases have expired would
// run twice. It must start there only afterwards, and once.
func TestInteractionZonePartitionAndQuota(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		zone, before := fake.Zones[w.Leader()%2], w.FencingToken()
		leaderInside := rnd.IntN(3) > 0 // the leader is in the partitioned zone
		if !leaderInside {
			zone = fake.Zones[1-w.Leader()%2]
		}
		tasksInZone := 0
		for m, n := range w.TasksPerMachine() {
			if w.ZoneOf(m) == zone {
				tasksInZone += n
			}
		}
		// The job to cancel has a task in the partitioned zone. It is drawn from the long jobs of
		// both teams, which together have tasks in every zone.
		inZone := func(j wire.Job) bool {
			return slices.ContainsFunc(machinesRunningJob(w, j), func(m string) bool { return w.ZoneOf(m) == zone })
		}
		var candidates []wire.Job
		for _, n := range []int{101, 102, 103, 104, 201, 202, 203, 204} {
			if j := job(n, nil); inZone(j) {
				candidates = append(candidates, j)
			}
		}
		if len(candidates) == 0 {
			t.Fatal("no job has a task in the partitioned zone")
		}
		w.IsolateZone(zone)
		time.Sleep(randomDuration(rnd, 0, 20*time.Second))
		if tasksInZone == 0 || !teamsAtQuota(w) {
			t.Errorf("faults did not interact: %d tasks in the partitioned zone, teams at their quotas: %v", tasksInZone, teamsAtQuota(w))
		}
		j := candidates[rnd.IntN(len(candidates))]
		// Cancel at a node outside the zone, since clients of nodes inside may have to wait for
		// longer than a lease.
		outcome := ""
		for i := range w.Nodes() {
			if fake.Zones[i%2] != zone && outcome == "" {
				outcome = w.CancelAt(w.NodeAddr(i), j.ID)
			}
		}
		if outcome != wire.JobCancelled {
			t.Errorf("cancellation returned %q", outcome)
		}
		if !inZone(j) {
			t.Errorf("faults did not interact: %s is cancelled and has no task in the partitioned zone", j.ID)
		}
		w.MarkInteraction()
		// A leader inside the zone answers its workers until its own lease expires.
		time.Sleep(randomDuration(rnd, 42*time.Second, time.Minute))
		if w.ExpiredLeases() == 0 {
			t.Error("no worker lease expired in the zone")
		}
		if k := w.FencingToken(); leaderInside == (k == before) {
			t.Errorf("the leader was partitioned: %v; the leader changed: %v", leaderInside, k != before)
		}
		w.HealZoneIsolation(zone)
		healAndCheckStarvation(t, w)
	})
}
