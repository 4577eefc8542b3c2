// Scenarios of the cancellation gap. The key-value store refuses only the leader. Another node
// confirms cancellations. Then the store is out for everybody for longer than cancel_s. Meanwhile
// workers go on sending heartbeats to the leader, which has not learned of the cancellations.

package controller_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// cancellationGap says which faults one scenario has, and when.
type cancellationGap struct {
	// Heartbeat interval and lease of the workers in seconds. cancel_s is 20 s above the lease.
	heartbeatS, leaseS float64

	// When the store begins to refuse the leader, relative to the cancellations.
	refuseLeaderAt time.Duration
	// If set, the store accepts the leader for 300 ms this long after the refusal began, then
	// refuses it again.
	acceptBrieflyAfter time.Duration
	// When the store's outage begins, counted from the last confirmation. With
	// outageAfterLeaseExpiry it is counted from when the old leader's key is gone.
	outageAt time.Duration
	// By how much the outage exceeds cancel_s. Negative if it is shorter.
	outageBeyondCancel time.Duration
	// The leader is partitioned from the store and the other nodes, instead of refused by the
	// store.
	isLeaderPartitioned bool

	pauseLeaderAt, pauseLeaderFor time.Duration // when the leader's process is paused, from the last confirmation, and for how long
	hangAgentAt, hangAgentFor     time.Duration // when a machine's agent hangs, from the cancellations, and for how long
	// How long before the cancellations one more job is submitted, whose launches may be in flight.
	// 0: none.
	lastSubmitBefore   time.Duration
	holdDirectCommands bool          // direct commands are delayed until the end of the scenario
	requestLatency     time.Duration // latency added before the store carries a request out
	replyLatency       time.Duration // latency added to the store's replies

	leaderReplyLatency   time.Duration // latency added to the store's replies to the leader alone
	startDelay           time.Duration // delay of the whole sequence, which shifts it against the leader's renewals
	silenceLeaderWatches bool          // the leader's watches deliver nothing, from before it is refused
	refusedAfterOutage   time.Duration // for how long the leader stays refused after the outage

	mayKnowCancellations   bool // the leader may have learned of the cancellations before it was refused
	outageAfterLeaseExpiry bool // the old leader's lease expires before the outage begins
}

const (
	gapTasks  = 4 // tasks of the array that is cancelled
	gapOthers = 4 // tasks of the job that is not cancelled
)

// jobsForGap returns the jobs that are cancelled: an array, a gang whose tasks would save a
// checkpoint, and with lastSubmitBefore set one whose launches may be in flight.
func jobsForGap(g cancellationGap) []wire.Job {
	jobs := []wire.Job{
		job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = gapTasks, 2, 3600 }),
		job(2, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs, j.EstimateS, j.SaveS = 2, 2, 3600, 5 }),
	}
	if g.lastSubmitBefore > 0 {
		jobs = append(jobs, job(4, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = gapTasks, 1, 3600 }))
	}
	return jobs
}

// recordLastRunning updates, for each of the jobs, when a task of it was last seen on a machine.
func recordLastRunning(w *fake.Cluster, jobs []wire.Job, last map[string]time.Time) {
	for _, j := range jobs {
		for i := range j.Tasks {
			if len(w.MachinesRunning(wire.TaskName(j.ID, i))) > 0 {
				last[j.ID] = time.Now()
			}
		}
	}
}

