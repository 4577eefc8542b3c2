// Tests of the failure of masters, controllers and the key-value store.

package yarn_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/umberdeal/umberdeal/config"
	"github.com/umberdeal/umberdeal/internal/fake"
	"github.com/umberdeal/umberdeal/internal/scenario"
	"github.com/umberdeal/umberdeal/wire"
	"github.com/umberdeal/umberdeal/yarn"
	"github.com/umberdeal/umberdeal/yarn/wire/pb"
)

// An application fails if its master sends no heartbeat for master_s. All its containers end, also
// those that were never started. No container runs twice.
func TestLostMasterLeavesNoContainers(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master := user.startApplication()
		master.Request(smallContainer(1), 4)
		user.runMaster(master, 12*time.Second)
		master.Request(smallContainer(2), 3)
		for range 4 { // allocated and never started
			if _, err := master.Heartbeat(t.Context()); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		master.Close()
		if cluster.Started() != 4 || len(master.Containers()) != 7 {
			t.Fatalf("got %d started and %d allocated containers, want 4 and 7", cluster.Started(), len(master.Containers()))
		}
		time.Sleep(70 * time.Second)
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("application is %v, want FAILED", state)
		}
		if n := cluster.Running(); n != 0 || cluster.Started() != 4 {
			t.Errorf("%d containers still run, %d were started; want 0 and 4", n, cluster.Started())
		}
		assertNoRecords(t, cluster)
	})
}

// When the leader, all controllers or the key-value store fail, masters register again, containers
// keep running, and no id is used twice.
func TestMastersSurviveFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(cluster *fake.Cluster)
	}{
		{"leader killed", func(cluster *fake.Cluster) {
			leader := cluster.Leader()
			cluster.KillNode(leader)
			time.Sleep(8 * time.Second)
			cluster.StartNode(leader)
		}},
		{"all controllers killed", func(cluster *fake.Cluster) {
			cluster.KillAll()
			time.Sleep(5 * time.Second)
			cluster.StartAll()
		}},
		{"key-value store outage", func(cluster *fake.Cluster) {
			cluster.Store.SetOutage(true)
			time.Sleep(30 * time.Second)
			cluster.Store.SetOutage(false)
		}},
		{"leader paused", func(cluster *fake.Cluster) {
			leader := cluster.Leader()
			cluster.PauseNode(leader)
			time.Sleep(20 * time.Second)
			cluster.ResumeNode(leader)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runScenario(t, fake.Options{Machines: 4, HeartbeatIntervalS: 5, LeaseS: 27}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
				id, master := user.startApplication()
				defer master.Close()
				master.Request(smallContainer(1), 5)
				user.runMaster(master, 14*time.Second)
				master.Request(smallContainer(2), 30) // more than fit: the rest stays pending
				user.runMaster(master, 3*time.Second)
				before := cluster.Started()
				var wg sync.WaitGroup
				wg.Add(1)
				go func() { defer wg.Done(); c.fail(cluster) }()
				ends, _ := user.runMaster(master, 32*time.Second)
				wg.Wait()
				if n := len(ends) - min(1, ends[yarn.ExitSuccess]); n != 0 || before < 5 {
					t.Errorf("ended during the failure, by exit status: %v; %d were started before; want no failures and at least 5", ends, before)
				}
				more, _ := user.runMaster(master, 200*time.Second)
				for k, n := range more {
					ends[k] += n
				}
				if ends[yarn.ExitSuccess] < 20 || len(ends) != 1 {
					t.Errorf("ended by exit status: %v; want at least 20 successes and nothing else", ends)
				}
				seen := map[int64]bool{}
				for _, container := range master.Containers() {
					if seen[container.GetId().GetId()] {
						t.Errorf("container id %d is used twice", container.GetId().GetId())
					}
					seen[container.GetId().GetId()] = true
				}
				other, _, err := user.client.NewApplication(t.Context())
				if err != nil || other.GetId() == id.GetId() {
					t.Errorf("new application id %v after %v, error %v", other, id, err)
				}
			})
		})
	}
}

