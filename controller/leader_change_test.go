// Scenarios in which delayed transactions of a leader interact with failovers and other faults.
// Each scenario fails if its faults didn't interact.

package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/election"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// recordLeaderTokens records each version of the leader key, which is the fencing token, until stop
// is called. stop returns the tokens in order and may be called again.
func recordLeaderTokens(w *fake.Cluster) (stop func() []uint64) {
	end, done := make(chan struct{}), make(chan struct{})
	var seen []uint64
	go func() {
		defer close(done)
		for {
			if v := w.Store.Versions(election.LeaderKey)[election.LeaderKey]; v != 0 && !slices.Contains(seen, v) {
				seen = append(seen, v)
			}
			select {
			case <-end:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return sync.OnceValue(func() []uint64 { close(end); <-done; return seen })
}

// awaitLeader waits until a node that satisfies ok holds the leader key, and returns the node's
// index. It fails the test if there is no such node within the time most.
func awaitLeader(t *testing.T, w *fake.Cluster, most time.Duration, ok func(i int) bool) int {
	t.Helper()
	if !scenario.Eventually(most, 20*time.Millisecond, func() bool { l := w.Leader(); return l >= 0 && ok(l) }) {
		t.Fatalf("no expected leader within %v", most)
	}
	return w.Leader()
}

// pageKeys is the common prefix of the keys of placement pages.
var pageKeys = strings.TrimSuffix(jobstore.PlacementPageKey(0), "0")

// anyNode accepts every node in awaitLeader.
func anyNode(int) bool { return true }

// Some of the leader's transactions get no reply and are carried out after its newer ones, while it
// places, preempts, completes and cancels. Older records could then overwrite newer ones. The
// leader is killed, and the next one loads the records. Every job must still end.
func TestOwnTransactionsArriveAfterNewerOnes(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 5, Capacity: 7}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.Store.DropReplies(0.3, 0.15, rnd.Uint64())
		begun := time.Now()
		// Transactions are overtaken at random. Sometimes a minute brings too few.
		enoughOvertaken := func() bool {
			over := w.Store.OvertakenTransactions()
			return over.InTerm >= 4 && over.Older >= 3
		}
		for n := 1; time.Since(begun) < time.Minute || !enoughOvertaken() && time.Since(begun) < 4*time.Minute; n++ {
			j := job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS, j.CheckpointS, j.SaveS = 1+rnd.IntN(4), float64(1+rnd.IntN(4)), float64(3+rnd.IntN(15)), 5, 1
				if rnd.IntN(3) == 0 {
					gang(j)
				}
			})
			mustSubmit(t, w, j)
			time.Sleep(randomDuration(rnd, 0, 2*time.Second))
			if rnd.IntN(4) == 0 {
				w.Cancel(j.ID)
			}
		}
		w.KillNode(w.Leader()) // some transactions are still in flight
		w.Store.DropReplies(0, 0, 0)
		time.Sleep(15 * time.Second)
		sent, carriedOut := w.Store.UnansweredTransactions()
		over := w.Store.OvertakenTransactions()
		if sent != carriedOut || over.InTerm < 4 || over.Older < 3 {
			t.Errorf("faults did not interact: %d transactions without a reply, %d carried out, overtaken: %+v", sent, carriedOut, over)
		}
		t.Logf("%d transactions without a reply, overtaken: %+v", sent, over)
		mustSubmit(t, w, job(900, nil))
		mustFinish(t, w, 2*time.Minute, 900)
		if !scenario.Eventually(4*time.Minute, time.Second, func() bool { return len(w.Store.JobKeys()) == 0 }) {
			t.Errorf("jobs that never ended: %v", w.Store.JobKeys())
		}
	})
}

