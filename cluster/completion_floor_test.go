package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// Guards against a team whose jobs never complete. Under lasting overload triage would give up most
// of the team's large jobs. The completion floor must complete at least half of them.
func TestCompletionFloorCompletesHalfOfATeamsJobsUnderOverload(t *testing.T) {
	scenario := func(bound time.Duration) (done, all int) {
		s := newSimulatedCluster(t, 4, bound)
		s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
		small := overload(s, 4, nil)
		s.arrivals = func(now float64) {
			small(now)
			if int(now)%60 == 30 && now < 600 {
				s.submit(fmt.Sprintf("wk-99%04d", int(now)), now, 12, func(j *wire.Job) { d := 100.0; j.DeadlineS, j.Team = &d, "large" })
			}
		}
		s.run(0, 1000)
		for now := 30; now < 600; now += 60 {
			all++
			if j := s.m.Job(fmt.Sprintf("wk-99%04d", now)); j == nil || j.DoneTasks == 12 {
				done++
			}
		}
		return done, all
	}
	if done, all := scenario(0); 2*done >= all {
		t.Fatalf("without the bound %d of %d jobs are completed, want less than half: the scenario does not overload the cluster", done, all)
	}
	if done, all := scenario(30 * time.Second); 2*done < all {
		t.Errorf("%d of %d jobs are completed, want at least half", done, all)
	}
}
