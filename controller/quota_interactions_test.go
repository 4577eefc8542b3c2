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

// Scenarios of faults that interact while teams are at their quotas and jobs are cancelled.

// twoLimitedTeams configures two teams with a quota of 16 CPUs each, of the 48 CPUs of six
// machines.
func twoLimitedTeams() fake.Options {
	return fake.Options{Machines: 6, Capacity: 6, LeaseS: 30,
		Teams: []config.Team{{Name: "core", CPUsMax: 16}, {Name: "edge", CPUsMax: 16}}}
}

const teamMax = 16.0

// fillTeams brings both teams to their quotas with long jobs of two tasks each (numbers from 101
// and from 201), and submits as many short ones of 15 s (from 111 and from 211) that have to wait
// for room under the quota.
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

func teamsAtQuota(w *fake.Cluster) bool {
	return w.CPUsInUse("core") == teamMax && w.CPUsInUse("edge") == teamMax
}

// Both teams are at their quotas when jobs are cancelled whose machines are partitioned or hang,
// and the leader fails before or after that. A cancelled task counts against its team's quota until
// it is known to be gone, at the next leader as well, which has had no heartbeat from those
// machines.
func TestInteractionQuotaCancellationsAndFailover(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		hang := rnd.IntN(2) == 0
		trouble := machineFault{w.PartitionMachine, w.HealMachine}
		if hang {
			trouble = machineFault{w.HangMachine, w.ResumeMachine}
		}
		var ids, names []string
		for _, n := range []int{101, 102 + rnd.IntN(3), 201, 202 + rnd.IntN(3)} {
			j := job(n, nil)
			ids = append(ids, j.ID)
			names = append(names, machinesRunningJob(w, j)...)
		}
		slices.Sort(names)
		names = slices.Compact(names)
		for _, m := range names {
			trouble.begin(m)
		}
		time.Sleep(randomDuration(rnd, 0, 3*time.Second))
		before := w.FencingToken()
		early := rnd.IntN(2) == 0
		if early {
			stopLeader(w, rnd)
		}
		met := 0
		for _, id := range ids {
			if s := w.Cancel(id); s != wire.JobCancelled {
				t.Fatalf("cancel answered %q", s)
			}
			if met += len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})); !teamsAtQuota(w) {
				t.Errorf("the teams are not at their limits as %s is cancelled", id)
			}
		}
		if met == 0 {
			t.Error("nothing cancelled was on a machine in trouble")
		}
		w.MarkInteraction()
		if !early {
			stopLeader(w, rnd)
		}
		awaitLeaderChange(t, w, before)
		left := 0
		for _, id := range ids {
			left += len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2}))
		}
		if left == 0 || !teamsAtQuota(w) {
			t.Errorf("%d machines have cancelled tasks as the next leader comes", left)
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range names {
			trouble.end(m)
		}
		healAndCheckStarvation(t, w)
	})
}

// Both teams are at their quotas when the leader is killed. Jobs are cancelled while there is no
// leader, and their machines are unreachable, at some seeds in a way that also keeps their
// heartbeats from the next leader: it learns of the tasks from the job's final record.
func TestInteractionFailoverAndCancellation(t *testing.T) {
	o := twoLimitedTeams()
	o.LeaseS = 22 // the leader's lease is 10 s then, and so is the time without a leader
	runSeeded(t, 1234, o, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		var names []string
		ids := []string{job(101+rnd.IntN(2), nil).ID, job(201+rnd.IntN(2), nil).ID}
		for _, id := range ids {
			names = append(names, machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})...)
		}
		slices.Sort(names)
		names = slices.Compact(names)
		ways := machineFaults(w)
		trouble := ways[rnd.IntN(len(ways))]
		before, dead := w.FencingToken(), w.Leader()
		w.KillNode(dead)
		time.Sleep(randomDuration(rnd, 3*time.Second, 4500*time.Millisecond)) // clients have switched to other nodes by now
		for _, m := range names {
			trouble.begin(m)
		}
		time.Sleep(randomDuration(rnd, 0, time.Second))
		for _, id := range ids {
			if s := w.Cancel(id); s != wire.JobCancelled {
				t.Fatalf("cancel answered %q", s)
			}
			if len(machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})) == 0 || !teamsAtQuota(w) {
				t.Errorf("%s is cancelled, and its tasks are gone or the teams not at their limits", id)
			}
		}
		if k := w.FencingToken(); k != before && k != 0 {
			t.Error("the next leader was there before the cancellations")
		}
		w.MarkInteraction()
		if rnd.IntN(2) == 0 {
			w.StartNode(dead)
		}
		awaitLeaderChange(t, w, before)
		if !teamsAtQuota(w) {
			t.Error("the teams are not at their limits as the next leader comes")
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range names {
			trouble.end(m)
		}
		healAndCheckStarvation(t, w)
	})
}