// The scale-in record lists the machines that are being returned. An older record is carried out
// after a newer one that lists more machines, and the deletion of the machines comes still later.
// The next leader must know all of these machines, since a task placed on one of them would be
// lost.
func TestOlderScaleInRecordArrivesLate(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 2, Capacity: 6}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		all := w.Cloud.Machines()
		// Each job fills its machine. The return of the first machine waits 2 s for the reply to
		// its transaction, and the second job ends within these 2 s.
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 6, 20 }),
			job(2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 6, 21.2 }))
		mustReach(t, w, "wk-000002", wire.JobRunning, 10*time.Second)
		delay := randomDuration(rnd, 4*time.Second, 7*time.Second)
		w.Store.DelayNextTransactionOn(jobstore.ScaleInKey, delay)
		w.Cloud.DelayDeletes(randomDuration(rnd, 35*time.Second, 45*time.Second))
		containsAll := func(names []string) bool { return slices.Contains(names, all[0]) && slices.Contains(names, all[1]) }
		scaleInRecord := func() (rec jobstore.ScaleInRecord) {
			_ = wire.Unmarshal(w.Store.Value(jobstore.ScaleInKey), &rec)
			return rec
		}
		if !scenario.Eventually(2*time.Minute, 50*time.Millisecond, func() bool { return containsAll(scaleInRecord().Machines) }) {
			t.Fatalf("the scale-in record lists %v, want both machines", scaleInRecord().Machines)
		}
		// The failover must come after the first record has been carried out and before the
		// deletion.
		if !scenario.Eventually(10*time.Second, 50*time.Millisecond, func() bool { return w.Store.OvertakenTransactions().Older > 0 }) {
			t.Fatal("faults did not interact: the older scale-in record was not carried out after the newer one")
		}
		if got := w.Cloud.Machines(); !containsAll(got) || w.Cloud.DelayedDeletes() > 0 {
			t.Fatalf("faults did not interact: machines %v remain, %d deletions carried out", got, w.Cloud.DelayedDeletes())
		}
		w.KillNode(w.Leader())
		w.Cloud.DelayDeletes(0)
		w.Cloud.SetOutage(true) // keeps the next leader from returning the machines at once
		mustSubmit(t, w, job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 6, 60 }))
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			for m, n := range w.TasksPerMachine() {
				if slices.Contains(all, m) {
					t.Fatalf("%d tasks on %s, which is being deleted", n, m)
				}
			}
		}
		w.Cloud.SetOutage(false)
		mustFinish(t, w, 3*time.Minute, 3)
		if n := w.Started(); n != 4 {
			t.Errorf("%d starts of 4 tasks", n)
		}
		if w.Cloud.DelayedDeletes() == 0 {
			t.Error("faults did not interact: no deletion was delayed")
		}
	})
}

// The record of a rebalancing cycle gets no reply. The leader writes another in its place and
// begins the moves of that one. Then the older record is carried out. The next leader must not act
// on the older record, and all jobs must complete.
func TestOlderRebalanceRecordArrivesLate(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		// After the cancellation of job 3, zone a has one machine with 5 CPUs in use and one with
		// 2. No machine has the 7 free CPUs that job 5 needs unless a task moves.
		long := func(n, tasks int, cpus float64, zone string) wire.Job {
			return job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.Zone, j.EstimateS, j.CheckpointS, j.SaveS = tasks, cpus, zone, 200, 5, 1
			})
		}
		mustSubmit(t, w, long(1, 2, 8, "b"), long(2, 1, 5, "a"), long(3, 1, 6, "a"))
		time.Sleep(5 * time.Second)
		mustSubmit(t, w, long(4, 1, 2, "a"))
		if !scenario.Eventually(20*time.Second, 100*time.Millisecond, func() bool { return w.Running() == 5 }) {
			t.Fatalf("%d tasks run, want 5", w.Running())
		}
		w.Cancel("wk-000003")
		time.Sleep(5 * time.Second)
		w.Store.DelayNextTransactionOn(jobstore.RebalanceCyclePrefix, randomDuration(rnd, 6*time.Second, 12*time.Second))
		mustSubmit(t, w, job(5, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 7, 10 }))
		if !scenario.Eventually(30*time.Second, 50*time.Millisecond, func() bool { return w.Store.OvertakenTransactions().Older > 0 }) {
			t.Fatalf("faults did not interact: the older rebalancing record was not carried out after the newer one: %+v", w.Store.OvertakenTransactions())
		}
		w.KillNode(w.Leader())
		mustFinish(t, w, 2*time.Minute, 5)
		mustFinish(t, w, 6*time.Minute, 1, 2, 4)
	})
}