// run runs the scenario. It returns how many tasks were lost and started again although nobody had
// cancelled them.
func (g cancellationGap) run(t *testing.T, seed uint64) (lost int) {
	t.Helper()
	o := fake.Options{Machines: 4, Capacity: 4, Seed: seed, HeartbeatIntervalS: g.heartbeatS, LeaseS: g.leaseS}
	runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
		workers := w.Settings.Cluster.Workers
		cancelS := time.Duration(workers.CancelS * float64(time.Second))
		jobs := jobsForGap(g)
		mustSubmit(t, w, jobs[0], jobs[1],
			job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = gapOthers, 3, 3600 }))
		running := jobs[0].Tasks + jobs[1].Tasks + gapOthers
		if !scenario.Eventually(40*time.Second, 500*time.Millisecond, func() bool { return w.Running() == running }) {
			t.Fatalf("%d tasks run, want %d", w.Running(), running)
		}
		time.Sleep(3 * time.Second)
		leader := w.Leader()
		other, leaderName := (leader+1)%3, fmt.Sprintf("n-%d", leader)
		leaderKey := bytes.Clone(w.Store.Value("ctl/leader"))
		if _, kept := w.HeartbeatsAnswered(leader, time.Now().Add(-2*time.Duration(workers.HeartbeatS*float64(time.Second)))); kept != 4 {
			t.Fatalf("%d of 4 machines send the leader heartbeats", kept)
		}
		started := w.Started()
		w.Store.SetLatency(g.requestLatency)
		w.Store.DelayReplies(g.replyLatency)
		w.Store.DelayRepliesTo(leaderName, g.leaderReplyLatency)
		if g.silenceLeaderWatches {
			w.Store.SilenceWatches(leaderName)
		}
		if g.requestLatency+g.replyLatency+g.leaderReplyLatency > 0 {
			time.Sleep(5 * time.Second)
		}
		hungMachine := w.MachinesRunning(wire.TaskName(jobs[0].ID, 0))[0]
		if g.holdDirectCommands {
			for _, m := range w.Cloud.Machines() {
				w.HoldDirectCommands(m)
			}
		}
		refuse, accept := func() { w.Store.RefuseNode(leaderName) }, func() { w.Store.AcceptNode(leaderName) }
		if g.isLeaderPartitioned {
			refuse, accept = func() { w.IsolateToWorkers(leader) }, func() { w.HealNodeIsolation(leader) }
		}
		var wg sync.WaitGroup
		cancelledAt := time.Now().Add(6*time.Second + g.startDelay)
		at := func(when time.Duration, do func()) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Until(cancelledAt.Add(when)))
				do()
			}()
		}
		if g.lastSubmitBefore > 0 {
			at(-g.lastSubmitBefore, func() {
				for !w.Submit(jobs[2]) {
				}
			})
		}
		refused := cancelledAt.Add(g.refuseLeaderAt)
		at(g.refuseLeaderAt, refuse)
		if g.acceptBrieflyAfter > 0 {
			at(g.refuseLeaderAt+g.acceptBrieflyAfter, accept)
			at(g.refuseLeaderAt+g.acceptBrieflyAfter+300*time.Millisecond, refuse)
		}
		if g.hangAgentFor > 0 {
			at(g.hangAgentAt, func() { w.HangMachine(hungMachine) })
			at(g.hangAgentAt+g.hangAgentFor, func() { w.ResumeMachine(hungMachine) })
		}
		time.Sleep(time.Until(cancelledAt))
		var confirming sync.WaitGroup
		for _, j := range jobs {
			confirming.Add(1)
			go func() {
				defer confirming.Done()
				for end := time.Now().Add(20 * time.Second); w.CancelConfirmedAt(j.ID).IsZero() && time.Now().Before(end); {
					if w.CancelAt(w.NodeAddr(other), j.ID) == "" {
						time.Sleep(50 * time.Millisecond)
					}
				}
			}()
		}
		confirming.Wait()
		// The scenario itself measures how long cancelled tasks stay, since the checker's clock
		// begins anew with each violation.
		confirmed, last := map[string]time.Time{}, map[string]time.Time{}
		var lastConfirmed time.Time
		for _, j := range jobs {
			confirmedAt := w.CancelConfirmedAt(j.ID)
			if confirmedAt.IsZero() {
				t.Fatalf("%s: no other node confirmed the cancellation", j.ID)
			}
			committed := w.Store.CreatedAt(jobstore.FinalKey(j.ID))
			if committed.IsZero() || committed.After(confirmedAt) {
				t.Fatalf("%s was confirmed at %v and committed at %v", j.ID, confirmedAt, committed)
			}
			if !g.mayKnowCancellations && committed.Before(refused) {
				t.Errorf("faults did not interact: %s was cancelled %v before the leader was refused", j.ID, refused.Sub(committed))
			}
			confirmed[j.ID] = confirmedAt
			if confirmedAt.After(lastConfirmed) {
				lastConfirmed = confirmedAt
			}
		}
		if !bytes.Equal(w.Store.Value("ctl/leader"), leaderKey) {
			t.Error("faults did not interact: the leader changed before the jobs were cancelled")
		}
		if g.outageAfterLeaseExpiry && !scenario.Eventually(15*time.Second, 5*time.Millisecond, func() bool { return !bytes.Equal(w.Store.Value("ctl/leader"), leaderKey) }) {
			t.Fatal("faults did not interact: the refused leader's key remains")
		}
		outageDelay := time.Since(lastConfirmed) + g.outageAt // from the last confirmation to the start of the outage
		if !g.outageAfterLeaseExpiry {
			outageDelay = g.outageAt
		}
		// Clients poll all nodes, the old leader as well; the checker verifies the answers.
		end := lastConfirmed.Add(outageDelay + cancelS + g.outageBeyondCancel)
		for i := range 3 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				for time.Now().Before(end) {
					w.PollState(w.NodeAddr(i), jobs[0].ID)
					time.Sleep(700 * time.Millisecond)
				}
			}()
		}
		if g.pauseLeaderFor > 0 {
			at(lastConfirmed.Add(g.pauseLeaderAt).Sub(cancelledAt), func() { w.PauseNode(leader) })
			at(lastConfirmed.Add(g.pauseLeaderAt+g.pauseLeaderFor).Sub(cancelledAt), func() { w.ResumeNode(leader) })
		}
		var outageBegan, outageEnded time.Time
		var keyInOutage []byte
		at(lastConfirmed.Add(outageDelay).Sub(cancelledAt), func() {
			w.Store.SetOutage(true)
			outageBegan, keyInOutage = time.Now(), bytes.Clone(w.Store.Value("ctl/leader"))
		})
		at(end.Sub(cancelledAt), func() {
			outageEnded = time.Now()
			w.Store.SetLatency(0)
			w.Store.DelayReplies(0)
			w.Store.DelayRepliesTo(leaderName, 0)
			w.Store.ResumeWatches(leaderName)
			w.Store.SetOutage(false)
		})
		at(end.Add(g.refusedAfterOutage).Sub(cancelledAt), accept)
		for time.Now().Before(end) || time.Since(lastConfirmed) < cancelS {
			recordLastRunning(w, jobs, last)
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		if g.outageAfterLeaseExpiry == bytes.Equal(keyInOutage, leaderKey) {
			t.Error("faults did not interact: the leader key at the start of the outage is not the expected one")
		}
		if g.outageBeyondCancel >= 0 && outageEnded.Sub(outageBegan) < cancelS {
			t.Errorf("faults did not interact: the outage lasted %v, want at least %v", outageEnded.Sub(outageBegan), cancelS)
		}
		answered, kept := w.HeartbeatsAnswered(leader, lastConfirmed)
		if answered == 0 {
			t.Error("faults did not interact: no worker sent the old leader a heartbeat after the confirmations")
		}
		// The leader renewed its lease at most a fifth of the lease's length before the refusal. It
		// therefore relies on the lease for at least another half of that length, unless latency or
		// a pause is injected.
		halfLease := time.Duration(workers.LeaderLeaseS() / 2 * float64(time.Second))
		if g.requestLatency+g.replyLatency+g.leaderReplyLatency+g.pauseLeaderFor == 0 && lastConfirmed.Sub(refused)+time.Duration(1.25*workers.HeartbeatS*float64(time.Second)) < halfLease && kept == 0 {
			t.Error("faults did not interact: the old leader accepted no heartbeat after the confirmations")
		}
		longest := time.Duration(0)
		for _, j := range jobs {
			if last[j.ID].IsZero() {
				if !g.mayKnowCancellations && j.ID != "wk-000004" {
					t.Errorf("faults did not interact: no task of %s was on a machine when its cancellation was confirmed", j.ID)
				}
				continue
			}
			took := last[j.ID].Sub(confirmed[j.ID])
			longest = max(longest, took)
			if !g.mayKnowCancellations && !g.outageAfterLeaseExpiry && took < 2*time.Second {
				t.Errorf("faults did not interact: all tasks of %s were gone %v after the confirmation, so the leader had learned of it", j.ID, took)
			}
			if took > time.Duration(workers.CancelledGoneWithinS()*float64(time.Second)) {
				t.Errorf("a task of %s was on a machine %v after its cancellation was confirmed, want at most %.2f s (cancel_s is %g)",
					j.ID, took, workers.CancelledGoneWithinS(), workers.CancelS)
			}
		}
		t.Logf("the last cancelled task was gone after %.2f s, bound %.2f s (cancel_s %g); the old leader answered %d machines, %d of them with 200; %d leases expired",
			longest.Seconds(), workers.CancelledGoneWithinS(), workers.CancelS, answered, kept, w.ExpiredLeases())
		for _, m := range w.Cloud.Machines() {
			w.DeliverHeldCommands(m)
		}
		mustSubmit(t, w, job(5, nil))
		mustReach(t, w, "wk-000005", wire.JobDone, 2*time.Minute)
		if !scenario.Eventually(time.Minute, time.Second, func() bool { return w.Running() == gapOthers }) {
			t.Errorf("%d of the %d tasks that nobody cancelled run", w.Running(), gapOthers)
		}
		for _, j := range jobs {
			mustReach(t, w, j.ID, wire.JobCancelled, 10*time.Second)
		}
		lost = w.Started() - started - 2
		if g.lastSubmitBefore > 0 {
			lost -= jobs[2].Tasks // each of them started at most once
		}
		if lost > gapOthers {
			t.Errorf("%d restarts of %d tasks that nobody cancelled, want at most one each", lost, gapOthers)
		}
	})
	return lost
}

