package cluster

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/umberdeal/umberdeal/placement"
)

// Triage simulates nearly the same list of jobs again and again. A run that continues from a
// checkpoint must give the result of a full run, whichever jobs are removed and inserted. Otherwise
// triage would give up other jobs than it has to.
func TestSimulationFromACheckpointEqualsAFullSimulation(t *testing.T) {
	m := overloadedModel(4, 60)
	rnd := rand.New(rand.NewPCG(7, 7))
	random := func() *queueEntry {
		j := m.Jobs[rnd.IntN(len(m.Jobs))]
		return &queueEntry{job: j, runSeconds: 1 + 60*rnd.Float64(), due: at(rnd.Float64() * 700), req: placement.Request{Tasks: make([]int32, 1+rnd.IntN(150))}}
	}
	places := make(placeTimes, 400)
	for i := range places {
		places[i] = float64(i / 4)
	}
	var jobs []*queueEntry
	for range 90 {
		jobs = append(jobs, random())
	}
	sim := m.newSimulation(places, at(0))
	sim.run(jobs, 0)
	withoutLate, withLate := 0, 0
	for range 500 {
		changedAt := rnd.IntN(len(jobs))
		if rnd.IntN(3) == 0 || len(jobs) < 40 {
			jobs = slices.Insert(slices.Clone(jobs), changedAt, random())
		} else {
			jobs = slices.Delete(slices.Clone(jobs), changedAt, changedAt+1)
		}
		got, want := sim.run(jobs, changedAt), m.newSimulation(places, at(0)).run(jobs, 0)
		if got != want {
			t.Fatalf("changed from job %d of %d on: got %d, want %d as in a full run", changedAt, len(jobs), got, want)
		}
		if got < 0 {
			withoutLate++
		} else {
			withLate++
		}
	}
	if withLate < 50 {
		t.Errorf("got %d lists with a late job and %d without, want at least 50 with one", withLate, withoutLate)
	}
}