// Machines boot before the reply to their rental arrives, and get tasks at once while writes to the
// store are delayed. The leader is killed before it has recorded the machines' names. The next
// leader could take the machines for unknown, and lose or repeat their tasks.
func TestLeaderEndsJustAfterItsMachinesBootedAndGotTasks(t *testing.T) {
	t.Run("up within a second", func(t *testing.T) {
		runLeaderEndsAfterBoots(t, 200*time.Millisecond, time.Second, 4200*time.Millisecond)
	})
	t.Run("up between one second and two", func(t *testing.T) {
		runLeaderEndsAfterBoots(t, time.Second, 2*time.Second, 4600*time.Millisecond)
	})
}

// runLeaderEndsAfterBoots kills the leader after machines have booted and got tasks. A boot takes
// between minBoot and maxBoot. Replies to rentals arrive after minReply at the earliest. minReply
// must be longer where machines boot later, since they get their tasks later.
func runLeaderEndsAfterBoots(t *testing.T, minBoot, maxBoot, minReply time.Duration) {
	t.Helper()
	runSeeded(t, 31, fake.Options{Machines: 0, Capacity: 60}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		bootSeed := rnd.Uint64()
		boots := func(n int) time.Duration {
			return minBoot + time.Duration((bootSeed+uint64(n)*397)%uint64((maxBoot-minBoot)/time.Millisecond))*time.Millisecond
		}
		w.Cloud.SetBootTimes(boots)
		w.Cloud.SetReplyDelay(randomDuration(rnd, minReply, 4800*time.Millisecond))
		w.Store.DropReplies(0, 0.2, rnd.Uint64())
		unrecordedBusy := func() (busy []string) {
			for m := range w.TasksPerMachine() {
				busy = append(busy, m)
			}
			for _, k := range w.Store.Keys(jobstore.ScaleOutPrefix) {
				var rec jobstore.ScaleOutRecord
				_ = wire.Unmarshal(w.Store.Value(k), &rec)
				busy = slices.DeleteFunc(busy, func(m string) bool { return slices.Contains(rec.Machines, m) })
			}
			return busy
		}
		// If the reply to a placement is lost, the reply to the rental may come first, and the
		// faults don't interact. Then another job is submitted, for which two machines are missing.
		jobs, tasks, interacted := 0, 0, false
		for jobs < 15 && !interacted {
			jobs++
			newTasks := max(2, len(w.Cloud.Machines())-tasks+2)
			tasks += newTasks
			// The placement's transaction gets no reply and is carried out only under the next
			// leader. The leader commits the placement again before it launches anything.
			w.Store.DelayNextTransactionOn(pageKeys, randomDuration(rnd, 20*time.Second, 30*time.Second))
			mustSubmit(t, w, job(jobs, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS, j.ImageGB = newTasks, 6, 60, 0.1 }))
			interacted = scenario.Eventually(6*time.Second, 20*time.Millisecond, func() bool { return len(unrecordedBusy()) > 0 && w.Store.PendingTransactions() > 0 })
		}
		if !interacted {
			t.Fatal("faults did not interact: no machine had a task before its name was recorded")
		}
		former := w.Leader()
		w.KillNode(former)
		next := awaitLeader(t, w, 20*time.Second, func(i int) bool { return i != former })
		t.Logf("%v had tasks before they were recorded; leader %d, then %d", unrecordedBusy(), former, next)
		time.Sleep(80 * time.Second)
		w.Store.DropReplies(0, 0, 0)
		if w.Store.OvertakenTransactions().Stale == 0 {
			t.Error("faults did not interact: no placement was carried out under the next leader")
		}
		for n := range jobs {
			mustFinish(t, w, 2*time.Minute, n+1)
		}
		// Each machine has one task. If replies to the next leader are lost too, it may be too late
		// for a lease or two. Only the tasks of these machines may start again.
		if n := w.Started(); n != tasks+w.ExpiredLeases() || maxBoot <= time.Second && w.ExpiredLeases() > 0 {
			t.Errorf("%d starts of %d tasks, %d leases expired", n, tasks, w.ExpiredLeases())
		} else if w.ExpiredLeases() > 0 {
			t.Logf("%d leases expired", w.ExpiredLeases())
		}
		w.Cloud.SetReplyDelay(0)
		if !scenario.Eventually(3*time.Minute, time.Second, func() bool { return len(w.Cloud.Machines()) == 0 }) {
			t.Errorf("unused machines that were not returned: %v", w.Cloud.Machines())
		}
	})
}