const ms = time.Millisecond

// deployments are the heartbeat intervals and leases of the users' sites.
var deployments = []struct{ heartbeatS, leaseS float64 }{{1.5, 12}, {4, 22}, {5, 27}}

// Each case is one moment at which the order of the faults matters. A leader that has not learned
// of a cancellation could keep the cancelled tasks running by answering their workers. They must be
// gone within the bound that follows from the workers' settings.
func TestGapCancelledTasksAreGoneInTime(t *testing.T) {
	_, many := seedCount()
	for i, c := range []struct {
		name string
		g    cancellationGap
	}{
		{"refused at once with the cancellation", cancellationGap{refuseLeaderAt: 0, outageAt: time.Second, mayKnowCancellations: true}},
		{"refused just before", cancellationGap{refuseLeaderAt: -30 * ms, outageAt: time.Second}},
		{"refused a quarter of a second before", cancellationGap{refuseLeaderAt: -250 * ms, outageAt: time.Second}},
		{"refused two seconds before, out at once", cancellationGap{refuseLeaderAt: -2 * time.Second, outageAt: 0}},
		{"refused just after", cancellationGap{refuseLeaderAt: 20 * ms, outageAt: time.Second, mayKnowCancellations: true, holdDirectCommands: true}},
		{"refused a quarter of a second after", cancellationGap{refuseLeaderAt: 250 * ms, outageAt: time.Second, mayKnowCancellations: true, holdDirectCommands: true}},
		{"out just before the leader's lease would end", cancellationGap{refuseLeaderAt: -3 * time.Second, outageAt: 2200 * ms}},
		{"out for just less than cancel_s", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, outageBeyondCancel: -500 * ms}},
		{"out for three times cancel_s", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, outageBeyondCancel: 64 * time.Second}},
		{"refused twice", cancellationGap{refuseLeaderAt: -1500 * ms, acceptBrieflyAfter: time.Second, outageAt: time.Second}},
		{"served again just after, and refused", cancellationGap{refuseLeaderAt: -300 * ms, acceptBrieflyAfter: 600 * ms, outageAt: time.Second, mayKnowCancellations: true}},
		{"cut from the other nodes too", cancellationGap{refuseLeaderAt: -400 * ms, outageAt: time.Second, isLeaderPartitioned: true}},
		{"the leader stands still across its lease's end", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: 500 * ms, pauseLeaderAt: 2 * time.Second, pauseLeaderFor: 9 * time.Second}},
		{"the leader stands still, and for longer", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: 500 * ms, pauseLeaderAt: 6 * time.Second, pauseLeaderFor: 25 * time.Second}},
		{"a machine hangs over the confirmation", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, hangAgentAt: -300 * ms, hangAgentFor: 9 * time.Second}},
		{"a machine hangs within its last lease", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, hangAgentAt: 5 * time.Second, hangAgentFor: 10 * time.Second}},
		{"launches under way", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, lastSubmitBefore: 300 * ms, holdDirectCommands: true}},
		{"launches under way, and the leader refused before", cancellationGap{refuseLeaderAt: -900 * ms, outageAt: time.Second, lastSubmitBefore: time.Second}},
		{"the service slow", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: 100 * ms, requestLatency: 400 * ms}},
		{"the service's answers slow", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: 100 * ms, replyLatency: 700 * ms}},
		{"the leader's watch brings nothing", cancellationGap{refuseLeaderAt: 15 * time.Second, outageAt: 16 * time.Second, silenceLeaderWatches: true, mayKnowCancellations: true}},
		{"the leader refused for longer", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: time.Second, refusedAfterOutage: 20 * time.Second}},
		{"out when the old leader's lease ends", cancellationGap{refuseLeaderAt: -2 * time.Second, outageAt: 0, outageAfterLeaseExpiry: true}},
		{"out while the next leader is elected", cancellationGap{refuseLeaderAt: -2 * time.Second, outageAt: 10 * ms, outageAfterLeaseExpiry: true}},
		{"out while the next leader reads", cancellationGap{refuseLeaderAt: -1500 * ms, outageAt: 120 * ms, outageAfterLeaseExpiry: true}},
		{"out as the next leader begins to answer", cancellationGap{refuseLeaderAt: -2 * time.Second, outageAt: 400 * ms, outageAfterLeaseExpiry: true}},
		{"out after the next leader has begun", cancellationGap{refuseLeaderAt: -100 * ms, outageAt: 3 * time.Second, outageAfterLeaseExpiry: true}},
	} {
		for k, d := range deployments {
			if k != i%len(deployments) && !many {
				continue // all deployments only with STORY_SEEDS
			}
			g := c.g
			g.heartbeatS, g.leaseS = d.heartbeatS, d.leaseS
			t.Run(fmt.Sprintf("%s, lease %g s", c.name, g.leaseS), func(t *testing.T) { g.run(t, 1) })
		}
	}
}

