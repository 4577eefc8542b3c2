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

// Scenarios of the cancellation gap: the key-value store refuses only the leader, another node
// confirms cancellations, and then the store is out for everybody for longer than cancel_s, while
// workers go on sending heartbeats to the leader that has not learnt of the cancellations.

// cancellationGap describes one interaction of these faults.
type cancellationGap struct {
	// Heartbeat interval and lease of the workers in seconds. cancel_s is 20 s above the lease.
	heartbeatS, leaseS float64

	// When the store begins to refuse the leader, relative to the cancellations.
	refuseLeaderAt time.Duration
	// If set, the store accepts the leader for 300 ms this long after the refusal began, then refuses it
	// again.
	acceptBrieflyAfter time.Duration
	// When the store's outage begins, counted from the last confirmation. With outageAfterLeaseExpiry it
	// is counted from when the old leader's key is gone.
	outageAt time.Duration
	// By how much the outage exceeds cancel_s. Negative if it is shorter.
	outageBeyondCancel time.Duration
	// The leader is partitioned from the store and the other nodes, instead of refused by the store.
	isLeaderPartitioned bool

	pauseLeaderAt, pauseLeaderFor time.Duration // when the leader's process is paused, from the last confirmation, and for how long
	hangAgentAt, hangAgentFor     time.Duration // when a machine's agent hangs, from the cancellations, and for how long
	// How long before the cancellations one more job is submitted, whose launches may be in flight. 0: none.
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
// checkpoint, and with late set one whose launches may be in flight.
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

// run runs the scenario; others is how many tasks were lost (and started again) that nobody had
// cancelled.
func (g cancellationGap) run(t *testing.T, seed uint64) (others int) {
	t.Helper()
	o := fake.Options{Machines: 4, Capacity: 4, Seed: seed, HeartbeatIntervalS: g.heartbeatS, LeaseS: g.leaseS}
	runScenario(t, o, func(t *testing.T, w *fake.Cluster) {
		times := w.Settings.Cluster.Workers
		cancelS := time.Duration(times.CancelS * float64(time.Second))
		jobs := jobsForGap(g)
		mustSubmit(t, w, jobs[0], jobs[1],
			job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = gapOthers, 3, 3600 }))
		running := jobs[0].Tasks + jobs[1].Tasks + gapOthers
		if !scenario.Eventually(40*time.Second, 500*time.Millisecond, func() bool { return w.Running() == running }) {
			t.Fatalf("%d of %d tasks run", w.Running(), running)
		}
		time.Sleep(3 * time.Second)
		l := w.Leader()
		other, name := (l+1)%3, fmt.Sprintf("n-%d", l)
		key := bytes.Clone(w.Store.Value("ctl/leader"))
		if _, kept := w.HeartbeatsAnswered(l, time.Now().Add(-2*time.Duration(times.HeartbeatS*float64(time.Second)))); kept != 4 {
			t.Fatalf("%d of 4 machines report to the leader", kept)
		}
		started := w.Started()
		w.Store.SetLatency(g.requestLatency)
		w.Store.DelayReplies(g.replyLatency)
		w.Store.DelayRepliesTo(name, g.leaderReplyLatency)
		if g.silenceLeaderWatches {
			w.Store.SilenceWatches(name)
		}
		if g.requestLatency+g.replyLatency+g.leaderReplyLatency > 0 {
			time.Sleep(5 * time.Second)
		}
		hung := w.MachinesRunning(wire.TaskName(jobs[0].ID, 0))[0]
		if g.holdDirectCommands {
			for _, m := range w.Cloud.Machines() {
				w.HoldDirectCommands(m)
			}
		}
		refuse, accept := func() { w.Store.RefuseNode(name) }, func() { w.Store.AcceptNode(name) }
		if g.isLeaderPartitioned {
			refuse, accept = func() { w.IsolateToWorkers(l) }, func() { w.HealNodeIsolation(l) }
		}
		var wg sync.WaitGroup
		asked := time.Now().Add(6*time.Second + g.startDelay) // when the jobs are cancelled
		at := func(when time.Duration, do func()) {
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Until(asked.Add(when)))
				do()
			}()
		}
		if g.lastSubmitBefore > 0 {
			at(-g.lastSubmitBefore, func() {
				for !w.Submit(jobs[2]) {
				}
			})
		}
		refused := asked.Add(g.refuseLeaderAt)
		at(g.refuseLeaderAt, refuse)
		if g.acceptBrieflyAfter > 0 {
			at(g.refuseLeaderAt+g.acceptBrieflyAfter, accept)
			at(g.refuseLeaderAt+g.acceptBrieflyAfter+300*time.Millisecond, refuse)
		}
		if g.hangAgentFor > 0 {
			at(g.hangAgentAt, func() { w.HangMachine(hung) })
			at(g.hangAgentAt+g.hangAgentFor, func() { w.ResumeMachine(hung) })
		}
		time.Sleep(time.Until(asked))
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
		// From here on the scenario measures for itself: the checker's clock begins anew with each
		// violation.
		confirmed, last := map[string]time.Time{}, map[string]time.Time{}
		var latest time.Time
		for _, j := range jobs {
			c := w.CancelConfirmedAt(j.ID)
			if c.IsZero() {
				t.Fatalf("no other node cancels %s", j.ID)
			}
			committed := w.Store.CreatedAt(jobstore.FinalKey(j.ID))
			if committed.IsZero() || committed.After(c) {
				t.Fatalf("%s was confirmed at %v and committed at %v", j.ID, c, committed)
			}
			if !g.mayKnowCancellations && committed.Before(refused) {
				t.Errorf("no meeting: %s was cancelled %v before the leader was refused", j.ID, refused.Sub(committed))
			}
			confirmed[j.ID] = c
			if c.After(latest) {
				latest = c
			}
		}
		if !bytes.Equal(w.Store.Value("ctl/leader"), key) {
			t.Error("no meeting: the leader was another one when the jobs were cancelled")
		}
		if g.outageAfterLeaseExpiry && !scenario.Eventually(15*time.Second, 5*time.Millisecond, func() bool { return !bytes.Equal(w.Store.Value("ctl/leader"), key) }) {
			t.Fatal("no meeting: the refused leader's key stays")
		}
		whole := time.Since(latest) + g.outageAt // from the last confirmation to the start of the outage
		if !g.outageAfterLeaseExpiry {
			whole = g.outageAt
		}
		// Clients poll all nodes, the old leader as well; the checker verifies the answers.
		end := latest.Add(whole + cancelS + g.outageBeyondCancel)
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
			at(latest.Add(g.pauseLeaderAt).Sub(asked), func() { w.PauseNode(l) })
			at(latest.Add(g.pauseLeaderAt+g.pauseLeaderFor).Sub(asked), func() { w.ResumeNode(l) })
		}
		var out, back time.Time
		var led []byte
		at(latest.Add(whole).Sub(asked), func() {
			w.Store.SetOutage(true)
			out, led = time.Now(), bytes.Clone(w.Store.Value("ctl/leader"))
		})
		at(end.Sub(asked), func() {
			back = time.Now()
			w.Store.SetLatency(0)
			w.Store.DelayReplies(0)
			w.Store.DelayRepliesTo(name, 0)
			w.Store.ResumeWatches(name)
			w.Store.SetOutage(false)
		})
		at(end.Add(g.refusedAfterOutage).Sub(asked), accept)
		for time.Now().Before(end) || time.Since(latest) < cancelS {
			recordLastRunning(w, jobs, last)
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		if g.outageAfterLeaseExpiry == bytes.Equal(led, key) {
			t.Error("no meeting: in the outage the leader's key is not as it should be")
		}
		if g.outageBeyondCancel >= 0 && back.Sub(out) < cancelS {
			t.Errorf("no meeting: the outage lasted %v", back.Sub(out))
		}
		answered, kept := w.HeartbeatsAnswered(l, latest)
		if answered == 0 {
			t.Error("no meeting: no worker reported to the old leader after the confirmations")
		}
		// The leader's lease was renewed at most a fifth of its length before the refusal, so the
		// leader is sure of it for at least half of its length more, unless latency or a pause is
		// injected.
		half := time.Duration(times.LeaderLeaseS() / 2 * float64(time.Second))
		if g.requestLatency+g.replyLatency+g.leaderReplyLatency+g.pauseLeaderFor == 0 && latest.Sub(refused)+time.Duration(1.25*times.HeartbeatS*float64(time.Second)) < half && kept == 0 {
			t.Error("no meeting: the old leader answered no worker after the confirmations")
		}
		most := time.Duration(0)
		for _, j := range jobs {
			if last[j.ID].IsZero() {
				if !g.mayKnowCancellations && j.ID != "wk-000004" {
					t.Errorf("no meeting: no task of %s was on a machine when it was confirmed", j.ID)
				}
				continue
			}
			took := last[j.ID].Sub(confirmed[j.ID])
			most = max(most, took)
			if !g.mayKnowCancellations && !g.outageAfterLeaseExpiry && took < 2*time.Second {
				t.Errorf("no meeting: all tasks of %s were gone %v after it was confirmed: the leader has learnt of it", j.ID, took)
			}
			if took > time.Duration(times.CancelledGoneWithinS()*float64(time.Second)) {
				t.Errorf("%s was on a machine %v after it was confirmed cancelled: more than %.2f s (cancel_s is %g)",
					j.ID, took, times.CancelledGoneWithinS(), times.CancelS)
			}
		}
		t.Logf("the last cancelled task was there for %.2f s of %.2f s (cancel_s %g); the old leader answered %d machines, %d of them with 200; %d leases ended",
			most.Seconds(), times.CancelledGoneWithinS(), times.CancelS, answered, kept, w.ExpiredLeases())
		for _, m := range w.Cloud.Machines() {
			w.DeliverHeldCommands(m)
		}
		mustSubmit(t, w, job(5, nil))
		mustReach(t, w, "wk-000005", wire.JobDone, 2*time.Minute)
		if !scenario.Eventually(time.Minute, time.Second, func() bool { return w.Running() == gapOthers }) {
			t.Errorf("%d of the %d tasks run that nobody cancelled", w.Running(), gapOthers)
		}
		for _, j := range jobs {
			mustReach(t, w, j.ID, wire.JobCancelled, 10*time.Second)
		}
		others = w.Started() - started - 2
		if g.lastSubmitBefore > 0 {
			others -= jobs[2].Tasks // each of them started at most once
		}
		if others > gapOthers {
			t.Errorf("%d starts of %d tasks that nobody cancelled: each starts again once at most", others, gapOthers)
		}
	})
	return others
}