// An unreadable keyring is restored from a controller's copy when the next leader takes over. If no
// controller has a copy, a new keyring is created. Then registered masters are refused, and new
// applications get ids that were never used.
func TestUnreadableKeyringIsRepaired(t *testing.T) {
	runScenario(t, fake.Options{Machines: 4}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, master := user.startApplication()
		user.runMaster(master, 5*time.Second)
		for i := range cluster.Nodes() {
			cluster.PollState(cluster.NodeAddr(i), "wk-000001") // makes each controller read the records
		}
		cluster.Store.Corrupt("w/y/keys")
		leader := cluster.Leader()
		cluster.KillNode(leader)
		time.Sleep(12 * time.Second)
		cluster.StartNode(leader)
		user.runMaster(master, 5*time.Second)
		master.Close()
		for i := range cluster.Nodes() {
			cluster.KillNode(i)
		}
		cluster.Store.Corrupt("w/y/keys")
		for i := range cluster.Nodes() {
			cluster.StartNode(i)
		}
		for range 4 {
			time.Sleep(10 * time.Second)
			_, _, _ = user.client.NewApplication(t.Context()) // refused for a while
		}
		other, master := user.startApplication()
		defer master.Close()
		if other.GetId() <= id.GetId()+50 || other.GetClusterTimestamp() != id.GetClusterTimestamp() {
			t.Errorf("new application id %v is not beyond %v", other, id)
		}
		master.Request(smallContainer(1), 2)
		user.runMaster(master, 20*time.Second)
		if len(master.Containers()) == 0 && cluster.Started() == 0 {
			t.Error("the new application runs no container")
		}
	})
}

// The master of a managed application runs as a task. If it ends without having registered, the
// next attempt launches it again. After the last attempt the application fails.
func TestManagedMasterIsRestarted(t *testing.T) {
	runScenario(t, fake.Options{Machines: 3}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		id, _, err := user.client.NewApplication(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		submission := &pb.ApplicationSubmissionContextProto{ApplicationId: id, Queue: proto.String("core"), MaxAppAttempts: proto.Int32(2),
			Resource: &pb.ResourceProto{Memory: proto.Int64(1024), VirtualCores: proto.Int32(1)}, AmContainerSpec: launchContext}
		for range 2 { // a repeated submission changes nothing
			if err := user.client.Submit(t.Context(), submission); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		if cluster.Started() != 1 {
			t.Fatalf("%d masters were started, want 1", cluster.Started())
		}
		var task string
		for _, k := range cluster.Store.Keys("w/j/") {
			task = strings.TrimPrefix(k, "w/j/") + "/0"
		}
		first := mustReadLaunchContext(t, cluster, task)
		if first.Argv[0] != launchContext.Command[0] || first.Env["UMBERDEAL_AM_TOKEN_ID"] == "" {
			t.Errorf("master's launch context is %+v", first)
		}
		time.Sleep(65 * time.Second) // the master ends without having registered
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_ACCEPTED && state != pb.YarnApplicationStateProto_FAILED {
			t.Errorf("application is %v after the first attempt, want ACCEPTED or FAILED", state)
		}
		time.Sleep(70 * time.Second)
		if state := user.mustReadState(id); state != pb.YarnApplicationStateProto_FAILED || cluster.Started() > 2 {
			t.Errorf("application is %v after %d masters, want FAILED after at most 2", state, cluster.Started())
		}
		assertNoRecords(t, cluster)
	})
}

// Masters and native jobs run while controllers are killed, paused and partitioned at random, and
// the key-value store fails at random. No container runs twice, and none is left at the end.
func TestRandomFailuresWithYARNAndNativeJobs(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			teams := []config.Team{{Name: "core", CPUsMax: 40}}
			runScenario(t, fake.Options{Machines: 6, Capacity: 8, Teams: teams, Seed: seed}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
				random := rand.New(rand.NewPCG(seed, 14))
				var wg sync.WaitGroup
				var ended atomic.Int64
				end := time.Now().Add(150 * time.Second)
				for k := range 3 {
					_, master := user.startApplication()
					wg.Add(1)
					go func() {
						defer wg.Done()
						defer master.Close()
						master.Request(smallContainer(int32(k)), 8)
						ends, _ := user.runMaster(master, time.Until(end)-time.Duration(k)*10*time.Second)
						ended.Add(int64(ends[yarn.ExitSuccess]))
						if k > 0 { // the first master ends without finishing its application
							if err := master.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_SUCCEEDED, ""); err != nil {
								t.Errorf("finish: %v", err)
							}
						}
					}()
				}
				scenario.MustSubmit(t, cluster, scenario.Job(1, func(j *wire.Job) { j.Tasks, j.EstimateS = 12, 20 }))
				for time.Until(end) > 25*time.Second {
					n := random.IntN(3)
					switch random.IntN(4) {
					case 0:
						cluster.KillNode(n)
						time.Sleep(time.Duration(1+random.IntN(6)) * time.Second)
						cluster.StartNode(n)
					case 1:
						cluster.PauseNode(n)
						time.Sleep(time.Duration(1+random.IntN(9)) * time.Second)
						cluster.ResumeNode(n)
					case 2:
						cluster.PartitionNode(n, "state", "am")
						time.Sleep(time.Duration(1+random.IntN(9)) * time.Second)
						cluster.HealNode(n, "state", "am")
					case 3:
						cluster.Store.SetOutage(true)
						time.Sleep(time.Duration(1+random.IntN(5)) * time.Second)
						cluster.Store.SetOutage(false)
					}
					time.Sleep(time.Duration(1+random.IntN(8)) * time.Second)
				}
				wg.Wait()
				if n := ended.Load(); n < 8 {
					t.Errorf("%d containers completed, want at least 8", n)
				}
				scenario.MustReach(t, cluster, "wk-000001", wire.JobDone, 2*time.Minute)
				time.Sleep(80 * time.Second)
				if n := cluster.Running(); n != 0 {
					t.Errorf("%d containers still run, want none", n)
				}
				assertNoRecords(t, cluster)
			})
		})
	}
}