// Workers can't open connections to any controller, while direct commands still reach them
// (asymmetric partition): tasks of a cancelled job there are stopped at once, and count against the
// quota until they are known to be gone. At some seeds the leader changes, and the next one has had
// no heartbeat from these machines.
func TestInteractionSilentMachinesAndCancellations(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		id := job(101+rnd.IntN(4), nil).ID
		names := machinesRunningJob(w, wire.Job{ID: id, Tasks: 2})
		for _, m := range names {
			w.BlockHeartbeats(m)
		}
		silent := time.Now()
		time.Sleep(randomDuration(rnd, 0, 8*time.Second))
		at := names[rnd.IntN(len(names))]
		direct, started, before := w.DirectCommandsExecuted(at), w.Started(), w.FencingToken()
		late := rnd.IntN(2) == 0
		if late {
			w.HoldDirectCommands(at) // the stop arrives when the task's resources may have been given to another task
		}
		if s := w.Cancel(id); s != wire.JobCancelled {
			t.Fatalf("cancel answered %q", s)
		}
		if len(names) == 0 {
			t.Error("the job had no tasks")
		}
		w.MarkInteraction()
		time.Sleep(2 * time.Second)
		if w.Unanswered(silent.Add(2*time.Second)) < len(names) {
			t.Error("a silent machine was answered")
		}
		if !late && w.DirectCommandsExecuted(at) == direct {
			t.Error("no direct command reached the silent machine")
		}
		if n := w.Started() - started; n > 0 {
			t.Errorf("%d starts while the cancelled tasks' machines can't say that they are gone", n)
		}
		if rnd.IntN(2) == 0 {
			stopLeader(w, rnd)
			awaitLeaderChange(t, w, before)
			if w.Unanswered(silent.Add(2*time.Second)) < len(names) {
				t.Error("a silent machine was answered")
			}
		}
		time.Sleep(randomDuration(rnd, 0, 35*time.Second))
		for _, m := range names {
			w.UnblockHeartbeats(m)
		}
		if late {
			time.Sleep(randomDuration(rnd, 0, 5*time.Second))
			if done, refused := w.DeliverHeldCommands(at); done+refused == 0 {
				t.Error("no direct command was held back")
			}
		}
		healAndCheckStarvation(t, w)
	})
}

