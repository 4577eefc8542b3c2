// Scenarios in which stored records are corrupted. Nodes must repair them from copies or quarantine
// the jobs that depend on them.

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

// damagedRecords lists the kinds of records in the key-value store that are corrupted, and what is
// expected then. In the names, "the form" is the schema record, "heads" are job pages that are
// still open, "ends" are final records, and "notes" are the state of the parts of the plan.
var damagedRecords = []struct {
	name       string
	matches    func(key string) bool
	sealHeads  bool // head pages are closed and sealed before the corruption
	answerOnly bool // jobs accepted before the corruption must be answered, but need not run
	optional   bool // there may be no key of this kind
}{
	{name: "heads", matches: jobstore.IsHeadPageKey},
	{name: "sealed pages", matches: func(k string) bool { return jobstore.IsJobPageKey(k) && !jobstore.IsHeadPageKey(k) }, sealHeads: true},
	{name: "all pages of jobs", matches: jobstore.IsJobPageKey, sealHeads: true},
	{name: "jobs", matches: func(k string) bool { _, ok := jobstore.ParseJobKey(k); return ok }},
	{name: "the form", matches: hasAnyPrefix(jobstore.SchemaKey)},
	{name: "the form and its copy", matches: func(k string) bool { return k == jobstore.SchemaKey || k == jobstore.SchemaCopyKey }},
	{name: "the form, heads and pages", matches: func(k string) bool { return k == jobstore.SchemaKey || jobstore.IsJobPageKey(k) }},
	{name: "placements", matches: hasAnyPrefix("w/p/"), answerOnly: true},
	{name: "ends", matches: hasAnyPrefix("f/")},
	{name: "the leader", matches: hasAnyPrefix("ctl/")},
	{name: "the plan", matches: hasAnyPrefix("plan/")},
	{name: "notes", matches: hasAnyPrefix(jobstore.PlanStatePrefix)},
	{name: "types", matches: hasAnyPrefix(jobstore.MachineTypesKey)},
	{name: "rentals, returns and moves", matches: hasAnyPrefix(jobstore.ScaleOutPrefix, jobstore.ScaleInKey, jobstore.RebalanceCyclePrefix), optional: true},
}

// hasAnyPrefix returns a function that reports whether a key has one of the prefixes.
func hasAnyPrefix(prefixes ...string) func(string) bool {
	return func(key string) bool {
		return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	}
}

// jobsOfAllKinds returns 45 jobs, numbered from the given number on, whose tasks take that many
// seconds. The first is a gang, the second an array of five tasks, the third too large for a page.
// The others have one task each.
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
				j.Types = []string{"m8", strings.Repeat("x", 5000)} // too large for a page, so that the job gets a key of its own
			}
		}))
	}
	return jobs
}

// submitAll submits jobs concurrently. All of them must be accepted.
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

// submitOpenPages submits jobs at once, so that they share open head pages. With seal set it then
// submits 20 more jobs one by one, which closes and seals these pages.
//
//nolint:revive // flag-parameter: the variants of the test differ in it
func submitOpenPages(t *testing.T, w *fake.Cluster, jobs []wire.Job, seal bool) {
	t.Helper()
	submitAll(t, w, jobs)
	if _, shared := countOwnAndSharedRecords(w); shared < 5 {
		t.Fatalf("only %d jobs share pages", shared)
	}
	time.Sleep(9 * time.Second)
	for n := range 20 {
		if seal {
			mustSubmit(t, w, job(300+n, nil))
		}
	}
}

