package controller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// pauseDurations are just below and just above the timeouts that a pause can outlast: a user's poll
// (2 s), a worker's wait for a reply (4 s), the leader's lease (7 s here), and a worker's lease
// (12 s).
var pauseDurations = []time.Duration{time.Second, 3900 * time.Millisecond, 4100 * time.Millisecond, 6900 * time.Millisecond,
	7100 * time.Millisecond, 11900 * time.Millisecond, 12100 * time.Millisecond, 25 * time.Second, time.Minute}

// A process that is paused while clocks go on acts on outdated knowledge when it resumes. The
// checker verifies the rules of the protocol. No task may be lost that a leader could have kept,
// and the other nodes must serve users meanwhile.
func TestControllersStall(t *testing.T) {
	for _, c := range []struct {
		name   string
		paused func(leader int) []int
	}{
		{"the leader", func(l int) []int { return []int{l} }},
		{"a follower", func(l int) []int { return []int{(l + 1) % 3} }},
		{"the leader and a follower", func(l int) []int { return []int{l, (l + 1) % 3} }},
		{"all", func(int) []int { return []int{0, 1, 2} }},
	} {
		for _, d := range pauseDurations {
			t.Run(fmt.Sprint(c.name, " for ", d), func(t *testing.T) {
				runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, w *fake.Cluster) {
					t.Helper()
					mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 90 }),
						job(2, func(j *wire.Job) { gang(j); j.Tasks = 3; j.EstimateS = 80 }))
					mustReach(t, w, "wk-000002", wire.JobRunning, 20*time.Second)
					time.Sleep(4 * time.Second)
					paused := c.paused(w.Leader())
					for _, i := range paused {
						w.PauseNode(i)
					}
					begun := time.Now()
					if len(paused) == 1 && d > 5*time.Second {
						mustSubmit(t, w, job(3, nil))
						if w.Cancel("wk-000001") != wire.JobCancelled {
							t.Error("no node cancels the job")
						}
					}
					time.Sleep(d - time.Since(begun))
					for _, i := range paused {
						w.ResumeNode(i)
					}
					mustSubmit(t, w, job(4, nil))
					mustReach(t, w, "wk-000004", wire.JobDone, 2*time.Minute)
					mustReach(t, w, "wk-000002", wire.JobDone, 4*time.Minute)
					// As long as there can be a leader, a worker finds it within its lease,
					// whichever nodes were paused.
					if n := w.Started(); n > 9 && (len(paused) == 1 || d < 10*time.Second) {
						t.Errorf("%d starts of 9 tasks", n)
					}
				})
			})
		}
	}
}

// A leader that is powered off or paused accepts connections and answers nothing. Each follower
// that redirected a worker there cost the worker 4 s of its lease of 12 s. With another node down
// as well, most tasks were killed.
func TestWorkersStayWithTheNodeThatAnswersDuringFailover(t *testing.T) {
	runScenario(t, fake.Options{Machines: 8, Nodes: 5}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 16, 90 }))
		mustReach(t, w, "wk-000001", wire.JobRunning, 20*time.Second)
		time.Sleep(5 * time.Second)
		l := w.Leader()
		w.PauseNode((l + 2) % 5)
		time.Sleep(8 * time.Second)
		w.PauseNode(l)
		mustReach(t, w, "wk-000001", wire.JobDone, 3*time.Minute)
		if n := w.Started(); n != 16 {
			t.Errorf("%d starts of 16 tasks", n)
		}
	})
}

// The key-value store refuses one node while others are paused. The refused node forwards a user's
// request, and could wait too long for the paused ones. It must reach a node that answers in time.
func TestRequestIsForwardedAroundAStalledNode(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2, Nodes: 4}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		refused := (w.Leader() + 1) % 4
		w.Store.RefuseNode(fmt.Sprintf("n-%d", refused))
		for i := range 2 {
			w.PauseNode((refused + 1 + i) % 4)
		}
		time.Sleep(2 * time.Second)
		if status := w.PostSubmission(refused, job(1, nil)); status != 201 {
			t.Errorf("submission answered %d, want 201", status)
		}
	})
}

// Hundreds of polling users made every node query the key-value store as often as it could. The sum
// was several times what the store takes. The leader's lease renewals were rate-limited along with
// the queries, and leadership was lost permanently.
func TestManyPollsDoNotEndLeadership(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4, Nodes: 5, StateRPS: 40}, func(t *testing.T, w *fake.Cluster) {
		t.Helper()
		mustSubmit(t, w, job(1, func(j *wire.Job) { j.EstimateS = 60 }))
		before := w.Store.Value("ctl/leader")
		end := time.Now().Add(40 * time.Second)
		for i := range 100 {
			go func() {
				for time.Now().Before(end) {
					w.PollState(w.NodeAddr(i%5), "wk-000001")
					time.Sleep(200 * time.Millisecond)
				}
			}()
		}
		time.Sleep(8 * time.Second)
		refusedBefore := w.Store.RateLimited()
		mustSubmit(t, w, job(2, nil))
		mustReach(t, w, "wk-000002", wire.JobDone, time.Minute)
		if n := w.Store.RateLimited() - refusedBefore; n > 40*30/10 {
			t.Errorf("%d requests were rate-limited in half a minute, want at most 120", n)
		}
		mustReach(t, w, "wk-000001", wire.JobDone, 2*time.Minute)
		if string(w.Store.Value("ctl/leader")) != string(before) {
			t.Error("the leader changed")
		}
		if n := w.Started(); n != 4 {
			t.Errorf("%d starts of 4 tasks", n)
		}
	})
}