// The store's replies to the leader arrive just before the leader gives up on them. The
// cancellations are sent at different times between two renewals. A leader that counted its lease
// from the reply, rather than from when it sent the renewal, would answer workers for too long.
func TestGapCancelledDuringALateRenewalAnswer(t *testing.T) {
	step := 500 * ms
	if _, many := seedCount(); many {
		step = 100 * ms
	}
	for wait := time.Duration(0); wait < 5*time.Second; wait += step {
		t.Run(fmt.Sprint(wait), func(t *testing.T) {
			cancellationGap{heartbeatS: 1.5, leaseS: 12, refuseLeaderAt: -20 * ms, outageAt: time.Second, leaderReplyLatency: 1800 * ms, startDelay: wait}.run(t, 1)
		})
	}
}

// The faults of TestGapCancelledTasksAreGoneInTime at times drawn at random, in steps of 10 ms
// around the times of that test. Cancelled tasks must be gone within the same bound, also at
// moments for which that test has no case.
func TestGapCancelledAtRandomMoments(t *testing.T) {
	seeds := uint64(6)
	if n, many := seedCount(); many {
		seeds = n
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		g := randomGap(rand.New(rand.NewPCG(seed, 31)))
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Logf("%+v", g)
			g.run(t, seed)
		})
	}
}