// A master ends with a stack trace as its diagnostics that is larger than a value of the key-value store,
// or a user kills an application with such a reason. The store rejected the record each time, so that the
// application never ended.
func TestApplicationWithLongDiagnosticsEnds(t *testing.T) {
	runScenario(t, fake.Options{Machines: 2}, func(t *testing.T, cluster *fake.Cluster, user *testClient) {
		trace := "render failed: " + strings.Repeat("at <tile> \"é\"\n", 4000)
		id, master := user.startApplication()
		defer master.Close()
		if err := master.Finish(t.Context(), pb.FinalApplicationStatusProto_APP_FAILED, trace); err != nil {
			t.Fatalf("finish: %v", err)
		}
		report, err := user.client.Report(t.Context(), id)
		if err != nil {
			t.Fatal(err)
		}
		got := report.GetDiagnostics()
		if report.GetYarnApplicationState() != pb.YarnApplicationStateProto_FAILED || len(got) < 500 || !strings.HasPrefix(trace, got) {
			t.Errorf("application is %v with %d bytes of diagnostics, want FAILED with the beginning of the trace", report.GetYarnApplicationState(), len(got))
		}
		second, killed := user.startApplication()
		defer killed.Close()
		body := `{"state":"KILLED","diagnostics":"` + strings.Repeat("x", 40000) + `"}`
		path := fmt.Sprintf("/ws/v1/cluster/apps/application_%d_%04d/state", second.GetClusterTimestamp(), second.GetId())
		if status, answer := restCall(t, cluster, http.MethodPut, path, body); status >= http.StatusBadRequest {
			t.Errorf("kill: %d %s", status, answer)
		}
		if state := user.mustReadState(second); state != pb.YarnApplicationStateProto_KILLED {
			t.Errorf("application is %v, want KILLED", state)
		}
		time.Sleep(10 * time.Second)
		assertNoRecords(t, cluster)
	})
}
