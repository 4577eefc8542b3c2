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

// polledAnswers collects the results of many clients' polls.
type polledAnswers struct {
	mu         sync.Mutex
	unanswered time.Duration // longest time that any one job was without an answer
	last       string        // id of that job
	refused    int
	polls      int
}

// poll queries each job about every 5 s, for the given time, at any node.
func (a *polledAnswers) poll(w *fake.Cluster, jobs []wire.Job, during time.Duration) {
	var wg sync.WaitGroup
	end := time.Now().Add(during)
	for i, j := range jobs {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(uint64(i), 11))
			answered := time.Now()
			time.Sleep(time.Duration(rnd.IntN(5000)) * time.Millisecond)
			for {
				ok := w.PollState(w.AnyNodeAddr(), j.ID) != ""
				a.mu.Lock()
				a.polls++
				if !ok {
					a.refused++
				}
				if gap := time.Since(answered); gap > a.unanswered {
					a.unanswered, a.last = gap, j.ID
				}
				a.mu.Unlock()
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
// fail, and all nodes are restarted during an outage of the key-value store. Once that is over
// every job is answered again and again, however many polls are told to retry later.
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
		var a polledAnswers
		a.poll(w, jobs, 85*time.Second)
		t.Logf("%d polls, %d not answered; no job was without an answer for more than %v (%s)", a.polls, a.refused, a.unanswered, a.last)
		if a.unanswered > 50*time.Second {
			t.Errorf("%s was without an answer for %v", a.last, a.unanswered)
		}
		if !scenario.UnderRace && a.refused < a.polls/50 {
			t.Errorf("%d of %d polls were refused: that is no crowd", a.refused, a.polls)
		}
		if got, _ := w.SubmitRefused(0, jobs[0]); got != http.StatusOK {
			t.Errorf("%s again: %d", jobs[0].ID, got)
		}
	})
}

// A page with the records of many jobs can't be decoded any more. Nodes that have started since
// answer for the jobs that can still be read from it, that have a placement, or of which another
// node holds a copy, and answer 404 for none; the other jobs go on.
func TestJobsOfADamagedPageAreStillAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		scratch bool // most of the page can still be read
		stays   bool // one node keeps running
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
					t.Fatalf("%d jobs share pages", shared)
				}
				leader := w.Leader()
				stays := (leader + 1) % 3
				for n := range w.Nodes() {
					if n != stays || !c.stays {
						w.KillNode(n)
					}
				}
				for _, key := range w.Store.Keys(jobstore.JobPrefix) {
					if jobstore.IsJobPageKey(key) && c.scratch {
						w.Store.CorruptNested(key)
					} else if jobstore.IsJobPageKey(key) {
						w.Store.Corrupt(key)
					}
				}
				time.Sleep(time.Second)
				w.StartAll()
				time.Sleep(12 * time.Second)
				alone, _ := countOwnAndSharedRecords(w)
				for i := range w.Nodes() {
					answered := 0
					for n := range jobs {
						switch w.PollState(w.NodeAddr(i), jobs[n].ID) {
						case wire.JobPending, wire.JobRunning:
							answered++
						case "":
						default:
							t.Errorf("node %d: %d is called over", i, n)
						}
					}
					t.Logf("node %d: %d of %d answered, %d have keys of their own", i, answered, len(jobs), alone)
					if (c.scratch || c.stays) && answered < len(jobs) || answered < alone {
						t.Errorf("node %d answers for %d of %d", i, answered, len(jobs))
					}
				}
			})
		})
	}
}

// All nodes are restarted one after the other while the schema version changes: each job is
// answered before, during and after that, whichever node a client uses.
func TestEveryJobIsAnsweredWhileTheSchemaChanges(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3, Capacity: 3, OlderSchema: []int{0, 1, 2}}, func(t *testing.T, w *fake.Cluster) {
		var jobs []wire.Job
		for n := range 30 {
			jobs = append(jobs, job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 8, 15 }))
			mustSubmit(t, w, jobs[n])
		}
		var a polledAnswers
		var wg sync.WaitGroup
		wg.Go(func() { a.poll(w, jobs, 85*time.Second) })
		for n := range w.Nodes() {
			time.Sleep(15 * time.Second)
			w.KillNode(n)
			w.UpgradeSchema(n)
			time.Sleep(time.Second)
			w.StartNode(n)
		}
		time.Sleep(10 * time.Second)
		if len(w.Store.Keys(jobstore.SchemaKey)) == 0 {
			t.Error("the form has not changed")
		}
		wg.Wait()
		if a.unanswered > 30*time.Second {
			t.Errorf("%s was without an answer for %v", a.last, a.unanswered)
		}
	})
}
