// Scenarios in which clients poll the states of their jobs: under overload, after records were
// corrupted, and while the schema version changes.

package controller_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// pollStats collects the results of many clients' polls.
type pollStats struct {
	mu         sync.Mutex    // guards the fields below
	longestGap time.Duration // longest time that any job was without an answer
	gapJobID   string        // id of that job
	refused    int           // polls without an answer
	polls      int
}

// poll queries each job about every 5 s, for the given time, at any node.
func (stats *pollStats) poll(w *fake.Cluster, jobs []wire.Job, during time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(during)
	for i, j := range jobs {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 11))
			answered := time.Now()
			time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
			for {
				ok := w.PollState(w.AnyNodeAddr(), j.ID) != ""
				stats.mu.Lock()
				stats.polls++
				if !ok {
					stats.refused++
				}
				if gap := time.Since(answered); gap > stats.longestGap {
					stats.longestGap, stats.gapJobID = gap, j.ID
				}
				stats.mu.Unlock()
				if ok {
					answered = time.Now()
				}
				if time.Now().After(end) {
					return
				}
				time.Sleep(4700*time.Millisecond + time.Duration(rnd.IntN(600))*time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// More clients poll than the nodes can answer, for jobs that wait, that are cancelled and that
// fail. All nodes are restarted during an outage of the key-value store. Afterwards some jobs could
// get no answer while others are answered often. Every job must be answered at least every 50 s,
// however many polls are told to retry later.
func TestEveryJobIsAnsweredHoweverManyPoll(t *testing.T) {
	many := 1000
	if scenario.UnderRace {
		many = 120
	}
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, StateRPS: 20, Sockets: 260}, func(t *testing.T, w *fake.Cluster) {
		var jobs []wire.Job
		var wg sync.WaitGroup
		for n := range many {
			j := job(n, func(j *wire.Job) {
				j.Tasks, j.CPUs, j.EstimateS = 1, 8, 600
				if n%200 == 7 {
					j.Class = fake.BrokenClass
				}
			})
			jobs = append(jobs, j)
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				if !w.Submit(j) {
					t.Errorf("%s was not accepted", j.ID)
				}
				if n%3 == 0 {
					time.Sleep(time.Duration(n) * 60 * time.Millisecond)
					if got := w.Cancel(j.ID); got != wire.JobCancelled {
						t.Errorf("%s cancelled: %q", j.ID, got)
					}
				}
			})
		}
		wg.Wait()
		w.KillAll()
		w.Store.SetOutage(true)
		time.Sleep(10 * time.Second)
		w.StartAll()
		time.Sleep(5 * time.Second)
		w.Store.SetOutage(false)
		var stats pollStats
		stats.poll(w, jobs, 85*time.Second)
		t.Logf("%d polls, %d not answered; the longest time without an answer was %v (%s)", stats.polls, stats.refused, stats.longestGap, stats.gapJobID)
		if stats.longestGap > 50*time.Second {
			t.Errorf("%s was without an answer for %v", stats.gapJobID, stats.longestGap)
		}
		if !scenario.UnderRace && stats.refused < stats.polls/50 {
			t.Errorf("%d of %d polls were refused: the load is too small", stats.refused, stats.polls)
		}
		if got, _ := w.SubmitRefused(0, jobs[0]); got != http.StatusOK {
			t.Errorf("%s submitted again: status %d, want 200", jobs[0].ID, got)
		}
	})
}

// A page with the records of many jobs is corrupted. Nodes that have started since could answer 404
// for its jobs. They must answer for the jobs that can still be read from it, that have a
// placement, or of which another node holds a copy, and must answer 404 for none. The other jobs
// must go on.
func TestJobsOfADamagedPageAreStillAnswered(t *testing.T) {
	for _, c := range []struct {
		name             string
		partlyReadable   bool // most of the page can still be decoded
		oneNodeKeepsCopy bool // one node keeps running
	}{{"in part", true, false}, {"wholly", false, false}, {"wholly, but a node remembers", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 3, Capacity: 3}, func(t *testing.T, w *fake.Cluster) {
				var wg sync.WaitGroup
				jobs := make([]wire.Job, 40)
				for n := range jobs {
					jobs[n] = job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 4, 400 })
					wg.Go(func() {
						if !w.Submit(jobs[n]) {
							t.Errorf("%d was not accepted", n)
						}
					})
				}
				wg.Wait()
				time.Sleep(8 * time.Second)
				_, shared := countOwnAndSharedRecords(w)
				if shared < 10 {
					t.Fatalf("%d jobs share pages, want at least 10", shared)
				}
				leader := w.Leader()
				survivor := (leader + 1) % 3
				for n := range w.Nodes() {
					if n != survivor || !c.oneNodeKeepsCopy {
						w.KillNode(n)
					}
				}
				for _, key := range w.Store.Keys(jobstore.JobPrefix) {
					if jobstore.IsJobPageKey(key) && c.partlyReadable {
						w.Store.CorruptNested(key)
					} else if jobstore.IsJobPageKey(key) {
						w.Store.Corrupt(key)
					}
				}
				time.Sleep(time.Second)
				w.StartAll()
				time.Sleep(12 * time.Second)
				withOwnKey, _ := countOwnAndSharedRecords(w)
				for i := range w.Nodes() {
					answered := 0
					for n := range jobs {
						switch w.PollState(w.NodeAddr(i), jobs[n].ID) {
						case wire.JobPending, wire.JobRunning:
							answered++
						case "":
						default:
							t.Errorf("node %d: unfinished job %d is reported as finished", i, n)
						}
					}
					t.Logf("node %d: %d of %d answered, %d have keys of their own", i, answered, len(jobs), withOwnKey)
					if (c.partlyReadable || c.oneNodeKeepsCopy) && answered < len(jobs) || answered < withOwnKey {
						t.Errorf("node %d answers for only %d of %d jobs", i, answered, len(jobs))
					}
				}
			})
		})
	}
}

// All nodes are restarted one after the other while the schema version changes. A node that can't
// read the other version's records could give no answer. Each job must be answered before, during
// and after the change, whichever node a client uses.
func TestEveryJobIsAnsweredWhileTheSchemaChanges(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 3, OlderSchema: []int{0, 1, 2}}, func(t *testing.T, w *fake.Cluster) {
		var jobs []wire.Job
		for n := range 30 {
			jobs = append(jobs, job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 8, 15 }))
			mustSubmit(t, w, jobs[n])
		}
		var stats pollStats
		var wg sync.WaitGroup
		wg.Go(func() { stats.poll(w, jobs, 85*time.Second) })
		for n := range w.Nodes() {
			time.Sleep(15 * time.Second)
			w.KillNode(n)
			w.UpgradeSchema(n)
			time.Sleep(time.Second)
			w.StartNode(n)
		}
		time.Sleep(10 * time.Second)
		if len(w.Store.Keys(jobstore.SchemaKey)) == 0 {
			t.Error("the schema version did not change")
		}
		wg.Wait()
		if stats.longestGap > 30*time.Second {
			t.Errorf("%s was without an answer for %v", stats.gapJobID, stats.longestGap)
		}
	})
}
