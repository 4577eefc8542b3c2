package controller_test

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// damaged lists kinds of records in the key-value store to be corrupted, and what is then expected
// of the jobs that were accepted before.
var damaged = []struct {
	name   string
	is     func(key string) bool
	sealed bool // whether head pages are closed before the corruption
	stuck  bool // jobs accepted before need only be answered, not run
	rare   bool // there may be no key of this kind
}{
	{name: "heads", is: jobstore.IsHeadPageKey},
	{name: "sealed pages", is: func(k string) bool { return jobstore.IsJobPageKey(k) && !jobstore.IsHeadPageKey(k) }, sealed: true},
	{name: "all pages of jobs", is: jobstore.IsJobPageKey, sealed: true},
	{name: "jobs", is: func(k string) bool { _, ok := jobstore.ParseJobKey(k); return ok }},
	{name: "the form", is: hasAnyPrefix(jobstore.SchemaKey)},
	{name: "the form and its copy", is: func(k string) bool { return k == jobstore.SchemaKey || k == jobstore.SchemaCopyKey }},
	{name: "the form, heads and pages", is: func(k string) bool { return k == jobstore.SchemaKey || jobstore.IsJobPageKey(k) }},
	{name: "placements", is: hasAnyPrefix("w/p/"), stuck: true},
	{name: "ends", is: hasAnyPrefix("f/")},
	{name: "the leader", is: hasAnyPrefix("ctl/")},
	{name: "the plan", is: hasAnyPrefix("plan/")},
	{name: "notes", is: hasAnyPrefix(jobstore.PlanStatePrefix)},
	{name: "types", is: hasAnyPrefix(jobstore.MachineTypesKey)},
	{name: "rentals, returns and moves", is: hasAnyPrefix(jobstore.ScaleOutPrefix, jobstore.ScaleInKey, jobstore.RebalanceCyclePrefix), rare: true},
}

func hasAnyPrefix(with ...string) func(string) bool {
	return func(k string) bool {
		return slices.ContainsFunc(with, func(w string) bool { return strings.HasPrefix(k, w) })
	}
}

// jobsOfAllKinds returns jobs of all kinds, numbered from the given number on.
func jobsOfAllKinds(from int, seconds float64) (jobs []wire.Job) {
	for n := range 45 {
		jobs = append(jobs, job(from+n, func(j *wire.Job) {
			j.Tasks, j.CPUs, j.EstimateS = 1, 1, seconds
			switch n {
			case 0:
				j.Kind, j.Tasks = wire.KindGang, 3
			case 1:
				j.Tasks, j.Class = 5, "tiles"
			case 2:
				j.Types = []string{"m8", strings.Repeat("x", 5000)} // too large for a page: it gets a key of its own
			}
		}))
	}
	return jobs
}

func submitAll(t *testing.T, w *fake.Cluster, jobs []wire.Job) {
	t.Helper()
	var wg sync.WaitGroup
	for _, j := range jobs {
		wg.Go(func() {
			if !w.Submit(j) {
				t.Errorf("%s was not accepted", j.ID)
			}
		})
	}
	wg.Wait()
}

// submitOpenPages submits jobs at once, so that they share open head pages, and if sealed is set
// has these pages closed and sealed by a few more jobs that come one by one.
//
//nolint:revive // flag-parameter: the variants of the test differ in it
func submitOpenPages(t *testing.T, w *fake.Cluster, jobs []wire.Job, sealed bool) {
	t.Helper()
	submitAll(t, w, jobs)
	if _, shared := countOwnAndSharedRecords(w); shared < 5 {
		t.Fatalf("only %d jobs share pages", shared)
	}
	time.Sleep(9 * time.Second)
	for n := range 20 {
		if sealed {
			mustSubmit(t, w, job(300+n, nil))
		}
	}
}

