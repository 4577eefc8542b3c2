package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// BenchmarkSchedule is a pass over machines that are full and waiting jobs, of
// which most can't be in time: what a leader does several times a second at
// worst, at the size that the service began with and at the size it grew to.
func BenchmarkSchedule(b *testing.B) {
	for _, size := range []struct{ machines, jobs int }{{36, 150}, {300, 150}, {1000, 400}} {
		b.Run(fmt.Sprintf("machines=%d/jobs=%d", size.machines, size.jobs), func(b *testing.B) {
			m := crowded(size.machines, size.jobs)
			m.Schedule(at(1), 1000)
			for b.Loop() {
				m.Schedule(at(2), 1000)
			}
		})
	}
}

// BenchmarkBurst is a pass that places what a day begins with.
func BenchmarkBurst(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		m := crowded(1000, 400)
		b.StartTimer()
		m.Schedule(at(1), 1000)
	}
}

// crowded is a model whose machines are soon full: gangs in one zone, and
// arrays of lower priority with a deadline.
func crowded(machines, jobs int) *Model {
	m := newModel(5)
	m.cfg.Cluster.Objectives = []config.Objective{
		{Kind: "wait", Class: "gangs", WithinS: 50}, {Kind: "finished", Class: "gangs", WithinS: 300},
		{Kind: "deadline", Class: "arrays", Times: 1}, {Kind: "deadline", Class: "arrays", Times: 1.5}}
	for i := range machines {
		r := rep(1, 5)
		r.Machine, r.Zone = fmt.Sprintf("host-%06d", i), []string{"a", "b"}[i%2]
		m.Observe(r, at(0))
	}
	for i := range 2 * jobs {
		id := fmt.Sprintf("wk-%06d", i)
		rec := arrayJob(id, []int{3, 6, 24}[i%3])
		rec.Job.Class, rec.Job.Image, rec.Job.EstimateS = "gangs", fmt.Sprint("i", i%8), float64(60+i%200)
		rec.Job.Kind, rec.Job.OneZone, rec.Job.CPUs = wire.KindGang, true, 4
		if i%2 == 0 {
			deadline := float64(100 + i%200)
			rec = arrayJob(id, 5+i%60)
			rec.Job.Class, rec.Job.Image, rec.Job.EstimateS = "arrays", fmt.Sprint("g", i%18), float64(60+i%200)
			rec.Job.Priority, rec.Job.DeadlineS, rec.Job.GPUs = wire.PriorityLow, &deadline, 0.5
		}
		m.PutJob(id, rec, 1, at(0))
	}
	return m
}