// randomGap draws the faults of a scenario and their times.
func randomGap(rnd *rand.Rand) cancellationGap {
	within := func(from, to time.Duration) time.Duration {
		return from + time.Duration(rnd.Int64N(int64(to-from)/int64(10*ms)))*10*ms
	}
	d := deployments[rnd.IntN(len(deployments))]
	g := cancellationGap{heartbeatS: d.heartbeatS, leaseS: d.leaseS}
	// The leader keeps its leadership until the outage: its lease of 7 s or 10 s was renewed at
	// most 2 s before it was refused.
	g.refuseLeaderAt, g.outageAt = within(-2500*ms, 300*ms), within(0, 1800*ms)
	g.mayKnowCancellations = g.refuseLeaderAt > -20*ms
	g.outageBeyondCancel = within(-time.Second, 40*time.Second)
	g.isLeaderPartitioned, g.holdDirectCommands = rnd.IntN(4) == 0, rnd.IntN(3) == 0
	if rnd.IntN(4) == 0 {
		g.acceptBrieflyAfter = within(100*ms, 1500*ms)
		g.mayKnowCancellations = true
	}
	if rnd.IntN(3) == 0 {
		g.pauseLeaderAt, g.pauseLeaderFor = within(0, 8*time.Second), within(time.Second, 20*time.Second)
	}
	if rnd.IntN(3) == 0 {
		g.hangAgentAt, g.hangAgentFor = within(-time.Second, 8*time.Second), within(time.Second, 14*time.Second)
	}
	if rnd.IntN(3) == 0 && !g.isLeaderPartitioned {
		// A partitioned node would keep its client waiting until the old leader's lease has
		// expired.
		g.lastSubmitBefore = within(50*ms, 1500*ms)
	}
	if rnd.IntN(4) == 0 && g.refuseLeaderAt < 0 {
		g.outageAfterLeaseExpiry, g.outageAt = true, within(0, 1500*ms)
	}
	if rnd.IntN(3) == 0 {
		g.refusedAfterOutage = within(0, 20*time.Second)
	}
	switch rnd.IntN(5) {
	case 0:
		g.requestLatency = within(50*ms, 300*ms)
	case 1:
		g.replyLatency = within(50*ms, 300*ms)
	}
	return g
}