// Ten failovers in two minutes with different causes, one of them during an outage of the key-value
// store, while some writes are delayed. A leader that acts on records of several leaders before it
// could lose or repeat tasks.
func TestTenFailoversInTwoMinutes(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 6, Capacity: 8}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		w.Store.DropReplies(0.15, 0.05, rnd.Uint64())
		stop, begun := recordLeaderTokens(w), time.Now()
		defer stop()
		outages := 0
		for n := range 11 {
			awaitLeader(t, w, 20*time.Second, anyNode)
			mustSubmit(t, w, job(n+1, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS = 1+rnd.IntN(4), float64(1+rnd.IntN(5)), float64(10+rnd.IntN(30))
				if n%3 == 0 {
					gang(j)
				}
			}))
			time.Sleep(randomDuration(rnd, 100*time.Millisecond, 3*time.Second))
			l := awaitLeader(t, w, 20*time.Second, anyNode)
			node := fmt.Sprintf("n-%d", l)
			switch n {
			case 1, 7:
				w.Store.RefuseNode(node)
				awaitLeader(t, w, 15*time.Second, func(i int) bool { return i != l })
				// Longer than the workers' leases, which the next leader counts from its failover.
				time.Sleep(randomDuration(rnd, 14*time.Second, 18*time.Second))
				w.Store.AcceptNode(node)
			case 4: // during an outage of the store
				w.Store.SetOutage(true)
				time.Sleep(randomDuration(rnd, 200*time.Millisecond, 2*time.Second))
				w.PowerCycleNode(l, randomDuration(rnd, 0, time.Second))
				time.Sleep(randomDuration(rnd, 200*time.Millisecond, 2*time.Second))
				w.Store.SetOutage(false)
				outages++
			case 6: // paused, and resumed while the next leader leads
				w.PauseNode(l)
				awaitLeader(t, w, 15*time.Second, func(i int) bool { return i != l })
				w.ResumeNode(l)
			case 9: // partitioned from everything, and healed
				w.PartitionNode(l, everything...)
				awaitLeader(t, w, 15*time.Second, func(i int) bool { return i != l })
				w.HealNode(l, everything...)
			default:
				w.PowerCycleNode(l, randomDuration(rnd, 0, 900*time.Millisecond))
			}
		}
		took := time.Since(begun)
		time.Sleep(15 * time.Second) // by then transactions in flight are carried out
		led := stop()
		w.Store.DropReplies(0, 0, 0)
		if len(led) < 11 || took > 2*time.Minute || outages == 0 {
			t.Errorf("too few failovers or too slow: fencing tokens %v within %v", led, took)
		}
		if over := w.Store.OvertakenTransactions(); over.ByNode+over.Stale < 4 {
			t.Errorf("faults did not interact: too few transactions overtaken: %+v", over)
		} else {
			t.Logf("tokens %v within %v, overtaken: %+v", led, took, over)
		}
		mustFinish(t, w, 3*time.Minute, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	})
}

