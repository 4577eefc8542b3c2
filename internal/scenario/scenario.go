// Package scenario is the library of the tests that run a whole cluster in simulated
// time: it starts a fake.Cluster within testing/synctest, submits jobs, awaits their
// states and checks the protocol's rules at the end. A package of such tests calls
// Main from its TestMain, because the race detector's runtime bears only so many
// goroutines in one process.
package scenario

import (
	"fmt"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/wire"
)

// starvedAfter is for how long a job may wait without faults while a machine that fits has
// room and its team is under its limit.
const starvedAfter = 90 * time.Second

// Run starts a cluster in simulated time, calls play with it, and then fails the test for
// each rule of the protocol that was violated, and for jobs that starved. Starvation is not
// looked for if the test has failed or a fault is still injected. With STORY_LOG set in the
// environment the controllers' log goes to stderr.
func Run(t *testing.T, options fake.Options, play func(t *testing.T, cluster *fake.Cluster)) {
	t.Helper()
	if os.Getenv("STORY_LOG") != "" {
		options.Log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	synctest.Test(t, func(t *testing.T) {
		cluster := fake.New(options)
		defer cluster.Close()
		time.Sleep(5 * time.Second)
		play(t, cluster)
		if !t.Failed() && !cluster.FaultActive() {
			if ids := cluster.Starved(starvedAfter); len(ids) > 0 {
				t.Errorf("%v waited for %v without faults, though there is room and their teams are under their limits", ids, starvedAfter)
			}
		}
		for _, violation := range cluster.Violations() {
			t.Errorf("rule broken: %s", violation)
		}
	})
}

// Job is the n-th job, changed as a scenario needs it.
func Job(n int, change func(j *wire.Job)) wire.Job {
	j := wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "c", Team: "core", Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: 2, CPUs: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, EstimateS: 20}
	if change != nil {
		change(&j)
	}
	return j
}

// AsGang makes a gang of a job.
func AsGang(j *wire.Job) {
	j.Kind, j.CheckpointS, j.SaveS = wire.KindGang, 10, 2
}

// MustSubmit submits jobs, each of which must be accepted.
func MustSubmit(t *testing.T, w *fake.Cluster, jobs ...wire.Job) {
	t.Helper()
	for _, j := range jobs {
		if !w.Submit(j) {
			t.Fatalf("%s was not accepted", j.ID)
		}
	}
}

// Eventually waits, looking every so often, until something holds, and says whether it does.
func Eventually(within, every time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if time.Sleep(every); ok() {
			return true
		}
	}
	return false
}

// MustFinish waits until the jobs of some numbers are done, for each so long at most.
func MustFinish(t *testing.T, w *fake.Cluster, within time.Duration, numbers ...int) {
	t.Helper()
	for _, n := range numbers {
		MustReach(t, w, Job(n, nil).ID, wire.JobDone, within)
	}
}

// MustReach waits until a job is in a state.
func MustReach(t *testing.T, w *fake.Cluster, id, state string, within time.Duration) {
	t.Helper()
	if !w.Await(id, state, within) {
		t.Fatalf("%s was not %s within %v", id, state, within)
	}
}
