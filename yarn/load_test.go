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

// All controllers are restarted while many native clients poll. Calls for application reports must
// still be answered in time, and no application may be lost.
func TestReportsAreAnsweredUnderPollLoad(t *testing.T) {
	jobs := 500
	if scenario.UnderRace {
		jobs = 90
	}
	runScenario(t, fake.Options{Machines: 2, Capacity: 2, StateRPS: 30, Sockets: 260}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		var apps []*pb.ApplicationIdProto
		for range 4 {
			id, _ := user.startApplication()
			apps = append(apps, id)
		}
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() {
				time.Sleep(time.Duration(n) * 20 * time.Millisecond)
				if !cluster.Submit(scenario.Job(n, func(j *wire.Job) { j.Tasks, j.CPUs, j.EstimateS = 1, 8, 900 })) {
					t.Errorf("job %d was not accepted", n)
				}
			})
		}
		wg.Wait()
		cluster.KillAll()
		time.Sleep(4 * time.Second)
		cluster.StartAll()
		end := time.Now().Add(80 * time.Second)
		for n := range jobs {
			wg.Go(func() {
				for time.Sleep(time.Duration(n) * 4 * time.Second / time.Duration(jobs)); time.Now().Before(end); time.Sleep(4 * time.Second) {
					cluster.PollState(cluster.AnyNodeAddr(), scenario.Job(n, nil).ID)
				}
			})
		}
		for _, id := range apps {
			wg.Go(func() {
				answered, longest := time.Now(), time.Duration(0)
				for time.Now().Before(end) {
					ctx, cancel := context.WithTimeout(user.ctx(), 5*time.Second)
					report, err := user.client.Report(ctx, id)
					cancel()
					longest = max(longest, time.Since(answered))
					if err == nil {
						answered = time.Now()
						if state := report.GetYarnApplicationState(); state == pb.YarnApplicationStateProto_FINISHED {
							t.Errorf("application %v is reported as %v", id, state)
						}
					}
					time.Sleep(5 * time.Second)
				}
				if longest > 45*time.Second {
					t.Errorf("application %v: no report for %v, want at most 45s", id, longest)
				}
				t.Logf("application %v: longest time without a report is %v", id, longest)
			})
		}
		wg.Wait()
	})
}