// Records of each kind are corrupted in turn, overwritten by a string that is no record or by a
// msgpack nil, and then the leader is killed while the other nodes still hold what they have read.
// Jobs submitted before and after are accepted, answered and run; what is final stays so.
func TestServiceContinuesWithAnyDamagedRecord(t *testing.T) {
	for i, c := range damaged {
		if scenario.UnderRace && i%3 > 0 {
			continue
		}
		value := [][]byte{nil, {0xc0}}[i%2]
		t.Run(c.name, func(t *testing.T) {
			var log logBuffer
			runScenario(t, fake.Options{Machines: 6, Capacity: 7, Log: slog.New(slog.NewTextHandler(&log, nil))}, func(t *testing.T, w *fake.Cluster) {
				time.Sleep(5 * time.Second)
				applyPlan(t, w, 0, tierPlan("clinic", "craft")+nightPlan)
				mustSubmit(t, w, job(1, nil), job(2, func(j *wire.Job) { j.EstimateS = 600 }))
				mustReach(t, w, job(1, nil).ID, wire.JobDone, time.Minute)
				w.Cancel(job(2, nil).ID)
				before := jobsOfAllKinds(100, 40)
				submitOpenPages(t, w, before, c.sealed)
				for _, j := range append(before, job(1, nil), job(2, nil)) {
					for n := range w.Nodes() {
						w.PollState(w.NodeAddr(n), j.ID)
					}
				}
				leader, hit := w.Leader(), 0
				for _, key := range w.Store.Keys("") {
					if c.is(key) {
						w.Store.Corrupt(key, value...)
						hit++
					}
				}
				if hit == 0 && !c.rare {
					t.Fatalf("no such key in %v", w.Store.Keys(""))
				}
				w.KillNode(leader)
				time.Sleep(12 * time.Second)
				w.StartNode(leader)
				time.Sleep(2 * time.Second)
				after := jobsOfAllKinds(200, 5)
				submitAll(t, w, after)
				for n := range w.Nodes() {
					for _, j := range slices.Concat(before, after) {
						if w.PollState(w.NodeAddr(n), j.ID) == "" {
							t.Errorf("node %d does not answer for %s", n, j.ID)
						}
					}
				}
				if c.stuck {
					before = nil
				}
				for _, j := range slices.Concat(after, before) {
					mustReach(t, w, j.ID, wire.JobDone, 4*time.Minute)
				}
				mustReach(t, w, job(1, nil).ID, wire.JobDone, 5*time.Second)
				mustReach(t, w, job(2, nil).ID, wire.JobCancelled, 5*time.Second)
				if t.Failed() {
					t.Log(log.String())
				}
			})
		})
	}
}

// No node holds a copy of a corrupted page any more, since all were restarted. The page is
// quarantined, and the service goes on: new jobs are accepted and run, under this leader and the
// next, and no job of the page is answered with 404. Its ids may be submitted again: each runs
// once.
func TestRecordsWithoutACopyAreQuarantined(t *testing.T) {
	for _, c := range damaged[:3] {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 6, Capacity: 7}, func(t *testing.T, w *fake.Cluster) {
				before := jobsOfAllKinds(100, 40)
				submitOpenPages(t, w, before, c.sealed)
				for n := range w.Nodes() {
					w.KillNode(n)
				}
				for _, key := range w.Store.Keys("") {
					if c.is(key) {
						w.Store.Corrupt(key)
					}
				}
				for n := range w.Nodes() {
					w.StartNode(n)
				}
				time.Sleep(10 * time.Second)
				after := jobsOfAllKinds(200, 5)
				submitAll(t, w, after)
				w.KillNode(w.Leader())
				time.Sleep(10 * time.Second)
				for n := range w.Nodes() {
					w.StartNode(n)
				}
				submitAll(t, w, before[10:]) // again, unchanged
				for _, j := range slices.Concat(after, before) {
					for n := range w.Nodes() {
						w.PollState(w.NodeAddr(n), j.ID) // no 404
					}
				}
				for _, j := range after {
					mustReach(t, w, j.ID, wire.JobDone, 4*time.Minute)
				}
			})
		})
	}
}

