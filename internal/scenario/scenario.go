// Package scenario helps tests that run a whole cluster in simulated time. It starts a
// fake.Cluster within testing/synctest, submits jobs, awaits their states and checks the
// protocol's rules at the end. A package of such tests calls Main from its TestMain, because the
// race detector's runtime can crash when one process runs many goroutines.
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

// starvedAfter is the longest time that a job may wait without faults while a suitable machine
// has room and the job's team is under its limit.
const starvedAfter = 90 * time.Second

// Run starts a cluster in simulated time and calls play five seconds later. Then it fails the
// test for each violated rule of the protocol and for starved jobs. It does not check for starved
// jobs if the test has failed or a fault is still injected. If the environment variable STORY_LOG
// is set, the controllers log to stderr.
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

// Job returns a small array job with an id made of n. A non-nil change modifies it.
func Job(n int, change func(j *wire.Job)) wire.Job {
	j := wire.Job{ID: fmt.Sprintf("wk-%06d", n), Class: "c", Team: "core", Kind: wire.KindArray,
		Priority: wire.PriorityNormal, Tasks: 2, CPUs: 2, MemoryGB: 4, Image: "img-1", ImageGB: 1, EstimateS: 20}
	if change != nil {
		change(&j)
	}
	return j
}

// AsGang turns a job into a gang job that checkpoints every 10 seconds.
func AsGang(j *wire.Job) {
	j.Kind, j.CheckpointS, j.SaveS = wire.KindGang, 10, 2
}

// MustSubmit submits jobs in their order, and ends the test at the first that is not accepted.
func MustSubmit(t *testing.T, cluster *fake.Cluster, jobs ...wire.Job) {
	t.Helper()
	for _, j := range jobs {
		if !cluster.Submit(j) {
			t.Fatalf("%s was not accepted", j.ID)
		}
	}
}

// Eventually polls ok at the interval every, for the first time after one interval, and reports true
// as soon as ok does. It reports false once within has passed.
func Eventually(within, every time.Duration, ok func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); {
		if time.Sleep(every); ok() {
			return true
		}
	}
	return false
}

// MustFinish waits until the jobs with the given numbers (see Job) are done, one after another. It
// ends the test if one of these waits takes longer than within.
func MustFinish(t *testing.T, cluster *fake.Cluster, within time.Duration, numbers ...int) {
	t.Helper()
	for _, n := range numbers {
		MustReach(t, cluster, Job(n, nil).ID, wire.JobDone, within)
	}
}

// MustReach waits until a job is in a state (one of the wire.Job constants), and ends the test if
// that takes longer than within.
func MustReach(t *testing.T, cluster *fake.Cluster, id, state string, within time.Duration) {
	t.Helper()
	if !cluster.Await(id, state, within) {
		t.Fatalf("%s was not %s within %v", id, state, within)
	}
}
