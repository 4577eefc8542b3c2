package cluster

import (
	"fmt"
	"testing"

	"github.com/umberdeal/umberdeal/config"
)

// BenchmarkScheduleInABurst is a pass over 36 full machines and 150 waiting
// jobs, of which most can't be in time: what a leader does several times a
// second at worst.
func BenchmarkScheduleInABurst(b *testing.B) {
	m := newModel(5)
	m.cfg.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}, {Kind: "deadline", Class: "c", Times: 1.75}}
	for i := range 36 {
		r := rep(1, 5)
		r.Machine = fmt.Sprintf("host-%06d", i)
		m.Observe(r, at(0))
	}
	for i := range 170 {
		due(m, fmt.Sprintf("wk-%06d", i), 1+i%6, float64(150+i%200), 0)
	}
	m.Schedule(at(1), 100)
	for b.Loop() {
		m.Schedule(at(2), 100)
	}
}