// Job pages are corrupted again and again, in place and by an overwriting write, while clients
// submit the same ids at all nodes, cancel some of them, and nodes are killed. No id has two
// readable records, no task is done twice, no client gets 404, and in the end what is submitted
// runs.
func TestPagesAreDamagedDuringOtherFaults(t *testing.T) {
	seeds := uint64(4)
	if scenario.UnderRace {
		seeds = 1
	}
	for seed := range seeds {
		runScenario(t, fake.Options{Machines: 6, Capacity: 7, Seed: seed}, func(t *testing.T, w *fake.Cluster) {
			rnd := rand.New(rand.NewPCG(seed, 6))
			w.Store.LimitWrites(25)
			var wg sync.WaitGroup
			var all []wire.Job
			for round := range 6 {
				jobs := jobsOfAllKinds(1000*(round+1), 15)[3 : 30+rnd.IntN(15)]
				all = append(all, jobs...)
				for _, j := range jobs {
					var at [3]time.Duration
					for i := range at {
						at[i] = time.Duration(rnd.IntN(1+400*(round%2))) * time.Millisecond
					}
					cancel, later := rnd.IntN(4) == 0, time.Duration(rnd.IntN(15000))*time.Millisecond
					wg.Go(func() {
						var first sync.WaitGroup
						for i := range at {
							first.Go(func() {
								time.Sleep(at[i])
								w.Submit(j)
							})
						}
						first.Wait()
						time.Sleep(later)
						if cancel {
							w.Cancel(j.ID) // no earlier: the reply to a submission in flight might then look out of date
						}
						w.Submit(j)
					})
				}
				time.Sleep(time.Duration(rnd.IntN(7000)) * time.Millisecond)
				keys := slices.DeleteFunc(w.Store.Keys(jobstore.JobPrefix), func(k string) bool { return !jobstore.IsJobPageKey(k) })
				rnd.Shuffle(len(keys), func(a, b int) { keys[a], keys[b] = keys[b], keys[a] })
				for _, k := range keys[:min(len(keys), 1+rnd.IntN(5))] {
					if rnd.IntN(2) == 0 {
						w.Store.OverwriteUnreadable(k)
					} else {
						w.Store.Corrupt(k)
					}
				}
				var fall []int
				switch n := rnd.IntN(4); {
				case n < 2:
					fall = []int{max(w.Leader(), 0)}
				case n == 2:
					fall = []int{rnd.IntN(3)}
				default:
					fall = []int{0, 1, 2} // no node holds a copy of anything
				}
				for _, n := range fall {
					w.KillNode(n)
				}
				time.Sleep(time.Duration(rnd.IntN(9000)) * time.Millisecond)
				for _, n := range fall {
					w.StartNode(n)
				}
				time.Sleep(time.Duration(rnd.IntN(12000)) * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(30 * time.Second)
			answered := 0
			for _, j := range all {
				at, raw := 0, w.Store.Keys("")
				for _, k := range raw {
					page, err := jobstore.DecodeJobPage(w.Store.Value(k))
					if k == jobstore.JobKey(j.ID) || k == jobstore.FinalKey(j.ID) || jobstore.IsJobPageKey(k) && err == nil &&
						slices.ContainsFunc(page.Entries, func(e jobstore.JobPageEntry) bool { return e.ID == j.ID }) {
						at++
					}
				}
				if at > 1 {
					t.Errorf("seed %d: %s stands in %d places", seed, j.ID, at)
				}
				for n := range w.Nodes() {
					if w.PollState(w.NodeAddr(n), j.ID) != "" {
						answered++
					}
				}
			}
			last := jobsOfAllKinds(20000, 5)
			submitAll(t, w, last)
			for _, j := range last {
				mustReach(t, w, j.ID, wire.JobDone, 4*time.Minute)
			}
			t.Logf("seed %d: %d of %d answered", seed, answered, 3*len(all))
			if w.RanMoreThanOnce() > 0 {
				t.Errorf("seed %d: %d tasks were done twice", seed, w.RanMoreThanOnce())
			}
		})
	}
}
