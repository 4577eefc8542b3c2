package cluster

import (
	"maps"
	"testing"

	"github.com/umberdeal/umberdeal/wire"
)

// Jobs that can't start within the bound must be listed with the right cause. Jobs that can must not
// be listed.
func TestStarvedJobsAreListedWithTheirCause(t *testing.T) {
	s := newSimulatedCluster(t, 1, bound) // one machine, in zone a
	s.m.teams[0].Max.CPU = 8
	refuseAllOffers := func() {
		for ti := range s.m.MachineTypes {
			for z := range s.m.Zones {
				for _, spot := range []bool{false, true} {
					s.m.refusedOffers.refuse(offerKey{ti, z, spot}, at(1000))
				}
			}
		}
	}
	refuseAllOffers()
	s.submit("wk-000001", 0, 1, func(j *wire.Job) { j.Zone = "b"; j.Team = "" })
	s.submit("wk-000002", 0, 3, func(j *wire.Job) { j.Kind, j.CPUs, j.Team = wire.KindGang, 4, "" })
	s.submit("wk-000003", 0, 1, func(j *wire.Job) { j.EstimateS = 2000 })
	s.submit("wk-000004", 0, 1, func(j *wire.Job) { j.EstimateS = 2000 })
	s.run(0, 50)
	s.submit("wk-000005", 50, 1, func(j *wire.Job) { j.Types = []string{"none"}; j.Team = "" })
	s.submit("wk-000006", 50, 1, nil)
	s.run(50, 300)
	got := map[string]starvationCause{}
	sum := s.m.Snapshot(at(300))
	for _, u := range sum.Starved {
		got[u.ID] = starvationCause(u.BlockedBy)
	}
	want := map[string]starvationCause{"wk-000001": blockedByZone, "wk-000002": blockedByGangSize, "wk-000005": blockedByNoMachines, "wk-000006": blockedByQuota}
	if !maps.Equal(got, want) || sum.StarvedTotal != len(want) {
		t.Errorf("starved jobs: got %v, want %v", got, want)
	}
}