const ms = time.Millisecond

// deployments are the heartbeat intervals and leases of the users' sites.
var deployments = []struct{ heartbeatS, leaseS float64 }{{1.5, 12}, {4, 22}, {5, 27}}

// The moments at which the faults' order matters, one case each. Cancelled tasks must be gone
// within the bound that follows from the workers' settings.
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

// The store's replies to the leader are nearly as late as the leader waits for them, and the
// cancellation falls anywhere between two renewals: the time for which the leader is sure of its
// lease counts from when it sent the renewal, not from the reply.
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

// The same interactions with times drawn at random, in steps of 10 ms around each of these moments.
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

// How many tasks that nobody cancelled are lost to the same outage: none while the old leader's
// lease and then the workers' leases outlast it; if the outage is longer, each of them, once.
func TestGapCostsOfUncancelledTasks(t *testing.T) {
	outages := []float64{8, 20, 32, 50}
	if _, many := seedCount(); many {
		outages = []float64{4, 8, 12, 16, 20, 24, 28, 32, 36, 40, 50}
	}
	for _, d := range deployments {
		w := config.Workers{HeartbeatS: d.heartbeatS, LeaseS: d.leaseS, CancelS: d.leaseS + 20}
		for _, out := range outages {
			t.Run(fmt.Sprintf("lease %g s, out for %g s", d.leaseS, out), func(t *testing.T) {
				const before = 1.1 // seconds from the refusal to the outage
				ended := cancellationGap{heartbeatS: d.heartbeatS, leaseS: d.leaseS, refuseLeaderAt: -100 * ms, outageAt: time.Second,
					outageBeyondCancel: config.Seconds(out - w.CancelS)}.run(t, 1)
				t.Logf("%d of %d tasks that nobody cancelled ended", ended, gapOthers)
				// At worst the last renewal came a fifth of the leader's lease before the refusal,
				// and the last heartbeat that the leader answered one longest heartbeat interval
				// before it became unsure of its lease; after the outage a worker finds the new
				// leader within 3 s.
				if survive := 0.8*w.LeaderLeaseS() + w.LeaseS - 1.25*w.HeartbeatS - 3; before+out < survive && ended > 0 {
					t.Errorf("%d tasks ended in an outage that their leases outlast by %.1f s", ended, survive-before-out)
				}
				if before+out > w.CancelledGoneWithinS()+1 && ended != gapOthers {
					t.Errorf("%d of %d tasks ended: all of their leases were over", ended, gapOthers)
				}
			})
		}
	}
}