// Heartbeat replies with launches are delayed for seconds, the launched jobs are cancelled
// meanwhile, and the machines then go on: the launches are executed although their jobs are
// cancelled, count against the team's quota, and are gone within the deadline.
func TestInteractionDelayedAnswersAndCancellations(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		id := job(101+rnd.IntN(4), nil).ID
		// The job's resources are the best fit for the next job, so the new launches go to its
		// machines; later launches go to all machines, and those whose replies aren't blocked
		// receive theirs.
		names, late := machinesRunningJob(w, wire.Job{ID: id, Tasks: 2}), 0
		for _, m := range names {
			late -= w.LateReplies(m)
			w.HoldDirectCommands(m)
		}
		before := w.FencingToken()
		if s := w.Cancel(id); s != wire.JobCancelled { // frees room under the quota
			t.Fatalf("cancel answered %q", s)
		}
		time.Sleep(50 * time.Millisecond)
		for _, m := range names {
			w.BlockRepliesTo(m)
		}
		// The stops are delivered now, so the next heartbeat reports the tasks as gone, and its
		// (blocked) reply carries the launches.
		for _, m := range names {
			w.DeliverHeldCommands(m)
			w.HoldDirectCommands(m)
		}
		time.Sleep(randomDuration(rnd, 1200*time.Millisecond, 1600*time.Millisecond))
		w.MarkInteraction()
		started := w.Started()
		for i := 1; i <= 1+rnd.IntN(2); i++ { // cancels the jobs just launched; others wait for the room under the quota
			w.Cancel(job(110+i, nil).ID)
		}
		hang := rnd.IntN(2) == 0
		for _, m := range names { // at some seeds the delayed replies arrive while the agent hangs
			if hang {
				w.HangMachine(m)
				w.UnblockRepliesTo(m)
			} else {
				w.ResumeMachine(m)
			}
		}
		time.Sleep(randomDuration(rnd, 400*time.Millisecond, 1700*time.Millisecond))
		for _, m := range names {
			for _, n := range w.Nodes() {
				w.Network.BlockOneWay(m, n) // no heartbeat shows that the machines go on
			}
			w.ResumeMachine(m)
			w.UnblockRepliesTo(m)
		}
		time.Sleep(randomDuration(rnd, 0, time.Second))
		change := rnd.IntN(2) == 0
		if change {
			stopLeader(w, rnd)
		}
		time.Sleep(randomDuration(rnd, time.Second, 15*time.Second))
		for _, m := range names {
			late += w.LateReplies(m)
			for _, n := range w.Nodes() {
				w.Network.UnblockOneWay(m, n)
			}
		}
		if late == 0 {
			t.Error("no answer was held up and taken")
		}
		if n := w.StartedAfterCancel(); n == 0 {
			t.Errorf("no launch came after its job was cancelled, of %d starts", w.Started()-started)
		}
		if change {
			awaitLeaderChange(t, w, before)
		}
		time.Sleep(randomDuration(rnd, 0, 20*time.Second))
		commands := 0
		for _, m := range names {
			executed, refused := w.DeliverHeldCommands(m)
			commands += executed + refused
		}
		if commands == 0 {
			t.Error("no direct command was held up")
		}
		time.Sleep(time.Minute)
		healAndCheckStarvation(t, w)
	})
}

// A zone with workers and a controller is partitioned from everything else for longer than a
// worker's lease. Its workers keep their tasks for as long as a controller inside answers them
// under a valid fencing token; after that the tasks start in another zone, once only.
func TestInteractionZonePartitionAndQuota(t *testing.T) {
	runSeeded(t, 1234, twoLimitedTeams(), func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		fillTeams(t, w)
		zone, before := fake.Zones[w.Leader()%2], w.FencingToken()
		inside := rnd.IntN(3) > 0 // the leader is in the partitioned zone
		if !inside {
			zone = fake.Zones[1-w.Leader()%2]
		}
		there := 0
		for m, n := range w.TasksPerMachine() {
			if w.ZoneOf(m) == zone {
				there += n
			}
		}
		// A job with a task in the partitioned zone is cancelled; it is drawn from the long jobs of
		// both teams, which between them have tasks in every zone.
		inZone := func(j wire.Job) bool {
			return slices.ContainsFunc(machinesRunningJob(w, j), func(m string) bool { return w.ZoneOf(m) == zone })
		}
		var those []wire.Job
		for _, n := range []int{101, 102, 103, 104, 201, 202, 203, 204} {
			if j := job(n, nil); inZone(j) {
				those = append(those, j)
			}
		}
		if len(those) == 0 {
			t.Fatal("no job has a task in the zone that is cut off")
		}
		w.IsolateZone(zone)
		time.Sleep(randomDuration(rnd, 0, 20*time.Second))
		if there == 0 || !teamsAtQuota(w) {
			t.Errorf("%d tasks in the zone that is cut off, teams at their limits: %v", there, teamsAtQuota(w))
		}
		j := those[rnd.IntN(len(those))]
		// At a node outside of the zone: clients of nodes inside may have to wait for longer than a
		// lease.
		said := ""
		for i := range w.Nodes() {
			if fake.Zones[i%2] != zone && said == "" {
				said = w.CancelAt(w.NodeAddr(i), j.ID)
			}
		}
		if said != wire.JobCancelled {
			t.Errorf("cancel answered %q", said)
		}
		if !inZone(j) {
			t.Errorf("%s is cancelled, and has no task in the zone that is cut off", j.ID)
		}
		w.MarkInteraction()
		// A leader inside the zone answers its workers until its own lease expires.
		time.Sleep(randomDuration(rnd, 42*time.Second, time.Minute))
		if w.ExpiredLeases() == 0 {
			t.Error("no lease ended in the zone")
		}
		if k := w.FencingToken(); inside == (k == before) {
			t.Errorf("the leader was cut off: %v; it has changed: %v", inside, k != before)
		}
		w.HealZoneIsolation(zone)
		healAndCheckStarvation(t, w)
	})
}
