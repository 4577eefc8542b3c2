package cluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/wire"
)

// Where more comes than can ever be done, what is old is done in the end, at
// least half of a team's.
func TestCompletionFloorCompletesHalfOfATeamsJobsUnderOverload(t *testing.T) {
	story := func(bound time.Duration) (done, all int) {
		s := newShop(t, 4, bound)
		s.m.settings.Cluster.Objectives = []config.Objective{{Kind: "deadline", Class: "c", Times: 1}}
		small := crowd(s, 4, nil)
		s.comes = func(now float64) {
			small(now)
			if int(now)%60 == 30 && now < 600 {
				s.put(fmt.Sprintf("wk-99%04d", int(now)), now, 12, func(j *wire.Job) { d := 100.0; j.DeadlineS, j.Team = &d, "large" })
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
	if done, all := story(0); 2*done >= all {
		t.Fatalf("without the bound %d of %d are done: the story shows nothing", done, all)
	}
	if done, all := story(30 * time.Second); 2*done < all {
		t.Errorf("%d of %d are done", done, all)
	}
}