// Records of each kind are corrupted in turn, by a string that is no record or by a msgpack nil.
// Then the leader is killed, while the other nodes still hold copies of what they have read. A next
// leader that can't read a record could lose jobs or stop the service. Jobs submitted before and
// after must be accepted, answered and run, and final states must stay.
func TestServiceContinuesWithAnyDamagedRecord(t *testing.T) {
	for i, c := range damagedRecords {
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
				submitOpenPages(t, w, before, c.sealHeads)
				for _, j := range append(before, job(1, nil), job(2, nil)) {
					for n := range w.Nodes() {
						w.PollState(w.NodeAddr(n), j.ID)
					}
				}
				leader, corrupted := w.Leader(), 0
				for _, key := range w.Store.Keys("") {
					if c.matches(key) {
						w.Store.Corrupt(key, value...)
						corrupted++
					}
				}
				if corrupted == 0 && !c.optional {
					t.Fatalf("no record of this kind among the keys %v", w.Store.Keys(""))
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
				if c.answerOnly {
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

// A page is corrupted and no node holds a copy of it, since all were restarted. The page must be
// quarantined. New jobs must be accepted and run, under this leader and the next. No job of the
// page may be answered with 404. Its ids may be submitted again, and each runs once.
func TestRecordsWithoutACopyAreQuarantined(t *testing.T) {
	for _, c := range damagedRecords[:3] {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 6, Capacity: 7}, func(t *testing.T, w *fake.Cluster) {
				before := jobsOfAllKinds(100, 40)
				submitOpenPages(t, w, before, c.sealHeads)
				for n := range w.Nodes() {
					w.KillNode(n)
				}
				for _, key := range w.Store.Keys("") {
					if c.matches(key) {
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
				submitAll(t, w, before[10:]) // the same jobs again
				for _, j := range slices.Concat(after, before) {
					for n := range w.Nodes() {
						w.PollState(w.NodeAddr(n), j.ID) // the checker reports a 404
					}
				}
				for _, j := range after {
					mustReach(t, w, j.ID, wire.JobDone, 4*time.Minute)
				}
			})
		})
	}
}

// Job pages are corrupted repeatedly, in place or by an overwriting write, while clients submit the
// same ids at all nodes, cancel some of them, and nodes are killed. Repairs could race with
// submissions and record a job twice. No id may have two readable records, no task may be done
// twice, no client may get 404, and jobs submitted at the end must run.
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
			var submitted []wire.Job
			for round := range 6 {
				jobs := jobsOfAllKinds(1000*(round+1), 15)[3 : 30+rnd.IntN(15)]
				submitted = append(submitted, jobs...)
				for _, j := range jobs {
					var at [3]time.Duration
					for i := range at {
						at[i] = time.Duration(rnd.IntN(1+400*(round%2))) * time.Millisecond
					}
					cancel, pause := rnd.IntN(4) == 0, time.Duration(rnd.IntN(15000))*time.Millisecond
					wg.Go(func() {
						var submissions sync.WaitGroup
						for i := range at {
							submissions.Go(func() {
								time.Sleep(at[i])
								w.Submit(j)
							})
						}
						submissions.Wait()
						time.Sleep(pause)
						if cancel {
							w.Cancel(j.ID) // the submissions have ended: a late reply to one would look outdated to the checker
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
				var killed []int
				switch n := rnd.IntN(4); {
				case n < 2:
					killed = []int{max(w.Leader(), 0)}
				case n == 2:
					killed = []int{rnd.IntN(3)}
				default:
					killed = []int{0, 1, 2} // so that no node holds a copy of any record
				}
				for _, n := range killed {
					w.KillNode(n)
				}
				time.Sleep(time.Duration(rnd.IntN(9000)) * time.Millisecond)
				for _, n := range killed {
					w.StartNode(n)
				}
				time.Sleep(time.Duration(rnd.IntN(12000)) * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(30 * time.Second)
			answered := 0
			for _, j := range submitted {
				at, raw := 0, w.Store.Keys("")
				for _, k := range raw {
					page, err := jobstore.DecodeJobPage(w.Store.Value(k))
					if k == jobstore.JobKey(j.ID) || k == jobstore.FinalKey(j.ID) || jobstore.IsJobPageKey(k) && err == nil &&
						slices.ContainsFunc(page.Entries, func(e jobstore.JobPageEntry) bool { return e.ID == j.ID }) {
						at++
					}
				}
				if at > 1 {
					t.Errorf("seed %d: %s has %d records", seed, j.ID, at)
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
			t.Logf("seed %d: %d of %d queries answered", seed, answered, 3*len(submitted))
			if w.RanMoreThanOnce() > 0 {
				t.Errorf("seed %d: %d tasks were done twice", seed, w.RanMoreThanOnce())
			}
		})
	}
}