// Tasks that nobody cancelled may be lost to an outage of the store. None is lost while the old
// leader's lease and then the workers' leases outlast the outage. In a longer outage each of them
// is lost once.
func TestGapCostsOfUncancelledTasks(t *testing.T) {
	outages := []float64{8, 20, 32, 50}
	if _, many := seedCount(); many {
		outages = []float64{4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 50}
	}
	for _, d := range deployments {
		w := config.Workers{HeartbeatS: d.heartbeatS, LeaseS: d.leaseS, CancelS: d.leaseS + 20}
		for _, outageS := range outages {
			t.Run(fmt.Sprintf("lease %g s, out for %g s", d.leaseS, outageS), func(t *testing.T) {
				const refusedBeforeS = 1.1 // from the refusal to the outage
				lost := cancellationGap{heartbeatS: d.heartbeatS, leaseS: d.leaseS, refuseLeaderAt: -100 * ms, outageAt: time.Second,
					outageBeyondCancel: config.Seconds(outageS - w.CancelS)}.run(t, 1)
				t.Logf("%d of %d tasks that nobody cancelled were lost", lost, gapOthers)
				// At worst the leader renewed its lease a fifth of the lease before the refusal,
				// and answered the last heartbeat one longest heartbeat interval before it stopped
				// relying on its lease. After the outage a worker finds the new leader within 3 s.
				if survivableS := 0.8*w.LeaderLeaseS() + w.LeaseS - 1.25*w.HeartbeatS - 3; refusedBeforeS+outageS < survivableS && lost > 0 {
					t.Errorf("%d tasks were lost in an outage that their leases outlast by %.1f s", lost, survivableS-refusedBeforeS-outageS)
				}
				if refusedBeforeS+outageS > w.CancelledGoneWithinS()+1 && lost != gapOthers {
					t.Errorf("%d of %d tasks were lost, want all: their leases had expired", lost, gapOthers)
				}
			})
		}
	}
}