// Requests that grant, renew and revoke leases are delayed across failovers. A lease that its node
// has given up is then renewed or revoked under the next leader. That must not end the next
// leadership or keep a former one.
func TestLateLeaseRenewalsAndReleases(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 4, Capacity: 6}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		stop := recordLeaderTokens(w)
		defer stop()
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 6, 4, 70 }))
		time.Sleep(5 * time.Second)
		w.Store.DelayLeaseRequests(0.25, rnd.Uint64())
		for n := range 6 {
			l := awaitLeader(t, w, 60*time.Second, anyNode)
			mustSubmit(t, w, job(n+2, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 1, 10 }))
			time.Sleep(randomDuration(rnd, 0, 8*time.Second))
			if n%2 == 0 {
				w.PowerCycleNode(l, randomDuration(rnd, 0, 900*time.Millisecond))
			} else {
				w.Store.RefuseNode(fmt.Sprintf("n-%d", l))
				time.Sleep(randomDuration(rnd, 2*time.Second, 20*time.Second))
				w.Store.AcceptNode(fmt.Sprintf("n-%d", l))
			}
		}
		w.Store.DelayLeaseRequests(0, 0)
		time.Sleep(13 * time.Second)
		led := stop()
		if late, past := w.Store.DelayedLeaseRequests(); len(led) < 4 || late < 5 || past == 0 {
			t.Errorf("fencing tokens %v, %d requests late, %d of them under another leader", led, late, past)
		} else {
			t.Logf("fencing tokens %v, %d requests late, %d of them under another leader", led, late, past)
		}
		mustFinish(t, w, 4*time.Minute, 1, 2, 3, 4, 5, 6, 7)
	})
}

// The leadership passes to another node and back. Then all nodes are killed, and one returns within
// 1.5 s. Each leader leaves a placement transaction in flight. It is carried out as soon as the
// next leadership has begun, before the next leader has changed anything. The transaction must not
// place tasks.
func TestFailoverAndBackWhileANodeReturns(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 4, Capacity: 6}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		stop := recordLeaderTokens(w)
		defer stop()
		fillMachines(t, w, 4)
		first := awaitLeader(t, w, 10*time.Second, anyNode)
		var deliveries sync.WaitGroup
		defer deliveries.Wait()
		leavePlacementInFlight := func(n int) {
			before := w.Store.DelayedTransactions() // an earlier transaction may be carried out meanwhile
			currentToken := func() uint64 { return w.Store.Versions(election.LeaderKey)[election.LeaderKey] }
			from, deliver := currentToken(), w.Store.HoldNextTransactionOn(pageKeys)
			deliveries.Go(func() {
				scenario.Eventually(time.Minute, 2*time.Millisecond, func() bool { v := currentToken(); return v != 0 && v != from })
				deliver()
			})
			mustSubmit(t, w, job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 1, 10 }))
			if !scenario.Eventually(15*time.Second, 5*time.Millisecond, func() bool { return w.Store.DelayedTransactions() > before }) {
				t.Fatal("no placement transaction is in flight")
			}
			time.Sleep(randomDuration(rnd, 0, 400*time.Millisecond))
		}
		leavePlacementInFlight(1)
		// A node that is back within a second revokes the lease of its earlier process and may be
		// elected again.
		passLeadership := func(from int) int {
			for range 20 {
				w.PowerCycleNode(from, randomDuration(rnd, 0, 900*time.Millisecond))
				time.Sleep(randomDuration(rnd, 100*time.Millisecond, 2*time.Second))
				if l := awaitLeader(t, w, 15*time.Second, anyNode); l != from {
					return l
				}
			}
			t.Fatalf("node %d was elected again 20 times", from)
			return -1
		}
		second := passLeadership(first)
		w.KillNode(3 - first - second) // so that the leadership goes back to the first
		leavePlacementInFlight(2)
		if got := passLeadership(second); got != first {
			t.Fatalf("node %d leads, want node %d after node %d", got, first, second)
		}
		leavePlacementInFlight(3)
		w.KillAll()
		time.Sleep(randomDuration(rnd, 0, 1500*time.Millisecond))
		last := rnd.IntN(3)
		w.StartNode(last)
		awaitLeader(t, w, 15*time.Second, func(i int) bool { return i == last })
		time.Sleep(25 * time.Second)
		if n := w.Store.OvertakenTransactions().Stale; n != 3 {
			t.Errorf("faults did not interact: %d of 3 placements were carried out under another leader", n)
		}
		if led := stop(); len(led) < 4 {
			t.Errorf("fencing tokens %v, want at least 4", led)
		} else {
			t.Logf("nodes %d, %d, %d, %d led under fencing tokens %v", first, second, first, last, led)
		}
		mustFinish(t, w, 2*time.Minute, 1, 2, 3)
		if n := w.Running(); n != 4 {
			t.Errorf("%d long tasks run, want 4", n)
		}
		w.StartAll()
	})
}

