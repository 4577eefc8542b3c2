package routing_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/umberdeal/umberdeal/calendar"
	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/plans"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/jobstore"
	"github.com/umberdeal/umberdeal/wire"
)

// fleetPlan returns the text of a version of a plan that uses every part. The order of the tiers,
// the opening of the region and the minimum size of the warm pool depend on the version number.
// The region opens the given number of minutes after midnight, or one minute earlier. Simulated
// time begins at midnight UTC on 1 January 2000, a Saturday.
func fleetPlan(number, minutes int) string {
	tiers := []string{`name = "clinic"
classes = ["clinic"]
`, `name = "school"
classes = ["school"]
`}
	if number%2 == 0 {
		tiers[0], tiers[1] = tiers[1], tiers[0]
	}
	open := fmt.Sprintf("00:%02d", minutes-number%2)
	return fmt.Sprintf(`note = "version %d"

[[order.tiers]]
%s
[[order.tiers]]
%sshare = 0.1
longest_wait_s = 100
`, number, tiers[0], tiers[1]) + plans.Region("here", fmt.Sprintf("fri = \"23:50\", sat = %q, sun = \"08:00\"", open), "00:00", 60, `class = "tiles"`) +
		plans.Pool{Name: "llm", Model: "llm:v1", WeightsGB: 20, MachineType: "m8", Min: 5 + number%3*5, Max: 30, Replicas: 20, Payer: "core", More: `borrowers = ["edge"]`}.TOML()
}

// fleetMinutes returns for how many minutes faults are injected: 4, or the value of FLEET_MINUTES.
func fleetMinutes() int {
	if n, err := strconv.Atoi(os.Getenv("FLEET_MINUTES")); err == nil && n > 1 && n < 50 {
		return n
	}
	return 4
}

// mustAwaitLeader returns the index of the leader. For a moment between two leaderships there is none. It
// ends the test if nobody is elected within a minute.
func mustAwaitLeader(t *testing.T, w *fake.Cluster) int {
	t.Helper()
	leader := w.AwaitLeader(time.Minute)
	if leader < 0 {
		t.Fatal("no leader is elected within a minute")
	}
	return leader
}

// Faults of all kinds are combined on seven nodes and hundreds of machines: leaders are killed,
// paused or isolated to their workers, the state service fails, a hundred machines receive no
// answers, machines die and heartbeats are duplicated. Meanwhile the plan keeps changing. No
// invariant may break. Afterwards every accepted job must finish, the batch window must have
// exactly one outcome, and the plan must accept another version.
func TestFleetUnderAPlanSurvivesCombinedFaults(t *testing.T) {
	if underRace {
		t.Skip("run without the race detector by .ci/run")
	}
	minutes := fleetMinutes()
	o := fake.Options{Nodes: 7, Machines: fleetMachines, Capacity: fleetMachines + 100, Sockets: fleetSockets, HeartbeatIntervalS: 4, LeaseS: 22, Seed: 3,
		Teams: []config.Team{{Name: "core", CPUs: 400, CPUsMax: 5000}, {Name: "edge"}}}
	scenario.Run(t, o, func(t *testing.T, w *fake.Cluster) {
		rnd := rand.New(rand.NewPCG(3, 17))
		time.Sleep(15 * time.Second)
		plan := scenario.Plans{Cluster: w}
		apply := func() bool { return plan.Apply(fleetPlan(plan.Version+1, minutes+3), 10*time.Second) }
		for plan.Version == 0 {
			apply()
		}
		next, accepted := 1, []string{}
		submit := func(class, team string, tasks int, cpus, est float64) {
			j := scenario.Job(next, func(j *wire.Job) {
				j.Class, j.Team, j.Tasks, j.CPUs, j.EstimateS = class, team, tasks, cpus, est
				j.CheckpointS, j.SaveS = 5, 1
			})
			next++
			if w.Submit(j) {
				accepted = append(accepted, j.ID)
			}
		}
		submit("tiles", "core", 500, 4, 40)
		submit("tiles", "core", 300, 4, 30)
		submit("long", "edge", 300, 4, 90)
		service := scenario.Job(900, func(j *wire.Job) {
			j.Class, j.Team, j.Kind, j.Image, j.ImageGB, j.Tasks, j.CPUs, j.EstimateS = "chat", "core", wire.KindService, "llm:v1", 20, 10, 2, 0
		})
		scenario.MustSubmit(t, w, service)
		w.DuplicateHeartbeats(50)
		end := time.Now().Add(time.Duration(minutes) * time.Minute)
		for time.Now().Before(end) {
			n := rnd.IntN(7)
			all := w.Cloud.Machines()
			switch rnd.IntN(9) {
			case 0:
				w.KillNode(mustAwaitLeader(t, w))
			case 1:
				w.PauseNode(mustAwaitLeader(t, w))
				time.Sleep(9 * time.Second)
			case 2:
				l := mustAwaitLeader(t, w)
				w.IsolateToWorkers(l)
				time.AfterFunc(30*time.Second, func() { w.HealNodeIsolation(l) })
			case 3:
				w.Store.SetOutage(true)
				time.Sleep(8 * time.Second)
				w.Store.SetOutage(false)
			case 4:
				for i := range 100 {
					m := all[(n*97+i*3)%len(all)]
					w.BlockRepliesTo(m)
					time.AfterFunc(40*time.Second, func() { w.UnblockRepliesTo(m) })
				}
			case 5:
				for range 10 {
					w.KillMachine(all[rnd.IntN(len(all))])
				}
			case 6:
				w.PowerCycleNode(n, 200*time.Millisecond)
			case 7:
				w.Store.DelayNextTransaction(30 * time.Second)
			}
			apply()
			submit([]string{"clinic", "school", "print"}[rnd.IntN(3)], []string{"core", "edge"}[rnd.IntN(2)], 1+rnd.IntN(60), 3, float64(10+rnd.IntN(30)))
			time.Sleep(time.Duration(2+rnd.IntN(8)) * time.Second)
			for i := range 7 {
				if rnd.IntN(2) == 0 {
					w.ResumeNode(i)
					w.StartNode(i)
				}
			}
		}
		w.DuplicateHeartbeats(0)
		for i := range 7 {
			w.ResumeNode(i)
			w.StartNode(i)
		}
		for _, id := range accepted {
			scenario.MustReach(t, w, id, wire.JobDone, 10*time.Minute)
		}
		if w.Cancel(service.ID) != wire.JobCancelled {
			t.Error("the service was not cancelled")
		}
		time.Sleep(time.Minute)
		if before := plan.Version; !apply() || plan.Version != before+1 {
			t.Errorf("after the faults no plan can be applied on version %d", before)
		}
		// The outcome of the batch window is recorded when its promise is due. In one of four
		// runs everything else was done earlier, and there was no outcome yet.
		opening := time.Date(2000, time.January, 1, 0, minutes+3, 0, 0, time.UTC)
		time.Sleep(time.Until(opening.Add(time.Minute)))
		var rec calendar.Record
		if err := wire.Unmarshal(w.Store.Value(jobstore.PlanStatePrefix+calendar.RecordName("here")), &rec); err != nil {
			t.Fatal(err)
		}
		outcomes := 0
		for _, o := range rec.Past {
			if o.Date == "2000-01-01" {
				outcomes++
			}
		}
		if outcomes != 1 {
			t.Errorf("got %d outcomes of the batch window, want 1: %+v", outcomes, rec.Past)
		}
		t.Logf("%d jobs, version %d of the plan, %d leases expired, batch windows %+v", len(accepted), plan.Version, w.ExpiredLeases(), rec.Past)
	})
}
