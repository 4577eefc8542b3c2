package yarn_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// All controllers are restarted while many native clients poll: calls for application reports are
// still answered in time, and no application is lost.
func TestReportsAreAnsweredUnderPollLoad(t *testing.T) {
	many := 500
	if scenario.UnderRace {
		many = 90
	}
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, StateRPS: 30, Sockets: 260}, func(t *testing.T, w *fake.Cluster, user *testClient) {
		var apps []*pb.ApplicationIdProto
		for range 4 {
			id, _ := user.startApplication()
			apps = append(apps, id)
		}
		var wg sync.WaitGroup
		for n := range many {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				if !w.Submit(scenario.Job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 8, 900 })) {
					t.Errorf("%d was not accepted", n)
				}
			})
		}
		wg.Wait()
		w.KillAll()
		time.Sleep(4 * time.Second)
		w.StartAll()
		end := time.Now().Add(80 * time.Second)
		for n := range many {
			wg.Go(func() {
				for time.Sleep(time.Duration(n) * 4 * time.Second / time.Duration(many)); time.Now().Before(end); time.Sleep(4 * time.Second) {
					w.PollState(w.AnyNodeAddr(), scenario.Job(n, nil).ID)
				}
			})
		}
		for _, id := range apps {
			wg.Go(func() {
				answered, longest := time.Now(), time.Duration(0)
				for time.Now().Before(end) {
					ctx, cancel := context.WithTimeout(user.ctx(), 5*time.Second)
					r, err := user.client.Report(ctx, id)
					cancel()
					longest = max(longest, time.Since(answered))
					if err == nil {
						answered = time.Now()
						if s := r.GetYarnApplicationState(); s == pb.YarnApplicationStateProto_FINISHED {
							t.Errorf("%v is called %v", id, s)
						}
					}
					time.Sleep(5 * time.Second)
				}
				if longest > 45*time.Second {
					t.Errorf("%v was without an answer for %v", id, longest)
				}
				t.Logf("%v: %v at the longest", id, longest)
			})
		}
		wg.Wait()
	})
}