// The transaction of an election gets no reply, and the release of its lease is refused. The
// transaction is carried out after its node has given that lease up. The leader key is then bound
// to a lease that no node renews. The node must not wait until that lease expires.
func TestLateElection(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 2}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
		mustReach(t, w, "wk-000001", wire.JobRunning, 10*time.Second)
		for i := range 3 {
			if i != w.Leader() {
				w.KillNode(i)
			}
		}
		l := w.Leader()
		node := fmt.Sprintf("n-%d", l)
		w.Store.DelayNextTransactionOn(election.LeaderKey, randomDuration(rnd, 3*time.Second, 6*time.Second))
		w.PowerCycleNode(l, 100*time.Millisecond)
		if !scenario.Eventually(15*time.Second, 10*time.Millisecond, func() bool { return w.Store.PendingTransactions() > 0 }) {
			t.Fatal("no election transaction is in flight")
		}
		time.Sleep(1900 * time.Millisecond)
		w.Store.RefuseNode(node)
		came := scenario.Eventually(6*time.Second, 10*time.Millisecond, func() bool { return w.Store.PendingTransactions() == 0 })
		found := w.Leader()
		w.Store.AcceptNode(node)
		if !came || found != l {
			t.Fatalf("the late election was carried out: %v, leader %d", came, found)
		}
		stale := w.Store.Versions(election.LeaderKey)[election.LeaderKey]
		if !scenario.Eventually(3*time.Second, 10*time.Millisecond, func() bool {
			v := w.Store.Versions(election.LeaderKey)[election.LeaderKey]
			return v != 0 && v != stale
		}) {
			t.Error("the node waits for its own former lease to expire")
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
		if n := w.Started(); n != 2 || w.ExpiredLeases() > 0 {
			t.Errorf("%d starts of 2 tasks, %d leases expired", n, w.ExpiredLeases())
		}
	})
}

// All controllers are down for longer than the workers' leases, so that the workers begin new agent
// epochs without tasks. A placement transaction from before is carried out when controllers are
// back. The tasks must run again, once.
func TestAllNodesAreDownForLongerThanALease(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 4, Capacity: 6}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		lease := time.Duration(w.Settings.Cluster.Workers.LeaseS * float64(time.Second))
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 4, 4, 40 }),
			job(2, func(j *wire.Job) { gang(j); j.Tasks, j.CPUs, j.EstimateS = 3, 3, 40 }))
		if !scenario.Eventually(20*time.Second, 100*time.Millisecond, func() bool { return w.Running() == 7 }) {
			t.Fatalf("%d tasks run, want 7", w.Running())
		}
		before := w.Store.Versions(election.LeaderKey)[election.LeaderKey]
		downtime := lease + randomDuration(rnd, time.Second, 10*time.Second)
		w.Store.DelayNextTransactionOn(pageKeys, downtime+randomDuration(rnd, 0, 5*time.Second))
		mustSubmit(t, w, job(3, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 2, 1, 10 }))
		if !scenario.Eventually(5*time.Second, 5*time.Millisecond, func() bool { return w.Store.PendingTransactions() > 0 }) {
			t.Fatal("no placement transaction is in flight")
		}
		w.KillAll()
		time.Sleep(downtime)
		if n := w.Running(); n > 0 || w.ExpiredLeases() != 4 {
			t.Errorf("%d tasks run, want 0; %d leases expired, want 4", n, w.ExpiredLeases())
		}
		if rnd.IntN(2) == 0 {
			w.StartAll()
		} else {
			w.StartNode(rnd.IntN(3))
		}
		awaitLeader(t, w, 10*time.Second, anyNode)
		if !scenario.Eventually(6*time.Second, 10*time.Millisecond, func() bool { return w.Store.PendingTransactions() == 0 }) {
			t.Error("the placement transaction was not carried out")
		}
		if v := w.Store.Versions(election.LeaderKey)[election.LeaderKey]; v <= before || w.Store.OvertakenTransactions().Stale != 1 {
			t.Errorf("fencing token %d after %d, overtaken transactions %+v, want one stale", v, before, w.Store.OvertakenTransactions())
		}
		mustFinish(t, w, 3*time.Minute, 1, 2, 3)
		w.StartAll()
	})
}

// There is more work than room, of high, normal and low priority, over a slow connection to the
// key-value store. Tasks are preempted to make room while the leader changes. If preemptions were
// lost, jobs of high priority would wait.
func TestOverloadOverSlowLinks(t *testing.T) {
	runSeeded(t, 31, fake.Options{Machines: 4, Capacity: 4}, func(t *testing.T, w *fake.Cluster, rnd *rand.Rand) {
		t.Helper()
		stop := recordLeaderTokens(w)
		defer stop()
		mustSubmit(t, w, job(1, func(j *wire.Job) {
			j.Tasks, j.CPUs, j.EstimateS, j.Priority, j.CheckpointS, j.SaveS = 12, 4, 40, wire.PriorityLow, 5, 1
		}))
		if !scenario.Eventually(30*time.Second, 100*time.Millisecond, func() bool { return w.Running() == 8 }) {
			t.Fatalf("%d tasks run, want 8", w.Running())
		}
		w.Store.SetLatency(randomDuration(rnd, 300*time.Millisecond, 1200*time.Millisecond))
		w.Store.DropReplies(0.1, 0.1, rnd.Uint64())
		for n := 2; n <= 7; n++ {
			mustSubmit(t, w, job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS = 2+rnd.IntN(2), 4, float64(10+rnd.IntN(10))
				j.Priority = []string{wire.PriorityHigh, wire.PriorityNormal}[n%2]
				if n%3 == 0 {
					gang(j)
				}
			}))
			time.Sleep(randomDuration(rnd, 200*time.Millisecond, 2*time.Second))
			if n == 3 || n == 5 {
				w.PowerCycleNode(awaitLeader(t, w, 20*time.Second, anyNode), randomDuration(rnd, 0, 900*time.Millisecond))
			}
		}
		time.Sleep(20 * time.Second)
		w.Store.DropReplies(0, 0, 0)
		w.Store.SetLatency(0)
		for n := 2; n <= 6; n += 2 {
			mustFinish(t, w, 2*time.Minute, n)
		}
		if w.FinishedTasks("wk-000001") == 12 {
			t.Error("the job of low priority was done before the others")
		}
		mustFinish(t, w, 6*time.Minute, 1, 3, 5, 7)
		if led := stop(); len(led) < 3 {
			t.Errorf("fencing tokens %v, want at least 3", led)
		}
		saved := 0
		for i := range 12 {
			if w.CheckpointedProgress(fmt.Sprintf("wk-000001/%d", i)) > 0 {
				saved++
			}
		}
		if saved == 0 {
			t.Error("no task of low priority was preempted")
		}
		t.Logf("%d tasks preempted, overtaken: %+v", saved, w.Store.OvertakenTransactions())
	})
}

// The key-value store keeps its newest changes only. After many of them under one leader, each follower's
// watch of the leader key was refused with status 410 at once, and repeated about three times a second. One
// refusal for each watch is allowed, and followers must still notice the next change of the leader.
func TestFollowersWatchALeaderKeyOlderThanTheStoresChanges(t *testing.T) {
	const watchBlock, watched = 10 * time.Second, time.Minute
	runScenario(t, fake.Options{Machines: 1}, func(t *testing.T, w *fake.Cluster) {
		time.Sleep(2 * watchBlock) // the other watches continue from the current revision
		w.Store.Compact()
		before := w.Store.GoneWatches()
		time.Sleep(watched)
		const followers = 2
		if n := w.Store.GoneWatches() - before; n > followers*int(watched/watchBlock+1) {
			t.Errorf("%d watches were refused in %v, want at most one of each follower every %v", n, watched, watchBlock)
		}
		w.KillNode(w.Leader())
		mustSubmit(t, w, job(1, nil))
		mustReach(t, w, "wk-000001", wire.JobDone, 90*time.Second)
	})
}
